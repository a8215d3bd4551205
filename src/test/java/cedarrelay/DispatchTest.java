package cedarrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import cedarrelay.Balancer.ListKind;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.ServerEntry;
import cedarrelay.Balancer.ServerState;
import cedarrelay.Balancer.Settings;

/**
 * Tests how the balancer picks a server and when it sends: weighted sampling, requests in flight, error
 * counts, failover, the deferred queue, concurrency limits and throttling.
 */
class DispatchTest {

    @Test
    void aRequestNotMarkedAsRetryIsNotTakenForOneBecauseItsClientWaitsLess() {
        // Guards against refusing a first try at once because it was slow to arrive and has less time left
        // than others: where clients mark their retries, an unmarked request is not a retry.
        Balancer.Settings settings = TestNode.settings();
        settings.clientsMarkRetries = true;
        TestNode node = new TestNode(settings, 7).withServers(3);
        for (int i = 0; i < 100; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
        }
        assertNotNull(node.latestAttempt(node.submit(TestNode.SAFE, 400_000)),
                "an unmarked request was refused at once");
    }

    @Test
    void ofTwoServersTheOneWithFewerRequestsInFlightIsPicked() {
        TestNode node = new TestNode().withServers(2);
        String busyServer = node.latestAttempt(node.submit(TestNode.SAFE)).serverId();
        for (int i = 0; i < 20; i++) {
            long id = node.submit(TestNode.SAFE);
            assertNotEquals(busyServer, node.latestAttempt(id).serverId());
            node.completeAttempt(id, Result.OK, 10_000);
        }
    }

