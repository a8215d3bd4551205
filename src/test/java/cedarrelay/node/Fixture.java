package cedarrelay.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/** Creates configurations, requests and server lists for tests. */
final class Fixture {
    /** Time budget that requests state in their X-Remaining-Ms header. */
    static final int REMAINING_MS = 20_000;
    /** The deduplication window of the class "photo" (its setting windowUs), in milliseconds. */
    static final int WINDOW_MS = 1_200;

    /** The head of the response to a watch. */
    static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String CLASSES = """
            [{"name":"view","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"safe","group":"all"},
             {"name":"photo","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"keyed","group":"cell",
              "windowUs":1200000},
             {"name":"order","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"unsafe","group":"all"},
             {"name":"slow","onTimeUs":30000000,"giveUpUs":30000000,"repeat":"unsafe","group":"all"}]""";

    private Fixture() { }

    /** A configuration on any free port whose known list has these servers, all ready. */
    static JsonObject config(FakePeer discovery, FakePeer... servers) {
        return config(discovery.address(), servers);
    }

    /** As the other method, by the address of discovery. */
    static JsonObject config(String discoveryAddress, FakePeer... servers) {
        return JsonParser.parseString("""
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
                 "settings":{"balancers":1,"zones":["a"],"myZone":"a","classes":%s,
                  "realms":[{"name":"acme","quotaPerS":1000,"share":1}],"membershipMode":"on_request",
                  "limits":{"attemptsCap":4,"cancelling":true,"parallelTries":true,"retryAfter":true,
                   "maxRetryAfterUs":1000000,"dialTimeoutUs":2000000,"connIdleUs":60000000},
                  "rules":{"askWithinUs":10000000,"drainGraceUs":500000}}}
                """.formatted(discoveryAddress, listMessage(41, true, "Ready", servers), CLASSES))
                .getAsJsonObject();
    }

    /** Writes a configuration to a temporary file, which is deleted when the JVM exits. */
    static Path writeConfig(JsonObject json) throws IOException {
        Path file = Files.createTempFile("node", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, json.toString());
    }

    /** A message of discovery with these servers, all in the given state. */
    static String listMessage(long revision, boolean isFull, String state, FakePeer... servers) {
        StringBuilder entries = new StringBuilder();
        for (FakePeer server : servers) {
            entries.append(entries.isEmpty() ? "" : ",").append("""
                    {"uid":"s-%d","endpoint":"%s","az":"a","model":"m","pod_group":3,"state":"%s",\
                    "capacity_hint":1.0,"boot_ms":0}""".formatted(server.port(), server.address(), state));
        }
        return "{\"rev\":" + revision + ",\"all\":" + isFull + ",\"targets\":[" + entries + "]}";
    }

    /** The text of a client's request; each of the additional headers ends with CR LF. */
    static String request(String method, String path, long id, String headers, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: "
                + String.format("%016x", id) + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + REMAINING_MS + "\r\n"
                + headers + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                + body;
    }

    /** Sends the head of the response to a watch. */
    static void sendWatchHead(Socket watch) throws IOException {
        FakePeer.write(watch, WATCH_HEAD);
    }

    /** Sends a line as one chunk; an empty one is a heartbeat. */
    static void sendLine(Socket watch, String line) throws IOException {
        FakePeer.write(watch, line(line));
    }

    /** The chunk that carries this line. */
    static String line(String line) {
        return chunk(line + "\n");
    }

    /** Sends this text as one chunk; it may be a part of a message, or several messages. */
    static void sendChunk(Socket watch, String text) throws IOException {
        FakePeer.write(watch, chunk(text));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
