package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/** A node of the soak test's fleet, with its discovery agent. Each restart gives it a new process. */
final class SoakNode implements Closeable {
    /** The longest deadline of a client. */
    static final int MAX_DEADLINE_MS = 3_000;
    /** The longest deadline and 0.7 s, when SIGKILL may come, plus 1.5 s for a busy machine. */
    private static final long MAX_STOP_MS = MAX_DEADLINE_MS + 700 + 1_500;
    private static final int SIGTERM_EXIT_STATUS = 143;
    private static final String CLASSES = """
            [{"name":"view","onTimeUs":1000000,"giveUpUs":3000000,"repeat":"safe","group":"all"},
             {"name":"photo","onTimeUs":1000000,"giveUpUs":3000000,"repeat":"keyed","group":"all",
              "windowUs":1200000},
             {"name":"order","onTimeUs":1000000,"giveUpUs":3000000,"repeat":"unsafe","group":"all"}]""";

    final int index;
    final SoakDiscovery agent;
    final int port;
    final Path logFile;
    /** Incremented before and after each kill: a response that a kill prevents breaks no rule. */
    final AtomicInteger terminations = new AtomicInteger();
    /** When the current process was sent SIGTERM, by System.nanoTime, or 0. */
    volatile long stopSignalNs;
    private final SoakRules rules;
    private final boolean pushed;
    private NodeProcess process;

    SoakNode(int index, SoakDiscovery agent, SoakRules rules, boolean pushed) throws IOException {
        this.index = index;
        this.agent = agent;
        this.rules = rules;
        this.pushed = pushed;
        port = NodeProcess.freePort();
        logFile = Files.createTempFile("soak-" + index + "-", ".log");
        logFile.toFile().deleteOnExit();
    }

    synchronized void start() throws Exception {
        JsonObject config = Fixture.config(agent.peer());
        JsonObject settings = config.getAsJsonObject("settings");
        settings.add("classes", JsonParser.parseString(CLASSES));
        settings.add("realms", new JsonArray());
        settings.addProperty("membershipMode", pushed ? "pushed" : "on_request");
        settings.getAsJsonObject("limits").addProperty("dialTimeoutUs", 500_000);
        config.addProperty("seed", Integer.toHexString(index + 1));
        process = new NodeProcess(config, port, logFile, Map.of());
        stopSignalNs = 0;
    }

    synchronized void awaitReady() throws Exception {
        process.awaitReady();
    }

    /** Pauses the process (SIGSTOP, SIGCONT). */
    synchronized void pause(long ms) throws Exception {
        SoakRules.Pause pause = rules.recordPause(index);
        process.sendSignal("STOP");
        try {
            process.awaitStopped();
            pause.recordStopped();
            TimeUnit.MILLISECONDS.sleep(ms);
        } finally {
            process.sendSignal("CONT");
            pause.recordEnd();
        }
    }

    /** Kills the process (SIGKILL) and starts a new one after {@code downMs}. */
    synchronized void crash(long downMs) throws Exception {
        terminations.incrementAndGet();
        process.sendSignal("KILL");
        process.close();
        terminations.incrementAndGet();
        TimeUnit.MILLISECONDS.sleep(downMs);
        start();
    }

    /** Sends SIGTERM, checks that the process exits cleanly and in time, and starts a new one. */
    synchronized void restart() throws Exception {
        checkCounters();
        boolean wasReady = process.isReady();
        stopSignalNs = System.nanoTime();
        process.sendSignal("TERM");
        if (!process.awaitExit(MAX_STOP_MS)) {
            rules.recordViolation("node " + index + " is still running " + MAX_STOP_MS
                    + " ms after SIGTERM");
        } else if (process.exitValue() == SIGTERM_EXIT_STATUS && !wasReady) {
            // SIGTERM came before the program had set up its signal handler, so the JVM ended it.
            terminations.incrementAndGet();
        } else if (process.exitValue() != 0) {
            rules.recordViolation("node " + index + " ended with exit status " + process.exitValue());
        }
        process.close();
        start();
    }

    /** Checks that the process runs and that its own counters of violations are 0. */
    synchronized void checkCounters() throws IOException {
        if (!process.isAlive()) {
            rules.recordViolation("node " + index + " has ended unexpectedly: " + process.lastLogLines());
            return;
        }
        if (!process.isReady()) {
            return;
        }
        for (Metrics.Counter counter : Metrics.Counter.values()) {
            if (counter.name().startsWith("VIOLATIONS")) {
                String name = counter.name().toLowerCase(java.util.Locale.ROOT) + "_total";
                long count = process.metric(name);
                if (count > 0) {
                    rules.recordViolation("node " + index + " reports " + name + " " + count);
                }
            }
        }
    }

    long metric(String name) throws IOException {
        return process.metric(name);
    }

    @Override
    public void close() {
        if (process != null) {
            process.close();
        }
    }
}
