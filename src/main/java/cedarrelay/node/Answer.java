package cedarrelay.node;

/**
 * A server's complete response.
 *
 * @param status HTTP status code
 * @param contentType the value of {@code Content-Type}, or null
 */
record Answer(int status, String contentType, byte[] body) { }
