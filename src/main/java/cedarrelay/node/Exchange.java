package cedarrelay.node;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** A client's request and the one response to it; once there is a response, further ones are ignored. */
final class Exchange {
    private final ClientConnection connection;
    private final ClientRequest request;
    private final long arrivedNs;
    private final boolean keepAlive;
    private Runnable disconnectAction = () -> { };
    /** Whether the response has been passed to the connection, or the client has disconnected before. */
    private boolean answered;

    Exchange(ClientConnection connection, ClientRequest request, long arrivedNs, boolean keepAlive) {
        this.connection = connection;
        this.request = request;
        this.arrivedNs = arrivedNs;
        this.keepAlive = keepAlive;
    }

    ClientRequest request() {
        return request;
    }

    /** When the request arrived, as far as this node can tell, by {@link System#nanoTime}. */
    long arrivedNs() {
        return arrivedNs;
    }

    /** Whether the request is unanswered and the client still connected, as far as the kernel knows. */
    boolean isClientWaiting() {
        return !answered && connection.isClientConnected();
    }

    /** Sets the action to run if the client disconnects before the response. */
    void onClientDisconnect(Runnable action) {
        disconnectAction = action;
    }

    /** Called when the client has disconnected before the response. */
    void clientDisconnected() {
        answered = true;
        disconnectAction.run();
    }

    /** Sends a 200 with the content of a server's response. */
    void respond(ServerResponse serverResponse) {
        FullHttpResponse response = response(HttpResponseStatus.OK, serverResponse.body());
        if (serverResponse.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, serverResponse.contentType());
        }
        sendResponse(response);
    }

    /**
     * Sends a 503, which promises that the client can safely retry the request: it had no effect, or may be
     * repeated.
     *
     * @param retryAfterUs delay for {@code Retry-After}, in microseconds; 0 sends no such header
     */
    void refuse(long retryAfterUs) {
        FullHttpResponse response = plainTextResponse(HttpResponseStatus.SERVICE_UNAVAILABLE,
                "refused, try again");
        if (retryAfterUs > 0) {
            String seconds = retryAfterUs % 1_000_000 == 0 ? Long.toString(retryAfterUs / 1_000_000)
                    : Double.toString(Math.ceil(retryAfterUs / 1e3) / 1e3);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        sendResponse(response);
    }

    /** Sends an error that leaves open whether the request had an effect. */
    void fail(HttpResponseStatus status, String reason) {
        sendResponse(plainTextResponse(status, reason));
    }

    private void sendResponse(FullHttpResponse response) {
        if (answered) {
            response.release();
            return;
        }
        answered = true;
        connection.respond(response, keepAlive);
    }

    /** A plain-text response with the reason as its only line. */
    static FullHttpResponse plainTextResponse(HttpResponseStatus status, String reason) {
        FullHttpResponse response = response(status, (reason + "\n").getBytes(StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return response;
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }
}
