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
 * Whatever became of the calls before: what discovery has to tell counts as told 6 s after it can be reached,
 * and 0.5 s later nothing may go by the list as it was.
 */
@Timeout(120)
class ToldInTimeTest {
    private static final int TOLD_MS = 6_000;
    /** How long a node waits for discovery before it goes by the known list. */
    private static final int START_MS = 1_500;
    /** Calls that fail before one is answered: the wait between them has grown by then. */
    private static final int FAILED_CALLS = 3;

    /** How a call can fail. */
    private enum Fault {
        RESET(FakePeer.RESET),
        ENDED(FakePeer.CLOSE),
        REFUSED(FakePeer.answer("503 No", "", "")),
        SILENT(FakePeer.SILENT),
        SILENT_BEHIND_ITS_HEAD((socket, call) -> Fixture.beginWatch(socket)),
        CUT((socket, call) -> {
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
    private FakePeer drains;
    private FakePeer stays;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        discovery = new FakePeer(FakePeer.SILENT);
        drains = new FakePeer(FakePeer.answer("200 OK", "", "done"));
        stays = new FakePeer(FakePeer.answer("200 OK", "", "done"));
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        discovery.close();
        drains.close();
        stays.close();
    }

    private int start(String mode, long startMs) throws Exception {
        JsonObject json = Fixture.config(discovery, drains, stays);
        json.getAsJsonObject("settings").addProperty("membershipMode", mode);
        Config config = Config.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        EventLoop loop = group.next();
        Node node = loop.submit(() -> new Node(config, loop)).get();
        Channel channel = loop.submit(() -> node.start(group, 8, startMs, () -> { })).get().sync().channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private void tellOfTheDrain(Socket watch, String call) throws IOException {
        Fixture.beginWatch(watch);
        Fixture.line(watch, Fixture.list(42, false, "Terminating", drains));
    }

    /** From when discovery can be reached: asks until what drains has got nothing for a while. */
    private void heedsTheDrainInTime(int port) throws Exception {
        long reachedNs = System.nanoTime();
        try (Socket client = new Socket("127.0.0.1", port)) {
            int quiet = 0;
            for (int i = 1; quiet < 20; i++) {
                int before = drains.requests.size();
                FakePeer.write(client, Fixture.request("GET", "/view", i, "", ""));
                String answer = FakePeer.read(client);
                assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 "), answer);
                quiet = drains.requests.size() == before ? quiet + 1 : 0;
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reachedNs);
                assertTrue(tookMs < TOLD_MS, "sent to a server that drains after " + tookMs + " ms");
                if (quiet == 0) {
                    TimeUnit.MILLISECONDS.sleep(10);
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"pushed,RESET", "pushed,ENDED", "pushed,REFUSED", "pushed,SILENT",
        "pushed,SILENT_BEHIND_ITS_HEAD", "pushed,CUT", "on_request,RESET", "on_request,ENDED",
        "on_request,REFUSED", "on_request,SILENT", "on_request,SILENT_BEHIND_ITS_HEAD", "on_request,CUT"})
    void aDrainIsHeededInTimeAfterCallsThatFailed(String mode, Fault fault) throws Exception {
        discovery.script(fault.script);
        int port = start(mode, 0);
        int failed = fault == Fault.SILENT || fault == Fault.SILENT_BEHIND_ITS_HEAD ? 1 : FAILED_CALLS;
        for (int i = 0; i < failed; i++) {
            discovery.nextRequest();
        }
        // The last of these calls is lost yet.
        discovery.script(this::tellOfTheDrain);
        heedsTheDrainInTime(port);
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void aDrainIsHeededInTimeAfterNobodyListened(String mode) throws Exception {
        int at = discovery.port();
        discovery.close();
        // Nobody listens as the node starts, and somebody does before it goes by the known list.
        int port = start(mode, START_MS);
        // The calls made meanwhile leave no trace here to wait for.
        TimeUnit.MILLISECONDS.sleep(START_MS / 5);
        discovery = new FakePeer(at, this::tellOfTheDrain);
        heedsTheDrainInTime(port);
    }
}
