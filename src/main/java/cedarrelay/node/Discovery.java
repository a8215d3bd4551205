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

/** The watch on the list of servers: one at a time, opened when asked for, reported once when it fails. */
final class Discovery {
    /**
     * Something comes every 2 s: half as long again is silence. What a silent watch misses counts as told
     * after 6 s, and nothing new may go by it {@code rules.drainGraceUs} later: by then another call has to
     * be answered, which takes its time where lists are asked for.
     */
    static final long SILENT_MS = 3_000;
    /** Where lists are pushed, the agent on this machine begins its answer at once, or is all silent. */
    static final long BEGUN_MS = 400;
    /** So long may the pieces of a message lie apart: one cut short is never finished. */
    private static final long PIECE_MS = 250;
    /** How long a call is waited for while discovery is silent: it may answer again at any moment. */
    private static final long BEGUN_AGAIN_MS = 150;
    /** One call in so many is waited for as long as the first: discovery may just be slow. */
    private static final int PATIENT_CALL = 4;
    /** An answer whose first line has not come by then has nothing to tell. */
    private static final long FIRST_LINE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Reads at once, at most, to come to the end of what the system holds. */
    private static final int MOST_READS = 256;
    /** No version is known, so that the whole list is wanted. */
    private static final long NONE = -1;
    /** A line for each of some thousand servers; past it a message is malformed. */
    private static final int MAX_MESSAGE = 1 << 20;
    private static final int MAX_LINE = 4_096;
    private static final int MAX_HEADERS = 8_192;

    /** Where the news goes. */
    interface Listener {
        void onList(ServerList list);

        /** The watch could not be opened or has ended. */
        void onWatchFailed(String reason);

        /**
         * Discovery was not there for a call: it had nothing to tell at the time of the call, by
         * {@link System#nanoTime}. Comes right before that call's failure.
         */
        default void onSilence(long asOfNs) { }
    }

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Listener listener;
    private final long begunMs;
    private final long silentMs;
    private long revision;
    private int silentCalls;
    private Watch watch;

    /** The answer to a call has to begin within {@code begunMs}, and then to go on each {@code silentMs}. */
    Discovery(EventLoop loop, InetSocketAddress address, long revision, long begunMs, long silentMs,
            Listener listener) {
        this.loop = loop;
        this.address = address;
        this.revision = revision;
        this.begunMs = begunMs;
        this.silentMs = silentMs;
        this.listener = listener;
    }

    /** Asks for changes from now on; takes the place of a watch that is still open. */
    void subscribe() {
        if (watch != null) {
            watch.close();
        }
        watch = new Watch();
        watch.open();
    }

    /** Asks again, if it is not done already. */
    void keepSubscribed() {
        if (watch == null) {
            subscribe();
        }
    }

