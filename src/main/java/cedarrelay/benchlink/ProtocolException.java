package cedarrelay.benchlink;

/** The input violates the simulator's line protocol. The message is one line for the operator. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    ProtocolException(String message) {
        super(message);
    }
}
