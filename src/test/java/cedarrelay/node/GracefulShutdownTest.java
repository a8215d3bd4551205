package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that arrive after SIGTERM, while the only server hangs, on a node process. */
@Timeout(120)
class GracefulShutdownTest {
    private static final long DEADLINE_MS = 1_000;
    /** SIGKILL follows SIGTERM no sooner than the longest deadline and 0.7 s after it. */
    private static final long KILL_AFTER_MS = DEADLINE_MS + 700;
    /** Requests that arrive later than this after SIGTERM have to be answered before SIGKILL. */
    private static final long LATE_ARRIVAL_MS = 900;

    private FakePeer discovery;
    private FakePeer server;
    private Path log;
    private NodeProcess node;
    private Socket client;

    @BeforeEach
    void open() throws Exception {
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(FakePeer.SILENT);
        log = Files.createTempFile("node", ".log");
        JsonObject config = Fixture.config(discovery, server);
        for (JsonElement requestClass : config.getAsJsonObject("settings").getAsJsonArray("classes")) {
            requestClass.getAsJsonObject().addProperty("onTimeUs", 1_000 * DEADLINE_MS);
            requestClass.getAsJsonObject().addProperty("giveUpUs", 1_000 * DEADLINE_MS);
        }
        node = new NodeProcess(config, NodeProcess.freePort(), log, Map.of());
        node.awaitReady();
        client = node.connect();
    }

    @AfterEach
    void close() throws Exception {
        client.close();
        node.close();
        discovery.close();
        server.close();
        Files.delete(log);
    }

    /** Reads the response, and checks that it came before SIGKILL may follow the signal. */
    private String readResponseBeforeKill(long signalledNs) throws Exception {
        String response = FakePeer.readMessage(client);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledNs);
        assertNotNull(response, "the connection was closed without a response");
        assertTrue(tookMs < KILL_AFTER_MS, "the response came " + tookMs + " ms after SIGTERM: " + response);
        return response;
    }

    /** Guards against a late request that keeps its full time and has no response when SIGKILL comes. */
    @Test
    void aRequestThatArrivesLateIsAnsweredBeforeSigkill() throws Exception {
        String request = Fixture.request("POST", "/order", 1, "", "body");
        FakePeer.write(client, request.substring(0, request.length() - 1));
        long signalledNs = System.nanoTime();
        node.sendSignal("TERM");
        TimeUnit.MILLISECONDS.sleep(LATE_ARRIVAL_MS);
        FakePeer.write(client, request.substring(request.length() - 1));
        server.nextRequest();
        String response = readResponseBeforeKill(signalledNs);
        assertTrue(response.startsWith("HTTP/1.1 50"), response);
    }

    /** Guards against an unfinished request whose last byte comes too late for a response before SIGKILL. */
    @Test
    void anUnfinishedRequestIsRejectedBeforeSigkill() throws Exception {
        String request = Fixture.request("POST", "/order", 1, "", "body");
        FakePeer.write(client, request.substring(0, request.length() - 1));
        long signalledNs = System.nanoTime();
        node.sendSignal("TERM");
        String response = readResponseBeforeKill(signalledNs);
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(server.receivedRequests.isEmpty(), "a request was sent that had not arrived whole");
    }
}