    @Test
    void tiesBetweenServersWithoutErrorsAreSpreadEvenly() {
        TestNode node = new TestNode().withServers(4);
        Map<String, Integer> requestsByServer = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            requestsByServer.merge(node.submitAndComplete(TestNode.SAFE, Result.OK, 1_000), 1, Integer::sum);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(Math.abs(requestsByServer.get("s" + i) - 1_000) < 150, requestsByServer.toString());
        }
    }

    @Test
    void afterOneFailureTheServerWithFewerRequestsInFlightIsStillPicked() {
        TestNode node = new TestNode().withServers(2);
        long id = node.submit(TestNode.UNSAFE);
        String failedServer = node.latestAttempt(id).serverId();
        node.completeAttempt(id, Result.ERROR, 1_000);
        long pending = node.submit(TestNode.SAFE);
        String busyServer = node.latestAttempt(pending).serverId();
        // One failure lowers a weight only a little, so both servers are still compared.
        String idleServer = busyServer.equals("s0") ? "s1" : "s0";
        assertEquals(idleServer, node.latestAttempt(node.submit(TestNode.SAFE)).serverId());
        assertTrue(List.of("s0", "s1").contains(failedServer));
    }

    @Test
    void aFailedSafeRequestFailsOverToTheNextServerInListOrder() {
        TestNode node = new TestNode().withServers(5);
        long id = node.submit(TestNode.SAFE);
        for (int i = 0; i < 3; i++) {
            int from = Integer.parseInt(node.latestAttempt(id).serverId().substring(1));
            node.completeAttempt(id, Result.ERROR, 1_000);
            assertEquals("s" + (from + 1) % 5, node.latestAttempt(id).serverId());
        }
        node.completeAttempt(id, Result.ERROR, 1_000);
        assertEquals(4, node.attemptCount(id));
        assertEquals(List.of(id), node.refused);
    }

    @Test
    void anUnsafeRequestFailsOverOnlyIfItCertainlyNeverRan() {
        TestNode node = new TestNode().withServers(3);
        long id = node.submit(TestNode.UNSAFE);
        node.completeAttempt(id, Result.CONNECT_FAILED, 1_000);
        assertEquals(2, node.attemptCount(id));
        node.completeAttempt(id, Result.RESET, 1_000);
        assertEquals(2, node.attemptCount(id));
        assertEquals(List.of(id), node.failed);
    }

    @Test
    void requestsDeferredForLackOfServersAreSentInOrderOnceThereAreSome() {
        TestNode node = new TestNode().withServers(0);
        long first = node.submit(TestNode.UNSAFE);
        long second = node.submit(TestNode.SAFE);
        node.advanceClock(50_000);
        assertTrue(node.sent.isEmpty());
        node.updateServers(ListKind.CHANGES, List.of(TestNode.readyServer("s0"), TestNode.readyServer("s1")));
        assertEquals(List.of(first, second),
                node.sent.stream().map(TestNode.SentAttempt::requestId).toList());
    }

    @Test
    void aDeferredRequestThatFindsNoServerIsRefusedBeforeItsDeadline() {
        TestNode node = new TestNode(TestNode.settingsWithLateUtility(), 7).withServers(0);
        long id = node.submit(TestNode.UNSAFE, 300_000);
        node.advanceClock(299_999);
        assertEquals(List.of(id), node.refused);
        assertFalse(node.failed.contains(id));
    }

    @Test
    void aRequestThatWasNeverSentIsRefusedAfterHalfOfItsTime() {
        TestNode node = new TestNode(TestNode.settingsWithLateUtility(), 7);
        long id = node.submit(TestNode.SAFE, 1_000_000);
        node.advanceClock(450_000);
        assertEquals(List.of(), node.refused);
        node.advanceClock(50_000);
        assertEquals(List.of(id), node.refused);
    }

    @Test
    void aRequestThatMayHaveRunStaysDeferredPastHalfOfItsTime() {
        TestNode node = new TestNode(TestNode.settingsWithLateUtility(), 7).withServers(1);
        long id = node.submit(TestNode.SAFE, 1_000_000);
        node.updateServers(ListKind.CHANGES, List.of(
                new ServerEntry("s0", 0, 0, ServerState.DRAINING, 1, 0)));
        node.completeAttempt(id, Result.ERROR, 10_000);
        node.advanceClock(590_000);
        assertEquals(List.of(), node.refused);
        node.updateServers(ListKind.CHANGES, List.of(TestNode.readyServer("s1")));
        assertEquals("s1", node.latestAttempt(id).serverId());
    }

    /**
     * The retry delay, in microseconds, that a node which completes 100 requests a second advises with the
     * first refusal when {@code clients} requests are deferred.
     */
    private static long firstRetryAdviceUs(int clients) {
        Settings settings = TestNode.settingsWithLateUtility();
        settings.maxRetryAfterUs = 700_000;
        TestNode node = new TestNode(settings, 7).withServers(1);
        for (int i = 0; i < 200; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
        }
        node.updateServers(ListKind.FULL, List.of());
        for (int i = 0; i < clients; i++) {
            node.submit(TestNode.SAFE, 100_000);
        }
        node.advanceClock(60_000);
        return node.retryAdviceUs.get(0);
    }

    @Test
    void theAdvisedRetryDelayGrowsWithTheDeferredQueueUpToItsMaximum() {
        assertEquals(20_000, firstRetryAdviceUs(1), 2_000);
        assertEquals(110_000, firstRetryAdviceUs(10), 10_000);
        assertEquals(700_000, firstRetryAdviceUs(100));
    }

    @Test
    void aClientRetryThatArrivesAfterTheLatencyTargetIsNotSent() {
        // Guards against overloaded servers that spend most of their work on retries whose requests are
        // already past the latency target and have no utility left.
        TestNode node = new TestNode().withServers(2);
        for (int i = 0; i < 10; i++) {
            node.completeAttempt(node.submit(TestNode.SAFE, 500_000), Result.OK, 10_000);
        }
        long onTime = node.submit(TestNode.SAFE, 900_000);
        long afterTarget = node.submit(TestNode.SAFE, 700_000);
        assertEquals(1, node.attemptCount(onTime));
        assertEquals(0, node.attemptCount(afterTarget));
        assertTrue(node.refused.contains(afterTarget));
    }

    @Test
    void requestsWithVaryingTimeLeftAreNotTakenForRetries() {
        TestNode node = new TestNode().withServers(2);
        for (int i = 0; i < 20; i++) {
            long id = node.submit(TestNode.SAFE, 200_000 + i % 10 * 70_000);
            assertEquals(1, node.attemptCount(id));
            node.completeAttempt(id, Result.OK, 10_000);
        }
    }

    @Test
    void attemptsThatClientsDoNotRetryEndAtTheLatencyTargetAndOthersAtTheDeadline() {
        TestNode node = new TestNode().withServers(3);
        assertEquals(node.nowUs + 200_000, node.latestAttempt(node.submit(TestNode.UNSAFE)).untilUs());
        assertEquals(node.nowUs + 200_000, node.latestAttempt(node.submit(TestNode.KEYED_CELL)).untilUs());
        assertEquals(node.nowUs + 1_000_000, node.latestAttempt(node.submit(TestNode.SAFE)).untilUs());
    }

    @Test
    void amongIdleServersTheFasterOnesArePreferred() {
        TestNode node = new TestNode().withServers(4);
        Map<String, Integer> requestsByServer = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            long id = node.submit(TestNode.SAFE);
            String server = node.latestAttempt(id).serverId();
            requestsByServer.merge(server, 1, Integer::sum);
            node.completeAttempt(id, Result.OK, server.equals("s0") ? 60_000 : 20_000);
        }
        assertTrue(requestsByServer.get("s0") < 60, requestsByServer.toString());
    }

    @Test
    void serversAtTheirLimitAreSkippedAndTheQueueServesTheHighestUtilityFirst() {
        Settings settings = TestNode.settings();
        settings.classes.add(new Balancer.RequestClass("valuable", 200_000, 0, 1_000_000, 9, 0,
                Balancer.RetrySafety.SAFE, Balancer.DeduplicationScope.ALL, 0, false));
        settings.nodes = 2;
        TestNode node = new TestNode(settings, 3).withServers(2);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ids.add(node.submit(TestNode.SAFE));
        }
        long highUtility = node.submit(5);
        // Each of two nodes starts with a limit of two at each server: the fifth and sixth request wait.
        assertEquals(4, node.sent.size());
        node.completeAttempt(ids.get(0), Result.OK, 10_000);
        assertEquals(highUtility, node.sent.get(4).requestId());
    }

    @Test
    void slowResponsesLowerAServersConcurrencyLimitAndFastOnesRaiseIt() {
        TestNode slow = new TestNode().withServers(1);
        TestNode fast = new TestNode().withServers(1);
        for (int i = 0; i < 30; i++) {
            slow.submitAndComplete(TestNode.SAFE, Result.OK, 150_000);
            long[] pair = {fast.submit(TestNode.SAFE), fast.submit(TestNode.SAFE)};
            fast.completeAttempt(pair[0], Result.OK, 5_000);
            fast.completeAttempt(pair[1], Result.OK, 5_000);
        }
        for (int i = 0; i < 8; i++) {
            slow.submit(TestNode.SAFE);
            fast.submit(TestNode.SAFE);
        }
        assertEquals(1, slow.sent.size() - 30);
        assertTrue(fast.sent.size() - 60 >= 3, "requests sent to the fast server: " + fast.sent.size());
    }

    @Test
    void aReplacementServerStartsWithTheConcurrencyLimitLearnedFromOthers() {
        TestNode node = new TestNode(TestNode.settingsWithLateUtility(), 7).withServers(1);
        for (int round = 0; round < 20; round++) {
            List<Long> ids = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                ids.add(node.submit(TestNode.SAFE));
            }
            for (long id : ids) {
                node.completeAttempt(id, Result.OK, 100);
            }
        }
        node.updateServers(ListKind.CHANGES, List.of(new ServerEntry("s0", 0, 0, ServerState.REMOVED, 1, 0),
                TestNode.readyServer("new")));
        for (int i = 0; i < 20; i++) {
            node.submit(TestNode.SAFE);
        }
        // Without anything learned its limit would be four.
        assertTrue(node.attemptsTo("new") >= 8,
                "requests sent at once to the new server: " + node.attemptsTo("new"));
    }

    @Test
    void aTenantOverItsQuotaWaitsBehindOneWithinItsQuota() {
        Settings settings = TestNode.settings();
        settings.tenants.clear();
        settings.overQuotaUtilityShare = 0.1;
        settings.tenants.add(new Balancer.Tenant("over-quota", 1));
        settings.tenants.add(new Balancer.Tenant("within-quota", 100));
        TestNode node = new TestNode(settings, 3).withServers(1);
        List<Long> first = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            first.add(node.submit(TestNode.SAFE, 1, 1_000_000));
        }
        List<Long> overQuota = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            overQuota.add(node.submit(TestNode.SAFE, 0, 1_000_000));
        }
        long withinQuota = node.submit(TestNode.SAFE, 1, 1_000_000);
        first.forEach(id -> node.completeAttempt(id, Result.OK, 1_000));
        assertEquals(List.of(overQuota.get(0), withinQuota, overQuota.get(1), overQuota.get(2)),
                node.sent.stream().skip(4).limit(4).map(TestNode.SentAttempt::requestId).toList());
    }

    @Test
    void aServerWhoseLimitIsUnderOneGetsOneRequestAtATime() {
        Settings settings = TestNode.settings();
        settings.nodes = 8;
        TestNode node = new TestNode(settings, 3).withServers(1);
        node.submitAndComplete(TestNode.SAFE, Result.OK, 150_000);
        long first = node.submit(TestNode.SAFE);
        long second = node.submit(TestNode.SAFE);
        assertEquals(1, node.attemptCount(first));
        assertEquals(0, node.attemptCount(second));
        node.completeAttempt(first, Result.OK, 20_000);
        assertEquals(1, node.attemptCount(second));
    }

    @Test
    void aServerOfTwiceTheWeightIsPickedMoreOftenThanTheOthers() {
        TestNode node = new TestNode();
        node.updateServers(ListKind.CACHED, List.of(
                new Balancer.ServerEntry("large", 0, 0, Balancer.ServerState.READY, 2, 0),
                new Balancer.ServerEntry("small", 0, 0, Balancer.ServerState.READY, 1, 0),
                new Balancer.ServerEntry("same", 0, 0, Balancer.ServerState.READY, 1, 0)));
        Map<String, Integer> requestsByServer = new HashMap<>();
        for (int i = 0; i < 3_000; i++) {
            requestsByServer.merge(node.submitAndComplete(TestNode.SAFE, Result.OK, 1_000), 1, Integer::sum);
        }
        assertTrue(requestsByServer.get("large") > 1_200, requestsByServer.toString());
        assertTrue(Math.abs(requestsByServer.get("small") - requestsByServer.get("same")) < 150,
                requestsByServer.toString());
    }

    @Test
    void aNodeAmongManyHasNoMoreInFlightThanTheSumOfItsLimitsAndABurst() {
        // Guards against two failures: one request from each node at every server overloaded all servers, and
        // a node restricted to exactly the sum of its limits deferred requests while servers were idle.
        Settings settings = TestNode.settings();
        settings.nodes = 32;
        TestNode node = new TestNode(settings, 3).withServers(32);
        for (int i = 0; i < 32; i++) {
            node.submit(TestNode.SAFE);
        }
        // The limits are 4/32 at each of 32 servers, in sum 4; the burst is 2.5 times the square root of 4.
        assertEquals(9, node.sent.size());
    }

    @Test
    void responsesFarSlowerThanTheClassCanBeLowerTheLimitWhateverTheLatencyTarget() {
        Settings settings = TestNode.settings();
        settings.classes.add(new Balancer.RequestClass("distant-target", 20_000_000, 0, 30_000_000, 1, 0,
                Balancer.RetrySafety.SAFE, Balancer.DeduplicationScope.ALL, 0, false));
        TestNode node = new TestNode(settings, 3).withServers(1);
        for (int i = 0; i < 80; i++) {
            node.submitAndComplete(5, Result.OK, i < 40 ? 10_000 : 200_000);
        }
        int before = node.sent.size();
        for (int i = 0; i < 4; i++) {
            node.submit(5, 30_000_000);
        }
        assertEquals(1, node.sent.size() - before);
    }

    /**
     * Guards against responses after the latency target under overload: while requests stayed deferred until
     * only half a mean latency was left before the target, most responses came after it. Where servers
     * usually take longer than the latency target, a request may still be deferred for a while.
     */
    @ParameterizedTest
    @CsvSource({"50000, 80000", "250000, 30000"})
    void aDeferredRequestIsRefusedWellBeforeItsLatencyTarget(long meanLatencyUs, long deferredForUs) {
        TestNode node = new TestNode().withServers(1);
        for (int i = 0; i < 40; i++) {
            node.submitAndComplete(TestNode.UNSAFE, Result.OK, meanLatencyUs);
        }
        node.updateServers(ListKind.FULL, List.of());
        long id = node.submit(TestNode.UNSAFE);
        node.advanceClock(deferredForUs);
        assertFalse(node.refused.contains(id));
        node.advanceClock(30_000);
        assertTrue(node.refused.contains(id));
    }

    @Test
    void aNodeWhoseResponsesAreAllLateThrottlesAndRecoversQuickly() {
        // Guards against nodes that keep servers overloaded: servers that had become slow under their load
        // stayed so for half a minute because the nodes went on sending.
        TestNode node = new TestNode().withServers(10);
        submitAndCompleteAll(node, 60, 20_000);
        int sentInOverload = submitAndCompleteAll(node, 200, 300_000);
        assertTrue(sentInOverload <= 45,
                "requests sent while all responses miss the latency target: " + sentInOverload);
        submitAndCompleteAll(node, 150, 20_000);
        int sentAfterRecovery = submitAndCompleteAll(node, 100, 20_000);
        assertTrue(sentAfterRecovery >= 50,
                "requests sent once responses are fast again: " + sentAfterRecovery);
    }

    /**
     * Submits requests one after another, with a pause of 20 ms between them, and completes each one that is
     * sent, {@code latencyUs} later.
     *
     * @return how many requests were sent
     */
    private static int submitAndCompleteAll(TestNode node, int requests, long latencyUs) {
        int before = node.sent.size();
        int completed = before;
        for (int i = 0; i < requests; i++) {
            node.submit(TestNode.SAFE);
            for (; completed < node.sent.size(); completed++) {
                node.completeAttempt(node.sent.get(completed).requestId(), Result.OK, latencyUs);
            }
            node.advanceClock(20_000);
        }
        return node.sent.size() - before;
    }

    @Test
    void aZoneThatDoesNotRespondGetsSingleRequestsUntilItDoes() {
        TestNode node = new TestNode(TestNode.settings(), 7);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            entries.add(new ServerEntry("there" + i, 1, 0, ServerState.READY, 1, 0));
        }
        node.updateServers(ListKind.CACHED, entries);
        for (int i = 0; i < 20; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
        }
        long unanswered = node.submit(TestNode.SAFE);
        node.advanceClock(20_000);
        node.submit(TestNode.SAFE);
        assertEquals(22, node.sent.size(),
                "requests to a zone that was silent for two mean latencies were already deferred");
        node.advanceClock(20_000);
        node.submit(TestNode.SAFE);
        long deferred = node.submit(TestNode.SAFE);
        assertEquals(23, node.sent.size(),
                "a silent zone must get a single request, 20 ms after the previous one");
        assertNull(node.latestAttempt(deferred));
        node.completeAttempt(unanswered, Result.OK, 5_000);
        assertNotNull(node.latestAttempt(deferred), "still deferred although the zone has responded");
    }

    @Test
    void withACrossZonePriceARejectedRequestFailsOverInsideTheZoneFirst() {
        // Guards against requests that fail over to a zone with three times the latency as soon as one server
        // of their own zone has rejected them.
        Settings settings = TestNode.settings();
        settings.crossZonePrice = 0.01;
        TestNode node = new TestNode(settings, 3);
        List<Balancer.ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            entries.add(new Balancer.ServerEntry("s" + i, i % 3 == 0 ? 0 : 1, 0,
                    Balancer.ServerState.READY, 1, 0));
        }
        node.updateServers(ListKind.CACHED, entries);
        long id = node.submit(TestNode.SAFE);
        List<String> localServers = List.of("s0", "s3");
        assertTrue(localServers.contains(node.latestAttempt(id).serverId()));
        node.completeAttempt(id, Result.REJECTED, 1_000);
        assertTrue(localServers.contains(node.latestAttempt(id).serverId()));
        node.completeAttempt(id, Result.REJECTED, 1_000);
        assertFalse(localServers.contains(node.latestAttempt(id).serverId()));
    }
}
