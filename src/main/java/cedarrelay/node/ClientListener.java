package cedarrelay.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import cedarrelay.node.Metrics.Counter;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;

/** Accepts client connections; closes those that exceed a time limit, and others if sockets run short. */
final class ClientListener {
    private static final Logger LOG = System.getLogger(ClientListener.class.getName());
    private static final String METRICS_PATH = "/metrics";
    private static final int ACCEPT_BACKLOG = 1_024;
    /**
     * Connections accepted per iteration of the event loop. With fewer, connections wait for several slow
     * iterations; but the number of sockets may exceed its limit by this many.
     */
    private static final int MAX_ACCEPTS_PER_ITERATION = 32;
    /** Delay before accepting is tried again, after it was paused for lack of room. */
    private static final long ACCEPT_RETRY_MS = 20;
    /**
     * Idle timeout while there are many client connections. Some clients send one request and never close
     * the connection, which would use up the sockets that other clients need.
     */
    private static final long IDLE_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(2_100);
    /** Connections that have been idle for less than this are not closed to make room or when stopping. */
    private static final long MIN_IDLE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /**
     * Requests that have been incomplete for less than this are not rejected to make room. It bounds the rate
     * of new connections of clients that come back at once, and how long others wait behind them.
     */
    private static final long MIN_UNFINISHED_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Interval between the checks for overdue and idle connections. */
    private static final long SWEEP_INTERVAL_MS = 200;
    /** Largest read from a socket: everything that is decoded from one read stays in memory. */
    private static final int MAX_READ_BYTES = 16_384;

    private final EventLoop loop;
    private final SocketLimiter socketLimiter;
    private final EventLoopLag loopLag;
    private final ClientRequest.Parser parser;
    private final Consumer<Exchange> exchangeHandler;
    private final Metrics metrics;
    private final RequestMemoryBudget requestMemory = RequestMemoryBudget.fractionOfHeap();
    private final DecodeScheduler decodeScheduler;
    /** Open connections that have sent a complete request, ordered by when the latest was read. */
    private final Set<ClientConnection> usedConnections = new LinkedHashSet<>();
    /** Open connections that have not sent a complete request yet, oldest first. */
    private final Set<ClientConnection> unusedConnections = new LinkedHashSet<>();
    /** Those of either kind that have sent a part of a request, the part received first at the beginning. */
    private final Set<ClientConnection> unfinishedConnections = new LinkedHashSet<>();
    private ScheduledFuture<?> sweepTask;
    private Channel listeningChannel;
    private String warmUpToken;
    private boolean ready;
    private boolean draining;
    private boolean acceptingStopped;

    /**
     * Creates the client side of a node; it accepts nothing before {@link #listen}.
     *
     * @param exchangeHandler receives each request that has been read and accepted for forwarding
     */
    ClientListener(EventLoop loop, SocketLimiter socketLimiter, EventLoopLag loopLag,
            ClientRequest.Parser parser, Consumer<Exchange> exchangeHandler, Metrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
        this.socketLimiter = socketLimiter;
        this.loopLag = loopLag;
        this.parser = parser;
        this.exchangeHandler = exchangeHandler;
        decodeScheduler = new DecodeScheduler(loop);
        socketLimiter.registerClientSide(this::closeToMakeRoom, this::resumeAccepting);
    }

