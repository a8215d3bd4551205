package cedarrelay.node;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;

import cedarrelay.Balancer.RequestClass;
import cedarrelay.Balancer.RetrySafety;
import cedarrelay.Balancer.ServerState;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * Warms up a node with synthetic requests before it reports that it is ready. Just after its start the
 * process loads classes and runs unoptimized code: the first requests of clients can take up to 0.2 s of
 * processor time each, so that they and those queued behind them miss their latency target, and some their
 * deadline. A second node with separate state sends the synthetic requests over real connections to the
 * first node's address. There they are recognized by a token and answered at once: none reaches a server or
 * the first node's decision module.
 */
final class WarmUp {
    /** Carries the token that marks a request of the warm-up. */
    static final String TOKEN_HEADER = "X-Rehearsal";
    private static final int CONCURRENT_CLIENTS = 4;
    private static final int SOCKET_LIMIT = SocketLimiter.RESERVED_DESCRIPTORS + 64;

    private final EventLoop loop;
    private final Config config;
    private final String token;
    private final int requestCount;
    private final long endNs;
    private final Runnable onDone;
    private final Node warmUpNode;
    private int sentCount;
    private int responseCount;
    private boolean finished;

    /**
     * Prepares a warm-up.
     *
     * @param nodeConfig the configuration of the node that is warmed up
     * @param nodeAddress where that node listens
     * @param token marks the requests of the warm-up
     * @param requestCount number of requests to send, or fewer if {@code maxMs} milliseconds pass before
     * @param onDone runs when the warm-up is over
     */
    WarmUp(EventLoop loop, Config nodeConfig, InetSocketAddress nodeAddress, String token,
            int requestCount, long maxMs, Runnable onDone) {
        this.loop = loop;
        this.token = token;
        this.requestCount = requestCount;
        this.onDone = onDone;
        endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMs);
        String zone = nodeConfig.settings().zones.isEmpty() ? "" : nodeConfig.settings().zones.get(0);
        ServerList nodeAsServer = new ServerList(0, true, List.of(
                new ServerList.Entry("self", nodeAddress, zone, 0, ServerState.READY, 1, 0)));
        config = new Config(nodeAddress, nodeAddress, 1, SOCKET_LIMIT, nodeConfig.serverIdleTimeoutUs(),
                nodeConfig.settings(), nodeAsServer);
        warmUpNode = new Node(config, loop);
    }

    /** Starts the warm-up; {@code onDone} runs when it is over, after {@code maxMs} at the latest. */
    void run() {
        warmUpNode.startAsWarmUpNode();
        // A failure of the warm-up must not keep the node from becoming ready.
        loop.schedule(this::finish, endNs - System.nanoTime(), TimeUnit.NANOSECONDS);
        for (int i = 0; i < CONCURRENT_CLIENTS; i++) {
            sendNext(new EmbeddedClient());
        }
    }

    private void finish() {
        if (!finished) {
            finished = true;
            warmUpNode.close();
            onDone.run();
        }
    }

    private void sendNext(EmbeddedClient client) {
        if (finished) {
            return;
        }
        if (sentCount == requestCount || System.nanoTime() - endNs > 0) {
            if (responseCount == sentCount) {
                finish();
            }
            return;
        }
        client.writeInbound(createRequest(sentCount++));
    }

    private ByteBuf createRequest(int number) {
        RequestClass requestClass = config.settings().classes.get(number % config.settings().classes.size());
        boolean safe = requestClass.retrySafety() == RetrySafety.SAFE;
        String tenantHeader = config.settings().tenants.isEmpty() ? ""
                : "X-Org: " + config.settings().tenants.get(0).name() + "\r\n";
        return Unpooled.copiedBuffer((safe ? "GET" : "POST") + " /" + requestClass.name() + " HTTP/1.1\r\n"
                + "Host: backend.local\r\nX-Txn: " + HexFormat.of().toHexDigits((long) number) + "\r\n"
                + tenantHeader
                + "Cookie: key=1\r\nX-Remaining-Ms: 3000\r\n" + TOKEN_HEADER + ": " + token + "\r\n"
                + (safe ? "" : "Content-Length: 4\r\n")
                + (requestClass.retrySafety() == RetrySafety.KEYED
                        ? "Idempotency-Key: " + number + "\r\n" : "")
                + "\r\n" + (safe ? "" : "body"), StandardCharsets.US_ASCII);
    }

    /** A client connection without a socket: each message written to it is a response. */
    private final class EmbeddedClient extends EmbeddedChannel {
        EmbeddedClient() {
            warmUpNode.openSocketlessClient(pipeline());
            pipeline().fireChannelActive();
        }

        @Override
        protected void handleOutboundMessage(Object message) {
            ReferenceCountUtil.release(message);
            responseCount++;
            loop.execute(() -> sendNext(this));
        }
    }
}
