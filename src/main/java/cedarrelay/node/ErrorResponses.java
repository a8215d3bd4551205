package cedarrelay.node;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/** Creates the responses to requests that are rejected. */
final class ErrorResponses {
    private ErrorResponses() { }

    /** The response to a request that is rejected for this reason. */
    static FullHttpResponse of(BadRequestException e) {
        FullHttpResponse response = Exchange.plainTextResponse(e.status(), e.getMessage());
        if (e.status().equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, e.getMessage().replace("use ", ""));
        }
        return response;
    }

    /** The response to a request whose method is not the permitted one. */
    static FullHttpResponse methodNotAllowed(String permittedMethod) {
        return of(new BadRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + permittedMethod));
    }

    /** The reason why input that can't be decoded is rejected, by the decoder's error. */
    static BadRequestException decodingError(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return new BadRequestException(HttpResponseStatus.REQUEST_URI_TOO_LONG, "request line too long");
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return new BadRequestException(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "headers too large");
        }
        return new BadRequestException(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
    }

    /** Announces in a response that its connection is closed after it. */
    static FullHttpResponse withConnectionClose(FullHttpResponse response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }
}
