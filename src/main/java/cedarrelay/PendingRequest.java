package cedarrelay;

import cedarrelay.Balancer.Actions;
import cedarrelay.Balancer.Request;
import cedarrelay.Balancer.RequestClass;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.RetrySafety;
import cedarrelay.Balancer.Settings;

/** A request that is pending or still has attempts in flight. Times are in microseconds. */
final class PendingRequest {
    final Request request;
    final RequestClass requestClass;
    final long arrivedAt;
    /** Latency target. */
    final long latencyTargetUs;
    /** End of the latency target, which starts with the first try of the client; at most the deadline. */
    final long latencyTargetAt;
    final long deadlineAt;
    /** When half of its time has passed: a request that certainly hasn't run is refused then. */
    final long refuseAt;
    /** By attempt: its server, when it was sent, and its result, or null while it is in flight. */
    final Server[] servers;
    final long[] sentAt;
    final Result[] results;
    /** Utility of a response on time, given the quota of its tenant. */
    double utility;
    /** Queue priority: utility per expected work. */
    double queuePriority;
    /** Whether the priority has been lowered because a response is expected after the latency target. */
    boolean priorityLowered;
    /** Attempts started so far. */
    int attemptCount;
    /** Attempts in flight. */
    int attemptsInFlight;
    /** Whether it is in the deferred queue. */
    boolean deferred;
    /** Whether it waits for probe results. */
    boolean awaitingProbes;
    /** Probe results that it waits for. */
    int probesPending;
    /** When it stops waiting for probe results. */
    long probeWaitEndsAt;
    /** Whether the response has begun to arrive. */
    boolean streaming;
    /** Whether it needs no further response. */
    boolean ended;

    /**
     * Creates a request that arrives now.
     *
     * @param elapsedUs time since the first try of the client
     */
    PendingRequest(Request request, Settings settings, long nowUs, long elapsedUs) {
        this.request = request;
        requestClass = settings.classes.get(request.classIndex());
        long targetUs = Math.min(requestClass.deadlineUs(),
                requestClass.latencyTargetUs() + (long) (requestClass.targetPerWork() * request.workUs()));
        arrivedAt = nowUs;
        deadlineAt = nowUs + Math.max(0, request.remainingUs());
        refuseAt = nowUs + (request.remainingUs() - request.readDelayUs()) / 2;
        latencyTargetUs = targetUs;
        latencyTargetAt = Math.min(deadlineAt, nowUs + targetUs - elapsedUs - request.readDelayUs());
        servers = new Server[settings.maxAttempts];
        sentAt = new long[settings.maxAttempts];
        results = new Result[settings.maxAttempts];
    }

    /** Returns the earliest attempt that may have run, or -1: it restricts retries and refusals. */
    int firstPossiblyRunAttempt() {
        for (int i = 0; i < attemptCount; i++) {
            if (results[i] == null || !results[i].neverRan) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Returns until when another attempt may be sent: {@link Actions#NO_SEND_DEADLINE} if no attempt may have
     * run or the request is safe to retry, the end of the deduplication window if it is keyed, otherwise 0.
     */
    long retryAllowedUntil() {
        int firstPossiblyRun = firstPossiblyRunAttempt();
        return firstPossiblyRun < 0 || requestClass.retrySafety() == RetrySafety.SAFE
                ? Actions.NO_SEND_DEADLINE
                : requestClass.retrySafety() == RetrySafety.KEYED
                ? sentAt[firstPossiblyRun] + requestClass.deduplicationWindowUs() : 0;
    }
}
