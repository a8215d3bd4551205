package cedarrelay;

import cedarrelay.Balancer.Actions;
import cedarrelay.Balancer.Repeat;
import cedarrelay.Balancer.Request;
import cedarrelay.Balancer.RequestClass;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.Settings;

/** A request that is pending or still has attempts in flight. Times are in microseconds. */
final class Call {
    final Request request;
    final RequestClass cls;
    final long arrivedAt;
    /** Latency target. */
    final long aimUs;
    /** End of the latency target, which starts with the first try of the client; at most the deadline. */
    final long aimAt;
    final long deadlineAt;
    /** After half of its time: a request that no server has seen is refused then. */
    final long refuseAt;
    /** By attempt: its server, when it was sent, and its result, or null while it is in flight. */
    final Server[] servers;
    final long[] sentAt;
    final Result[] results;
    /** Utility of a response on time, given the quota of its tenant. */
    double worth;
    /** Queue priority: utility per expected work. */
    double value;
    /** Whether the priority has been lowered because a response is expected after the latency target. */
    boolean late;
    /** Attempts started so far. */
    int attempts;
    /** Attempts in flight. */
    int outstanding;
    /** Whether it is in the deferred queue. */
    boolean waiting;
    /** Whether it waits for probe results. */
    boolean asking;
    /** Probe results that it waits for. */
    int asksOut;
    /** When it stops waiting for probe results. */
    long decideAt;
    /** Whether the response has begun to arrive. */
    boolean streaming;
    /** Whether it needs no further response. */
    boolean ended;

    /**
     * Creates a request that arrives now.
     *
     * @param elapsedUs time since the first try of the client
     */
    Call(Request request, Settings settings, long nowUs, long elapsedUs) {
        this.request = request;
        cls = settings.classes.get(request.classIndex());
        long targetUs = Math.min(cls.deadlineUs(),
                cls.aimUs() + (long) (cls.aimStretch() * request.workUs()));
        arrivedAt = nowUs;
        deadlineAt = nowUs + Math.max(0, request.leftUs());
        refuseAt = nowUs + (request.leftUs() - request.waitedUs()) / 2;
        aimUs = targetUs;
        aimAt = Math.min(deadlineAt, nowUs + targetUs - elapsedUs - request.waitedUs());
        servers = new Server[settings.maxAttempts];
        sentAt = new long[settings.maxAttempts];
        results = new Result[settings.maxAttempts];
    }

    /** Returns the earliest attempt that may have run, or -1: it restricts retries and refusals. */
    int binding() {
        for (int i = 0; i < attempts; i++) {
            if (results[i] == null || !results[i].neverRan) {
                return i;
            }
        }
        return -1;
    }

    /** Returns until when another attempt may be sent: the key window of a keyed request, 0 for never. */
    long repeatableUntil() {
        int binding = binding();
        return binding < 0 || cls.repeat() == Repeat.SAFE ? Actions.ANY_TIME
                : cls.repeat() == Repeat.KEYED ? sentAt[binding] + cls.windowUs() : 0;
    }
}
