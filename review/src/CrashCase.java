import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3: bad clients that stop in the middle of a request's head, and stay. The node must not end, and the
 * usual clients' requests must get their final answers.
 */
final class CrashCase {
    private static final int BAD_CLIENTS = 250;
    /** Below the 16 KiB that the node accepts, so that it has no reason to close at once. */
    private static final int BAD_HEAD_BYTES = 15_000;
    private static final String BAD_HEADER = "X-Part: 1\r\n";
    private static final int USUAL_INTERVAL_MS = 50;
    private static final int REMAINING_MS = 800;
    /** An answer up to half a second after the request's time only earns nothing. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500;
    private static final long TROUBLE_AT_MS = 2_000;
    private static final long LENGTH_MS = 10_000;

    private CrashCase() { }

    public static void main(String[] args) throws Exception {
        Kit.open(Path.of(args[0]));
        Kit.Discovery discovery = new Kit.Discovery();
        for (int i = 0; i < 4; i++) {
            discovery.add(new Kit.PlanServer("s-" + i, Kit.PlanServer.takes(100)), "a");
        }
        Kit.Node node = new Kit.Node(Path.of(args[1]), Path.of(args[2]), "n1", discovery.port(),
                Kit.settings(1));
        node.awaitReady();
        long startMs = Kit.nowMs();
        AtomicInteger badAnswered = new AtomicInteger();
        if (Kit.withTrouble()) {
            startBadClients(node, badAnswered);
        }
        List<Kit.Answer> lost = new CopyOnWriteArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger notConnected = new AtomicInteger();
        while (Kit.nowMs() - startMs < LENGTH_MS && node.process.isAlive()) {
            Kit.daemon(() -> {
                Kit.Client client;
                try {
                    client = new Kit.Client(node.port);
                } catch (IOException e) {
                    notConnected.incrementAndGet();
                    return;
                }
                try (client) {
                    Kit.Answer answer = client.ask("plan-change", REMAINING_MS, LOST_AFTER_MS);
                    Kit.note("usual client: " + answer);
                    if (answer.problem == null) {
                        answered.incrementAndGet();
                    } else {
                        lost.add(answer);
                    }
                }
            });
            Kit.sleep(USUAL_INTERVAL_MS);
        }
        boolean crashed = !node.process.isAlive();
        Kit.sleep(LOST_AFTER_MS + 500);
        crashed |= !node.process.isAlive();
        node.recordLog(15);
        Kit.say("usual requests: " + answered + " answered, " + lost.size() + " taken and not answered, "
                + notConnected + " could not connect; bad clients answered or closed: " + badAnswered);
        if (crashed) {
            Kit.finish(Kit.BROKEN, "the node's process ended with status " + node.process.exitValue()
                    + ", nobody told it to; " + lost.size() + " requests that it had taken got no answer");
        }
        if (!lost.isEmpty()) {
            Kit.finish(Kit.BROKEN, lost.size() + " requests got no answer, the first one: " + lost.get(0));
        }
        Kit.finish(Kit.HELD, "the node runs, and each request that it took got its answer");
    }

    private static void startBadClients(Kit.Node node, AtomicInteger badAnswered) {
        byte[] head = Kit.ascii("POST /plan-change HTTP/1.1\r\n"
                + BAD_HEADER.repeat(BAD_HEAD_BYTES / BAD_HEADER.length()));
        Kit.note(BAD_CLIENTS + " bad clients will each send " + head.length
                + " bytes of a head and stop there");
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Kit.daemon(() -> {
                Kit.sleep(TROUBLE_AT_MS);
                try (Kit.Client client = new Kit.Client(node.port)) {
                    client.socket.getOutputStream().write(head);
                    Kit.Answer answer = client.await("-", Kit.nowMs(), 6_000);
                    badAnswered.incrementAndGet();
                    Kit.note("bad client: " + answer);
                }
            });
        }
    }
}
