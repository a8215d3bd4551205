package cedarrelay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * The load-balancing policy: adaptive probability dispatch as in the ServiceQ paper, with the power of two
 * choices. {@link Balancer} defines its events, actions and settings.
 *
 * <p>A failed attempt adds one to the error count of its server, a success clears the count. A first attempt
 * samples two servers with weights that fall as the error count grows, and goes to the one with fewer
 * requests of this node in flight. A failed request that may be retried fails over to the next server in list
 * order. If no server can take a request, it waits in the deferred queue, first come first served, until
 * its deadline. Extensions of this mechanism are marked "Extension (name)" and explained in docs/design.md.
 */
public final class ServiceQBalancer implements Balancer {

    /** How often a sample is repeated if its server may not be sent to, before all servers are scanned. */
    private static final int MAX_RESAMPLES = 3;
    /** Exponent that damps weights lowered with load: all nodes react to the same outdated weights. */
    private static final double LOAD_WEIGHT_EXPONENT = 0.3;
    /** Smoothing factor of the relative latency and the failure share of a server. */
    private static final double SERVER_SMOOTHING = 0.3;
    /** Decay time of a relative latency, in multiples of the time in which a node uses each server once. */
    private static final double RELATIVE_LATENCY_DECAY_ROUNDS = 12;
    /** Remaining times that differ by at most this share of the deadline count as equal: network delay makes
     * them differ. */
    private static final double REMAINING_TIME_TOLERANCE = 0.02;
    /** Least share of a class's requests with the same remaining time for that time to mark first tries; low,
     * because most requests may be retries. */
    private static final double FIRST_TRY_MIN_SHARE = 0.2;
    /** Longest wait for probe results, as a share of the mean latency. */
    private static final double PROBE_WAIT_SHARE = 0.25;
    /** Expected share of the late and failed responses that probing two servers avoids; their utility is
     * weighed against the price of the probes. */
    private static final double PROBE_SAVED_SHARE = 0.5;
    /** Sum of the failure shares of two servers above which they aren't probed: a server that fails fast
     * also answers probes fast. */
    private static final double PROBE_MAX_FAILURE_SHARE = 0.1;
    /** Relative latency that a failure counts as. */
    private static final double FAILURE_RELATIVE_LATENCY = 5;
    /** Smaller differences of relative latency are ties, so that a slow server is picked again once its
     * relative latency has decayed. */
    private static final double RELATIVE_LATENCY_TIE = 0.05;
    /** Mean latencies without a response after which a zone counts as silent; one response may be slow. */
    private static final double ZONE_SILENT_LATENCIES = 3;
    /** On-time ratio below which a node throttles; mere overload doesn't lower the ratio this far. */
    private static final double THROTTLE_BELOW_RATIO = 0.3;
    /** Attempts that a throttled node may send for each on-time response: enough to recover in seconds. */
    private static final double THROTTLE_TOKENS_ON_TIME = 2;
    /** Attempts that a throttled node may send for each first try of a client, whatever the responses. */
    private static final double THROTTLE_TOKENS_FIRST_TRY = 0.03;
    /** Latency up to this multiple of the lowest mean of its class is caused by the work, not by load. */
    private static final double UNLOADED_LATENCY_FACTOR = 1.5;
    /** Smoothing factor of the on-time ratio. */
    private static final double ON_TIME_SMOOTHING = 1.0 / 16;
    /** Capacity of the token bucket of a throttled node, in attempts. */
    private static final double MAX_SEND_TOKENS = 3;
    /** Shortest interval between scans of the deferred queue: cheap, yet short against latency targets. */
    private static final long MIN_QUEUE_SCAN_US = 5_000;
    /** Smoothing factor of the moving averages: they cover about the last 32 samples. */
    private static final double MEAN_SMOOTHING = 1.0 / 32;
    /** Initial mean time between served attempts; long, as most nodes of a large fleet may just have
     * started. */
    private static final double INITIAL_SERVED_GAP_US = 1_000_000;
    /** Initial concurrency limit of a server over all nodes: low enough for a server with one core. */
    private static final double INITIAL_LIMIT = 4;
    /** Share of the latency target above which a response is slow; the rest allows for random variation. */
    private static final double SLOW_TARGET_SHARE = 0.35;
    /** Increase of a server's limit, over all nodes, for a fast response. */
    private static final double LIMIT_INCREASE = 0.15;
    /** Relative decrease of the limit for a slow response: at a limit of 4, one slow response in four
     * balances the increases. */
    private static final double LIMIT_DECREASE = 0.1;
    /** A response is also slow above this multiple of the lowest mean latency of its class. */
    private static final double SLOW_LATENCY_FACTOR = 3;
    /** Burst allowed above the sum of all limits, in square roots of that sum, to allow for random
     * variation. */
    private static final double LIMIT_SUM_BURST = 2.5;
    /** Growth factor of the lowest mean latency for each response: it has to follow a change of the work. */
    private static final double MIN_LATENCY_DRIFT = 1.0001;
    /** Exponent of the node count in the scale of limit changes: at 0 many nodes adapt too slowly, at 0.5
     * congestion results. */
    private static final double LIMIT_NODES_EXPONENT = 0.25;
    /** Relative decrease of a limit after a timeout, a stronger sign of overload than a slow response. */
    private static final double LIMIT_TIMEOUT_DECREASE = 0.3;
    /** A deferred request with less time left than this many mean latencies is expected to be late; under
     * overload all requests wait until they have no more time left than that. */
    private static final double LATE_MEAN_LATENCIES = 2;
    /** Upper bound of the time left at which a request is expected to be late, as a share of the time from
     * arrival to the latency target: if all servers are slow, some requests still wait. */
    private static final double LATE_MAX_SHARE = 0.8;
    /** Failures among the last {@link #HISTORY_SIZE} outcomes of a server that eject it. */
    private static final int EJECT_FAILURES = 4;
    /** Outcomes remembered for each server. */
    private static final int HISTORY_SIZE = 16;
    /** Consecutive successes that end an ejection: if most attempts fail, three in a row are unlikely. */
    private static final int RESTORE_SUCCESSES = 3;
    /** Consecutive failures of one class that eject a server for that class. */
    private static final int CLASS_EJECT_FAILURES = 2;
    /** First and longest duration of an ejection; each failed trial doubles it. */
    private static final long MIN_EJECT_US = 250_000;
    private static final long MAX_EJECT_US = 4_000_000;
    /** Requests of this node in flight from which a local server is compared with those of other zones, and
     * by how many fewer another server must have to be preferred. */
    private static final int SPILL_IN_FLIGHT = 2;
    /** Share of the slow start budget that is used; the rest allows for random variation. */
    private static final double SLOW_START_BUDGET_SHARE = 0.8;
    /** Upper bound for the size of a server in slow start, in mean server sizes. */
    private static final double MAX_SIZE_RATIO = 2;
    /** Least time between two log lines. */
    private static final long MIN_LOG_INTERVAL_US = 1_000_000;
    /** Burst that a tenant may send before it exceeds its quota, in seconds of that quota. */
    private static final double QUOTA_BURST_S = 1;
    /** Backoff before the first retry of a failed list request; doubled with each failure. */
    private static final long MIN_LIST_BACKOFF_US = 250_000;
    /** Longest backoff; jitter changes it by up to a half. With the response to the next request
     * it stays below the 6 s after which a node counts as notified of a change. */
    private static final long MAX_LIST_BACKOFF_US = 1_000_000;

