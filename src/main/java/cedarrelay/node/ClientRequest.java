package cedarrelay.node;

import java.util.HashMap;
import java.util.Map;

import cedarrelay.Balancer.RequestClass;
import cedarrelay.Balancer.RetrySafety;
import cedarrelay.Balancer.Settings;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A client's request, parsed and checked.
 *
 * @param id the value of {@code X-Txn}, which identifies the request
 * @param classIndex index of its class in {@code Settings.classes}
 * @param tenantIndex index of its tenant in {@code Settings.tenants}, or -1 without {@code X-Org}
 * @param remainingUs how long the client waits from when it sent the request, at most the class's deadline
 * @param workUs the client's estimate of the work that the request takes; 0 without a usable one
 * @param retry whether the client marks it as a retry
 * @param method GET for a safe class, otherwise POST
 * @param uri the request target, as the client sent it
 * @param headers the headers for the server, without those that concern only the client's connection
 */
record ClientRequest(long id, int classIndex, int tenantIndex, long remainingUs, long workUs, boolean retry,
        HttpMethod method, String uri, HttpHeaders headers, byte[] body) {

    /** Header with the time for which the sender waits for the response. */
    static final String REMAINING_MS_HEADER = "X-Remaining-Ms";
    private static final String REQUEST_ID = "X-Txn";
    private static final String TENANT = "X-Org";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** Header with the value 1 on a request that the client marks as a retry. */
    private static final String RETRY = "X-Resent";
    /** Header with the client's estimate of the processor time that the request takes, in microseconds. */
    private static final String WORK_ESTIMATE = "X-Estimate";
    /** Headers that concern one connection only, or that are set anew on the request to the server. */
    private static final CharSequence[] HOP_BY_HOP_HEADERS = {HttpHeaderNames.CONNECTION, "Keep-Alive",
        HttpHeaderNames.PROXY_AUTHORIZATION, HttpHeaderNames.TE, HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT,
        HttpHeaderNames.CONTENT_LENGTH, REMAINING_MS_HEADER};

    /**
     * Builds the message to a server.
     *
     * @param waitUs how long this node waits for the response, in microseconds; sent in milliseconds, at
     *         least 1
     */
    FullHttpRequest toServerRequest(long waitUs) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri,
                Unpooled.wrappedBuffer(body), headers.copy(),
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
        message.headers().set(REMAINING_MS_HEADER, Math.max(1, waitUs / 1_000));
        if (body.length > 0 || method.equals(HttpMethod.POST)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return message;
    }

    /** How long the client of a request waits by its headers, in milliseconds; -1 if they don't say so. */
    static long statedRemainingMs(HttpHeaders headers) {
        // At most nine digits, which is eleven days: no client waits longer.
        return parseDigits(headers.get(REMAINING_MS_HEADER), 9);
    }

    /** Parses a number of at most this many ASCII digits; -1 if the text is null or anything else. */
    private static long parseDigits(String text, int maxDigits) {
        if (text == null || text.isEmpty() || text.length() > maxDigits) {
            return -1;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -1;
            }
        }
        return Long.parseLong(text);
    }

    /** Parses and checks requests, by the classes and tenants of the settings. */
    static final class Parser {
        private final Settings settings;
        private final Map<String, Integer> classIndexes = new HashMap<>();
        private final Map<String, Integer> tenantIndexes = new HashMap<>();

        Parser(Settings settings) {
            this.settings = settings;
            settings.classes.forEach(c -> classIndexes.put(c.name(), classIndexes.size()));
            settings.tenants.forEach(t -> tenantIndexes.put(t.name(), tenantIndexes.size()));
        }

        boolean isClass(String name) {
            return classIndexes.containsKey(name);
        }

        /**
         * Parses a complete request.
         *
         * @throws BadRequestException if it can't be forwarded, with the status and the reason for the client
         */
        ClientRequest parse(FullHttpRequest http) throws BadRequestException {
            HttpHeaders headers = http.headers();
            Integer classIndex = classIndexes.get(className(http.uri()));
            if (classIndex == null) {
                throw new BadRequestException(HttpResponseStatus.NOT_FOUND, "unknown class of request");
            }
            RequestClass requestClass = settings.classes.get(classIndex);
            HttpMethod method = requestClass.retrySafety() == RetrySafety.SAFE ? HttpMethod.GET
                    : HttpMethod.POST;
            if (!http.method().equals(method)) {
                throw new BadRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + method);
            }
            if (requestClass.retrySafety() == RetrySafety.KEYED && !headers.contains(IDEMPOTENCY_KEY)) {
                throw badRequest(IDEMPOTENCY_KEY + " is missing");
            }
            String tenantName = headers.get(TENANT);
            Integer tenantIndex = tenantName == null ? Integer.valueOf(-1) : tenantIndexes.get(tenantName);
            if (tenantIndex == null) {
                throw badRequest("unknown " + TENANT);
            }
            long remainingMs = statedRemainingMs(headers);
            if (remainingMs < 0) {
                throw badRequest(REMAINING_MS_HEADER + " is missing or no whole number of milliseconds");
            }
            long workUs = Math.max(0, parseDigits(headers.get(WORK_ESTIMATE), 12));
            HttpHeaders forwardedHeaders = headers.copy();
            // Headers named by Connection are hop-by-hop. The request id and the idempotency key are always
            // forwarded.
            for (String connectionHeader : headers.getAll(HttpHeaderNames.CONNECTION)) {
                for (String name : connectionHeader.split(",")) {
                    if (!name.isBlank() && !name.trim().equalsIgnoreCase(REQUEST_ID)
                            && !name.trim().equalsIgnoreCase(IDEMPOTENCY_KEY)) {
                        forwardedHeaders.remove(name.trim());
                    }
                }
            }
            for (CharSequence name : HOP_BY_HOP_HEADERS) {
                forwardedHeaders.remove(name);
            }
            // The deadline in the settings limits the time that the client itself states.
            long remainingUs = Math.min(1_000 * remainingMs, requestClass.deadlineUs());
            return new ClientRequest(id(headers), classIndex, tenantIndex, remainingUs, workUs,
                    "1".equals(headers.get(RETRY)), method, http.uri(), forwardedHeaders,
                    ByteBufUtil.getBytes(http.content()));
        }

        private static String className(String uri) {
            int end = 1;
            while (end < uri.length() && "/?#".indexOf(uri.charAt(end)) < 0) {
                end++;
            }
            return uri.startsWith("/") ? uri.substring(1, end) : "";
        }

        private static long id(HttpHeaders headers) throws BadRequestException {
            String id = headers.get(REQUEST_ID);
            if (id == null || !id.matches("[0-9a-fA-F]{16}") || headers.getAll(REQUEST_ID).size() > 1) {
                throw badRequest(REQUEST_ID + " is missing or not 16 hex digits");
            }
            return Long.parseUnsignedLong(id, 16);
        }

        private static BadRequestException badRequest(String reason) {
            return new BadRequestException(HttpResponseStatus.BAD_REQUEST, reason);
        }
    }
}
