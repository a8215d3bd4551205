import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2: clients that write a long request slowly, in small pieces. Each request that the node has taken, theirs and
 * those of other clients, must get its final answer no later than half a second after its time.
 */
final class SlowWriterCase {
    private static final int SLOW_CLIENTS = 120;
    private static final int BODY_BYTES = 48_000;
    private static final int PIECE_BYTES = 80;
    private static final int GAP_MS = 2;
    private static final int USUAL_INTERVAL_MS = 50;
    private static final int REMAINING_MS = 800;
    /** An answer up to half a second after the request's time only earns nothing; the rest is for the test. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500 + 100;
    private static final long TROUBLE_AT_MS = 2_000;
    private static final long LENGTH_MS = 12_000;

    /** Requests whose connection the node closed without an answer: reported, but not judged. */
    private static final AtomicInteger CLOSED = new AtomicInteger();

    private SlowWriterCase() { }

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
        List<String> lost = new CopyOnWriteArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger notWritten = new AtomicInteger();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            Kit.daemon(() -> {
                Kit.sleep(TROUBLE_AT_MS);
                longRequest(node, lost, answered, notWritten);
            });
        }
        while (Kit.nowMs() - startMs < LENGTH_MS) {
            Kit.daemon(() -> {
                try (Kit.Client client = new Kit.Client(node.port)) {
                    judge("usual client", client.ask("plan-change", REMAINING_MS, LOST_AFTER_MS), lost, answered);
                }
            });
            Kit.sleep(USUAL_INTERVAL_MS);
        }
        Kit.sleep(LOST_AFTER_MS + 500);
        node.recordLog(15);
        Kit.say(answered + " requests answered in time, " + lost.size() + " neither answered nor closed by "
                + LOST_AFTER_MS + " ms, " + CLOSED + " closed without an answer, " + notWritten + " not written whole; the node's process "
                + (node.process.isAlive() ? "runs" : "has ended"));
        if (!node.process.isAlive()) {
            Kit.finish(Kit.BROKEN, "the node's process ended, nobody told it to");
        }
        if (!lost.isEmpty()) {
            Kit.finish(Kit.BROKEN, lost.size() + " requests got no answer in time, the first one: "
                    + lost.get(0));
        }
        Kit.finish(Kit.HELD, "each request that the node took got its answer in time");
    }

    private static void judge(String who, Kit.Answer answer, List<String> lost, AtomicInteger answered) {
        Kit.note(who + ": " + answer);
        if (answer.problem == null) {
            answered.incrementAndGet();
        } else if (answer.tookMs < LOST_AFTER_MS) {
            CLOSED.incrementAndGet();
        } else {
            lost.add(who + ": " + answer);
        }
    }

    /** Sends one long request, in small pieces if with trouble, and waits for its answer. */
    private static void longRequest(Kit.Node node, List<String> lost, AtomicInteger answered,
            AtomicInteger notWritten) throws IOException {
        try (Kit.Client client = new Kit.Client(node.port)) {
            String id = Kit.newId();
            byte[] bytes = Kit.ascii(Kit.request("plan-change", id, REMAINING_MS, "x".repeat(BODY_BYTES)));
            int piece = Kit.withTrouble() ? PIECE_BYTES : bytes.length;
            OutputStream out = client.socket.getOutputStream();
            long begunMs = Kit.nowMs();
            try {
                for (int i = 0; i < bytes.length; i += piece) {
                    out.write(bytes, i, Math.min(piece, bytes.length - i));
                    Kit.sleep(i + piece < bytes.length ? GAP_MS : 0);
                }
            } catch (IOException e) {
                notWritten.incrementAndGet();
                Kit.note("slow client: " + id + " not written whole, " + e);
                return;
            }
            long sentMs = Kit.nowMs();
            Kit.note("slow client: " + id + " has written " + bytes.length + " bytes in " + (sentMs - begunMs)
                    + " ms");
            judge("slow client", client.await(id, sentMs, LOST_AFTER_MS), lost, answered);
        }
    }
}
