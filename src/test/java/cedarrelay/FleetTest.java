package cedarrelay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import cedarrelay.Balancer.ListKind;
import cedarrelay.Balancer.Outcome;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.ServerEntry;
import cedarrelay.Balancer.ServerState;
import cedarrelay.Balancer.Settings;
import cedarrelay.Balancer.Tenant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests many nodes that serve the same servers. For slow start, what all nodes together send to the new
 * servers counts, with retries and probes. Nodes share nothing, so each one is run by itself on the same
 * clock and the results are added up.
 */
class FleetTest {
    private static final long SERVER_START_US = 12_000_000;
    /** Latencies are spread evenly from half to one and a half of this. */
    private static final long MEAN_LATENCY_US = 60_000;
    private static final long PROBE_LATENCY_US = 2_000;
    /** Each node receives a changed list within this time. */
    private static final int MAX_LIST_DELAY_US = 300_000;
    /** One response in this many is an error, after which a safe request is retried elsewhere. */
    private static final int RESPONSES_PER_ERROR = 12;

    private record Event(long atUs, Runnable action) { }

    /** Nodes that share only the clock and the servers, and what they sent to the servers in slow start. */
    private static final class Fleet {
        private final Settings settings = new Settings();
        private final SplittableRandom random = new SplittableRandom(20261202);
        private final int servers;
        private final int newServers;
        /** For each new server the times at which requests and probes were sent to it. */
        private final List<List<Long>> sendTimesUs = new ArrayList<>();

        private Fleet(int nodes, int servers, int newServers) {
            this.servers = servers;
            this.newServers = newServers;
            settings.nodes = nodes;
            settings.zones.add("here");
            settings.classes.add(Node.settingsWithLateUtility().classes.get(Node.SAFE));
            settings.tenants.add(new Tenant("tenant", 0));
            settings.maxAttempts = 4;
            settings.cancel = true;
            settings.probes = true;
            settings.probePrice = 0.0001;
            settings.coldFrom = 0.3;
            settings.coldUs = 9_000_000;
            settings.fallUs = 1_000_000;
            settings.fallMultiple = 2.5;
            for (int i = 0; i < newServers; i++) {
                sendTimesUs.add(new ArrayList<>());
            }
        }

        /** The server list before or after the new servers have started. */
        private List<ServerEntry> serverList(boolean started) {
            List<ServerEntry> list = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                boolean isNew = i < newServers;
                if (started || !isNew) {
                    list.add(new ServerEntry("s" + i, 0, 0, ServerState.READY, 1,
                            isNew ? SERVER_START_US : 0));
                }
            }
            return list;
        }

