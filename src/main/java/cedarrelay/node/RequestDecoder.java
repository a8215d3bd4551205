package cedarrelay.node;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/**
 * Netty's request decoder, stricter about a request's length; also tells if a request is incomplete, and how
 * much memory it takes so far. It emits copies of the parts of a body: Netty's refer to the buffer into which
 * they were read, and so would keep all of it, however short they are.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Longest request line, in bytes. */
    static final int MAX_REQUEST_LINE_BYTES = 8_192;
    /** Largest size of all headers of a request, in bytes. */
    static final int MAX_HEADER_BYTES = 16_384;

    private boolean requestBegun;
    /** Headers of the incomplete request. */
    private int headerCount;
    /** Parts of the incomplete request's body. */
    private int bodyPartCount;
    /** Bytes of the incomplete request that have been decoded. */
    private long decodedBytes;

    RequestDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    /** Whether a request has been received in part. */
    boolean hasPartialRequest() {
        return requestBegun || actualReadableBytes() > 0;
    }

    /** The estimated memory of the incomplete request in bytes; 0 if there is none. */
    long partialRequestBytes() {
        if (!hasPartialRequest()) {
            return 0;
        }
        int bufferBytes = actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
        return bufferBytes + RequestMemoryBudget.estimateBytes(headerCount, bodyPartCount, decodedBytes);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        int readableBefore = buffer.readableBytes();
        int partsBefore = out.size();
        super.decode(ctx, buffer, out);
        decodedBytes += readableBefore - buffer.readableBytes();
        for (int i = partsBefore; i < out.size(); i++) {
            if (out.get(i) instanceof HttpContent part && part.content().isReadable()) {
                bodyPartCount++;
                out.set(i, copy(part));
            }
        }
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            requestBegun = false;
            headerCount = 0;
            bodyPartCount = 0;
            decodedBytes = 0;
        }
    }

    private static HttpContent copy(HttpContent part) {
        HttpContent copy = part.replace(Unpooled.copiedBuffer(part.content()));
        part.release();
        return copy;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        requestBegun = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headerCount++;
        return super.splitHeaderName(line, start, length);
    }

    /**
     * Rejects a request with both lengths. Netty would use the chunks and drop Content-Length; a peer that
     * uses Content-Length would see a second request in the same bytes (request smuggling).
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked encoding");
    }
}
