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
 * A node whose process is held up (SIGSTOP) for longer than the grace of a drain: what discovery's agent
 * has told by the time it runs on binds everything that it sends from then on.
 */
@Timeout(120)
class HeldUpProcessTest {
    /** Longer than the grace of the fixture's settings, 500 ms, and its slack of 50 ms. */
    private static final int PAST_GRACE_MS = 700;
    /** Longer than a node waits for discovery before it goes by the list that it knows. */
    private static final int FAILING_MS = 2_200;
    /** So many servers in a message that a node can't read at once. */
    private static final int MANY = 1_500;

    private FakePeer discovery;
    private FakePeer drains;
    private FakePeer stays;
    private NodeProcess node;

    @BeforeEach
    void open() throws Exception {
        discovery = new FakePeer(FakePeer.SILENT);
        drains = new FakePeer(FakePeer.answer("200 OK", "", "done"));
        stays = new FakePeer(FakePeer.answer("200 OK", "", "done"));
    }

    @AfterEach
    void close() throws Exception {
        if (node != null) {
            node.close();
        }
        discovery.close();
        drains.close();
        stays.close();
    }

    private Socket start(String known) throws Exception {
        JsonObject config = Fixture.config(discovery);
        JsonObject settings = config.getAsJsonObject("settings");
        settings.addProperty("membershipMode", "pushed");
        settings.getAsJsonObject("limits").addProperty("dialTimeoutUs", 20_000_000);
        CountDownLatch asked = new CountDownLatch(1);
        discovery.script((socket, call) -> {
            Fixture.beginWatch(socket);
            Fixture.line(socket, known);
            asked.countDown();
        });
        Path log = Files.createTempFile("node", ".log");
        log.toFile().deleteOnExit();
        node = new NodeProcess(config, NodeProcess.freePort(), log, Map.of());
        node.awaitReady();
        asked.await();
        return FakePeer.soon(discovery.accepted);
    }

    /** What discovery tells while the process is held up: one server drains and another joins. */
    private String drainAndJoin() {
        return Fixture.list(43, false, "Ready", stays) + "\n"
                + Fixture.list(44, false, "Terminating", drains);
    }

    /** A server whose connections come up late: its queue is full, and the system asks again after 1 s. */
    private static final class LateServer implements AutoCloseable {
        private final ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> fillers = new ArrayList<>();

        LateServer() throws IOException {
            listening.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.PATIENCE_S));
            boolean full = false;
            while (!full) {
                Socket filler = new Socket();
                try {
                    filler.connect(new InetSocketAddress(listening.getInetAddress(),
                            listening.getLocalPort()), 300);
                    fillers.add(filler);
                } catch (SocketTimeoutException e) {
                    filler.close();
                    full = true;
                }
            }
        }

        /** Makes room, and waits for a connection that is none of those that took it up. */
        Socket acceptNext() throws IOException {
            List<Integer> own = fillers.stream().map(Socket::getLocalPort).toList();
            Socket next = listening.accept();
            while (own.contains(next.getPort())) {
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

    /** Servers that have gone: they change nothing, and take long to read. */
    private static String longMessage(int revision) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            entries.add("{\"uid\":\"s-gone-" + i + "\",\"endpoint\":\"127.0.0.1:9\",\"state\":\"Gone\"}");
        }
        return message(revision, false, entries.toArray(String[]::new));
    }

    /**
     * The incident: the send is decided, its connection comes up while the process is held up, and the drain
     * comes behind it. Epoll reports in the order of events, so the node comes to the connection first.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aConnectionThatComesUpBeforeTheDrainIsReadCarriesNothing(boolean behindALongMessage)
            throws Exception {
        try (LateServer late = new LateServer()) {
            Socket watch = start(message(42, true, late.entry("Ready")));
            Socket client = node.connect();
            FakePeer.write(client, Fixture.request("POST", "/order", 1, "", "x"));
            while (node.metric("attempts_started_total") == 0) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            node.signal("STOP");
            try (Socket toDraining = late.acceptNext()) {
                if (behindALongMessage) {
                    Fixture.line(watch, longMessage(43));
                }
                Fixture.line(watch, message(44, false, late.entry("Terminating")) + "\n"
                        + Fixture.list(45, false, "Ready", stays));
                TimeUnit.MILLISECONDS.sleep(PAST_GRACE_MS);
                node.signal("CONT");
                String answer = FakePeer.read(client);
                assertEquals(0, toDraining.getInputStream().available(), "sent to a server that drains");
                assertTrue(answer != null && answer.startsWith("HTTP/1.1 200"), answer);
            }
        }
    }

    /** What discovery's agent has counts as told from the start, however many calls fail at first. */
    @Test
    void aNodeThatStartsWhileCallsFailSendsNothingByItsKnownList() throws Exception {
        JsonObject config = Fixture.config(discovery, drains);
        config.getAsJsonObject("settings").addProperty("membershipMode", "pushed");
        AtomicLong firstNs = new AtomicLong();
        discovery.script((socket, call) -> {
            firstNs.compareAndSet(0, System.nanoTime());
            if (System.nanoTime() - firstNs.get() < TimeUnit.MILLISECONDS.toNanos(FAILING_MS)) {
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
            String answer = FakePeer.read(client);
            assertTrue(drains.requests.isEmpty(), "sent to a server that drains");
            assertTrue(answer != null && answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    /** The watch breaks while the process is held up: whatever it missed counts as told all the same. */
    @Test
    void aRequestThatComesWhileTheWatchIsBrokenWaitsForTheList() throws Exception {
        Socket watch = start(Fixture.list(42, true, "Ready", drains));
        Socket client = node.connect();
        FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
        assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 200"));
        drains.requests.clear();
        discovery.script((socket, call) -> {
            Fixture.beginWatch(socket);
            Fixture.line(socket, drainAndJoin());
        });
        node.signal("STOP");
        FakePeer.RESET.run(watch, "");
        FakePeer.write(client, Fixture.request("GET", "/view", 2, "", ""));
        TimeUnit.MILLISECONDS.sleep(PAST_GRACE_MS);
        node.signal("CONT");
        String answer = FakePeer.read(client);
        assertTrue(drains.requests.isEmpty(), "sent to a server that drains");
        assertTrue(answer != null && answer.startsWith("HTTP/1.1 200"), answer);
    }
}
