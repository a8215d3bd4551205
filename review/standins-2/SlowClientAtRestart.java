import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A planned restart while a third of the plan servers hang. Some clients write slowly: their requests come whole
 * 0.9 to 1.1 s after SIGTERM. SIGKILL comes when the page permits it.
 */
final class SlowClientAtRestart {
    private static final int SERVERS = 12;
    /** A third; the page says a quarter to a half. */
    private static final int HANGING = 4;
    private static final int CLIENTS = 30;
    private static final long DEADLINE_MS = 1_500;
    /** No sooner than the longest deadline and 0.7 s after SIGTERM. */
    private static final long KILL_AFTER_MS = DEADLINE_MS + 700;
    /** A request that comes later than this after SIGTERM has to be answered before SIGKILL. */
    private static final double LATE_ARRIVAL_MS = 700;
    private static final int PIECES = 7;
    private static final long PIECE_GAP_MS = 200;

    /** A request that was written slowly; times in ms of the monotonic clock. */
    private static final class Slow {
        String id;
        double lastByteMs;
        double endMs;
        String end;
        boolean answered;
    }

    private SlowClientAtRestart() { }

    public static void main(String[] args) throws IOException {
        Standins.main(args, SlowClientAtRestart::run);
    }

    private static int run(Standins.Record record, Path folder) throws Exception {
        Standins.Discovery discovery = new Standins.Discovery(record, 41, false);
        List<Standins.PlanServer> servers = new ArrayList<>();
        List<String[]> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Standins.PlanServer server = new Standins.PlanServer("s-" + i, "worcester", record,
                    Standins.answerAfter(100));
            servers.add(server);
            entries.add(new String[] {server.uid, Standins.entry(server)});
        }
        discovery.addAll(entries);
        Standins.Node node = new Standins.Node(folder, "n1", Standins.freePort(), discovery.address(), 1_024, null,
                Settings.json(1));
        if (!node.awaitReady(20_000)) {
            return Standins.COULD_NOT_RUN;
        }
        for (int i = 0; i < 60; i++) {
            Standins.ask(record, node.port, "POST", "/session-log", DEADLINE_MS, idempotencyKey(), "x", 2_000);
        }
        List<Slow> requests = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Standins.daemon(() -> requests.add(writeSlowly(record, node.port, number))));
        }
        Standins.sleepMs(300);
        double termMs = Standins.nowMs();
        if (Standins.withTrouble()) {
            for (int i = 0; i < HANGING; i++) {
                servers.get(i * SERVERS / HANGING).behaviour = (server, request, socket, out) ->
                        Standins.sleepMs(20_000);
            }
            record.say("%d of %d plan servers hang", HANGING, SERVERS);
            node.signal("TERM");
            record.say("SIGTERM");
            long untilKillMs = (long) Math.ceil(termMs + KILL_AFTER_MS - Standins.nowMs());
            boolean ended = node.process.waitFor(untilKillMs, java.util.concurrent.TimeUnit.MILLISECONDS);
            if (!ended) {
                node.signal("KILL");
                record.say("SIGKILL %.0f ms after SIGTERM", Standins.nowMs() - termMs);
            } else {
                record.say("the node has ended by itself %.0f ms after SIGTERM", Standins.nowMs() - termMs);
            }
        }
        for (Thread client : clients) {
            client.join(6_000);
        }
        int judged = 0;
        int lost = 0;
        for (Slow request : requests) {
            double arrivedMs = request.lastByteMs - termMs;
            record.add("%s came whole %.0f ms after SIGTERM: %s at %.0f ms", request.id, arrivedMs, request.end,
                    request.endMs - termMs);
            if (request.lastByteMs > 0 && arrivedMs > LATE_ARRIVAL_MS) {
                judged++;
                if (!request.answered) {
                    lost++;
                    record.add("LOST: %s", request.id);
                }
            }
        }
        record.say("requests that came more than 0.7 s after SIGTERM: %d, of these without an answer: %d", judged,
                lost);
        return judged < CLIENTS / 2 ? Standins.COULD_NOT_RUN : lost > 0 ? Standins.RULE_BROKEN
                : Standins.RULE_HELD;
    }

    private static String idempotencyKey() {
        return "Idempotency-Key: " + Standins.newId() + "\r\n";
    }

    /** Writes a request in pieces over some 1.4 s, and waits for its answer. */
    private static Slow writeSlowly(Standins.Record record, int port, int number) {
        Slow slow = new Slow();
        slow.id = Standins.newId();
        try (Standins.Client client = new Standins.Client(port, 4_000)) {
            byte[] bytes = Standins.ascii(Standins.request("POST", "/session-log", slow.id, DEADLINE_MS,
                    idempotencyKey(), "b".repeat(2_000)));
            Standins.sleepMs(number * 5);
            int from = 0;
            for (int piece = 1; piece <= PIECES; piece++) {
                int to = bytes.length * piece / PIECES;
                client.out.write(bytes, from, to - from);
                from = to;
                if (piece < PIECES) {
                    Standins.sleepMs(PIECE_GAP_MS);
                }
            }
            slow.lastByteMs = Standins.nowMs();
            Standins.Message answer = Standins.readMessage(client.in);
            slow.answered = answer != null;
            slow.end = answer == null ? "closed without an answer" : answer.startLine;
        } catch (SocketTimeoutException e) {
            slow.end = "no answer";
        } catch (IOException e) {
            slow.end = "connection broken (" + e.getMessage() + ")";
        }
        slow.endMs = Standins.nowMs();
        return slow;
    }
}
