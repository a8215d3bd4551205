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
 * A fleet of real processes under faults that overlap in time, drawn from a seed; the rules are the
 * oracle. Without properties it plays one short seed. More: {@code -Dsoak.seeds=1-20 -Dsoak.nodes=10
 * -Dsoak.seconds=20}. Every third seed asks for its lists; to the others they are pushed.
 */
@Timeout(1_800)
class FaultSoakTest {
    private static final int NODES = Integer.getInteger("soak.nodes", 10);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 8);
    private static final int SERVERS = 8;
    private static final int CLIENTS = 3;
    private static final int MOST_HELD_UP_MS = 1_000;
    private static final int GONE_AFTER_MS = 3_000;
    private static final int LEAST_READY = 4;
    private static final int MOST_GAP_MS = 250;

    private final List<SoakServer> servers = new ArrayList<>();
    private final List<SoakServer> ready = new ArrayList<>();
    private final List<SoakNode> nodes = new ArrayList<>();
    private final Queue<String> timeline = new ConcurrentLinkedQueue<>();
    private SoakDiscovery[] agents;
    private SoakLedger ledger;
    private SplittableRandom random;
    private ExecutorService faults;
    private int started;

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void theRulesHold(long seed) throws Exception {
        random = new SplittableRandom(seed);
        faults = Executors.newCachedThreadPool();
        List<SoakClient> clients = new ArrayList<>();
        try {
            open(seed % 3 != 0);
            List<Thread> threads = new ArrayList<>();
            for (SoakNode node : nodes) {
                for (int i = 0; i < CLIENTS; i++) {
                    SoakClient client = new SoakClient(node, i, ledger, random.nextLong());
                    clients.add(client);
                    threads.add(new Thread(client));
                }
            }
            threads.forEach(Thread::start);
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
            while (System.nanoTime() - endNs < 0) {
                fault();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_GAP_MS));
            }
            faults.shutdown();
            assertTrue(faults.awaitTermination(60, TimeUnit.SECONDS), "faults never end");
            clients.forEach(SoakClient::end);
            for (Thread thread : threads) {
                thread.join();
            }
            finish(seed);
        } finally {
            clients.forEach(SoakClient::end);
            close();
        }
    }

    private void open(boolean pushed) throws Exception {
        agents = new SoakDiscovery[NODES];
        ledger = new SoakLedger(agents, pushed);
        for (int i = 0; i < NODES; i++) {
            agents[i] = new SoakDiscovery();
            nodes.add(new SoakNode(i, agents[i], ledger, pushed));
        }
        for (int i = 0; i < SERVERS; i++) {
            join();
        }
        for (SoakNode node : nodes) {
            node.start();
        }
        for (SoakNode node : nodes) {
            node.awaitReady();
        }
        faults.execute(() -> {
            try {
                while (!faults.isShutdown()) {
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

    private void finish(long seed) throws Exception {
        long held = 0;
        for (SoakNode node : nodes) {
            node.awaitReady();
            node.checkCounters();
            held += node.metric("sends_held_total");
        }
        System.out.println("soak seed " + seed + ": " + ledger.arrivals + " attempts, " + ledger.served
                + " served, " + ledger.refused + " refused, " + ledger.failed + " failed, " + held
                + " held, violations " + ledger.violations);
        if (!ledger.violations.isEmpty()) {
            timeline.forEach(System.out::println);
        }
        assertEquals(List.of(), List.copyOf(ledger.violations), "seed " + seed);
        assertTrue(ledger.served.get() > NODES * SECONDS, "hardly anything served");
    }

    private void close() throws IOException {
        faults.shutdownNow();
        nodes.forEach(SoakNode::close);
        for (SoakDiscovery agent : agents) {
            agent.close();
        }
        for (SoakServer server : servers) {
            server.close();
        }
    }

    /** Something goes wrong, beside whatever does already. */
    private void fault() throws IOException {
        int which = random.nextInt(100);
        SoakNode node = nodes.get(random.nextInt(NODES));
        int ms = random.nextInt(50, MOST_HELD_UP_MS);
        if (which < 35) {
            run("hold up node " + node.index + " for " + ms, () -> node.holdUp(ms));
        } else if (which < 55) {
            drain();
        } else if (which < 62) {
            run("crash node " + node.index, () -> node.crash(ms));
        } else if (which < 70) {
            run("restart node " + node.index, node::restart);
        } else if (which < 82) {
            SoakDiscovery.Fault fault = SoakDiscovery.Fault.values()[random.nextInt(3)];
            timeline.add(ledger.now() + " watches " + fault);
            for (SoakDiscovery agent : agents) {
                agent.spoil(fault);
            }
        } else if (which < 88) {
            run("silence for " + 4 * ms, () -> silence(4L * ms));
        } else {
            SoakServer server = ready.get(random.nextInt(ready.size()));
            SoakServer.Mode mode = SoakServer.Mode.values()[random.nextInt(5)];
            run(server.id + " " + mode, () -> {
                server.mode = mode;
                TimeUnit.MILLISECONDS.sleep(2L * ms);
                server.mode = SoakServer.Mode.SERVE;
            });
        }
    }

    private void silence(long ms) throws Exception {
        for (SoakDiscovery agent : agents) {
            agent.fallSilent();
        }
        TimeUnit.MILLISECONDS.sleep(ms);
        for (SoakDiscovery agent : agents) {
            agent.speak();
        }
    }

    private void join() throws IOException {
        SoakServer server = new SoakServer("s-" + ++started, ledger);
        servers.add(server);
        ready.add(server);
        tell(server, "Ready");
    }

    /** A server drains, another takes its place, and the first is gone later. */
    private void drain() throws IOException {
        if (ready.size() > LEAST_READY) {
            SoakServer server = ready.remove(random.nextInt(ready.size()));
            tell(server, "Terminating");
            run(server.id + " drains", () -> {
                TimeUnit.MILLISECONDS.sleep(GONE_AFTER_MS);
                tell(server, "Gone");
            });
        }
        if (ready.size() < SERVERS) {
            join();
        }
    }

    private void tell(SoakServer server, String state) {
        for (SoakDiscovery agent : agents) {
            agent.tell(server.id, server.address(), state, 0);
        }
    }

    private interface Fault {
        void run() throws Exception;
    }

    private void run(String what, Fault fault) {
        faults.execute(() -> {
            try {
                timeline.add(ledger.now() + " " + what);
                fault.run();
                timeline.add(ledger.now() + " over: " + what);
            } catch (Exception | AssertionError e) {
                ledger.violated(what + " could not be made: " + e);
            }
        });
    }
}
