package cedarrelay.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

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
    private static final long MOST_HELD_MS = 1_000;

    private static final Logger LOG = System.getLogger(MembershipGate.class.getName());

    private final EventLoop loop;
    private final Metrics metrics;
    private final LongSupplier lagUs;
    private final long mostAgeNs;
    private final long graceNs;
    private final Runnable resume;
    private Discovery discovery;
    private long provenNs = System.nanoTime();
    private int listsPending;
    private boolean held;
    private boolean forced;
    private int holds;

    /**
     * A gate that is open until {@link #watch}.
     *
     * @param pushed whether what discovery's agent has counts as told at once
     * @param graceUs how long a server may still be sent requests after its drain is told, in microseconds
     * @param lagUs how far the event loop is behind, in microseconds
     * @param resume sends what was held
     */
    MembershipGate(EventLoop loop, Metrics metrics, boolean pushed, long graceUs, LongSupplier lagUs,
            Runnable resume) {
        this.loop = loop;
        this.lagUs = lagUs;
        this.metrics = metrics;
        this.resume = resume;
        graceNs = pushed ? TimeUnit.MICROSECONDS.toNanos(graceUs) : Long.MAX_VALUE;
        mostAgeNs = pushed ? TimeUnit.MICROSECONDS.toNanos(Math.max(0, graceUs - KEPT_OF_GRACE_US))
                : Long.MAX_VALUE;
    }

    /** From now on the list is one that this tells of. */
    void watch(Discovery source) {
        discovery = source;
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
        // What was let pass before the process was held up says nothing of what was told meanwhile.
        forced &= lagUs.getAsLong() < KEPT_OF_GRACE_US;
        if (!isCurrent() && !forced) {
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
        proven(System.nanoTime());
    }

    /** It was as discovery's agent had it, or discovery had nothing to tell, at this time. */
    void proven(long asOfNs) {
        if (asOfNs - provenNs > 0) {
            provenNs = asOfNs;
            release();
        }
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
            holds++;
            endHoldLater(holds);
        }
    }

    /** On a process held up meanwhile, the calls of discovery were too: then anew. */
    private void endHoldLater(int hold) {
        long dueNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_HELD_MS);
        loop.schedule(() -> {
            if (!held || hold != holds) {
                return;
            }
            if (System.nanoTime() - dueNs > FRESH_NS) {
                endHoldLater(hold);
                return;
            }
            LOG.log(Level.WARNING, "sends go by a list that has not been known to be current for {0} ms",
                    Long.toString(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - provenNs)));
            forced = true;
            open();
        }, MOST_HELD_MS, TimeUnit.MILLISECONDS);
    }

    private boolean isCurrent() {
        return listsPending == 0 && System.nanoTime() - provenNs <= mostAgeNs;
    }

    private void release() {
        if (isCurrent()) {
            forced = false;
            if (held) {
                open();
            }
        }
    }

    /** Later: who learns of the list may be in the midst of something. */
    private void open() {
        held = false;
        loop.execute(resume);
    }
}
