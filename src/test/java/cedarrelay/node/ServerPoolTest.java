package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import cedarrelay.Balancer.Result;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the reported result for each way in which an attempt can end, and the reuse of connections. */
@Timeout(120)
class ServerPoolTest {
    private static final long IDLE_TIMEOUT_US = 60_000_000;

    private EventLoopGroup group;
    private EventLoop loop;
    private FakePeer server;

    /** The reported result of an attempt. */
    private record Report(Result result, ServerResponse response) { }

    /** Sends a request with a body of zeros, and records what is reported. */
    private static class RecordingOwner implements ServerPool.AttemptOwner {
        final BlockingQueue<Report> reports = new LinkedBlockingQueue<>();
        private final int bodySize;

        RecordingOwner(int bodySize) {
            this.bodySize = bodySize;
        }

        @Override
        public FullHttpRequest createRequest() {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x",
                    Unpooled.wrappedBuffer(new byte[bodySize]));
            message.headers().set("Content-Length", bodySize);
            return message;
        }

        @Override
        public void onResult(Result result, ServerResponse response) {
            reports.add(new Report(result, response));
        }

        Report report() throws InterruptedException {
            return FakePeer.awaitNext(reports);
        }
    }

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        server = new FakePeer(FakePeer.respond("200 OK", "", "hello"));
    }

    @AfterEach
    void close() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private ServerPool pool(String address, long idleTimeoutUs) throws Exception {
        return pool(address, idleTimeoutUs, 0);
    }

    private ServerPool pool(String address, long idleTimeoutUs, long quarantineUs) throws Exception {
        SocketLimiter socketLimiter = new SocketLimiter(1_024);
        ServerPool pool = loop.submit(
                () -> new ServerPool(loop, socketLimiter, 300_000, idleTimeoutUs, quarantineUs)).get();
        applyList(pool, address, 0);
        return pool;
    }

    /** Applies a list with the one server "s". */
    private void applyList(ServerPool pool, String address, long bootMs) throws Exception {
        ServerList list = ServerList.parse("{\"rev\":1,\"all\":true,"
                + "\"targets\":[{\"uid\":\"s\",\"endpoint\":\"" + address
                + "\",\"state\":\"Ready\",\"boot_ms\":" + bootMs + "}]}");
        loop.submit(() -> pool.update(list)).get();
    }

    private ServerPool.Attempt start(ServerPool pool, RecordingOwner owner) throws Exception {
        return loop.submit(() -> pool.start("s", owner)).get();
    }

    /** Sends a request to the server, which runs the script; checks that there is only one report. */
    private Report outcome(FakePeer.Script script) throws Exception {
        server.setScript(script);
        RecordingOwner owner = new RecordingOwner(10);
        start(pool(server.address(), IDLE_TIMEOUT_US), owner);
        Report report = owner.report();
        loop.submit(() -> { }).get();
        assertTrue(owner.reports.isEmpty(), "reported twice");
        return report;
    }

    @Test
    void aCompleteResponseIsReportedUnchanged() throws Exception {
        Report report = outcome(FakePeer.respond("200 OK", "Content-Type: text/x\r\n", "h\u00e9llo"));
        assertEquals(Result.OK, report.result());
        assertArrayEquals("h\u00e9llo".getBytes(StandardCharsets.ISO_8859_1), report.response().body());
        assertEquals("text/x", report.response().contentType());
        assertEquals(Result.OK, outcome(FakePeer.respondRaw(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "2\r\nab\r\n0\r\n\r\n")).result());
        assertEquals(Result.OK, outcome(FakePeer.respondRaw(
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
                + "Content-Length: 0\r\n\r\n")).result());
    }

    @Test
    void overloadRejectionsAreDistinguishedFromOtherErrors() throws Exception {
        assertEquals(Result.ERROR, outcome(FakePeer.respond("500 No", "", "")).result());
        assertEquals(Result.ERROR, outcome(FakePeer.respond("503 No", "", "")).result());
        assertEquals(Result.ERROR, outcome(FakePeer.respond("500 No", "X-Turned-Away: 1\r\n", "")).result());
        assertEquals(Result.REJECTED,
                outcome(FakePeer.respond("503 No", "X-Turned-Away: 1\r\n", "")).result());
        assertEquals(Result.REJECTED,
                outcome(FakePeer.respond("504 No", "X-Turned-Away: 1\r\n", "")).result());
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteWasWrittenIsReset() throws Exception {
        assertEquals(Result.RESET, outcome(FakePeer.RESET).result());
        assertEquals(Result.RESET, outcome(FakePeer.CLOSE).result());
        assertEquals(Result.RESET, outcome((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            socket.close();
        }).result());
        assertEquals(Result.RESET, outcome(FakePeer.respondRaw("HELLO THERE\r\n\r\n")).result());
    }

    /** Guards against responses without a length that come whole and are never forwarded. */
    @Test
    void aResponseWithoutLengthEndsWithTheOrderlyCloseOfItsConnection() throws Exception {
        Report report = outcome((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n\r\nfirst part, ");
            TimeUnit.MILLISECONDS.sleep(50);
            FakePeer.write(socket, "second part");
            socket.close();
        });
        assertEquals(Result.OK, report.result());
        assertEquals("first part, second part",
                new String(report.response().body(), StandardCharsets.UTF_8));
        assertEquals(Result.RESET, outcome((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            socket.close();
        }).result());
    }

    /** Without a length only the orderly close of the connection could end the response, not a reset. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK\r\n", "503 No\r\nX-Turned-Away: 1\r\n"})
    void aResponseWithoutLengthCutOffByAResetIsReset(String head) throws Exception {
        assertEquals(Result.RESET, outcome((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 " + head + "\r\nmaybe half");
            // Gives the pool time to read it: a reset discards data that has not been read.
            TimeUnit.MILLISECONDS.sleep(100);
            FakePeer.RESET.run(socket, request);
        }).result());
    }

    /** The connection stays open after each of these, so only parsing them can end the attempt. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno\r\n0\r\n\r\n",
        "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nno", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"})
    void aMalformedResponseIsReportedAsReset(String malformed) throws Exception {
        assertEquals(Result.RESET, outcome(FakePeer.respondRaw(malformed)).result());
        FakePeer.awaitNext(server.closedConnections);
    }

    @Test
    void endlessHeadersEndTheAttempt() throws Exception {
        assertEquals(Result.RESET, outcome(FakePeer.respondRaw("HTTP/1.1 200 OK\r\n"
                + "X-Pad: pppppppppppppppp\r\n".repeat(1_000))).result());
        assertEquals(Result.RESET, outcome(FakePeer.respondRaw("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100)
                + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")).result());
    }

    @Test
    void aDuplicateResponseIsNotUsedForTheNextRequest() throws Exception {
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        RecordingOwner first = new RecordingOwner(10);
        start(pool, first);
        assertEquals(Result.OK, first.report().result());
        Socket idle = FakePeer.awaitNext(server.acceptedConnections);
        RecordingOwner second = new RecordingOwner(10);
        loop.submit(() -> {
            // The event loop is busy here, so the response stays in the kernel's buffer until start() is
            // called.
            FakePeer.write(idle, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
            return pool.start("s", second);
        }).get();
        assertEquals("hello", new String(second.report().response().body(), StandardCharsets.UTF_8));
    }

    @Test
    void aLateDuplicateResponseArrivesDuringTheQuarantine() throws Exception {
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US, TimeUnit.SECONDS.toMicros(1));
        RecordingOwner first = new RecordingOwner(10);
        start(pool, first);
        assertEquals(Result.OK, first.report().result());
        Socket quarantined = FakePeer.awaitNext(server.acceptedConnections);
        server.nextRequest();
        RecordingOwner second = new RecordingOwner(11);
        start(pool, second);
        assertTrue(server.receivedRequests.isEmpty(), "sent on a connection in quarantine");
        FakePeer.write(quarantined, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        assertSame(quarantined, FakePeer.awaitNext(server.closedConnections));
        // The attempt that waited for this connection gets another one.
        assertEquals("hello", new String(second.report().response().body(), StandardCharsets.UTF_8));
        assertEquals("11", FakePeer.header(server.nextRequest(), "Content-Length"));
    }

    /** Guards against clients that are served with the responses to other clients' requests. */
    @Test
    void aDuplicateResponseAfterTheNextRequestIsNotUsedForIt() throws Exception {
        AtomicInteger count = new AtomicInteger();
        server.setScript((socket, request) -> {
            String last = FakePeer.responseText("200 OK", "", "response " + count.get());
            String next = FakePeer.responseText("200 OK", "", "response " + count.incrementAndGet());
            // A server that was paused sends the duplicate before it reads the next request.
            boolean duplicate = count.get() == DuplicateResponseDetector.MIN_DIFFERENT_RESPONSES + 1;
            FakePeer.write(socket, duplicate ? last + next : next);
        });
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        for (int i = 1; i <= DuplicateResponseDetector.MIN_DIFFERENT_RESPONSES + 2; i++) {
            RecordingOwner owner = new RecordingOwner(10);
            start(pool, owner);
            byte[] body = owner.report().response().body();
            assertEquals("response " + i, new String(body, StandardCharsets.UTF_8));
        }
        FakePeer.awaitNext(server.closedConnections);
        assertEquals(2, server.acceptedConnections.size(), "connections, one of them with a duplicate");
    }

    /** Guards against a late duplicate of a rejection, by which a request that runs would be sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"503 No\r\nX-Turned-Away: 1", "504 No\r\nX-Turned-Away: 1", "500 No", "503 No"})
    void aLateDuplicateOfAnErrorIsNotTakenForTheNextResponse(String statusAndHeader) throws Exception {
        String error = "HTTP/1.1 " + statusAndHeader + "\r\nContent-Length: 0\r\n\r\n";
        AtomicInteger requests = new AtomicInteger();
        Set<Socket> errorSent = ConcurrentHashMap.newKeySet();
        server.setScript((socket, request) -> {
            // The duplicate arrives just after the next request on the connection was written.
            boolean sendError = requests.incrementAndGet() == 1 || errorSent.contains(socket);
            if (sendError) {
                errorSent.add(socket);
            }
            FakePeer.write(socket, sendError ? error : FakePeer.responseText("200 OK", "", "hello"));
        });
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        RecordingOwner first = new RecordingOwner(10);
        start(pool, first);
        assertNotEquals(Result.OK, first.report().result());
        RecordingOwner second = new RecordingOwner(11);
        start(pool, second);
        assertEquals(Result.OK, second.report().result());
    }

    @Test
    void aConnectionCarriesTheNextWaitingAttemptAfterItsQuarantine() throws Exception {
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US, 50_000);
        RecordingOwner[] owners = {new RecordingOwner(1), new RecordingOwner(2), new RecordingOwner(3)};
        start(pool, owners[0]);
        assertEquals(Result.OK, owners[0].report().result());
        loop.submit(() -> {
            pool.start("s", owners[1]);
            return pool.start("s", owners[2]);
        }).get();
        assertEquals(Result.OK, owners[1].report().result());
        assertEquals(Result.OK, owners[2].report().result());
        FakePeer.awaitNext(server.acceptedConnections);
        FakePeer.awaitNext(server.acceptedConnections);
        assertTrue(server.acceptedConnections.isEmpty(),
                "opened a connection although one in quarantine was available");
    }

    @Test
    void aConnectionEstablishedAfterItsServerDrainsCarriesNothing() throws Exception {
        for (String state : List.of("Terminating", "Gone")) {
            ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
            RecordingOwner owner = new RecordingOwner(10);
            ServerList list = ServerList.parse("{\"rev\":2,\"all\":false,\"targets\":[{\"uid\":\"s\","
                    + "\"endpoint\":\"" + server.address() + "\",\"state\":\"" + state + "\"}]}");
            loop.submit(() -> {
                // The connect has begun, and the event loop can't process its end before the list.
                pool.start("s", owner);
                pool.update(list);
            }).get();
            assertEquals(Result.NOT_SENT, owner.report().result());
            applyList(pool, server.address(), 0);
            RecordingOwner next = new RecordingOwner(11);
            start(pool, next);
            assertEquals(Result.OK, next.report().result());
            assertEquals("11", FakePeer.header(server.nextRequest(), "Content-Length"));
        }
        assertTrue(server.receivedRequests.isEmpty());
    }

    @Test
    void anAttemptNoLongerWantedWhenItsConnectionIsEstablishedIsNotSent() throws Exception {
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        RecordingOwner unwanted = new RecordingOwner(10) {
            @Override
            public boolean isStillWanted() {
                return false;
            }
        };
        RecordingOwner next = new RecordingOwner(11);
        loop.submit(() -> {
            pool.start("s", unwanted);
            return pool.start("s", next);
        }).get();
        assertEquals(Result.NOT_SENT, unwanted.report().result());
        assertEquals(Result.OK, next.report().result());
        assertEquals("11", FakePeer.header(server.nextRequest(), "Content-Length"));
        assertTrue(server.receivedRequests.isEmpty());
    }

    @Test
    void aRefusedConnectionIsReportedAsConnectFailed() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        RecordingOwner owner = new RecordingOwner(10);
        start(pool("127.0.0.1:" + port, IDLE_TIMEOUT_US), owner);
        assertEquals(Result.CONNECT_FAILED, owner.report().result());
    }

    @Test
    void aHangingConnectFailsAtTheConnectTimeout() throws Exception {
        assertHangingConnectFails(attempt -> { });
    }

    @Test
    void anAttemptThatTimesOutWhileConnectingIsReportedAsConnectFailed() throws Exception {
        assertHangingConnectFails(attempt -> loop.execute(() -> attempt.abandon(Result.TIMEOUT)));
    }

    private void assertHangingConnectFails(Consumer<ServerPool.Attempt> whileConnecting) throws Exception {
        try (ServerSocket fullServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Linux drops connection attempts while the queue of connections not yet accepted is full.
            List<Socket> queued = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Socket socket = new Socket();
                queued.add(socket);
                try {
                    socket.connect(fullServer.getLocalSocketAddress(), 200);
                } catch (java.net.SocketTimeoutException e) {
                    break;
                }
            }
            RecordingOwner owner = new RecordingOwner(10);
            whileConnecting.accept(
                    start(pool("127.0.0.1:" + fullServer.getLocalPort(), IDLE_TIMEOUT_US), owner));
            assertEquals(Result.CONNECT_FAILED, owner.report().result());
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aConnectionClosedAsSoonAsEstablishedIsReportedAsConnectFailed(boolean reset) throws Exception {
        try (ServerSocket closingServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            ServerPool pool = pool("127.0.0.1:" + closingServer.getLocalPort(), IDLE_TIMEOUT_US);
            RecordingOwner owner = new RecordingOwner(10);
            CountDownLatch ended = new CountDownLatch(1);
            loop.execute(() -> {
                pool.start("s", owner);
                // Blocks the event loop, so that it sees the connection's start and end at the same
                // time.
                loop.submit(() -> ended.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
            });
            Socket accepted = closingServer.accept();
            accepted.setSoLinger(reset, 0);
            accepted.close();
            ended.countDown();
            assertEquals(Result.CONNECT_FAILED, owner.report().result());
        }
    }

    @Test
    void aConnectionThatBreaksBeforeTheLastByteWasWrittenIsReportedAsConnectFailed() throws Exception {
        try (ServerSocket nonReadingServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RecordingOwner owner = new RecordingOwner(64 << 20);
            start(pool("127.0.0.1:" + nonReadingServer.getLocalPort(), IDLE_TIMEOUT_US), owner);
            Socket accepted = nonReadingServer.accept();
            accepted.getInputStream().read();
            accepted.setSoLinger(true, 0);
            accepted.close();
            assertEquals(Result.CONNECT_FAILED, owner.report().result());
        }
    }

    @Test
    void aPartlyWrittenRequestIsCutOffAndReportedAsConnectFailed() throws Exception {
        try (ServerSocket nonReadingServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RecordingOwner owner = new RecordingOwner(64 << 20);
            ServerPool.Attempt attempt = start(
                    pool("127.0.0.1:" + nonReadingServer.getLocalPort(), IDLE_TIMEOUT_US), owner);
            Socket accepted = nonReadingServer.accept();
            accepted.getInputStream().read();
            loop.submit(attempt::abandonUnlessFullyWritten).get();
            assertEquals(Result.CONNECT_FAILED, owner.report().result());
            assertTrue(accepted.getInputStream().transferTo(OutputStream.nullOutputStream()) < 64 << 20,
                    "the whole request was written");
        }
    }

    @Test
    void aCompletelyWrittenRequestIsNotAbandoned() throws Exception {
        server.setScript(FakePeer.SILENT);
        RecordingOwner owner = new RecordingOwner(10);
        ServerPool.Attempt attempt = start(pool(server.address(), IDLE_TIMEOUT_US), owner);
        server.nextRequest();
        loop.submit(attempt::abandonUnlessFullyWritten).get();
        FakePeer.write(FakePeer.awaitNext(server.acceptedConnections),
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals(Result.OK, owner.report().result());
    }

    @Test
    void anAbandonedAttemptClosesItsConnection() throws Exception {
        server.setScript(FakePeer.SILENT);
        RecordingOwner owner = new RecordingOwner(10);
        ServerPool.Attempt attempt = start(pool(server.address(), IDLE_TIMEOUT_US), owner);
        server.nextRequest();
        loop.submit(() -> attempt.abandon(Result.TIMEOUT)).get();
        assertEquals(Result.TIMEOUT, owner.report().result());
        FakePeer.awaitNext(server.closedConnections);
    }

    @Test
    void aTimeoutOfAnUnresponsiveServerClosesItsIdleConnections() throws Exception {
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        RecordingOwner[] owners = {new RecordingOwner(1), new RecordingOwner(2)};
        // In one task of the event loop: if the first were answered in between, its connection would be
        // reused.
        loop.submit(() -> {
            pool.start("s", owners[0]);
            return pool.start("s", owners[1]);
        }).get();
        assertEquals(Result.OK, owners[0].report().result());
        assertEquals(Result.OK, owners[1].report().result());
        server.setScript(FakePeer.SILENT);
        RecordingOwner unanswered = new RecordingOwner(3);
        ServerPool.Attempt attempt = start(pool, unanswered);
        loop.submit(() -> attempt.abandon(Result.TIMEOUT)).get();
        assertEquals(Result.TIMEOUT, unanswered.report().result());
        FakePeer.awaitNext(server.closedConnections);
        FakePeer.awaitNext(server.closedConnections);
    }

    @Test
    void anAttemptAbandonedWhileConnectingIsNeverSent() throws Exception {
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        RecordingOwner owner = new RecordingOwner(10);
        loop.submit(() -> pool.start("s", owner).abandon(Result.CANCELLED)).get();
        assertEquals(Result.NOT_SENT, owner.report().result());
        // Once established, its connection carries the next attempt: the only request that the server
        // receives.
        FakePeer.awaitNext(server.acceptedConnections);
        RecordingOwner next = new RecordingOwner(11);
        start(pool, next);
        assertEquals(Result.OK, next.report().result());
        assertEquals("11", FakePeer.header(server.nextRequest(), "Content-Length"));
        assertTrue(server.receivedRequests.isEmpty());
    }

    @Test
    void theMostRecentlyUsedConnectionIsReusedFirst() throws Exception {
        BlockingQueue<Socket> used = new LinkedBlockingQueue<>();
        server.setScript((socket, request) -> used.add(socket));
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        RecordingOwner first = new RecordingOwner(1);
        RecordingOwner second = new RecordingOwner(2);
        start(pool, first);
        start(pool, second);
        Socket answeredFirst = FakePeer.awaitNext(used);
        Socket answeredLast = FakePeer.awaitNext(used);
        FakePeer.write(answeredFirst, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(first.reports.isEmpty() && second.reports.isEmpty() ? awaitEither(first, second)
                : first.reports.isEmpty() ? second.reports : first.reports);
        FakePeer.write(answeredLast, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(awaitEither(first, second));
        RecordingOwner third = new RecordingOwner(3);
        start(pool, third);
        assertSame(answeredLast, FakePeer.awaitNext(used));
    }

    /** Waits until one of the owners has a report, and returns the queue that contains it. */
    private static BlockingQueue<Report> awaitEither(RecordingOwner a, RecordingOwner b)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        while (a.reports.isEmpty() && b.reports.isEmpty() && System.nanoTime() < deadlineNs) {
            Report report = a.reports.poll(1, TimeUnit.MILLISECONDS);
            if (report != null) {
                a.reports.add(report);
            }
        }
        return a.reports.isEmpty() ? b.reports : a.reports;
    }

    @Test
    void aConnectionThatTheServerClosedOrWroteToWhileIdleIsNotReused() throws Exception {
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        String wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        for (String unsolicited : Arrays.asList(null, wrong, "HTT")) {
            RecordingOwner first = new RecordingOwner(10);
            start(pool, first);
            assertEquals(Result.OK, first.report().result());
            Socket idle = FakePeer.awaitNext(server.acceptedConnections);
            if (unsolicited == null) {
                idle.close();
            } else {
                FakePeer.write(idle, unsolicited);
            }
            assertSame(idle, FakePeer.awaitNext(server.closedConnections));
            RecordingOwner second = new RecordingOwner(10);
            start(pool, second);
            assertEquals("hello", new String(second.report().response().body(), StandardCharsets.UTF_8));
            FakePeer.awaitNext(server.acceptedConnections).close();
            FakePeer.awaitNext(server.closedConnections);
        }
    }

    @Test
    void anIdleConnectionIsClosedBeforeTheServerWouldCloseIt() throws Exception {
        RecordingOwner owner = new RecordingOwner(10);
        start(pool(server.address(), 100_000), owner);
        assertEquals(Result.OK, owner.report().result());
        // The fake server never closes a connection, so the pool has closed it.
        FakePeer.awaitNext(server.closedConnections);
    }

    @Test
    void attemptsGoToTheNewAddressOfAServerThatMoved() throws Exception {
        ServerPool pool = pool(server.address(), IDLE_TIMEOUT_US);
        RecordingOwner first = new RecordingOwner(10);
        start(pool, first);
        assertEquals(Result.OK, first.report().result());
        try (FakePeer moved = new FakePeer(FakePeer.respond("200 OK", "", "moved"))) {
            applyList(pool, moved.address(), 0);
            FakePeer.awaitNext(server.closedConnections);
            RecordingOwner second = new RecordingOwner(10);
            start(pool, second);
            assertEquals("moved", new String(second.report().response().body(), StandardCharsets.UTF_8));
        }
    }
}