        /** Runs one node from its start until the new servers are warm. */
        private void runNode(long nodeStartUs, double requestsPerS) {
            Node node = new Node(settings, random.nextLong());
            node.nowUs = nodeStartUs;
            PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atUs));
            node.updateServers(ListKind.CACHED, serverList(nodeStartUs > SERVER_START_US));
            if (nodeStartUs <= SERVER_START_US) {
                events.add(new Event(SERVER_START_US + random.nextInt(MAX_LIST_DELAY_US),
                        () -> node.updateServers(ListKind.FULL, serverList(true))));
            }
            events.add(new Event(nodeStartUs, () -> submitAndScheduleNext(node, events, requestsPerS)));
            int processed = 0;
            int responses = random.nextInt(RESPONSES_PER_ERROR);
            while (!events.isEmpty() && events.peek().atUs() < SERVER_START_US + settings.coldUs) {
                Event next = events.poll();
                node.advanceClock(Math.max(0, next.atUs() - node.nowUs));
                next.action().run();
                for (; processed < node.sent.size(); processed++) {
                    Node.SentAttempt attempt = node.sent.get(processed);
                    countSend(attempt.serverId(), attempt.sentAtUs());
                    Result result = ++responses % RESPONSES_PER_ERROR == 0 ? Result.ERROR : Result.OK;
                    events.add(new Event(
                            attempt.sentAtUs() + MEAN_LATENCY_US / 2 + random.nextLong(MEAN_LATENCY_US),
                            () -> node.completeAttempt(attempt.requestId(), result, 0)));
                }
                List<String> probedServers = new ArrayList<>(node.probedServers);
                node.probedServers.clear();
                for (String serverId : probedServers) {
                    countSend(serverId, node.nowUs);
                    events.add(new Event(node.nowUs + PROBE_LATENCY_US,
                            () -> node.balancer.onProbe(node.nowUs, serverId, Result.OK,
                                    PROBE_LATENCY_US, null)));
                }
            }
        }

        /** Submits a request and schedules the next one after an exponentially distributed gap. */
        private void submitAndScheduleNext(Node node, PriorityQueue<Event> events, double requestsPerS) {
            node.submit(0);
            events.add(new Event(
                    node.nowUs + (long) (-Math.log(1 - random.nextDouble()) / requestsPerS * 1e6),
                    () -> submitAndScheduleNext(node, events, requestsPerS)));
        }

        private void countSend(String serverId, long atUs) {
            int server = Integer.parseInt(serverId.substring(1));
            if (server < newServers) {
                sendTimesUs.get(server).add(atUs);
            }
        }
    }

    /**
     * Guards against oscillation: a list may lower each weight by the requests that its server had in flight
     * some time ago. If nodes followed such weights exactly, all would send to the servers that were idle
     * then, and next all to others.
     */
    @Test
    void delayedWeightsThatFollowLoadDoNotMakeAllNodesOscillateTogether() {
        int nodes = 30;
        int servers = 12;
        Settings settings = Node.settings();
        settings.nodes = nodes;
        List<Node> fleet = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            fleet.add(new Node(settings, i).withServers(servers));
        }
        SplittableRandom random = new SplittableRandom(3);
        long[] inFlight = new long[servers];
        PriorityQueue<Event> responses = new PriorityQueue<>(Comparator.comparingLong(Event::atUs));
        double sumOfMaxOverMean = 0;
        int samples = 0;
        for (long nowUs = 1_000_000; nowUs < 21_000_000; nowUs += 10_000) {
            if (nowUs % 1_000_000 == 0) {
                List<ServerEntry> list = new ArrayList<>();
                for (int i = 0; i < servers; i++) {
                    list.add(new ServerEntry("s" + i, 0, 0, ServerState.READY, 1.0 / (1 + inFlight[i]), 0));
                }
                fleet.forEach(node -> node.updateServers(ListKind.FULL, list));
            }
            while (!responses.isEmpty() && responses.peek().atUs() <= nowUs) {
                responses.poll().action().run();
            }
            for (Node node : fleet) {
                node.advanceClock(nowUs - node.nowUs);
                // Each node gets ten requests a second, so that each server has five in flight on average.
                if (random.nextInt(10) == 0) {
                    node.submit(Node.SAFE);
                }
                for (Node.SentAttempt attempt : node.sent) {
                    int server = Integer.parseInt(attempt.serverId().substring(1));
                    inFlight[server]++;
                    responses.add(new Event(nowUs + 150_000 + random.nextInt(100_000), () -> {
                        inFlight[server]--;
                        node.balancer.onOutcome(node.nowUs, new Outcome(attempt.requestId(),
                                attempt.attempt(), Result.OK, node.nowUs - attempt.sentAtUs(), true, null));
                    }));
                }
                node.sent.clear();
            }
            long sum = Arrays.stream(inFlight).sum();
            if (nowUs > 3_000_000 && sum > 0) {
                sumOfMaxOverMean += Arrays.stream(inFlight).max().orElseThrow() * (double) servers / sum;
                samples++;
            }
        }
        double meanMaxOverMean = sumOfMaxOverMean / samples;
        assertTrue(meanMaxOverMean < 2.2,
                "requests in flight at the busiest server, relative to the mean: " + meanMaxOverMean);
    }

    /**
     * One node in ten gets three times the mean load. The share {@code restarted} of the nodes starts after
     * the new servers have started.
     */
    @ParameterizedTest
    @CsvSource({"20,60,1,20,0", "20,60,36,20,0.5", "30,60,36,20,0", "30,200,120,5,1", "120,60,1,20,0",
        "120,60,36,20,0.3", "120,200,120,10,1", "120,200,120,2,0.5", "120,30,18,40,0"})
    void serversInSlowStartAreNotOverloadedByTheSumOfAllNodes(int nodes, int servers, int newServers,
            double requestsPerSPerServer, double restarted) {
        Fleet fleet = new Fleet(nodes, servers, newServers);
        for (int i = 0; i < nodes; i++) {
            double requestsPerS = requestsPerSPerServer * servers / nodes * (i % 10 == 0 ? 3 : 7 / 9.0);
            if (i < restarted * nodes) {
                fleet.runNode(SERVER_START_US + fleet.random.nextInt(1_000_000), requestsPerS);
            } else {
                fleet.runNode(1_000_000, requestsPerS);
            }
        }
        long totalSends = 0;
        for (List<Long> sendTimes : fleet.sendTimesUs) {
            sendTimes.sort(null);
            totalSends += sendTimes.size();
            for (int from = 0, to = 0; from < sendTimes.size(); from++) {
                while (to < sendTimes.size()
                        && sendTimes.get(to) < sendTimes.get(from) + fleet.settings.fallUs) {
                    to++;
                }
                double warmUpProgress = (sendTimes.get(from) - SERVER_START_US)
                        / (double) fleet.settings.coldUs;
                double share = fleet.settings.coldFrom
                        + (1 - fleet.settings.coldFrom) * Math.min(1, warmUpProgress);
                double limit = fleet.settings.fallMultiple * share * requestsPerSPerServer
                        * fleet.settings.fallUs / 1e6;
                assertTrue(to - from <= limit + 2 * Math.sqrt(limit) + 2, (to - from) + " sends within "
                        + "fallUs exceed the limit of " + limit + " at this part of slow start: "
                        + warmUpProgress);
            }
        }
        double evenShare = requestsPerSPerServer * newServers * fleet.settings.coldUs / 1e6;
        assertTrue(totalSends > 0.2 * evenShare,
                "servers in slow start get too little: " + totalSends + " of " + evenShare);
    }
}
