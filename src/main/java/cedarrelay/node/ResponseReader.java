package cedarrelay.node;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/** Assembles one response of a server, within size limits, and rejects responses that are ambiguous. */
final class ResponseReader {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    /** Informational (1xx) responses before the final one; servers send one or two. */
    private static final int MAX_INFORMATIONAL = 16;
    private static final byte[] EMPTY_BODY = {};

    /** The bytes received are not a valid response to the request. */
    static final class MalformedResponseException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedResponseException() {
            super("invalid response from the server", null, false, false);
        }
    }

    /** Netty's response decoder, but rejecting lines and lengths that can be read in more than one way. */
    static final class ResponseDecoder extends HttpResponseDecoder {
        ResponseDecoder() {
            super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES));
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            // In responses Netty also ends a header's name at white space, and then accepts a missing colon.
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("response header without a colon after its name");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("response has both Content-Length and chunked encoding");
        }
    }

    private HttpResponse head;
    private byte[] body = EMPTY_BODY;
    private int bodyBytes;
    private int informationalCount;
    private boolean complete;

    /** Whether the final response is complete. */
    boolean isComplete() {
        return complete;
    }

    /**
     * Adds the next decoded part.
     *
     * @return whether the final response is now complete
     * @throws MalformedResponseException if the response is malformed, too large or not properly ended
     */
    boolean read(HttpObject part) throws MalformedResponseException {
        if (complete || part.decoderResult().isFailure()) {
            throw new MalformedResponseException();
        }
        if (part instanceof HttpResponse response) {
            beginResponse(response);
        }
        if (part instanceof HttpContent content) {
            addContent(content.content());
            if (part instanceof LastHttpContent) {
                endResponse();
            }
        }
        return complete;
    }

    private void beginResponse(HttpResponse response) throws MalformedResponseException {
        head = response;
        long length = HttpUtil.getContentLength(response, 0L);
        // A larger body can't be forwarded, and no request asks for another protocol.
        if (length > MAX_BODY_BYTES || response.protocolVersion().majorVersion() != 1
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            throw new MalformedResponseException();
        }
        body = length > 0 ? new byte[(int) length] : EMPTY_BODY;
    }

    private void addContent(ByteBuf content) throws MalformedResponseException {
        int contentBytes = content.readableBytes();
        if (bodyBytes + contentBytes > MAX_BODY_BYTES) {
            throw new MalformedResponseException();
        }
        if (bodyBytes + contentBytes > body.length) {
            body = Arrays.copyOf(body,
                    Math.min(MAX_BODY_BYTES, Math.max(bodyBytes + contentBytes, 2 * body.length)));
        }
        content.readBytes(body, bodyBytes, contentBytes);
        bodyBytes += contentBytes;
    }

    private void endResponse() throws MalformedResponseException {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++informationalCount > MAX_INFORMATIONAL) {
                throw new MalformedResponseException();
            }
            body = EMPTY_BODY;
            bodyBytes = 0;
            return;
        }
        // Without a length, the body ends with the connection. Netty's decoder reports that end only for an
        // orderly close: the connection of a server that dies half way is reset, an error of the channel.
        complete = true;
    }

    private boolean isFramed() {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    /** Status code of the latest response that has begun. */
    int status() {
        return head.status().code();
    }

    /** Value of the header in the latest response that has begun, or null. */
    String header(CharSequence name) {
        return head.headers().get(name);
    }

    /** Whether the connection can take another request after this response. */
    boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(head) && isFramed();
    }

    /** The complete response; to be called only when it {@link #isComplete}. */
    ServerResponse toResponse() {
        return new ServerResponse(status(), header(HttpHeaderNames.CONTENT_TYPE),
                bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes));
    }
}
