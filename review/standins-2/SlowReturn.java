import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Lists come on request. Discovery is out of reach for some seconds; when it is back, it is crowded, and each call
 * waits for its answer for 1.7 s. A plan server drains at that moment.
 */
final class SlowReturn {
    private static final int SERVERS = 12;
    private static final int CLIENTS = 6;
    private static final int ROUNDS = 4;
    /** Within the 6.2 to 25 s of the page. */
    private static final long OUTAGE_MS = 10_500;
    /** How long a call waits for its answer while discovery is crowded. */
    private static final long ANSWER_DELAY_MS = 1_700;
    /** A change counts as told 6 s after discovery had it and could be reached; then the
     * drain grace of the settings, and 50 ms. */
    private static final double LAST_SEND_MS = 6_000 + 700 + 50;
    /** The round ends long enough after that. */
    private static final long OBSERVED_MS = 9_500;

    private SlowReturn() { }

    public static void main(String[] args) throws IOException {
        Standins.main(args, SlowReturn::run);
    }

    private static int run(Standins.Record record, Path folder) throws Exception {
        Standins.Discovery discovery = new Standins.Discovery(record, 41, false);
        List<Standins.PlanServer> servers = new ArrayList<>();
        List<String[]> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Standins.PlanServer server = new Standins.PlanServer("s-" + i, i % 2 == 0 ? "quay-1" : "quay-2", record,
                    Standins.answerAfter(20));
            servers.add(server);
            entries.add(new String[] {server.uid, Standins.entry(server)});
        }
        discovery.addAll(entries);
        Standins.Node node = new Standins.Node(folder, "n1", Standins.freePort(), discovery.address(), 1_024, null,
                Settings.harbourPermits(1));
        if (!node.awaitReady(20_000)) {
            return Standins.COULD_NOT_RUN;
        }
        discovery.answerDelayMs = ANSWER_DELAY_MS;
        AtomicBoolean stopped = new AtomicBoolean();
        for (int i = 0; i < CLIENTS; i++) {
            Standins.daemon(() -> {
                while (!stopped.get()) {
                    Standins.ask(record, node.port, "GET", "/berth-state", 600, "X-Org: pilots\r\n", "", 1_500);
                    Standins.sleepMs(20);
                }
            });
        }
        int broken = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Standins.sleepMs(3_000);
            if (Standins.withTrouble()) {
                discovery.goDown();
                Standins.sleepMs(OUTAGE_MS);
                discovery.comeBack();
            }
            broken += drain(record, discovery, servers.get(2 * round)) ? 1 : 0;
        }
        stopped.set(true);
        record.say("rounds with a late send: %d of %d", broken, ROUNDS);
        return broken > 0 ? Standins.RULE_BROKEN : Standins.RULE_HELD;
    }

    /** Lets a server drain now, and returns whether requests are still sent to it after the last permitted time. */
    private static boolean drain(Standins.Record record, Standins.Discovery discovery, Standins.PlanServer server) {
        server.state = "Terminating";
        double drainMs = Standins.nowMs();
        discovery.change(server.uid, Standins.entry(server));
        record.say("%s drains: discovery has it and can be reached", server.uid);
        Standins.sleepMs(OBSERVED_MS);
        int late = 0;
        double lastMs = 0;
        for (Standins.PlanServer.Run run : server.log) {
            lastMs = Math.max(lastMs, run.atMs - drainMs);
            if (run.atMs - drainMs > LAST_SEND_MS) {
                late++;
                record.add("LATE: %s ran %s %.0f ms after its drain", server.uid, run.id, run.atMs - drainMs);
            }
        }
        record.say("%s got its last request %.0f ms after its drain; requests after %.0f ms: %d", server.uid, lastMs,
                LAST_SEND_MS, late);
        return late > 0;
    }
}
