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
    int position;
    /** Its nominal size, lowered by a part of what the list says about its load. */
    double size = 1;
    /** The weight in the current list. */
    double weight = 1;
    /** The largest weight seen: lists may lower a weight with the load of the server. */
    double nominal;
    /** Failures since the last success. */
    int errors;
    /** Attempts of this node in flight. */
    int inFlight;
    /** Moving share of its outcomes that failed otherwise than by a timeout or a rejection. */
    double faults;
    /** Whether a probe is in flight. */
    boolean asked;
    /** Requests waiting for the result of that probe. */
    final List<Call> askers = new ArrayList<>();
    /** Relative latency (1 = as the mean of its class) at {@code paceAt}; it decays towards 1. */
    double pace = 1;
    long paceAt;
    /** Concurrency limit for this node; may be below one. */
    double limit;
    long limitCutAt;
    /** When an attempt last found the server, or the node, at its limit. */
    long wantedAt;
    /** Last outcomes, one bit each, the newest lowest; 1 is a failure. */
    int history;
    boolean ejected;
    /** Whether the last attempt could not connect. */
    boolean unreachable;
    /** While ejected: when the next trial is due. */
    long trialAt;
    long ejectedForUs;
    /** Consecutive successful trials. */
    int trialsWon;
    /** Time of the last response, success or error. */
    long answeredAt;
    /** Time of the last success. */
    long servedAt;
    /** By class: consecutive failures, time of the last success, and end of the ejection for that class. */
    final int[] misses;
    final long[] heardAt;
    final long[] outUntil;
    /** In slow start: time of the last send, or of the start, and the share of a gap to wait after it. */
    long coldSentAt;
    double coldPhase;

    Server(String id, double limit, int classCount) {
        this.id = id;
        this.limit = limit;
        misses = new int[classCount];
        heardAt = new long[classCount];
        outUntil = new long[classCount];
    }
}
