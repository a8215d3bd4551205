import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: plan servers send a second copy of some answers some milliseconds late, and some plan servers stand still for
 * a moment now and then. No client may be served with an answer made for another request.
 */
final class SecondAnswerCase {
    private static final int SERVERS = 5;
    private static final int PAUSING_SERVERS = 2;
    private static final int WORK_MS = 100;
    private static final int PAUSE_MS = 340;
    private static final int MIN_RUN_MS = 800;
    private static final int MAX_RUN_MS = 1_200;
    private static final double SECOND_ANSWER_SHARE = 0.4;
    private static final int SECOND_ANSWER_LATE_MS = 7;
    /** A second answer that the test itself has delayed beyond this isn't sent. */
    private static final long MAX_LATE_NS = TimeUnit.MICROSECONDS.toNanos(9_000);
    /** Before, the stand-ins get up to speed. */
    private static final long COPIES_FROM_MS = 4_000;
    private static final AtomicInteger COPIES = new AtomicInteger();
    private static final Set<String> COPIED_AFTER_PAUSE = ConcurrentHashMap.newKeySet();
    private static final ScheduledExecutorService LATER = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private static final int REQUEST_INTERVAL_MS = 5;
    private static final int REMAINING_MS = 800;
    private static final long LENGTH_MS = 90_000;

    /** Times at which a plan server stands still. */
    private static final class Pauses {
        private volatile boolean paused;

        synchronized void pass() throws InterruptedException {
            while (paused) {
                wait();
            }
        }

        void run(SplittableRandom random) throws InterruptedException {
            while (true) {
                Thread.sleep(random.nextInt(MIN_RUN_MS, MAX_RUN_MS));
                synchronized (this) {
                    paused = true;
                }
                Thread.sleep(PAUSE_MS);
                synchronized (this) {
                    paused = false;
                    notifyAll();
                }
            }
        }
    }

    private SecondAnswerCase() { }

    public static void main(String[] args) throws Exception {
        Kit.open(Path.of(args[0]));
        Kit.Discovery discovery = new Kit.Discovery();
        List<Kit.PlanServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Pauses pauses = new Pauses();
            if (i < PAUSING_SERVERS && Kit.withTrouble()) {
                int seed = i;
                Kit.daemon(() -> pauses.run(new SplittableRandom(seed)));
            }
            servers.add(new Kit.PlanServer("s-" + i, work(pauses, Kit.nowMs())));
            discovery.add(servers.get(i), "a");
        }
        Kit.Node node = new Kit.Node(Path.of(args[1]), Path.of(args[2]), "n1", discovery.port(),
                Kit.settings(1));
        node.awaitReady();
        BlockingDeque<Kit.Client> idle = new LinkedBlockingDeque<>();
        ConcurrentLinkedQueue<String> foreign = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<String> bodies = new ConcurrentLinkedQueue<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        long startMs = Kit.nowMs();
        while (Kit.nowMs() - startMs < LENGTH_MS && foreign.size() < 20) {
            Kit.daemon(() -> {
                Kit.Client client = idle.pollFirst();
                if (client == null) {
                    client = new Kit.Client(node.port);
                }
                Kit.Answer answer = client.ask("plan-change", REMAINING_MS, 3_000);
                boolean isForeign = answer.isServed()
                        && !answer.body.equals(Kit.PlanServer.answerBody(answer.id));
                Kit.note("client: " + answer + (isForeign ? " WITH THE BODY [" + answer.body + "]" : ""));
                if (isForeign) {
                    bodies.add(answer.body);
                    foreign.add(answer + " with the body [" + answer.body + "]");
                }
                (answer.isServed() ? served : other).incrementAndGet();
                if (answer.problem == null) {
                    idle.addFirst(client);
                } else {
                    client.close();
                }
            });
            Kit.sleep(REQUEST_INTERVAL_MS);
        }
        Kit.sleep(1_500);
        node.recordLog(15);
        Kit.say(served + " requests answered 200, " + other + " otherwise; second copies sent: " + COPIES
                + ", of them after a pause: " + COPIED_AFTER_PAUSE.size());
        if (!node.process.isAlive()) {
            Kit.finish(Kit.NOT_RUN, "the node ended");
        }
        if (!foreign.isEmpty() && COPIED_AFTER_PAUSE.stream().noneMatch(
                id -> bodies.contains(Kit.PlanServer.answerBody(id)))) {
            Kit.finish(Kit.NOT_RUN, "a second copy was sent too late by the test itself");
        }
        if (!foreign.isEmpty()) {
            Kit.finish(Kit.BROKEN, foreign.size() + " clients were served with the answer to another request, "
                    + "the first one: " + foreign.peek());
        }
        Kit.finish(Kit.HELD, "each client got the answer made for its request");
    }

    private static Kit.Work work(Pauses pauses, long startMs) {
        Map<Socket, String> lastRead = new ConcurrentHashMap<>();
        return (server, call) -> {
            pauses.pass();
            lastRead.put(call.socket, call.id);
            Thread.sleep(WORK_MS);
            pauses.pass();
            Kit.PlanServer.answer(call);
            if (Kit.withTrouble() && Kit.nowMs() - startMs > COPIES_FROM_MS
                    && Integer.parseInt(call.id.substring(8, 12), 16) < SECOND_ANSWER_SHARE * 65_536) {
                long answeredNs = System.nanoTime();
                LATER.schedule(() -> sendCopy(server, call, pauses, lastRead, answeredNs), SECOND_ANSWER_LATE_MS,
                        TimeUnit.MILLISECONDS);
            }
        };
    }

    private static Void sendCopy(Kit.PlanServer server, Kit.Call call, Pauses pauses,
            Map<Socket, String> lastRead, long answeredNs) throws Exception {
        if (pauses.paused) {
            Kit.daemon(() -> {
                pauses.pass();
                sendCopyNow(server, call, lastRead, answeredNs, true);
            });
        } else if (System.nanoTime() - answeredNs < MAX_LATE_NS) {
            sendCopyNow(server, call, lastRead, answeredNs, false);
        }
        return null;
    }

    private static void sendCopyNow(Kit.PlanServer server, Kit.Call call, Map<Socket, String> lastRead,
            long answeredNs, boolean afterPause) throws IOException {
        // Only when nothing else waits on the connection.
        if (!call.id.equals(lastRead.get(call.socket))) {
            return;
        }
        if (afterPause) {
            COPIED_AFTER_PAUSE.add(call.id);
        }
        Kit.PlanServer.answer(call);
        double lateMs = (System.nanoTime() - answeredNs) / 1e6;
        COPIES.incrementAndGet();
        Kit.note(server.uid + " has sent a second copy of its answer to " + call.id + (afterPause
                ? " after a pause, " : ", ") + lateMs + " ms after the first");
    }
}
