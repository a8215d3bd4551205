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
    void onClientDisconnected(long nowUs, long requestId);

    /** Reports how a probe ended; {@code report} as in {@link Outcome}. */
    void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report);

    /** Called at the time requested with {@link Actions#wakeAt} or soon after. */
    void onWake(long nowUs);

    /** What a balancer can have its node do. Calls take effect in order, at the time of the event. */
    interface Actions {
        /** As {@code sendByUs}: no bound but the end of the attempt. */
        long NO_SEND_DEADLINE = Long.MAX_VALUE;

        /**
         * Starts the next attempt of a request; attempts are numbered from 0.
         *
         * @param untilUs when to abandon the attempt
         * @param sendByUs if the request hasn't been written completely by then, it must not be sent any
         *     more: an attempt may wait for its connection, and the retry of a keyed request is safe only
         *     within its deduplication window; {@link #NO_SEND_DEADLINE} for no such bound
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

    /** The lifecycle state of a server in the list. */
    enum ServerState { READY, DRAINING, REMOVED }

    /**
     * An entry of a server list.
     *
     * @param id identifies the server in attempts; stays the same over restarts
     * @param zone index into {@link Settings#zones}, or -1 if its zone isn't among them
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
     * @param tenantIndex index into {@link Settings#tenants}, or -1 for none
     * @param remainingUs time until the client stops waiting for this try
     * @param workUs estimated processor time on a standard core; 0 if unknown
     * @param retry whether the client marked this as a retry
     * @param readDelayUs upper bound of its wait before the node read it, because of event-loop lag
     */
    record Request(long id, int classIndex, int tenantIndex, long remainingUs, long workUs, boolean retry,
            long readDelayUs) {

        /** Creates a request that was read without delay. */
        public Request(long id, int classIndex, int tenantIndex, long remainingUs, long workUs,
                boolean retry) {
            this(id, classIndex, tenantIndex, remainingUs, workUs, retry, 0);
        }
    }

    /** How an attempt or a probe ended. */
    enum Result {
        /** The server responded with success. */
        OK(false),
        /** The server responded with an error; the request may have run. */
        ERROR(false),
        /** The overloaded server rejected the request before it ran. */
        REJECTED(true),
        /** No response in time; the request may have run or still be running. */
        TIMEOUT(false),
        /** No connection could be opened in time. */
        CONNECT_FAILED(true),
        /** The connection broke; the request may have run. */
        RESET(false),
        /** The node cancelled the attempt; the request may have run. */
        CANCELLED(false),
        /** Not sent, as no longer needed or no longer allowed. */
        NOT_SENT(true);

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
     * @param loopLagUs upper bound of the event-loop lag in the latency, which says nothing about the server
     */
    record Outcome(long requestId, int attempt, Result result, long latencyUs, boolean requestEnded,
            double[] report, long loopLagUs) {

        /** Creates an outcome without event-loop lag. */
        public Outcome(long requestId, int attempt, Result result, long latencyUs, boolean requestEnded,
                double[] report) {
            this(requestId, attempt, result, latencyUs, requestEnded, report, 0);
        }

        /** The part of the latency that is certainly not event-loop lag, in microseconds. */
        public long latencyWithoutLagUs() {
            return latencyUs - loopLagUs;
        }

        /** Whether the latency is mostly event-loop lag and says little about the server. */
        public boolean isMostlyLoopLag() {
            return latencyWithoutLagUs() < loopLagUs;
        }

        /**
         * Whether the outcome says anything about the server. Under event-loop lag an attempt may time out
         * although its response has arrived; a node that keeps lagging notices an unresponsive server only
         * by other failures.
         */
        public boolean isInformative() {
            return result != Result.CANCELLED && result != Result.NOT_SENT
                    && (result != Result.TIMEOUT || !isMostlyLoopLag());
        }
    }

    /** Whether a request that may have run may be sent again. */
    enum RetrySafety {
        /** Any number of times. */
        SAFE,
        /** For a limited time, to the servers of a group that drops duplicates by their idempotency key. */
        KEYED,
        /** Never. */
        UNSAFE
    }

    /** The servers that drop duplicates of a keyed request: all, or those of one zone or cell. */
    enum DeduplicationScope { ALL, ZONE, CELL }

    /** Fields of a load report; latencies are in milliseconds, rates per second. */
    enum ReportField { IN_FLIGHT, QUEUED, UTILISATION, LATENCY_MS, SERVED_PER_S, ERRORS_PER_S, OTHER }

    /**
     * A class of requests.
     *
     * @param name name in the configuration
     * @param latencyTargetUs latency target: a response within it earns the full utility
     * @param targetPerWork the latency target grows by this many times the estimated work of the request, up
     *     to the deadline
     * @param deadlineUs how long a client waits over all its tries
     * @param utility utility of a request
     * @param lateUtilityShare share of the utility for a response after the latency target
     * @param retrySafety whether it may be sent again
     * @param deduplicationScope for keyed classes: the servers that drop duplicates; otherwise unused
     * @param deduplicationWindowUs for keyed classes: how long they do so, from the first attempt that may
     *     have run
     * @param streamed whether responses are streamed
     */
    record RequestClass(String name, long latencyTargetUs, double targetPerWork, long deadlineUs,
            double utility, double lateUtilityShare, RetrySafety retrySafety,
            DeduplicationScope deduplicationScope, long deduplicationWindowUs, boolean streamed) { }

    /**
     * A tenant.
     *
     * @param name name in the configuration
     * @param quotaPerS requests per second over all nodes with full utility; 0 for no limit
     */
    record Tenant(String name, double quotaPerS) { }

    /** The settings of one node, with their defaults. */
    final class Settings {
        /** Number of nodes, including this one ({@code balancers} in the settings). */
        public int nodes = 1;
        /** This node's zone, an index into {@link #zones}. */
        public int myZone;
        /** Names of the zones. */
        public List<String> zones = new ArrayList<>();
        /** Request classes; at least one. */
        public List<RequestClass> classes = new ArrayList<>();
        /** Tenants; may be empty ({@code realms} in the settings). */
        public List<Tenant> tenants = new ArrayList<>();
        /**
         * Utility of a request beyond the quota of its tenant, as a share of that of its class
         * ({@code overShareWorth} in the settings).
         */
        public double overQuotaUtilityShare = 1;
        /**
         * Whether utility is earned per unit of work instead of per request ({@code countedBy} in the
         * settings).
         */
        public boolean utilityPerWork;
        /** Maximum number of attempts of a request ({@code limits.attemptsCap} in the settings). */
        public int maxAttempts = 3;
        /**
         * Whether a request may have two attempts in flight at once ({@code limits.parallelTries} in the
         * settings).
         */
        public boolean allowParallelAttempts;
        /** Whether attempts may be cancelled ({@code limits.cancelling} in the settings). */
        public boolean allowCancel;
        /** Whether servers may be probed ({@code limits.probes} in the settings). */
        public boolean allowProbes;
        /**
         * Whether clients mark their retries, so that an unmarked request is a first try
         * ({@code callers.marksRetry} in the settings).
         */
        public boolean clientsMarkRetries;
        /** Upper bound of the advice to a client on when to retry; 0 for no advice. */
        public long maxRetryAfterUs;
        /**
         * Length of a tick: events are delivered at most this often ({@code quantumUs} in the settings).
         */
        public long tickUs = 1_000;
        /** Timeout for opening a connection ({@code limits.dialTimeoutUs} in the settings). */
        public long connectTimeoutUs = 250_000;
        /** Whether the server list comes only on request ({@code membershipMode} in the settings). */
        public boolean listOnRequest;
        /**
         * With {@link #listOnRequest}, longest time without a subscription before the list is requested
         * ({@code rules.askWithinUs} in the settings).
         */
        public long listRequestIntervalUs = 10_000_000;
        /** Grace period in which sends have to end after notice that a server drains or was removed. */
        public long drainGraceUs = 1_000_000;
        /**
         * Least share of its capacity that a server has at the beginning of its slow start
         * ({@code rules.coldFrom} in the settings).
         */
        public double slowStartMinShare = 0.2;
        /** Longest duration of the slow start of a server ({@code rules.coldUs} in the settings). */
        public long slowStartUs = 20_000_000;
        /**
         * A server in slow start collapses if all nodes together send it more than this many times its
         * current capacity.
         */
        public double overloadFactor = 3;
        /**
         * How long that load has to last for the server to collapse ({@code rules.fallUs} in the settings).
         */
        public long overloadWindowUs = 2_000_000;
        /**
         * Price of an attempt that crosses zones; 0 if that is free ({@code costs.crossZone} in the
         * settings).
         */
        public double crossZonePrice;
        /**
         * Price of a probe, in units of the mean utility of a request: one probe per request costs this share
         * of the total utility of all requests ({@code costs.probe} in the settings).
         */
        public double probePrice;
        /**
         * Fields of the load reports, in order; empty if there are none ({@code report.fields} in the
         * settings).
         */
        public List<ReportField> reportFields = new ArrayList<>();

        /**
         * Checks all settings.
         *
         * @throws IllegalArgumentException with the name of the setting, if one is missing or out of range
         */
        void validate() {
            require(!classes.isEmpty(), "classes is empty");
            require(nodes >= 1, "nodes is less than 1");
            require(maxAttempts >= 1, "maxAttempts is less than 1");
            require(myZone >= 0 && myZone < Math.max(1, zones.size()), "myZone is not an index into zones");
            requireNotNegative(tickUs, "tickUs");
            requireNotNegative(slowStartUs, "coldUs");
            requireNotNegative(overloadWindowUs, "fallUs");
            requireNotNegative(drainGraceUs, "drainGraceUs");
            requireNotNegative(connectTimeoutUs, "connectTimeoutUs");
            requireNotNegative(listRequestIntervalUs, "askWithinUs");
            requireNotNegative(maxRetryAfterUs, "maxRetryAfterUs");
            require(overQuotaUtilityShare >= 0, "overShareWorth is negative");
            require(crossZonePrice >= 0, "crossZonePrice is negative");
            require(probePrice >= 0, "probePrice is negative");
            require(slowStartMinShare > 0 && slowStartMinShare <= 1, "coldFrom is not in (0, 1]");
            require(overloadFactor > 0, "overloadFactor is not greater than 0");
            for (RequestClass c : classes) {
                require(c.latencyTargetUs() >= 0 && c.deadlineUs() > 0 && c.deduplicationWindowUs() >= 0
                                && c.targetPerWork() >= 0,
                        "class " + c.name()
                                + " has a latency target, stretch, deadline or window out of range");
                require(c.utility() >= 0 && c.lateUtilityShare() >= 0,
                        "class " + c.name() + " has a negative utility");
                require(c.retrySafety() != RetrySafety.KEYED || c.deduplicationScope() != null,
                        "class " + c.name() + " is keyed but has no group");
            }
        }

        private static void requireNotNegative(long valueUs, String setting) {
            require(valueUs >= 0, setting + " is negative");
        }

        private static void require(boolean valid, String message) {
            if (!valid) {
                throw new IllegalArgumentException(message);
            }
        }
    }
}
