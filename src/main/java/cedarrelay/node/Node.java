package cedarrelay.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import cedarrelay.Balancer;
import cedarrelay.Balancer.ListKind;
import cedarrelay.Balancer.Outcome;
import cedarrelay.Balancer.RetrySafety;
import cedarrelay.Balancer.Request;
import cedarrelay.Balancer.RequestClass;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.ServerEntry;
import cedarrelay.Balancer.ServerState;
import cedarrelay.ServiceQBalancer;
import cedarrelay.node.Metrics.Counter;
import cedarrelay.node.Metrics.Maximum;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Connects the sockets of a node with its decision module, of which it is the only caller. It keeps the
 * pending requests and their attempts, provides the clock and the timers, and reports what happens on the
 * connections as outcomes. It makes no load-balancing decisions. All methods run on one event loop.
 */
final class Node implements Balancer.Actions, Discovery.Listener {
    private static final Logger LOG = System.getLogger(Node.class.getName());

    /** The decision module's deadline is this much before the client's, or the time left divided by
     * {@link #RESPONSE_MARGIN_DIVISOR} if that is less: time for the response to travel, timer delays, and a
     * busy processor after a start. */
    private static final long RESPONSE_MARGIN_US = 25_000;
    private static final int RESPONSE_MARGIN_DIVISOR = 8;
    /** Before a request that has waited this long is sent, its client's connection is checked. */
    private static final long CLIENT_CHECK_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long PROBE_TIMEOUT_US = 250_000;
    /** Short, because calls for a pushed list are free and changes during the gap count as notified. */
    private static final long WATCH_RETRY_DELAY_MS = 50;
    /** The requests of a busy node in a few seconds, far longer than a duplicate takes to arrive. */
    private static final int MAX_FINISHED_IDS = 4_096;
    /** Tolerated pause of the process between reading its clock and the write. */
    private static final long PAUSE_TOLERANCE_US = 150_000;
    /** Maximum number of draining or removed servers named in one log line. */
    private static final int MAX_LOGGED_SERVERS = 12;
    /** A new maximum of the send delay or of the event-loop lag is logged from this value on. */
    private static final long LOGGED_DELAY_MS = 100;
    /** On a slow machine an incomplete warm-up is better than a node that stays unavailable. */
    private static final long MAX_WARM_UP_MS = 1_500;

