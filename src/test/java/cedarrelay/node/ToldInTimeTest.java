package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonObject;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a node that could not reach discovery stops sending to a draining server in time. However
 * earlier calls failed, a drain counts as notified 6 s after discovery becomes reachable; 0.5 s later no
 * request may be sent by the outdated list.
 */
@Timeout(120)
class ToldInTimeTest {
    private static final int NOTIFIED_AFTER_MS = 6_000;
    /** How long a node waits for discovery before it uses the known list. */
    private static final int STARTUP_WAIT_MS = 1_500;
    /** Calls that fail before one is answered, so that the delay between calls has grown by then. */
    private static final int FAILED_CALLS = 3;

    /** A way in which a call can fail. */
    private enum Fault {
        RESET(FakePeer.RESET),
        ENDED(FakePeer.CLOSE),
        UNAVAILABLE(FakePeer.answer("503 No", "", "")),
        SILENT(FakePeer.SILENT),
        SILENT_AFTER_HEAD((socket, call) -> Fixture.beginWatch(socket)),
        TRUNCATED((socket, call) -> {
            Fixture.beginWatch(socket);
            FakePeer.write(socket, "20\r\n{\"rev\":42,\"all\":false,\"targets\"");
        });

        final FakePeer.Script script;

        Fault(FakePeer.Script script) {
            this.script = script;
        }
    }

    private EventLoopGroup group;
    private FakePeer discovery;
    private FakePeer drainingServer;
    private FakePeer remainingServer;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        discovery = new FakePeer(FakePeer.SILENT);
        drainingServer = new FakePeer(FakePeer.answer("200 OK", "", "done"));
        remainingServer = new FakePeer(FakePeer.answer("200 OK", "", "done"));
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        discovery.close();
        drainingServer.close();
        remainingServer.close();
    }

    private int start(String mode, long startupWaitMs) throws Exception {
        JsonObject json = Fixture.config(discovery, drainingServer, remainingServer);
        json.getAsJsonObject("settings").addProperty("membershipMode", mode);
        Config config = Config.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        EventLoop loop = group.next();
        Node node = loop.submit(() -> new Node(config, loop)).get();
        Channel channel = loop.submit(() -> node.start(group, 8, startupWaitMs, () -> { })).get().sync()
                .channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Answers a call with the change of the list. */
    private void sendDrain(Socket watch, String call) throws IOException {
        Fixture.beginWatch(watch);
        Fixture.line(watch, Fixture.list(42, false, "Terminating", drainingServer));
    }

    /**
     * Sends requests until 20 in a row go to other servers, which must happen within NOTIFIED_AFTER_MS.
     * Called when discovery becomes reachable.
     */
    private void assertSendsStopInTime(int port) throws Exception {
        long reachableNs = System.nanoTime();
        try (Socket client = new Socket("127.0.0.1", port)) {
            int sentElsewhere = 0;
            for (int i = 1; sentElsewhere < 20; i++) {
                int before = drainingServer.requests.size();
                FakePeer.write(client, Fixture.request("GET", "/view", i, "", ""));
                String answer = FakePeer.read(client);
                assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 "), answer);
                sentElsewhere = drainingServer.requests.size() == before ? sentElsewhere + 1 : 0;
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reachableNs);
                assertTrue(tookMs < NOTIFIED_AFTER_MS, "sent to a draining server after " + tookMs + " ms");
                if (sentElsewhere == 0) {
                    TimeUnit.MILLISECONDS.sleep(10);
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"pushed,RESET", "pushed,ENDED", "pushed,UNAVAILABLE", "pushed,SILENT",
        "pushed,SILENT_AFTER_HEAD", "pushed,TRUNCATED", "on_request,RESET", "on_request,ENDED",
        "on_request,UNAVAILABLE", "on_request,SILENT", "on_request,SILENT_AFTER_HEAD",
        "on_request,TRUNCATED"})
    void sendsToADrainingServerStopInTimeAfterFailedCalls(String mode, Fault fault) throws Exception {
        discovery.script(fault.script);
        int port = start(mode, 0);
        int failedCalls = fault == Fault.SILENT || fault == Fault.SILENT_AFTER_HEAD ? 1 : FAILED_CALLS;
        for (int i = 0; i < failedCalls; i++) {
            discovery.nextRequest();
        }
        // The last of these calls may still fail by the old script.
        discovery.script(this::sendDrain);
        assertSendsStopInTime(port);
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void sendsToADrainingServerStopInTimeAfterDiscoveryWasUnreachable(String mode) throws Exception {
        int discoveryPort = discovery.port();
        discovery.close();
        // Discovery is unreachable when the node starts, and reachable before the node uses the known list.
        int port = start(mode, STARTUP_WAIT_MS);
        // Calls to a closed port can't be observed, so this waits for a fixed time.
        TimeUnit.MILLISECONDS.sleep(STARTUP_WAIT_MS / 5);
        discovery = new FakePeer(discoveryPort, this::sendDrain);
        assertSendsStopInTime(port);
    }
}
