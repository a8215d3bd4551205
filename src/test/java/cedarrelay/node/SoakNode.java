package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/** A node of the soak's fleet, with its discovery agent. Each restart gives it a new process. */
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
    /** Counts kills, before and after each: a response missed around a kill breaks no rule. */
    final AtomicInteger terminations = new AtomicInteger();
    /** When the current process was sent SIGTERM, by System.nanoTime, or 0. */
    volatile long stopSignalNs;
    private final SoakLedger ledger;
    private final boolean pushed;
    private NodeProcess process;

    SoakNode(int index, SoakDiscovery agent, SoakLedger ledger, boolean pushed) throws IOException {
        this.index = index;
        this.agent = agent;
        this.ledger = ledger;
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
        process.signal("STOP");
        // The process has been paused since a few milliseconds before this.
        long fromNs = System.nanoTime();
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } finally {
            // Recorded before the process continues, so that checks of its first sends find the pause.
            ledger.recordPause(index, fromNs, System.nanoTime());
            process.signal("CONT");
        }
    }

    /** Kills the process (SIGKILL) and starts a new one after {@code downMs}. */
    synchronized void crash(long downMs) throws Exception {
        terminations.incrementAndGet();
        process.signal("KILL");
        process.close();
        terminations.incrementAndGet();
        TimeUnit.MILLISECONDS.sleep(downMs);
        start();
    }

    /** Sends SIGTERM, checks that the process ends in order and in time, and starts a new one. */
    synchronized void restart() throws Exception {
        checkCounters();
        boolean wasReady = process.isReady();
        stopSignalNs = System.nanoTime();
        process.signal("TERM");
        if (!process.awaitEnd(MAX_STOP_MS)) {
            ledger.recordViolation("node " + index + " is still running " + MAX_STOP_MS
                    + " ms after SIGTERM");
        } else if (process.exitValue() == SIGTERM_EXIT_STATUS && !wasReady) {
            // SIGTERM came before the program had set up its signal handler, so the JVM ended it.
            terminations.incrementAndGet();
        } else if (process.exitValue() != 0) {
            ledger.recordViolation("node " + index + " ended with exit status " + process.exitValue());
        }
        process.close();
        start();
    }

    /** Checks that the process runs and that its own counters of violations are 0. */
    synchronized void checkCounters() throws IOException {
        if (!process.isAlive()) {
            List<String> logLines = Files.readAllLines(logFile);
            ledger.recordViolation("node " + index + " has ended unexpectedly: "
                    + logLines.subList(Math.max(0, logLines.size() - 5), logLines.size()));
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
                    ledger.recordViolation("node " + index + " reports " + name + " " + count);
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
