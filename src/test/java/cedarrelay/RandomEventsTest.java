package cedarrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

/**
 * Runs long random sequences of events with fixed seeds and checks each action of the balancer against its
 * four rules:
 * <ol>
 * <li>each request gets exactly one final response, before the client's deadline;
 * <li>no request is sent again where that could take effect twice;
 * <li>nothing is sent to a draining or removed server;
 * <li>a server in slow start is not overloaded.
 * </ol>
 */
class RandomEventsTest {

    /** An attempt as the checker has recorded it; {@code result} is null while it is pending. */
    private static final class Attempt {
        ServerEntry server;
        long sentAtUs;
        Result result;
    }

    /** When a pending probe will end. */
    private record PendingProbe(long atUs, String serverId) { }

    /** A request as the checker has recorded it. */
    private static final class TrackedRequest {
        RequestClass requestClass;
        long deadlineAtUs;
        boolean ended;
        final List<Attempt> attempts = new ArrayList<>();

        /** The first attempt that the server may have executed, or null. */
        Attempt firstThatMayHaveRun() {
            return attempts.stream().filter(attempt -> attempt.result == null || !attempt.result.neverRan)
                    .findFirst().orElse(null);
        }
    }

    /** Stands in for a node and fails the test on the first action that violates a rule. */
    private static final class RuleChecker implements Balancer.Actions {
        final SplittableRandom random;
        final Settings settings = TestNode.settings();
        final Balancer balancer;
        /** All requests so far, by id. */
        final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
        final Map<String, ServerEntry> servers = new LinkedHashMap<>();
        /** By server in slow start, for each send: its time and how many servers were ready then. */
        final Map<ServerEntry, List<long[]>> slowStartSends = new LinkedHashMap<>();
        /** Pending outcomes: time, request id, number of the attempt, ordinal of the {@link Result}. */
        final PriorityQueue<long[]> pendingOutcomes = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final PriorityQueue<PendingProbe> pendingProbes = new PriorityQueue<>(
                Comparator.comparingLong(PendingProbe::atUs));
        int probes;
        final PriorityQueue<Long> wakeTimesUs = new PriorityQueue<>();
        final StringBuilder trace = new StringBuilder();
        long nowUs = 5_000_000;
        long nextRequestId = 1;
        long served;
        int finalResponses;

        RuleChecker(long seed) {
            random = new SplittableRandom(seed);
            settings.classes.replaceAll(original -> new RequestClass(original.name(),
                    original.latencyTargetUs(), 0, original.deadlineUs(), original.utility(),
                    random.nextInt(2) * 0.5, original.retrySafety(), original.deduplicationScope(),
                    80_000, false));
            settings.nodes = 1 + random.nextInt(5);
            settings.maxAttempts = 1 + random.nextInt(5);
            settings.allowCancel = random.nextBoolean();
            settings.allowParallelAttempts = random.nextBoolean();
            settings.allowProbes = random.nextBoolean();
            settings.nodes *= random.nextBoolean() ? 1 : 10;
            settings.listOnRequest = random.nextBoolean();
            settings.crossZonePrice = random.nextBoolean() ? 0.02 : 0;
            settings.tickUs = 1_000 * (1 + random.nextInt(5));
            settings.drainGraceUs = 0;
            settings.slowStartUs = 8_000_000;
            settings.slowStartMinShare = 0.2;
            balancer = new ServiceQBalancer(settings, seed, this);
        }

