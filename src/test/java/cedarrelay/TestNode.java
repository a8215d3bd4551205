package cedarrelay;

import java.util.ArrayList;
import java.util.List;

import cedarrelay.Balancer.Actions;
import cedarrelay.Balancer.DeduplicationScope;
import cedarrelay.Balancer.ListKind;
import cedarrelay.Balancer.Outcome;
import cedarrelay.Balancer.Request;
import cedarrelay.Balancer.RequestClass;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.RetrySafety;
import cedarrelay.Balancer.ServerEntry;
import cedarrelay.Balancer.ServerState;
import cedarrelay.Balancer.Settings;
import cedarrelay.Balancer.Tenant;

/**
 * A proxy node for tests of the decision module: a {@link Balancer} with a manual clock, whose actions are
 * recorded instead of carried out.
 */
final class TestNode implements Actions {
    // Indexes of the request classes in settings().
    static final int SAFE = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int UNSAFE = 4;

    /**
     * An attempt that the balancer has started.
     *
     * @param sentAtUs when it was started
     * @param requestId the request
     * @param attempt its number, from 0
     * @param serverId the server
     * @param untilUs when it is to be abandoned
     * @param sendByUs by when it must be written completely; {@link Actions#NO_SEND_DEADLINE} means at any
     *     time
     */
    record SentAttempt(long sentAtUs, long requestId, int attempt, String serverId, long untilUs,
            long sendByUs) { }

    final Settings settings;
    final List<SentAttempt> sent = new ArrayList<>();
    /** Ids of the requests that were refused. */
    final List<Long> refused = new ArrayList<>();
    /** The retry delay advised with each refusal, in the order of {@link #refused}; 0 for none. */
    final List<Long> retryAdviceUs = new ArrayList<>();
    /** Ids of the requests that failed. */
    final List<Long> failed = new ArrayList<>();
    /** Cancelled attempts, each as request id, slash, attempt number. */
    final List<String> cancelled = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    /** Servers in the order in which they were probed, since this list was last cleared. */
    final List<String> probedServers = new ArrayList<>();
    /** How many times the server list was requested. */
    int subscriptions;
    long nowUs = 1_000_000;
    private final List<Long> wakeTimesUs = new ArrayList<>();
    private long nextRequestId = 1;
    Balancer balancer;

    TestNode(Settings settings, long seed) {
        this.settings = settings;
        balancer = new ServiceQBalancer(settings, seed, this);
    }

    TestNode() {
        this(settings(), 7);
    }

    /**
     * Settings with two zones, one tenant without a quota and five classes of requests, whose indexes are the
     * constants above. A response after the latency target has no utility; attempts may be cancelled and run
     * in parallel; probes are not allowed.
     */
    static Settings settings() {
        Settings settings = new Settings();
        settings.zones.add("here");
        settings.zones.add("there");
        settings.classes.add(requestClass("safe", RetrySafety.SAFE, DeduplicationScope.ALL));
        settings.classes.add(requestClass("keyed-all", RetrySafety.KEYED, DeduplicationScope.ALL));
        settings.classes.add(requestClass("keyed-zone", RetrySafety.KEYED, DeduplicationScope.ZONE));
        settings.classes.add(requestClass("keyed-cell", RetrySafety.KEYED, DeduplicationScope.CELL));
        settings.classes.add(requestClass("unsafe", RetrySafety.UNSAFE, DeduplicationScope.ALL));
        settings.tenants.add(new Tenant("tenant", 0));
        settings.maxAttempts = 4;
        settings.allowParallelAttempts = true;
        settings.allowCancel = true;
        return settings;
    }

