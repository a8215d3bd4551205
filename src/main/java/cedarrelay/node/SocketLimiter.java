package cedarrelay.node;

import java.util.function.BooleanSupplier;

/**
 * Keeps the number of open sockets, to clients and to servers together, below the process's limit of file
 * descriptors. Closes idle connections to make room before the system refuses a descriptor.
 */
final class SocketLimiter {
    /** Descriptors reserved for the runtime's own files and selector, the listening socket, discovery, and
     * sockets whose close has not released the descriptor yet. */
    static final int RESERVED_DESCRIPTORS = 64;
    /** Maximum share of client connections in the descriptors above the reserve; the requests of clients need
     * connections to servers. */
    private static final double MAX_CLIENTS_SHARE = 0.75;

    /** Above this share of the limit, idle client connections are closed. It is half of what the clients are
     * known to hold at most, a third of the whole limit. */
    private static final double CLOSE_IDLE_SHARE = 1.0 / 6;

    /** Above this share of the limit, every response closes its client connection. A close announced in the
     * response cannot race with the client's next request. */
    private static final double CLOSE_AFTER_RESPONSE_SHARE = 1.0 / 4;

    private final int maxSockets;
    private final int maxClients;
    private final int closeAfterResponseThreshold;
    private final int closeIdleThreshold;
    private BooleanSupplier closeIdleClient = () -> false;
    private BooleanSupplier closeIdleServer = () -> false;
    private Runnable onRoomAvailable = () -> { };
    private int clients;
    private int servers;

    /** Takes the process's limit of file descriptors, {@link #RESERVED_DESCRIPTORS} included. */
    SocketLimiter(int limit) {
        maxSockets = Math.max(2, limit - RESERVED_DESCRIPTORS);
        maxClients = Math.max(1, (int) (MAX_CLIENTS_SHARE * maxSockets));
        closeAfterResponseThreshold = (int) (CLOSE_AFTER_RESPONSE_SHARE * limit);
        closeIdleThreshold = Math.min(maxClients, (int) (CLOSE_IDLE_SHARE * limit));
    }

    /**
     * Registers the client side.
     *
     * @param closeOneIdle closes one idle client connection; false if there is none
     * @param whenRoomAvailable runs after each closed connection, when there may be room for another client
     */
    void registerClientSide(BooleanSupplier closeOneIdle, Runnable whenRoomAvailable) {
        closeIdleClient = closeOneIdle;
        onRoomAvailable = whenRoomAvailable;
    }

    /** Registers how to close one idle server connection; the supplier returns false if there is none. */
    void registerServerSide(BooleanSupplier closeOneIdle) {
        closeIdleServer = closeOneIdle;
    }

    /** Whether one more client connection stays within the limits. */
    boolean hasRoomForClient() {
        return clients < maxClients && clients + servers < maxSockets;
    }

    /** Whether there are so many client connections that idle ones should be closed. */
    boolean shouldCloseIdleClients() {
        return clients > closeIdleThreshold;
    }

    /** Whether there are so many client connections that each should be closed after its response. */
    boolean shouldCloseAfterResponse() {
        return clients > closeAfterResponseThreshold;
    }

    /** Counts an accepted client connection, even if it exceeds the limit. */
    void addClient() {
        clients++;
    }

    /**
     * Closes idle connections until one more client connection stays within the limits or none is idle.
     *
     * @return whether another client connection may be accepted
     */
    boolean makeRoomForClient() {
        // Several connections are accepted at once, so the count may exceed the limit by more than one.
        boolean closed = true;
        while (!hasRoomForClient() && closed) {
            // At the limit of client connections, closing a server connection would make no room.
            closed = clients >= maxClients ? closeIdleClient.getAsBoolean() : closeIdleConnection();
        }
        return hasRoomForClient();
    }

    /** Counts a closed client connection and announces the room. */
    void removeClient() {
        clients--;
        onRoomAvailable.run();
    }

    /**
     * Counts a new server connection, after closing an idle connection if the limit is reached.
     *
     * @return false if there is no room; the connection is not counted then and must not be opened
     */
    boolean tryAddServer() {
        if (clients + servers >= maxSockets && !closeIdleConnection()) {
            return false;
        }
        servers++;
        return true;
    }

    /** Counts a closed server connection and announces the room. */
    void removeServer() {
        servers--;
        onRoomAvailable.run();
    }

    /**
     * Closes one idle connection; false if there is none. Prefers a server connection: closing a client
     * connection can race with the client's next request, while only this node sends requests to a server.
     */
    boolean closeIdleConnection() {
        return closeIdleServer.getAsBoolean() || closeIdleClient.getAsBoolean();
    }
}