    private final Config config;
    private final EventLoop loop;
    private final Balancer balancer;
    private final SocketLimiter socketLimiter;
    private final ServerPool pool;
    private final MembershipGate gate;
    private final Discovery discovery;
    private final ClientListener clientListener;
    private final GracefulShutdown shutdown;
    private final EventLoopLag loopLag;
    private final Metrics metrics = new Metrics();
    private final long startedNs = System.nanoTime();
    private final long clockOriginNs = System.nanoTime();
    /** Unix time at the start. The clock then follows the monotonic clock only, so that a server's boot time
     * always converts to the same value: a different one would look like a restart. */
    private final long clockOriginUs = 1_000 * System.currentTimeMillis();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    /** Ids of finished requests that servers may have executed, newest last. A duplicate that races with the
     * response is recognized by its id and not executed as a new request. */
    private final Set<Long> finishedIds = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_FINISHED_IDS;
        }
    });
    private final Map<String, Integer> zoneIndexes = new HashMap<>();
    private final Deque<BalancerCall> queuedCalls = new ArrayDeque<>();
    private boolean inBalancerCall;
    private boolean isWarmUpNode;
    private boolean warmUpDone;
    private boolean listInUse;
    private boolean watchFailing;
    private long listRevision;
    private Runnable onReady;
    private ScheduledFuture<?> wakeTimer;

    /** A queued call of the decision module, and the request it concerns, or null. */
    private record BalancerCall(PendingRequest request, Runnable action) { }

    /** A request from its arrival until it has its response and none of its attempts is open. */
    private final class PendingRequest {
        private final Exchange exchange;
        private final long id;
        /** The decision module's deadline; the client's is later. */
        private final long deadlineUs;
        private final List<PendingAttempt> attempts = new ArrayList<>(2);
        /** Fails the request at the client's deadline. */
        private ScheduledFuture<?> deadlineTimer;
        private int openAttempts;
        private boolean finished;

        PendingRequest(Exchange exchange, long deadlineUs) {
            this.exchange = exchange;
            this.id = exchange.request().id();
            this.deadlineUs = deadlineUs;
        }

        /**
         * Whether the client still waits for the response. Once the request has waited for a while, this
         * checks the connection itself, since a lagging event loop may not have processed the disconnect
         * yet; if the client has disconnected, the request ends.
         */
        boolean isClientWaiting() {
            if (!finished && System.nanoTime() - exchange.arrivedNs() > CLIENT_CHECK_AFTER_NS
                    && !exchange.isClientWaiting()) {
                // The connection reports its end only in a later task of the event loop.
                finish();
            }
            return !finished;
        }

        /** Marks that no response is owed any more and abandons attempts that still wait for a connection. */
        void finish() {
            finished = true;
            deadlineTimer.cancel(false);
            for (PendingAttempt attempt : new ArrayList<>(attempts)) {
                if (attempt.poolAttempt != null && !attempt.poolAttempt.hasConnection()) {
                    attempt.poolAttempt.abandon(Result.NOT_SENT);
                }
            }
            removeIfDone();
        }

        void removeIfDone() {
            if (finished && openAttempts == 0) {
                pendingRequests.remove(id, this);
                if (!attempts.isEmpty()) {
                    Node.this.finishedIds.add(id);
                }
            }
        }
    }

    /** An attempt of a pending request at one server. */
    private final class PendingAttempt implements ServerPool.AttemptOwner {
        private final PendingRequest request;
        private final int number;
        private final String serverId;
        private final long decidedUs;
        private final long timeoutAtUs;
        private final long sendByUs;
        private ServerPool.Attempt poolAttempt;
        private ScheduledFuture<?> timeoutTimer;
        private ScheduledFuture<?> sendByTimer;
        /** Upper bound of the event-loop lag in the latency of the attempt. */
        private long lagUs;
        private Result result;
        private boolean ended;

        PendingAttempt(PendingRequest request, int number, String serverId, long decidedUs,
                long timeoutAtUs, long sendByUs) {
            this.request = request;
            this.number = number;
            this.serverId = serverId;
            this.decidedUs = decidedUs;
            this.timeoutAtUs = timeoutAtUs;
            this.sendByUs = sendByUs;
        }

        @Override
        public boolean isStillWanted() {
            return nowUs() < timeoutAtUs && nowUs() <= sendByUs && request.isClientWaiting();
        }

        @Override
        public FullHttpRequest createRequest() {
            // The request may have waited for a connection; event-loop lag until now isn't server latency.
            lagUs = Math.min(loopLag.lagUs(), nowUs() - decidedUs);
            metrics.increment(Counter.ATTEMPTS_WRITTEN);
            recordSendDelay(this);
            checkInvariants();
            return request.exchange.request().toServerRequest(timeoutAtUs - nowUs());
        }

        /** Counts violations of what must hold at each first byte; all of it has been checked before. */
        private void checkInvariants() {
            if (isWarmUpNode) {
                return;
            }
            String attemptName = "request " + hex(request.id) + " attempt " + number + " to " + serverId;
            if (!listInUse) {
                metrics.recordViolation(Counter.VIOLATIONS_SEND_BEFORE_LIST, attemptName);
            }
            if (!pool.acceptsRequests(serverId)) {
                metrics.recordViolation(Counter.VIOLATIONS_SEND_TO_DRAINING, attemptName);
            }
            long now = nowUs();
            if (request.finished || now - timeoutAtUs > PAUSE_TOLERANCE_US
                    || now - sendByUs > PAUSE_TOLERANCE_US) {
                metrics.recordViolation(Counter.VIOLATIONS_SEND_PAST_END, attemptName);
            }
            if (couldRunTwice()) {
                metrics.recordViolation(Counter.VIOLATIONS_REPEAT, attemptName);
            }
        }

        /**
         * Whether this attempt could run the request twice although its class is not safe: an earlier
         * attempt is still open or, if the class forbids a retry, may have run.
         */
        private boolean couldRunTwice() {
            RetrySafety retrySafety = config.settings().classes
                    .get(request.exchange.request().classIndex()).retrySafety();
            return retrySafety != RetrySafety.SAFE
                    && request.attempts.stream().limit(number).anyMatch(earlier ->
                    earlier.result == null || retrySafety == RetrySafety.UNSAFE && !earlier.result.neverRan);
        }

        @Override
        public void onResult(Result result, ServerResponse response) {
            ended = true;
            this.result = result;
            request.openAttempts--;
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            if (sendByTimer != null) {
                sendByTimer.cancel(false);
            }
            if (result == Result.OK && !request.finished) {
                request.exchange.respond(response);
                recordEnd(request, Counter.REQUESTS_SERVED, "served by " + serverId);
                request.finish();
            }
            request.removeIfDone();
            long tookUs = nowUs() - decidedUs;
            if (result == Result.NOT_SENT) {
                metrics.increment(Counter.ATTEMPTS_NOT_SENT);
            }
            LOG.log(Level.DEBUG, () -> "request " + hex(request.id) + " attempt " + number + " at " + serverId
                    + " ended with " + result + " after " + tookUs / 1_000 + " ms");
            lagUs = Math.min(lagUs + loopLag.lagUs(), tookUs);
            callBalancer(request, () -> balancer.onOutcome(nowUs(),
                    new Outcome(request.id, number, result, tookUs, request.finished, null, lagUs)));
        }
    }

    /**
     * Creates a node that has opened no sockets yet.
     *
     * @throws IllegalArgumentException if the decision module rejects the settings
     */
    Node(Config config, EventLoop loop) {
        this.config = config;
        this.loop = loop;
        config.settings().zones.forEach(z -> zoneIndexes.put(z, zoneIndexes.size()));
        balancer = new ServiceQBalancer(config.settings(), config.seed(), this);
        loopLag = new EventLoopLag(loop);
        socketLimiter = new SocketLimiter(config.maxDescriptors());
        gate = new MembershipGate(loop, metrics, !config.settings().listOnRequest,
                config.settings().drainGraceUs, loopLag::lagUs, this::resume);
        pool = new ServerPool(loop, socketLimiter, config.settings().connectTimeoutUs,
                config.serverIdleTimeoutUs(), ServerPool.QUARANTINE_US, gate::mayWrite,
                new DuplicateResponseDetector(() -> metrics.increment(Counter.RESPONSES_DUPLICATE)));
        clientListener = new ClientListener(loop, socketLimiter, loopLag,
                new ClientRequest.Parser(config.settings()), this::acceptRequest, metrics);
        shutdown = new GracefulShutdown(loop, clientListener, config.settings().classes.stream()
                .mapToLong(RequestClass::deadlineUs).max().orElse(0));
        discovery = new Discovery(loop, config.discovery(), config.knownServers().revision(),
                config.settings().listOnRequest ? DiscoveryTimeouts.ON_REQUEST : DiscoveryTimeouts.PUSHED,
                this);
    }

    /**
     * Subscribes to the server list, listens for clients and serves. The node is ready after its warm-up and
     * once a list is in use: the known list with the changes from discovery, or the known list alone if
     * discovery has sent nothing within {@code listWaitMs}.
     *
     * @param warmUpRequests number of requests of the warm-up
     * @param listWaitMs how long to wait for discovery's list, in milliseconds
     * @param whenReady runs when the node is ready
     * @return completes when the listening socket is bound, or with the error
     */
    ChannelFuture start(EventLoopGroup group, int warmUpRequests, long listWaitMs, Runnable whenReady) {
        // Before clients can connect: event-loop lag during the start also counts as their waiting time.
        loopLag.start();
        discovery.subscribe();
        loop.schedule(() -> {
            // If the event loop lags, discovery's response may not have been read yet.
            discovery.readAvailable();
            useFirstList(ListKind.CACHED, config.knownServers());
        }, listWaitMs, TimeUnit.MILLISECONDS);
        onReady = whenReady;
        ChannelFuture binding = clientListener.listen(group, config.listen());
        binding.addListener(done -> {
            if (done.isSuccess()) {
                // The first log line opens files of the runtime. Written later, without free descriptors, it
                // would throw an Error in the event loop, which nothing would handle.
                LOG.log(Level.INFO,
                        "listening on {0}, random seed {1}, known server list: revision {2}, {3} servers",
                        binding.channel().localAddress(), Long.toHexString(config.seed()),
                        Long.toString(config.knownServers().revision()),
                        config.knownServers().entries().size());
                String token = Long.toHexString(new SplittableRandom(config.seed()).nextLong());
                clientListener.setWarmUpToken(token);
                new WarmUp(loop, config, (InetSocketAddress) binding.channel().localAddress(), token,
                        warmUpRequests, MAX_WARM_UP_MS, () -> {
                            warmUpDone = true;
                            reportIfReady();
                        }).run();
            }
        });
        return binding;
    }

    /**
     * Puts the first list into use. The known list is used only if discovery doesn't respond: changes that
     * discovery's agent on this machine has received count as notified from the start, and the known list may
     * lack them.
     */
    private void useFirstList(ListKind kind, ServerList list) {
        if (!listInUse) {
            gate.setSource(discovery);
            applyList(kind, list);
            listInUse = true;
            reportIfReady();
        }
    }

    private void reportIfReady() {
        if (warmUpDone && listInUse) {
            LOG.log(Level.INFO, "ready {0} ms after the start",
                    Long.toString(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs)));
            clientListener.setReady();
            onReady.run();
        }
    }

    /** Counts an error after which the event loop went on. */
    void recordLoopError() {
        metrics.increment(Counter.EVENT_LOOP_ERRORS);
    }

    /** Applies what may change while the node runs: the address of discovery. */
    void reload(Config newConfig) {
        discovery.moveTo(newConfig.discovery());
    }

    /** Starts as a warm-up node: uses the configured list, has no listening address and no subscription. */
    void startAsWarmUpNode() {
        isWarmUpNode = true;
        applyList(ListKind.CACHED, config.knownServers());
    }

    /** Sets up a client connection without a socket, for the warm-up. */
    void openSocketlessClient(ChannelPipeline pipeline) {
        ClientConnection.open(clientListener, pipeline);
    }

    /** Cancels the timers and closes the connections of a warm-up node. */
    void close() {
        if (wakeTimer != null) {
            wakeTimer.cancel(false);
        }
        pendingRequests.values().forEach(r -> r.deadlineTimer.cancel(false));
        loopLag.close();
        discovery.close();
        pool.close();
    }

    /** The maximum duration of {@link #stop}, in milliseconds. */
    long maxStopMs() {
        return shutdown.maxDurationMs();
    }

    /**
     * Shuts the node down gracefully, and runs {@code done} once all requests have their responses and all
     * connections are closed.
     *
     * @param signalledNs when SIGTERM was received, by {@link System#nanoTime}
     */
    void stop(long signalledNs, Runnable done) {
        LOG.log(Level.INFO, "stopping, {0} requests are pending", pendingRequests.size());
        shutdown.begin(signalledNs, () -> {
            LOG.log(Level.INFO, "stopped: {0}", metrics.summary());
            done.run();
        });
    }

    private long nowUs() {
        return toClockUs(System.nanoTime());
    }

    private long toClockUs(long ns) {
        return clockOriginUs + (ns - clockOriginNs) / 1_000;
    }

    private ScheduledFuture<?> scheduleAt(long us, Runnable task) {
        return loop.schedule(task, Math.max(0, us - nowUs()), TimeUnit.MICROSECONDS);
    }

    /**
     * Calls the decision module, or queues the call while another one runs: the module is not re-entrant, so
     * the immediate results of its own actions (a refused connection, an attempt that is not sent) are
     * reported to it only after the call that caused them.
     */
    private void callBalancer(PendingRequest request, Runnable action) {
        metrics.updateMax(Maximum.LOOP_LAG_MS, loopLag.lagUs() / 1_000);
        if (!inBalancerCall) {
            // Other sockets may be read before the watch although a change of the list has already arrived.
            gate.refresh();
        }
        queuedCalls.add(new BalancerCall(request, action));
        if (inBalancerCall) {
            return;
        }
        inBalancerCall = true;
        try {
            for (BalancerCall call = queuedCalls.poll(); call != null; call = queuedCalls.poll()) {
                run(call);
            }
        } finally {
            inBalancerCall = false;
        }
    }

    /** Runs a call. One that throws must not end the node, and its request still gets a response. */
    private void run(BalancerCall call) {
        try {
            call.action.run();
        } catch (RuntimeException | Error e) {
            // Errors too: memory may run out for one large request and suffice for the next.
            LOG.log(Level.ERROR, "a call of the decision module failed", e);
            if (call.request != null) {
                failRequest(call.request, HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal fault");
            }
        }
    }

    // ---------------------------------------------------------------- clients

    private void acceptRequest(Exchange exchange) {
        ClientRequest request = exchange.request();
        if (pendingRequests.containsKey(request.id()) || finishedIds.contains(request.id())) {
            exchange.fail(HttpResponseStatus.CONFLICT, "a request of this id is in hand or over");
            return;
        }
        long arrivedUs = toClockUs(exchange.arrivedNs());
        long remainingUs = shutdown.limitRemainingUs(exchange.arrivedNs(), request.remainingUs());
        PendingRequest accepted = new PendingRequest(exchange,
                arrivedUs + remainingUs
                        - Math.min(RESPONSE_MARGIN_US, remainingUs / RESPONSE_MARGIN_DIVISOR));
        pendingRequests.put(request.id(), accepted);
        metrics.increment(Counter.REQUESTS_TAKEN);
        LOG.log(Level.DEBUG, () -> "request " + hex(request.id()) + " accepted, class " + request.classIndex()
                + ", " + remainingUs / 1_000 + " ms left");
        accepted.deadlineTimer = scheduleAt(arrivedUs + remainingUs, () -> expire(accepted));
        exchange.onClientDisconnect(() -> onDisconnect(accepted));
        callBalancer(accepted, () -> {
            long now = nowUs();
            balancer.onRequest(now, new Request(request.id(), request.classIndex(), request.tenantIndex(),
                    Math.max(0, accepted.deadlineUs - now), request.workUs(), request.retry(),
                    now - arrivedUs));
        });
    }

    private void onDisconnect(PendingRequest request) {
        recordEnd(request, Counter.REQUESTS_ABANDONED, "client disconnected");
        request.finish();
        callBalancer(request, () -> balancer.onClientDisconnected(nowUs(), request.id));
    }

    /** Fails a request at the client's deadline if the decision module has not ended it before. */
    private void expire(PendingRequest request) {
        if (!request.finished) {
            LOG.log(Level.WARNING, "request {0} has no response at its deadline, failing it",
                    hex(request.id));
            failRequest(request, HttpResponseStatus.GATEWAY_TIMEOUT, "out of time");
            // To the decision module this is the same as a disconnect: no response is needed any more.
            callBalancer(request, () -> balancer.onClientDisconnected(nowUs(), request.id));
        }
    }

    private void failRequest(PendingRequest request, HttpResponseStatus status, String reason) {
        if (!request.finished) {
            request.exchange.fail(status, reason);
            recordEnd(request, Counter.REQUESTS_FAILED, reason);
            request.finish();
        }
    }

    // ---------------------------------------------------------------- actions of the decision module

    @Override
    public void send(long requestId, String serverId, long untilUs, long sendByUs) {
        PendingRequest request = pendingRequests.get(requestId);
        if (request == null) {
            LOG.log(Level.ERROR, "the decision module sent request {0}, which is not pending",
                    hex(requestId));
            return;
        }
        long now = nowUs();
        long timeoutAtUs = untilUs <= 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs);
        PendingAttempt attempt = new PendingAttempt(request, request.attempts.size(), serverId, now,
                timeoutAtUs, sendByUs);
        metrics.increment(Counter.ATTEMPTS_STARTED);
        if (attempt.number > 0) {
            metrics.increment(Counter.ATTEMPTS_RETRIED);
        }
        request.attempts.add(attempt);
        request.openAttempts++;
        if (now >= timeoutAtUs || now > sendByUs) {
            attempt.onResult(Result.NOT_SENT, null);
            return;
        }
        attempt.timeoutTimer = scheduleAt(timeoutAtUs, () -> attempt.poolAttempt.abandon(Result.TIMEOUT));
        attempt.poolAttempt = pool.start(serverId, attempt);
        if (sendByUs < timeoutAtUs && !attempt.ended) {
            attempt.sendByTimer = scheduleAt(sendByUs, attempt.poolAttempt::abandonUnlessFullyWritten);
        }
    }

    @Override
    public void cancel(long requestId, int attemptNumber) {
        PendingRequest request = pendingRequests.get(requestId);
        if (request != null && attemptNumber >= 0 && attemptNumber < request.attempts.size()) {
            PendingAttempt attempt = request.attempts.get(attemptNumber);
            if (!attempt.ended) {
                attempt.poolAttempt.abandon(Result.CANCELLED);
            }
        }
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        PendingRequest request = pendingRequests.get(requestId);
        if (request != null && !request.finished) {
            request.exchange.refuse(retryAfterUs);
            recordEnd(request, Counter.REQUESTS_REFUSED, "refused");
            request.finish();
        }
    }

    @Override
    public void fail(long requestId) {
        PendingRequest request = pendingRequests.get(requestId);
        if (request != null) {
            failRequest(request, HttpResponseStatus.BAD_GATEWAY, "failed");
        }
    }

    @Override
    public void wakeAt(long atUs) {
        // The module has at most one pending wake-up, so a new one replaces the last.
        if (wakeTimer != null) {
            wakeTimer.cancel(false);
        }
        wakeTimer = scheduleAt(atUs, () -> callBalancer(null, () -> balancer.onWake(nowUs())));
    }

    @Override
    public void probe(String serverId) {
        long startedUs = nowUs();
        ServerPool.Attempt[] probe = new ServerPool.Attempt[1];
        ScheduledFuture<?> timer = scheduleAt(startedUs + PROBE_TIMEOUT_US,
                () -> probe[0].abandon(Result.TIMEOUT));
        probe[0] = pool.start(serverId, new ServerPool.AttemptOwner() {
            @Override
            public FullHttpRequest createRequest() {
                FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                        "/health");
                message.headers().set(HttpHeaderNames.HOST, "backend.local");
                return message;
            }

            @Override
            public void onResult(Result result, ServerResponse response) {
                timer.cancel(false);
                long tookUs = nowUs() - startedUs;
                callBalancer(null, () -> balancer.onProbe(nowUs(), serverId, result, tookUs, null));
            }
        });
    }

    @Override
    public void subscribe() {
        if (listInUse) {
            discovery.subscribe();
        } else if (!isWarmUpNode) {
            // The module subscribes when it is given the known list, but start() has done so already: only
            // a subscription that has failed since is renewed.
            discovery.keepSubscribed();
        }
    }

    private void resume() {
        // As a queued call, so that the resulting outcomes are reported after it.
        callBalancer(null, pool::resume);
    }

    @Override
    public void log(String line) {
        LOG.log(Level.INFO, line);
    }

    // ---------------------------------------------------------------- server list

    @Override
    public void onList(ServerList list) {
        if (watchFailing) {
            watchFailing = false;
            LOG.log(Level.INFO, "the watch on the server list works again");
        }
        gate.confirmCurrent();
        if (listInUse) {
            applyList(list.isFull() ? ListKind.FULL : ListKind.CHANGES, list);
        } else {
            useFirstList(ListKind.FULL, config.knownServers().apply(list));
        }
    }

    @Override
    public void onNoResponse(long asOfNs) {
        gate.confirmCurrent(asOfNs);
    }

    @Override
    public void onWatchSilent() {
        metrics.increment(Counter.WATCHES_SILENT);
        logWatchTrouble("the watch on the server list is silent, a second one is opened");
    }

    /** Logs only the first trouble in a row at INFO: while discovery is down, it is called continually. */
    private void logWatchTrouble(String line) {
        LOG.log(watchFailing ? Level.DEBUG : Level.INFO, line);
        watchFailing = true;
    }

    @Override
    public void onWatchFailed(String reason) {
        metrics.increment(Counter.WATCH_FAILURES);
        logWatchTrouble("the watch on the server list failed: " + reason);
        callBalancer(null, () -> balancer.onListFailed(nowUs()));
        if (!config.settings().listOnRequest) {
            loop.schedule(discovery::keepSubscribed, WATCH_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void applyList(ListKind kind, ServerList list) {
        List<ServerEntry> entries = new ArrayList<>();
        for (ServerList.Entry entry : list.entries()) {
            entries.add(new ServerEntry(entry.id(), zoneIndexes.getOrDefault(entry.zone(), -1),
                    entry.cell(), entry.state(), entry.weight(), 1_000 * entry.bootMs()));
        }
        gate.onListReceived();
        callBalancer(null, () -> {
            gate.onListApplied();
            recordList(kind, list);
            pool.update(list);
            balancer.onServers(nowUs(), kind, entries);
        });
    }

    // ---------------------------------------------------------------- log and metrics

    private static String hex(long id) {
        return HexFormat.of().toHexDigits(id);
    }

    /** Counts and logs how a request ends, unless it has ended before. */
    private void recordEnd(PendingRequest request, Counter counter, String reason) {
        if (!request.finished) {
            metrics.increment(counter);
            LOG.log(Level.DEBUG, () -> "request " + hex(request.id) + " ended: " + reason + ", after "
                    + request.attempts.size() + " attempts");
        }
    }

    private void recordSendDelay(PendingAttempt attempt) {
        long delayMs = (nowUs() - attempt.decidedUs) / 1_000;
        long lagMs = loopLag.lagUs() / 1_000;
        boolean isLongestDelay = metrics.updateMax(Maximum.SEND_DELAY_MS, delayMs);
        boolean isLongestLag = metrics.updateMax(Maximum.LOOP_LAG_AT_SEND_MS, lagMs);
        if (isLongestDelay && delayMs >= LOGGED_DELAY_MS || isLongestLag && lagMs >= LOGGED_DELAY_MS) {
            LOG.log(Level.WARNING, "request {0} attempt {1} written to {2} {3} ms after the decision to send"
                    + " it, event-loop lag {4} ms, server list revision {5}", hex(attempt.request.id),
                    attempt.number, attempt.serverId, Long.toString(delayMs), Long.toString(lagMs),
                    Long.toString(listRevision));
        }
    }

    private void recordList(ListKind kind, ServerList list) {
        metrics.increment(Counter.LISTS_APPLIED);
        listRevision = list.revision();
        String notReady = list.entries().stream().filter(entry -> entry.state() != ServerState.READY)
                .limit(MAX_LOGGED_SERVERS).map(entry -> entry.id() + " " + entry.state())
                .collect(Collectors.joining(", "));
        LOG.log(notReady.isEmpty() ? Level.DEBUG : Level.INFO, () -> "server list revision "
                + list.revision() + " (" + kind + "), entries: " + list.entries().size()
                + ", event-loop lag " + loopLag.lagUs() / 1_000 + " ms, not ready: " + notReady);
    }
}
