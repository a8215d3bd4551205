package cedarrelay.node;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.ServerState;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * A pool of connections to servers, each of which carries one request at a time. An attempt is sent to the
 * given server at most once, and its result is reported exactly once; the pool itself never retries.
 *
 * <p>Not thread-safe: all methods are called on the event loop.
 */
final class ServerPool {
    /** Header with the value 1 if an overloaded server rejected the request before it ran. */
    private static final String REJECTED_HEADER = "X-Turned-Away";
    private static final long IDLE_SWEEP_INTERVAL_MS = 500;
    /**
     * Quarantine of a connection after a response, before it is reused. A duplicate of the response may
     * arrive some milliseconds late and would be taken for the response to the next request.
     */
    static final long QUARANTINE_US = 10_000;

    /** The owner of an attempt: supplies the request and receives the result. */
    interface AttemptOwner {
        /** Whether the attempt is still to be sent; called right before its first byte is written. */
        default boolean isStillWanted() {
            return true;
        }

        /** Creates the request; called once, when it is written. */
        FullHttpRequest createRequest();

        /**
         * Reports the result, exactly once for each attempt.
         *
         * @param response the response if the result is OK, ERROR or REJECTED, else null
         */
        void onResult(Result result, ServerResponse response);
    }

    /** A server, its idle connections and the attempts that wait for a connection. */
    private static final class Server {
        InetSocketAddress address;
        long bootMs;
        boolean removed;
        boolean draining;
        /** Grows with each change of address and each restart; earlier connections are not reused. */
        int generation;
        /** Connects of the present generation that have neither succeeded nor failed. */
        int pendingConnects;
        /** Whether a timer runs that sends a waiting attempt when a connection's quarantine ends. */
        boolean sendTimerSet;
        /** When the last complete response was received, or the server added, by {@link System#nanoTime}. */
        long lastResponseNs = System.nanoTime();
        /** Idle connections, the most recently used first. */
        final Deque<Connection> idle = new ArrayDeque<>();
        /** Attempts that wait for a connection, the oldest first. */
        final Deque<Attempt> waiting = new ArrayDeque<>();
    }

    /** A request that is sent, or is to be sent, to one server. */
    final class Attempt {
        private final Server server;
        private final AttemptOwner owner;
        private Connection connection;
        private long sentNs;
        private boolean finished;

        private Attempt(Server server, AttemptOwner owner) {
            this.server = server;
            this.owner = owner;
        }

        /** Whether a connection has been assigned, so that bytes may have reached the server. */
        boolean hasConnection() {
            return connection != null;
        }

        /**
         * Abandons the attempt if it has not ended yet, and reports it. An attempt without a connection is
         * never sent and is reported as NOT_SENT, or as CONNECT_FAILED if it timed out: an unreachable server
         * must not look as if nothing had been tried. A request that was not written completely can't have
         * run and is reported as CONNECT_FAILED. Only a completely written one is reported with the given
         * result.
         *
         * @param result TIMEOUT if no response came in time, CANCELLED if the attempt is no longer needed
         */
        void abandon(Result result) {
            if (finished) {
                return;
            }
            if (connection == null) {
                server.waiting.remove(this);
                end(result == Result.TIMEOUT ? Result.CONNECT_FAILED : Result.NOT_SENT, null);
                return;
            }
            Connection usedConnection = connection;
            if (result == Result.TIMEOUT) {
                // A lagging event loop may run this timer before it reads a response that arrived in time, so
                // the socket is read first. A response that arrives only now is used as well.
                usedConnection.isOpenAfterRead();
                if (finished) {
                    return;
                }
            }
            usedConnection.attempt = null;
            if (usedConnection.duplicateReceived) {
                duplicates.onNoOtherResponse();
            }
            // The response may still arrive, so the connection can't carry another request.
            usedConnection.channel.close();
            if (result == Result.TIMEOUT && server.lastResponseNs - sentNs < 0) {
                // The server has completed no response since this attempt was sent. If it is unresponsive,
                // each of its idle connections would cost another timeout.
                closeIdle(server);
            }
            end(usedConnection.fullyWritten ? result : Result.CONNECT_FAILED, null);
        }

