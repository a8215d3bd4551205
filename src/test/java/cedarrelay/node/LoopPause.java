package cedarrelay.node;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Pauses an event loop, as a pause of the whole process would. */
final class LoopPause {
    private LoopPause() { }

    /** Blocks the calling thread, which is that of the event loop, for at least this long. */
    static void block(long ms) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() - endNs < 0) {
            LockSupport.parkNanos(endNs - System.nanoTime());
        }
    }
}
