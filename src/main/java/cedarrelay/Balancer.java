package cedarrelay;

import java.util.ArrayList;
import java.util.List;

/**
 * A load-balancing policy, the decision module of a proxy node. The node passes it events (server lists,
 * requests, outcomes of attempts, timers), and the balancer calls {@link Actions} in return.
 *
 * <p>Times are microseconds of the caller's clock, which must be monotonic; durations are microseconds too.
 * An instance serves one node, isn't thread-safe, never blocks and calls its {@link Actions} only from
 * within an event method. The same settings, events and seed give the same actions.
 */
public interface Balancer {

    /**
     * Updates the server list.
     *
     * @param entries the changed entries for {@link ListKind#CHANGES}, otherwise all entries: servers
     *     missing from these count as removed
     */
    void onServers(long nowUs, ListKind kind, List<ServerEntry> entries);

    /** Reports that a list request failed or the subscription ended; the current list stays in use. */
    void onListFailed(long nowUs);

    /**
     * Accepts a request of a client. It ends with exactly one final response: that of a server,
     * {@link Actions#refuse} or {@link Actions#fail}, unless the client disconnects first.
     *
     * @throws IllegalArgumentException if its class or tenant isn't in the settings, or a request with
     *     its id is still pending
     */
    void onRequest(long nowUs, Request request);

    /** Reports how an attempt ended. Outcomes of unknown attempts are ignored. */
    void onOutcome(long nowUs, Outcome outcome);

    /** Reports the first byte of a streamed response; from then on the attempt has no deadline. */
    void onFirstByte(long nowUs, long requestId, int attempt);

    /** Reports that a client disconnected; its request needs no response. Unknown ids are ignored. */
    void onClientGone(long nowUs, long requestId);

