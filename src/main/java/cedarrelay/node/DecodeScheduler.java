package cedarrelay.node;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Shares the event loop's time between input that takes long to decode, such as bodies in very short chunks,
 * and everything else. A connection decodes a limited part of its input when it is read. If more is left, the
 * connection is throttled: it reads nothing further, and the rest is decoded here in short runs, the
 * connection first that has been throttled for longest, with time for other events between them.
 *
 * <p>Not thread-safe: all methods are called on the event loop.
 */
final class DecodeScheduler {
    /** Short against the deadlines of requests, several events of which may each wait for a run. */
    private static final long RUN_NS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long RUN_INTERVAL_MS = 1;

    private final EventLoop loop;
    private final Set<ThrottledInput> inputs = new LinkedHashSet<>();
    private boolean runScheduled;

    /** Input of a connection that is left to be decoded. */
    interface ThrottledInput {
        /** Since when the connection has been throttled, by {@link System#nanoTime}. */
        long throttledSinceNs();

        /**
         * Decodes a limited part of the input.
         *
         * @return whether more is left
         */
        boolean decodeMore();
    }

    DecodeScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds an input, until {@link ThrottledInput#decodeMore} has decoded all of it. */
    void add(ThrottledInput input) {
        inputs.add(input);
        scheduleRun();
    }

    /** Removes an input whose connection is closed or discards it. */
    void remove(ThrottledInput input) {
        inputs.remove(input);
    }

    private void scheduleRun() {
        if (!runScheduled && !inputs.isEmpty()) {
            runScheduled = true;
            loop.schedule(this::run, RUN_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void run() {
        runScheduled = false;
        long endNs = System.nanoTime() + RUN_NS;
        try {
            while (!inputs.isEmpty() && System.nanoTime() - endNs < 0) {
                ThrottledInput oldest = inputs.stream()
                        .min(Comparator.comparingLong(input -> input.throttledSinceNs() - endNs))
                        .orElseThrow();
                if (!oldest.decodeMore()) {
                    inputs.remove(oldest);
                }
            }
        } finally {
            // Also after an error, such as an OutOfMemoryError, which may end this run.
            scheduleRun();
        }
    }
}