    /** A class with a latency target of 200 ms, a deadline of 1 s and a deduplication window of 400 ms. */
    static RequestClass requestClass(String name, RetrySafety retrySafety, DeduplicationScope scope) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, retrySafety, scope, 400_000, false);
    }

    /**
     * Settings under which a response after the latency target still has half its utility, so that requests
     * are sent even after the target.
     */
    static Settings settingsWithLateUtility() {
        Settings settings = settings();
        settings.classes.replaceAll(original -> new RequestClass(original.name(),
                original.latencyTargetUs(), 0, original.deadlineUs(), original.utility(), 0.5,
                original.retrySafety(), original.deduplicationScope(),
                original.deduplicationWindowUs(), original.streamed()));
        return settings;
    }

    /** A warm server of weight 1 in this node's zone that takes requests. */
    static ServerEntry readyServer(String id) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, 0);
    }

    /** Delivers the first list, of {@code count} warm servers s0, s1, ... in one zone and cell. */
    TestNode withServers(int count) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(readyServer("s" + i));
        }
        return updateServers(ListKind.CACHED, entries);
    }

    /** Delivers a server list or changes of it. */
    TestNode updateServers(ListKind kind, List<ServerEntry> entries) {
        balancer.onServers(nowUs, kind, entries);
        return this;
    }

    /** Submits a request whose client waits for one second; returns its id. */
    long submit(int classIndex) {
        return submit(classIndex, 1_000_000);
    }

    /** Submits a request whose client waits for {@code remainingUs}; returns its id. */
    long submit(int classIndex, long remainingUs) {
        return submit(classIndex, 0, remainingUs);
    }

    /** Submits a request of a tenant, given by its index; returns its id. */
    long submit(int classIndex, int tenantIndex, long remainingUs) {
        long id = nextRequestId++;
        balancer.onRequest(nowUs, new Request(id, classIndex, tenantIndex, remainingUs, 0, false));
        return id;
    }

    /** The latest attempt of a request, or null if none was sent. */
    SentAttempt latestAttempt(long requestId) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).requestId == requestId) {
                return sent.get(i);
            }
        }
        return null;
    }

    int attemptCount(long requestId) {
        return (int) sent.stream().filter(attempt -> attempt.requestId == requestId).count();
    }

    /** How many attempts were sent to a server. */
    long attemptsTo(String serverId) {
        return sent.stream().filter(attempt -> attempt.serverId.equals(serverId)).count();
    }

    /** Advances the clock by {@code afterUs}, then reports the outcome of a request's latest attempt. */
    void completeAttempt(long requestId, Result result, long afterUs) {
        advanceClock(afterUs);
        SentAttempt attempt = latestAttempt(requestId);
        balancer.onOutcome(nowUs, new Outcome(requestId, attempt.attempt, result, nowUs - attempt.sentAtUs,
                result == Result.OK, null));
    }

    /** Submits a request and completes its first attempt after {@code afterUs}; returns its server. */
    String submitAndComplete(int classIndex, Result result, long afterUs) {
        long id = submit(classIndex);
        String serverId = latestAttempt(id).serverId;
        completeAttempt(id, result, afterUs);
        return serverId;
    }

    /** Reports a timeout for every pending probe. */
    void timeOutProbes() {
        List<String> pending = new ArrayList<>(probedServers);
        probedServers.clear();
        pending.forEach(serverId -> balancer.onProbe(nowUs, serverId, Result.TIMEOUT, 60_000, null));
    }

    /** Advances the clock and calls {@link Balancer#onWake} at each wake-up time on the way. */
    void advanceClock(long durationUs) {
        long untilUs = nowUs + durationUs;
        while (true) {
            long firstUs = wakeTimesUs.stream().mapToLong(atUs -> atUs).min().orElse(Long.MAX_VALUE);
            if (firstUs > untilUs) {
                break;
            }
            wakeTimesUs.remove(firstUs);
            nowUs = Math.max(nowUs, firstUs);
            balancer.onWake(nowUs);
        }
        nowUs = untilUs;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs, long sendByUs) {
        sent.add(new SentAttempt(nowUs, requestId, attemptCount(requestId), serverId, untilUs, sendByUs));
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        refused.add(requestId);
        retryAdviceUs.add(retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
    }

    @Override
    public void wakeAt(long atUs) {
        wakeTimesUs.add(atUs);
    }

    @Override
    public void probe(String serverId) {
        probedServers.add(serverId);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