        /** Abandons the attempt as CANCELLED if its request has not been written completely. */
        void abandonUnlessFullyWritten() {
            if (connection == null || !connection.fullyWritten) {
                abandon(Result.CANCELLED);
            }
        }

        private void end(Result result, ServerResponse response) {
            if (!finished) {
                finished = true;
                owner.onResult(result, response);
            }
        }
    }

    private final EventLoop loop;
    private final SocketLimiter socketLimiter;
    private final Bootstrap bootstrap;
    private final long maxIdleNs;
    private final long quarantineNs;
    private final ScheduledFuture<?> idleSweep;
    private final Map<String, Server> servers = new HashMap<>();
    private final BooleanSupplier mayWrite;
    private final DuplicateResponseDetector duplicates;

    /** Creates a pool that may write at any time; for the parameters see the other constructor. */
    ServerPool(EventLoop loop, SocketLimiter socketLimiter, long connectTimeoutUs, long serverIdleTimeoutUs,
            long quarantineUs) {
        this(loop, socketLimiter, connectTimeoutUs, serverIdleTimeoutUs, quarantineUs, () -> true,
                new DuplicateResponseDetector(() -> { }));
    }

    /**
     * Creates a pool that checks before the first byte of each request whether it may be written now. If not,
     * the attempt waits for {@link #resume}.
     *
     * @param serverIdleTimeoutUs after how long the servers close an idle connection, in microseconds
     * @param quarantineUs how long a connection is not reused after a response, in microseconds
     * @param mayWrite the check; it may apply a new server list and so call {@link #update}
     * @param duplicates recognizes late duplicates of responses
     */
    ServerPool(EventLoop loop, SocketLimiter socketLimiter, long connectTimeoutUs, long serverIdleTimeoutUs,
            long quarantineUs, BooleanSupplier mayWrite, DuplicateResponseDetector duplicates) {
        this.loop = loop;
        this.duplicates = duplicates;
        this.mayWrite = mayWrite;
        this.socketLimiter = socketLimiter;
        quarantineNs = TimeUnit.MICROSECONDS.toNanos(quarantineUs);
        // Half the servers' idle timeout: a request written while the server closes its connection is lost,
        // and the pool can't tell whether it has run.
        maxIdleNs = TimeUnit.MICROSECONDS.toNanos(serverIdleTimeoutUs) / 2;
        bootstrap = new Bootstrap().group(loop).disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000))
                .option(ChannelOption.TCP_NODELAY, true);
        socketLimiter.registerServerSide(this::closeOldestIdle);
        idleSweep = loop.scheduleWithFixedDelay(this::closeExpiredIdle, IDLE_SWEEP_INTERVAL_MS,
                IDLE_SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the idle connections now, and the other ones when their attempts have ended. */
    void close() {
        idleSweep.cancel(false);
        for (Server server : servers.values()) {
            server.removed = true;
            closeIdle(server);
        }
    }

    /** Whether new requests may be sent to this server: it is listed and not draining. */
    boolean acceptsRequests(String serverId) {
        Server server = servers.get(serverId);
        return server != null && !server.removed && !server.draining;
    }

    /**
     * Applies a server list or a change of it. Idle connections to an earlier address or process are closed.
     * Attempts that wait for a connection to a restarted, draining or removed server end as NOT_SENT.
     */
    void update(ServerList list) {
        Set<String> listedIds = new HashSet<>();
        for (ServerList.Entry entry : list.entries()) {
            listedIds.add(entry.id());
            Server server = servers.computeIfAbsent(entry.id(), id -> new Server());
            boolean moved = server.address != null && !server.address.equals(entry.address());
            boolean restarted = entry.bootMs() > server.bootMs;
            server.address = entry.address();
            server.bootMs = entry.bootMs();
            server.removed = entry.state() == ServerState.REMOVED;
            server.draining = entry.state() == ServerState.DRAINING;
            if (moved || restarted) {
                server.generation++;
                server.pendingConnects = 0;
                closeIdle(server);
                if (restarted) {
                    // These attempts were meant for the old process. The new one may handle far less load, so
                    // the balancer decides again.
                    endWaitingAttempts(server);
                }
                // The connects started for the waiting attempts went to the old address.
                for (int i = server.waiting.size(); i > 0; i--) {
                    openConnection(server);
                }
            }
        }
        if (list.isFull()) {
            servers.forEach((id, server) -> server.removed |= !listedIds.contains(id));
        }
        servers.values().stream().filter(s -> s.removed).forEach(ServerPool::closeIdle);
        servers.values().stream().filter(s -> s.removed || s.draining)
                .forEach(ServerPool::endWaitingAttempts);
        servers.values().removeIf(s -> s.removed);
    }

    /**
     * Starts an attempt. Its result may be reported before this method returns: CONNECT_FAILED if the server
     * is unknown or no socket can be opened, NOT_SENT if it drains or the attempt is no longer wanted.
     */
    Attempt start(String serverId, AttemptOwner owner) {
        boolean mayWriteNow = mayWrite.getAsBoolean();
        Server server = servers.get(serverId);
        Attempt attempt = new Attempt(server, owner);
        if (server == null) {
            attempt.end(Result.CONNECT_FAILED, null);
            return attempt;
        }
        if (server.draining) {
            attempt.end(Result.NOT_SENT, null);
            return attempt;
        }
        Connection connection = mayWriteNow ? takeIdle(server) : null;
        if (connection != null && !owner.isStillWanted()) {
            server.idle.push(connection);
            attempt.end(Result.NOT_SENT, null);
        } else if (connection != null) {
            connection.send(attempt);
        } else {
            server.waiting.add(attempt);
            connectForWaiting(server);
        }
        return attempt;
    }

    /**
     * Opens a connection for each waiting attempt that neither a pending connect nor an idle connection can
     * carry. Sets a timer for the end of the next quarantine.
     */
    private void connectForWaiting(Server server) {
        while (server.waiting.size() > server.pendingConnects + server.idle.size()) {
            openConnection(server);
        }
        if (!server.waiting.isEmpty() && !server.idle.isEmpty() && !server.sendTimerSet) {
            server.sendTimerSet = true;
            long untilReusableNs = server.idle.peekLast().idleSinceNs + quarantineNs - System.nanoTime();
            loop.schedule(() -> sendAfterQuarantine(server), Math.max(0, untilReusableNs),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Sends the attempts that waited for permission to write; called once writing is allowed again. */
    void resume() {
        for (Server server : new ArrayList<>(servers.values())) {
            for (int i = server.waiting.size(); i > 0 && !server.idle.isEmpty(); i--) {
                sendAfterQuarantine(server);
            }
        }
    }

    private void sendAfterQuarantine(Server server) {
        server.sendTimerSet = false;
        if (!mayWrite.getAsBoolean()) {
            return;
        }
        Connection connection = server.waiting.isEmpty() ? null : takeIdle(server);
        if (connection != null) {
            connection.sendNextOrIdle();
        }
        connectForWaiting(server);
    }

    /** Removes a usable connection from the idle ones and returns it, or null if there is none. */
    private Connection takeIdle(Server server) {
        for (Connection next = findReusable(server); next != null; next = findReusable(server)) {
            server.idle.remove(next);
            if (System.nanoTime() - next.idleSinceNs <= maxIdleNs && next.isOpenAfterRead()) {
                return next;
            }
            next.channel.close();
        }
        return null;
    }

    /** Returns the most recently used idle connection whose quarantine is over, or null. */
    private Connection findReusable(Server server) {
        long reusableSinceNs = System.nanoTime() - quarantineNs;
        for (Connection connection : server.idle) {
            if (connection.idleSinceNs - reusableSinceNs <= 0) {
                return connection;
            }
        }
        return null;
    }

    /**
     * Ends the waiting attempts as NOT_SENT: by the time that a connection is established, nothing new may be
     * sent to the server.
     */
    private static void endWaitingAttempts(Server server) {
        for (Attempt next = server.waiting.poll(); next != null; next = server.waiting.poll()) {
            next.end(Result.NOT_SENT, null);
        }
    }

    private void openConnection(Server server) {
        int generation = server.generation;
        server.pendingConnects++;
        if (!socketLimiter.tryAddServer()) {
            connectFailed(server, generation);
            return;
        }
        NioSocketChannel channel;
        try {
            channel = new NioSocketChannel();
        } catch (ChannelException e) {
            // Most likely out of file descriptors: closing an idle connection lets the next connect succeed.
            socketLimiter.removeServer();
            socketLimiter.closeIdleConnection();
            connectFailed(server, generation);
            return;
        }
        channel.closeFuture().addListener(closed -> socketLimiter.removeServer());
        Connection connection = new Connection(server, generation, channel);
        bootstrap.clone().channelFactory(() -> channel).handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel ch) {
                ch.pipeline().addLast(connection.new IdleGuard(),
                        new ResponseReader.ResponseDecoder(), new HttpRequestEncoder(), connection);
            }
        }).connect(server.address).addListener(future -> {
            // A connection that the server has closed already counts as failed: no attempt can use it, and
            // the waiting attempts may have no other.
            if (!future.isSuccess() || !connection.isOpenAfterRead()) {
                connectFailed(server, generation);
            } else {
                server.pendingConnects -= generation == server.generation ? 1 : 0;
                connection.sendNextOrIdle();
            }
        });
    }

    /**
     * Ends the oldest waiting attempt as CONNECT_FAILED, unless a pending connect or an idle connection is
     * left for each waiting attempt.
     */
    private void connectFailed(Server server, int generation) {
        if (generation != server.generation) {
            return;
        }
        server.pendingConnects--;
        if (server.waiting.size() > server.pendingConnects + server.idle.size()) {
            server.waiting.poll().end(Result.CONNECT_FAILED, null);
        }
    }

    private void closeExpiredIdle() {
        long nowNs = System.nanoTime();
        for (Server server : servers.values()) {
            while (!server.idle.isEmpty() && nowNs - server.idle.peekLast().idleSinceNs > maxIdleNs) {
                server.idle.pollLast().channel.close();
            }
        }
    }

    private static void closeIdle(Server server) {
        Collection<Connection> idle = new ArrayList<>(server.idle);
        server.idle.clear();
        idle.forEach(c -> c.channel.close());
    }

    /** Closes the connection that has been idle longest; returns false if none is idle. */
    private boolean closeOldestIdle() {
        Server oldest = null;
        for (Server server : servers.values()) {
            if (!server.idle.isEmpty() && (oldest == null
                    || server.idle.peekLast().idleSinceNs - oldest.idle.peekLast().idleSinceNs < 0)) {
                oldest = server;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.idle.pollLast().channel.close();
        return true;
    }

    /** A connection, idle or carrying one attempt. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Server server;
        private final int generation;
        private final Channel channel;
        private Attempt attempt;
        /** Whether the kernel has accepted the whole request of the present attempt. */
        private boolean fullyWritten;
        private long idleSinceNs;
        private ResponseReader responseReader;
        /** Whether the connection can be kept after the present response. */
        private boolean reusable;
        /** Digest of the latest complete response, or null if there was none. */
        private DuplicateResponseDetector.Digest previousDigest;
        /** Whether a duplicate of the previous response came in place of the present one. */
        private boolean duplicateReceived;

        Connection(Server server, int generation, Channel channel) {
            this.server = server;
            this.generation = generation;
            this.channel = channel;
        }

        /**
         * Makes the connection idle after a response, or closes it. Attempts may be waiting, but the
         * quarantine comes first: {@link #connectForWaiting} sets a timer for its end, and opens connections
         * for attempts that neither this one nor a pending connect can carry.
         */
        void returnToIdle() {
            if (generation != server.generation || server.removed || !isOpenAfterRead()) {
                channel.close();
                return;
            }
            idleSinceNs = System.nanoTime();
            server.idle.push(this);
            connectForWaiting(server);
        }

        /** Sends the oldest waiting attempt that is still wanted; without one, makes the connection idle. */
        void sendNextOrIdle() {
            boolean mayWriteNow = mayWrite.getAsBoolean();
            if (generation != server.generation || !isOpenAfterRead()) {
                channel.close();
                return;
            }
            Attempt next = mayWriteNow ? server.waiting.poll() : null;
            while (next != null && !next.owner.isStillWanted()) {
                next.end(Result.NOT_SENT, null);
                next = server.waiting.poll();
            }
            if (next != null) {
                send(next);
            } else if (server.removed) {
                channel.close();
            } else {
                idleSinceNs = System.nanoTime();
                server.idle.push(this);
            }
        }

        /**
         * Reads what the kernel has received already, and returns whether the connection is still open.
         * Reading closes an idle connection on unsolicited data, such as a duplicate response, which would
         * otherwise be taken for the response to the next request.
         */
        boolean isOpenAfterRead() {
            if (channel.isActive()) {
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
            }
            return channel.isActive();
        }

        void send(Attempt next) {
            attempt = next;
            next.connection = this;
            next.sentNs = System.nanoTime();
            fullyWritten = false;
            responseReader = new ResponseReader();
            // The write succeeds once the kernel has accepted the last byte; Netty never writes it twice.
            channel.writeAndFlush(next.owner.createRequest()).addListener(future -> {
                if (attempt != next) {
                    return;
                }
                if (future.isSuccess()) {
                    fullyWritten = true;
                } else {
                    attempt = null;
                    channel.close();
                    next.end(Result.CONNECT_FAILED, null);
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                read(message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(Object message) {
            if (attempt == null || responseReader.isComplete()) {
                // Data without a request, or after the end of the response.
                reusable = false;
                discardIfIdle();
                return;
            }
            try {
                if (message instanceof HttpObject part && responseReader.read(part)) {
                    onComplete();
                }
            } catch (ResponseReader.MalformedResponseException e) {
                onBroken();
            }
        }

        /**
         * Goes on reading after a late duplicate of the previous response; the connection ends after it. It
         * also ends after an error or a rejection, since these are all alike: a late duplicate of one could
         * not be told from the response to the next request, and that would be sent again although it runs.
         */
        private void onComplete() {
            reusable = false;
            if (responseReader.status() != HttpResponseStatus.OK.code()) {
                return;
            }
            DuplicateResponseDetector.Digest current =
                    DuplicateResponseDetector.digestOf(responseReader.toResponse());
            if (duplicates.isDuplicate(previousDigest, current)) {
                duplicateReceived = true;
                responseReader = new ResponseReader();
                return;
            }
            previousDigest = current;
            reusable = fullyWritten && responseReader.isKeepAlive() && !duplicateReceived;
        }

        /**
         * Reports a complete response. Doing so after the whole read shows first whether more data follows
         * the response, which rules out reuse of the connection.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (isAnswered()) {
                finish();
            }
        }

        private boolean isAnswered() {
            return attempt != null && responseReader.isComplete();
        }

        private void finish() {
            Attempt answeredAttempt = attempt;
            ServerResponse response = responseReader.toResponse();
            server.lastResponseNs = System.nanoTime();
            boolean rejected = (response.status() == 503 || response.status() == 504)
                    && "1".equals(responseReader.header(REJECTED_HEADER));
            attempt = null;
            responseReader = null;
            if (reusable) {
                returnToIdle();
            } else {
                channel.close();
            }
            answeredAttempt.end(response.status() == 200 ? Result.OK
                    : rejected ? Result.REJECTED : Result.ERROR, response);
        }

        /**
         * Ends the attempt after a broken connection or a malformed response. The request may have run if it
         * was written completely (RESET), else it can't have run (CONNECT_FAILED).
         */
        private void onBroken() {
            Attempt failedAttempt = attempt;
            attempt = null;
            discardIfIdle();
            if (failedAttempt != null) {
                failedAttempt.end(fullyWritten ? Result.RESET : Result.CONNECT_FAILED, null);
            }
        }

        /** Removes the connection from the idle ones, and closes it unless it carries an attempt. */
        private void discardIfIdle() {
            server.idle.remove(this);
            if (attempt == null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onClosed();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            onClosed();
        }

        private void onClosed() {
            if (isAnswered()) {
                reusable = false;
                finish();
            } else {
                onBroken();
            }
        }

        /**
         * Discards data on an idle connection before it reaches the codec, which would otherwise keep part of
         * a response and take it for the beginning of the next one.
         */
        private final class IdleGuard extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (attempt == null) {
                    ReferenceCountUtil.release(message);
                    discardIfIdle();
                } else {
                    ctx.fireChannelRead(message);
                }
            }
        }
    }
}
