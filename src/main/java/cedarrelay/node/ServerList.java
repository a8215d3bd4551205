package cedarrelay.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import cedarrelay.Balancer.ServerState;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * A message of discovery: the full server list, or the servers that changed since an earlier revision.
 *
 * @param revision the revision of the list once the message is applied
 * @param isFull whether it is the full list
 * @param entries the servers of the list, or those that changed
 */
record ServerList(long revision, boolean isFull, List<Entry> entries) {

    /**
     * A server of the list.
     *
     * @param id identifies the server; stays the same over restarts
     * @param address where it accepts requests
     * @param zone the name of its availability zone; empty if the list doesn't say
     * @param cell the number of its cell, a group of servers that share the idempotency keys they have seen;
     *     0 if the list doesn't say
     * @param state whether it accepts requests
     * @param weight its capacity relative to the other servers; 1 if the list doesn't say
     * @param bootMs when its process last started, Unix time in milliseconds; 0 if the list doesn't say
     */
    record Entry(String id, InetSocketAddress address, String zone, int cell, ServerState state,
            double weight, long bootMs) { }

    /**
     * Parses a message.
     *
     * @throws IllegalArgumentException with a short reason if the text is not a valid message
     */
    static ServerList parse(String json) {
        try {
            return fromJson(JsonParser.parseString(json));
        } catch (JsonParseException e) {
            throw new IllegalArgumentException("not JSON: " + e.getMessage(), e);
        }
    }

    /**
     * Converts a parsed message. One invalid server makes the whole message invalid: applied in part, it
     * would result in a list that discovery never had.
     *
     * @throws IllegalArgumentException with a short reason if it is not a valid message
     */
    static ServerList fromJson(JsonElement json) {
        try {
            JsonObject message = json.getAsJsonObject();
            List<Entry> parsedEntries = new ArrayList<>();
            for (JsonElement element : message.getAsJsonArray("targets")) {
                parsedEntries.add(parseEntry(element.getAsJsonObject()));
            }
            return new ServerList(required(message, "rev").getAsLong(),
                    required(message, "all").getAsBoolean(), List.copyOf(parsedEntries));
        } catch (IllegalStateException | NullPointerException | UnsupportedOperationException
                | ClassCastException e) {
            throw new IllegalArgumentException("not a server list: " + e.getMessage(), e);
        }
    }

    /**
     * Returns the full list that results from applying a message to this list, without removed servers. This
     * list must be a full one.
     */
    ServerList apply(ServerList next) {
        Map<String, Entry> byId = new LinkedHashMap<>();
        if (!next.isFull) {
            entries.forEach(entry -> byId.put(entry.id(), entry));
        }
        next.entries.forEach(entry -> byId.put(entry.id(), entry));
        byId.values().removeIf(entry -> entry.state() == ServerState.REMOVED);
        return new ServerList(next.revision, true, List.copyOf(byId.values()));
    }

    private static Entry parseEntry(JsonObject entry) {
        String state = required(entry, "state").getAsString();
        return new Entry(required(entry, "uid").getAsString(),
                parseAddress(required(entry, "endpoint").getAsString()),
                entry.has("az") ? entry.get("az").getAsString() : "",
                entry.has("pod_group") ? entry.get("pod_group").getAsInt() : 0,
                switch (state) {
                    case "Ready" -> ServerState.READY;
                    case "Terminating" -> ServerState.DRAINING;
                    case "Gone" -> ServerState.REMOVED;
                    default -> throw new IllegalArgumentException("unknown state " + state);
                }, entry.has("capacity_hint") ? finiteWeight(entry.get("capacity_hint").getAsDouble()) : 1,
                entry.has("boot_ms") ? entry.get("boot_ms").getAsLong() : 0);
    }

    /**
     * Checks that a weight is finite. JSON can hold numbers beyond the range of a double; with an infinite
     * weight all shares of the traffic would be 0 or not a number.
     */
    private static double finiteWeight(double value) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException("capacity_hint is not finite");
        }
        return value;
    }

    private static JsonElement required(JsonObject object, String name) {
        JsonElement value = object.get(name);
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return value;
    }

    /**
     * Parses a numeric IP address and a port, such as {@code 127.0.0.1:80} or {@code [::1]:80}. Host names
     * are rejected: there is no DNS, and a lookup would block the event loop.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String digits = text.substring(colon + 1);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]") || !digits.matches("[0-9]{1,5}")
                || Integer.parseInt(digits) > 65_535) {
            throw new IllegalArgumentException("not an address and port: " + text);
        }
        InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(digits));
        if (address.isUnresolved()) {
            throw new IllegalArgumentException("not an address and port: " + text);
        }
        return address;
    }
}
