package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs the node as a separate process: start, graceful stop, reload, and limits of descriptors and heap. */
@Timeout(120)
class MainTest {
    /** More than 1,024: the node must accept server lists of at least that size. */
    private static final int SERVER_COUNT = 1_100;

    private FakePeer discovery;
    private FakePeer server;
    private Process process;
    private int port;

    @BeforeEach
    void open() throws Exception {
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(FakePeer.respond("200 OK", "", "done"));
        port = NodeProcess.freePort();
    }

    @AfterEach
    void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        discovery.close();
        server.close();
    }

    /** Starts a node after a shell command and waits until it is ready; returns its configuration file. */
    private Path start(JsonObject config, String shellPrefix) throws Exception {
        config.addProperty("listen", "127.0.0.1:" + port);
        Path file = Fixture.writeConfig(config);
        run(file.toString(), shellPrefix);
        awaitOk("/ready");
        return file;
    }

    private void run(String config, String shellPrefix) throws IOException {
        run(config, shellPrefix, "-Xmx64m");
    }

    private void run(String config, String shellPrefix, String jvmOptions) throws IOException {
        String classPath = System.getProperty("surefire.test.class.path",
                System.getProperty("java.class.path"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c",
                shellPrefix + "exec \"$JAVA\" -XX:+UseSerialGC -XX:TieredStopAtLevel=1 " + jvmOptions
                + " -cp \"$JARS\" cedarrelay.node.Main");
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        builder.environment().put("JAVA", java.toString());
        builder.environment().put("JARS", classPath);
        builder.environment().remove("LB_CONFIG");
        builder.environment().remove("LB_LISTEN");
        builder.environment().remove("LB_DISCOVERY");
        if (config != null) {
            builder.environment().put("LB_CONFIG", config);
        }
        process = builder.redirectErrorStream(true).start();
    }

    /** Kills the process and returns what it has written to standard output and standard error. */
    private String output() {
        // Through the handle, as Process.destroyForcibly would close the stream with the output so far.
        process.toHandle().destroyForcibly();
        try {
            return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return e.toString();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        return socket;
    }

    /** Repeats a GET of the path until the response is a 200. */
    private void awaitOk(String path) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        String response = "";
        while (response == null || !response.startsWith("HTTP/1.1 200")) {
            assertTrue(process.isAlive() && System.nanoTime() < deadlineNs,
                    "the node ended or was not ready in time");
            try (Socket socket = connect()) {
                FakePeer.write(socket, "GET " + path + " HTTP/1.1\r\n\r\n");
                response = FakePeer.readMessage(socket);
            } catch (IOException e) {
                // Not listening yet: the starting process needs the CPU.
                process.waitFor(20, TimeUnit.MILLISECONDS);
            }
        }
    }

    @Test
    void sigtermAnswersPendingRequestsAndExitsWithZero() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(Fixture.config(discovery, server), "");
        Socket idleClient = connect();
        Socket client = connect();
        FakePeer.write(client, Fixture.request("POST", "/order", 1, "", "x"));
        server.nextRequest();
        Socket attempt = FakePeer.awaitNext(server.acceptedConnections);
        process.destroy();
        // Clients keep connecting for a while after SIGTERM and must be served.
        Socket newClient = connect();
        FakePeer.write(newClient, "GET /nothing HTTP/1.1\r\n\r\n");
        assertTrue(FakePeer.readMessage(newClient).startsWith("HTTP/1.1 404"),
                "a client that connected after SIGTERM is not served");
        assertNull(FakePeer.readMessage(idleClient), "the idle connection is not closed");
        assertTrue(process.isAlive(), "the process exited with a request pending");
        FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String response = FakePeer.readMessage(client);
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("done"), response);
        assertEquals("close", FakePeer.header(response, "Connection"));
        assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS),
                "the process did not exit after the last response");
        assertEquals(0, process.exitValue());
    }

    /** An operator must be able to see what the node did with each request, and why. */
    @Test
    void logAndMetricsShowTheOutcomeOfARequest() throws Exception {
        server.setScript((socket, request) -> FakePeer.respond("200 OK", "", "done").run(socket, request));
        start(Fixture.config(discovery, server), "export LB_LOG=debug && ");
        try (Socket client = connect()) {
            FakePeer.write(client, Fixture.request("GET", "/view", 0xabc, "", ""));
            assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
            FakePeer.write(client, "GET /metrics HTTP/1.1\r\n\r\n");
            String metrics = FakePeer.readMessage(client);
            assertTrue(metrics.contains("\ncedarrelay_requests_taken_total 1\n"), metrics);
            assertTrue(metrics.contains("\ncedarrelay_requests_served_total 1\n"), metrics);
            assertTrue(metrics.contains("\ncedarrelay_attempts_written_total 1\n"), metrics);
        }
        String output = output();
        for (String line : List.of("request 0000000000000abc accepted, class 0,",
                "request 0000000000000abc attempt 0 at s-" + server.port() + " ended with OK after ",
                "request 0000000000000abc ended: served by s-" + server.port() + ", after 1 attempts")) {
            assertTrue(output.contains(line), output);
        }
    }

    @Test
    void unknownLogLevelEndsTheProcessWithOneLineOfError() throws Exception {
        run(Fixture.writeConfig(Fixture.config(discovery, server)).toString(), "export LB_LOG=loud && ");
        assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        String output = output();
        assertTrue(output.equals("cedarrelay: bad configuration: LB_LOG is not debug, info, warning or error:"
                + " loud\n"), output);
    }

    @Test
    void sigtermWaitsForARequestWithALongDeadline() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(Fixture.config(discovery, server), "");
        Socket client = connect();
        FakePeer.write(client, Fixture.request("POST", "/slow", 1, "", "x"));
        server.nextRequest();
        Socket attempt = FakePeer.awaitNext(server.acceptedConnections);
        process.destroy();
        // SIGKILL may follow 3.7 s after SIGTERM, but until it does, a client with a longer deadline still
        // needs its response.
        assertFalse(process.waitFor(5, TimeUnit.SECONDS), "the process exited with a request pending");
        FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String response = FakePeer.readMessage(client);
        assertTrue(response != null && response.endsWith("done"), response);
        assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS),
                "the process did not exit after the last response");
        assertEquals(0, process.exitValue());
    }

    @Test
    void sighupMovesTheWatchAndAnInvalidFileChangesNothing() throws Exception {
        try (FakePeer newDiscovery = new FakePeer(FakePeer.SILENT)) {
            JsonObject config = Fixture.config(discovery, server);
            Path file = start(config, "export LB_DISCOVERY=" + discovery.address() + " && ");
            assertTrue(discovery.nextRequest().contains("&after=41 "));
            Files.writeString(file, "{");
            sendSighup();
            awaitOutput("the previous one stays in use");
            config.addProperty("discovery", newDiscovery.address());
            Files.writeString(file, config.toString());
            sendSighup();
            assertTrue(newDiscovery.nextRequest().startsWith("GET /v1/endpoints?watch=1 "),
                    "the new watch names a list revision of the old discovery address");
            FakePeer.awaitNext(discovery.closedConnections);
            config.addProperty("discovery", discovery.address());
            Files.writeString(file, config.toString());
            sendSighup();
            discovery.nextRequest();
            FakePeer.awaitNext(newDiscovery.closedConnections);
            try (Socket client = connect()) {
                FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
                assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    private void sendSighup() throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    /** Reads the process's output up to a line that contains the text. */
    private void awaitOutput(String part) throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf(part) < 0) {
            int character = process.getInputStream().read();
            assertTrue(character >= 0, "the process has exited");
            line.append((char) character);
            if (character == '\n') {
                line.setLength(0);
            }
        }
    }

    @Test
    void nodeSurvivesRunningOutOfDescriptors() throws Exception {
        // The configured limit is higher than the system's.
        Path file = start(Fixture.config(discovery, server), "ulimit -n 100 && ");
        // Unlike in a deployment with one open jar, loading classes takes descriptors here: load them first.
        try (Socket firstClient = connect()) {
            FakePeer.write(firstClient, Fixture.request("GET", "/view", 0, "", ""));
            assertTrue(FakePeer.readMessage(firstClient).startsWith("HTTP/1.1 200"),
                    "not served before descriptors run out");
        }
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            clients.add(connect());
        }
        // Idle connections are closed to make room, so each request gets a response; those with pending
        // requests stay open.
        Socket activeClient = clients.get(clients.size() - 1);
        FakePeer.write(activeClient, Fixture.request("GET", "/view", 1, "", ""));
        String response = FakePeer.readMessage(activeClient);
        assertTrue(response != null && response.startsWith("HTTP/1.1 "),
                () -> response + " while descriptors are exhausted: " + output());
        // Logging must not need a descriptor either.
        Files.writeString(file, "{");
        sendSighup();
        awaitOutput("the previous one stays in use");
        for (Socket socket : clients) {
            socket.close();
        }
        try (Socket lastClient = connect()) {
            FakePeer.write(lastClient, Fixture.request("GET", "/view", 2, "", ""));
            assertTrue(FakePeer.readMessage(lastClient).startsWith("HTTP/1.1 200"),
                    "not served after the clients have closed");
        }
    }

    /**
     * More clients than descriptors send one request or none and stay connected, while discovery sends no
     * list. They must not prevent a list update, server connections or the requests of other clients.
     */
    @Test
    void idleClientsLeaveDescriptorsForDiscoveryServersAndActiveClients() throws Exception {
        JsonObject config = Fixture.config(discovery, server);
        config.getAsJsonObject("settings").addProperty("membershipMode", "pushed");
        start(config, "ulimit -n 128 && ");
        List<Socket> idleClients = new ArrayList<>();
        try (FakePeer newServer = new FakePeer(FakePeer.respond("200 OK", "", "fresh"))) {
            for (int i = 0; i < 300; i++) {
                idleClients.add(connect());
                if (i % 2 == 0) {
                    FakePeer.write(idleClients.get(i), Fixture.request("GET", "/view", i, "", ""));
                }
            }
            discovery.setScript((watch, request) -> {
                Fixture.sendWatchHead(watch);
                Fixture.sendLine(watch, Fixture.listMessage(42, true, "Ready", newServer));
            });
            long discoveryRespondsNs = System.nanoTime();
            for (int i = 1_000; newServer.receivedRequests.isEmpty(); i++) {
                try (Socket activeClient = connect()) {
                    FakePeer.write(activeClient, Fixture.request("GET", "/view", i, "", ""));
                    String response = FakePeer.readMessage(activeClient);
                    assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
                }
                assertTrue(System.nanoTime() - discoveryRespondsNs < TimeUnit.SECONDS.toNanos(6),
                        "the new server list is not in use in time");
            }
        }
        for (Socket socket : idleClients) {
            socket.close();
        }
    }

    /** A full server list whose entries all have the address of the peer. */
    private static JsonObject listOfManyServers(FakePeer peer, String prefix) {
        JsonObject list = JsonParser.parseString(Fixture.listMessage(43, true, "Ready", peer))
                .getAsJsonObject();
        JsonObject first = list.getAsJsonArray("targets").get(0).getAsJsonObject();
        for (int index = 1; index < SERVER_COUNT; index++) {
            JsonObject entry = first.deepCopy();
            entry.addProperty("uid", prefix + index);
            list.getAsJsonArray("targets").add(entry);
        }
        return list;
    }

    @Test
    void listsOfOverAThousandServersFitInTheDeployedHeap() throws Exception {
        Gson indented = new GsonBuilder().setPrettyPrinting().create();
        JsonObject config = Fixture.config(discovery, server);
        config.add("known", listOfManyServers(server, "known-"));
        config.addProperty("listen", "127.0.0.1:" + port);
        config.getAsJsonObject("settings").addProperty("balancers", SERVER_COUNT);
        Path file = Files.writeString(Fixture.writeConfig(config), indented.toJson(config));
        try (FakePeer newServer = new FakePeer(FakePeer.respond("200 OK", "", "fresh"))) {
            run(file.toString(), "", String.join(" ", NodeProcess.deployedMemoryOptions()));
            discovery.nextRequest();
            awaitOk("/ready");
            try (Socket client = connect()) {
                FakePeer.write(client, Fixture.request("GET", "/view", 0, "", ""));
                assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
                assertFalse(server.receivedRequests.isEmpty(), "the known list is not in use");
                Socket watch = FakePeer.awaitNext(discovery.acceptedConnections);
                Fixture.sendWatchHead(watch);
                String list = indented.toJson(listOfManyServers(newServer, "fresh-"));
                for (int from = 0; from < list.length(); from += 1_000) {
                    Fixture.sendChunk(watch, list.substring(from, Math.min(list.length(), from + 1_000)));
                }
                long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
                for (int i = 1; newServer.receivedRequests.isEmpty(); i++) {
                    FakePeer.write(client, Fixture.request("GET", "/view", i, "", ""));
                    assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
                    assertTrue(System.nanoTime() - deadlineNs < 0, "the list from discovery is not in use");
                }
            }
        }
        String output = output();
        assertFalse(output.contains("failed") || output.contains("Error"), output);
    }

    @Test
    void manyLargeConcurrentRequestsDoNotExhaustTheHeap() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(Fixture.config(discovery, server), "");
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            Socket socket = connect();
            clients.add(socket);
            try {
                FakePeer.write(socket, Fixture.request("POST", "/order", i, "", "x"));
                for (int j = 0; j < 14; j++) {
                    FakePeer.write(socket, Fixture.request("POST", "/order", 1_000 + 20 * i + j, "",
                            "x".repeat(60_000)));
                }
            } catch (IOException e) {
                // The node may close the connection or stop reading it.
                continue;
            }
        }
        awaitOk("/ready");
        for (Socket socket : clients) {
            socket.close();
        }
        assertTrue(process.isAlive());
        String output = output();
        assertFalse(output.contains("OutOfMemory"), output);
    }

    @Test
    void invalidConfigurationEndsTheProcessWithOneLineOfError() throws Exception {
        JsonObject noSettings = Fixture.config(discovery, server);
        noSettings.remove("settings");
        JsonObject noSeed = Fixture.config(discovery, server);
        noSeed.remove("seed");
        JsonObject noClasses = Fixture.config(discovery, server);
        noClasses.getAsJsonObject("settings").remove("classes");
        JsonObject badRepeat = Fixture.config(discovery, server);
        badRepeat.getAsJsonObject("settings").getAsJsonArray("classes").get(0).getAsJsonObject()
                .addProperty("repeat", "perhaps");
        Path invalidJson = Files.createTempFile("node", ".json");
        Files.writeString(invalidJson, "{");
        assertRejected(null, "LB_CONFIG");
        assertRejected("/nowhere/config.json", "LB_CONFIG");
        assertRejected(invalidJson.toString(), "JSON");
        assertRejected(Fixture.writeConfig(noSettings).toString(), "settings");
        assertRejected(Fixture.writeConfig(noSeed).toString(), "seed");
        assertRejected(Fixture.writeConfig(noClasses).toString(), "classes");
        assertRejected(Fixture.writeConfig(badRepeat).toString(), "classes.0.repeat is unknown: perhaps");
        Files.delete(invalidJson);
    }

    /** Checks that the process exits with code 2 and one line that contains the text. */
    private void assertRejected(String config, String expected) throws Exception {
        run(config, "");
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "the process did not exit");
        assertEquals(2, process.exitValue(), output);
        assertTrue(output.contains(expected) && output.lines().count() == 1, output);
    }
}
