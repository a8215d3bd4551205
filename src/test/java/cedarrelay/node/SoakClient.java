package cedarrelay.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A client of one node: sends one request after the other, and sometimes disconnects before the response. */
final class SoakClient implements Runnable {
    private static final int CONNECT_MS = 500;
    private static final int MAX_THINK_TIME_MS = 60;
    /** For one in this many requests the client disconnects before the response. */
    private static final int DISCONNECT_ONE_IN = 12;
    /**
     * How long after its deadline a response may come: processes are paused repeatedly, for up to 1 s each
     * time.
     */
    private static final int RESPONSE_MARGIN_MS = 6_000;
    /** The load balancer in front of the nodes opens no connections to a node this long after its SIGTERM. */
    private static final long NEW_CONNECTIONS_AFTER_SIGTERM_NS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final String[] PATHS = {"view", "photo", "order"};

    private final SoakNode node;
    private final SoakRules rules;
    private final SplittableRandom random;
    private final long idBase;
    private volatile boolean stopped;
    private Socket socket;
    /** Whether the connection has carried no response yet. */
    private boolean unusedConnection;
    private int requestCount;

    SoakClient(SoakNode node, int number, SoakRules rules, long seed) {
        this.node = node;
        this.rules = rules;
        random = new SplittableRandom(seed);
        idBase = (long) (node.index + 1) << 40 | (long) (number + 1) << 24;
    }

    /** Ends {@link #run} after the current request. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                if (socket != null || connect()) {
                    sendRequest();
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_THINK_TIME_MS));
            }
            disconnect();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean connect() {
        if (node.stopSignalNs != 0
                && System.nanoTime() - node.stopSignalNs > NEW_CONNECTIONS_AFTER_SIGTERM_NS) {
            return false;
        }
        Socket newSocket = new Socket();
        try {
            newSocket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), CONNECT_MS);
            newSocket.setTcpNoDelay(true);
        } catch (IOException e) {
            close(newSocket);
            return false;
        }
        socket = newSocket;
        unusedConnection = true;
        return true;
    }

    private void sendRequest() throws InterruptedException {
        String id = String.format("%016x", idBase | ++requestCount);
        SoakRules.RequestKind kind = SoakRules.RequestKind.values()[random.nextInt(PATHS.length)];
        int remainingMs = random.nextInt(200, SoakNode.MAX_DEADLINE_MS);
        int terminationsBefore = node.terminations.get();
        SoakRules.SentRequest request = new SoakRules.SentRequest(node.index, kind, remainingMs);
        rules.recordRequest(id, request);
        try {
            try {
                FakePeer.write(socket, buildRequest(kind, id, remainingMs));
            } finally {
                request.recordWritten();
            }
            if (random.nextInt(DISCONNECT_ONE_IN) == 0) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(100));
                disconnect();
                request.disconnectedNs = System.nanoTime();
                return;
            }
            socket.setSoTimeout(remainingMs + RESPONSE_MARGIN_MS);
            String response = FakePeer.readMessage(socket);
            if (response == null) {
                recordMissingResponse(id, terminationsBefore, "closed");
            } else {
                recordResponse(response);
            }
        } catch (java.net.SocketTimeoutException e) {
            recordMissingResponse(id, terminationsBefore, "silent");
        } catch (IOException e) {
            recordMissingResponse(id, terminationsBefore, e.getMessage());
        }
    }

    private static String buildRequest(SoakRules.RequestKind kind, String id, int remainingMs) {
        boolean safe = kind == SoakRules.RequestKind.SAFE;
        return (safe ? "GET /" : "POST /") + PATHS[kind.ordinal()] + " HTTP/1.1\r\nHost: a\r\nX-Txn: " + id
                + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + (kind == SoakRules.RequestKind.KEYED ? "Idempotency-Key: k" + id + "\r\n" : "")
                + (safe ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
    }

    private void recordResponse(String response) {
        unusedConnection = false;
        (response.startsWith("HTTP/1.1 200") ? rules.served
                : response.startsWith("HTTP/1.1 503") ? rules.refused : rules.failed).incrementAndGet();
        if (response.startsWith("HTTP/1.1 503") && FakePeer.header(response, "Retry-After") == null) {
            rules.recordViolation("node " + node.index + " refused a request without Retry-After");
        }
        if ("close".equals(FakePeer.header(response, "Connection"))) {
            disconnect();
        }
    }

    /**
     * Records a request without a response, unless that is allowed: a node may close an idle connection
     * before it has read the next request, or its process may have been killed.
     */
    private void recordMissingResponse(String id, int terminationsBefore, String cause)
            throws InterruptedException {
        boolean closeAllowed = !unusedConnection && !cause.equals("silent");
        disconnect();
        // A kill is counted before it happens, but the end of a process after SIGTERM shortly after it.
        TimeUnit.MILLISECONDS.sleep(100);
        if (!closeAllowed && node.terminations.get() == terminationsBefore) {
            rules.recordViolation("no response to " + id + " of node " + node.index + ": " + cause);
        }
    }

    private void disconnect() {
        if (socket != null) {
            close(socket);
            socket = null;
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is unusable in any case.
            return;
        }
    }
}
