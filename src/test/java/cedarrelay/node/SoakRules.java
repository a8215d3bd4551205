package cedarrelay.node;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Checks what the clients, servers and discovery agents of a soak test observe against the rules that
 * {@link FaultSoakTest} tests. Thread-safe.
 */
final class SoakRules {
    /** The request classes of the soak's settings, in their order. */
    enum RequestKind { SAFE, KEYED, UNSAFE }

    /** How long a keyed request may be repeated: the window of the soak's settings. */
    static final long WINDOW_NS = TimeUnit.MILLISECONDS.toNanos(1_200);
    /** The grace period of a drain, with its tolerance. */
    private static final long GRACE_NS = TimeUnit.MILLISECONDS.toNanos(550);
    private static final long ON_REQUEST_DELAY_NS = TimeUnit.SECONDS.toNanos(6);
    private static final long DISCONNECT_TOLERANCE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long DEADLINE_TOLERANCE_NS = TimeUnit.MILLISECONDS.toNanos(150);
    /** Delays of the soak's own threads between an event and its record, where these are not measured. */
    private static final long TEST_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(200);

    /** A client's request. Times are by System.nanoTime, and 0 for what has not happened. */
    static final class SentRequest {
        final int node;
        final RequestKind kind;
        final long remainingNs;
        final long sentNs = System.nanoTime();
        volatile long disconnectedNs;
        private final CompletableFuture<Long> writtenNs = new CompletableFuture<>();
        private long firstExecutionNs;

        SentRequest(int node, RequestKind kind, long remainingMs) {
            this.node = node;
            this.kind = kind;
            remainingNs = TimeUnit.MILLISECONDS.toNanos(remainingMs);
        }

        /** Records that the client's write has returned. */
        void recordWritten() {
            writtenNs.complete(System.nanoTime());
        }

        /**
         * The latest time that the client's deadline may be: its time left counts from its write. Waits until
         * the client's thread has recorded that.
         */
        private long latestDeadlineNs() {
            return writtenNs.join() + remainingNs;
        }
    }

    /** A pause of a node's process, with the longest time that it may have lasted. */
    static final class Pause {
        private final int node;
        /** The process was running before this. */
        private final long fromNs = System.nanoTime();
        /** The process was paused by then; 0 if that is not known yet. */
        private volatile long stoppedNs;
        /** The process was running again by then; 0 if that is not known yet. */
        private volatile long toNs;

        private Pause(int node) {
            this.node = node;
        }

        /** Records that the process is paused. */
        void recordStopped() {
            stoppedNs = System.nanoTime();
        }

        /** Records that the process runs again. */
        void recordEnd() {
            toNs = System.nanoTime();
        }

        private boolean mayBeginAfter(long timeNs) {
            return stoppedNs == 0 || stoppedNs - timeNs > 0;
        }

        /** The longest that it may have lasted until this time; 0 if it began later. */
        private long lengthNs(long untilNs) {
            long endNs = toNs == 0 ? untilNs : untilNs - toNs > 0 ? toNs : untilNs;
            return Math.max(0, endNs - fromNs);
        }
    }

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
    SoakRules(SoakDiscovery[] agents, boolean pushed) {
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
     * @param arrival when the request arrived
     * @param remainingMs the time left that the server was given, in milliseconds
     * @param isExecuted whether the server executes the request, and doesn't reject it
     */
    void recordArrival(String server, String id, ArrivalRecorder.Arrival arrival, long remainingMs,
            boolean isExecuted) {
        arrivals.incrementAndGet();
        SentRequest request = requests.get(id);
        if (request == null) {
            recordViolation("unknown id " + id);
            return;
        }
        long receivedNs = arrival.readNs();
        String subject = id + " of node " + request.node + " at " + server + ": ";
        long notifiedNs = agents[request.node].leaveNotifiedNs(server);
        if (notifiedNs != 0 && receivedNs - notifiedNs > graceNs + TEST_DELAY_NS) {
            recordViolation(subject + "sent to a draining server, " + ms(receivedNs - notifiedNs)
                    + " ms after the notification");
        }
        long pausedNs = pausedNs(request, arrival.earliestNs());
        long disconnectedNs = request.disconnectedNs;
        if (disconnectedNs != 0
                && arrival.earliestNs() - disconnectedNs > DISCONNECT_TOLERANCE_NS + pausedNs) {
            recordViolation(subject + "sent " + ms(arrival.earliestNs() - disconnectedNs)
                    + " ms after its client disconnected, the node paused for " + ms(pausedNs) + " ms");
        }
        long excessNs = arrival.earliestNs() + TimeUnit.MILLISECONDS.toNanos(remainingMs)
                - request.latestDeadlineNs();
        if (excessNs > DEADLINE_TOLERANCE_NS + pausedNs) {
            recordViolation(subject + "the deadline given to the server is " + ms(excessNs)
                    + " ms too late, the node paused for " + ms(pausedNs) + " ms");
        }
        if (isExecuted) {
            recordExecution(request, subject, receivedNs);
        }
    }

    /** Records that a process is about to be paused: a check before the pause may allow a write after it. */
    Pause recordPause(int node) {
        Pause pause = new Pause(node);
        pauses.add(pause);
        return pause;
    }

    /**
     * How long the node of a request may have been paused between the client's write and the arrival at the
     * server. By this much the arrival may be later than the rules say: the node may have been paused between
     * its check and its write.
     */
    private long pausedNs(SentRequest request, long arrivedNs) {
        return pauses.stream().filter(p -> p.node == request.node && p.mayBeginAfter(request.sentNs))
                .mapToLong(p -> p.lengthNs(arrivedNs)).sum();
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
