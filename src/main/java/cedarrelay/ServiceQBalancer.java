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
    /** Exponent that damps weights lowered with load, because all nodes see the same weights, late. */
    private static final double LOAD_WEIGHT_EXPONENT = 0.3;
    /** Smoothing factor of the relative latency and the failure share of a server. */
    private static final double SERVER_SMOOTHING = 0.3;
    /** Decay time of a relative latency, in multiples of the time in which a node uses each server once. */
    private static final double RELATIVE_LATENCY_DECAY_ROUNDS = 12;
    /** Remaining times within this share of the deadline are equal; network delay makes them differ. */
    private static final double TIME_LEFT_TOLERANCE = 0.02;
    /** Share of a class with the same remaining time that marks first tries; most may be retries. */
    private static final double FIRST_TRY_MIN_SHARE = 0.2;
    /** Longest wait for probe results, as a share of the mean latency. */
    private static final double PROBE_WAIT_SHARE = 0.25;
    /** Share of late responses that probing two servers should avoid, to be weighed against its price. */
    private static final double PROBE_SAVED_SHARE = 0.5;
    /** Failure share above which a pair isn't probed: a server that fails fast also answers probes fast. */
    private static final double PROBE_MAX_FAILURE_SHARE = 0.1;
    /** Relative latency that a failure counts as. */
    private static final double FAILURE_RELATIVE_LATENCY = 5;
    /** Smaller differences of relative latency are ties, so that a server is retried as its own decays. */
    private static final double RELATIVE_LATENCY_TIE = 0.05;
    /** Mean latencies without a response after which a zone is silent; a single response may be slow. */
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
    /** Initial gap between served attempts: most nodes of a large fleet may have just started. */
    private static final double INITIAL_SERVED_GAP_US = 1_000_000;
    /** Initial concurrency limit of a server over all nodes: low enough for a server with one core. */
    private static final double INITIAL_LIMIT = 4;
    /** Share of the latency target above which a response is slow; the rest allows for random variation. */
    private static final double SLOW_TARGET_SHARE = 0.35;
    /** Increase of a server's limit, over all nodes, for a fast response. */
    private static final double LIMIT_INCREASE = 0.15;
    /** Relative decrease of the limit for a slow response: at a limit of 4, one slow in four balances. */
    private static final double LIMIT_DECREASE = 0.1;
    /** A response is also slow above this multiple of the lowest mean latency of its class. */
    private static final double SLOW_LATENCY_FACTOR = 3;
    /** Burst allowed above the sum of all limits, in square roots of that sum: random variation. */
    private static final double LIMIT_SUM_BURST = 2.5;
    /** Growth of the lowest mean latency with each response, so that it follows a change of the work. */
    private static final double MIN_LATENCY_DRIFT = 1.0001;
    /** Exponent of the node count in limit changes: at 0 many nodes adapt too slowly, at 0.5 they congest. */
    private static final double LIMIT_NODES_EXPONENT = 0.25;
    /** Relative decrease of a limit after a timeout, a stronger sign of overload than a slow response. */
    private static final double LIMIT_TIMEOUT_DECREASE = 0.3;
    /** A deferred request with fewer mean latencies left is late; under overload all wait until then. */
    private static final double LATE_MEAN_LATENCIES = 2;
    /** Upper bound of that, as a share of the latency target: if all servers are slow, some still wait. */
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
    /** Requests of this node in flight from which a local server is compared with those of other zones. */
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
    /** Longest backoff, to which jitter adds up to a half. With the 3 s timeout of a list request and the
     * response to the next, it stays below the 6 s after which a change counts as notified. */
    private static final long MAX_LIST_BACKOFF_US = 1_000_000;

    private static final Comparator<Call> BY_PRIORITY = Comparator.comparingDouble(call -> -call.value);
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
    private int ejectedCount;
    private long nextLogAt;
    private final Map<Long, Call> calls = new HashMap<>();
    private final ArrayList<Call> deferredQueue = new ArrayList<>();
    private final PriorityQueue<Call> awaitingProbes =
            new PriorityQueue<>(Comparator.comparingLong(c -> c.decideAt));
    private long now;
    private long pendingWakeAt = Long.MAX_VALUE;
    private long lastServedAt;
    private double servedGapUs = INITIAL_SERVED_GAP_US;
    private int servedCount;
    private final double[] meanLatencyUs;
    private final double[] minMeanLatencyUs;
    private final int[] latencySamples;
    private final double[] quotaTokens;
    private final long[] quotaUsedAt;
    private final long[] usualTimeLeftUs;
    private final double[] usualTimeLeftShare;
    private final int[] requestCounts;
    /** By zone: time of the first send that has had no response since (0 if none), and of the last send. */
    private final long[] zoneUnansweredSince;
    private final long[] zoneLastSentAt;
    private int totalInFlight;
    private double limitSum;
    private double meanProbeUs;
    private int probeSamples;
    /** Moving share of attempts that failed or were late. */
    private double notOnTimeShare;
    private double onTimeRatio = 1;
    /** Attempts that a throttled node may send. */
    private double sendTokens;
    private double meanUtility;
    private int utilitySamples;
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
        // Both are scaled by the same factor, to keep their balance over all nodes.
        double adjustment = Math.pow(settings.nodes, LIMIT_NODES_EXPONENT);
        limitIncrease = LIMIT_INCREASE / adjustment;
        limitDecrease = 1 - Math.pow(1 - LIMIT_DECREASE, adjustment);
        meanLatencyUs = new double[settings.classes.size()];
        minMeanLatencyUs = new double[settings.classes.size()];
        latencySamples = new int[settings.classes.size()];
        usualTimeLeftUs = new long[settings.classes.size()];
        requestCounts = new int[settings.classes.size()];
        usualTimeLeftShare = new double[settings.classes.size()];
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
                server.state = ServerState.GONE;
            }
            listedServers.clear();
        }
        for (ServerEntry entry : entries) {
            Server server = serversById.computeIfAbsent(entry.id(),
                    id -> new Server(id, initialLimit(), settings.classes.size()));
            if (entry.state() == ServerState.GONE) {
                listedServers.remove(server);
            } else if (!listedServers.contains(server)) {
                listedServers.add(server);
            }
            if (entry.startedAtUs() > server.startedAt) {
                // The server was restarted: failures of the old process say nothing about the new one.
                resetFailureState(server);
                Arrays.fill(server.misses, 0);
                Arrays.fill(server.outUntil, 0);
                server.startedAt = entry.startedAtUs();
                // All nodes are notified of a start at about the same time and must not send at once.
                server.coldSentAt = now;
                server.coldPhase = random.nextDouble();
            }
            server.state = entry.state();
            server.zone = entry.zone();
            server.cell = entry.cell();
            server.weight = entry.weight() > 0 ? entry.weight() : 1;
            server.nominal = Math.max(server.nominal, server.weight);
            server.size = server.nominal * Math.pow(server.weight / server.nominal, LOAD_WEIGHT_EXPONENT);
        }
        ready = listedServers.stream().filter(s -> s.state == ServerState.READY).toArray(Server[]::new);
        totalNominalSize = 0;
        for (int i = 0; i < ready.length; i++) {
            ready[i].position = i;
            totalNominalSize += ready[i].nominal;
        }
        // Drop removed servers without attempts in flight, or the map grows for as long as the node runs.
        serversById.values().removeIf(server -> server.state == ServerState.GONE && server.inFlight == 0);
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
                Math.max(1, Math.min(MAX_LIST_BACKOFF_US, settings.askWithinUs / 4)));
        scheduleWake();
    }

    private void requestList() {
        actions.subscribe();
        listRequestAt = now + Math.max(1, settings.askWithinUs / 2);
    }

    // ---------------------------------------------------------------- requests and outcomes

    @Override
    public void onRequest(long nowUs, Request request) {
        now = nowUs;
        if (request.classIndex() < 0 || request.classIndex() >= settings.classes.size()
                || request.tenant() >= settings.tenants.size() || calls.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or tenant, or id still pending: " + request);
        }
        long elapsedUs = elapsedSinceFirstTryUs(request);
        Call call = new Call(request, settings, now, elapsedUs);
        calls.put(request.id(), call);
        // Counts first tries only: under congestion the clients' retries multiply the load.
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + (elapsedUs == 0 ? THROTTLE_TOKENS_FIRST_TRY : 0));
        call.value = queuePriority(call);
        // If the event loop lags, the response will be read late too: a request that can't be on time would
        // only take processor time from others. After a single pause this rejects too many requests.
        if (hasNoUtilityLeft(call) || call.cls.lateWorth() == 0 && request.waitedUs() > queueScanUs
                && call.aimAt - now < request.waitedUs() / 2 + meanLatencyUs[request.classIndex()]) {
            endUnserved(call);
            return;
        }
        if (!deferredQueue.isEmpty() || now >= call.deadlineAt || !startedProbes(call)) {
            sendOrDefer(call);
        }
        scheduleWake();
    }

    /** Sends a request to a sampled server, or defers it. */
    private void sendOrDefer(Call call) {
        Server server = deferredQueue.isEmpty() && now < call.deadlineAt ? pickServer(call) : null;
        if (server != null) {
            send(call, server);
        } else {
            defer(call);
            serveDeferred();
        }
    }

    /**
     * Returns the time since the first try of the client; 0 for a request without the retry mark of clients
     * that mark their retries. Otherwise it is derived from the remaining time: it is the same for all first
     * tries of a class, by far the most requests, and for retries what is left of the deadline.
     */
    private long elapsedSinceFirstTryUs(Request request) {
        if (settings.marksRetry && !request.retry()) {
            return 0;
        }
        int classIndex = request.classIndex();
        long deadlineUs = settings.classes.get(classIndex).deadlineUs();
        long leftUs = request.leftUs() + request.waitedUs();
        boolean usual = Math.abs(leftUs - usualTimeLeftUs[classIndex]) <= TIME_LEFT_TOLERANCE * deadlineUs;
        usualTimeLeftShare[classIndex] += smoothing(++requestCounts[classIndex])
                * ((usual ? 1 : 0) - usualTimeLeftShare[classIndex]);
        if (!usual && usualTimeLeftShare[classIndex] < FIRST_TRY_MIN_SHARE) {
            // No remaining time is common enough yet to tell first tries from retries.
            usualTimeLeftUs[classIndex] = leftUs;
            return 0;
        }
        return usual ? 0 : Math.max(0, deadlineUs - leftUs);
    }

    /** Returns the smoothing factor for the newest of so many samples: a plain mean until there are many. */
    private static double smoothing(int samples) {
        return Math.max(MEAN_SMOOTHING, 1.0 / samples);
    }

    /** Whether no response can earn anything any more, so that an attempt would only waste server time. */
    private boolean hasNoUtilityLeft(Call call) {
        return call.cls.lateWorth() == 0 && now >= call.aimAt;
    }

    @Override
    public void onOutcome(long nowUs, Outcome outcome) {
        now = nowUs;
        Call call = calls.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (call == null || attempt < 0 || attempt >= call.attempts || call.results[attempt] != null) {
            return;
        }
        Server server = call.servers[attempt];
        Result result = outcome.result();
        call.results[attempt] = result;
        call.outstanding--;
        server.inFlight--;
        if (server.zone >= 0 && (result == Result.OK || result == Result.ERROR || result == Result.FULL)) {
            zoneUnansweredSince[server.zone] = 0;
        }
        totalInFlight -= isInUse(server) ? 1 : 0;
        server.unreachable = result == Result.CONNECT_FAILED;
        if (result == Result.OK) {
            recordSuccess(server);
        } else if (outcome.isTelling()) {
            // The timeout of a server that has since responded is a sign of overload, like a rejection.
            boolean overloaded = result == Result.FULL
                    || result == Result.TIMEOUT && server.answeredAt >= call.sentAt[attempt];
            recordFailure(server, !overloaded);
            if (result != Result.FULL && result != Result.TIMEOUT) {
                server.faults += SERVER_SMOOTHING * (1 - server.faults);
                updateRelativeLatency(server, FAILURE_RELATIVE_LATENCY);
            }
        }
        if (result == Result.OK || result == Result.ERROR) {
            server.answeredAt = now;
        }
        if (outcome.isTelling()) {
            recordClassOutcome(call, attempt);
            double meanUs = meanLatencyUs[call.request.classIndex()];
            if ((result == Result.OK || result == Result.TIMEOUT) && meanUs > 0) {
                updateRelativeLatency(server, outcome.servedUs() / meanUs);
            }
            boolean onTime = now - outcome.stallUs() <= call.aimAt;
            notOnTimeShare += MEAN_SMOOTHING * ((result != Result.OK || !onTime ? 1 : 0) - notOnTimeShare);
            if (result == Result.OK || result == Result.TIMEOUT) {
                // Errors are no sign of overload, nor is work that takes longer than its latency target.
                double minMeanUs = minMeanLatencyUs[call.request.classIndex()];
                boolean slowByWork = minMeanUs < Double.MAX_VALUE
                        && outcome.servedUs() < UNLOADED_LATENCY_FACTOR * minMeanUs;
                updateOnTimeRatio(result != Result.OK ? 0 : onTime || slowByWork ? 1 : call.cls.lateWorth());
            }
            adaptLimit(call, attempt, outcome);
        }
        if (outcome.requestEnded()) {
            finish(call);
        } else if (!call.ended && call.outstanding == 0) {
            failOver(call, server);
        }
        removeIfFinished(call);
        serveDeferred();
        scheduleWake();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        Call call = calls.get(requestId);
        if (call != null) {
            call.streaming = true;
        }
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        now = nowUs;
        Call call = calls.get(requestId);
        if (call != null) {
            finish(call);
        }
    }

    @Override
    public void onProbe(long nowUs, String serverId, Result result, long probeLatencyUs, double[] report) {
        now = nowUs;
        Server server = serversById.get(serverId);
        if (server == null || !server.asked) {
            return;
        }
        server.asked = false;
        if (result != Result.OK) {
            // Adds no error and ejects nothing: a congested server drops probes and still serves requests.
            updateRelativeLatency(server, SLOW_LATENCY_FACTOR);
        } else {
            meanProbeUs += smoothing(++probeSamples) * (probeLatencyUs - meanProbeUs);
            updateRelativeLatency(server, Math.min(FAILURE_RELATIVE_LATENCY, probeLatencyUs / meanProbeUs));
        }
        List<Call> waitingCalls = new ArrayList<>(server.askers);
        server.askers.clear();
        for (Call call : waitingCalls) {
            if (!call.asking) {
                continue;
            }
            if (result == Result.OK && maySend(call, server)) {
                call.asking = false;
                send(call, server);
            } else if (--call.asksOut == 0) {
                call.asking = false;
                sendOrDefer(call);
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
        while (!awaitingProbes.isEmpty() && !awaitingProbes.peek().asking) {
            awaitingProbes.poll();
        }
        long wakeAt = deferredQueue.isEmpty() ? listRequestAt : Math.min(listRequestAt, now + queueScanUs);
        wakeAt = awaitingProbes.isEmpty() ? wakeAt : Math.min(wakeAt, awaitingProbes.peek().decideAt);
        if (wakeAt < pendingWakeAt) {
            pendingWakeAt = Math.max(wakeAt, now + 1);
            actions.wakeAt(pendingWakeAt);
        }
    }

    // ---------------------------------------------------------------- error counts

    /** Adds one to the error count. A failure that isn't a sign of overload may eject the server. */
    private void recordFailure(Server server, boolean ejectable) {
        server.errors++;
        weightsStale = true;
        if (ejectable) {
            server.history = server.history << 1 | 1;
            server.trialsWon = 0;
            if (server.ejected || recentFailures(server) >= EJECT_FAILURES) {
                eject(server);
            }
        }
    }

    /** Clears the error count; an ejected server is restored only after several successes in a row. */
    private void recordSuccess(Server server) {
        server.history <<= 1;
        server.servedAt = now;
        server.faults -= SERVER_SMOOTHING * server.faults;
        if (!server.ejected) {
            clearErrors(server);
            return;
        }
        server.trialAt = now;
        if (++server.trialsWon >= RESTORE_SUCCESSES) {
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
    private void recordClassOutcome(Call call, int attempt) {
        Server server = call.servers[attempt];
        int classIndex = call.request.classIndex();
        switch (call.results[attempt]) {
            case OK -> server.heardAt[classIndex] = now;
            case ERROR, RESET -> server.misses[classIndex]++;
            case TIMEOUT -> server.misses[classIndex] +=
                    server.heardAt[classIndex] < call.sentAt[attempt] ? 1 : 0;
            default -> { }
        }
        server.misses[classIndex] = call.results[attempt] == Result.OK ? 0 : server.misses[classIndex];
        ejectForClass(server, classIndex);
    }

    private void ejectForClass(Server server, int classIndex) {
        int excessFailures = server.misses[classIndex] - CLASS_EJECT_FAILURES;
        if (excessFailures >= 0 && !wouldEjectMajority(server, classIndex)) {
            server.outUntil[classIndex] = now
                    + Math.min(MAX_EJECT_US, 2 * MIN_EJECT_US << Math.min(excessFailures, HISTORY_SIZE));
        }
    }

    /** Whether with this server more than half of the servers would be ejected for a class. */
    private boolean wouldEjectMajority(Server server, int classIndex) {
        return ready.length < 2 + 2 * Arrays.stream(ready)
                .filter(s -> s != server && (s.ejected || now < s.outUntil[classIndex])).count();
    }

    private static int recentFailures(Server server) {
        return Integer.bitCount(server.history & (1 << HISTORY_SIZE) - 1);
    }

    private void clearErrors(Server server) {
        weightsStale |= server.errors > 0;
        server.errors = 0;
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
            server.ejectedForUs = MIN_EJECT_US / 2;
            log("ejected server " + server.id + " after " + recentFailures(server) + " failures");
            // Class ejections end where, with this one, they would leave less than half of the servers.
            for (int classIndex = 0; classIndex < latencySamples.length; classIndex++) {
                for (int i = 0; i < ready.length && wouldEjectMajority(server, classIndex); i++) {
                    ready[i].outUntil[classIndex] = 0;
                }
            }
        }
        server.ejectedForUs = Math.min(MAX_EJECT_US, 2 * server.ejectedForUs);
        server.trialAt = now + server.ejectedForUs / 2 + random.nextLong(server.ejectedForUs);
        recountServersInUse();
    }

    /** Clears the failures and the ejection of a server and sets its limit to the initial one. */
    private void resetFailureState(Server server) {
        clearErrors(server);
        server.history = 0;
        server.ejected = false;
        server.trialsWon = 0;
        server.limit = initialLimit();
    }

    /** The mean limit of the servers in use: with few responses each, learning a limit takes long. */
    private double initialLimit() {
        int inUse = ready.length - ejectedCount;
        return inUse > 0 ? Math.max(INITIAL_LIMIT / settings.nodes, limitSum / inUse)
                : INITIAL_LIMIT / settings.nodes;
    }

    /** Returns an ejected server due for a trial with this request, or null; null for unsafe requests. */
    private Server findTrialServer(Call call) {
        for (Server server : ready) {
            if (server.ejected && call.cls.repeat() != Repeat.UNSAFE && now >= server.trialAt
                    && server.inFlight == 0 && isAllowed(call, server)) {
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
    private Server findEjectedFallback(Call call) {
        Server best = null;
        for (Server server : ready) {
            if (server.ejected && call.cls.repeat() != Repeat.UNSAFE && !isAtLimit(server)
                    && !server.unreachable && !hasJustTried(call, server)
                    && now < server.servedAt + MAX_EJECT_US && isAllowed(call, server)
                    && (best == null || recentFailures(server) < recentFailures(best))) {
                best = server;
            }
        }
        return best;
    }

    /** Recounts servers in use: requests stuck at ejected or removed ones must not use up the limits. */
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
    private Server pickServer(Call call) {
        Server trialServer = findTrialServer(call);
        Server server = trialServer == null ? pickByZone(call) : trialServer;
        return server == null ? findEjectedFallback(call) : server;
    }

    /**
     * Extension (asking): if nodes outnumber servers, the requests of one node in flight say little about a
     * server. Where probes are allowed, both sampled servers are probed and the first to respond gets the
     * request; if neither responds soon, the usual choice decides. Servers in slow start aren't probed,
     * because probes use up their budget too. Returns whether the request now waits for probe results.
     */
    private boolean startedProbes(Call call) {
        double meanUs = meanLatencyUs[call.request.classIndex()];
        long waitUs = Math.max(3 * settings.tickUs, (long) (PROBE_WAIT_SHARE * meanUs));
        if (!settings.probes || settings.nodes <= ready.length || meanUs == 0 || findTrialServer(call) != null
                || call.aimAt - now < 2 * waitUs
                || call.worth / meanUtility * notOnTimeShare * PROBE_SAVED_SHARE < 2 * settings.probePrice) {
            return false;
        }
        Server first = pickByZone(call);
        Server second = first == null ? null : pickByZone(call);
        if (second == null || second == first || first.inFlight != second.inFlight
                || first.faults + second.faults > PROBE_MAX_FAILURE_SHARE
                || isInSlowStart(first) || isInSlowStart(second)) {
            return false;
        }
        call.asking = true;
        call.asksOut = 2;
        call.decideAt = now + waitUs;
        awaitingProbes.add(call);
        probe(first, call);
        probe(second, call);
        return true;
    }

    private void probe(Server server, Call call) {
        server.askers.removeIf(c -> !c.asking); // They would pile up if a probe result got lost.
        server.askers.add(call);
        if (!server.asked) {
            server.asked = true;
            actions.probe(server.id);
        }
    }

    /** Sends or defers the requests whose probes have had no result in time. */
    private void endExpiredProbeWaits() {
        while (!awaitingProbes.isEmpty()
                && (!awaitingProbes.peek().asking || awaitingProbes.peek().decideAt <= now)) {
            Call call = awaitingProbes.poll();
            if (call.asking) {
                call.asking = false;
                sendOrDefer(call);
            }
        }
    }

    private Server pickByZone(Call call) {
        Server server = pickOfTwo(call, localZone);
        if (localZone == allZones) {
            return server;
        }
        // Extension (zones): if crossing zones has a price, both samples are local. A pick from all zones
        // wins only if the local one is at its limit, has more errors or 2 more requests in flight.
        if (server != null && server.inFlight < SPILL_IN_FLIGHT && server.errors == 0) {
            return server;
        }
        Server other = pickOfTwo(call, allZones);
        return server == null || other != null && (other.inFlight + SPILL_IN_FLIGHT <= server.inFlight
                || other.errors < server.errors) ? other : server;
    }

    private Server pickOfTwo(Call call, Pool pool) {
        Server first = sample(call, pool, null);
        Server second = first == null ? null : sample(call, pool, first);
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
        return 1 + (server.pace - 1) * Math.exp(-(now - server.paceAt) / decayUs);
    }

    private void updateRelativeLatency(Server server, double sample) {
        double previous = relativeLatency(server);
        server.pace = previous + SERVER_SMOOTHING * (sample - previous);
        server.paceAt = now;
    }

    /** Samples one server by weight among those that may be sent to, without {@code excluded}, or null. */
    private Server sample(Call call, Pool pool, Server excluded) {
        Server[] servers = pool.servers;
        if (weightsStale) {
            recomputeWeights();
        }
        for (int i = 0; i <= MAX_RESAMPLES && servers.length > 0; i++) {
            Server server = servers[sampleIndex(pool)];
            if (server != excluded && maySend(call, server)) {
                return server;
            }
        }
        // Most are at their limit: one pass, in which each server replaces the pick with the probability
        // of its share of the weight so far.
        Server picked = null;
        double totalWeight = 0;
        for (Server server : servers) {
            if (server != excluded && maySend(call, server)) {
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
            maxErrors = Math.max(maxErrors, server.errors);
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
        return server.size * Math.ceil(maxErrorFactor / (1 + server.errors));
    }

    /** Fails over to the next server in list order, or defers the request, or ends it. */
    private void failOver(Call call, Server failedServer) {
        if (!mayAttempt(call)) {
            endUnserved(call);
            return;
        }
        List<Server> tried = Arrays.asList(call.servers);
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 1; i <= ready.length; i++) {
                Server next = ready[(failedServer.position + i) % ready.length];
                // Extension (zones): if crossing has a price, local servers without errors come first.
                boolean preferred = next.errors == 0 && (localZone == allZones || isLocal(next));
                if ((preferred || pass > 0) && !tried.contains(next) && maySend(call, next)) {
                    send(call, next);
                    return;
                }
            }
        }
        defer(call);
    }

    // ---------------------------------------------------------------- the deferred queue

    /** Adds a request to the deferred queue: by priority, first come first served among equals. */
    private void defer(Call call) {
        call.waiting = true;
        int index = deferredQueue.size();
        while (index > 0 && BY_PRIORITY.compare(deferredQueue.get(index - 1), call) > 0) {
            index--;
        }
        deferredQueue.add(index, call);
    }

    /**
     * Sends deferred requests as far as the servers have capacity and ends those without enough time left.
     * Extension (deferral): a request that no server has seen after half of its time is refused, while its
     * client can still try another node.
     */
    private void serveDeferred() {
        if (deferredQueue.isEmpty()) {
            return;
        }
        int keptCount = 0;
        boolean[] noServerForClass = new boolean[settings.classes.size()];
        boolean needsSort = false;
        for (int i = 0; i < deferredQueue.size(); i++) {
            Call call = deferredQueue.get(i);
            if (!call.waiting) {
                continue;
            }
            boolean expectedLate = call.aimAt - now < Math.min(LATE_MAX_SHARE * (call.aimAt - call.arrivedAt),
                    LATE_MEAN_LATENCIES * meanLatencyUs[call.request.classIndex()]);
            if (call.deadlineAt - now <= queueScanUs + settings.tickUs
                    || expectedLate && call.cls.lateWorth() == 0
                    || call.binding() < 0 && now + queueScanUs >= call.refuseAt || !mayAttempt(call)) {
                call.waiting = false;
                endUnserved(call);
                continue;
            }
            if (expectedLate && !call.late) {
                call.late = true;
                call.value *= call.cls.lateWorth();
                needsSort = true;
                deferredQueue.set(keptCount++, call);
                continue;
            }
            int classIndex = call.request.classIndex();
            Server server = noServerForClass[classIndex] ? null : pickServer(call);
            if (server != null) {
                call.waiting = false;
                send(call, server);
            } else {
                // A request without attempts may go to any server that its class may use: if it finds none,
                // nor does the next one of its class.
                noServerForClass[classIndex] |= call.attempts == 0;
                deferredQueue.set(keptCount++, call);
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
     * as the measure of work. Uses up quota of the tenant.
     */
    private double queuePriority(Call call) {
        double utility = call.cls.worth();
        int tenant = call.request.tenant();
        double nodeQuotaPerS = tenant < 0 ? 0 : settings.tenants.get(tenant).quotaPerS() / settings.nodes;
        if (nodeQuotaPerS > 0) {
            double maxTokens = Math.max(1, nodeQuotaPerS * QUOTA_BURST_S);
            double refillS = quotaUsedAt[tenant] == 0 ? QUOTA_BURST_S : (now - quotaUsedAt[tenant]) / 1e6;
            quotaUsedAt[tenant] = now;
            quotaTokens[tenant] = Math.min(maxTokens, quotaTokens[tenant] + nodeQuotaPerS * refillS);
            if (quotaTokens[tenant] >= 1) {
                quotaTokens[tenant]--;
            } else {
                utility *= settings.overShareWorth;
            }
        }
        call.worth = utility;
        meanUtility += smoothing(++utilitySamples) * (utility - meanUtility);
        return settings.worthByWork ? utility
                : utility / Math.max(1, meanLatencyUs[call.request.classIndex()]);
    }

    // ---------------------------------------------------------------- concurrency limits

    /**
     * Extension (concurrency limits): the limit of a server grows with a response well within the latency
     * target if the limit was reached while that request was in flight. It shrinks with slow responses and
     * timeouts. It matters only if a pick would exceed the limit of the server, or the node the sum of all
     * limits (with many nodes, the part of each in the limit of a server is below one).
     */
    private void adaptLimit(Call call, int attempt, Outcome outcome) {
        Server server = call.servers[attempt];
        double previousLimit = server.limit;
        if (outcome.result() == Result.OK) {
            int classIndex = call.request.classIndex();
            // Skips all responses under event-loop lag: keeping only the clearly slow ones biases the mean.
            meanLatencyUs[classIndex] += outcome.stallUs() > queueScanUs ? 0
                    : smoothing(++latencySamples[classIndex])
                            * (outcome.servedUs() - meanLatencyUs[classIndex]);
            // The mean of a few responses is random; until there are more, only the latency target counts.
            minMeanLatencyUs[classIndex] = latencySamples[classIndex] * MEAN_SMOOTHING < 0.5
                    ? Double.MAX_VALUE
                    : Math.min(minMeanLatencyUs[classIndex] * MIN_LATENCY_DRIFT, meanLatencyUs[classIndex]);
            double slowFromUs = Math.min(SLOW_TARGET_SHARE * call.aimUs,
                    SLOW_LATENCY_FACTOR * minMeanLatencyUs[classIndex]);
            servedGapUs += smoothing(++servedCount) * (now - lastServedAt - servedGapUs);
            lastServedAt = now;
            if (outcome.servedUs() <= slowFromUs) {
                // A server in slow start gets few requests and responds fast: with a limit above the others',
                // all nodes together would overload it as soon as slow start ends.
                server.limit += server.wantedAt >= call.sentAt[attempt]
                        && (!isInSlowStart(server) || server.limit * ready.length < limitSum)
                        ? limitIncrease : 0;
            } else {
                decreaseLimit(call, attempt, limitDecrease);
            }
        } else if (outcome.result() == Result.TIMEOUT) {
            decreaseLimit(call, attempt, LIMIT_TIMEOUT_DECREASE);
        }
        if (isInUse(server)) {
            limitSum += server.limit - previousLimit;
        }
    }

    /** Lowers the limit of a server, only once for all attempts sent before the last decrease. */
    private void decreaseLimit(Call call, int attempt, double decrease) {
        Server server = call.servers[attempt];
        if (call.sentAt[attempt] >= server.limitCutAt) {
            server.limit = Math.max(1.0 / settings.nodes, server.limit * (1 - decrease));
            server.limitCutAt = now;
        }
    }

    /** Whether an attempt at a server would be throttled or exceed a limit; records a reached limit. */
    private boolean isOverLimit(Server server) {
        if (isThrottled()) {
            return true;
        }
        // The sum guards against a pause, when all that the limits allow is in flight at once. The allowance
        // shrinks with the on-time ratio, to 0 at a half: bursts make an overloaded fleet collapse.
        double burstAllowance = LIMIT_SUM_BURST * Math.max(0, 2 * onTimeRatio - 1) * Math.sqrt(limitSum);
        if (isAtLimit(server) || totalInFlight > 0 && totalInFlight + 1 > limitSum + burstAllowance) {
            server.wantedAt = now;
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

    private void send(Call call, Server server) {
        // Read before this attempt counts, because the window starts with an earlier one.
        long sendByUs = call.repeatableUntil();
        int attempt = call.attempts++;
        sendTokens = Math.max(0, sendTokens - 1);
        call.servers[attempt] = server;
        call.sentAt[attempt] = now;
        call.outstanding++;
        server.inFlight++;
        if (server.zone >= 0) {
            zoneLastSentAt[server.zone] = now;
            zoneUnansweredSince[server.zone] = zoneUnansweredSince[server.zone] == 0
                    ? now : zoneUnansweredSince[server.zone];
        }
        totalInFlight += isInUse(server) ? 1 : 0;
        lastServedAt = lastServedAt == 0 ? now : lastServedAt;
        if (isInSlowStart(server)) {
            server.coldSentAt = now;
            server.coldPhase = 1;
        }
        long untilUs = attemptDeadline(call);
        if (server.misses[call.request.classIndex()] > 0) {
            ejectForClass(server, call.request.classIndex());
            untilUs = Math.min(untilUs, suspectClassDeadline(call));
        }
        actions.send(call.request.id(), server.id, untilUs, sendByUs);
    }

    /** Extension (time-out at the aim): an attempt ends once its response would earn nothing any more. */
    private long attemptDeadline(Call call) {
        return call.cls.lateWorth() > 0 || clientRetriesFailures(call.cls) || call.cls.stream()
                ? call.deadlineAt : call.aimAt;
    }

    /** Bounds an attempt at a server that just failed its class, to leave time for a retry elsewhere. */
    private long suspectClassDeadline(Call call) {
        long halfLeftUs = (call.aimAt - now) / 2;
        return call.cls.repeat() == Repeat.UNSAFE || halfLeftUs <= 0 ? Long.MAX_VALUE
                : now + Math.max(halfLeftUs,
                        (long) (LATE_MEAN_LATENCIES * meanLatencyUs[call.request.classIndex()]));
    }

    /** Whether clients also retry after a failure, and not only after a refusal. */
    private static boolean clientRetriesFailures(RequestClass cls) {
        return cls.repeat() == Repeat.SAFE || cls.repeat() == Repeat.KEYED && cls.group() == Group.ALL;
    }

    // ---------------------------------------------------------------- final responses and permitted attempts

    /** Ends a request without a response from a server: refuses it if a retry has no second effect. */
    private void endUnserved(Call call) {
        boolean retryIsHarmless = switch (call.cls.repeat()) {
            case SAFE -> true;
            case KEYED -> call.binding() < 0 || call.cls.group() == Group.ALL;
            case UNSAFE -> call.binding() < 0;
        };
        // A refusal makes clients retry that wouldn't retry a failure; without utility that is wasted work.
        if (retryIsHarmless && (clientRetriesFailures(call.cls) || !hasNoUtilityLeft(call))) {
            actions.refuse(call.request.id(), retryAfterUs());
        } else {
            actions.fail(call.request.id());
        }
        finish(call);
    }

    /** Returns the time in which the deferred requests and one more should be served, up to the maximum. */
    private long retryAfterUs() {
        return (long) Math.min(settings.maxRetryAfterUs, (deferredQueue.size() + 1) * expectedServedGapUs());
    }

    /** Returns the mean time between served attempts, or a longer one once none has been served for long. */
    private double expectedServedGapUs() {
        return Math.max(servedGapUs, MEAN_SMOOTHING * (now - lastServedAt));
    }

    private void finish(Call call) {
        call.ended = true;
        call.waiting = false;
        call.asking = false;
        for (int i = 0; i < call.attempts && call.outstanding > 0 && settings.cancel; i++) {
            if (call.results[i] == null) {
                actions.cancel(call.request.id(), i);
            }
        }
        removeIfFinished(call);
    }

    private void removeIfFinished(Call call) {
        if (call.ended && call.outstanding == 0) {
            calls.remove(call.request.id());
        }
    }

    /** Whether another attempt is permitted and useful, at whichever server. */
    private boolean mayAttempt(Call call) {
        return call.attempts < settings.maxAttempts && now < call.deadlineAt && !call.streaming
                && !hasNoUtilityLeft(call) && now <= call.repeatableUntil();
    }

    /** Whether a server may get the next attempt: not ejected, silent or at its limit, and permitted. */
    private boolean maySend(Call call, Server server) {
        return !server.ejected && now >= server.outUntil[call.request.classIndex()]
                && !isZoneSilent(server, meanLatencyUs[call.request.classIndex()])
                && !hasJustTried(call, server) && !isOverLimit(server) && isAllowed(call, server);
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

    /** Whether the request went there less than a mean latency ago: quick failures use up its attempts. */
    private boolean hasJustTried(Call call, Server server) {
        for (int i = 0; i < call.attempts; i++) {
            if (call.servers[i] == server
                    && now < call.sentAt[i] + meanLatencyUs[call.request.classIndex()]) {
                return true;
            }
        }
        return false;
    }

    /** Whether the server list, the slow start budget and the group of a keyed request permit a send. */
    private boolean isAllowed(Call call, Server server) {
        if (server.state != ServerState.READY
                || isInSlowStart(server) && now < server.coldSentAt + slowStartGapUs(server)) {
            return false;
        }
        int binding = call.cls.repeat() == Repeat.KEYED ? call.binding() : -1;
        return binding < 0 || switch (call.cls.group()) {
            case ALL -> true;
            case ZONE -> server.zone == call.servers[binding].zone;
            case CELL -> server.cell == call.servers[binding].cell;
        };
    }

    private boolean isInSlowStart(Server server) {
        return server.startedAt > 0 && now < server.startedAt + settings.coldUs;
    }

    /**
     * Extension (slow start): returns the least time between two sends to a server in slow start. One unit is
     * the server's part, by nominal sizes, of the attempts served to this node, times the share of its
     * capacity that it has by now. Arriving requests are no measure, as retries multiply them under
     * congestion; nor are current weights, which are several times too large for an idle server. All nodes
     * together may send {@link Settings#fallMultiple} units; each uses {@link #SLOW_START_BUDGET_SHARE} of
     * that, evenly spaced, the first after a random part of the interval.
     */
    private long slowStartGapUs(Server server) {
        double progress = Math.max(0, now - server.startedAt) / (double) settings.coldUs;
        double capacityShare = settings.coldFrom + (1 - settings.coldFrom) * Math.min(1, progress);
        // A node that has just started has seen only current weights, which may be lowered by load.
        double sizeShare = Math.min(server.nominal / Math.max(server.nominal, totalNominalSize),
                MAX_SIZE_RATIO / Math.max(1, ready.length));
        double budgetUnits = Math.max(1, SLOW_START_BUDGET_SHARE * settings.fallMultiple);
        return (long) (server.coldPhase * expectedServedGapUs() / (sizeShare * capacityShare * budgetUnits));
    }
}
