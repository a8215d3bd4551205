package cedarrelay.node;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Client of discovery: keeps one watch on the server list open, on which discovery streams the list and its
 * changes. A watch that fails is reported once and is not reopened until the next call of {@link #subscribe}
 * or {@link #keepSubscribed}. If the timeouts allow it, a second watch is opened beside one that is silent;
 * the first of the two that receives data is kept.
 *
 * <p>Not thread-safe: all methods are called on the event loop.
 */
final class Discovery {
    /** Longest gap between two parts of a message; a message that is cut short is never completed. */
    private static final long MAX_MESSAGE_GAP_MS = 250;
    /** Time without a response after which {@link Listener#onNoResponse} is first called. */
    private static final long NO_RESPONSE_REPORT_MS = 150;
    /** Among unanswered calls, one in this many has the full response timeout: discovery may just be slow. */
    private static final int CALLS_PER_FULL_TIMEOUT = 4;
    /** If a response has no content this long after its head, discovery has no change to report. */
    private static final long FIRST_CONTENT_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Limit of reads in a row to empty the kernel's receive buffer. */
    private static final int MAX_CONSECUTIVE_READS = 256;
    /** No revision is known, so the full list is requested. */
    private static final long NO_REVISION = -1;
    /** Enough for several thousand servers with a line each; a larger message is treated as malformed. */
    private static final int MAX_MESSAGE_BYTES = 1 << 20;
    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADERS_BYTES = 8_192;

    /** Receives the messages and failures of the watch. */
    interface Listener {
        /** A message was received: the full list, or changes of it. */
        void onList(ServerList list);

        /** The watch could not be opened or has ended; reported once for each watch. */
        void onWatchFailed(String reason);

        /** A watch was silent for so long that a second one was opened beside it. */
        default void onWatchSilent() { }

        /**
         * Discovery has not responded to a call in time or could not be connected to, so it had no update to
         * report at the time of the call. May be called more than once for a call, and at the latest right
         * before its failure.
         *
         * @param asOfNs the time of the call, by {@link System#nanoTime}
         */
        default void onNoResponse(long asOfNs) { }
    }

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Listener listener;
    private final DiscoveryTimeouts timeouts;
    /** Revision of the latest list, after which a watch continues; or {@link #NO_REVISION}. */
    private long revision;
    /** Consecutive calls that timed out without a response. */
    private int unansweredCalls;
    /** The watch that was opened last; null if it has failed, or none was opened. */
    private Watch watch;
    /** A silent watch that was opened before {@link #watch}, or null. */
    private Watch silentWatch;

    /**
     * Creates a client without an open watch.
     *
     * @param revision the revision of the known list; the watch reports later changes
     */
    Discovery(EventLoop loop, InetSocketAddress address, long revision, DiscoveryTimeouts timeouts,
            Listener listener) {
        this.loop = loop;
        this.address = address;
        this.revision = revision;
        this.timeouts = timeouts;
        this.listener = listener;
    }

    /**
     * Opens a watch, which replaces one that is still open: at once, or if a second watch is allowed, when it
     * receives data. A call that still waits for its response, before a second one is due, is not replaced.
     * The watch reports the changes after the latest known revision, or the full list if none is known.
     */
    void subscribe() {
        if (watch == null || !timeouts.allowSecondCall()) {
            close();
            watch = new Watch();
            watch.open();
        } else if (!watch.isSecondCallPending()) {
            openSecondWatch();
        }
    }

    private void openSecondWatch() {
        closeSilentWatch();
        silentWatch = watch;
        watch = new Watch();
        watch.open();
    }

    private void closeSilentWatch() {
        if (silentWatch != null) {
            silentWatch.close();
            silentWatch = null;
        }
    }

    /** Closes the other watch, as this one has received data. */
    private void keepOnly(Watch answered) {
        if (answered == silentWatch) {
            silentWatch = watch;
            watch = answered;
        }
        closeSilentWatch();
    }

    /** Opens a watch unless there is one. */
    void keepSubscribed() {
        if (watch == null) {
            subscribe();
        }
    }

    /**
     * Opens a watch at this address at once, unless it is the present one. Revisions of different addresses
     * can't be compared, so the full list is requested.
     */
    void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            revision = NO_REVISION;
            close();
            subscribe();
        }
    }

    /** Closes the watch without a report. */
    void close() {
        closeSilentWatch();
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    /**
     * Reads and applies everything that the kernel has received on the watch already. A lagging event loop
     * might otherwise handle newer events, such as requests, with an older list.
     *
     * @return whether the list is current: the watch is open, answered and read to the end of a message
     */
    boolean readAvailable() {
        if (silentWatch != null && silentWatch.channel != null) {
            silentWatch.readAvailable();
        }
        Watch current = watch;
        if (current == null || current.channel == null) {
            return false;
        }
        current.readAvailable();
        return current == watch && current.isCurrent();
    }

    /**
     * Splits the stream into messages by their braces: a message may extend over several lines and arrive in
     * parts of any size.
     */
    private static final class MessageDecoder extends JsonObjectDecoder {
        MessageDecoder() {
            super(MAX_MESSAGE_BYTES);
        }

        boolean isMidMessage() {
            return actualReadableBytes() > 0;
        }
    }

    /** A call to discovery and its response, which stays open. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final MessageDecoder messageDecoder = new MessageDecoder();
        private Channel channel;
        private ScheduledFuture<?> timeout;
        /** Opens a second watch; null if that is not allowed. */
        private ScheduledFuture<?> secondCallTimer;
        private long receivedBytes;
        /** Response timeout of this call. */
        private final long callTimeoutMs = unansweredCalls % CALLS_PER_FULL_TIMEOUT == 0
                ? timeouts.responseMs() : timeouts.repeatedResponseMs();
        private long requestedNs = System.nanoTime();
        /** When the head of the response was received, by {@link System#nanoTime}; 0 before. */
        private long headReceivedNs;
        private boolean bodyReceived;
        private boolean closed;

        boolean isCurrent() {
            // The end of a connection is reported by a later task than the one that reads it, so the channel
            // itself is checked.
            return !closed && channel.isActive() && headReceivedNs != 0 && !messageDecoder.isMidMessage()
                    && (bodyReceived || System.nanoTime() - headReceivedNs > FIRST_CONTENT_WAIT_NS);
        }

        void open() {
            restartTimeout(callTimeoutMs);
            restartSecondCallTimer(timeouts.secondCallMs());
            NioSocketChannel newChannel;
            try {
                newChannel = new NioSocketChannel();
            } catch (ChannelException e) {
                // Out of file descriptors; handled like a failed connect. Reported by a later task, since the
                // call that opens the watch has not returned yet.
                loop.execute(() -> fail("cannot open a socket: " + e.getCause()));
                return;
            }
            channel = newChannel;
            new Bootstrap().group(loop).channelFactory(() -> newChannel).disableResolver()
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel ch) {
                            ch.pipeline().addLast(new ByteCounter(),
                                    new HttpClientCodec(MAX_STATUS_LINE_BYTES, MAX_HEADERS_BYTES, 8_192),
                                    Watch.this, messageDecoder, new MessageHandler());
                        }
                    }).connect(address).addListener(future -> {
                        if (future.isSuccess()) {
                            sendRequest();
                        } else {
                            listener.onNoResponse(requestedNs);
                            fail("cannot connect to discovery: " + future.cause());
                        }
                    });
        }

        private void sendRequest() {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/v1/endpoints?watch=1" + (revision == NO_REVISION ? "" : "&after=" + revision));
            request.headers().set(HttpHeaderNames.HOST,
                    address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
            // Lag of this node's own event loop before this moment must not count as a missing response.
            // The first timeout comes early, for an early onNoResponse(); it is extended to callTimeoutMs.
            requestedNs = System.nanoTime();
            restartTimeout(Math.min(callTimeoutMs, NO_RESPONSE_REPORT_MS));
        }

        void close() {
            closed = true;
            timeout.cancel(false);
            if (secondCallTimer != null) {
                secondCallTimer.cancel(false);
            }
            if (channel != null) {
                channel.close();
            }
        }

        private void fail(String reason) {
            if (closed) {
                return;
            }
            close();
            if (this == silentWatch) {
                // A newer watch is open.
                silentWatch = null;
                return;
            }
            watch = silentWatch;
            silentWatch = null;
            listener.onWatchFailed(reason);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (!closed) {
                    read(ctx, message);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpResponse head) {
                if (head.decoderResult().isFailure() || !head.status().equals(HttpResponseStatus.OK)) {
                    fail("discovery answered " + head.status());
                    return;
                }
                headReceivedNs = System.nanoTime();
                unansweredCalls = 0;
                onData(timeouts.idleMs());
            }
            if (message instanceof HttpContent content) {
                if (content.decoderResult().isFailure()) {
                    fail("malformed response: " + content.decoderResult().cause());
                    return;
                }
                if (content.content().isReadable()) {
                    bodyReceived = true;
                    ctx.fireChannelRead(content.content().retain());
                }
                if (message instanceof LastHttpContent) {
                    fail("discovery ended the response");
                } else if (!closed) {
                    onData(messageDecoder.isMidMessage()
                            ? Math.min(timeouts.idleMs(), MAX_MESSAGE_GAP_MS) : timeouts.idleMs());
                }
            }
        }

        private void onData(long timeoutMs) {
            restartTimeout(timeoutMs);
            restartSecondCallTimer(timeouts.secondCallIdleMs());
            keepOnly(this);
        }

        private void restartSecondCallTimer(long ms) {
            if (secondCallTimer != null) {
                secondCallTimer.cancel(false);
            }
            if (timeouts.allowSecondCall()) {
                secondCallTimer = loop.schedule(this::onSecondCallDue, ms, TimeUnit.MILLISECONDS);
            }
        }

        /** Whether the call waits for its response, and a second one will be made if it goes on to do so. */
        boolean isSecondCallPending() {
            return headReceivedNs == 0 && secondCallTimer != null && !secondCallTimer.isDone();
        }

        /** Opens a second watch, unless data or a failure lies unread since the event loop lags. */
        private void onSecondCallDue() {
            ScheduledFuture<?> expired = secondCallTimer;
            if (channel != null) {
                readAvailable();
                if (!channel.isOpen()) {
                    fail("connection to discovery closed");
                    return;
                }
            }
            if (!closed && this == watch && secondCallTimer == expired) {
                listener.onWatchSilent();
                openSecondWatch();
            }
        }

        private void restartTimeout(long ms) {
            if (timeout != null) {
                timeout.cancel(false);
            }
            timeout = loop.schedule(this::onTimeout, ms, TimeUnit.MILLISECONDS);
        }

        /**
         * Handles a timeout. A lagging event loop runs its timers before it reads sockets, so what has
         * arrived by now is read first: data restarts the timeout, and a failure ends the watch.
         */
        private void onTimeout() {
            ScheduledFuture<?> expired = timeout;
            if (channel != null) {
                readAvailable();
                if (!channel.isOpen()) {
                    // A failed call is not an unanswered one.
                    fail("connection to discovery closed");
                    return;
                }
                if (closed) {
                    return;
                }
            }
            if (timeout == expired) {
                if (headReceivedNs == 0) {
                    // Holds however late this timer runs: discovery did not respond when it was called.
                    listener.onNoResponse(requestedNs);
                }
                long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - requestedNs);
                if (headReceivedNs == 0 && waitedMs < callTimeoutMs) {
                    restartTimeout(callTimeoutMs - waitedMs);
                    return;
                }
                unansweredCalls += headReceivedNs == 0 ? 1 : 0;
                fail("no data from discovery in time");
            }
        }

        /** Reads from the socket until nothing more has arrived. */
        private void readAvailable() {
            long previousBytes = -1;
            for (int i = 0; i < MAX_CONSECUTIVE_READS && previousBytes != receivedBytes && !closed
                    && channel.isActive(); i++) {
                previousBytes = receivedBytes;
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
            }
        }

        /** Counts received bytes, so that {@link #readAvailable} can tell when everything has been read. */
        private final class ByteCounter extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                receivedBytes += ((ByteBuf) message).readableBytes();
                ctx.fireChannelRead(message);
            }
        }

        /**
         * Applies a message. The revisions of an address only grow; if one goes back, the watch fails and the
         * next call requests the full list.
         */
        private void apply(ServerList list) {
            if (list.revision() < revision) {
                revision = NO_REVISION;
                fail("revision went back to " + list.revision());
                return;
            }
            revision = list.revision();
            listener.onList(list);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("connection to discovery closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail("connection to discovery failed: " + cause);
        }

        /** Parses and applies the messages one by one. */
        private final class MessageHandler extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf json = (ByteBuf) message;
                try {
                    if (!closed) {
                        apply(ServerList.parse(json.toString(StandardCharsets.UTF_8)));
                    }
                } catch (IllegalArgumentException e) {
                    fail("malformed message: " + e.getMessage());
                } finally {
                    json.release();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // The text of a DecoderException may contain everything received, so only its class is
                // reported.
                fail(cause instanceof DecoderException
                        ? "malformed message: " + cause.getClass().getSimpleName()
                        : "connection to discovery failed: " + cause);
            }
        }
    }
}
