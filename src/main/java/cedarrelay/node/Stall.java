package cedarrelay.node;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Measures the event-loop lag with a periodic tick. Data that is read while the loop lags may have waited in
 * the kernel's buffers for that long; this time must not be taken for a server's latency. Causes are
 * unoptimized code just after a start, a processor busy with other processes, and garbage collection.
 */
final class Stall {
    /** Far below any latency target; a tick costs a few microseconds. */
    private static final long TICK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(10);

    private final EventLoop loop;
    /** When the latest tick that has run was due, by {@link System#nanoTime}. */
    private long lastDueNs;
    private ScheduledFuture<?> nextTick;
    private int beats;

    Stall(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts the ticks. */
    void watch() {
        lastDueNs = System.nanoTime();
        schedule();
    }

    /** Stops the ticks. */
    void close() {
        if (nextTick != null) {
            nextTick.cancel(false);
        }
    }

    /** Number of ticks so far. A lagging loop runs one per iteration, however long the iteration takes. */
    int beats() {
        return beats;
    }

    /**
     * How long data that is read now may have waited for the event loop, in microseconds; 0 without lag.
     * Counted from when the last tick was due, not from when it ran: data that arrives during a long
     * iteration of the loop is read in the next one, after the tick at the end of the long one.
     */
    long us() {
        return nextTick == null ? 0
                : TimeUnit.NANOSECONDS.toMicros(
                        Math.max(0, System.nanoTime() - lastDueNs - TICK_INTERVAL_NS));
    }

    private void schedule() {
        long nextDueNs = System.nanoTime() + TICK_INTERVAL_NS;
        nextTick = loop.schedule(() -> {
            lastDueNs = nextDueNs;
            beats++;
            schedule();
        }, TICK_INTERVAL_NS, TimeUnit.NANOSECONDS);
    }
}
