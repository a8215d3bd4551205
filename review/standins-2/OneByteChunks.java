import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** Some clients send one request each whose body comes in chunks of one byte, beside usual clients. */
final class OneByteChunks {
    private static final int SERVERS = 12;
    private static final int USUAL_CLIENTS = 20;
    private static final long PAUSE_MS = 300;
    private static final long REMAINING_MS = 800;
    /** An answer up to half a second after the request's time only earns nothing; 50 ms more as on sockets. */
    private static final double LAST_ANSWER_MS = REMAINING_MS + 500 + 50;
    private static final int WAIT_MS = 12_000;
    private static final int CHUNKED_CLIENTS = 60;
    /** Under the 64 KiB that a body may have. */
    private static final int BODY_BYTES = 60_000;

    private OneByteChunks() { }

    public static void main(String[] args) throws IOException {
        Standins.main(args, OneByteChunks::run);
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
        Standins.Node node = new Standins.Node(folder, "n1", Standins.freePort(), discovery.address(), 1_024, null,
                Settings.json(1));
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
        Standins.sleepMs(4_000);
        // Without the disruption the same requests come in one chunk each.
        int chunkBytes = Standins.withTrouble() ? 1 : BODY_BYTES;
        record.say("%d clients send a body of %d bytes in chunks of %d", CHUNKED_CLIENTS, BODY_BYTES, chunkBytes);
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "b".repeat(chunkBytes) + "\r\n";
        String body = chunk.repeat(BODY_BYTES / chunkBytes) + "0\r\n\r\n";
        for (int i = 0; i < CHUNKED_CLIENTS; i++) {
            Standins.daemon(() -> sendChunked(record, node.port, body));
        }
        Standins.sleepMs(8_000);
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

    private static void sendChunked(Standins.Record record, int port, String body) {
        double startMs = Standins.nowMs();
        String id = Standins.newId();
        String end;
        try (Standins.Client client = new Standins.Client(port, WAIT_MS)) {
            String head = Standins.request("POST", "/session-log", id, 1_500, "Idempotency-Key: " + id + "\r\n", "")
                    .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
            Standins.Message answer = client.call(head + body);
            end = answer == null ? "a close" : answer.startLine;
        } catch (IOException e) {
            end = e.toString();
        }
        record.add("the chunked request %s got %s after %.0f ms", id, end, Standins.nowMs() - startMs);
    }
}
