package cedarrelay.node;

/**
 * How long calls to discovery wait, in milliseconds. A change counts as notified 6 s after discovery had it
 * and could be reached; the sums of these times that have to stay below that are in {@code docs/races.md}.
 *
 * @param responseMs time for the response to a call to begin
 * @param repeatedResponseMs the same for a call that follows an unanswered one
 * @param idleMs longest time without data on an open watch, which receives at least a heartbeat every 2 s
 * @param secondCallMs time without a response after which a second call is made beside the first one
 * @param secondCallIdleMs the same, without data on an open watch
 */
record DiscoveryTimeouts(long responseMs, long repeatedResponseMs, long idleMs, long secondCallMs,
        long secondCallIdleMs) {

    /** Stands for a second call that is never made. */
    static final long NEVER_MS = Long.MAX_VALUE;

    private static final long IDLE_MS = 3_000;

    /**
     * For lists that are pushed: discovery's agent on this machine begins its response at once or not at all,
     * and may begin to respond again at any moment.
     */
    static final DiscoveryTimeouts PUSHED = new DiscoveryTimeouts(400, 150, IDLE_MS, NEVER_MS, NEVER_MS);

    /**
     * For lists on request: the service may be slow, so each call is waited for, but also silent for calls
     * that it received while it was out of reach, so a second call is made meanwhile. There are at most two
     * calls at a time, and one new call in {@link #secondCallMs} while none is answered.
     */
    static final DiscoveryTimeouts ON_REQUEST = new DiscoveryTimeouts(3_000, 3_000, IDLE_MS, 1_500, 2_500);

    /** Whether a second call is made beside one without a response. */
    boolean allowSecondCall() {
        return secondCallMs != NEVER_MS;
    }
}
