package cedarrelay.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A client of one node: asks, waits, comes back, and at times leaves before its answer. */
final class SoakClient implements Runnable {
    private static final int CONNECT_MS = 500;
    private static final int PAUSE_MS = 60;
    private static final int LEAVES_IN = 12;
    /** No answer by then is none: processes are held up for up to a second, more than once. */
    private static final int NEVER_MS = 6_000;
    /** A front sends no new connections to a node that ends, from so long after SIGTERM. */
    private static final long FRONT_NS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final String[] PATHS = {"view", "photo", "order"};

    private final SoakNode node;
    private final SoakLedger ledger;
    private final SplittableRandom random;
    private final long idBase;
    private volatile boolean over;
    private Socket socket;
    private boolean fresh;
    private int count;

    SoakClient(SoakNode node, int number, SoakLedger ledger, long seed) {
        this.node = node;
        this.ledger = ledger;
        random = new SplittableRandom(seed);
        idBase = (long) (node.index + 1) << 40 | (long) (number + 1) << 24;
    }

    void end() {
        over = true;
    }

    @Override
    public void run() {
        try {
            while (!over) {
                if (socket != null || connect()) {
                    ask();
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_MS));
            }
            drop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean connect() {
        if (node.stoppingNs != 0 && System.nanoTime() - node.stoppingNs > FRONT_NS) {
            return false;
        }
        Socket next = new Socket();
        try {
            next.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), CONNECT_MS);
            next.setTcpNoDelay(true);
        } catch (IOException e) {
            close(next);
            return false;
        }
        socket = next;
        fresh = true;
        return true;
    }

    private void ask() throws InterruptedException {
        String id = String.format("%016x", idBase | ++count);
        SoakLedger.Kind kind = SoakLedger.Kind.values()[random.nextInt(PATHS.length)];
        int waitMs = random.nextInt(200, SoakNode.LONGEST_MS);
        int endsBefore = node.ends.get();
        SoakLedger.Sent sent = new SoakLedger.Sent(node.index, kind,
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs));
        ledger.sent(id, sent);
        try {
            FakePeer.write(socket, head(kind, id, waitMs));
            if (random.nextInt(LEAVES_IN) == 0) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(100));
                drop();
                sent.leftNs = System.nanoTime();
                return;
            }
            socket.setSoTimeout(waitMs + NEVER_MS);
            String answer = FakePeer.read(socket);
            if (answer == null) {
                unanswered(id, endsBefore, "closed");
            } else {
                answered(answer);
            }
        } catch (java.net.SocketTimeoutException e) {
            unanswered(id, endsBefore, "silent");
        } catch (IOException e) {
            unanswered(id, endsBefore, e.getMessage());
        }
    }

    private static String head(SoakLedger.Kind kind, String id, int waitMs) {
        boolean safe = kind == SoakLedger.Kind.SAFE;
        return (safe ? "GET /" : "POST /") + PATHS[kind.ordinal()] + " HTTP/1.1\r\nHost: a\r\nX-Txn: " + id
                + "\r\nX-Remaining-Ms: " + waitMs + "\r\n"
                + (kind == SoakLedger.Kind.KEYED ? "Idempotency-Key: k" + id + "\r\n" : "")
                + (safe ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
    }

    private void answered(String answer) {
        fresh = false;
        (answer.startsWith("HTTP/1.1 200") ? ledger.served
                : answer.startsWith("HTTP/1.1 503") ? ledger.refused : ledger.failed).incrementAndGet();
        if (answer.startsWith("HTTP/1.1 503") && FakePeer.header(answer, "Retry-After") == null) {
            ledger.violated("node " + node.index + " refuses without Retry-After");
        }
        if ("close".equals(FakePeer.header(answer, "Connection"))) {
            drop();
        }
    }

    /** A kept connection may be closed on a request that was never read; a process may have been killed. */
    private void unanswered(String id, int endsBefore, String how) throws InterruptedException {
        boolean excused = !fresh && !how.equals("silent");
        drop();
        // A kill is entered before it happens; an end after SIGTERM right behind it.
        TimeUnit.MILLISECONDS.sleep(100);
        if (!excused && node.ends.get() == endsBefore) {
            ledger.violated("lost: " + id + " of node " + node.index + ": " + how);
        }
    }

    private void drop() {
        if (socket != null) {
            close(socket);
            socket = null;
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed is closed.
            return;
        }
    }
}
