package cedarrelay.node;

import java.util.concurrent.TimeUnit;

import cedarrelay.node.Metrics.Counter;
import cedarrelay.node.Metrics.Peak;
import io.netty.channel.EventLoop;

/**
 * Bounds the age of the server list by which anything is sent. A send that was decided in time may be
 * written much later, when its connection is up or the process runs on; by then the change that forbids it
 * may lie unread in the watch's socket, or the watch may be broken. So nothing is written before what
 * discovery has told is taken in.
 *
 * <p>The list is proven up to a moment when the open watch was read to its end then, or when discovery's
 * agent had not answered a call in its time (it is silent, and learns nothing). Where lists are pushed, a
 * list proven too long ago holds all sends until it is proven again; elsewhere a change counts as told only
 * seconds later, and reading what has come is enough.
 */
final class MembershipGate {
    /** A list read so short a time ago needs no other look: far less than any grace. */
    private static final long FRESH_NS = TimeUnit.MILLISECONDS.toNanos(50);
    /** What is kept of a drain's grace for a process that is held up between its clock and its write. */
    private static final long KEPT_OF_GRACE_US = 100_000;
    /** A hold ends after so long whatever discovery does: an unanswered call is given up sooner. */
    private static final long MOST_HELD_MS = 600;

    private final EventLoop loop;
    private final Metrics metrics;
    private final long mostAgeNs;
    private final long graceNs;
    private final Runnable resume;
    private Discovery discovery;
    private long provenNs = System.nanoTime();
    private int listsPending;
    private boolean held;
    private boolean forced;
    private long heldSinceNs;

    /**
     * A gate that is open until {@link #watch}.
     *
     * @param pushed whether what discovery's agent has counts as told at once
     * @param graceUs how long a server may still be sent requests after its drain is told, in microseconds
     * @param resume sends what was held
     */
    MembershipGate(EventLoop loop, Metrics metrics, boolean pushed, long graceUs, Runnable resume) {
        this.loop = loop;
        this.metrics = metrics;
        this.resume = resume;
        graceNs = pushed ? TimeUnit.MICROSECONDS.toNanos(graceUs) : Long.MAX_VALUE;
        mostAgeNs = pushed ? TimeUnit.MICROSECONDS.toNanos(Math.max(0, graceUs - KEPT_OF_GRACE_US))
                : Long.MAX_VALUE;
    }

    /** From now on the list is one that this tells of. */
    void watch(Discovery source) {
        discovery = source;
        proven();
    }

    /** Reads what discovery has told, unless that was done just now: before a decision, and before a send. */
    void refresh() {
        if (discovery != null && System.nanoTime() - provenNs > FRESH_NS && discovery.catchUp()) {
            proven();
        }
    }

    /** Whether a first byte may go out now; if not, {@code resume} runs once it may. */
    boolean mayWrite() {
        if (discovery == null) {
            return true;
        }
        refresh();
        long ageNs = System.nanoTime() - provenNs;
        boolean current = listsPending == 0 && ageNs <= mostAgeNs;
        if (!current && !forced) {
            hold();
            return false;
        }
        metrics.observe(Peak.LIST_AGE_AT_SEND_MS, TimeUnit.NANOSECONDS.toMillis(ageNs));
        if (ageNs > graceNs) {
            metrics.count(Counter.VIOLATIONS_STALE_LIST);
        }
        return true;
    }

    /** The list is known to be as discovery's agent has it. */
    void proven() {
        provenNs = System.nanoTime();
        release();
    }

    /** A message has been read that the decision module will be told of after its present call. */
    void listPending() {
        listsPending++;
    }

    void listTaken() {
        listsPending--;
        release();
    }

    private void hold() {
        metrics.count(Counter.SENDS_HELD);
        if (!held) {
            held = true;
            long since = System.nanoTime();
            heldSinceNs = since;
            loop.schedule(() -> {
                if (held && heldSinceNs == since) {
                    forced = true;
                    open();
                }
            }, MOST_HELD_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void release() {
        forced = false;
        if (held && listsPending == 0) {
            open();
        }
    }

    /** Later: who learns of the list may be in the midst of something. */
    private void open() {
        held = false;
        loop.execute(resume);
    }
}
