import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers of plan servers are spoilt: their Content-Length is half of what their body has. */
final class ShortLength {
    private static final int SERVERS = 12;
    private static final int CLIENTS = 6;
    private static final int REQUESTS_PER_CLIENT = 60;
    private static final int SPOILT_ONE_IN = 20;

    private ShortLength() { }

    public static void main(String[] args) throws IOException {
        Standins.main(args, ShortLength::run);
    }

    private static int run(Standins.Record record, Path folder) throws Exception {
        Set<String> spoilt = ConcurrentHashMap.newKeySet();
        AtomicInteger answerCount = new AtomicInteger();
        Standins.Behaviour behaviour = (server, request, socket, out) -> {
            Standins.sleepMs(20);
            String id = request.header("X-Txn");
            String body = Standins.answerFor(id, server.uid);
            if (!Standins.withTrouble() || answerCount.incrementAndGet() % SPOILT_ONE_IN != 0) {
                out.write(Standins.ok(body));
                return;
            }
            spoilt.add(id);
            record.add("%s answers %s with a length that does not fit", server.uid, id);
            out.write(Standins.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() / 2 + "\r\n\r\n" + body));
        };
        Standins.Discovery discovery = new Standins.Discovery(record, 41, false);
        List<String[]> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Standins.PlanServer server = new Standins.PlanServer("s-" + i, "worcester", record, behaviour);
            entries.add(new String[] {server.uid, Standins.entry(server)});
        }
        discovery.addAll(entries);
        Standins.Node node = new Standins.Node(folder, "n1", Standins.freePort(), discovery.address(), 1_024, null,
                Settings.json(1));
        if (!node.awaitReady(20_000)) {
            return Standins.COULD_NOT_RUN;
        }
        List<Standins.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Standins.daemon(() -> {
                for (int j = 0; j < REQUESTS_PER_CLIENT; j++) {
                    answers.add(Standins.ask(record, node.port, "POST", "/plan-change", 800, "", "change", 2_000));
                    Standins.sleepMs(30);
                }
            }));
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        int wrong = 0;
        int served = 0;
        for (Standins.Answer answer : answers) {
            served += answer.status == 200 ? 1 : 0;
            // All names of plan servers that a right answer can end with are one of s-0 to s-11.
            if (answer.status == 200 && !answer.text.matches("answer to " + answer.id + " by s-\\d+\n")) {
                wrong++;
                record.add("WRONG: %s was served \"%s\"", answer.id, answer.text);
            }
        }
        record.say("requests: %d, served: %d, spoilt answers: %d, served with what no plan server made: %d",
                answers.size(), served, spoilt.size(), wrong);
        if (answers.size() < CLIENTS * REQUESTS_PER_CLIENT || served == 0) {
            return Standins.COULD_NOT_RUN;
        }
        return wrong > 0 ? Standins.RULE_BROKEN : Standins.RULE_HELD;
    }
}
