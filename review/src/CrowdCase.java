import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3: bad clients that stop in the middle of a request and stay hold all the connections that the node
 * accepts. A usual client's request, written whole on a connection that the node's machine accepted, must get
 * its final answer, or its connection must be shut.
 */
final class CrowdCase {
    /** The lowest limit that the pages name. */
    private static final int SOCKETS = 256;
    private static final int BAD_CLIENTS = 200;
    private static final int USUAL_INTERVAL_MS = 50;
    private static final int REMAINING_MS = 800;
    /** An answer up to half a second after the request's time only earns nothing; the rest is for the test. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500 + 100;
    private static final long TROUBLE_AT_MS = 2_000;
    private static final long LENGTH_MS = 8_000;

    private CrowdCase() { }

    public static void main(String[] args) throws Exception {
        Kit.open(Path.of(args[0]));
        Kit.Discovery discovery = new Kit.Discovery();
        for (int i = 0; i < 4; i++) {
            discovery.add(new Kit.PlanServer("s-" + i, Kit.PlanServer.takes(100)), "a");
        }
        Kit.Node node = new Kit.Node(Path.of(args[1]), Path.of(args[2]), "n1", discovery.port(),
                Kit.settings(1), SOCKETS);
        node.awaitReady();
        long startMs = Kit.nowMs();
        if (Kit.withTrouble()) {
            startBadClients(node);
        }
        List<Kit.Answer> lost = new CopyOnWriteArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger shut = new AtomicInteger();
        while (Kit.nowMs() - startMs < LENGTH_MS) {
            Kit.daemon(() -> {
                try (Kit.Client client = new Kit.Client(node.port)) {
                    Kit.Answer answer = client.ask("plan-change", REMAINING_MS, LOST_AFTER_MS);
                    Kit.note("usual client: " + answer);
                    if (answer.problem == null) {
                        answered.incrementAndGet();
                    } else if (answer.tookMs < LOST_AFTER_MS) {
                        // New connections may be shut unread when others fill the descriptors.
                        shut.incrementAndGet();
                    } else {
                        lost.add(answer);
                    }
                }
            });
            Kit.sleep(USUAL_INTERVAL_MS);
        }
        Kit.sleep(LOST_AFTER_MS + 500);
        node.recordLog(15);
        Kit.say("usual requests: " + answered + " answered in time, " + shut + " shut without an answer, "
                + lost.size() + " neither answered nor shut within " + LOST_AFTER_MS + " ms");
        if (!node.process.isAlive()) {
            Kit.finish(Kit.NOT_RUN, "the node ended");
        }
        if (!lost.isEmpty()) {
            Kit.finish(Kit.BROKEN, lost.size() + " requests got no answer in time, the first one: "
                    + lost.get(0));
        }
        Kit.finish(Kit.HELD, "each request got its answer in time, or its connection was shut");
    }

    private static void startBadClients(Kit.Node node) {
        byte[] part = Kit.ascii("POST /plan-change HTTP/1.1\r\nHost: backend.local\r\nX-Remaining-Ms: 80");
        Kit.note(BAD_CLIENTS + " bad clients will each send " + part.length
                + " bytes of a request and stop there");
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Kit.daemon(() -> {
                Kit.sleep(TROUBLE_AT_MS);
                try (Kit.Client client = new Kit.Client(node.port)) {
                    client.socket.getOutputStream().write(part);
                    Kit.note("bad client: " + client.await("-", Kit.nowMs(), 6_000));
                }
            });
        }
    }
}
