import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3: clients send many requests at once on a connection, and the first one of each takes 12 times the
 * usual work. Each request must get its final answer no later than half a second after its time.
 */
final class PipelineCase {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 3;
    private static final int REQUESTS_AT_ONCE = 180;
    private static final int REMAINING_MS = 800;
    /** An answer up to half a second after the request's time only earns nothing; the rest is for the test. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500 + 100;
    private static final int USUAL_WORK_MS = 100;
    private static final int EXPENSIVE_WORK_MS = 1_200;
    private static final String EXPENSIVE = "expensive";

    private PipelineCase() { }

    public static void main(String[] args) throws Exception {
        Kit.open(Path.of(args[0]));
        Kit.Discovery discovery = new Kit.Discovery();
        for (int i = 0; i < SERVERS; i++) {
            discovery.add(new Kit.PlanServer("s-" + i, (server, call) -> {
                Thread.sleep(new String(call.body, StandardCharsets.ISO_8859_1).startsWith(EXPENSIVE)
                        ? EXPENSIVE_WORK_MS : USUAL_WORK_MS);
                Kit.PlanServer.answer(call);
            }), "a");
        }
        Kit.Node node = new Kit.Node(Path.of(args[1]), Path.of(args[2]), "n1", discovery.port(),
                Kit.settings(1));
        node.awaitReady();
        usualTraffic(node);
        ConcurrentLinkedQueue<Kit.Answer> lost = new ConcurrentLinkedQueue<>();
        AtomicInteger inTime = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            Kit.daemon(() -> pipeline(node, lost, inTime));
            Kit.sleep(1_000);
        }
        Kit.sleep(5_000);
        node.recordLog(15);
        int count = CLIENTS * REQUESTS_AT_ONCE;
        if (inTime.get() + lost.size() < count || !node.process.isAlive()) {
            Kit.finish(Kit.NOT_RUN, "only " + (inTime.get() + lost.size()) + " of " + count
                    + " requests are judged");
        }
        if (!lost.isEmpty()) {
            Kit.finish(Kit.BROKEN, lost.size() + " of " + count + " requests had no answer after "
                    + LOST_AFTER_MS + " ms, the first one: " + lost.peek());
        }
        Kit.finish(Kit.HELD, "all " + count + " requests were answered in time");
    }

    /** Some seconds of traffic of single requests, after which the node knows its servers. */
    private static void usualTraffic(Kit.Node node) {
        for (int i = 0; i < 40; i++) {
            Kit.daemon(() -> {
                try (Kit.Client client = new Kit.Client(node.port)) {
                    for (int k = 0; k < 4; k++) {
                        Kit.note("usual client: " + client.ask("plan-change", REMAINING_MS, 3_000));
                    }
                }
            });
            Kit.sleep(50);
        }
        Kit.sleep(1_000);
    }

    private static void pipeline(Kit.Node node, ConcurrentLinkedQueue<Kit.Answer> lost, AtomicInteger inTime)
            throws Exception {
        try (Kit.Client client = new Kit.Client(node.port)) {
            List<String> ids = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            for (int k = 0; k < REQUESTS_AT_ONCE; k++) {
                ids.add(Kit.newId());
                String body = k == 0 && Kit.withTrouble() ? EXPENSIVE : "usual";
                text.append(Kit.request("plan-change", ids.get(k), REMAINING_MS,
                        body + "-".repeat(212 - body.length())));
            }
            client.socket.getOutputStream().write(Kit.ascii(text.toString()));
            long sentMs = Kit.nowMs();
            Kit.note("a client has sent " + ids.size() + " requests at once, " + text.length() + " bytes");
            for (String id : ids) {
                Kit.Answer answer = client.await(id, sentMs, 5_000);
                Kit.note("client: " + answer);
                if (answer.problem != null || answer.tookMs > LOST_AFTER_MS) {
                    lost.add(answer);
                } else {
                    inTime.incrementAndGet();
                }
            }
        }
    }
}
