package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against sends to draining servers by a node whose process was paused (SIGSTOP) for longer than the
 * grace period of a drain: every change that discovery's agent has sent by the time the process continues
 * applies to everything that the node sends from then on.
 */
@Timeout(120)
class HeldUpProcessTest {
    /** Longer than the grace period of the fixture's settings, 500 ms, plus a tolerance of 50 ms. */
    private static final int PAUSE_MS = 700;
    /** Longer than a node waits for discovery before it uses its known list. */
    private static final int CALLS_FAIL_MS = 2_200;
    /** Makes a message too long for a node to read it at once. */
    private static final int LONG_MESSAGE_SERVERS = 1_500;

    private FakePeer discovery;
    private FakePeer drainingServer;
    private FakePeer readyServer;
    private NodeProcess node;

    @BeforeEach
    void open() throws Exception {
        discovery = new FakePeer(FakePeer.SILENT);
        drainingServer = new FakePeer(FakePeer.answer("200 OK", "", "done"));
        readyServer = new FakePeer(FakePeer.answer("200 OK", "", "done"));
    }

    @AfterEach
    void close() throws Exception {
        if (node != null) {
            node.close();
        }
        discovery.close();
        drainingServer.close();
        readyServer.close();
    }

    private Socket startNode(String initialList) throws Exception {
        JsonObject config = Fixture.config(discovery);
        JsonObject settings = config.getAsJsonObject("settings");
        settings.addProperty("membershipMode", "pushed");
        settings.getAsJsonObject("limits").addProperty("dialTimeoutUs", 20_000_000);
        CountDownLatch called = new CountDownLatch(1);
        discovery.script((socket, call) -> {
            Fixture.beginWatch(socket);
            Fixture.line(socket, initialList);
            called.countDown();
        });
        Path log = Files.createTempFile("node", ".log");
        log.toFile().deleteOnExit();
        node = new NodeProcess(config, NodeProcess.freePort(), log, Map.of());
        node.awaitReady();
        called.await();
        return FakePeer.soon(discovery.accepted);
    }

    /** The list changes sent while the process is paused: one server drains and another joins. */
    private String drainAndJoin() {
        return Fixture.list(43, false, "Ready", readyServer) + "\n"
                + Fixture.list(44, false, "Terminating", drainingServer);
    }

    /** A server with a full accept queue: connections are established when the kernel retries after 1 s. */
    private static final class SlowToConnectServer implements AutoCloseable {
        private final ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> fillers = new ArrayList<>();

        SlowToConnectServer() throws IOException {
            listening.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.PATIENCE_S));
            boolean queueFull = false;
            while (!queueFull) {
                Socket filler = new Socket();
                try {
                    filler.connect(new InetSocketAddress(listening.getInetAddress(),
                            listening.getLocalPort()), 300);
                    fillers.add(filler);
                } catch (SocketTimeoutException e) {
                    filler.close();
                    queueFull = true;
                }
            }
        }

        /** Empties the queue and waits for a connection that is none of those that filled it. */
        Socket acceptNext() throws IOException {
            List<Integer> fillerPorts = fillers.stream().map(Socket::getLocalPort).toList();
            Socket next = listening.accept();
            while (fillerPorts.contains(next.getPort())) {
                next = listening.accept();
            }
            return next;
        }

        String entry(String state) {
            return """
                    {"uid":"s-late","endpoint":"127.0.0.1:%d","az":"a","model":"m","pod_group":3,\
                    "state":"%s","capacity_hint":1.0,"boot_ms":0}"""
                    .formatted(listening.getLocalPort(), state);
        }

        @Override
        public void close() throws IOException {
            for (Socket filler : fillers) {
                filler.close();
            }
            listening.close();
        }
    }

    private static String message(int revision, boolean all, String... entries) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
                + String.join(",", entries) + "]}";
    }

    /** A list of removed servers that changes nothing and takes long to read. */
    private static String longMessage(int revision) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < LONG_MESSAGE_SERVERS; i++) {
            entries.add("{\"uid\":\"s-gone-" + i + "\",\"endpoint\":\"127.0.0.1:9\",\"state\":\"Gone\"}");
        }
        return message(revision, false, entries.toArray(String[]::new));
    }

    /**
     * A fault seen in an incident: the connection of a decided send is established while the process is
     * paused, and the drain arrives after it. Epoll reports events in order, so the node handles the
     * connection first.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aConnectionEstablishedBeforeTheDrainIsReadCarriesNoRequest(boolean afterLongMessage)
            throws Exception {
        try (SlowToConnectServer slowServer = new SlowToConnectServer()) {
            Socket watch = startNode(message(42, true, slowServer.entry("Ready")));
            Socket client = node.connect();
            FakePeer.write(client, Fixture.request("POST", "/order", 1, "", "x"));
            while (node.metric("attempts_started_total") == 0) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            node.signal("STOP");
            try (Socket drainingConnection = slowServer.acceptNext()) {
                if (afterLongMessage) {
                    Fixture.line(watch, longMessage(43));
                }
                Fixture.line(watch, message(44, false, slowServer.entry("Terminating")) + "\n"
                        + Fixture.list(45, false, "Ready", readyServer));
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
                node.signal("CONT");
                String response = FakePeer.read(client);
                assertEquals(0, drainingConnection.getInputStream().available(),
                        "a request was sent to a draining server");
                assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
            }
        }
    }

    /** Changes that discovery's agent has count as notified from the start, even if the first calls fail. */
    @Test
    void aNodeThatStartsWhileDiscoveryFailsSendsNothingByItsKnownList() throws Exception {
        JsonObject config = Fixture.config(discovery, drainingServer);
        config.getAsJsonObject("settings").addProperty("membershipMode", "pushed");
        AtomicLong firstCallNs = new AtomicLong();
        discovery.script((socket, call) -> {
            firstCallNs.compareAndSet(0, System.nanoTime());
            if (System.nanoTime() - firstCallNs.get() < TimeUnit.MILLISECONDS.toNanos(CALLS_FAIL_MS)) {
                FakePeer.RESET.run(socket, call);
            } else {
                Fixture.beginWatch(socket);
                Fixture.line(socket, drainAndJoin());
            }
        });
        Path log = Files.createTempFile("node", ".log");
        log.toFile().deleteOnExit();
        node = new NodeProcess(config, NodeProcess.freePort(), log, Map.of());
        node.awaitReady();
        try (Socket client = node.connect()) {
            FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
            String response = FakePeer.read(client);
            assertTrue(drainingServer.requests.isEmpty(), "a request was sent to a draining server");
            assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
        }
    }

    /** The watch breaks while the process is paused: the changes that it missed count as notified too. */
    @Test
    void aRequestReceivedWhileTheWatchIsBrokenWaitsForTheList() throws Exception {
        Socket watch = startNode(Fixture.list(42, true, "Ready", drainingServer));
        Socket client = node.connect();
        FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
        assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 200"));
        drainingServer.requests.clear();
        discovery.script((socket, call) -> {
            Fixture.beginWatch(socket);
            Fixture.line(socket, drainAndJoin());
        });
        node.signal("STOP");
        FakePeer.RESET.run(watch, "");
        FakePeer.write(client, Fixture.request("GET", "/view", 2, "", ""));
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        node.signal("CONT");
        String response = FakePeer.read(client);
        assertTrue(drainingServer.requests.isEmpty(), "a request was sent to a draining server");
        assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
    }
}
