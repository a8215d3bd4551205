package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A server of the soak: records the requests that it receives and responds to them as its mode says. */
final class SoakServer implements Closeable {
    /** How the server responds. */
    enum Mode { SERVE, HANG, ERROR, REJECT, RESET }

    private static final int MAX_SERVICE_MS = 80;

    final String id;
    volatile Mode mode = Mode.SERVE;
    private final SoakLedger ledger;
    private final FakePeer peer;

    SoakServer(String id, SoakLedger ledger) throws IOException {
        this.id = id;
        this.ledger = ledger;
        peer = new FakePeer(this::respond);
    }

    String address() {
        return peer.address();
    }

    private void respond(Socket socket, String request) throws IOException, InterruptedException {
        long receivedNs = System.nanoTime();
        peer.requests.clear();
        if (request.startsWith("GET /health")) {
            FakePeer.answer("200 OK", "", "").run(socket, request);
            return;
        }
        Mode currentMode = mode;
        ledger.recordArrival(id, FakePeer.header(request, "X-Txn"), receivedNs,
                Long.parseLong(FakePeer.header(request, "X-Remaining-Ms")), currentMode != Mode.REJECT);
        switch (currentMode) {
            case SERVE -> {
                TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(MAX_SERVICE_MS));
                FakePeer.answer("200 OK", "", "done").run(socket, request);
            }
            case ERROR -> FakePeer.answer("500 Error", "", "").run(socket, request);
            case REJECT -> FakePeer.answer("503 No", "X-Turned-Away: 1\r\n", "").run(socket, request);
            case RESET -> FakePeer.RESET.run(socket, request);
            default -> { }
        }
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
