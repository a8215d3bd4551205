package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A node whose event loop throws errors: it goes on after some, and its end is noticed if there are more. */
@Timeout(60)
class EventLoopsTest {
    private final AtomicInteger errorsLeft = new AtomicInteger();
    private final AtomicInteger errorsReported = new AtomicInteger();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean failsWithoutEvents;
    private final EventLoopGroup group = EventLoops.newGroup(
            PausableIoHandler.newFactoryWithHookAfterEachRun(this::throwIfLeft),
            error -> errorsReported.incrementAndGet(), ended::countDown);

    private void throwIfLeft(int handledEvents) {
        if ((failsWithoutEvents || handledEvents > 0)
                && errorsLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            throw new OutOfMemoryError("thrown by the test");
        }
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private int startNode(FakePeer discovery, FakePeer server) throws Exception {
        EventLoop loop = group.next();
        Config config = Config.read(Map.of("LB_CONFIG",
                Fixture.writeConfig(Fixture.config(discovery, server)).toString()));
        CountDownLatch ready = new CountDownLatch(1);
        Node node = loop.submit(() -> new Node(config, loop)).get();
        Channel channel = loop.submit(() -> node.start(group, 8, 0, ready::countDown)).get().sync().channel();
        assertTrue(ready.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "the node did not become ready");
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Guards against an error outside the channels' handlers that ends the event loop and all requests. */
    @Test
    void requestsAreAnsweredAfterAnErrorInTheEventLoop() throws Exception {
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT);
                FakePeer server = new FakePeer(FakePeer.SILENT);
                Socket client = new Socket("127.0.0.1", startNode(discovery, server))) {
            client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
            FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
            server.nextRequest();
            errorsLeft.set(1);
            FakePeer.write(FakePeer.awaitNext(server.acceptedConnections),
                    FakePeer.responseText("200 OK", "", "done"));
            assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
            FakePeer.write(client, Fixture.request("GET", "/nothing", 2, "", ""));
            assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 404"));
            assertEquals(1, errorsReported.get());
        }
    }

    /** Guards against a process that stays or ends with status 0 although its event loop has ended. */
    @Test
    void theEndOfAnEventLoopThatFailsOverAndOverIsNoticed() throws Exception {
        failsWithoutEvents = true;
        errorsLeft.set(Integer.MAX_VALUE);
        group.next().execute(() -> { });
        assertTrue(ended.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "the event loop goes on");
        assertEquals(ErrorTolerantIoHandler.MAX_CONSECUTIVE_ERRORS - 1, errorsReported.get());
    }
}
