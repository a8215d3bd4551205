package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Usual requests on new connections while other clients hold all sockets of a node process. */
@Timeout(120)
class SocketShortageTest {
    /** 64 are reserved, and clients may hold three quarters of the others: 24. */
    private static final int SOCKETS = 96;
    private static final int UNFINISHED_CLIENTS = 100;
    private static final int USUAL_REQUESTS = 5;
    /** Longest time of a usual request: a deadline of 0.8 s and the half second after which it is lost. */
    private static final long LOST_AFTER_MS = 1_300;

    private FakePeer discovery;
    private FakePeer server;
    private Path log;
    private NodeProcess node;
    private final List<Socket> clients = new ArrayList<>();

    @BeforeEach
    void open() throws Exception {
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(FakePeer.respond("200 OK", "", "done"));
        log = Files.createTempFile("node", ".log");
        JsonObject config = Fixture.config(discovery, server);
        config.getAsJsonObject("limits").addProperty("sockets", SOCKETS);
        node = new NodeProcess(config, NodeProcess.freePort(), log, Map.of());
        node.awaitReady();
    }

    @AfterEach
    void close() throws Exception {
        node.close();
        discovery.close();
        server.close();
        for (Socket client : clients) {
            client.close();
        }
        Files.delete(log);
    }

    /** Opens connections that stay open after they have sent this. */
    private void openClients(int count, String text) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket client = node.connect();
            clients.add(client);
            FakePeer.write(client, text);
        }
    }

    private void assertUsualRequestsAreServedInTime() throws IOException {
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            long startNs = System.nanoTime();
            try (Socket client = node.connect()) {
                FakePeer.write(client, Fixture.request("GET", "/view", i, "", ""));
                String response = FakePeer.readMessage(client);
                assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
            }
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
            assertTrue(tookMs < LOST_AFTER_MS, "a usual request took " + tookMs + " ms");
        }
        assertEquals(0, node.metric("violations_close_unanswered_total"));
    }

    /** Guards against requests that wait unaccepted while incomplete requests of others hold the sockets. */
    @Test
    void unfinishedRequestsMakeRoomForOtherClients() throws Exception {
        String request = Fixture.request("POST", "/order", 1, "", "body");
        openClients(UNFINISHED_CLIENTS, request.substring(0, request.length() - 1));
        assertUsualRequestsAreServedInTime();
        assertTrue(node.metric("requests_out_of_sockets_total") > 0);
        String response = FakePeer.readMessage(clients.get(0));
        assertTrue(response != null && response.startsWith("HTTP/1.1 503 "), response);
    }
}
