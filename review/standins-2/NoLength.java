import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A third of the answers of plan servers have no length: their end is the end of the connection. One in five of
 * these is reset on the way, the others come whole.
 */
final class NoLength {
    private static final int SERVERS = 12;
    private static final int CLIENTS = 6;
    private static final int REQUESTS_PER_CLIENT = 60;
    private static final int NO_LENGTH_ONE_IN = 3;
    private static final int RESET_ONE_IN = 5;

    private NoLength() { }

    public static void main(String[] args) throws IOException {
        Standins.main(args, NoLength::run);
    }

    private static int run(Standins.Record record, Path folder) throws Exception {
        Set<String> whole = ConcurrentHashMap.newKeySet();
        AtomicInteger answerCount = new AtomicInteger();
        AtomicInteger noLengthCount = new AtomicInteger();
        Standins.Behaviour behaviour = (server, request, socket, out) -> {
            Standins.sleepMs(20);
            String id = request.header("X-Txn");
            String body = Standins.answerFor(id, server.uid);
            if (!Standins.withTrouble() || answerCount.incrementAndGet() % NO_LENGTH_ONE_IN != 0) {
                out.write(Standins.ok(body));
                return;
            }
            boolean reset = noLengthCount.incrementAndGet() % RESET_ONE_IN == 0;
            out.write(Standins.ascii("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                    + (reset ? body.substring(0, body.length() / 2) : body)));
            if (reset) {
                Standins.sleepMs(5);
                socket.setSoLinger(true, 0);
            } else {
                whole.add(id);
            }
            record.add("%s answers %s without a length%s", server.uid, id, reset ? ", reset on the way" : "");
            socket.close();
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
        int forwarded = 0;
        int served = 0;
        for (Standins.Answer answer : answers) {
            served += answer.status == 200 ? 1 : 0;
            boolean isRight = answer.status == 200 && answer.text.startsWith("answer to " + answer.id + " by ");
            forwarded += whole.contains(answer.id) && isRight ? 1 : 0;
        }
        record.say("requests: %d, served: %d; answers without a length that came whole: %d, of these forwarded: %d",
                answers.size(), served, whole.size(), forwarded);
        if (answers.size() < CLIENTS * REQUESTS_PER_CLIENT || served == 0) {
            return Standins.COULD_NOT_RUN;
        }
        return 2 * forwarded < whole.size() ? Standins.RULE_BROKEN : Standins.RULE_HELD;
    }
}
