package cedarrelay.node;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * The graceful shutdown of a node after SIGTERM. Clients go on using their connections, and SIGKILL may
 * follow some time after SIGTERM, so each request that arrives during the shutdown has to be answered before.
 *
 * <p>Not thread-safe: all methods are called on the event loop.
 */
final class GracefulShutdown {
    /** New connections arrive for up to 0.4 s after SIGTERM, and their requests shortly after. */
    private static final long ACCEPT_WHILE_STOPPING_MS = 600;
    private static final long POLL_INTERVAL_MS = 10;
    /** Allows for the connections accepted last, responses still to be read, and event-loop lag. */
    private static final long MAX_DURATION_MARGIN_MS = 5_000;
    /** SIGKILL follows SIGTERM no sooner than the longest deadline, up to this limit, and a grace. */
    private static final long MAX_DEADLINE_BEFORE_KILL_US = TimeUnit.SECONDS.toMicros(3);
    private static final long KILL_GRACE_US = TimeUnit.MILLISECONDS.toMicros(700);
    /** Time for the last responses to be written before SIGKILL, with event-loop lag or a pause. */
    private static final long RESPONSE_MARGIN_US = TimeUnit.MILLISECONDS.toMicros(200);

    private final EventLoop loop;
    private final ClientListener clientListener;
    private final long longestDeadlineUs;
    private boolean begun;
    private long signalledNs;

    /**
     * Creates the shutdown of a node that is not stopping yet.
     *
     * @param longestDeadlineUs the longest deadline of any class of requests, in microseconds
     */
    GracefulShutdown(EventLoop loop, ClientListener clientListener, long longestDeadlineUs) {
        this.loop = loop;
        this.clientListener = clientListener;
        this.longestDeadlineUs = longestDeadlineUs;
    }

    /**
     * The maximum duration, in milliseconds: if no SIGKILL follows, the requests that arrived before SIGTERM
     * have their full time.
     */
    long maxDurationMs() {
        return ACCEPT_WHILE_STOPPING_MS + longestDeadlineUs / 1_000 + MAX_DURATION_MARGIN_MS;
    }

    /**
     * Stops accepting connections after a delay, and runs {@code done} once all requests have their responses
     * and all connections are closed.
     *
     * @param signalNs when SIGTERM was received, by {@link System#nanoTime}
     */
    void begin(long signalNs, Runnable done) {
        begun = true;
        signalledNs = signalNs;
        clientListener.drain();
        loop.schedule(() -> {
            clientListener.stopAccepting();
            runWhenDone(done);
        }, ACCEPT_WHILE_STOPPING_MS, TimeUnit.MILLISECONDS);
    }

    private void runWhenDone(Runnable done) {
        if (remainingUs(System.nanoTime()) <= 0) {
            // The rest of these requests could arrive too late for a response before SIGKILL.
            clientListener.rejectUnfinishedRequests();
        }
        if (clientListener.closeIdleConnections()) {
            done.run();
        } else {
            loop.schedule(() -> runWhenDone(done), POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * The time in which a request has to be answered, in microseconds: that of its client or, for a request
     * that arrives during the shutdown, what is left before SIGKILL if that is less.
     *
     * @param arrivedNs when the request arrived, by {@link System#nanoTime}
     * @param clientRemainingUs how long the client waits from then on, in microseconds
     */
    long limitRemainingUs(long arrivedNs, long clientRemainingUs) {
        if (!begun || arrivedNs - signalledNs <= 0) {
            return clientRemainingUs;
        }
        return Math.max(0, Math.min(clientRemainingUs, remainingUs(arrivedNs)));
    }

    /** Time from then until the last responses have to be sent, in microseconds; negative once it is over. */
    private long remainingUs(long nowNs) {
        long answerWithinUs = Math.min(longestDeadlineUs, MAX_DEADLINE_BEFORE_KILL_US) + KILL_GRACE_US
                - RESPONSE_MARGIN_US;
        return answerWithinUs - TimeUnit.NANOSECONDS.toMicros(nowNs - signalledNs);
    }
}
