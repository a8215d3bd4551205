package cedarrelay.node;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Checks what the clients, servers and agents of a soak observe against the rules. Thread-safe. */
final class SoakLedger {
    /** The request classes of the soak's settings, in their order. */
    enum RequestKind { SAFE, KEYED, UNSAFE }

    /** How long a keyed request may be repeated: the window of the soak's settings. */
    static final long WINDOW_NS = TimeUnit.MILLISECONDS.toNanos(1_200);
    /** The grace period of a drain, with its tolerance. */
    private static final long GRACE_NS = TimeUnit.MILLISECONDS.toNanos(550);
    private static final long ON_REQUEST_DELAY_NS = TimeUnit.SECONDS.toNanos(6);
    private static final long DISCONNECT_TOLERANCE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long DEADLINE_TOLERANCE_NS = TimeUnit.MILLISECONDS.toNanos(150);
    /** Delays of the soak's own threads on a busy machine. */
    private static final long TEST_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(200);

    /** A client's request. Times are by System.nanoTime, and 0 for what has not happened. */
    static final class SentRequest {
        final int node;
        final RequestKind kind;
        final long deadlineNs;
        final long sentNs = System.nanoTime();
        volatile long disconnectedNs;
        private long firstExecutionNs;

        SentRequest(int node, RequestKind kind, long deadlineNs) {
            this.node = node;
            this.kind = kind;
            this.deadlineNs = deadlineNs;
        }
    }

    /** A time during which a node's process was paused. */
    private record Pause(int node, long fromNs, long toNs) { }

    private final Queue<Pause> pauses = new ConcurrentLinkedQueue<>();
    final Queue<String> violations = new ConcurrentLinkedQueue<>();
    final AtomicLong arrivals = new AtomicLong();
    final AtomicLong served = new AtomicLong();
    final AtomicLong refused = new AtomicLong();
    final AtomicLong failed = new AtomicLong();
    private final Map<String, SentRequest> requests = new ConcurrentHashMap<>();
    private final SoakDiscovery[] agents;
    private final long graceNs;
    private final long startNs = System.nanoTime();

    /** Where lists are not pushed, changes missed by a broken watch count as notified only 6 s later. */
    SoakLedger(SoakDiscovery[] agents, boolean pushed) {
        this.agents = agents;
        graceNs = GRACE_NS + (pushed ? 0 : ON_REQUEST_DELAY_NS);
    }

    /** Records a broken rule. */
    void recordViolation(String description) {
        violations.add(timestamp() + " " + description);
    }

    /** The milliseconds since the start of the soak, for its timeline. */
    String timestamp() {
        return ms(System.nanoTime() - startNs) + " ms:";
    }

    /** Records a request before its client sends it. */
    void recordRequest(String id, SentRequest request) {
        requests.put(id, request);
    }

    /**
     * Records a request that a server has received, and checks the rules of a send.
     *
     * @param remainingMs the time left that the server was given, in milliseconds
     * @param isExecuted whether the server executes the request, and doesn't reject it
     */
    void recordArrival(String server, String id, long receivedNs, long remainingMs, boolean isExecuted) {
        arrivals.incrementAndGet();
        SentRequest request = requests.get(id);
        if (request == null) {
            recordViolation("unknown id " + id);
            return;
        }
        String subject = id + " of node " + request.node + " at " + server + ": ";
        long notifiedNs = agents[request.node].leaveNotifiedNs(server);
        if (notifiedNs != 0 && receivedNs - notifiedNs > graceNs + TEST_DELAY_NS) {
            recordViolation(subject + "sent to a draining server, " + ms(receivedNs - notifiedNs)
                    + " ms after the notification");
        }
        if (request.disconnectedNs != 0 && receivedNs - request.disconnectedNs
                > DISCONNECT_TOLERANCE_NS + TEST_DELAY_NS + pausedNs(request, receivedNs)) {
            recordViolation(subject + "sent " + ms(receivedNs - request.disconnectedNs)
                    + " ms after its client disconnected");
        }
        long excessNs = receivedNs + TimeUnit.MILLISECONDS.toNanos(remainingMs) - request.deadlineNs;
        if (excessNs > DEADLINE_TOLERANCE_NS + TEST_DELAY_NS + pausedNs(request, receivedNs)) {
            recordViolation(subject + "the deadline given to the server is " + ms(excessNs) + " ms too late");
        }
        if (isExecuted) {
            recordExecution(request, subject, receivedNs);
        }
    }

    /** Records a pause of a process: checks made before it may allow writes after it. */
    void recordPause(int node, long fromNs, long toNs) {
        pauses.add(new Pause(node, fromNs, toNs));
    }

    /**
     * How long the node of a request was paused between the client's write and the arrival at the server. By
     * this much the arrival may be later than the rules say: the node may have been paused between its check
     * and its write.
     */
    private long pausedNs(SentRequest request, long arrivedNs) {
        return pauses.stream().filter(p -> p.node == request.node && p.fromNs - request.sentNs > 0
                && arrivedNs - p.fromNs > 0).mapToLong(p -> p.toNs - p.fromNs).sum();
    }

    private void recordExecution(SentRequest request, String subject, long nowNs) {
        synchronized (request) {
            if (request.firstExecutionNs == 0) {
                request.firstExecutionNs = nowNs;
                return;
            }
            long sinceNs = nowNs - request.firstExecutionNs;
            if (request.kind == RequestKind.UNSAFE
                    || request.kind == RequestKind.KEYED && sinceNs > WINDOW_NS + TEST_DELAY_NS) {
                recordViolation(subject + "executed again, " + ms(sinceNs) + " ms after the first execution");
            }
        }
    }

    private static long ms(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns);
    }
}
