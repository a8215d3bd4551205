package cedarrelay.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import cedarrelay.node.Metrics.Counter;
import cedarrelay.node.Metrics.Maximum;
import io.netty.channel.EventLoop;

/**
 * Limits the age of the server list that a send relies on. A send may be written long after its decision,
 * when its connection is established or a paused process continues. By then a change that forbids it may lie
 * unread in the socket of the watch, or the watch may be broken. So nothing is written before all received
 * changes are applied.
 *
 * <p>The list is confirmed current as of a moment if the open watch was then read to its end, or if
 * discovery's agent did not respond to a call made at that moment: a silent agent receives no changes either.
 * Where lists are pushed, all sends are held back while the last confirmation is too old. Otherwise a change
 * counts as notified only seconds later, and reading what has arrived is enough.
 */
final class MembershipGate {
    /** A list confirmed less than this ago isn't checked again; far shorter than any grace period. */
    private static final long FRESH_NS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Part of the grace period reserved for a pause of the process between a check and its write. */
    private static final long GRACE_RESERVE_US = 100_000;
    /** Sends are held back for at most this long; discovery calls without a response time out sooner. */
    private static final long MAX_HOLD_MS = 1_000;
    /** The time of a hold is counted in steps of this length. */
    private static final long HOLD_STEP_MS = 50;
    /** What a step counts at most: if it took longer, the process was paused. */
    private static final long MAX_HOLD_STEP_MS = 75;

    private static final Logger LOG = System.getLogger(MembershipGate.class.getName());

    private final EventLoop loop;
    private final Metrics metrics;
    private final LongSupplier lagUs;
    private final long maxAgeNs;
    private final long graceNs;
    private final Runnable resume;
    private Discovery discovery;
    private long confirmedNs = System.nanoTime();
    /** Lists that have been received and not yet applied. */
    private int pendingLists;
    private boolean holding;
    /** Whether sends may rely on an unconfirmed list, because they have been held back for long enough. */
    private boolean staleSendsAllowed;
    /** Number of holds so far, which also identifies the latest one. */
    private int holdCount;

    /**
     * Creates a gate that lets all sends pass until {@link #setSource} is called.
     *
     * @param pushed whether a change counts as notified as soon as discovery's agent has it
     * @param graceUs how long a server may still be sent requests after its drain was notified, in
     *     microseconds
     * @param lagUs the event-loop lag, in microseconds
     * @param resume sends what was held back
     */
    MembershipGate(EventLoop loop, Metrics metrics, boolean pushed, long graceUs, LongSupplier lagUs,
            Runnable resume) {
        this.loop = loop;
        this.lagUs = lagUs;
        this.metrics = metrics;
        this.resume = resume;
        graceNs = pushed ? TimeUnit.MICROSECONDS.toNanos(graceUs) : Long.MAX_VALUE;
        maxAgeNs = pushed ? TimeUnit.MICROSECONDS.toNanos(Math.max(0, graceUs - GRACE_RESERVE_US))
                : Long.MAX_VALUE;
    }

    /** Sets where the server list comes from, and starts to hold back sends. */
    void setSource(Discovery source) {
        discovery = source;
    }

    /** Reads received list changes, unless that was done just now. Called before each decision and send. */
    void refresh() {
        if (discovery != null && System.nanoTime() - confirmedNs > FRESH_NS && discovery.readAvailable()) {
            confirmCurrent();
        }
    }

    /** Whether a first byte may be written now; if not, {@code resume} runs once it may. */
    boolean mayWrite() {
        if (discovery == null) {
            return true;
        }
        refresh();
        long ageNs = System.nanoTime() - confirmedNs;
        // A pause of the process revokes the permission: changes may have been notified meanwhile.
        staleSendsAllowed &= lagUs.getAsLong() < GRACE_RESERVE_US;
        if (!isCurrent() && !staleSendsAllowed) {
            hold();
            return false;
        }
        metrics.updateMax(Maximum.LIST_AGE_AT_SEND_MS, TimeUnit.NANOSECONDS.toMillis(ageNs));
        if (ageNs > graceNs) {
            metrics.increment(Counter.VIOLATIONS_STALE_LIST);
        }
        return true;
    }

    /** Records that the list is confirmed current as of now. */
    void confirmCurrent() {
        confirmCurrent(System.nanoTime());
    }

    /** Records that the list was confirmed current at this {@link System#nanoTime}. */
    void confirmCurrent(long asOfNs) {
        if (asOfNs - confirmedNs > 0) {
            confirmedNs = asOfNs;
            releaseIfCurrent();
        }
    }

    /** Records that a list was read which is applied only after the current call of the decision module. */
    void onListReceived() {
        pendingLists++;
    }

    /** Records that a pending list is being applied. */
    void onListApplied() {
        pendingLists--;
        releaseIfCurrent();
    }

    private void hold() {
        metrics.increment(Counter.SENDS_HELD);
        if (!holding) {
            holding = true;
            holdCount++;
            scheduleHoldStep(holdCount, TimeUnit.MILLISECONDS.toNanos(MAX_HOLD_MS));
        }
    }

    /**
     * Ends a hold after {@link #MAX_HOLD_MS}, not counting the time for which the process was paused: its
     * calls to discovery were paused with it.
     */
    private void scheduleHoldStep(int hold, long remainingNs) {
        long startNs = System.nanoTime();
        long stepNs = Math.min(remainingNs, TimeUnit.MILLISECONDS.toNanos(HOLD_STEP_MS));
        loop.schedule(() -> {
            if (!holding || hold != holdCount) {
                return;
            }
            long leftNs = remainingNs - Math.min(System.nanoTime() - startNs,
                    TimeUnit.MILLISECONDS.toNanos(MAX_HOLD_STEP_MS));
            if (leftNs > 0) {
                scheduleHoldStep(hold, leftNs);
            } else {
                endHold();
            }
        }, stepNs, TimeUnit.NANOSECONDS);
    }

    private void endHold() {
        LOG.log(Level.WARNING, "sending by a server list that was last confirmed current {0} ms ago",
                Long.toString(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - confirmedNs)));
        staleSendsAllowed = true;
        resumeSends();
    }

    private boolean isCurrent() {
        return pendingLists == 0 && System.nanoTime() - confirmedNs <= maxAgeNs;
    }

    private void releaseIfCurrent() {
        if (isCurrent()) {
            staleSendsAllowed = false;
            if (holding) {
                resumeSends();
            }
        }
    }

    /** Resumes sends in a later task, since the caller may be in the middle of an operation. */
    private void resumeSends() {
        holding = false;
        loop.execute(resume);
    }
}
