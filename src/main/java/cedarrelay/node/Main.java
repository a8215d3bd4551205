package cedarrelay.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;

/** The entry point of a node process: starts one node and stops it gracefully on SIGTERM. */
public final class Main {
    private static final Logger LOG = System.getLogger(Main.class.getName());

    /** Exit code of a process that was started with an unusable configuration. */
    private static final int BAD_CONFIG_EXIT_CODE = 2;
    /** Exit code of a process whose event loop has ended by an error. */
    private static final int EVENT_LOOP_ENDED_EXIT_CODE = 3;
    /** Requests of the warm-up: enough to load all classes. More would speed up the first responses but delay
     * the start. */
    private static final int WARM_UP_REQUESTS = 100;
    /** How long a start waits for discovery before the node serves with the server list of its configuration.
     * The discovery agent runs on the same machine and normally responds at once; one that stays silent for
     * as long as the warm-up may take has lost its own connection to the discovery service, and serving by a
     * possibly outdated list is better than not serving. */
    private static final long DISCOVERY_WAIT_MS = 1_500;
    /** Sample configuration for a process that only runs the warm-up. */
    private static final String WARM_UP_CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":1024},
             "known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a",
              "pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"zones":["a"],"myZone":"a","membershipMode":"on_request","realms":[{"name":"t"}],
              "classes":[{"name":"a","repeat":"safe","onTimeUs":1000000,"giveUpUs":3000000},
               {"name":"b","repeat":"unsafe","onTimeUs":1000000,"giveUpUs":3000000}]}}""";

    private Main() { }

    /**
     * Reads the configuration that the environment names and serves until SIGTERM. SIGHUP reloads the
     * configuration file. An unusable configuration ends the process with one line on standard error and exit
     * code 2, a listening socket that cannot be opened with exit code 1, an event loop that has ended by an
     * error with exit code 3.
     *
     * <p>With the argument {@code rehearse}, the process only runs the warm-up and exits: the build does so
     * to record the loaded classes for the class data sharing archive.
     */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("rehearse")) {
            warmUp();
            return;
        }
        Map<String, String> environment = System.getenv();
        try {
            Logging.setUp(environment);
        } catch (IllegalArgumentException e) {
            exit("bad configuration: " + e.getMessage(), BAD_CONFIG_EXIT_CODE);
        }
        Node[] startedNode = new Node[1];
        EventLoopGroup group = EventLoops.newGroup(RoundedUpIoHandler.newFactory(),
                error -> recordLoopError(startedNode[0], error), Main::exitAsLoopEnded);
        EventLoop loop = group.next();
        // Before anything else, as an unhandled SIGHUP ends the process. The event loop runs tasks in order,
        // so a reload requested now runs after the node has started.
        SighupHandler.install(() -> loop.execute(() -> reload(startedNode[0], environment)));
        loop.execute(() -> startedNode[0] = start(environment, group, loop));
    }

    /** Runs on the event loop. Returns null, after ending the process, if the configuration is unusable. */
    private static Node start(Map<String, String> environment, EventLoopGroup group, EventLoop loop) {
        Node node;
        try {
            node = new Node(Config.read(environment).withDescriptorLimit(DescriptorLimit.maxOpenFiles()),
                    loop);
        } catch (IllegalArgumentException e) {
            exit("bad configuration: " + e.getMessage(), BAD_CONFIG_EXIT_CODE);
            return null;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, loop), "stop"));
        node.start(group, WARM_UP_REQUESTS, DISCOVERY_WAIT_MS, () -> { }).addListener(bound -> {
            if (!bound.isSuccess()) {
                exit("cannot open the listening socket: " + bound.cause().getMessage(), 1);
            }
        });
        return node;
    }

    /** Reloads the configuration file. An unusable file is logged and ignored: the node keeps serving. */
    private static void reload(Node node, Map<String, String> environment) {
        try {
            node.reload(Config.readForReload(environment));
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "configuration not reloaded, the previous one stays in use: {0}",
                    e.getMessage());
        }
    }

    /** Runs the warm-up on a node with a sample configuration, then lets the process end. */
    private static void warmUp() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, RoundedUpIoHandler.newFactory());
        SighupHandler.install(() -> { });
        Node node = new Node(Config.parse(WARM_UP_CONFIG, Map.of()), group.next());
        group.next().execute(() -> node.start(group, WARM_UP_REQUESTS, DISCOVERY_WAIT_MS,
                group::shutdownGracefully));
    }

    private static void recordLoopError(Node node, Throwable error) {
        if (node != null) {
            node.recordLoopError();
        }
        LOG.log(Level.ERROR, "an error in the event loop, which goes on", error);
    }

    /** Without its event loop a node answers nobody: the process ends instead, at once and with a code. */
    private static void exitAsLoopEnded() {
        try {
            System.err.println("cedarrelay: the event loop has ended by an error");
        } finally {
            Runtime.getRuntime().halt(EVENT_LOOP_ENDED_EXIT_CODE);
        }
    }

    private static void exit(String reason, int code) {
        System.err.println("cedarrelay: " + reason);
        // Skips the shutdown hook: it would wait for a graceful stop although no request is pending.
        Runtime.getRuntime().halt(code);
    }

    /**
     * Stops the node gracefully, as the shutdown hook that runs on SIGTERM. Halting from within the hook
     * makes the exit code 0; otherwise the JVM would exit with 143.
     */
    private static void stop(Node node, EventLoop loop) {
        long signalledNs = System.nanoTime();
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.stop(signalledNs, stopped::countDown));
        try {
            stopped.await(node.maxStopMs(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
