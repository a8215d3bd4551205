package cedarrelay.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.StringJoiner;

/**
 * The counters and maximum values of a node, for {@code GET /metrics} and for its log. Not thread-safe: used
 * on the event loop only.
 */
final class Metrics {
    /** A counter, exposed under the constant's name in lower case with the suffix {@code _total}. */
    enum Counter {
        REQUESTS_TAKEN("Requests read whole and handed to the decision module."),
        REQUESTS_SERVED("Requests answered with a server's 200."),
        REQUESTS_REFUSED("Requests answered 503 with no effect."),
        REQUESTS_FAILED("Requests answered with any other error."),
        REQUESTS_ABANDONED("Requests whose client left before the answer."),
        REQUESTS_OUT_OF_MEMORY("Requests, whole or not, rejected as requests took too much memory."),
        REQUESTS_OUT_OF_SOCKETS("Incomplete requests rejected to make room for other connections."),
        ACCEPT_PAUSES("Times that accepting connections was paused for lack of room."),
        ATTEMPTS_STARTED("Attempts that the decision module asked for."),
        ATTEMPTS_WRITTEN("Attempts whose first byte was written to a server."),
        ATTEMPTS_NOT_SENT("Attempts dropped before their first byte, as no longer wanted or allowed."),
        ATTEMPTS_RETRIED("Attempts after the first one of a request."),
        RESPONSES_DUPLICATE("Late duplicates of a server's previous response, discarded."),
        LISTS_APPLIED("Messages of discovery taken into the server list."),
        WATCH_FAILURES("Watches that could not be opened or that ended."),
        WATCHES_SILENT("Watches that were silent, so that a second one was opened."),
        SENDS_HELD("Times that a send had to wait until the server list was known to be current."),
        EVENT_LOOP_ERRORS("Errors of the event loop after which it went on."),
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

    /** A maximum since the start, in milliseconds, exposed in lower case with the prefix {@code max_}. */
    enum Maximum {
        LOOP_LAG_MS("Longest lag of the event loop."),
        LIST_AGE_AT_SEND_MS("Longest time since the server list was known to be current, at a send."),
        SEND_DELAY_MS("Longest time from the decision to send to the first byte written."),
        LOOP_LAG_AT_SEND_MS("Longest lag of the event loop when a first byte was written.");

        private final String help;

        Maximum(String help) {
            this.help = help;
        }
    }

    private static final String PREFIX = "cedarrelay_";

    private static final Logger LOG = System.getLogger(Metrics.class.getName());

    private final long[] counts = new long[Counter.values().length];
    private final long[] maxima = new long[Maximum.values().length];

    /** Increments a counter. */
    void increment(Counter counter) {
        counts[counter.ordinal()]++;
    }

    /** Counts a violated invariant and logs it. */
    void recordViolation(Counter invariant, String subject) {
        increment(invariant);
        LOG.log(Level.ERROR, "invariant violated, {0}: {1}", invariant, subject);
    }

    long value(Counter counter) {
        return counts[counter.ordinal()];
    }

    /** Updates a maximum; returns whether the value exceeds the previous one. */
    boolean updateMax(Maximum maximum, long value) {
        if (value <= maxima[maximum.ordinal()]) {
            return false;
        }
        maxima[maximum.ordinal()] = value;
        return true;
    }

    long value(Maximum maximum) {
        return maxima[maximum.ordinal()];
    }

    /** All counters that are not 0 and all maximum values, in one line for the log. */
    String summary() {
        StringJoiner line = new StringJoiner(" ");
        for (Counter counter : Counter.values()) {
            if (value(counter) > 0) {
                line.add(counter.name().toLowerCase(Locale.ROOT) + "=" + value(counter));
            }
        }
        for (Maximum maximum : Maximum.values()) {
            line.add("max_" + maximum.name().toLowerCase(Locale.ROOT) + "=" + value(maximum));
        }
        return line.toString();
    }

    /** Renders all metrics in the Prometheus text format, version 0.0.4. */
    String render() {
        StringBuilder text = new StringBuilder();
        for (Counter counter : Counter.values()) {
            append(text, counter.name() + "_total", "counter", counter.help, value(counter));
        }
        for (Maximum maximum : Maximum.values()) {
            append(text, "MAX_" + maximum.name(), "gauge", maximum.help, value(maximum));
        }
        return text.toString();
    }

    private static void append(StringBuilder output, String constant, String type, String help, long value) {
        String name = PREFIX + constant.toLowerCase(Locale.ROOT);
        output.append("# HELP ").append(name).append(' ').append(help).append('\n')
                .append("# TYPE ").append(name).append(' ').append(type).append('\n')
                .append(name).append(' ').append(value).append('\n');
    }
}
