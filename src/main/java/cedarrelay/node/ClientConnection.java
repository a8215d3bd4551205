package cedarrelay.node;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/**
 * The handler of one client connection. Handles its requests one at a time, in the order in which they
 * arrive, and limits the time and the memory that the connection may take.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements DecodeScheduler.ThrottledInput {
    private static final Logger LOG = System.getLogger(ClientConnection.class.getName());
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Pipelined requests at which reading from the client stops. */
    private static final int MAX_PIPELINED = 16;
    /** Consecutive 4xx responses after which the connection is closed, as its client sends nothing usable. */
    private static final int MAX_CLIENT_ERRORS = 4;
    /**
     * Time limit for the first complete request of a connection, for each request from its first byte to
     * its last, and for a response to be written to the socket. No client waits this long for a response.
     */
    private static final long CLIENT_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** How long the connection stays open after a final error response, so that the client can read it. */
    private static final long LINGER_MS = 500;
    /**
     * Upper limit of the input that is read and discarded meanwhile. Closing a socket that holds unread
     * input resets the connection, and the client may then lose the error response.
     */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /** Maximum number of reads per check for a disconnect; a client that sends more counts as connected. */
    private static final int MAX_READS_PER_CHECK = 64;
    private static final String READY_PATH = "/ready";

    /**
     * A complete request that waits until the earlier ones on its connection are answered.
     *
     * @param arrivedNs when it arrived, by {@link System#nanoTime}
     * @param memoryBytes memory counted for it
     */
    private record PipelinedRequest(FullHttpRequest http, long arrivedNs, long memoryBytes) { }

    private final ClientListener listener;
    private final Channel channel;
    private final RequestMemoryBudget.Account memory;
    private final Deque<PipelinedRequest> pipelined = new ArrayDeque<>();
    private final long openedNs = System.nanoTime();
    /**
     * The earliest time at which the client may have connected: a connection accepted after a lag of the
     * event loop may have had its request waiting in the kernel for as long.
     */
    private final long connectedNs;
    /** {@link EventLoopLag#tickCount} when the connection was opened. */
    private final int openedTick;
    /** The request that waits for its response, or null. */
    private Exchange pending;
    /** Memory counted for the pending request. */
    private long pendingMemoryBytes;
    /** Decodes the input; null once further input is discarded. */
    private RequestDecoder decoder = new RequestDecoder();
    private RequestAggregator aggregator = new RequestAggregator();
    /** When the request that is being read began; 0 if none is. */
    private long requestBegunNs;
    /** Whether the input that has been read is left to be decoded, and no more is read until then. */
    private boolean throttled;
    /** Since when a part of the present request may have arrived and not been decoded; 0 if none has. */
    private long throttledSinceNs;
    /** When the latest response was passed to the channel. */
    private long respondedNs;
    /** Responses passed to the channel and not yet written completely. */
    private int unwrittenResponses;
    /** Consecutive 4xx responses. */
    private int clientErrors;
    private int discardedBytes;
    /** Bytes read from the client so far. */
    private long receivedBytes;
    /** Whether the client has sent a complete request. */
    private boolean requestReceived;
    /** Further input is discarded; the connection is closed after the requests read so far are answered. */
    private boolean discardingInput;
    /** The final response has been passed to the channel; the connection is closed after it. */
    private boolean closingAfterResponse;

    private ClientConnection(ClientListener listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
        memory = listener.requestMemory().open(this::rejectForMemory);
        connectedNs = openedNs - loopLagNs();
        openedTick = listener.loopLag().tickCount();
    }

    /** Adds the handlers of a new client connection to its pipeline. */
    static void open(ClientListener listener, ChannelPipeline pipeline) {
        ClientConnection connection = new ClientConnection(listener, pipeline.channel());
        pipeline.addLast(connection.new InputMeter(), connection.decoder, new HttpResponseEncoder(),
                connection.aggregator, connection);
    }

    /** Whether no request is pending or pipelined and no response is still being written. */
    private boolean owesNothing() {
        return pending == null && unwrittenResponses == 0 && pipelined.isEmpty();
    }

    private boolean isIdle() {
        return owesNothing() && !hasPartialRequest();
    }

    private boolean hasPartialRequest() {
        return decoder != null && decoder.hasPartialRequest();
    }

    /** Closes the connection, and records a violation if a request that was read is still unanswered. */
    void close() {
        if (channel.isActive() && !closingAfterResponse && unwrittenResponses == 0
                && (pending != null || !pipelined.isEmpty())) {
            listener.recordUnansweredClose(channel.remoteAddress());
        }
        channel.close();
    }

    /**
     * Whether the client is still connected, as far as the kernel knows. Reads the input that has arrived,
     * even while automatic reading is off or the event loop lags, as the client's close may come after it. A
     * throttled connection reads nothing, so that its undecoded input doesn't grow.
     */
    boolean isClientConnected() {
        if (!throttled && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            long receivedBefore = -1;
            for (int i = 0; i < MAX_READS_PER_CHECK
                    && receivedBefore != receivedBytes && channel.isActive(); i++) {
                receivedBefore = receivedBytes;
                unsafe.read();
            }
        }
        return channel.isActive();
    }

    /**
     * Closes the connection if it has been idle since before this time, by {@link System#nanoTime}. The input
     * that has arrived is read first, so that no request is lost.
     *
     * @return whether it was closed
     */
    boolean closeIfIdle(long beforeNs) {
        long idleSinceNs = requestReceived ? respondedNs : openedNs;
        if (idleSinceNs - beforeNs >= 0 || !isIdle() || !isClientConnected() || !isIdle()) {
            return false;
        }
        close();
        return true;
    }

    /**
     * Rejects the request that is being read and closes the connection at once, if the request began before
     * this time, by {@link System#nanoTime}, and the rest of it has not arrived. The request has not run, and
     * the client may try again.
     *
     * @return whether the connection was closed
     */
    boolean closeIfUnfinished(long beforeNs) {
        if (!isUnfinishedSince(beforeNs) || !isClientConnected() || !isUnfinishedSince(beforeNs)) {
            return false;
        }
        listener.recordRejectionForRoom(channel.remoteAddress());
        discardInput();
        closingAfterResponse = true;
        write(ErrorResponses.withConnectionClose(ErrorResponses.of(new BadRequestException(
                HttpResponseStatus.SERVICE_UNAVAILABLE, "out of sockets for incomplete requests"))));
        close();
        return true;
    }

    private boolean isUnfinishedSince(long beforeNs) {
        return owesNothing() && hasPartialRequest() && requestBegunNs != 0 && requestBegunNs - beforeNs < 0;
    }

    /** Closes the connection if its client has exceeded a time limit; a partial request is answered 408. */
    void closeIfOverdue(long nowNs) {
        if (closingAfterResponse || unwrittenResponses > 0) {
            if (nowNs - respondedNs > CLIENT_TIMEOUT_NS) {
                close();
            }
            return;
        }
        // If the event loop lags, the rest of the request may have arrived in time: isClientConnected()
        // reads it.
        if (isOverdue(nowNs) && isClientConnected() && isOverdue(nowNs)) {
            if (throttled) {
                reject(new BadRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "too busy to read a request in so many parts"));
            } else if (hasPartialRequest()) {
                reject(new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT,
                        "request not whole in time"));
            } else {
                close();
            }
        }
    }

    private boolean isOverdue(long nowNs) {
        if (pending != null || !pipelined.isEmpty()) {
            return false;
        }
        if (throttled) {
            return nowNs - throttledSinceNs > Math.min(CLIENT_TIMEOUT_NS, aggregator.clientWaitNs);
        }
        return hasPartialRequest()
                ? nowNs - (requestReceived ? requestBegunNs : openedNs) > CLIENT_TIMEOUT_NS
                : !requestReceived && nowNs - openedNs > CLIENT_TIMEOUT_NS;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        listener.connectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        listener.connectionClosed(this);
        listener.decodeScheduler().remove(this);
        pipelined.forEach(next -> next.http.release());
        pipelined.clear();
        memory.close();
        pendingMemoryBytes = 0;
        if (pending != null) {
            Exchange abandoned = pending;
            pending = null;
            abandoned.clientDisconnected();
        }
    }

    /**
     * When a request that is read now may have arrived, by {@link System#nanoTime}. A lagging event loop
     * left it unread for the length of its lag, and on a new connection for one more iteration, the one
     * that accepted the connection. A throttled connection may have left all of it unread since then.
     */
    private long arrivedNs() {
        if (throttledSinceNs != 0) {
            return throttledSinceNs;
        }
        long arrivedNs = System.nanoTime() - loopLagNs();
        return !requestReceived && listener.loopLag().tickCount() - openedTick <= 1
                ? Math.min(arrivedNs, connectedNs) : arrivedNs;
    }

    private long loopLagNs() {
        return TimeUnit.MICROSECONDS.toNanos(listener.loopLag().lagUs());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        long arrivedNs = arrivedNs();
        if (discardingInput || !(message instanceof FullHttpRequest http)) {
            ReferenceCountUtil.release(message);
            return;
        }
        memory.setUnfinished(0);
        endUnfinishedRequest();
        long memoryBytes = RequestMemoryBudget.estimateBytes(http);
        if (!memory.tryAddComplete(memoryBytes)) {
            http.release();
            rejectForMemory();
            return;
        }
        requestReceived = true;
        listener.requestReceived(this);
        if (pending == null && pipelined.isEmpty()) {
            // Runs after all input that has arrived is read, as the client's close may follow the request.
            // Otherwise an overloaded node would work mostly for disconnected clients and stay overloaded.
            channel.eventLoop().execute(this::handleNextPipelined);
        }
        pipelined.add(new PipelinedRequest(http, arrivedNs, memoryBytes));
        updateAutoRead();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!hasPartialRequest()) {
            endUnfinishedRequest();
            throttledSinceNs = 0;
        } else if (requestBegunNs == 0) {
            requestBegunNs = System.nanoTime();
            listener.requestBegun(this);
        }
    }

    /** Notes that the request that was being read is whole or discarded. */
    private void endUnfinishedRequest() {
        requestBegunNs = 0;
        listener.requestNoLongerUnfinished(this);
    }

    private void handle(FullHttpRequest http, long arrivedNs, long memoryBytes) {
        pendingMemoryBytes = memoryBytes;
        try {
            if (http.decoderResult().isFailure()) {
                reject(ErrorResponses.decodingError(http.decoderResult().cause()));
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(http);
            if (http.uri().equals(READY_PATH)) {
                respond(readyResponse(http), keepAlive);
                return;
            }
            if (listener.isMetrics(http)) {
                respond(metricsResponse(http), keepAlive);
                return;
            }
            if (listener.isWarmUpRequest(http)) {
                respond(Exchange.plainTextResponse(HttpResponseStatus.OK, "rehearsed"), keepAlive);
                return;
            }
            pending = new Exchange(this, listener.parseRequest(http), arrivedNs, keepAlive);
            listener.forward(pending);
        } catch (BadRequestException e) {
            respondWithError(e, http);
        } finally {
            http.release();
        }
    }

    private void respondWithError(BadRequestException e, FullHttpRequest http) {
        FullHttpResponse response = ErrorResponses.of(e);
        boolean isHead = http.method().equals(HttpMethod.HEAD);
        if (isHead) {
            // A response to HEAD has no body, whatever its Content-Length says.
            response = response.replace(Unpooled.EMPTY_BUFFER);
        }
        respond(response, HttpUtil.isKeepAlive(http) && !isHead);
    }

    private FullHttpResponse metricsResponse(FullHttpRequest http) {
        return http.method().equals(HttpMethod.GET)
                ? Exchange.plainTextResponse(HttpResponseStatus.OK, listener.metrics())
                : ErrorResponses.methodNotAllowed("GET");
    }

    private FullHttpResponse readyResponse(FullHttpRequest http) {
        if (!http.method().equals(HttpMethod.GET)) {
            return ErrorResponses.methodNotAllowed("GET");
        }
        String notReadyReason = listener.notReadyReason();
        return notReadyReason == null ? Exchange.plainTextResponse(HttpResponseStatus.OK, "ready")
                : Exchange.plainTextResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, notReadyReason);
    }

    /**
     * Discards all further input, as it can't be parsed or exceeds a limit. Sends the given error and closes
     * the connection, unless earlier requests are unanswered: then the last of their responses closes it.
     */
    private void reject(BadRequestException e) {
        discardInput();
        if (pending != null || !pipelined.isEmpty() || closingAfterResponse) {
            return;
        }
        closingAfterResponse = true;
        write(ErrorResponses.withConnectionClose(ErrorResponses.of(e))).addListener(written -> {
            if (channel instanceof SocketChannel socket) {
                socket.shutdownOutput();
            }
            channel.eventLoop().schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** Rejects the request that is being or has just been read, as requests take too much memory. */
    private void rejectForMemory() {
        listener.recordMemoryRejection(channel.remoteAddress());
        // The request has not run, and nothing is wrong with it: the client may try again.
        reject(new BadRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE, "out of memory for requests"));
    }

    /**
     * Rejects the request that is being read as the node stops, unless the rest of it has arrived. It has not
     * run, and the client may try again.
     */
    void rejectIfUnfinished() {
        if (hasPartialRequest() && isClientConnected() && hasPartialRequest()) {
            reject(new BadRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping"));
        }
    }

    /** Counts the memory of an incomplete request; throttles the connection if input is left undecoded. */
    private void limitUndecodedInput() {
        if (decoder == null) {
            return;
        }
        if (!memory.setUnfinished(decoder.partialRequestBytes())) {
            rejectForMemory();
        } else if (decoder.hasUndecodedInput() && !throttled) {
            throttledSinceNs = arrivedNs();
            throttled = true;
            updateAutoRead();
            listener.decodeScheduler().add(this);
        }
    }

    @Override
    public long throttledSinceNs() {
        return throttledSinceNs;
    }

    @Override
    public boolean decodeMore() {
        if (decoder != null && channel.isActive()) {
            decoder.permitParts();
            channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER).fireChannelReadComplete();
        }
        throttled = decoder != null && channel.isActive() && decoder.hasUndecodedInput();
        updateAutoRead();
        return throttled;
    }

    /** Reads from the socket unless the input so far has to be handled, or is discarded and too long. */
    private void updateAutoRead() {
        channel.config().setAutoRead(!throttled && pipelined.size() < MAX_PIPELINED
                && discardedBytes <= MAX_DISCARDED_BYTES);
    }

    /** Discards all further input, and releases what has been read of an incomplete request. */
    private void discardInput() {
        discardingInput = true;
        if (decoder != null) {
            channel.pipeline().remove(aggregator);
            channel.pipeline().remove(decoder);
            aggregator = null;
            decoder = null;
            memory.setUnfinished(0);
            endUnfinishedRequest();
            throttled = false;
            listener.decodeScheduler().remove(this);
            updateAutoRead();
        }
    }

    /**
     * Sends the response to the pending request or to the one that has just been read, then handles the
     * next one or, where the connection can't be kept, closes it.
     */
    void respond(FullHttpResponse response, boolean keepAlive) {
        clientErrors = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR ? clientErrors + 1 : 0;
        pending = null;
        memory.releaseComplete(pendingMemoryBytes);
        pendingMemoryBytes = 0;
        boolean lastRequest = pipelined.isEmpty();
        boolean keepOpen = keepAlive && !closingAfterResponse && clientErrors < MAX_CLIENT_ERRORS
                && !(lastRequest && (discardingInput || listener.closesAfterResponse()));
        ChannelFuture writing = write(keepOpen ? response : ErrorResponses.withConnectionClose(response));
        if (!keepOpen) {
            discardInput();
            closingAfterResponse = true;
            writing.addListener(ChannelFutureListener.CLOSE);
        } else if (!lastRequest) {
            // As a task, because direct calls would nest once per pipelined request that is rejected; and
            // after the write, so that responses don't pile up for a client that doesn't read them.
            writing.addListener(written -> channel.eventLoop().execute(this::handleNextPipelined));
        } else if (listener.hasStoppedAccepting()) {
            close();
        }
    }

    private ChannelFuture write(FullHttpResponse response) {
        unwrittenResponses++;
        respondedNs = System.nanoTime();
        return channel.writeAndFlush(response).addListener(written -> unwrittenResponses--);
    }

    private void handleNextPipelined() {
        // The channel may be closed already: channelInactive, which clears the queue, runs in a later task.
        PipelinedRequest next = pending == null && !closingAfterResponse && channel.isActive()
                ? pipelined.poll() : null;
        if (next != null) {
            updateAutoRead();
            handle(next.http, next.arrivedNs, next.memoryBytes);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!channel.isActive() || cause instanceof IOException) {
            // The connection broke or was closed within a request, so no response can be sent.
            channel.close();
            return;
        }
        // An error in this program: the pending request still gets a response.
        LOG.log(Level.ERROR, "unexpected error while handling a client connection", cause);
        if (pending != null) {
            pending.fail(HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal fault");
        } else {
            close();
        }
    }

    /**
     * Counts the input, and the memory that it takes once it is decoded. Input that is to be discarded is
     * not decoded, and beyond a limit not read.
     */
    private final class InputMeter extends ChannelDuplexHandler {
        /** Ignores the requests of the other handlers to go on reading while their input is undecoded. */
        @Override
        public void read(ChannelHandlerContext ctx) {
            if (!throttled) {
                ctx.read();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            int addedBytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
            receivedBytes += addedBytes;
            if (!discardingInput) {
                if (!throttled) {
                    decoder.permitParts();
                }
                ctx.fireChannelRead(message);
                limitUndecodedInput();
                return;
            }
            discardedBytes += addedBytes;
            ReferenceCountUtil.release(message);
            updateAutoRead();
        }
    }

    /** Aggregates a request and its body; rejects one that is too large and closes the connection. */
    private final class RequestAggregator extends HttpObjectAggregator {
        /** How long the client of the latest request waits, if its head states that, else no limit. */
        private long clientWaitNs = Long.MAX_VALUE;

        RequestAggregator() {
            super(MAX_BODY_BYTES, true);
            setMaxCumulationBufferComponents(RequestMemoryBudget.MAX_BODY_PARTS);
        }

        @Override
        protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
            long statedMs = ClientRequest.statedRemainingMs(start.headers());
            clientWaitNs = statedMs < 0 ? Long.MAX_VALUE : TimeUnit.MILLISECONDS.toNanos(statedMs);
            return super.beginAggregation(start, content);
        }

        @Override
        protected Object newContinueResponse(HttpMessage start, int maxContentLength,
                ChannelPipeline pipeline) {
            // A 100 Continue would overtake the response to an earlier request; a client may send the body
            // without it.
            return pending == null && pipelined.isEmpty() && unwrittenResponses == 0
                    ? super.newContinueResponse(start, maxContentLength, pipeline) : null;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            reject(new BadRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB"));
        }
    }
}
