package cedarrelay.node;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/**
 * Netty's request decoder, stricter about a request's length; also tells if a request is incomplete, and how
 * much memory it takes so far. It emits copies of the parts of a body: Netty's refer to the buffer into which
 * they were read, and so would keep all of it, however short they are. It decodes a limited number of parts
 * at once, and keeps the rest of the input until it is told to go on.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Longest request line, in bytes. */
    static final int MAX_REQUEST_LINE_BYTES = 8_192;
    /** Largest size of all headers of a request, in bytes. */
    static final int MAX_HEADER_BYTES = 16_384;

    /** Parts of a body, such as chunks, that are decoded at once. */
    private static final int MAX_PARTS_AT_ONCE = 256;

    /** What the decoder has emitted and is not passed on yet. */
    private final List<Object> decoded = new ArrayList<>();
    /** Parts that may still be decoded; the rest of the input is kept undecoded. */
    private int permittedParts = MAX_PARTS_AT_ONCE;
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

    /** Permits a limited number of further parts to be decoded, when more input is passed to this decoder. */
    void permitParts() {
        permittedParts = MAX_PARTS_AT_ONCE;
    }

    /** Whether the input may hold more that can be decoded after {@link #permitParts}. */
    boolean hasUndecodedInput() {
        return permittedParts <= 0 && actualReadableBytes() > 0;
    }

    /** The estimated memory of the incomplete request in bytes; 0 if there is none. */
    long partialRequestBytes() {
        if (!hasPartialRequest()) {
            return 0;
        }
        int bufferBytes = actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
        return bufferBytes + RequestMemoryBudget.estimateBytes(headerCount, bodyPartCount, decodedBytes);
    }

    /**
     * Decodes a head, or as much as is permitted of the body that has been received. The parts of the body
     * are joined to one, since handling each of many short chunks takes far longer than copying its bytes.
     */
    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        ByteBuf body = Unpooled.EMPTY_BUFFER;
        int readableBefore = Integer.MAX_VALUE;
        while (decoded.isEmpty() && permittedParts > 0 && buffer.isReadable()
                && buffer.readableBytes() < readableBefore) {
            readableBefore = buffer.readableBytes();
            super.decode(ctx, buffer, decoded);
            decodedBytes += readableBefore - buffer.readableBytes();
            body = moveBodyPart(body);
        }
        if (body.isReadable()) {
            bodyPartCount++;
            out.add(new DefaultHttpContent(body));
        }
        out.addAll(decoded);
        decoded.clear();
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            requestBegun = false;
            headerCount = 0;
            bodyPartCount = 0;
            decodedBytes = 0;
        }
    }

    /** Takes a part that is not the last one from the decoded objects, and appends a copy to the body. */
    private ByteBuf moveBodyPart(ByteBuf body) {
        if (decoded.size() != 1 || decoded.get(0) instanceof LastHttpContent
                || !(decoded.get(0) instanceof HttpContent part)) {
            return body;
        }
        decoded.clear();
        permittedParts--;
        ByteBuf extended = body.isReadable() ? body : Unpooled.buffer(part.content().readableBytes());
        extended.writeBytes(part.content());
        part.release();
        return extended;
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
