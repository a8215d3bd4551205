package cedarrelay.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import cedarrelay.Balancer.Settings;
import cedarrelay.benchlink.SettingsReader;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * The validated configuration of a node: a JSON file, some of whose values environment variables override.
 *
 * @param listen address on which the node accepts clients
 * @param discovery address of the discovery agent
 * @param seed seed of the node's random choices
 * @param maxDescriptors maximum number of file descriptors that the process may hold
 * @param serverIdleTimeoutUs idle time in microseconds after which servers close a connection
 * @param settings settings of the balancer
 * @param knownServers server list to start with; empty with revision 0 if the file has none
 */
record Config(InetSocketAddress listen, InetSocketAddress discovery, long seed, int maxDescriptors,
        long serverIdleTimeoutUs, Settings settings, ServerList knownServers) {

    private static final int DEFAULT_MAX_DESCRIPTORS = 1_024;
    /** The reserve, one client and one server. */
    private static final int MIN_DESCRIPTORS = SocketLimiter.RESERVED_DESCRIPTORS + 2;
    private static final String DISCOVERY_VARIABLE = "LB_DISCOVERY";
    private static final String DEFAULT_CONN_IDLE_US = "15000000";

    /**
     * Reads the file that {@code LB_CONFIG} names. {@code LB_LISTEN} and {@code LB_DISCOVERY} override the
     * file's values.
     *
     * @throws IllegalArgumentException if something is missing or invalid; the message is one line for the
     *     operator
     */
    static Config read(Map<String, String> environment) {
        String path = environment.get("LB_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new IllegalArgumentException("LB_CONFIG is not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("cannot read the file that LB_CONFIG names: " + e, e);
        }
        return parse(text, environment);
    }

    /**
     * Reads the file again for a reload. Unlike at the start, the file's discovery address overrides
     * {@code LB_DISCOVERY}: the file has been replaced since the environment was set.
     *
     * @throws IllegalArgumentException as {@link #read}
     */
    static Config readForReload(Map<String, String> environment) {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(DISCOVERY_VARIABLE);
        return read(withoutDiscovery);
    }

    /**
     * Returns this configuration with {@code maxDescriptors} lowered to the system's limit of open files. A
     * limit too low for serving a single client is ignored: on such systems it bounds only files and not
     * sockets, so the configured number applies. If descriptors run out anyway, each failure is handled as it
     * occurs.
     *
     * @param descriptors the system's limit
     */
    Config withDescriptorLimit(int descriptors) {
        return new Config(listen, discovery, seed,
                descriptors < MIN_DESCRIPTORS ? maxDescriptors : Math.min(maxDescriptors, descriptors),
                serverIdleTimeoutUs, settings, knownServers);
    }

    /**
     * Parses the text of a configuration file. A non-empty environment variable overrides the file's value.
     *
     * @throws IllegalArgumentException if something is missing or invalid; the message is one line for the
     *     operator
     */
    static Config parse(String text, Map<String, String> environment) {
        JsonObject json;
        try {
            json = JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new IllegalArgumentException("the file that LB_CONFIG names is not a JSON object: "
                    + e.getMessage(), e);
        }
        Map<String, String> values = flatten(requireObject(json, "settings"));
        Settings settings = SettingsReader.read(values);
        ServerList knownServers = json.has("known") ? ServerList.fromJson(json.get("known"))
                : new ServerList(0, true, List.of());
        return new Config(ServerList.parseAddress(requireText(environment, "LB_LISTEN", json, "listen")),
                ServerList.parseAddress(requireText(environment, DISCOVERY_VARIABLE, json, "discovery")),
                seed(json),
                maxDescriptors(json),
                parseWhole(values.getOrDefault("limits.connIdleUs", DEFAULT_CONN_IDLE_US)),
                settings, knownServers);
    }

    private static JsonObject requireObject(JsonObject parent, String name) {
        JsonElement value = parent.get(name);
        if (value == null || !value.isJsonObject()) {
            throw new IllegalArgumentException(name + " is missing or is not a JSON object");
        }
        return value.getAsJsonObject();
    }

    private static String requireText(Map<String, String> environment, String variable, JsonObject json,
            String name) {
        String value = environment.get(variable);
        if (value != null && !value.isEmpty()) {
            return value;
        }
        if (!json.has(name) || !json.get(name).isJsonPrimitive()) {
            throw new IllegalArgumentException(variable + " is not set and the configuration has no "
                    + name);
        }
        return json.get(name).getAsString();
    }

    private static long seed(JsonObject json) {
        JsonElement seed = json.get("seed");
        if (seed == null || !seed.isJsonPrimitive()) {
            throw new IllegalArgumentException("seed is missing");
        }
        try {
            return Long.parseUnsignedLong(seed.getAsString(), 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number of up to 16 digits", e);
        }
    }

    private static int maxDescriptors(JsonObject json) {
        JsonElement sockets = json.has("limits") ? requireObject(json, "limits").get("sockets") : null;
        long value = sockets == null || !sockets.isJsonPrimitive() ? DEFAULT_MAX_DESCRIPTORS
                : parseWhole(sockets.getAsString());
        if (value < MIN_DESCRIPTORS) {
            throw new IllegalArgumentException("limits.sockets is less than " + MIN_DESCRIPTORS);
        }
        return (int) Math.min(Integer.MAX_VALUE, value);
    }

    /** Parses a number; a fraction is cut off, and an exponent is allowed. */
    private static long parseWhole(String text) {
        try {
            return (long) Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("limits.sockets or limits.connIdleUs is not a number: " + text,
                    e);
        }
    }

    /**
     * Converts settings from JSON to the path=value pairs that {@link SettingsReader} reads, as a simulator
     * sends them: an array of objects becomes {@code path.count} and {@code path.0}, {@code path.1} and so
     * on, any other array a comma-separated value. Null values are left out.
     */
    static Map<String, String> flatten(JsonObject settings) {
        Map<String, String> values = new TreeMap<>();
        settings.entrySet().forEach(entry -> flatten(entry.getKey(), entry.getValue(), values));
        return values;
    }

    private static void flatten(String path, JsonElement value, Map<String, String> values) {
        if (value.isJsonObject()) {
            value.getAsJsonObject().entrySet()
                    .forEach(entry -> flatten(path + "." + entry.getKey(), entry.getValue(), values));
        } else if (value.isJsonArray()) {
            JsonArray items = value.getAsJsonArray();
            if (!items.isEmpty() && items.get(0).isJsonObject()) {
                values.put(path + ".count", Integer.toString(items.size()));
                for (int i = 0; i < items.size(); i++) {
                    flatten(path + "." + i, items.get(i), values);
                }
            } else {
                StringBuilder joined = new StringBuilder();
                for (JsonElement item : items) {
                    joined.append(joined.isEmpty() ? "" : ",")
                            .append(item.isJsonNull() ? "" : item.getAsString());
                }
                values.put(path, joined.toString());
            }
        } else if (!value.isJsonNull()) {
            values.put(path, value.getAsString());
        }
    }
}