        @Override
        public void send(long requestId, String serverId, long untilUs, long sendByUs) {
            trace.append(nowUs).append(" send ").append(requestId).append(serverId).append('\n');
            TrackedRequest request = requests.get(requestId);
            ServerEntry server = servers.get(serverId);
            assertNotNull(request, "an attempt was sent for an unknown request");
            assertFalse(request.ended, "rule 1: an attempt was sent after the request had ended");
            assertTrue(untilUs <= request.deadlineAtUs,
                    "rule 1: an attempt may run past the client's deadline");
            assertTrue(nowUs < request.deadlineAtUs,
                    "rule 1: an attempt was sent after the client's deadline");
            assertTrue(request.attempts.size() < settings.maxAttempts);
            Attempt firstPossibleRun = request.firstThatMayHaveRun();
            if (firstPossibleRun != null) {
                assertTrue(request.requestClass.retrySafety() != RetrySafety.UNSAFE,
                        "rule 2: an unsafe request that may have run was sent again");
                if (request.requestClass.retrySafety() == RetrySafety.KEYED) {
                    assertTrue(nowUs <= firstPossibleRun.sentAtUs
                                    + request.requestClass.deduplicationWindowUs(),
                            "rule 2: a keyed request was sent again after its window");
                    assertTrue(inSameScope(request.requestClass.deduplicationScope(), firstPossibleRun.server,
                                    server),
                            "rule 2: a keyed request was sent again outside its deduplication scope");
                }
                assertTrue(settings.allowParallelAttempts
                        || request.attempts.stream().allMatch(earlier -> earlier.result != null));
            }
            assertTrue(server.state() == ServerState.READY,
                    "rule 3: an attempt was sent to a draining or removed server");
            if (server.startedAtUs() > 0 && nowUs < server.startedAtUs() + settings.slowStartUs) {
                slowStartSends.computeIfAbsent(server, key -> new ArrayList<>())
                        .add(new long[] {nowUs, readyServers()});
            }
            Attempt attempt = new Attempt();
            attempt.server = server;
            attempt.sentAtUs = nowUs;
            request.attempts.add(attempt);
            boolean timesOut = random.nextInt(30) == 0;
            long endsAtUs = timesOut ? untilUs : Math.min(untilUs, nowUs + 1_000 + random.nextInt(120_000));
            pendingOutcomes.add(new long[] {endsAtUs, requestId, request.attempts.size() - 1,
                timesOut || endsAtUs == untilUs ? Result.TIMEOUT.ordinal() : randomResult()});
        }

        /** The ordinal of a random result, a success in most cases. */
        private int randomResult() {
            Result[] failures = {Result.ERROR, Result.REJECTED, Result.CONNECT_FAILED, Result.RESET,
                Result.NOT_SENT};
            return (random.nextInt(8) > 0 ? Result.OK : failures[random.nextInt(failures.length)]).ordinal();
        }

