package cedarrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import cedarrelay.Balancer.Actions;
import cedarrelay.Balancer.ListKind;
import cedarrelay.Balancer.Outcome;
import cedarrelay.Balancer.Request;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.ServerEntry;
import cedarrelay.Balancer.ServerState;
import cedarrelay.Balancer.Settings;

/**
 * Tests what the balancer guarantees for each request: one final response before the client's deadline, no
 * retry that could take effect twice, and nothing sent to a draining or removed server. Also how it requests
 * the server list and what it rejects.
 */
class RequestGuaranteesTest {

    private static ServerEntry server(String id, int zone, int cell, ServerState state) {
        return new ServerEntry(id, zone, cell, state, 1, 0);
    }

    /**
     * What follows a first attempt of a class, given by its index in {@link TestNode}, with the given result:
     * "again" means another attempt, "failed" that the request fails.
     */
    @ParameterizedTest
    @CsvSource({
        "0, ERROR, again", "0, REJECTED, again", "0, TIMEOUT, again", "0, CONNECT_FAILED, again",
        "0, RESET, again",
        "1, ERROR, again", "1, REJECTED, again", "1, TIMEOUT, again", "1, CONNECT_FAILED, again",
        "1, RESET, again",
        "3, ERROR, again", "3, REJECTED, again", "3, TIMEOUT, again", "3, CONNECT_FAILED, again",
        "3, RESET, again",
        "4, ERROR, failed", "4, REJECTED, again", "4, TIMEOUT, failed", "4, CONNECT_FAILED, again",
        "4, RESET, failed",
        "4, CANCELLED, failed", "4, NOT_SENT, again"})
    void retriesDependOnTheRequestClassAndTheResult(int classIndex, Result result, String expected) {
        TestNode node = new TestNode().withServers(4);
        long id = node.submit(classIndex);
        node.completeAttempt(id, result, 1_000);
        assertEquals(expected.equals("again") ? 2 : 1, node.attemptCount(id));
        assertEquals(expected.equals("failed") ? List.of(id) : List.of(), node.failed);
        assertEquals(List.of(), node.refused);
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsCellAndZone() {
        for (int classIndex : new int[] {TestNode.KEYED_CELL, TestNode.KEYED_ZONE}) {
            TestNode node = new TestNode();
            node.updateServers(ListKind.CACHED, List.of(server("a", 0, 1, ServerState.READY),
                    server("x", 1, 2, ServerState.READY),
                    server("b", 0, 1, ServerState.READY), server("y", 1, 2, ServerState.READY)));
            long id = node.submit(classIndex);
            String first = node.latestAttempt(id).serverId();
            node.completeAttempt(id, Result.RESET, 1_000);
            String second = node.latestAttempt(id).serverId();
            assertEquals(2, node.attemptCount(id));
            assertTrue((first + second).matches("ab|ba|xy|yx"), first + second);
        }
    }

    @Test
    void aKeyedRequestThatCertainlyNeverRanMayGoToAnyServer() {
        TestNode node = new TestNode();
        node.updateServers(ListKind.CACHED, List.of(server("a", 0, 1, ServerState.READY),
                    server("x", 1, 2, ServerState.READY)));
        long id = node.submit(TestNode.KEYED_CELL);
        node.completeAttempt(id, Result.REJECTED, 1_000);
        assertEquals(2, node.attemptCount(id));
    }

    @Test
    void aKeyedRequestIsNotRetriedAfterItsWindowAndIsRefusedOnlyIfAllServersDropRepeats() {
        for (int classIndex : new int[] {TestNode.KEYED_ALL, TestNode.KEYED_CELL}) {
            TestNode node = new TestNode(TestNode.settingsWithLateUtility(), 7).withServers(3);
            long id = node.submit(classIndex);
            node.completeAttempt(id, Result.ERROR, 400_001);
            assertEquals(1, node.attemptCount(id));
            assertEquals(classIndex == TestNode.KEYED_ALL ? List.of(id) : List.of(), node.refused);
            assertEquals(classIndex == TestNode.KEYED_ALL ? List.of() : List.of(id), node.failed);
        }
    }

    @Test
    void theWindowCountsFromTheFirstAttemptThatMayHaveRun() {
        TestNode node = new TestNode(TestNode.settingsWithLateUtility(), 7).withServers(4);
        long id = node.submit(TestNode.KEYED_ALL);
        node.completeAttempt(id, Result.CONNECT_FAILED, 300_000);
        node.completeAttempt(id, Result.ERROR, 300_000);
        assertEquals(3, node.attemptCount(id));
        node.completeAttempt(id, Result.ERROR, 100_001);
        assertEquals(3, node.attemptCount(id));
    }

    @Test
    void aRetryMustBeSentInsideTheWindowUnlessNoAttemptCanHaveRun() {
        TestNode node = new TestNode(TestNode.settingsWithLateUtility(), 7).withServers(4);
        long id = node.submit(TestNode.KEYED_ALL);
        assertEquals(Actions.NO_SEND_DEADLINE, node.latestAttempt(id).sendByUs());
        node.completeAttempt(id, Result.CONNECT_FAILED, 100_000);
        assertEquals(Actions.NO_SEND_DEADLINE, node.latestAttempt(id).sendByUs());
        long windowEndUs = node.nowUs + 400_000;
        node.completeAttempt(id, Result.ERROR, 100_000);
        assertEquals(windowEndUs, node.latestAttempt(id).sendByUs());
        node.completeAttempt(id, Result.ERROR, 100_000);
        assertEquals(windowEndUs, node.latestAttempt(id).sendByUs());
        long safe = node.submit(TestNode.SAFE);
        node.completeAttempt(safe, Result.ERROR, 100_000);
        assertEquals(Actions.NO_SEND_DEADLINE, node.latestAttempt(safe).sendByUs());
    }

    @Test
    void aTimeoutAtTheDeadlineEndsTheRequestAtOnce() {
        TestNode node = new TestNode().withServers(3);
        long safe = node.submit(TestNode.SAFE, 100_000);
        long unsafe = node.submit(TestNode.UNSAFE, 100_000);
        node.completeAttempt(safe, Result.TIMEOUT, 100_000);
        node.completeAttempt(unsafe, Result.TIMEOUT, 0);
        assertEquals(List.of(safe), node.refused);
        assertEquals(List.of(unsafe), node.failed);
        node.advanceClock(1_000_000);
        assertEquals(1, node.attemptCount(safe));
    }

    @Test
    void noAttemptMayRunPastTheClientsDeadline() {
        TestNode node = new TestNode().withServers(3);
        long id = node.submit(TestNode.SAFE, 123_000);
        assertEquals(node.nowUs + 123_000, node.latestAttempt(id).untilUs());
    }

    @Test
    void aRequestOfADisconnectedClientGetsNoFurtherAttemptOrAnswer() {
        TestNode node = new TestNode().withServers(1);
        long id = node.submit(TestNode.SAFE);
        node.balancer.onClientDisconnected(node.nowUs, id);
        node.completeAttempt(id, Result.ERROR, 1_000);
        node.advanceClock(2_000_000);
        assertEquals(1, node.attemptCount(id));
        assertTrue(node.refused.isEmpty() && node.failed.isEmpty());
        node.balancer.onClientDisconnected(node.nowUs, id);
        node.balancer.onOutcome(node.nowUs, new Outcome(id, 0, Result.OK, 1, true, null));
    }

    @Test
    void nothingIsSentToADrainingOrRemovedServer() {
        for (ServerState state : new ServerState[] {ServerState.DRAINING, ServerState.REMOVED}) {
            TestNode node = new TestNode().withServers(2);
            node.updateServers(ListKind.CHANGES, List.of(server("s0", 0, 0, state)));
            for (int i = 0; i < 50; i++) {
                assertEquals("s1", node.submitAndComplete(TestNode.UNSAFE,
                        i % 3 == 0 ? Result.ERROR : Result.OK, 1_000));
                node.advanceClock(1_100_000);
            }
        }
    }

    @Test
    void removedServersAreForgotten() throws ReflectiveOperationException {
        TestNode node = new TestNode().withServers(1);
        for (int i = 0; i < 500; i++) {
            node.updateServers(ListKind.CHANGES, List.of(TestNode.readyServer("t" + i)));
            node.submitAndComplete(TestNode.UNSAFE, Result.ERROR, 1_000);
            node.updateServers(ListKind.CHANGES, List.of(server("t" + i, 0, 0, ServerState.REMOVED)));
        }
        var serversById = ServiceQBalancer.class.getDeclaredField("serversById");
        serversById.setAccessible(true);
        assertEquals(1, ((java.util.Map<?, ?>) serversById.get(node.balancer)).size());
    }

    @Test
    void aServerMissingFromAFullListIsRemoved() {
        TestNode node = new TestNode().withServers(2);
        node.updateServers(ListKind.FULL, List.of(TestNode.readyServer("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.submitAndComplete(TestNode.SAFE, Result.OK, 1_000));
        }
    }

    @Test
    void aListOnRequestIsRequestedAtOnceAndAgainSoonAfterEachFailure() {
        Settings settings = TestNode.settings();
        settings.listOnRequest = true;
        TestNode node = new TestNode(settings, 1).withServers(1);
        assertEquals(1, node.subscriptions);
        for (int failures = 1; failures <= 6; failures++) {
            node.balancer.onListFailed(node.nowUs);
            assertEquals(failures, node.subscriptions);
            node.advanceClock(settings.listRequestIntervalUs / 2);
            assertEquals(failures + 1, node.subscriptions);
        }
        node.updateServers(ListKind.CHANGES, List.of());
        node.advanceClock(10 * settings.listRequestIntervalUs);
        assertEquals(7, node.subscriptions);
    }

    @Test
    void afterManyFailuresTheListIsStillRequestedAgainInTime() {
        for (int seed = 0; seed < 20; seed++) {
            Settings settings = TestNode.settings();
            settings.listOnRequest = true;
            settings.listRequestIntervalUs = 40_000_000;
            TestNode node = new TestNode(settings, seed).withServers(1);
            for (int failures = 0; failures < 12; failures++) {
                int requestsBefore = node.subscriptions;
                node.balancer.onListFailed(node.nowUs);
                // A list request times out after 3 s; the next must be answered within 6 s of the first one.
                node.advanceClock(1_500_000);
                assertEquals(requestsBefore + 1, node.subscriptions,
                        "list requests, with " + failures + " earlier failures");
            }
        }
    }

    @Test
    void aListRequestThatIsNeverAnsweredIsRepeatedInsideTheAllowedTime() {
        Settings settings = TestNode.settings();
        settings.listOnRequest = true;
        TestNode node = new TestNode(settings, 1).withServers(1);
        node.advanceClock(settings.listRequestIntervalUs - 1);
        assertTrue(node.subscriptions >= 2);
    }

    @Test
    void settingsAndRequestsOutOfRangeAreRejected() {
        Settings empty = new Settings();
        assertThrows(IllegalArgumentException.class, () -> new TestNode(empty, 1));
        Settings negativeTime = TestNode.settings();
        negativeTime.slowStartUs = -1;
        assertThrows(IllegalArgumentException.class, () -> new TestNode(negativeTime, 1));
        Settings unknownZone = TestNode.settings();
        unknownZone.myZone = 9;
        assertThrows(IllegalArgumentException.class, () -> new TestNode(unknownZone, 1));
        TestNode node = new TestNode().withServers(1);
        assertThrows(IllegalArgumentException.class, () -> node.submit(99));
        assertThrows(IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.nowUs, new Request(5, 0, 7, 1_000, 0, false)));
        node.balancer.onRequest(node.nowUs, new Request(6, 0, -1, 1_000_000, 0, false));
        assertThrows(IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.nowUs, new Request(6, 0, -1, 1_000_000, 0, false)));
    }
}