    /** Asks there from now on, at once. The versions of one address say nothing at another. */
    void moveTo(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            revision = NONE;
            subscribe();
        }
    }

    void close() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    /**
     * Takes in all that the system holds of the watch already: what a loop that is behind reads first may
     * else be newer than the list. Returns whether the list is as discovery has it: the watch is open,
     * answered and read to the end of a message.
     */
    boolean catchUp() {
        Watch reading = watch;
        if (reading == null || reading.channel == null) {
            return false;
        }
        reading.catchUp();
        return reading == watch && reading.isCurrent();
    }

    /** Messages by their braces: they may be indented over several lines, and come in any pieces. */
    private static final class Framing extends JsonObjectDecoder {
        Framing() {
            super(MAX_MESSAGE);
        }

        boolean isMidMessage() {
            return actualReadableBytes() > 0;
        }
    }

    /** One call and the answer that stays open. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final Framing framing = new Framing();
        private Channel channel;
        private ScheduledFuture<?> silence;
        private long received;
        private final long patienceMs = silentCalls % PATIENT_CALL == 0 ? begunMs
                : Math.min(begunMs, BEGUN_AGAIN_MS);
        private long calledNs = System.nanoTime();
        private long headNs;
        private boolean told;
        private boolean over;

        boolean isCurrent() {
            // A connection whose end has just been read is reported only by a later task.
            return !over && channel.isActive() && headNs != 0 && !framing.isMidMessage()
                    && (told || System.nanoTime() - headNs > FIRST_LINE_NS);
        }

        void open() {
            expectWithin(patienceMs);
            NioSocketChannel fresh;
            try {
                fresh = new NioSocketChannel();
            } catch (ChannelException e) {
                // Out of descriptors: as good as no connection. Later, since the caller is mid-call.
                loop.execute(() -> fail("can't be opened: " + e.getCause()));
                return;
            }
            channel = fresh;
            new Bootstrap().group(loop).channelFactory(() -> fresh).disableResolver()
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel to) {
                            to.pipeline().addLast(new ByteCount(),
                                    new HttpClientCodec(MAX_LINE, MAX_HEADERS, 8_192), Watch.this, framing,
                                    new Messages());
                        }
                    }).connect(address).addListener(done -> {
                        if (done.isSuccess()) {
                            ask();
                        } else {
                            listener.onSilence(calledNs);
                            fail("can't be connected: " + done.cause());
                        }
                    });
        }

        private void ask() {
            DefaultFullHttpRequest call = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/v1/endpoints?watch=1" + (revision == NONE ? "" : "&after=" + revision));
            call.headers().set(HttpHeaderNames.HOST,
                    address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(call);
            // What the node itself was held up until now is no silence of discovery.
            calledNs = System.nanoTime();
            expectWithin(BEGUN_AGAIN_MS);
        }

        void close() {
            over = true;
            silence.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail(String reason) {
            if (over) {
                return;
            }
            close();
            watch = null;
            listener.onWatchFailed(reason);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (!over) {
                    read(ctx, message);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpResponse head) {
                if (head.decoderResult().isFailure() || !head.status().equals(HttpResponseStatus.OK)) {
                    fail("answered " + head.status());
                    return;
                }
                headNs = System.nanoTime();
                silentCalls = 0;
                expectWithin(silentMs);
            }
            if (message instanceof HttpContent content) {
                if (content.decoderResult().isFailure()) {
                    fail("malformed: " + content.decoderResult().cause());
                    return;
                }
                if (content.content().isReadable()) {
                    told = true;
                    ctx.fireChannelRead(content.content().retain());
                }
                if (message instanceof LastHttpContent) {
                    fail("ended");
                } else if (!over) {
                    expectWithin(framing.isMidMessage() ? Math.min(silentMs, PIECE_MS) : silentMs);
                }
            }
        }

        private void expectWithin(long ms) {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(this::silent, ms, TimeUnit.MILLISECONDS);
        }

        /** A loop that is behind runs its timers first: what has come by now is no silence. */
        private void silent() {
            ScheduledFuture<?> due = silence;
            if (channel != null) {
                catchUp();
            }
            if (silence == due) {
                if (headNs == 0) {
                    // However late this comes: discovery was not there when it was called.
                    listener.onSilence(calledNs);
                }
                long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledNs);
                if (headNs == 0 && waitedMs < patienceMs) {
                    expectWithin(patienceMs - waitedMs);
                    return;
                }
                silentCalls += headNs == 0 ? 1 : 0;
                fail("silent");
            }
        }

        private void catchUp() {
            long before = -1;
            for (int i = 0; i < MOST_READS && before != received && !over && channel.isActive(); i++) {
                before = received;
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
            }
        }

        /** Counts what comes, to tell when all has been read. */
        private final class ByteCount extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                received += ((ByteBuf) message).readableBytes();
                ctx.fireChannelRead(message);
            }
        }

        /** The versions of an address only grow: one that goes back asks for the whole list as it is now. */
        private void take(ServerList list) {
            if (list.revision() < revision) {
                revision = NONE;
                fail("went back to version " + list.revision());
                return;
            }
            revision = list.revision();
            listener.onList(list);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("broken");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail("broken: " + cause);
        }

        /** The messages one by one. */
        private final class Messages extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf json = (ByteBuf) message;
                try {
                    if (!over) {
                        take(ServerList.parse(json.toString(StandardCharsets.UTF_8)));
                    }
                } catch (IllegalArgumentException e) {
                    fail("malformed: " + e.getMessage());
                } finally {
                    json.release();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // The decoder's own words may hold all that came.
                fail(cause instanceof DecoderException ? "malformed: " + cause.getClass().getSimpleName()
                        : "broken: " + cause);
            }
        }
    }
}