    private static final Comparator<PendingRequest> BY_PRIORITY =
            Comparator.comparingDouble(pending -> -pending.queuePriority);
    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long queueScanUs;
    private final double limitIncrease;
    private final double limitDecrease;
    private final Map<String, Server> serversById = new HashMap<>();
    private final List<Server> listedServers = new ArrayList<>();
    private Server[] ready = new Server[0];
    /** The servers to sample from: all that are ready, and those of them in the zone of this node. */
    private Pool allZones = new Pool(ready);
    private Pool localZone = allZones;
    private boolean weightsStale;
    /** Weight before division by the errors of a server; grows with the largest error count. */
    private double maxErrorFactor = 1;
    private double totalNominalSize;
    /** Ejected servers among those that are ready. */
    private int ejectedCount;
    private long nextLogAt;
    private final Map<Long, PendingRequest> pendingById = new HashMap<>();
    private final ArrayList<PendingRequest> deferredQueue = new ArrayList<>();
    private final PriorityQueue<PendingRequest> requestsAwaitingProbes =
            new PriorityQueue<>(Comparator.comparingLong(pending -> pending.probeWaitEndsAt));
    private long now;
    private long pendingWakeAt = Long.MAX_VALUE;
    /** When an attempt was last served; until one has been, when the first was sent. */
    private long lastServedAt;
    /** Mean time between served attempts. */
    private double servedGapUs = INITIAL_SERVED_GAP_US;
    private int servedCount;
    /** By class: mean latency, its lowest value, which drifts upwards, and the number of responses in it. */
    private final double[] meanLatencyUs;
    private final double[] minMeanLatencyUs;
    private final int[] latencySamples;
    /** By tenant: requests that its quota allows at present, and when they were last counted. */
    private final double[] quotaTokens;
    private final long[] quotaUsedAt;
    /** By class: the remaining time that marks first tries, the moving share of requests that have it, and
     * the number of requests counted. */
    private final long[] usualRemainingUs;
    private final double[] usualRemainingShare;
    private final int[] requestCounts;
    /** By zone: time of the first send that has had no response since (0 if none), and of the last send. */
    private final long[] zoneUnansweredSince;
    private final long[] zoneLastSentAt;
    /** Attempts in flight at the servers in use, and the sum of the limits of these servers. */
    private int totalInFlight;
    private double limitSum;
    private double meanProbeUs;
    private int probeSamples;
    /** Moving share of attempts that failed or were late. */
    private double notOnTimeShare;
    /** Moving share of responses and timeouts that were on time. A late response counts as its utility share,
     * or as on time if only its work made it slow. */
    private double onTimeRatio = 1;
    /** Attempts that a throttled node may send. */
    private double sendTokens;
    private double meanUtility;
    private int utilitySamples;
    /** When to request the server list. */
    private long listRequestAt = Long.MAX_VALUE;
    private long listBackoffUs = MIN_LIST_BACKOFF_US;

    /** Servers and the running sums of their weights. */
    private static final class Pool {
        final Server[] servers;
        final double[] weightSums;

        Pool(Server[] servers) {
            this.servers = servers;
            weightSums = new double[servers.length];
        }
    }

    /**
     * Creates the balancer of a node without any server list.
     *
     * @param seed seed of all random choices
     * @throws IllegalArgumentException if the settings are out of range
     */
    public ServiceQBalancer(Settings nodeSettings, long seed, Actions nodeActions) {
        nodeSettings.validate();
        settings = nodeSettings;
        actions = nodeActions;
        random = new SplittableRandom(seed);
        queueScanUs = Math.max(MIN_QUEUE_SCAN_US, 2 * nodeSettings.tickUs);
        // The same factor divides the increase and compounds the decrease, to keep their balance over all
        // nodes.
        double adjustment = Math.pow(settings.nodes, LIMIT_NODES_EXPONENT);
        limitIncrease = LIMIT_INCREASE / adjustment;
        limitDecrease = 1 - Math.pow(1 - LIMIT_DECREASE, adjustment);
        meanLatencyUs = new double[settings.classes.size()];
        minMeanLatencyUs = new double[settings.classes.size()];
        latencySamples = new int[settings.classes.size()];
        usualRemainingUs = new long[settings.classes.size()];
        requestCounts = new int[settings.classes.size()];
        usualRemainingShare = new double[settings.classes.size()];
        zoneUnansweredSince = new long[settings.zones.size()];
        zoneLastSentAt = new long[settings.zones.size()];
        quotaTokens = new double[settings.tenants.size()];
        quotaUsedAt = new long[settings.tenants.size()];
    }