    /** Binds the address and accepts connections on it; the future fails if the address can't be bound. */
    ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        ChannelFuture binding = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_ITERATION))
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        // Always two reads, however short the first: a close after a request is seen at once.
                        new AdaptiveRecvByteBufAllocator(512, 2_048, MAX_READ_BYTES)
                                .respectMaybeMoreData(false).maxMessagesPerRead(2))
                .handler(new AcceptErrorHandler())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ClientConnection.open(ClientListener.this, channel.pipeline());
                    }
                }).bind(address);
        listeningChannel = binding.channel();
        sweepTask = loop.scheduleWithFixedDelay(this::closeOverdueAndIdle, SWEEP_INTERVAL_MS,
                SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return binding;
    }

    private void closeOverdueAndIdle() {
        long nowNs = System.nanoTime();
        for (Set<ClientConnection> connections : List.of(unusedConnections, usedConnections)) {
            // Iterates over a copy, because a connection that is closed is removed from the set at once.
            new ArrayList<>(connections).forEach(connection -> connection.closeIfOverdue(nowNs));
        }
        boolean closed = true;
        while (closed && socketLimiter.shouldCloseIdleClients()) {
            closed = closeFirst(usedConnections,
                    connection -> connection.closeIfIdle(nowNs - IDLE_TIMEOUT_NS));
        }
    }

    /**
     * Sets the token that marks the requests of the warm-up. They are answered here and never sent to a
     * server, including those that arrive after a warm-up that was cut short.
     */
    void setWarmUpToken(String token) {
        warmUpToken = token;
    }

    /**
     * Reports the node as ready on {@code /ready}; called when the warm-up is over and a server list is in
     * use.
     */
    void setReady() {
        ready = true;
    }

    /**
     * From now on a connection is closed after the response to the last request read from it, and
     * {@code /ready} reports that the node is stopping. New connections are still accepted.
     */
    void drain() {
        draining = true;
    }

    /**
     * Closes the listening socket. First accepts the connections that the kernel has already established,
     * as closing the socket would reset them.
     */
    void stopAccepting() {
        acceptingStopped = true;
        int countBefore;
        do {
            countBefore = unusedConnections.size();
            ((AbstractNioChannel.NioUnsafe) listeningChannel.unsafe()).read();
        } while (unusedConnections.size() > countBefore);
        listeningChannel.close();
    }

    /**
     * Closes the connections that have been idle for a while; called after accepting has stopped. Input that
     * has arrived is read first, and a request in it is handled.
     *
     * @return whether no connection is left
     */
    boolean closeIdleConnections() {
        long idleBeforeNs = System.nanoTime() - MIN_IDLE_NS;
        for (Set<ClientConnection> connections : List.of(unusedConnections, usedConnections)) {
            new ArrayList<>(connections).forEach(connection -> connection.closeIfIdle(idleBeforeNs));
        }
        return usedConnections.isEmpty() && unusedConnections.isEmpty();
    }

    /** Rejects the requests that are being read; one that is whole once its input is read is handled. */
    void rejectUnfinishedRequests() {
        new ArrayList<>(unfinishedConnections).forEach(ClientConnection::rejectIfUnfinished);
    }

    /** The memory that requests take, over all connections. */
    RequestMemoryBudget requestMemory() {
        return requestMemory;
    }

    /** Decodes the input that is left by throttled connections. */
    DecodeScheduler decodeScheduler() {
        return decodeScheduler;
    }

    /** The lag of the event loop. */
    EventLoopLag loopLag() {
        return loopLag;
    }

    /** Whether a connection is closed after its response instead of kept for a next request. */
    boolean closesAfterResponse() {
        return draining || socketLimiter.shouldCloseAfterResponse();
    }

    /** Whether {@link #stopAccepting} has been called. */
    boolean hasStoppedAccepting() {
        return acceptingStopped;
    }

    /** Why the node is not ready for client traffic, as {@code /ready} reports it; null if it is ready. */
    String notReadyReason() {
        return draining ? "stopping" : ready ? null : "starting";
    }

    /** Whether the request belongs to the warm-up, by its token. */
    boolean isWarmUpRequest(FullHttpRequest http) {
        return warmUpToken != null && warmUpToken.equals(http.headers().get(WarmUp.TOKEN_HEADER));
    }

    /** The node's metrics, as the body of a response to {@code /metrics}. */
    String metrics() {
        return metrics.render();
    }

    /** Whether the request is for the metrics; a class of requests with the same path has precedence. */
    boolean isMetrics(FullHttpRequest http) {
        return http.uri().equals(METRICS_PATH) && !parser.isClass(METRICS_PATH.substring(1));
    }

    /** Records that the node closed a connection with a request that was read and not answered. */
    void recordUnansweredClose(SocketAddress client) {
        metrics.recordViolation(Counter.VIOLATIONS_CLOSE_UNANSWERED, "client " + client);
    }

    /** Records that a request was rejected because requests took too much memory. */
    void recordMemoryRejection(SocketAddress client) {
        metrics.increment(Counter.REQUESTS_OUT_OF_MEMORY);
        LOG.log(Level.DEBUG, "no memory for a request of client {0}", client);
    }

    /** Records that an incomplete request was rejected because sockets ran short. */
    void recordRejectionForRoom(SocketAddress client) {
        metrics.increment(Counter.REQUESTS_OUT_OF_SOCKETS);
        LOG.log(Level.DEBUG, "no socket for an incomplete request of client {0}", client);
    }

    /** Parses and checks a request; throws the error to be sent if it can't be forwarded. */
    ClientRequest parseRequest(FullHttpRequest http) throws BadRequestException {
        return parser.parse(http);
    }

    /** Passes a request on to be sent to a server. */
    void forward(Exchange exchange) {
        exchangeHandler.accept(exchange);
    }

    /** Counts a new connection, and pauses accepting if there is no room for a further one. */
    void connectionOpened(ClientConnection connection) {
        socketLimiter.addClient();
        if (!socketLimiter.makeRoomForClient()) {
            pauseAccepting();
        }
        unusedConnections.add(connection);
    }

    /** Notes that the connection has sent a complete request. */
    void requestReceived(ClientConnection connection) {
        if (unusedConnections.remove(connection) || usedConnections.remove(connection)) {
            usedConnections.add(connection);
        }
    }

    /** Notes that the connection has sent a part of a request. */
    void requestBegun(ClientConnection connection) {
        unfinishedConnections.add(connection);
    }

    /** Notes that the connection has sent the rest of a request, or that its part is discarded. */
    void requestNoLongerUnfinished(ClientConnection connection) {
        unfinishedConnections.remove(connection);
    }

    /** Removes a closed connection; has no effect the second time. */
    void connectionClosed(ClientConnection connection) {
        unfinishedConnections.remove(connection);
        if (unusedConnections.remove(connection) || usedConnections.remove(connection)) {
            socketLimiter.removeClient();
        }
    }

    /**
     * Closes one connection: an idle one, or else the one whose request has been incomplete for longest. Idle
     * connections that have never sent a request come first, as closing another can race with its next
     * request. Connections that were opened or answered only just now are kept: the kernel may hold their
     * request already, unread while others are accepted.
     */
    private boolean closeToMakeRoom() {
        long nowNs = System.nanoTime();
        long idleBeforeNs = nowNs - MIN_IDLE_NS;
        return closeFirst(unusedConnections, connection -> connection.closeIfIdle(idleBeforeNs))
                || closeFirst(usedConnections, connection -> connection.closeIfIdle(idleBeforeNs))
                || closeFirst(unfinishedConnections,
                        connection -> connection.closeIfUnfinished(nowNs - MIN_UNFINISHED_NS));
    }

    /** Closes the first connection for which {@code closeIf} does so; false if there is none. */
    private boolean closeFirst(Set<ClientConnection> connections, Predicate<ClientConnection> closeIf) {
        // Iterates over a copy, because reading before a close may complete a request, which moves the
        // connection.
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (closeIf.test(connection)) {
                // Netty calls channelInactive only later, and until then the caller would find no room.
                connectionClosed(connection);
                return true;
            }
        }
        return false;
    }

    /** Stops accepting for a while; new connections wait in the kernel's accept queue. */
    private void pauseAccepting() {
        if (listeningChannel != null) {
            metrics.increment(Counter.ACCEPT_PAUSES);
            listeningChannel.config().setAutoRead(false);
            loop.schedule(this::retryAccepting, ACCEPT_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Checks for room again: a connection may have become idle, which causes no notification. */
    private void retryAccepting() {
        if (listeningChannel.isOpen() && !listeningChannel.config().isAutoRead()) {
            if (socketLimiter.makeRoomForClient()) {
                resumeAccepting();
            } else {
                loop.schedule(this::retryAccepting, ACCEPT_RETRY_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Starts accepting again if there is room; called when a socket has been closed. */
    private void resumeAccepting() {
        if (listeningChannel != null && listeningChannel.isOpen() && !listeningChannel.config().isAutoRead()
                && socketLimiter.hasRoomForClient()) {
            listeningChannel.config().setAutoRead(true);
        }
    }

    /** Pauses accepting when it fails, as without a free file descriptor, whatever the socket count says. */
    private final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Without a pause the selector would report the same connection over and over.
            pauseAccepting();
            socketLimiter.closeIdleConnection();
        }
    }
}
