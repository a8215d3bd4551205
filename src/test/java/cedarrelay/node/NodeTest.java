package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonObject;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a whole node with fake clients, servers and discovery, over loopback sockets. */
@Timeout(120)
class NodeTest {
    private static final FakePeer.Script OK_RESPONSE = FakePeer.answer("200 OK", "", "done");

    private EventLoopGroup group;
    private FakePeer discovery;
    private FakePeer firstServer;
    private FakePeer secondServer;
    private Socket client;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        discovery = new FakePeer(FakePeer.SILENT);
        firstServer = new FakePeer(OK_RESPONSE);
        secondServer = new FakePeer(OK_RESPONSE);
    }

    @AfterEach
    void close() throws Exception {
        if (client != null) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        discovery.close();
        firstServer.close();
        secondServer.close();
    }

    private int start(JsonObject json) throws Exception {
        CountDownLatch ready = new CountDownLatch(1);
        int port = start(json, 0, ready);
        assertTrue(ready.await(FakePeer.PATIENCE_S, TimeUnit.SECONDS), "node did not become ready");
        return port;
    }

    /** Starts a node that uses its known list after {@code startMs} without a response of discovery. */
    private int start(JsonObject json, long startMs, CountDownLatch ready) throws Exception {
        EventLoop loop = group.next();
        Config config = Config.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        Node node = loop.submit(() -> new Node(config, loop)).get();
        Channel channel = loop.submit(() -> node.start(group, 8, startMs, ready::countDown)).get().sync()
                .channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private void start(FakePeer... servers) throws Exception {
        client = connect(start(Fixture.config(discovery, servers)));
    }

    private static Socket connect(int port) throws Exception {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.PATIENCE_S));
        return socket;
    }

    private String roundTrip(String request) throws Exception {
        FakePeer.write(client, request);
        return FakePeer.read(client);
    }

    private static int status(String response) {
        assertNotNull(response, "the connection ended without a response");
        return Integer.parseInt(response.substring(9, 12));
    }

    @Test
    void aRequestIsForwardedUnchangedAndOnlyOnce() throws Exception {
        start(firstServer);
        String response = roundTrip(Fixture.request("POST", "/photo/7?size=2", 1, "Idempotency-Key: abc\r\n"
                + "Cookie: key=9\r\nConnection: keep-alive\r\n", "pixels"));
        assertEquals(200, status(response));
        assertTrue(response.endsWith("\r\n\r\ndone"), response);
        String sent = firstServer.nextRequest();
        assertTrue(sent.startsWith("POST /photo/7?size=2 HTTP/1.1\r\n"), sent);
        assertTrue(sent.endsWith("\r\n\r\npixels"), sent);
        assertEquals("abc", FakePeer.header(sent, "Idempotency-Key"));
        assertEquals("0000000000000001", FakePeer.header(sent, "X-Txn"));
        assertEquals("key=9", FakePeer.header(sent, "Cookie"));
        int remainingMs = Integer.parseInt(FakePeer.header(sent, "X-Remaining-Ms"));
        assertTrue(remainingMs > 0 && remainingMs <= Fixture.REMAINING_MS,
                "X-Remaining-Ms is " + remainingMs);
        assertTrue(firstServer.requests.isEmpty());
        assertEquals(200, status(roundTrip("GET /ready HTTP/1.1\r\n\r\n")));
    }

    @Test
    void aWarmUpRequestAfterTheWarmUpReachesNoServer() throws Exception {
        start(firstServer);
        JsonObject json = Fixture.config(discovery, firstServer);
        String token = Long.toHexString(
                new SplittableRandom(Long.parseUnsignedLong(json.get("seed").getAsString(), 16)).nextLong());
        String header = Rehearsal.HEADER + ": " + token + "\r\n";
        assertTrue(roundTrip(Fixture.request("GET", "/view/1", 98, header, "")).contains("rehearsed"));
        assertTrue(firstServer.requests.isEmpty(), "sent to a server");
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        firstServer.script((socket, request) -> {
            String path = request.split(" ")[1];
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
        });
        start(firstServer);
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            all.append(Fixture.request("GET", "/view/" + i, i, "", ""));
        }
        FakePeer.write(client, all.toString());
        for (int i = 0; i < 40; i++) {
            String response = FakePeer.read(client);
            assertTrue(response.endsWith("\r\n\r\n/view/" + i), response);
        }
    }

    @Test
    void thousandsOfPipelinedRequestsAreAllAnswered() throws Exception {
        int requestCount = 3_000;
        firstServer.script(FakePeer.SILENT);
        start(firstServer);
        FakePeer.write(client, Fixture.request("GET", "/view", 1, "", "")
                + "GET /ready HTTP/1.1\r\n\r\n".repeat(requestCount));
        firstServer.nextRequest();
        FakePeer.write(FakePeer.soon(firstServer.accepted), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals(200, status(FakePeer.read(client)));
        for (int i = 0; i < requestCount; i++) {
            assertEquals(200, status(FakePeer.read(client)));
        }
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeitherRetriedNorRefused() throws Exception {
        firstServer.script(FakePeer.RESET);
        secondServer.script(FakePeer.RESET);
        start(firstServer, secondServer);
        int status = status(roundTrip(Fixture.request("POST", "/order", 1, "", "")));
        assertTrue(status >= 500 && status != 503, "answered " + status);
        // A node sends a retry before it responds: after one more round trip the count is final.
        assertEquals(200, status(roundTrip("GET /ready HTTP/1.1\r\n\r\n")));
        assertEquals(1, firstServer.requests.size() + secondServer.requests.size());
    }

    @Test
    void aSafeRequestFailsOverAfterAServerError() throws Exception {
        firstServer.script(FakePeer.answer("500 No", "", ""));
        start(firstServer, secondServer);
        for (int i = 0; i < 8; i++) {
            assertEquals(200, status(roundTrip(Fixture.request("GET", "/view", i, "", ""))));
        }
        assertFalse(secondServer.requests.isEmpty());
    }

    @Test
    void aRefusalCarriesRetryAfter() throws Exception {
        firstServer.script(FakePeer.answer("503 Full", "X-Turned-Away: 1\r\n", ""));
        start(firstServer);
        String response = roundTrip(Fixture.request("POST", "/order", 1, "", ""));
        assertEquals(503, status(response));
        assertEquals("1", FakePeer.header(response, "Retry-After"));
    }

    @Test
    void aSilentServersRequestFailsAtTheDeadlineAndItsConnectionIsClosed() throws Exception {
        firstServer.script(FakePeer.SILENT);
        start(firstServer);
        long startNs = System.nanoTime();
        int status = status(roundTrip(Fixture.request("POST", "/slow", 1, "", "")
                .replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: 700")));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(status >= 500 && status != 503, "answered " + status);
        assertTrue(tookMs >= 600, "failed after only " + tookMs + " ms");
        FakePeer.soon(firstServer.ended);
        assertEquals(1, firstServer.requests.size());
    }

    @Test
    void aClientsDisconnectAbortsItsAttempt() throws Exception {
        firstServer.script(FakePeer.SILENT);
        start(firstServer);
        FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
        firstServer.nextRequest();
        client.close();
        FakePeer.soon(firstServer.ended);
        assertTrue(firstServer.requests.isEmpty(), "retried for a disconnected client");
    }

    /** The node can't tell a half-close from a close, and no client of the protocol half-closes. */
    @Test
    void aHalfClosedClientCountsAsDisconnected() throws Exception {
        firstServer.script(FakePeer.SILENT);
        start(firstServer);
        FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
        firstServer.nextRequest();
        client.shutdownOutput();
        FakePeer.soon(firstServer.ended);
        assertNull(FakePeer.read(client), "response to a disconnected client");
        assertTrue(firstServer.requests.isEmpty(), "retried for a disconnected client");
    }

    @Test
    void aServerThatClosesAnIdleConnectionFailsNoRequest() throws Exception {
        start(firstServer);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, status(roundTrip(Fixture.request("POST", "/order", i, "", ""))));
            FakePeer.soon(firstServer.accepted).close();
            FakePeer.soon(firstServer.ended);
        }
        assertEquals(5, firstServer.requests.size());
    }

    @Test
    void aDrainingServerGetsNoNewRequests() throws Exception {
        start(firstServer, secondServer);
        String watchRequest = discovery.nextRequest();
        assertTrue(watchRequest.startsWith("GET /v1/endpoints?watch=1&after=41 "), watchRequest);
        Socket watch = FakePeer.soon(discovery.accepted);
        assertEquals(200, status(roundTrip(Fixture.request("GET", "/view", 0, "", ""))));
        Fixture.beginWatch(watch);
        Fixture.line(watch, Fixture.list(42, false, "Terminating", firstServer));
        Fixture.line(watch, Fixture.list(43, false, "Ready", secondServer));
        // Twenty requests in a row that go elsewhere show that the node has applied the update.
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.PATIENCE_S);
        int consecutiveElsewhere = 0;
        for (int i = 1; consecutiveElsewhere < 20; i++) {
            int before = firstServer.requests.size();
            assertEquals(200, status(roundTrip(Fixture.request("GET", "/view", i, "", ""))));
            consecutiveElsewhere = firstServer.requests.size() == before ? consecutiveElsewhere + 1 : 0;
            assertTrue(System.nanoTime() < deadlineNs, "the draining server still gets requests");
        }
        // After the watch breaks, it is opened again from the last revision received.
        watch.close();
        assertTrue(discovery.nextRequest().contains("after=43 "));
    }

    @Test
    void anUnansweredWatchIsRepeatedEarlyOnlyInPushedMode() throws Exception {
        start(firstServer);
        discovery.nextRequest();
        // Discovery may take more than a second for such a call, so it must not be repeated within that time.
        assertNull(discovery.requests.poll(1, TimeUnit.SECONDS), "watch opened again");
        try (FakePeer pushingDiscovery = new FakePeer(FakePeer.SILENT)) {
            JsonObject json = Fixture.config(pushingDiscovery, firstServer);
            json.getAsJsonObject("settings").addProperty("membershipMode", "pushed");
            start(json);
            for (int i = 0; i < 3; i++) {
                pushingDiscovery.nextRequest();
            }
        }
    }

    @Test
    void badInputIsAnswered4xxAndNeverForwarded() throws Exception {
        int port = start(Fixture.config(discovery, firstServer));
        String good = Fixture.request("GET", "/view", 1, "", "");
        List<Map.Entry<Integer, String>> cases = new ArrayList<>(List.of(
                Map.entry(404, good.replace("/view", "/nothing")),
                Map.entry(404, good.replace("/view", "*")),
                Map.entry(405, good.replace("GET", "POST")),
                Map.entry(405, good.replace("GET", "DELETE")),
                Map.entry(400, good.replace("X-Org: acme", "X-Org: nobody")),
                Map.entry(400, good.replace("X-Txn: 0000000000000001\r\n", "")),
                Map.entry(400, good.replace("X-Txn: 0000000000000001", "X-Txn: zz")),
                Map.entry(400, good.replace("X-Remaining-Ms: " + Fixture.REMAINING_MS + "\r\n", "")),
                Map.entry(400, good.replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: -4")),
                Map.entry(400, good.replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: soon")),
                Map.entry(400, Fixture.request("POST", "/photo", 1, "", "")),
                Map.entry(400, "COMPLETE NONSENSE\r\n\r\n"),
                Map.entry(400, good.replace("\r\n\r\n", "\r\nno colon here\r\n\r\n")),
                Map.entry(400, order("Content-Length: 1\r\nContent-Length: 2\r\n", "xx")),
                Map.entry(400, order("Content-Length: 1, 1\r\n", "x")),
                Map.entry(400, order("Content-Length: +1\r\n", "x")),
                Map.entry(400, order("Content-Length: -1\r\n", "x")),
                Map.entry(400, order("Content-Length: 99999999999999999999\r\n", "x")),
                Map.entry(413, order("Content-Length: 60000000\r\n", "x")),
                Map.entry(400, order("Transfer-Encoding: gzip\r\n", "x")),
                Map.entry(400, order("Transfer-Encoding: chunked\r\n", "zz\r\nx\r\n")),
                Map.entry(413, Fixture.request("POST", "/order", 1, "", "x".repeat(65_537))),
                Map.entry(413, Fixture.request("POST", "/order", 1, "Transfer-Encoding: chunked\r\n", "")
                        .replace("Content-Length: 0\r\n", "") + "10001\r\n" + "x".repeat(0x10001)
                        + "\r\n0\r\n\r\n"),
                Map.entry(414, good.replace("/view", "/view/" + "x".repeat(9_000))),
                Map.entry(431, good.replace("\r\n\r\n", "\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n"))));
        for (Map.Entry<Integer, String> bad : cases) {
            client = connect(port);
            String response = roundTrip(bad.getValue());
            String shown = bad.getValue().substring(0, Math.min(200, bad.getValue().length()));
            assertEquals(bad.getKey(), status(response), shown);
            assertFalse(response.substring(response.indexOf("\r\n\r\n")).isBlank(),
                    "no reason given: " + shown);
            client.close();
        }
        client = connect(port);
        assertEquals(200, status(roundTrip(good)));
        assertEquals(1, firstServer.requests.size());
    }

    /** A request of the class "order" with the given headers for the length of its body. */
    private static String order(String lengths, String body) {
        return Fixture.request("POST", "/order", 1, "", "").replace("Content-Length: 0\r\n", lengths) + body;
    }

    @Test
    void aRequestSmuggledByConflictingLengthsIsRejected() throws Exception {
        start(firstServer);
        String hidden = Fixture.request("POST", "/order", 2, "", "");
        String response = roundTrip(order("Content-Length: " + (5 + hidden.length())
                + "\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden));
        assertEquals(400, status(response));
        assertEquals("close", FakePeer.header(response, "Connection"));
        assertNull(FakePeer.read(client), "the connection is still open");
        assertTrue(firstServer.requests.isEmpty());
    }

    @Test
    void repeatedBadRequestsCloseTheConnection() throws Exception {
        start(firstServer);
        String bad = Fixture.request("GET", "/nothing", 1, "", "");
        int responses = 0;
        for (String response = roundTrip(bad); response != null && responses < 100;
                response = roundTrip(bad)) {
            assertEquals(404, status(response));
            responses++;
            if ("close".equals(FakePeer.header(response, "Connection"))) {
                assertNull(FakePeer.read(client));
                assertTrue(responses > 1, "closed after one bad request");
                return;
            }
        }
        throw new AssertionError("connection not closed after 100 bad requests");
    }

    @Test
    void aConnectionWithoutACompleteRequestTimesOut() throws Exception {
        int port = start(Fixture.config(discovery, firstServer));
        try (Socket silent = connect(port); Socket half = connect(port)) {
            client = connect(port);
            FakePeer.write(half, "GET /view HTTP/1.1\r\nX-Txn: ");
            FakePeer.write(client, order("Content-Length: 10\r\n", "half"));
            assertNull(FakePeer.read(silent));
            assertEquals(408, status(FakePeer.read(half)));
            assertEquals(408, status(FakePeer.read(client)));
        }
    }

    @Test
    void unusedConnectionsAreClosedBeforeOneWithAPartialRequest() throws Exception {
        JsonObject json = Fixture.config(discovery, firstServer);
        json.getAsJsonObject("limits").addProperty("sockets", Sockets.RESERVE + 8);
        int port = start(json);
        client = connect(port);
        assertEquals(200, status(roundTrip(Fixture.request("GET", "/view", 1, "", ""))));
        String request = Fixture.request("GET", "/view", 2, "", "");
        FakePeer.write(client, request.substring(0, 30));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            silent.add(connect(port));
        }
        assertNull(FakePeer.read(silent.get(0)));
        FakePeer.write(client, request.substring(30));
        assertEquals(200, status(FakePeer.read(client)));
        for (Socket socket : silent) {
            socket.close();
        }
    }

    @Test
    void newConnectionsAcceptedTogetherDoNotEvictOneAnother() throws Exception {
        JsonObject json = Fixture.config(discovery, firstServer);
        json.getAsJsonObject("limits").addProperty("sockets", Sockets.RESERVE + 8);
        int port = start(json);
        List<Socket> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            client = connect(port);
            all.add(client);
            assertEquals(200, status(roundTrip(Fixture.request("GET", "/view", i, "", ""))));
        }
        // Blocks the event loop, so that it accepts the next four connections in one iteration.
        CountDownLatch requestsSent = new CountDownLatch(1);
        group.next().execute(() -> {
            try {
                requestsSent.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<Socket> newSockets = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Socket socket = connect(port);
            newSockets.add(socket);
            FakePeer.write(socket, Fixture.request("GET", "/view", 10 + i, "", ""));
        }
        requestsSent.countDown();
        for (Socket socket : newSockets) {
            assertEquals(200, status(FakePeer.read(socket)));
        }
        all.addAll(newSockets);
        for (Socket socket : all) {
            socket.close();
        }
    }

    @Test
    void anIdleConnectionIsClosedWhenManyAreOpen() throws Exception {
        JsonObject json = Fixture.config(discovery, firstServer);
        json.getAsJsonObject("limits").addProperty("sockets", Sockets.RESERVE + 80);
        int port = start(json);
        List<Socket> all = new ArrayList<>();
        // More than 144 / 6 = 24 connections count as many; 25 still fit under the limit.
        for (int i = 0; i < 25; i++) {
            client = connect(port);
            all.add(client);
            assertEquals(200, status(roundTrip(Fixture.request("GET", "/view", i, "", ""))));
        }
        assertNull(FakePeer.read(all.get(0)), "the oldest idle connection is still open");
        assertEquals(200, status(roundTrip(Fixture.request("GET", "/view", 99, "", ""))));
        for (Socket socket : all) {
            socket.close();
        }
    }

    @Test
    void keepAliveEndsWhenThereAreTooManyConnections() throws Exception {
        JsonObject json = Fixture.config(discovery, firstServer);
        json.getAsJsonObject("limits").addProperty("sockets", Sockets.RESERVE + 56);
        int port = start(json);
        List<Socket> all = new ArrayList<>();
        // Keep-alive ends above 120 / 4 = 30 connections.
        for (int i = 0; i < 31; i++) {
            all.add(connect(port));
        }
        client = connect(port);
        String response = roundTrip(Fixture.request("GET", "/view", 1, "", ""));
        assertEquals(200, status(response));
        assertEquals("close", FakePeer.header(response, "Connection"));
        for (Socket socket : all) {
            socket.close();
        }
    }

    @Test
    void theIdOfAPendingRequestIsRejected() throws Exception {
        firstServer.script(FakePeer.SILENT);
        int port = start(Fixture.config(discovery, firstServer));
        try (Socket other = connect(port)) {
            FakePeer.write(other, Fixture.request("POST", "/order", 1, "", ""));
            firstServer.nextRequest();
            client = connect(port);
            assertEquals(409, status(roundTrip(Fixture.request("POST", "/order", 1, "", ""))));
        }
        assertTrue(firstServer.requests.isEmpty());
    }

    @Test
    void theIdOfACompletedRequestIsRejected() throws Exception {
        start(firstServer);
        assertEquals(200, status(roundTrip(Fixture.request("POST", "/order", 1, "", ""))));
        // Stands for another client's copy of the request that arrives just after the response.
        assertEquals(409, status(roundTrip(Fixture.request("POST", "/order", 1, "", ""))));
        assertEquals(200, status(roundTrip(Fixture.request("POST", "/order", 2, "", ""))));
        assertEquals(2, firstServer.requests.size());
    }

    @Test
    void idleConnectionsAreClosedAtTheSocketLimit() throws Exception {
        JsonObject json = Fixture.config(discovery, firstServer);
        json.getAsJsonObject("limits").addProperty("sockets", Sockets.RESERVE + 8);
        int port = start(json);
        List<Socket> all = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            client = connect(port);
            all.add(client);
            assertEquals(200, status(roundTrip(Fixture.request("GET", "/view", i, "", ""))));
        }
        assertNull(FakePeer.read(all.get(0)), "the oldest idle connection is still open");
        for (Socket socket : all) {
            socket.close();
        }
    }

    @Test
    void nothingIsSentByTheKnownListBeforeDiscoveryResponds() throws Exception {
        CountDownLatch ready = new CountDownLatch(1);
        int port = start(Fixture.config(discovery, firstServer),
                TimeUnit.SECONDS.toMillis(FakePeer.PATIENCE_S), ready);
        client = connect(port);
        FakePeer.write(client, Fixture.request("POST", "/order", 1, "", "x"));
        assertTrue(discovery.nextRequest().contains("&after=41 "));
        Socket watch = FakePeer.soon(discovery.accepted);
        try (Socket readinessClient = connect(port)) {
            FakePeer.write(readinessClient, "GET /ready HTTP/1.1\r\n\r\n");
            assertEquals(503, status(FakePeer.read(readinessClient)),
                    "ready before the list is confirmed current");
        }
        Fixture.beginWatch(watch);
        Fixture.line(watch, Fixture.list(42, false, "Terminating", firstServer));
        Fixture.line(watch, Fixture.list(43, false, "Ready", secondServer));
        assertEquals(200, status(FakePeer.read(client)));
        secondServer.nextRequest();
        assertTrue(firstServer.requests.isEmpty(), "sent to a server that drained before the start");
        assertTrue(ready.await(FakePeer.PATIENCE_S, TimeUnit.SECONDS), "node did not become ready");
        assertTrue(discovery.requests.isEmpty(), "watch opened twice");
    }
}
