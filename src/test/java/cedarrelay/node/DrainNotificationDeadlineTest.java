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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a node that could not reach discovery stops sending to a draining server in time. However the
 * earlier calls to discovery failed, a drain counts as notified 6 s after discovery becomes reachable; 0.5 s
 * later no request may be sent by the outdated list.
 */
@Timeout(120)
class DrainNotificationDeadlineTest {
    private static final int NOTIFIED_AFTER_MS = 6_000;
    /** How long a node waits for discovery before it uses the known list of its configuration. */
    private static final int STARTUP_WAIT_MS = 1_500;
    private static final int SILENT_OUTAGE_MS = 6_500;
    private static final int SLOWEST_ANSWER_MS = 2_900;
    /** Calls that fail before one is answered, so that the delay between calls has grown by then. */
    private static final int FAILED_CALLS = 3;

    /** A way in which a call to discovery can fail. */
    private enum Fault {
        RESET(FakePeer.RESET),
        ENDED(FakePeer.CLOSE),
        UNAVAILABLE(FakePeer.respond("503 No", "", "")),
        SILENT(FakePeer.SILENT),
        SILENT_AFTER_HEAD((socket, call) -> Fixture.sendWatchHead(socket)),
        TRUNCATED((socket, call) -> {
            Fixture.sendWatchHead(socket);
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
        drainingServer = new FakePeer(FakePeer.respond("200 OK", "", "done"));
        remainingServer = new FakePeer(FakePeer.respond("200 OK", "", "done"));
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
        Config config = Config.read(Map.of("LB_CONFIG", Fixture.writeConfig(json).toString()));
        EventLoop loop = group.next();
        Node node = loop.submit(() -> new Node(config, loop)).get();
        Channel channel = loop.submit(() -> node.start(group, 8, startupWaitMs, () -> { })).get().sync()
                .channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Responds to a call with a list in which the server drains. */
    private void sendDrain(Socket watch, String call) throws IOException {
        Fixture.sendWatchHead(watch);
        Fixture.sendLine(watch, Fixture.listMessage(42, false, "Terminating", drainingServer));
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
                int before = drainingServer.receivedRequests.size();
                FakePeer.write(client, Fixture.request("GET", "/view", i, "", ""));
                String response = FakePeer.readMessage(client);
                assertTrue(response != null && response.startsWith("HTTP/1.1 200 "), response);
                sentElsewhere = drainingServer.receivedRequests.size() == before ? sentElsewhere + 1 : 0;
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
        discovery.setScript(fault.script);
        int port = start(mode, 0);
        int failedCalls = fault == Fault.SILENT || fault == Fault.SILENT_AFTER_HEAD ? 1 : FAILED_CALLS;
        for (int i = 0; i < failedCalls; i++) {
            discovery.nextRequest();
        }
        // The last of these calls may still fail by the old script.
        discovery.setScript(this::sendDrain);
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

    /** Guards against calls that are given up before a discovery that was silent and is now slow answers. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 1_700, 2_900})
    void sendsToADrainingServerStopInTimeWhereDiscoveryReturnsSlow(int answerDelayMs) throws Exception {
        int port = start("on_request", 0);
        TimeUnit.MILLISECONDS.sleep(SILENT_OUTAGE_MS);
        // Calls that were received before stay without an answer.
        discovery.setScript((watch, call) -> {
            TimeUnit.MILLISECONDS.sleep(answerDelayMs);
            sendDrain(watch, call);
        });
        assertSendsStopInTime(port);
    }

    /** Guards against an outdated list for over 6 s, as a watch fell silent and the next call is slow. */
    @Test
    void sendsToADrainingServerStopInTimeAfterASilentWatchAndASlowCall() throws Exception {
        discovery.setScript((watch, call) -> Fixture.sendWatchHead(watch));
        int port = start("on_request", 0);
        discovery.nextRequest();
        discovery.setScript((watch, call) -> {
            TimeUnit.MILLISECONDS.sleep(SLOWEST_ANSWER_MS);
            sendDrain(watch, call);
        });
        assertSendsStopInTime(port);
    }
}