    /** Reports how a probe ended; {@code report} as in {@link Outcome}. */
    void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report);

    /** Called at the time requested with {@link Actions#wakeAt} or soon after. */
    void onWake(long nowUs);

    /** What a balancer can have its node do. Calls take effect in order, at the time of the event. */
    interface Actions {
        /** As {@code sendByUs}: no bound but the end of the attempt. */
        long ANY_TIME = Long.MAX_VALUE;

        /**
         * Starts the next attempt of a request; attempts are numbered from 0.
         *
         * @param untilUs when to abandon the attempt
         * @param sendByUs if the request hasn't been written completely by then, it must not be sent any
         *     more: an attempt may wait for its connection, and a retry is safe only within a window;
         *     {@link #ANY_TIME} for no such bound
         */
        void send(long requestId, String serverId, long untilUs, long sendByUs);

        /** Cancels an attempt; its outcome is still reported. */
        void cancel(long requestId, int attempt);

        /**
         * Ends a request with a refusal, which promises that it had no effect or may be retried safely.
         *
         * @param retryAfterUs advice to the client on when to retry; 0 for none
         */
        void refuse(long requestId, long retryAfterUs);

        /** Ends a request with an error, without a promise about its effect. */
        void fail(long requestId);

        /**
         * Requests a call of {@link #onWake} at this time or soon after. Replaces the pending wake-up, if
         * any: a balancer keeps at most one.
         */
        void wakeAt(long atUs);

        /** Probes a server; {@link #onProbe} reports the result. */
        void probe(String serverId);

        /** Requests the server list and its changes from now on. */
        void subscribe();

        /** Writes a line to the operators' log. */
        void log(String line);
    }

    /** What a server list event contains. */
    enum ListKind {
        /** Only the entries that changed. */
        CHANGES,
        /** All entries. */
        FULL,
        /** All entries as the node last knew them, possibly outdated; passed once, at the start. */
        CACHED
    }

    /** The lifecycle state of a server in the list; GONE means removed. */
    enum ServerState { READY, DRAINING, GONE }

    /**
     * An entry of a server list.
     *
     * @param id identifies the server in attempts; stays the same over restarts
     * @param zone index into {@link Settings#zones}
     * @param cell number of its cell, a group of servers that share the idempotency keys they have seen
     * @param state whether it accepts requests
     * @param weight its listed capacity, relative to the other servers; 1 is assumed if not positive
     * @param startedAtUs when it last started; 0 if long ago
     */
    record ServerEntry(String id, int zone, int cell, ServerState state, double weight, long startedAtUs) { }

    /**
     * A request of a client.
     *
     * @param id unique among the pending requests
     * @param classIndex index into {@link Settings#classes}
     * @param tenant index into {@link Settings#tenants}, or -1 for none
     * @param leftUs time until the client stops waiting for this try
     * @param workUs estimated processor time on a standard core; 0 if unknown
     * @param retry whether the client marked this as a retry
     * @param waitedUs upper bound of its wait before the node read it, because of event-loop lag
     */
    record Request(long id, int classIndex, int tenant, long leftUs, long workUs, boolean retry,
            long waitedUs) {

        /** Creates a request that was read without delay. */
        public Request(long id, int classIndex, int tenant, long leftUs, long workUs, boolean retry) {
            this(id, classIndex, tenant, leftUs, workUs, retry, 0);
        }
    }

    /** How an attempt or a probe ended. */
    enum Result {
        /** The server responded with success. */
        OK(false),
        /** The server responded with an error; the request may have run. */
        ERROR(false),
        /** The overloaded server rejected the request before it ran. */
        FULL(true),
        /** No response in time; the request may have run or still be running. */
        TIMEOUT(false),
        /** No connection could be opened in time. */
        CONNECT_FAILED(true),
        /** The connection broke; the request may have run. */
        RESET(false),
        /** The node cancelled the attempt; the request may have run. */
        CANCELLED(false),
        /** Not sent, as no longer needed or no longer allowed. */
        MOOT(true);

        /** Whether the request certainly didn't run. */
        public final boolean neverRan;

        Result(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * The outcome of an attempt.
     *
     * @param requestId id of the request
     * @param attempt number of the attempt, from 0
     * @param result how it ended
     * @param latencyUs time since it was sent
     * @param requestEnded true if the request has ended, with this outcome or before; otherwise it still
     *     needs a final response
     * @param report the load report of the server in the order of {@link Settings#reportFields}, or null
     * @param stallUs upper bound of the event-loop lag in the latency, which says nothing about the server
     */
    record Outcome(long requestId, int attempt, Result result, long latencyUs, boolean requestEnded,
            double[] report, long stallUs) {

        /** Creates an outcome without event-loop lag. */
        public Outcome(long requestId, int attempt, Result result, long latencyUs, boolean requestEnded,
                double[] report) {
            this(requestId, attempt, result, latencyUs, requestEnded, report, 0);
        }

        /** The part of the latency that is certainly not event-loop lag, in microseconds. */
        public long servedUs() {
            return latencyUs - stallUs;
        }

        /** Whether the latency is mostly event-loop lag and says little about the server. */
        public boolean isStalled() {
            return servedUs() < stallUs;
        }

        /**
         * Whether the outcome says anything about the server. Under event-loop lag an attempt may time out
         * although its response has arrived; a node that keeps lagging notices an unresponsive server only
         * by other failures.
         */
        public boolean isTelling() {
            return result != Result.CANCELLED && result != Result.MOOT
                    && (result != Result.TIMEOUT || !isStalled());
        }
    }

    /** Whether a request that may have run may be sent again. */
    enum Repeat {
        /** Any number of times. */
        SAFE,
        /** For a limited time, to the servers of a group that drops duplicates by their idempotency key. */
        KEYED,
        /** Never. */
        UNSAFE
    }

    /** The servers that drop duplicates of a keyed request: all, or those of one zone or cell. */
    enum Group { ALL, ZONE, CELL }

    /** Fields of a load report; latencies are in milliseconds, rates per second. */
    enum ReportField { IN_FLIGHT, QUEUED, UTILISATION, LATENCY_MS, SERVED_PER_S, ERRORS_PER_S, OTHER }

    /**
     * A class of requests.
     *
     * @param name name in the configuration
     * @param aimUs latency target: a response within it earns the full utility
     * @param aimStretch the latency target grows by this many times the estimated work of the request, up
     *     to the deadline
     * @param deadlineUs how long a client waits over all its tries
     * @param worth utility of a request
     * @param lateWorth share of the utility for a response after the latency target
     * @param repeat whether it may be sent again
     * @param group for keyed classes: the servers that drop duplicates; otherwise unused
     * @param windowUs for keyed classes: how long they do so, from the first attempt that may have run
     * @param stream whether responses are streamed
     */
    record RequestClass(String name, long aimUs, double aimStretch, long deadlineUs, double worth,
            double lateWorth, Repeat repeat, Group group, long windowUs, boolean stream) { }

    /**
     * A tenant.
     *
     * @param name name in the configuration
     * @param quotaPerS requests per second over all nodes with full utility; 0 for no limit
     */
    record Tenant(String name, double quotaPerS) { }

    /** The settings of one node, with their defaults. */
    final class Settings {
        /** Number of nodes, including this one. */
        public int nodes = 1;
        /** This node's zone, an index into {@link #zones}. */
        public int myZone;
        /** Names of the zones. */
        public List<String> zones = new ArrayList<>();
        /** Request classes; at least one. */
        public List<RequestClass> classes = new ArrayList<>();
        /** Tenants; may be empty. */
        public List<Tenant> tenants = new ArrayList<>();
        /** Utility of a request beyond the quota of its tenant, as a share of that of its class. */
        public double overShareWorth = 1;
        /** Whether utility is earned per unit of work instead of per request. */
        public boolean worthByWork;
        /** Maximum number of attempts of a request. */
        public int maxAttempts = 3;
        /** Whether a request may have two attempts in flight at once. */
        public boolean secondCopies;
        /** Whether attempts may be cancelled. */
        public boolean cancel;
        /** Whether servers may be probed. */
        public boolean probes;
        /** Whether clients mark their retries, so that an unmarked request is a first try. */
        public boolean marksRetry;
        /** Upper bound of the advice to a client on when to retry; 0 for no advice. */
        public long maxRetryAfterUs;
        /** Length of a tick: events are delivered at most this often. */
        public long tickUs = 1_000;
        /** Timeout for opening a connection. */
        public long connectTimeoutUs = 250_000;
        /** Whether the server list comes only on request. */
        public boolean listOnRequest;
        /** With {@link #listOnRequest}, longest time without a subscription before the list is requested. */
        public long askWithinUs = 10_000_000;
        /** Grace period in which sends have to end after notice that a server drains or was removed. */
        public long drainGraceUs = 1_000_000;
        /** Share of its capacity that a server has at the beginning of its slow start, at least. */
        public double coldFrom = 0.2;
        /** Longest duration of the slow start of a server. */
        public long coldUs = 20_000_000;
        /**
         * A server in slow start collapses if all nodes together send it more than this many times its
         * current capacity.
         */
        public double fallMultiple = 3;
        /** How long that load has to last for the server to collapse. */
        public long fallUs = 2_000_000;
        /** Price of an attempt that crosses zones; 0 if that is free. */
        public double crossZonePrice;
        /** Price of one probe per request, in units of the total utility of all requests. */
        public double probePrice;
        /** Fields of the load reports, in order; empty if there are none. */
        public List<ReportField> reportFields = new ArrayList<>();

        /**
         * Checks all settings.
         *
         * @throws IllegalArgumentException with the name of the field, if one is missing or out of range
         */
        void validate() {
            require(!classes.isEmpty(), "classes is empty");
            require(nodes >= 1, "nodes is less than 1");
            require(maxAttempts >= 1, "maxAttempts is less than 1");
            require(myZone >= 0 && myZone < Math.max(1, zones.size()), "myZone is not an index into zones");
            requireNotNegative(tickUs, "tickUs");
            requireNotNegative(coldUs, "coldUs");
            requireNotNegative(fallUs, "fallUs");
            requireNotNegative(drainGraceUs, "drainGraceUs");
            requireNotNegative(connectTimeoutUs, "connectTimeoutUs");
            requireNotNegative(askWithinUs, "askWithinUs");
            requireNotNegative(maxRetryAfterUs, "maxRetryAfterUs");
            require(overShareWorth >= 0, "overShareWorth is negative");
            require(crossZonePrice >= 0, "crossZonePrice is negative");
            require(probePrice >= 0, "probePrice is negative");
            require(coldFrom > 0 && coldFrom <= 1, "coldFrom is not in (0, 1]");
            require(fallMultiple > 0, "fallMultiple is not greater than 0");
            for (RequestClass c : classes) {
                require(c.aimUs() >= 0 && c.deadlineUs() > 0 && c.windowUs() >= 0 && c.aimStretch() >= 0,
                        "class " + c.name()
                                + " has a latency target, stretch, deadline or window out of range");
                require(c.worth() >= 0 && c.lateWorth() >= 0,
                        "class " + c.name() + " has a negative utility");
                require(c.repeat() != Repeat.KEYED || c.group() != null,
                        "class " + c.name() + " is keyed but has no group");
            }
        }

        private static void requireNotNegative(long valueUs, String field) {
            require(valueUs >= 0, field + " is negative");
        }

        private static void require(boolean valid, String message) {
            if (!valid) {
                throw new IllegalArgumentException(message);
            }
        }
    }
}
