package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs a fleet of node processes under random, overlapping faults and checks with {@link SoakRules} that no
 * rule is broken. The seed determines the faults. By default it runs one seed for a short time; for more use
 * {@code -Dsoak.seeds=1-20 -Dsoak.nodes=10 -Dsoak.seconds=20}. With every third seed the nodes request their
 * server lists; with the others the lists are pushed.
 */
@Timeout(1_800)
class FaultSoakTest {
    private static final int NODES = Integer.getInteger("soak.nodes", 10);
    private static final int DURATION_S = Integer.getInteger("soak.seconds", 8);
    private static final int SERVERS = 8;
    private static final int CLIENTS_PER_NODE = 3;
    private static final int MAX_PAUSE_MS = 1_000;
    private static final int REMOVAL_DELAY_MS = 3_000;
    private static final int MIN_READY_SERVERS = 4;
    private static final int MAX_FAULT_INTERVAL_MS = 250;

    private final List<SoakServer> servers = new ArrayList<>();
    private final List<SoakServer> readyServers = new ArrayList<>();
    private final List<SoakNode> nodes = new ArrayList<>();
    private final Queue<String> timeline = new ConcurrentLinkedQueue<>();
    private SoakDiscovery[] agents;
    private SoakRules rules;
    private ArrivalRecorder arrivals;
    private SplittableRandom random;
    private ExecutorService faultExecutor;
    private int serverCount;

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void theRulesHold(long seed) throws Exception {
        random = new SplittableRandom(seed);
        faultExecutor = Executors.newCachedThreadPool();
        List<SoakClient> clients = new ArrayList<>();
        try {
            startFleet(seed % 3 != 0);
            List<Thread> threads = new ArrayList<>();
            for (SoakNode node : nodes) {
                for (int i = 0; i < CLIENTS_PER_NODE; i++) {
                    SoakClient client = new SoakClient(node, i, rules, random.nextLong());
                    clients.add(client);
                    threads.add(new Thread(client));
                }
            }
            threads.forEach(Thread::start);
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(DURATION_S);
            while (System.nanoTime() - endNs < 0) {
                injectFault();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_FAULT_INTERVAL_MS));
            }
            faultExecutor.shutdown();
            assertTrue(faultExecutor.awaitTermination(60, TimeUnit.SECONDS),
                    "the faults did not end in time");
            clients.forEach(SoakClient::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            checkResults(seed);
        } finally {
            clients.forEach(SoakClient::stop);
            stopFleet();
        }
    }

    /** Starts the agents, servers and nodes, and waits until all nodes are ready. */
    private void startFleet(boolean pushed) throws Exception {
        agents = new SoakDiscovery[NODES];
        rules = new SoakRules(agents, pushed);
        arrivals = new ArrivalRecorder();
        for (int i = 0; i < NODES; i++) {
            agents[i] = new SoakDiscovery();
            nodes.add(new SoakNode(i, agents[i], rules, pushed));
        }
        for (int i = 0; i < SERVERS; i++) {
            addServer();
        }
        for (SoakNode node : nodes) {
            node.start();
        }
        for (SoakNode node : nodes) {
            node.awaitReady();
        }
        faultExecutor.execute(() -> {
            try {
                while (!faultExecutor.isShutdown()) {
                    TimeUnit.SECONDS.sleep(1);
                    for (SoakDiscovery agent : agents) {
                        agent.heartbeat();
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void checkResults(long seed) throws Exception {
        long sendsHeldBack = 0;
        for (SoakNode node : nodes) {
            node.awaitReady();
            node.checkCounters();
            sendsHeldBack += node.metric("sends_held_total");
        }
        System.out.println("soak seed " + seed + ": " + rules.arrivals + " attempts, " + rules.served
                + " served, " + rules.refused + " refused, " + rules.failed + " failed, " + sendsHeldBack
                + " held, violations " + rules.violations);
        if (!rules.violations.isEmpty()) {
            timeline.forEach(System.out::println);
        }
        assertEquals(List.of(), List.copyOf(rules.violations), "seed " + seed);
        assertTrue(rules.served.get() > NODES * DURATION_S, "too few requests were served");
    }

    private void stopFleet() throws IOException {
        faultExecutor.shutdownNow();
        nodes.forEach(SoakNode::close);
        for (SoakDiscovery agent : agents) {
            agent.close();
        }
        for (SoakServer server : servers) {
            server.close();
        }
        if (arrivals != null) {
            arrivals.close();
        }
    }

    /** Starts a random fault, which may overlap with earlier ones. */
    private void injectFault() throws IOException {
        int choice = random.nextInt(100);
        SoakNode node = nodes.get(random.nextInt(NODES));
        int durationMs = random.nextInt(50, MAX_PAUSE_MS);
        if (choice < 35) {
            runFault("pause node " + node.index + " for " + durationMs, () -> node.pause(durationMs));
        } else if (choice < 55) {
            drainServer();
        } else if (choice < 62) {
            runFault("crash node " + node.index, () -> node.crash(durationMs));
        } else if (choice < 70) {
            runFault("restart node " + node.index, node::restart);
        } else if (choice < 82) {
            SoakDiscovery.WatchFault fault = SoakDiscovery.WatchFault.values()[random.nextInt(3)];
            timeline.add(rules.timestamp() + " watches " + fault);
            for (SoakDiscovery agent : agents) {
                agent.breakWatches(fault);
            }
        } else if (choice < 88) {
            runFault("discovery silent for " + 4 * durationMs, () -> silenceDiscovery(4L * durationMs));
        } else {
            SoakServer server = readyServers.get(random.nextInt(readyServers.size()));
            SoakServer.Mode mode = SoakServer.Mode.values()[random.nextInt(5)];
            runFault(server.id + " " + mode, () -> {
                server.mode = mode;
                TimeUnit.MILLISECONDS.sleep(2L * durationMs);
                server.mode = SoakServer.Mode.SERVE;
            });
        }
    }

    private void silenceDiscovery(long durationMs) throws Exception {
        for (SoakDiscovery agent : agents) {
            agent.startSilence();
        }
        TimeUnit.MILLISECONDS.sleep(durationMs);
        for (SoakDiscovery agent : agents) {
            agent.endSilence();
        }
    }

    private void addServer() throws IOException {
        SoakServer server = new SoakServer("s-" + ++serverCount, rules, arrivals);
        servers.add(server);
        readyServers.add(server);
        announce(server, "Ready");
    }

    /** Drains a server, starts another in its place, and removes the first one later. */
    private void drainServer() throws IOException {
        if (readyServers.size() > MIN_READY_SERVERS) {
            SoakServer server = readyServers.remove(random.nextInt(readyServers.size()));
            announce(server, "Terminating");
            runFault(server.id + " drains", () -> {
                TimeUnit.MILLISECONDS.sleep(REMOVAL_DELAY_MS);
                announce(server, "Gone");
            });
        }
        if (readyServers.size() < SERVERS) {
            addServer();
        }
    }

    private void announce(SoakServer server, String state) {
        for (SoakDiscovery agent : agents) {
            agent.announce(server.id, server.address(), state, 0);
        }
    }

    private interface FaultAction {
        void run() throws Exception;
    }

    private void runFault(String description, FaultAction fault) {
        faultExecutor.execute(() -> {
            try {
                timeline.add(rules.timestamp() + " " + description);
                fault.run();
                timeline.add(rules.timestamp() + " ended: " + description);
            } catch (Exception | AssertionError e) {
                rules.recordViolation(description + " could not be run: " + e);
            }
        });
    }
}
