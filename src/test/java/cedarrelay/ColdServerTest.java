package cedarrelay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import cedarrelay.Balancer.ListKind;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.ServerEntry;
import cedarrelay.Balancer.ServerState;

/** Tests slow start: how much a node sends to a server that has just started. */
class ColdServerTest {

    private static ServerEntry serverStartedAt(String id, long startedAtUs) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, startedAtUs);
    }

    @Test
    void aServerInSlowStartGetsNoMoreThanItsBudgetHoweverOftenClientsRetry() {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.submitAndComplete(Node.SAFE, Result.OK, 10_000);
        }
        node.updateServers(ListKind.CHANGES, List.of(serverStartedAt("new", node.nowUs)));
        // The servers complete 100 requests a second: each of five would get 20, and a server in slow start
        // has a fifth of its capacity.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(node.submit(Node.SAFE));
            }
            node.advanceClock(10_000);
            // Only one of ten is completed: ten times as many requests arrive as the servers complete.
            burst.stream().map(node::latestAttempt)
                    .filter(attempt -> attempt != null && !attempt.serverId().equals("new")).findFirst()
                    .ifPresent(attempt -> node.completeAttempt(attempt.requestId(), Result.OK, 0));
        }
        long sentToNewServer = node.attemptsTo("new");
        assertTrue(sentToNewServer >= 1 && sentToNewServer <= 16,
                "requests sent to the new server in two seconds: " + sentToNewServer);
    }

    /**
     * How many of 200 requests in two seconds a server in slow start gets that has weight 1 and joins four
     * servers of weight {@code otherWeight}.
     */
    private static long sentToNewServerAmong(double otherWeight) {
        Node node = new Node().withServers(4);
        node.updateServers(ListKind.CHANGES, List.of("s0", "s1", "s2", "s3").stream()
                .map(id -> new ServerEntry(id, 0, 0, ServerState.READY, otherWeight, 0)).toList());
        for (int i = 0; i < 400; i++) {
            node.submitAndComplete(Node.SAFE, Result.OK, 10_000);
        }
        node.updateServers(ListKind.CHANGES, List.of(serverStartedAt("new", node.nowUs)));
        for (int i = 0; i < 200; i++) {
            node.submitAndComplete(Node.SAFE, Result.OK, 10_000);
        }
        return node.attemptsTo("new");
    }

    @Test
    void theBudgetOfSlowStartDoesNotGrowWhenTheListLowersTheWeightsOfBusyServers() {
        // The list lowers weights with load: those of busy servers to a tenth, that of the idle one not.
        long sentAmongBusyServers = sentToNewServerAmong(0.1);
        // A fifth of 100 requests a second, a fifth of which it can serve at first, for two seconds, times
        // fallMultiple (three): 24 and, as it warms up, a little more would overload it.
        assertTrue(sentAmongBusyServers >= 10 && sentAmongBusyServers <= 24,
                "requests sent to the new server in two seconds: " + sentAmongBusyServers);
    }

    @Test
    void aNodeThatHasJustStartedDoesNotFloodAServerInSlowStart() {
        Node node = new Node();
        node.updateServers(ListKind.CACHED, List.of(serverStartedAt("new", node.nowUs - 100_000),
                Node.readyServer("warm")));
        for (int i = 0; i < 200; i++) {
            node.submit(Node.SAFE);
            node.advanceClock(1_000);
        }
        long sentToNewServer = node.attemptsTo("new");
        assertTrue(sentToNewServer <= 2, "requests sent to the new server in 0.2 s: " + sentToNewServer);
    }

    @Test
    void slowStartDoesNotDependOnWhereTheClockBegins() {
        // Guards against counting the gap before the first response from the zero of the clock.
        List<Long> sentToNewServer = new ArrayList<>();
        for (long startUs : new long[] {1_000_000, 900_000_000_000L}) {
            Node node = new Node();
            node.nowUs = startUs;
            node.withServers(3);
            for (int i = 0; i < 100; i++) {
                node.submitAndComplete(Node.SAFE, Result.OK, 10_000);
            }
            node.updateServers(ListKind.CHANGES, List.of(serverStartedAt("new", node.nowUs)));
            for (int i = 0; i < 300; i++) {
                node.submitAndComplete(Node.SAFE, Result.OK, 10_000);
            }
            sentToNewServer.add(node.attemptsTo("new"));
        }
        assertEquals(sentToNewServer.get(0), sentToNewServer.get(1));
        assertTrue(sentToNewServer.get(0) > 1,
                "requests sent to the new server in three seconds: " + sentToNewServer.get(0));
    }

    @Test
    void duringSlowStartAServersConcurrencyLimitDoesNotGrowPastThoseOfOthers() {
        // Guards against a server that is overloaded once it is warm: during slow start it gets single
        // requests and is fast with them, which raised its concurrency limit too far.
        Balancer.Settings settings = Node.settings();
        settings.nodes = 8;
        Node node = new Node(settings, 5);
        node.updateServers(ListKind.CACHED, List.of(serverStartedAt("new", node.nowUs),
                Node.readyServer("warm")));
        long warmAtUs = node.nowUs + settings.coldUs;
        int completed = 0;
        while (node.nowUs < warmAtUs) {
            for (int i = 0; i < 3; i++) {
                node.submit(Node.SAFE);
            }
            for (; completed < node.sent.size(); completed++) {
                Node.SentAttempt attempt = node.sent.get(completed);
                node.completeAttempt(attempt.requestId(), Result.OK,
                        attempt.serverId().equals("new") ? 10_000 : 150_000);
            }
            node.advanceClock(50_000);
        }
        node.advanceClock(3_000_000);
        long sentBefore = node.attemptsTo("new");
        for (int i = 0; i < 20; i++) {
            node.submit(Node.SAFE);
        }
        long sentAtOnce = node.attemptsTo("new") - sentBefore;
        assertTrue(sentAtOnce <= 1, "requests sent at once to the server that is now warm: " + sentAtOnce);
    }

    @Test
    void manyNodesNotifiedOfANewServerAtOnceDoNotTogetherOverloadIt() {
        // Guards against nodes that all send their first request to a new server as soon as it is picked:
        // together these first requests overloaded it.
        Balancer.Settings settings = Node.settings();
        settings.nodes = 100;
        settings.coldFrom = 0.2;
        settings.coldUs = 20_000_000;
        int sentToNewServer = 0;
        for (int seed = 0; seed < settings.nodes; seed++) {
            Node node = new Node(settings, seed);
            node.withServers(10);
            // Each node gets two requests a second, so that each of ten servers gets twenty from all nodes.
            for (int i = 0; i < 20; i++) {
                node.submitAndComplete(Node.SAFE, Result.OK, 10_000);
                node.advanceClock(490_000);
            }
            node.updateServers(ListKind.CHANGES, List.of(serverStartedAt("new", node.nowUs)));
            for (int i = 0; i < 4; i++) {
                node.submitAndComplete(Node.SAFE, Result.OK, 10_000);
                node.advanceClock(490_000);
            }
            sentToNewServer += (int) node.attemptsTo("new");
        }
        // A fifth of 200/11 requests a second, for two seconds, times fallMultiple (three): 22 at most.
        assertTrue(sentToNewServer >= 1 && sentToNewServer <= 22,
                "requests sent by all nodes in two seconds: " + sentToNewServer);
    }
}