    // ---------------------------------------------------------------- the server list

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        if (kind != ListKind.CHANGES) {
            for (Server server : listedServers) {
                server.state = ServerState.REMOVED;
            }
            listedServers.clear();
        }
        for (ServerEntry entry : entries) {
            Server server = serversById.computeIfAbsent(entry.id(),
                    id -> new Server(id, initialLimit(), settings.classes.size()));
            if (entry.state() == ServerState.REMOVED) {
                listedServers.remove(server);
            } else if (!listedServers.contains(server)) {
                listedServers.add(server);
            }
            if (entry.startedAtUs() > server.startedAt) {
                // The server was restarted: failures of the old process say nothing about the new one.
                resetFailureState(server);
                Arrays.fill(server.classFailures, 0);
                Arrays.fill(server.classEjectedUntil, 0);
                server.startedAt = entry.startedAtUs();
                // All nodes are notified of a start at about the same time and must not send at once.
                server.slowStartSentAt = now;
                server.slowStartGapShare = random.nextDouble();
            }
            server.state = entry.state();
            server.zone = entry.zone();
            server.cell = entry.cell();
            server.weight = entry.weight() > 0 ? entry.weight() : 1;
            server.nominalSize = Math.max(server.nominalSize, server.weight);
            server.effectiveSize = server.nominalSize
                    * Math.pow(server.weight / server.nominalSize, LOAD_WEIGHT_EXPONENT);
        }
        ready = listedServers.stream().filter(s -> s.state == ServerState.READY).toArray(Server[]::new);
        totalNominalSize = 0;
        for (int i = 0; i < ready.length; i++) {
            ready[i].readyIndex = i;
            totalNominalSize += ready[i].nominalSize;
        }
        // Drop removed servers without attempts in flight, or the map grows for as long as the node runs.
        serversById.values().removeIf(server -> server.state == ServerState.REMOVED && server.inFlight == 0);
        allZones = new Pool(ready);
        localZone = settings.crossZonePrice == 0 ? allZones
                : new Pool(Arrays.stream(ready).filter(this::isLocal).toArray(Server[]::new));
        weightsStale = true;
        recountServersInUse();
        if (settings.listOnRequest) {
            if (kind == ListKind.CACHED) {
                requestList();
            } else {
                listRequestAt = Long.MAX_VALUE;
                listBackoffUs = MIN_LIST_BACKOFF_US;
            }
        }
        serveDeferred();
        scheduleWake();
    }

    @Override
    public void onListFailed(long nowUs) {
        now = nowUs;
        if (!settings.listOnRequest) {
            return;
        }
        // Backoff with jitter, so that nodes that failed together don't retry together.
        listRequestAt = now + listBackoffUs / 2 + random.nextLong(listBackoffUs);
        listBackoffUs = Math.min(2 * listBackoffUs,
                Math.max(1, Math.min(MAX_LIST_BACKOFF_US, settings.listRequestIntervalUs / 4)));
        scheduleWake();
    }

    /** Requests the server list, and again after half of the permitted interval if no list has arrived. */
    private void requestList() {
        actions.subscribe();
        listRequestAt = now + Math.max(1, settings.listRequestIntervalUs / 2);
    }

    // ---------------------------------------------------------------- requests and outcomes

    @Override
    public void onRequest(long nowUs, Request request) {
        now = nowUs;
        if (request.classIndex() < 0 || request.classIndex() >= settings.classes.size()
                || request.tenantIndex() >= settings.tenants.size()
                || pendingById.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or tenant, or id still pending: " + request);
        }
        long elapsedUs = elapsedSinceFirstTryUs(request);
        PendingRequest pending = new PendingRequest(request, settings, now, elapsedUs);
        pendingById.put(request.id(), pending);
        // Counts first tries only: under congestion the clients' retries multiply the load.
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + (elapsedUs == 0 ? THROTTLE_TOKENS_FIRST_TRY : 0));
        pending.queuePriority = queuePriority(pending);
        // If the event loop lags, the response will be read late too: a request that can't be on time would
        // only take processor time from others. The response is expected to be delayed by half as much as the
        // request was, since after a single pause the full delay would refuse too many requests.
        if (hasNoUtilityLeft(pending)
                || pending.requestClass.lateUtilityShare() == 0 && request.readDelayUs() > queueScanUs
                && pending.latencyTargetAt - now
                        < request.readDelayUs() / 2 + meanLatencyUs[request.classIndex()]) {
            endUnserved(pending);
            return;
        }
        if (!deferredQueue.isEmpty() || now >= pending.deadlineAt || !tryStartProbes(pending)) {
            sendOrDefer(pending);
        }
        scheduleWake();
    }

    /** Sends a request to a sampled server, or defers it. */
    private void sendOrDefer(PendingRequest pending) {
        Server server = deferredQueue.isEmpty() && now < pending.deadlineAt ? pickServer(pending) : null;
        if (server != null) {
            send(pending, server);
        } else {
            defer(pending);
            serveDeferred();
        }
    }

    /**
     * Returns the time since the first try of the client; 0 for a request without the retry mark of clients
     * that mark their retries. Otherwise it is derived from the remaining time: that is the same for all
     * first tries of a class, usually by far the most requests, and for retries what is left of the deadline.
     */
    private long elapsedSinceFirstTryUs(Request request) {
        if (settings.clientsMarkRetries && !request.retry()) {
            return 0;
        }
        int classIndex = request.classIndex();
        long deadlineUs = settings.classes.get(classIndex).deadlineUs();
        long remainingUs = request.remainingUs() + request.readDelayUs();
        boolean usual = Math.abs(remainingUs - usualRemainingUs[classIndex])
                <= REMAINING_TIME_TOLERANCE * deadlineUs;
        usualRemainingShare[classIndex] += smoothing(++requestCounts[classIndex])
                * ((usual ? 1 : 0) - usualRemainingShare[classIndex]);
        if (!usual && usualRemainingShare[classIndex] < FIRST_TRY_MIN_SHARE) {
            // No remaining time is common enough yet to tell first tries from retries.
            usualRemainingUs[classIndex] = remainingUs;
            return 0;
        }
        return usual ? 0 : Math.max(0, deadlineUs - remainingUs);
    }

    /** Returns the smoothing factor for the newest of this many samples: a plain mean for the first ones. */
    private static double smoothing(int samples) {
        return Math.max(MEAN_SMOOTHING, 1.0 / samples);
    }

    /** Whether no response can earn anything any more, so that an attempt would only waste server time. */
    private boolean hasNoUtilityLeft(PendingRequest pending) {
        return pending.requestClass.lateUtilityShare() == 0 && now >= pending.latencyTargetAt;
    }

    @Override
    public void onOutcome(long nowUs, Outcome outcome) {
        now = nowUs;
        PendingRequest pending = pendingById.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (pending == null || attempt < 0 || attempt >= pending.attemptCount
                || pending.results[attempt] != null) {
            return;
        }
        Server server = pending.servers[attempt];
        Result result = outcome.result();
        pending.results[attempt] = result;
        pending.attemptsInFlight--;
        server.inFlight--;
        if (server.zone >= 0
                && (result == Result.OK || result == Result.ERROR || result == Result.REJECTED)) {
            zoneUnansweredSince[server.zone] = 0;
        }
        totalInFlight -= isInUse(server) ? 1 : 0;
        server.unreachable = result == Result.CONNECT_FAILED;
        if (result == Result.OK) {
            recordSuccess(server);
        } else if (outcome.isInformative()) {
            // The timeout of a server that has since responded is a sign of overload, like a rejection.
            boolean overloaded = result == Result.REJECTED
                    || result == Result.TIMEOUT && server.lastResponseAt >= pending.sentAt[attempt];
            recordFailure(server, !overloaded);
            if (result != Result.REJECTED && result != Result.TIMEOUT) {
                server.failureShare += SERVER_SMOOTHING * (1 - server.failureShare);
                updateRelativeLatency(server, FAILURE_RELATIVE_LATENCY);
            }
        }
        if (result == Result.OK || result == Result.ERROR) {
            server.lastResponseAt = now;
        }
        if (outcome.isInformative()) {
            recordClassOutcome(pending, attempt);
            double meanUs = meanLatencyUs[pending.request.classIndex()];
            if ((result == Result.OK || result == Result.TIMEOUT) && meanUs > 0) {
                updateRelativeLatency(server, outcome.latencyWithoutLagUs() / meanUs);
            }
            boolean onTime = now - outcome.loopLagUs() <= pending.latencyTargetAt;
            notOnTimeShare += MEAN_SMOOTHING * ((result != Result.OK || !onTime ? 1 : 0) - notOnTimeShare);
            if (result == Result.OK || result == Result.TIMEOUT) {
                // Errors are no sign of overload, nor is work that takes longer than its latency target.
                double minMeanUs = minMeanLatencyUs[pending.request.classIndex()];
                boolean slowByWork = minMeanUs < Double.MAX_VALUE
                        && outcome.latencyWithoutLagUs() < UNLOADED_LATENCY_FACTOR * minMeanUs;
                updateOnTimeRatio(result != Result.OK ? 0 : onTime || slowByWork ? 1
                        : pending.requestClass.lateUtilityShare());
            }
            adaptLimit(pending, attempt, outcome);
        }
        if (outcome.requestEnded()) {
            finish(pending);
        } else if (!pending.ended && pending.attemptsInFlight == 0) {
            failOver(pending, server);
        }
        removeIfFinished(pending);
        serveDeferred();
        scheduleWake();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        PendingRequest pending = pendingById.get(requestId);
        if (pending != null) {
            pending.streaming = true;
        }
    }

    @Override
    public void onClientDisconnected(long nowUs, long requestId) {
        now = nowUs;
        PendingRequest pending = pendingById.get(requestId);
        if (pending != null) {
            finish(pending);
        }
    }

    @Override
    public void onProbe(long nowUs, String serverId, Result result, long probeLatencyUs, double[] report) {
        now = nowUs;
        Server server = serversById.get(serverId);
        if (server == null || !server.probeInFlight) {
            return;
        }
        server.probeInFlight = false;
        if (result != Result.OK) {
            // Adds no error and ejects nothing: a congested server drops probes and still serves requests.
            updateRelativeLatency(server, SLOW_LATENCY_FACTOR);
        } else {
            meanProbeUs += smoothing(++probeSamples) * (probeLatencyUs - meanProbeUs);
            updateRelativeLatency(server, Math.min(FAILURE_RELATIVE_LATENCY, probeLatencyUs / meanProbeUs));
        }
        List<PendingRequest> waitingRequests = new ArrayList<>(server.awaitingProbe);
        server.awaitingProbe.clear();
        for (PendingRequest pending : waitingRequests) {
            if (!pending.awaitingProbes) {
                continue;
            }
            if (result == Result.OK && maySend(pending, server)) {
                pending.awaitingProbes = false;
                send(pending, server);
            } else if (--pending.probesPending == 0) {
                pending.awaitingProbes = false;
                sendOrDefer(pending);
            }
        }
        serveDeferred();
        scheduleWake();
    }

    @Override
    public void onWake(long nowUs) {
        now = nowUs;
        pendingWakeAt = now >= pendingWakeAt ? Long.MAX_VALUE : pendingWakeAt;
        if (now >= listRequestAt) {
            requestList();
        }
        endExpiredProbeWaits();
        serveDeferred();
        scheduleWake();
    }

    private void scheduleWake() {
        while (!requestsAwaitingProbes.isEmpty() && !requestsAwaitingProbes.peek().awaitingProbes) {
            requestsAwaitingProbes.poll();
        }
        long wakeAt = deferredQueue.isEmpty() ? listRequestAt : Math.min(listRequestAt, now + queueScanUs);
        wakeAt = requestsAwaitingProbes.isEmpty() ? wakeAt
                : Math.min(wakeAt, requestsAwaitingProbes.peek().probeWaitEndsAt);
        if (wakeAt < pendingWakeAt) {
            pendingWakeAt = Math.max(wakeAt, now + 1);
            actions.wakeAt(pendingWakeAt);
        }
    }

    // ---------------------------------------------------------------- error counts

    /** Adds one to the error count. A failure that isn't a sign of overload may eject the server. */
    private void recordFailure(Server server, boolean ejectable) {
        server.errorCount++;
        weightsStale = true;
        if (ejectable) {
            server.outcomeBits = server.outcomeBits << 1 | 1;
            server.trialSuccesses = 0;
            if (server.ejected || recentFailures(server) >= EJECT_FAILURES) {
                eject(server);
            }
        }
    }

    /** Clears the error count; an ejected server is restored only after several successes in a row. */
    private void recordSuccess(Server server) {
        server.outcomeBits <<= 1;
        server.lastSuccessAt = now;
        server.failureShare -= SERVER_SMOOTHING * server.failureShare;
        if (!server.ejected) {
            clearErrors(server);
            return;
        }
        server.trialAt = now;
        if (++server.trialSuccesses >= RESTORE_SUCCESSES) {
            log("restored server " + server.id);
            resetFailureState(server);
            recountServersInUse();
        }
    }

    /**
     * Extension (classes): a server may fail one class only, which its successes in other classes must not
     * hide. After {@link #CLASS_EJECT_FAILURES} consecutive failures of a class it is ejected for that class,
     * twice as long after each single attempt that fails. As with ejection, this affects at most half of the
     * servers.
     */
    private void recordClassOutcome(PendingRequest pending, int attempt) {
        Server server = pending.servers[attempt];
        int classIndex = pending.request.classIndex();
        switch (pending.results[attempt]) {
            case OK -> server.classLastSuccessAt[classIndex] = now;
            case ERROR, RESET -> server.classFailures[classIndex]++;
            case TIMEOUT -> server.classFailures[classIndex] +=
                    server.classLastSuccessAt[classIndex] < pending.sentAt[attempt] ? 1 : 0;
            default -> { }
        }
        server.classFailures[classIndex] = pending.results[attempt] == Result.OK ? 0
                : server.classFailures[classIndex];
        ejectForClass(server, classIndex);
    }

    private void ejectForClass(Server server, int classIndex) {
        int excessFailures = server.classFailures[classIndex] - CLASS_EJECT_FAILURES;
        if (excessFailures >= 0 && !wouldEjectMajority(server, classIndex)) {
            server.classEjectedUntil[classIndex] = now
                    + Math.min(MAX_EJECT_US, 2 * MIN_EJECT_US << Math.min(excessFailures, HISTORY_SIZE));
        }
    }

    /** Whether with this server more than half of the servers would be ejected for a class. */
    private boolean wouldEjectMajority(Server server, int classIndex) {
        return ready.length < 2 + 2 * Arrays.stream(ready)
                .filter(s -> s != server && (s.ejected || now < s.classEjectedUntil[classIndex])).count();
    }

    private static int recentFailures(Server server) {
        return Integer.bitCount(server.outcomeBits & (1 << HISTORY_SIZE) - 1);
    }

    private void clearErrors(Server server) {
        weightsStale |= server.errorCount > 0;
        server.errorCount = 0;
    }

    // ---------------------------------------------------------------- ejection

    /**
     * Extension (ejection): a server with {@link #EJECT_FAILURES} failures in its last
     * {@link #HISTORY_SIZE} outcomes gets only single trials of retryable requests, at longer intervals
     * each time one fails. At most half of the servers are ejected: if most servers fail, the cause is
     * elsewhere, and the weights alone decide.
     */
    private void eject(Server server) {
        if (!server.ejected) {
            if (2 * (ejectedCount + 1) > ready.length) {
                return;
            }
            server.ejected = true;
            server.ejectionUs = MIN_EJECT_US / 2;
            log("ejected server " + server.id + " after " + recentFailures(server) + " failures");
            // Class ejections end where, with this one, they would leave less than half of the servers.
            for (int classIndex = 0; classIndex < latencySamples.length; classIndex++) {
                for (int i = 0; i < ready.length && wouldEjectMajority(server, classIndex); i++) {
                    ready[i].classEjectedUntil[classIndex] = 0;
                }
            }
        }
        server.ejectionUs = Math.min(MAX_EJECT_US, 2 * server.ejectionUs);
        server.trialAt = now + server.ejectionUs / 2 + random.nextLong(server.ejectionUs);
        recountServersInUse();
    }

    /** Clears the failures and the ejection of a server and sets its limit to the initial one. */
    private void resetFailureState(Server server) {
        clearErrors(server);
        server.outcomeBits = 0;
        server.ejected = false;
        server.trialSuccesses = 0;
        server.limit = initialLimit();
    }

    /** Returns the mean limit of the servers in use, or this node's part of {@link #INITIAL_LIMIT} if that is
     * higher: with few responses each, learning a limit takes long. */
    private double initialLimit() {
        int inUse = ready.length - ejectedCount;
        return inUse > 0 ? Math.max(INITIAL_LIMIT / settings.nodes, limitSum / inUse)
                : INITIAL_LIMIT / settings.nodes;
    }

    /** Returns an ejected server due for a trial with this request, or null; null for unsafe requests. */
    private Server findTrialServer(PendingRequest pending) {
        for (Server server : ready) {
            if (server.ejected && pending.requestClass.retrySafety() != RetrySafety.UNSAFE
                    && now >= server.trialAt && server.inFlight == 0 && isAllowed(pending, server)) {
                return server;
            }
        }
        return null;
    }

    /**
     * Returns an ejected server that served recently and accepts connections, for a retryable request that
     * no other server has capacity for, or null. If all servers are overloaded, one that fails half of its
     * requests is better than none.
     */
    private Server findEjectedFallback(PendingRequest pending) {
        Server best = null;
        for (Server server : ready) {
            if (server.ejected && pending.requestClass.retrySafety() != RetrySafety.UNSAFE
                    && !isAtLimit(server) && !server.unreachable && !hasJustTried(pending, server)
                    && now < server.lastSuccessAt + MAX_EJECT_US && isAllowed(pending, server)
                    && (best == null || recentFailures(server) < recentFailures(best))) {
                best = server;
            }
        }
        return best;
    }

    /** Recounts servers in use: attempts stuck at ejected or removed ones don't count against the limits. */
    private void recountServersInUse() {
        limitSum = 0;
        totalInFlight = 0;
        ejectedCount = 0;
        for (Server server : ready) {
            if (isInUse(server)) {
                limitSum += server.limit;
                totalInFlight += server.inFlight;
            } else {
                ejectedCount++;
            }
        }
    }

    private static boolean isInUse(Server server) {
        return server.state == ServerState.READY && !server.ejected;
    }

    private void log(String line) {
        if (now >= nextLogAt) {
            nextLogAt = now + MIN_LOG_INTERVAL_US;
            actions.log(line);
        }
    }

    // ---------------------------------------------------------------- server selection

    /** Returns an ejected server due for a trial, else the better of two samples, else a fallback or null. */
    private Server pickServer(PendingRequest pending) {
        Server trialServer = findTrialServer(pending);
        Server server = trialServer == null ? pickByZone(pending) : trialServer;
        return server == null ? findEjectedFallback(pending) : server;
    }

    /**
     * Extension (probing): if nodes outnumber servers, the requests of one node in flight say little about a
     * server. Where probes are allowed, two picked servers with equally many requests in flight are probed,
     * and the first to respond gets the request; if neither responds soon, the usual choice decides. Servers
     * in slow start aren't probed, because probes use up their budget too.
     *
     * @return whether the request now waits for probe results
     */
    private boolean tryStartProbes(PendingRequest pending) {
        double meanUs = meanLatencyUs[pending.request.classIndex()];
        long waitUs = Math.max(3 * settings.tickUs, (long) (PROBE_WAIT_SHARE * meanUs));
        if (!settings.allowProbes || settings.nodes <= ready.length || meanUs == 0
                || findTrialServer(pending) != null || pending.latencyTargetAt - now < 2 * waitUs
                || pending.utility / meanUtility * notOnTimeShare * PROBE_SAVED_SHARE
                        < 2 * settings.probePrice) {
            return false;
        }
        Server first = pickByZone(pending);
        Server second = first == null ? null : pickByZone(pending);
        if (second == null || second == first || first.inFlight != second.inFlight
                || first.failureShare + second.failureShare > PROBE_MAX_FAILURE_SHARE
                || isInSlowStart(first) || isInSlowStart(second)) {
            return false;
        }
        pending.awaitingProbes = true;
        pending.probesPending = 2;
        pending.probeWaitEndsAt = now + waitUs;
        requestsAwaitingProbes.add(pending);
        probe(first, pending);
        probe(second, pending);
        return true;
    }

    private void probe(Server server, PendingRequest pending) {
        // Requests that no longer wait would pile up here if a probe result got lost.
        server.awaitingProbe.removeIf(waiting -> !waiting.awaitingProbes);
        server.awaitingProbe.add(pending);
        if (!server.probeInFlight) {
            server.probeInFlight = true;
            actions.probe(server.id);
        }
    }

    /** Sends or defers the requests whose probes have had no result in time. */
    private void endExpiredProbeWaits() {
        while (!requestsAwaitingProbes.isEmpty()
                && (!requestsAwaitingProbes.peek().awaitingProbes
                        || requestsAwaitingProbes.peek().probeWaitEndsAt <= now)) {
            PendingRequest pending = requestsAwaitingProbes.poll();
            if (pending.awaitingProbes) {
                pending.awaitingProbes = false;
                sendOrDefer(pending);
            }
        }
    }

    private Server pickByZone(PendingRequest pending) {
        Server server = pickOfTwo(pending, localZone);
        if (localZone == allZones) {
            return server;
        }
        // Extension (zones): if crossing zones has a price, both samples are local. A pick from all zones
        // wins only if no local server may be sent to, or the local pick has more errors or at least
        // SPILL_IN_FLIGHT more requests in flight.
        if (server != null && server.inFlight < SPILL_IN_FLIGHT && server.errorCount == 0) {
            return server;
        }
        Server other = pickOfTwo(pending, allZones);
        return server == null || other != null && (other.inFlight + SPILL_IN_FLIGHT <= server.inFlight
                || other.errorCount < server.errorCount) ? other : server;
    }

    private Server pickOfTwo(PendingRequest pending, Pool pool) {
        Server first = sample(pending, pool, null);
        Server second = first == null ? null : sample(pending, pool, first);
        if (second == null || first.inFlight < second.inFlight) {
            return first;
        }
        if (first.inFlight > second.inFlight) {
            return second;
        }
        // Extension (ties): ties are common with few requests in flight; the recently faster server wins.
        double difference = relativeLatency(first) - relativeLatency(second);
        boolean isTie = Math.abs(difference) < RELATIVE_LATENCY_TIE;
        return (isTie ? random.nextInt(2) == 0 : difference > 0) ? second : first;
    }

    /** Returns the relative latency of a server (1 = as the mean of each class); it decays towards 1. */
    private double relativeLatency(Server server) {
        double decayUs = RELATIVE_LATENCY_DECAY_ROUNDS * servedGapUs * Math.max(1, ready.length);
        return 1 + (server.relativeLatency - 1) * Math.exp(-(now - server.relativeLatencyAt) / decayUs);
    }

    private void updateRelativeLatency(Server server, double sample) {
        double previous = relativeLatency(server);
        server.relativeLatency = previous + SERVER_SMOOTHING * (sample - previous);
        server.relativeLatencyAt = now;
    }

    /** Samples one server by weight among those that may be sent to, without {@code excluded}, or null. */
    private Server sample(PendingRequest pending, Pool pool, Server excluded) {
        Server[] servers = pool.servers;
        if (weightsStale) {
            recomputeWeights();
        }
        for (int i = 0; i <= MAX_RESAMPLES && servers.length > 0; i++) {
            Server server = servers[sampleIndex(pool)];
            if (server != excluded && maySend(pending, server)) {
                return server;
            }
        }
        // Most servers are at their limit: one pass, in which each server replaces the pick with the
        // probability of its share of the weight so far.
        Server picked = null;
        double totalWeight = 0;
        for (Server server : servers) {
            if (server != excluded && maySend(pending, server)) {
                totalWeight += weight(server);
                picked = random.nextDouble() * totalWeight < weight(server) ? server : picked;
            }
        }
        return picked;
    }

    private int sampleIndex(Pool pool) {
        int last = pool.servers.length - 1;
        int found = Arrays.binarySearch(pool.weightSums, random.nextDouble() * pool.weightSums[last]);
        return Math.min(last, found < 0 ? -1 - found : found + 1);
    }

    /** Recomputes the weights of the paper; needed only after a change of an error count or the list. */
    private void recomputeWeights() {
        int maxErrors = 0;
        for (Server server : ready) {
            maxErrors = Math.max(maxErrors, server.errorCount);
        }
        maxErrorFactor = Math.floor(Math.pow(1 + maxErrors, 1.5));
        accumulateWeights(allZones);
        accumulateWeights(localZone);
        weightsStale = false;
    }

    private void accumulateWeights(Pool pool) {
        double sum = 0;
        for (int i = 0; i < pool.servers.length; i++) {
            sum += weight(pool.servers[i]);
            pool.weightSums[i] = sum;
        }
    }

    /**
     * The weight of the paper. Extension (sizes): servers differ, so the weight is multiplied by the listed
     * size of the server; with equal sizes this changes nothing.
     */
    private double weight(Server server) {
        return server.effectiveSize * Math.ceil(maxErrorFactor / (1 + server.errorCount));
    }

    /** Fails over to the next server in list order, those without errors first, or defers the request, or
     * ends it. */
    private void failOver(PendingRequest pending, Server failedServer) {
        if (!mayAttempt(pending)) {
            endUnserved(pending);
            return;
        }
        List<Server> tried = Arrays.asList(pending.servers);
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 1; i <= ready.length; i++) {
                Server next = ready[(failedServer.readyIndex + i) % ready.length];
                // Extension (zones): if crossing zones has a price, the servers preferred must also be local.
                boolean preferred = next.errorCount == 0 && (localZone == allZones || isLocal(next));
                if ((preferred || pass > 0) && !tried.contains(next) && maySend(pending, next)) {
                    send(pending, next);
                    return;
                }
            }
        }
        defer(pending);
    }

    // ---------------------------------------------------------------- the deferred queue

    /** Adds a request to the deferred queue: by priority, first come first served among equals. */
    private void defer(PendingRequest pending) {
        pending.deferred = true;
        int index = deferredQueue.size();
        while (index > 0 && BY_PRIORITY.compare(deferredQueue.get(index - 1), pending) > 0) {
            index--;
        }
        deferredQueue.add(index, pending);
    }

    /**
     * Sends deferred requests as far as the servers have capacity and ends those without enough time left.
     * Extension (deferral): a request that certainly hasn't run on any server after half of its time is
     * refused, while its client can still try another node.
     */
    private void serveDeferred() {
        if (deferredQueue.isEmpty()) {
            return;
        }
        int keptCount = 0;
        boolean[] noServerForClass = new boolean[settings.classes.size()];
        boolean needsSort = false;
        for (int i = 0; i < deferredQueue.size(); i++) {
            PendingRequest pending = deferredQueue.get(i);
            if (!pending.deferred) {
                continue;
            }
            boolean expectedLate = pending.latencyTargetAt - now < Math.min(
                    LATE_MAX_SHARE * (pending.latencyTargetAt - pending.arrivedAt),
                    LATE_MEAN_LATENCIES * meanLatencyUs[pending.request.classIndex()]);
            if (pending.deadlineAt - now <= queueScanUs + settings.tickUs
                    || expectedLate && pending.requestClass.lateUtilityShare() == 0
                    || pending.firstPossiblyRunAttempt() < 0 && now + queueScanUs >= pending.refuseAt
                    || !mayAttempt(pending)) {
                pending.deferred = false;
                endUnserved(pending);
                continue;
            }
            if (expectedLate && !pending.priorityLowered) {
                pending.priorityLowered = true;
                pending.queuePriority *= pending.requestClass.lateUtilityShare();
                needsSort = true;
                deferredQueue.set(keptCount++, pending);
                continue;
            }
            int classIndex = pending.request.classIndex();
            Server server = noServerForClass[classIndex] ? null : pickServer(pending);
            if (server != null) {
                pending.deferred = false;
                send(pending, server);
            } else {
                // A request without attempts may go to any server that its class may use: if it finds none,
                // nor does the next one of its class.
                noServerForClass[classIndex] |= pending.attemptCount == 0;
                deferredQueue.set(keptCount++, pending);
            }
        }
        deferredQueue.subList(keptCount, deferredQueue.size()).clear();
        if (needsSort) {
            deferredQueue.sort(BY_PRIORITY);
        }
    }

    /**
     * Returns the queue priority, the utility of a request per expected work: the utility of its class,
     * reduced if its tenant exceeds this node's part of the quota, divided by the mean latency of the class
     * as the measure of work unless utility is already earned per work. Also uses up quota of the tenant and
     * sets the utility of the request.
     */
    private double queuePriority(PendingRequest pending) {
        double utility = pending.requestClass.utility();
        int tenantIndex = pending.request.tenantIndex();
        double nodeQuotaPerS = tenantIndex < 0 ? 0
                : settings.tenants.get(tenantIndex).quotaPerS() / settings.nodes;
        if (nodeQuotaPerS > 0) {
            double maxTokens = Math.max(1, nodeQuotaPerS * QUOTA_BURST_S);
            double refillS = quotaUsedAt[tenantIndex] == 0 ? QUOTA_BURST_S
                    : (now - quotaUsedAt[tenantIndex]) / 1e6;
            quotaUsedAt[tenantIndex] = now;
            quotaTokens[tenantIndex] =
                    Math.min(maxTokens, quotaTokens[tenantIndex] + nodeQuotaPerS * refillS);
            if (quotaTokens[tenantIndex] >= 1) {
                quotaTokens[tenantIndex]--;
            } else {
                utility *= settings.overQuotaUtilityShare;
            }
        }
        pending.utility = utility;
        meanUtility += smoothing(++utilitySamples) * (utility - meanUtility);
        return settings.utilityPerWork ? utility
                : utility / Math.max(1, meanLatencyUs[pending.request.classIndex()]);
    }

    // ---------------------------------------------------------------- concurrency limits

    /**
     * Extension (concurrency limits): the limit of a server grows with a response well within the latency
     * target if the limit was reached while that request was in flight. It shrinks with slow responses and
     * timeouts. It matters only where a send would exceed a bound: at each server its limit, but at least one
     * attempt; for the node in total the sum of all limits, as with many nodes the part of each node in the
     * limit of a server is below one.
     */
    private void adaptLimit(PendingRequest pending, int attempt, Outcome outcome) {
        Server server = pending.servers[attempt];
        double previousLimit = server.limit;
        if (outcome.result() == Result.OK) {
            int classIndex = pending.request.classIndex();
            // Skips all responses under event-loop lag: keeping only the clearly slow ones biases the mean.
            meanLatencyUs[classIndex] += outcome.loopLagUs() > queueScanUs ? 0
                    : smoothing(++latencySamples[classIndex])
                            * (outcome.latencyWithoutLagUs() - meanLatencyUs[classIndex]);
            // The mean of a few responses is random; until there are more, only the latency target counts.
            minMeanLatencyUs[classIndex] = latencySamples[classIndex] * MEAN_SMOOTHING < 0.5
                    ? Double.MAX_VALUE
                    : Math.min(minMeanLatencyUs[classIndex] * MIN_LATENCY_DRIFT, meanLatencyUs[classIndex]);
            double slowFromUs = Math.min(SLOW_TARGET_SHARE * pending.latencyTargetUs,
                    SLOW_LATENCY_FACTOR * minMeanLatencyUs[classIndex]);
            servedGapUs += smoothing(++servedCount) * (now - lastServedAt - servedGapUs);
            lastServedAt = now;
            if (outcome.latencyWithoutLagUs() <= slowFromUs) {
                // A server in slow start gets few requests and responds fast: with a limit above the others',
                // all nodes together would overload it as soon as slow start ends.
                server.limit += server.limitReachedAt >= pending.sentAt[attempt]
                        && (!isInSlowStart(server) || server.limit * ready.length < limitSum)
                        ? limitIncrease : 0;
            } else {
                decreaseLimit(pending, attempt, limitDecrease);
            }
        } else if (outcome.result() == Result.TIMEOUT) {
            decreaseLimit(pending, attempt, LIMIT_TIMEOUT_DECREASE);
        }
        if (isInUse(server)) {
            limitSum += server.limit - previousLimit;
        }
    }

    /** Lowers the limit of a server, only once for all attempts sent before the last decrease. */
    private void decreaseLimit(PendingRequest pending, int attempt, double decrease) {
        Server server = pending.servers[attempt];
        if (pending.sentAt[attempt] >= server.limitDecreasedAt) {
            server.limit = Math.max(1.0 / settings.nodes, server.limit * (1 - decrease));
            server.limitDecreasedAt = now;
        }
    }

    /** Whether an attempt at a server would be throttled or exceed a limit; records a reached limit. */
    private boolean isOverLimit(Server server) {
        if (isThrottled()) {
            return true;
        }
        // The sum of the limits guards against a pause of responses, in which all that the limits of single
        // servers allow would be in flight at once. The allowance shrinks with the on-time ratio, to 0 at a
        // half: bursts make an overloaded fleet collapse.
        double burstAllowance = LIMIT_SUM_BURST * Math.max(0, 2 * onTimeRatio - 1) * Math.sqrt(limitSum);
        if (isAtLimit(server) || totalInFlight > 0 && totalInFlight + 1 > limitSum + burstAllowance) {
            server.limitReachedAt = now;
            return true;
        }
        return false;
    }

    /**
     * Extension (throttling): while the on-time ratio is below {@link #THROTTLE_BELOW_RATIO}, a node sends
     * {@link #THROTTLE_TOKENS_ON_TIME} attempts for each on-time response, and a few more to notice a
     * recovery: servers slowed down by overload recover only if they get almost no load.
     */
    private boolean isThrottled() {
        return onTimeRatio < THROTTLE_BELOW_RATIO && sendTokens < 1;
    }

    private void updateOnTimeRatio(double sample) {
        onTimeRatio += ON_TIME_SMOOTHING * (sample - onTimeRatio);
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + (sample == 1 ? THROTTLE_TOKENS_ON_TIME : 0));
    }

    private boolean isAtLimit(Server server) {
        return server.inFlight + 1 > Math.max(1, server.limit);
    }

    // ---------------------------------------------------------------- sending

    private void send(PendingRequest pending, Server server) {
        // Read before this attempt counts, because the window starts with an earlier one.
        long sendByUs = pending.retryAllowedUntil();
        int attempt = pending.attemptCount++;
        sendTokens = Math.max(0, sendTokens - 1);
        pending.servers[attempt] = server;
        pending.sentAt[attempt] = now;
        pending.attemptsInFlight++;
        server.inFlight++;
        if (server.zone >= 0) {
            zoneLastSentAt[server.zone] = now;
            zoneUnansweredSince[server.zone] = zoneUnansweredSince[server.zone] == 0
                    ? now : zoneUnansweredSince[server.zone];
        }
        totalInFlight += isInUse(server) ? 1 : 0;
        lastServedAt = lastServedAt == 0 ? now : lastServedAt;
        if (isInSlowStart(server)) {
            server.slowStartSentAt = now;
            server.slowStartGapShare = 1;
        }
        long untilUs = attemptDeadline(pending);
        if (server.classFailures[pending.request.classIndex()] > 0) {
            // A server that was ejected for the class is ejected again, so that it gets single attempts only.
            ejectForClass(server, pending.request.classIndex());
            untilUs = Math.min(untilUs, suspectClassDeadline(pending));
        }
        actions.send(pending.request.id(), server.id, untilUs, sendByUs);
    }

    /**
     * Extension (timeout at the latency target): an attempt ends once its response would earn nothing any
     * more, except if it is streamed or clients would retry after the failure.
     */
    private long attemptDeadline(PendingRequest pending) {
        return pending.requestClass.lateUtilityShare() > 0 || clientRetriesFailures(pending.requestClass)
                || pending.requestClass.streamed()
                ? pending.deadlineAt : pending.latencyTargetAt;
    }

    /** Bounds an attempt at a server that just failed its class, to leave time for a retry elsewhere. */
    private long suspectClassDeadline(PendingRequest pending) {
        long halfLeftUs = (pending.latencyTargetAt - now) / 2;
        return pending.requestClass.retrySafety() == RetrySafety.UNSAFE || halfLeftUs <= 0 ? Long.MAX_VALUE
                : now + Math.max(halfLeftUs,
                        (long) (LATE_MEAN_LATENCIES * meanLatencyUs[pending.request.classIndex()]));
    }

    /** Whether clients also retry after a failure, and not only after a refusal. */
    private static boolean clientRetriesFailures(RequestClass requestClass) {
        return requestClass.retrySafety() == RetrySafety.SAFE
                || requestClass.retrySafety() == RetrySafety.KEYED
                && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    // ---------------------------------------------------------------- final responses and permitted attempts

    /** Ends a request without a response from a server: refuses it if a retry has no second effect. */
    private void endUnserved(PendingRequest pending) {
        boolean retryIsHarmless = switch (pending.requestClass.retrySafety()) {
            case SAFE -> true;
            case KEYED -> pending.firstPossiblyRunAttempt() < 0
                    || pending.requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case UNSAFE -> pending.firstPossiblyRunAttempt() < 0;
        };
        // A refusal makes clients retry that wouldn't retry a failure; without utility that is wasted work.
        if (retryIsHarmless && (clientRetriesFailures(pending.requestClass) || !hasNoUtilityLeft(pending))) {
            actions.refuse(pending.request.id(), retryAfterUs());
        } else {
            actions.fail(pending.request.id());
        }
        finish(pending);
    }

    /** Returns the time in which the deferred requests and one more should be served, up to the maximum. */
    private long retryAfterUs() {
        return (long) Math.min(settings.maxRetryAfterUs, (deferredQueue.size() + 1) * expectedServedGapUs());
    }

    /** Returns the mean time between served attempts, or a longer one once none has been served for long. */
    private double expectedServedGapUs() {
        return Math.max(servedGapUs, MEAN_SMOOTHING * (now - lastServedAt));
    }

    private void finish(PendingRequest pending) {
        pending.ended = true;
        pending.deferred = false;
        pending.awaitingProbes = false;
        for (int i = 0; i < pending.attemptCount && pending.attemptsInFlight > 0
                && settings.allowCancel; i++) {
            if (pending.results[i] == null) {
                actions.cancel(pending.request.id(), i);
            }
        }
        removeIfFinished(pending);
    }

    private void removeIfFinished(PendingRequest pending) {
        if (pending.ended && pending.attemptsInFlight == 0) {
            pendingById.remove(pending.request.id());
        }
    }

    /** Whether another attempt is permitted and useful, at whichever server. */
    private boolean mayAttempt(PendingRequest pending) {
        return pending.attemptCount < settings.maxAttempts && now < pending.deadlineAt && !pending.streaming
                && !hasNoUtilityLeft(pending) && now <= pending.retryAllowedUntil();
    }

    /** Whether a server may get the next attempt: it is permitted to, and is neither ejected nor in a silent
     * zone, just tried or over a limit. */
    private boolean maySend(PendingRequest pending, Server server) {
        return !server.ejected && now >= server.classEjectedUntil[pending.request.classIndex()]
                && !isZoneSilent(server, meanLatencyUs[pending.request.classIndex()])
                && !hasJustTried(pending, server) && !isOverLimit(server) && isAllowed(pending, server);
    }

    /**
     * Extension (silent zones): a partitioned zone doesn't respond, and each of its servers would cost each
     * node a timeout. If another zone hasn't responded for {@link #ZONE_SILENT_LATENCIES} mean latencies
     * since the first unanswered send, it gets single requests, at intervals that double up to a bound,
     * until it responds.
     */
    private boolean isZoneSilent(Server server, double meanUs) {
        if (server.zone < 0 || isLocal(server) || zoneUnansweredSince[server.zone] == 0) {
            return false;
        }
        long unansweredSince = zoneUnansweredSince[server.zone];
        return now - unansweredSince > ZONE_SILENT_LATENCIES * meanUs
                && now - zoneLastSentAt[server.zone]
                        < Math.min(MAX_EJECT_US, zoneLastSentAt[server.zone] - unansweredSince);
    }

    private boolean isLocal(Server server) {
        return server.zone == settings.myZone;
    }

    /** Whether the request was sent there less than a mean latency ago: quick failures would use up its
     * attempts. */
    private boolean hasJustTried(PendingRequest pending, Server server) {
        for (int i = 0; i < pending.attemptCount; i++) {
            if (pending.servers[i] == server
                    && now < pending.sentAt[i] + meanLatencyUs[pending.request.classIndex()]) {
                return true;
            }
        }
        return false;
    }

    /** Whether the server list, the slow start budget and the deduplication scope permit a send. */
    private boolean isAllowed(PendingRequest pending, Server server) {
        if (server.state != ServerState.READY
                || isInSlowStart(server) && now < server.slowStartSentAt + slowStartGapUs(server)) {
            return false;
        }
        int firstPossiblyRun = pending.requestClass.retrySafety() == RetrySafety.KEYED
                ? pending.firstPossiblyRunAttempt() : -1;
        return firstPossiblyRun < 0 || switch (pending.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> server.zone == pending.servers[firstPossiblyRun].zone;
            case CELL -> server.cell == pending.servers[firstPossiblyRun].cell;
        };
    }

    private boolean isInSlowStart(Server server) {
        return server.startedAt > 0 && now < server.startedAt + settings.slowStartUs;
    }

    /**
     * Extension (slow start): returns the least time between two sends to a server in slow start. One unit is
     * the server's part, by nominal sizes, of the attempts served to this node, times the share of its
     * capacity that it has by now. Arriving requests are no measure, as retries multiply them under
     * congestion; nor are current weights, which are several times too large for an idle server. All nodes
     * together may send {@link Settings#overloadFactor} units; each uses {@link #SLOW_START_BUDGET_SHARE} of
     * that, evenly spaced, the first after a random part of the interval.
     */
    private long slowStartGapUs(Server server) {
        double progress = Math.max(0, now - server.startedAt) / (double) settings.slowStartUs;
        double capacityShare = settings.slowStartMinShare
                + (1 - settings.slowStartMinShare) * Math.min(1, progress);
        // A node that has just started has seen only current weights, which may be lowered by load.
        double sizeShare = Math.min(server.nominalSize / Math.max(server.nominalSize, totalNominalSize),
                MAX_SIZE_RATIO / Math.max(1, ready.length));
        double budgetUnits = Math.max(1, SLOW_START_BUDGET_SHARE * settings.overloadFactor);
        return (long) (server.slowStartGapShare * expectedServedGapUs()
                / (sizeShare * capacityShare * budgetUnits));
    }
}
