package cedarrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import cedarrelay.Balancer.ListKind;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.ServerEntry;
import cedarrelay.Balancer.ServerState;
import cedarrelay.Balancer.Settings;

/**
 * Tests how the balancer reacts to failures and lag: ejection and trial requests, ejection for one class,
 * unresponsive servers, zones, probes and the node's own event-loop lag.
 */
class FailureHandlingTest {

    /**
     * Runs one request; {@code s0} fails it, all others succeed.
     *
     * @return whether it was sent to {@code s0} first
     */
    private static boolean goesToFailingServer(TestNode node, int classIndex) {
        long id = node.submit(classIndex);
        boolean fails = node.latestAttempt(id).serverId().equals("s0");
        node.completeAttempt(id, fails ? Result.ERROR : Result.OK, 5_000);
        if (fails && node.attemptCount(id) > 1) {
            node.completeAttempt(id, Result.OK, 5_000);
        }
        return fails;
    }

    /** A node with four servers, of which {@code s0} failed all that it got of 4000 requests. */
    private static TestNode withFailingServer() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 4_000; i++) {
            goesToFailingServer(node, TestNode.SAFE);
        }
        return node;
    }

    private static void assertEjected(TestNode node) {
        assertTrue(node.logLines.stream().anyMatch(line -> line.startsWith("ejected server s0")),
                node.logLines.toString());
    }

    @Test
    void aServerThatKeepsFailingIsEjectedAndGetsTrialsLessAndLessOften() {
        TestNode node = withFailingServer();
        assertEjected(node);
        int trials = 0;
        long startUs = node.nowUs;
        while (node.nowUs < startUs + 20_000_000) {
            trials += goesToFailingServer(node, TestNode.SAFE) ? 1 : 0;
        }
        assertTrue(trials >= 2 && trials <= 14, "trial requests in 20 s: " + trials);
    }

    @Test
    void anEjectedServerThatStillServesSomeIsUsedWhenAllOthersAreAtTheirLimit() {
        TestNode node = new TestNode().withServers(2);
        // s0 fails every second request that it gets.
        boolean fails = false;
        for (int i = 0; i < 4_000; i++) {
            long id = node.submit(TestNode.UNSAFE);
            boolean isFlakyServer = node.latestAttempt(id).serverId().equals("s0");
            fails = isFlakyServer != fails;
            node.completeAttempt(id, isFlakyServer && fails ? Result.ERROR : Result.OK, 5_000);
        }
        assertEjected(node);
        List<String> pickedServers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            long id = node.submit(i < 20 ? TestNode.UNSAFE : TestNode.SAFE);
            pickedServers.add(node.latestAttempt(id) == null ? "none" : node.latestAttempt(id).serverId());
        }
        assertTrue(pickedServers.subList(0, 20).stream().noneMatch("s0"::equals), pickedServers.toString());
        assertTrue(pickedServers.subList(20, 30).contains("s0"), pickedServers.toString());
    }

    /**
     * Runs one request; {@code s0} doesn't respond to the class {@code silentForClass}, all else is served.
     *
     * @return whether the first attempt got no response
     */
    private static boolean timesOutAtSilentServer(TestNode node, int silentForClass, int classIndex) {
        long id = node.submit(classIndex);
        boolean timesOut = node.latestAttempt(id).serverId().equals("s0") && classIndex == silentForClass;
        if (timesOut) {
            // Other requests are still answered in the meantime.
            node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000);
            node.completeAttempt(id, Result.TIMEOUT, node.latestAttempt(id).untilUs() - node.nowUs);
        }
        if (node.attemptCount(id) == (timesOut ? 2 : 1)) {
            node.completeAttempt(id, Result.OK, 5_000);
        }
        return timesOut;
    }

    @Test
    void aServerThatDoesNotRespondToOneClassIsEjectedForThatClassOnly() {
        for (int silentForClass : new int[] {TestNode.KEYED_CELL, TestNode.UNSAFE}) {
            TestNode node = new TestNode().withServers(4);
            int timeouts = 0;
            for (int i = 0; i < 4_000; i++) {
                timeouts += timesOutAtSilentServer(node, silentForClass,
                        i % 2 == 0 ? silentForClass : TestNode.SAFE) ? 1 : 0;
            }
            assertTrue(timeouts >= 2 && timeouts <= 25,
                    "timeouts of class " + silentForClass + ": " + timeouts);
            assertTrue(node.attemptsTo("s0") > 100,
                    "requests of all classes sent to s0: " + node.attemptsTo("s0"));
        }
    }

    @Test
    void requestsOfAClassThatAServerDoesNotAnswerAreRetriedOnTimeElsewhere() {
        TestNode node = new TestNode().withServers(2);
        int retriedOnTime = 0;
        for (int i = 0; i < 4_000; i++) {
            long id = node.submit(TestNode.KEYED_CELL);
            long submittedAtUs = node.nowUs;
            if (node.latestAttempt(id).serverId().equals("s0")) {
                node.completeAttempt(id, Result.TIMEOUT, node.latestAttempt(id).untilUs() - submittedAtUs);
                retriedOnTime += node.attemptCount(id) == 2 && node.nowUs - submittedAtUs <= 100_000 ? 1 : 0;
            }
            if (!node.failed.contains(id)) {
                node.completeAttempt(id, Result.OK, 5_000);
            }
        }
        assertTrue(retriedOnTime > 0, "no request was retried on time");
        assertTrue(node.failed.size() <= 3, "failed requests: " + node.failed.size());
    }

    @Test
    void atMostHalfOfTheServersAreEjectedForAClass() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.submitAndComplete(TestNode.UNSAFE, Result.ERROR, 5_000);
        }
        int sentBefore = node.sent.size();
        for (int i = 0; i < 2; i++) {
            node.submit(TestNode.UNSAFE);
        }
        assertEquals(sentBefore + 2, node.sent.size());
    }

    @Test
    void aServerEjectedForAClassGetsItAgainOnceItServesIt() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            timesOutAtSilentServer(node, TestNode.UNSAFE, TestNode.UNSAFE);
        }
        node.advanceClock(8_000_000);
        long sentBefore = node.attemptsTo("s0");
        for (int i = 0; i < 400; i++) {
            node.submitAndComplete(TestNode.UNSAFE, Result.OK, 5_000);
        }
        assertTrue(node.attemptsTo("s0") - sentBefore > 40,
                "requests sent to s0 again: " + (node.attemptsTo("s0") - sentBefore));
    }

    @Test
    void aRequestDoesNotSpendItsAttemptsAtOnceOnAServerThatRejectsIt() {
        TestNode node = new TestNode().withServers(1);
        for (int i = 0; i < 100; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
        }
        long id = node.submit(TestNode.SAFE);
        node.completeAttempt(id, Result.REJECTED, 100);
        assertEquals(1, node.attemptCount(id), "retried at once on the server that rejected it");
        node.advanceClock(20_000);
        assertEquals(2, node.attemptCount(id), "not retried after 20 ms");
        assertTrue(node.refused.isEmpty(), "refused although attempts are left");
    }

    @Test
    void anEjectedServerThatAcceptsNoConnectionsIsNotUsedAsALastResort() {
        TestNode node = new TestNode().withServers(2);
        for (int i = 0; i < 4_000 && node.logLines.isEmpty(); i++) {
            long id = node.submit(TestNode.SAFE);
            boolean unreachable = node.latestAttempt(id).serverId().equals("s0") && i >= 200;
            node.completeAttempt(id, unreachable ? Result.CONNECT_FAILED : Result.OK, 5_000);
            if (unreachable && node.attemptCount(id) > 1) {
                node.completeAttempt(id, Result.OK, 5_000);
            }
        }
        assertEjected(node);
        long sentBefore = node.attemptsTo("s0");
        for (int i = 0; i < 40; i++) {
            long id = node.submit(TestNode.SAFE);
            for (int j = 0; j < 4 && node.latestAttempt(id) != null
                    && node.latestAttempt(id).serverId().equals("s0"); j++) {
                node.completeAttempt(id, Result.CONNECT_FAILED, 100);
            }
        }
        assertTrue(node.attemptsTo("s0") - sentBefore <= 3,
                "requests sent to the ejected server: " + (node.attemptsTo("s0") - sentBefore));
        assertTrue(node.refused.isEmpty(), "refused requests: " + node.refused.size());
    }

    @Test
    void unsafeRequestsAreNotUsedForTrials() {
        TestNode node = withFailingServer();
        node.advanceClock(20_000_000);
        for (int i = 0; i < 200; i++) {
            assertTrue(!goesToFailingServer(node, TestNode.UNSAFE));
        }
    }

    @Test
    void oneSuccessDoesNotRestoreAnEjectedServerButThreeInARowDo() {
        TestNode node = withFailingServer();
        node.advanceClock(20_000_000);
        assertEquals("s0", node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000));
        assertTrue(node.logLines.stream().noneMatch(line -> line.startsWith("restored")));
        assertEquals("s0", node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000));
        assertEquals("s0", node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000));
        assertTrue(node.logLines.stream().anyMatch(line -> line.equals("restored server s0")));
    }

    @Test
    void atMostHalfOfTheServersAreEjected() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 300; i++) {
            node.submitAndComplete(TestNode.UNSAFE, Result.ERROR, 5_000);
        }
        // All servers fail, two may be ejected: requests must still be sent to the others, not deferred.
        long id = node.submit(TestNode.UNSAFE);
        assertNotEquals(null, node.latestAttempt(id));
    }

    @Test
    void anUnresponsiveServerIsAvoidedBeforeAnyDeadlinePasses() {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 100; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 10_000);
        }
        int sentToSilentServer = 0;
        for (int i = 0; i < 80; i++) {
            long id = node.submit(TestNode.UNSAFE);
            if (node.latestAttempt(id).serverId().equals("s0")) {
                sentToSilentServer++;
            } else {
                node.completeAttempt(id, Result.OK, 10_000);
            }
        }
        assertTrue(sentToSilentServer <= 5, "requests sent to the silent server: " + sentToSilentServer);
    }

    @Test
    void anOverloadedServerThatStillRespondsIsNotEjectedForTimeouts() {
        TestNode node = new TestNode(TestNode.settingsWithLateUtility(), 7).withServers(2);
        for (int round = 0; round < 80; round++) {
            // Always one request more than the limits allow, so that they are reached and grow.
            List<Long> burst = new ArrayList<>();
            do {
                burst.add(node.submit(TestNode.SAFE));
            } while (node.latestAttempt(burst.get(burst.size() - 1)) != null && burst.size() < 40);
            burst.forEach(id -> node.completeAttempt(id, Result.OK, 100));
        }
        List<Long> pending = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            pending.add(node.submit(TestNode.SAFE, 30_000));
        }
        for (String server : List.of("s0", "s1")) {
            long answered = pending.stream().filter(id -> node.latestAttempt(id).serverId().equals(server))
                    .findFirst().get();
            node.completeAttempt(answered, Result.OK, 1_000);
            pending.remove(answered);
        }
        node.advanceClock(28_000);
        pending.forEach(id -> node.completeAttempt(id, Result.TIMEOUT, 0));
        assertTrue(node.logLines.stream().noneMatch(line -> line.startsWith("ejected")),
                node.logLines.toString());
    }

    @Test
    void withACrossZonePriceOtherZonesAreUsedOnlyWhenLocalServersAreBusy() {
        Settings settings = TestNode.settings();
        settings.crossZonePrice = 0.02;
        TestNode node = new TestNode(settings, 5);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(new ServerEntry("s" + i, i < 2 ? 0 : 1, 0, ServerState.READY, 1, 0));
        }
        node.updateServers(ListKind.CACHED, entries);
        for (int i = 0; i < 50; i++) {
            assertTrue(List.of("s0", "s1").contains(node.submitAndComplete(TestNode.SAFE, Result.OK, 5_000)));
        }
        long crossZoneRequests = 0;
        for (int i = 0; i < 12; i++) {
            long id = node.submit(TestNode.SAFE);
            crossZoneRequests += List.of("s0", "s1").contains(node.latestAttempt(id).serverId()) ? 0 : 1;
        }
        assertTrue(crossZoneRequests >= 6, "requests sent to another zone: " + crossZoneRequests);
    }

    @Test
    void requestsHangingAtARemovedServerDoNotHoldBackOthers() {
        // Guards against a node whose whole limit of requests in flight is used up at removed servers.
        TestNode node = new TestNode().withServers(1);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(null, node.latestAttempt(node.submit(TestNode.UNSAFE)));
        }
        node.updateServers(ListKind.FULL, List.of(TestNode.readyServer("other")));
        for (int i = 0; i < 3; i++) {
            TestNode.SentAttempt attempt = node.latestAttempt(node.submit(TestNode.UNSAFE));
            assertTrue(attempt != null && attempt.serverId().equals("other"),
                    "request " + i + " was sent as " + attempt);
        }
    }

    /**
     * A node among many that got half of its responses after the latency target, so that a probe gains more
     * utility than its price.
     */
    private static TestNode nodeAmongMany() {
        Settings settings = TestNode.settingsWithLateUtility();
        settings.nodes = 20;
        settings.allowProbes = true;
        settings.probePrice = 0.01;
        TestNode node = new TestNode(settings, 11).withServers(8);
        for (int i = 0; i < 40; i++) {
            long id = node.submit(TestNode.UNSAFE);
            node.timeOutProbes();
            node.completeAttempt(id, Result.OK, i % 2 == 0 ? 40_000 : 250_000);
        }
        return node;
    }

    /**
     * Submits requests until one waits for the probe results of two servers; returns its id. Several may be
     * needed, since both samples may pick the same server.
     */
    private static long requestWaitingForProbes(TestNode node) {
        for (int i = 0; i < 20; i++) {
            long id = node.submit(TestNode.SAFE);
            if (node.attemptCount(id) == 0) {
                assertEquals(2, node.probedServers.size());
                return id;
            }
            node.completeAttempt(id, Result.OK, 40_000);
        }
        throw new AssertionError("no request waited for probe results");
    }

    @Test
    void amongManyNodesTheServerThatAnswersAProbeFirstGetsTheRequest() {
        // Guards against picking by outdated observations: servers get congested and recover faster than a
        // node among many learns from its own requests.
        TestNode node = nodeAmongMany();
        long id = requestWaitingForProbes(node);
        String fasterServer = node.probedServers.get(1);
        node.balancer.onProbe(node.nowUs, fasterServer, Result.OK, 1_000, null);
        assertEquals(fasterServer, node.latestAttempt(id).serverId());
        node.balancer.onProbe(node.nowUs, node.probedServers.get(0), Result.OK, 9_000, null);
        assertEquals(1, node.attemptCount(id));
    }

    @Test
    void aRequestWhoseProbesAreNotAnsweredSoonIsSentAnyway() {
        for (boolean probesFail : new boolean[] {false, true}) {
            TestNode node = nodeAmongMany();
            long id = requestWaitingForProbes(node);
            if (probesFail) {
                node.timeOutProbes();
            } else {
                node.advanceClock(60_000);
            }
            assertEquals(1, node.attemptCount(id));
        }
    }

    @Test
    void aNodeThatSeesAllTrafficItselfDoesNotProbe() {
        Settings settings = TestNode.settings();
        settings.allowProbes = true;
        TestNode node = new TestNode(settings, 11).withServers(8);
        for (int i = 0; i < 40; i++) {
            node.submitAndComplete(TestNode.SAFE, Result.OK, 190_000);
        }
        assertTrue(node.probedServers.isEmpty());
    }

    /** A node whose requests all timed out, {@code lagUs} of each timeout due to its own event-loop lag. */
    private static TestNode nodeAfterTimeouts(long lagUs) {
        TestNode node = new TestNode().withServers(4);
        for (int i = 0; i < 60; i++) {
            long id = node.submit(TestNode.UNSAFE);
            TestNode.SentAttempt attempt = node.latestAttempt(id);
            if (attempt != null) {
                node.advanceClock(200_000);
                node.balancer.onOutcome(node.nowUs, new Balancer.Outcome(id, attempt.attempt(),
                        Result.TIMEOUT, 200_000, false, null, lagUs));
            }
        }
        return node;
    }

    @Test
    void timeoutsCausedByTheNodesOwnLagDoNotCountAgainstServers() {
        TestNode lagging = nodeAfterTimeouts(150_000);
        assertTrue(lagging.logLines.isEmpty(), lagging.logLines.toString());
        assertEquals(60, lagging.sent.size(), "requests were deferred");
        // The same timeouts caused by silent servers eject them, and further requests are deferred.
        TestNode silent = nodeAfterTimeouts(0);
        assertTrue(silent.logLines.stream().anyMatch(line -> line.startsWith("ejected")),
                silent.logLines.toString());
        assertTrue(silent.sent.size() < 60, "all requests were sent to silent servers");
    }

    @Test
    void timeThatARequestWaitedUnreadCountsTowardsItsLatencyTarget() {
        TestNode node = new TestNode().withServers(1);
        node.balancer.onRequest(node.nowUs, new Balancer.Request(1, TestNode.SAFE, 0, 900_000, 0, false,
                200_000));
        assertTrue(node.sent.isEmpty(), "sent although its latency target has passed");
        assertEquals(1, node.refused.size());
        node.balancer.onRequest(node.nowUs, new Balancer.Request(2, TestNode.UNSAFE, 0, 900_000, 0, false,
                100_000));
        assertEquals(node.nowUs + 100_000, node.latestAttempt(2).untilUs());
    }

    @Test
    void aLaggingNodeRefusesRequestsThatCannotBeOnTime() {
        TestNode node = new TestNode().withServers(1);
        // 70 ms are left to the latency target. The response is expected to wait unread for half as long as
        // the request did, 65 ms.
        node.balancer.onRequest(node.nowUs, new Balancer.Request(1, TestNode.SAFE, 0, 900_000, 0, false,
                130_000));
        assertEquals(1, node.sent.size(), "not sent although there is time enough");
        node.completeAttempt(1, Result.OK, 30_000);
        for (int i = 0; i < 100; i++) {
            node.completeAttempt(node.submit(TestNode.SAFE), Result.OK, 30_000);
        }
        node.balancer.onRequest(node.nowUs, new Balancer.Request(500, TestNode.SAFE, 0, 900_000, 0, false,
                130_000));
        assertEquals(1, node.refused.size(), "sent although its response would miss the latency target");
    }

    @Test
    void latenciesAreNotLearnedFromResponsesReadLate() {
        TestNode node = new TestNode().withServers(1);
        for (int i = 0; i < 100; i++) {
            long id = node.submit(TestNode.SAFE);
            node.advanceClock(90_000);
            node.balancer.onOutcome(node.nowUs, new Balancer.Outcome(id, 0, Result.OK, 90_000, true, null,
                    40_000));
        }
        // 80 ms are left to the latency target, 60 of them for the response to wait unread: if a mean latency
        // of 50 ms had been learned from the responses above, this request would be refused.
        node.balancer.onRequest(node.nowUs, new Balancer.Request(500, TestNode.SAFE, 0, 900_000, 0, false,
                120_000));
        assertTrue(node.refused.isEmpty(), "refused for a latency that includes the node's own lag");
    }
}
