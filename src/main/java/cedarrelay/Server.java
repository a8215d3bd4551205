package cedarrelay;

import java.util.ArrayList;
import java.util.List;

import cedarrelay.Balancer.ServerState;

/** What this node knows about a server. Times are in microseconds. */
final class Server {
    final String id;
    int zone;
    int cell;
    ServerState state;
    long startedAt;
    /** Index in the array of ready servers. */
    int readyIndex;
    /** Its nominal size, lowered in part as the list lowers its weight with its load; used for sampling. */
    double effectiveSize = 1;
    /** The weight in the current list. */
    double weight = 1;
    /** The largest weight seen: lists may lower a weight with the load of the server. */
    double nominalSize;
    /** Failures since the last success; while ejected, also earlier ones, until it is restored. */
    int errorCount;
    /** Attempts of this node in flight. */
    int inFlight;
    /** Moving average of the share of its outcomes that failed, other than by a timeout or a rejection. */
    double failureShare;
    /** Whether a probe is in flight. */
    boolean probeInFlight;
    /** Requests waiting for the result of that probe. */
    final List<PendingRequest> awaitingProbe = new ArrayList<>();
    /** Relative latency (1 = as the mean of its class) at {@code relativeLatencyAt}; it decays towards 1. */
    double relativeLatency = 1;
    long relativeLatencyAt;
    /** Concurrency limit for this node; may be below one. */
    double limit;
    long limitDecreasedAt;
    /** When an attempt last found the server, or the node, at its limit. */
    long limitReachedAt;
    /** Last outcomes, except signs of overload, one bit each, the newest lowest; 1 is a failure. */
    int outcomeBits;
    boolean ejected;
    /** Whether the last attempt could not connect. */
    boolean unreachable;
    /** While ejected: when the next trial is due. */
    long trialAt;
    /** While ejected: mean time until the next trial; each failed trial doubles it. */
    long ejectionUs;
    /** Consecutive successful trials. */
    int trialSuccesses;
    /** Time of the last response, success or error. */
    long lastResponseAt;
    /** Time of the last success. */
    long lastSuccessAt;
    /** By class: consecutive failures, time of the last success, and end of the ejection for that class. */
    final int[] classFailures;
    final long[] classLastSuccessAt;
    final long[] classEjectedUntil;
    /** In slow start: time of the last send, or at first of the notification of the start, and the share of
     * the least gap between two sends to wait after it. */
    long slowStartSentAt;
    double slowStartGapShare;

    Server(String id, double limit, int classCount) {
        this.id = id;
        this.limit = limit;
        classFailures = new int[classCount];
        classLastSuccessAt = new long[classCount];
        classEjectedUntil = new long[classCount];
    }
}
