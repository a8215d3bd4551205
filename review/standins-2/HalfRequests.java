import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients that stop in the middle of a request and stay, beside usual clients. */
final class HalfRequests {
    private static final int SERVERS = 12;
    /** {@code limits.sockets}; the page says 256 to 1,024. */
    private static final int SOCKETS = 256;
    /** Clients that stop in the middle of a request; the page says hundreds. */
    private static final int STOPPING = 200;
    private static final int USUAL_CLIENTS = 20;
    private static final long PAUSE_MS = 300;
    private static final long REMAINING_MS = 800;
    /** An answer up to half a second after the request's time only earns nothing; 50 ms more as on sockets. */
    private static final double LAST_ANSWER_MS = REMAINING_MS + 500 + 50;
    private static final int WAIT_MS = 10_000;

    private HalfRequests() { }

    public static void main(String[] args) throws IOException {
        Standins.main(args, HalfRequests::run);
    }

    private static int run(Standins.Record record, Path folder) throws Exception {
        Standins.Discovery discovery = new Standins.Discovery(record, 41, false);
        List<String[]> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Standins.PlanServer server = new Standins.PlanServer("s-" + i, "worcester", record,
                    Standins.answerAfter(20));
            entries.add(new String[] {server.uid, Standins.entry(server)});
        }
        discovery.addAll(entries);
        Standins.Node node = new Standins.Node(folder, "n1", Standins.freePort(), discovery.address(), SOCKETS,
                null, Settings.json(1));
        if (!node.awaitReady(20_000)) {
            return Standins.COULD_NOT_RUN;
        }
        AtomicBoolean stopped = new AtomicBoolean();
        List<Standins.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        List<Thread> usualClients = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            usualClients.add(Standins.daemon(() -> {
                while (!stopped.get()) {
                    answers.add(Standins.ask(record, node.port, "POST", "/plan-change", REMAINING_MS, "", "change",
                            WAIT_MS));
                    Standins.sleepMs(PAUSE_MS);
                }
            }));
        }
        Standins.sleepMs(3_000);
        if (Standins.withTrouble()) {
            record.say("%d clients send half a request and stay", STOPPING);
            for (int i = 0; i < STOPPING; i++) {
                Standins.daemon(() -> sendHalfRequests(record, node.port, stopped));
            }
        }
        Standins.sleepMs(10_000);
        stopped.set(true);
        for (Thread client : usualClients) {
            client.join(WAIT_MS);
        }
        int lost = 0;
        int served = 0;
        double longestMs = 0;
        for (Standins.Answer answer : answers) {
            served += answer.status == 200 ? 1 : 0;
            longestMs = Math.max(longestMs, answer.tookMs);
            if (answer.status == 0 || answer.tookMs > LAST_ANSWER_MS) {
                lost++;
                record.add("LOST: %s", answer);
            }
        }
        record.say("usual requests: %d, served: %d, without an answer within %.0f ms: %d, the longest wait %.0f ms",
                answers.size(), served, LAST_ANSWER_MS, lost, longestMs);
        if (answers.size() < USUAL_CLIENTS || served == 0) {
            return Standins.COULD_NOT_RUN;
        }
        return lost > 0 ? Standins.RULE_BROKEN : Standins.RULE_HELD;
    }

    /** Sends half a request, waits for the error that it is owed, and then does the same again. */
    private static void sendHalfRequests(Standins.Record record, int port, AtomicBoolean stopped) {
        while (!stopped.get()) {
            double startMs = Standins.nowMs();
            String end;
            try (Standins.Client client = new Standins.Client(port, WAIT_MS)) {
                String request = Standins.request("POST", "/plan-change", Standins.newId(), REMAINING_MS, "",
                        "b".repeat(200));
                client.out.write(Standins.ascii(request.substring(0, request.length() - 150)));
                Standins.Message answer = Standins.readMessage(client.in);
                end = answer == null ? "a close" : answer.startLine;
            } catch (IOException e) {
                end = e.toString();
            }
            record.add("a client that stopped in the middle got %s after %.0f ms", end,
                    Standins.nowMs() - startMs);
        }
    }
}
