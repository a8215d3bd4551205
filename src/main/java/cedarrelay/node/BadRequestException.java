package cedarrelay.node;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A client's request that is rejected with an error status; the message is the reason sent to the client. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient HttpResponseStatus status;

    BadRequestException(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    HttpResponseStatus status() {
        return status;
    }
}
