package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A server of the soak test: records the requests that it receives and responds according to its mode. */
final class SoakServer implements Closeable {
    /** How the server responds. */
    enum Mode { SERVE, HANG, ERROR, REJECT, RESET }

    private static final int MAX_SERVICE_MS = 80;

    final String id;
    volatile Mode mode = Mode.SERVE;
    private final SoakRules rules;
    private final ServerSocketChannel listening;

    SoakServer(String id, SoakRules rules, ArrivalRecorder arrivals) throws IOException {
        this.id = id;
        this.rules = rules;
        listening = arrivals.listen(this::respond);
    }

    String address() {
        return "127.0.0.1:" + listening.socket().getLocalPort();
    }

    private void respond(ArrivalRecorder.Connection connection, String request,
            ArrivalRecorder.Arrival arrival) throws IOException, InterruptedException {
        if (request.startsWith("GET /health")) {
            connection.send(FakePeer.responseText("200 OK", "", ""));
            return;
        }
        Mode currentMode = mode;
        rules.recordArrival(id, FakePeer.header(request, "X-Txn"), arrival,
                Long.parseLong(FakePeer.header(request, "X-Remaining-Ms")), currentMode != Mode.REJECT);
        switch (currentMode) {
            case SERVE -> {
                TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(MAX_SERVICE_MS));
                connection.send(FakePeer.responseText("200 OK", "", "done"));
            }
            case ERROR -> connection.send(FakePeer.responseText("500 Error", "", ""));
            case REJECT -> connection.send(FakePeer.responseText("503 No", "X-Turned-Away: 1\r\n", ""));
            case RESET -> connection.reset();
            default -> { }
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
