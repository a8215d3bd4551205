package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A server of the soak: serves, hangs, fails, turns away or resets, and enters what it is sent. */
final class SoakServer implements Closeable {
    /** How it answers. */
    enum Mode { SERVE, HANG, ERROR, TURN_AWAY, RESET }

    private static final int SLOWEST_MS = 80;

    final String id;
    volatile Mode mode = Mode.SERVE;
    private final SoakLedger ledger;
    private final FakePeer peer;

    SoakServer(String id, SoakLedger ledger) throws IOException {
        this.id = id;
        this.ledger = ledger;
        peer = new FakePeer(this::serve);
    }

    String address() {
        return peer.address();
    }

    private void serve(Socket socket, String request) throws IOException, InterruptedException {
        long nowNs = System.nanoTime();
        peer.requests.clear();
        if (request.startsWith("GET /health")) {
            FakePeer.answer("200 OK", "", "").run(socket, request);
            return;
        }
        Mode now = mode;
        ledger.arrived(id, FakePeer.header(request, "X-Txn"), nowNs,
                Long.parseLong(FakePeer.header(request, "X-Remaining-Ms")), now != Mode.TURN_AWAY);
        switch (now) {
            case SERVE -> {
                TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(SLOWEST_MS));
                FakePeer.answer("200 OK", "", "done").run(socket, request);
            }
            case ERROR -> FakePeer.answer("500 Error", "", "").run(socket, request);
            case TURN_AWAY -> FakePeer.answer("503 No", "X-Turned-Away: 1\r\n", "").run(socket, request);
            case RESET -> FakePeer.RESET.run(socket, request);
            default -> { }
        }
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
