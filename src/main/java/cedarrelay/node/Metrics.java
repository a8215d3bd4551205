package cedarrelay.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.StringJoiner;

/**
 * What a node counts while it runs, for {@code GET /metrics} and for its log. All of it is used on the event
 * loop only.
 */
final class Metrics {
    /** Something that is counted. The name in the exposition is the constant's, in lower case. */
    enum Counter {
        REQUESTS_TAKEN("Requests read whole and handed to the decision module."),
        REQUESTS_SERVED("Requests answered with a server's 200."),
        REQUESTS_REFUSED("Requests answered 503 with no effect."),
        REQUESTS_FAILED("Requests answered with any other error."),
        REQUESTS_ABANDONED("Requests whose client left before the answer."),
        ATTEMPTS_STARTED("Attempts that the decision module asked for."),
        ATTEMPTS_WRITTEN("Attempts whose first byte was written to a server."),
        ATTEMPTS_NOT_SENT("Attempts dropped before their first byte, as no longer wanted or allowed."),
        ATTEMPTS_RETRIED("Attempts after the first one of a request."),
        LISTS_APPLIED("Messages of discovery taken into the server list."),
        WATCH_FAILURES("Watches that could not be opened or that ended."),
        SENDS_HELD("Times that a send had to wait until the server list was known to be current."),
        VIOLATIONS_STALE_LIST("Sends by a list older than the grace of a drain."),
        VIOLATIONS_SEND_TO_DRAINING("Sends, stopped, to a server that drains or is gone."),
        VIOLATIONS_SEND_BEFORE_LIST("Sends, stopped, before any list was in use."),
        VIOLATIONS_SEND_PAST_END("Sends, stopped, of a request that is over or past its time or window."),
        VIOLATIONS_REPEAT("Sends, stopped, of a request that may have run and may not run twice."),
        VIOLATIONS_CLOSE_UNANSWERED("Connections closed by this node with a request read and unanswered.");

        private final String help;

        Counter(String help) {
            this.help = help;
        }
    }

    /** The largest value seen of something, in milliseconds. */
    enum Peak {
        LOOP_LAG_MS("Longest lag of the event loop."),
        LIST_AGE_AT_SEND_MS("Longest time since the server list was known to be current, at a send."),
        SEND_DELAY_MS("Longest time from the decision to send to the first byte written."),
        LOOP_LAG_AT_SEND_MS("Longest lag of the event loop when a first byte was written.");

        private final String help;

        Peak(String help) {
            this.help = help;
        }
    }

    private static final String PREFIX = "cedarrelay_";

    private static final Logger LOG = System.getLogger(Metrics.class.getName());

    private final long[] counts = new long[Counter.values().length];
    private final long[] peaks = new long[Peak.values().length];

    void count(Counter counter) {
        counts[counter.ordinal()]++;
    }

    /** Counts a broken invariant, which has a line of the log each time. */
    void violated(Counter invariant, String what) {
        count(invariant);
        LOG.log(Level.ERROR, "invariant {0}: {1}", invariant, what);
    }

    long value(Counter counter) {
        return counts[counter.ordinal()];
    }

    /** Takes a value into account; whether it is the largest so far. */
    boolean observe(Peak peak, long value) {
        if (value <= peaks[peak.ordinal()]) {
            return false;
        }
        peaks[peak.ordinal()] = value;
        return true;
    }

    long value(Peak peak) {
        return peaks[peak.ordinal()];
    }

    /** What is not 0, in one line for the log. */
    String summary() {
        StringJoiner line = new StringJoiner(" ");
        for (Counter counter : Counter.values()) {
            if (value(counter) > 0) {
                line.add(counter.name().toLowerCase(Locale.ROOT) + "=" + value(counter));
            }
        }
        for (Peak peak : Peak.values()) {
            line.add("max_" + peak.name().toLowerCase(Locale.ROOT) + "=" + value(peak));
        }
        return line.toString();
    }

    /** All of it in the Prometheus text format, version 0.0.4. */
    String render() {
        StringBuilder text = new StringBuilder();
        for (Counter counter : Counter.values()) {
            append(text, counter.name() + "_total", "counter", counter.help, value(counter));
        }
        for (Peak peak : Peak.values()) {
            append(text, "MAX_" + peak.name(), "gauge", peak.help, value(peak));
        }
        return text.toString();
    }

    private static void append(StringBuilder to, String constant, String type, String help, long value) {
        String name = PREFIX + constant.toLowerCase(Locale.ROOT);
        to.append("# HELP ").append(name).append(' ').append(help).append('\n')
                .append("# TYPE ").append(name).append(' ').append(type).append('\n')
                .append(name).append(' ').append(value).append('\n');
    }
}
