import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some plan servers turn requests away, and some of these answers bring a second copy that comes some milliseconds
 * late. It is written only while nothing else waits on the connection. The plan servers are 1 ms away.
 */
final class LateSecondAnswer {
    private static final int SERVERS = 12;
    private static final int CLIENTS = 32;
    private static final long LENGTH_MS = 75_000;
    /** One way, within the 0.7 to 1.3 ms between data centres. */
    private static final long ONE_WAY_MS = 1;
    private static final int TURNED_AWAY_ONE_IN = 10;
    private static final int SECOND_COPY_ONE_IN = 2;
    /** How late a second copy comes, in ms: from the first value up to, but not including, the second. */
    private static final int MIN_LATE_MS = 4;
    private static final int MAX_LATE_MS = 13;
    private static final byte[] TURNED_AWAY =
            Standins.ascii("HTTP/1.1 503 Queue full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");

    private final Standins.Record record;
    private final Map<Socket, AtomicInteger> requestsByConnection = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final AtomicInteger turnedAwayCount = new AtomicInteger();
    private final AtomicInteger copyCount = new AtomicInteger();

    private LateSecondAnswer(Standins.Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws IOException {
        Standins.main(args, (record, folder) -> new LateSecondAnswer(record).run(folder));
    }

    private void serve(Standins.PlanServer server, Standins.Message request, Socket socket, OutputStream out)
            throws IOException {
        String id = request.header("X-Txn");
        AtomicInteger count = requestsByConnection.computeIfAbsent(socket, key -> new AtomicInteger());
        synchronized (count) {
            count.incrementAndGet();
        }
        if (ThreadLocalRandom.current().nextInt(TURNED_AWAY_ONE_IN) == 0) {
            turnAway(server, id, socket, out, count);
            return;
        }
        int runs = runsById.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        record.add("%s begins %s%s", server.uid, id, runs > 1 ? ", the second time" : "");
        Standins.sleepMs(30);
        out.write(Standins.ok(Standins.answerFor(id, server.uid)));
        record.add("%s answers %s", server.uid, id);
    }

    private void turnAway(Standins.PlanServer server, String id, Socket socket, OutputStream out,
            AtomicInteger count) throws IOException {
        int requests = count.get();
        out.write(TURNED_AWAY);
        turnedAwayCount.incrementAndGet();
        record.add("%s turns %s away", server.uid, id);
        if (!Standins.withTrouble() || ThreadLocalRandom.current().nextInt(SECOND_COPY_ONE_IN) != 0) {
            return;
        }
        int lateMs = ThreadLocalRandom.current().nextInt(MIN_LATE_MS, MAX_LATE_MS);
        Standins.daemon(() -> {
            Standins.sleepMs(lateMs);
            try {
                synchronized (count) {
                    if (count.get() == requests && socket.getInputStream().available() == 0) {
                        out.write(TURNED_AWAY);
                        copyCount.incrementAndGet();
                        record.add("%s writes a second copy of its answer to %s, %d ms late", server.uid, id,
                                lateMs);
                    }
                }
            } catch (IOException e) {
                // The node has closed the connection.
            }
        });
    }

    /** A proxy before a plan server that delays each direction; returns its address. */
    private static String openProxy(Standins.PlanServer server) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Standins.daemon(() -> {
            try {
                while (true) {
                    Socket client = listener.accept();
                    Socket target = new Socket("127.0.0.1", server.listener.getLocalPort());
                    client.setTcpNoDelay(true);
                    target.setTcpNoDelay(true);
                    Standins.daemon(() -> pump(client, target));
                    Standins.daemon(() -> pump(target, client));
                }
            } catch (IOException e) {
                // The listener was closed.
            }
        });
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try (from; to) {
            InputStream in = from.getInputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                Standins.sleepMs(ONE_WAY_MS);
                to.getOutputStream().write(buffer, 0, length);
            }
        } catch (IOException e) {
            // One side has closed its connection.
        }
    }

    private int run(Path folder) throws Exception {
        Standins.Discovery discovery = new Standins.Discovery(record, 41, false);
        List<String[]> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Standins.PlanServer server = new Standins.PlanServer("s-" + i, "worcester", record, this::serve);
            entries.add(new String[] {server.uid,
                Standins.entry(server.uid, openProxy(server), server.zone, 0, "Ready", "1.0", 0)});
        }
        discovery.addAll(entries);
        Standins.Node node = new Standins.Node(folder, "n1", Standins.freePort(), discovery.address(), 1_024, null,
                Settings.json(1));
        if (!node.awaitReady(20_000)) {
            return Standins.COULD_NOT_RUN;
        }
        List<Standins.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        double endMs = Standins.nowMs() + LENGTH_MS;
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Standins.daemon(() -> {
                while (Standins.nowMs() < endMs) {
                    answers.add(Standins.ask(record, node.port, "POST", "/plan-change", 800, "", "change", 2_000));
                    Standins.sleepMs(ThreadLocalRandom.current().nextInt(150));
                }
            }));
        }
        for (Thread client : clients) {
            client.join(LENGTH_MS + 5_000);
        }
        return judge(answers);
    }

    private int judge(List<Standins.Answer> answers) {
        int twice = 0;
        for (Map.Entry<String, AtomicInteger> run : runsById.entrySet()) {
            if (run.getValue().get() > 1) {
                twice++;
                record.add("DUPLICATE: %s ran %d times", run.getKey(), run.getValue().get());
            }
        }
        int foreign = 0;
        int served = 0;
        for (Standins.Answer answer : answers) {
            served += answer.status == 200 ? 1 : 0;
            if (answer.status == 200 && !answer.text.startsWith("answer to " + answer.id + " by ")) {
                foreign++;
                record.add("FOREIGN: %s was served \"%s\"", answer.id, answer.text.trim());
            }
        }
        record.say("requests of an unsafe class: %d, served: %d, turned away by plan servers: %d, second copies: %d",
                answers.size(), served, turnedAwayCount.get(), copyCount.get());
        record.say("ran twice: %d, served with the answer to another request: %d", twice, foreign);
        if (served == 0) {
            return Standins.COULD_NOT_RUN;
        }
        return twice + foreign > 0 ? Standins.RULE_BROKEN : Standins.RULE_HELD;
    }
}