        private static boolean inSameScope(DeduplicationScope scope, ServerEntry a, ServerEntry b) {
            return scope == DeduplicationScope.ALL
                    || (scope == DeduplicationScope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
        }

        private void recordFinalResponse(long id, boolean refused) {
            trace.append(nowUs).append(refused ? " refuse " : " fail ").append(id).append('\n');
            TrackedRequest request = requests.get(id);
            assertNotNull(request);
            assertFalse(request.ended, "rule 1: a request got a second final response");
            assertTrue(nowUs <= request.deadlineAtUs + settings.tickUs,
                    "rule 1: the final response came after the client's deadline");
            if (refused && request.firstThatMayHaveRun() != null) {
                assertTrue(request.requestClass.retrySafety() == RetrySafety.SAFE
                        || request.requestClass.retrySafety() == RetrySafety.KEYED
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL,
                        "rule 2: a request was refused although a retry may take effect twice");
            }
            request.ended = true;
            finalResponses++;
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            recordFinalResponse(requestId, true);
        }

        @Override
        public void fail(long requestId) {
            recordFinalResponse(requestId, false);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            assertTrue(settings.allowCancel);
            Attempt cancelled = requests.get(requestId).attempts.get(attempt);
            if (cancelled.result == null) {
                pendingOutcomes.removeIf(outcome -> outcome[1] == requestId && outcome[2] == attempt);
                pendingOutcomes.add(new long[] {nowUs, requestId, attempt, Result.CANCELLED.ordinal()});
            }
        }

        @Override
        public void wakeAt(long atUs) {
            assertTrue(atUs > nowUs);
            wakeTimesUs.add(atUs);
        }

        @Override
        public void probe(String serverId) {
            assertTrue(settings.allowProbes);
            probes++;
            pendingProbes.add(new PendingProbe(nowUs + 500 + random.nextInt(40_000), serverId));
        }

        @Override
        public void subscribe() {
            assertTrue(settings.listOnRequest);
        }

        @Override
        public void log(String line) {
            trace.append(line).append('\n');
        }

        void submitRandomRequest() {
            TrackedRequest request = new TrackedRequest();
            int classIndex = random.nextInt(settings.classes.size());
            request.requestClass = settings.classes.get(classIndex);
            long remainingUs = random.nextInt(10) == 0 ? random.nextInt(3_000)
                    : 20_000 + random.nextInt(900_000);
            request.deadlineAtUs = nowUs + remainingUs;
            long id = nextRequestId++;
            requests.put(id, request);
            balancer.onRequest(nowUs,
                    new Request(id, classIndex, random.nextInt(2) - 1, remainingUs, 0, false));
        }

        void applyRandomListChange() {
            List<ServerEntry> changes = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                int number = random.nextInt(9);
                ServerState state = ServerState.values()[Math.max(0, random.nextInt(5) - 2)];
                ServerEntry entry = new ServerEntry("s" + number, number % 2, number % 3, state, 1,
                        state == ServerState.READY && random.nextInt(3) == 0 ? nowUs : 0);
                if (servers.containsKey(entry.id()) || state != ServerState.REMOVED) {
                    changes.add(entry);
                }
            }
            if (random.nextInt(6) == 0) {
                changes.removeIf(entry -> entry.state() == ServerState.REMOVED);
                servers.replaceAll((id, old) -> new ServerEntry(id, old.zone(), old.cell(),
                        ServerState.REMOVED, 1, old.startedAtUs()));
                changes.forEach(entry -> servers.put(entry.id(), entry));
                balancer.onServers(nowUs, ListKind.FULL, changes);
            } else {
                changes.forEach(entry -> servers.put(entry.id(), entry));
                balancer.onServers(nowUs, ListKind.CHANGES, changes);
            }
        }

        /** Reports an outcome, given as in {@link #pendingOutcomes}. */
        void reportOutcome(long[] outcome) {
            TrackedRequest request = requests.get(outcome[1]);
            Attempt attempt = request.attempts.get((int) outcome[2]);
            attempt.result = Result.values()[(int) outcome[3]];
            if (attempt.result == Result.OK && !request.ended) {
                request.ended = true;
                finalResponses++;
                served++;
            }
            balancer.onOutcome(nowUs, new Outcome(outcome[1], (int) outcome[2], attempt.result,
                    nowUs - attempt.sentAtUs, request.ended, null));
        }

        /** Processes this many random events, then waits until each request and attempt has ended. */
        void run(int events) {
            balancer.onServers(nowUs, ListKind.CACHED, List.of());
            for (int i = 0; i < 5; i++) {
                applyRandomListChange();
            }
            long nextEventUs = nowUs;
            for (int done = 0; done < events || !pendingOutcomes.isEmpty() || pendingRequests() > 0;) {
                long nextUs = done < events ? nextEventUs : Long.MAX_VALUE;
                nextUs = Math.min(nextUs,
                        pendingOutcomes.isEmpty() ? Long.MAX_VALUE : pendingOutcomes.peek()[0]);
                nextUs = Math.min(nextUs,
                        pendingProbes.isEmpty() ? Long.MAX_VALUE : pendingProbes.peek().atUs());
                nextUs = Math.min(nextUs, wakeTimesUs.isEmpty() ? Long.MAX_VALUE : wakeTimesUs.peek());
                assertTrue(nextUs < Long.MAX_VALUE,
                        "rule 1: requests are pending and the balancer has requested no wake-up");
                nowUs = Math.max(nowUs, nextUs);
                if (!pendingOutcomes.isEmpty() && pendingOutcomes.peek()[0] <= nowUs) {
                    reportOutcome(pendingOutcomes.poll());
                } else if (!pendingProbes.isEmpty() && pendingProbes.peek().atUs() <= nowUs) {
                    Result[] probeResults = {Result.OK, Result.OK, Result.REJECTED, Result.TIMEOUT};
                    balancer.onProbe(nowUs, pendingProbes.poll().serverId(), probeResults[random.nextInt(4)],
                            1_000, null);
                } else if (!wakeTimesUs.isEmpty() && wakeTimesUs.peek() <= nowUs) {
                    wakeTimesUs.poll();
                    balancer.onWake(nowUs);
                } else {
                    done++;
                    nextEventUs = nowUs + random.nextInt(30_000);
                    int eventKind = random.nextInt(100);
                    if (eventKind < 2) {
                        applyRandomListChange();
                    } else if (eventKind < 3) {
                        balancer.onListFailed(nowUs);
                    } else if (eventKind < 5 && nextRequestId > 1) {
                        disconnectClient(1 + random.nextLong(nextRequestId - 1));
                    } else {
                        submitRandomRequest();
                    }
                }
            }
        }

        private long readyServers() {
            return servers.values().stream().filter(entry -> entry.state() == ServerState.READY).count();
        }

        private long pendingRequests() {
            return requests.values().stream().filter(request -> !request.ended).count();
        }

        private void disconnectClient(long id) {
            TrackedRequest request = requests.get(id);
            if (!request.ended) {
                request.ended = true;
                finalResponses++;
            }
            balancer.onClientDisconnected(nowUs, id);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void allRulesHoldForRandomEventSequences(long seed) {
        RuleChecker checker = new RuleChecker(seed);
        checker.run(1_500);
        assertEquals(checker.requests.size(), checker.finalResponses,
                "rule 1: each request must get exactly one final response");
        assertTrue(checker.served > 100,
                "too few requests were served for a meaningful run: " + checker.served);
        // Rule 4: within any overloadWindowUs the node sends to a server in slow start no more than its share
        // of overloadFactor times the server's capacity. Its share of a warm server's capacity is taken to be
        // its rate of served requests over the ready servers (counted as three at most, as many are always
        // removed). Two requests more are allowed for random variation.
        double servedPerS = checker.served / ((checker.nowUs - 5_000_000) / 1e6);
        Settings settings = checker.settings;
        checker.slowStartSends.forEach((server, sends) -> {
            for (long[] firstSend : sends) {
                List<long[]> sendsInSpan = sends.stream()
                        .filter(send -> send[0] >= firstSend[0]
                                && send[0] < firstSend[0] + settings.overloadWindowUs).toList();
                double readyServers = Math.min(3,
                        sendsInSpan.stream().mapToLong(send -> send[1]).min().getAsLong());
                double warmUpProgress = Math.min(1,
                        (firstSend[0] + settings.overloadWindowUs - server.startedAtUs())
                                / (double) settings.slowStartUs);
                double share = settings.slowStartMinShare + (1 - settings.slowStartMinShare) * warmUpProgress;
                assertTrue(sendsInSpan.size() - 2 <= settings.overloadFactor * share * servedPerS
                                / readyServers * settings.overloadWindowUs / 1e6,
                        "rule 4: " + sendsInSpan.size() + " sends to a server in slow start within "
                                + "overloadWindowUs");
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void theSameEventsAndSeedGiveTheSameActions(long seed) {
        RuleChecker first = new RuleChecker(seed);
        RuleChecker second = new RuleChecker(seed);
        first.run(800);
        second.run(800);
        assertEquals(first.trace.toString(), second.trace.toString());
    }
}
