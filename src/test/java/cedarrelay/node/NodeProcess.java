package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.gson.JsonObject;

/** A node that runs as a separate process, with plain accessors for its HTTP endpoints and signals. */
final class NodeProcess implements Closeable {
    private static final long START_TIMEOUT_S = 60;
    private static final long POLL_INTERVAL_MS = 20;
    private static final long RESPONSE_TIMEOUT_MS = TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S);
    /** Short, so that a node that has exited is noticed even if another process responds on its port. */
    private static final long READY_POLL_TIMEOUT_MS = 1_000;
    private static final int LOG_LINES_TOLD = 5;
    private static final long STOP_POLL_INTERVAL_MS = 1;
    /** The state of a stopped thread in its /proc/PID/task/TID/stat. */
    private static final char STATE_STOPPED = 'T';

    final int port;
    private final Path log;
    private final Process process;

    /** Starts a node on a loopback port; appends its standard output and standard error to the log file. */
    NodeProcess(JsonObject config, int port, Path log, Map<String, String> environment) throws IOException {
        this(config, port, log, environment, List.of("-Xmx64m"));
    }

    /** As the other constructor, with these options for the sizes of the JVM's memory. */
    NodeProcess(JsonObject config, int port, Path log, Map<String, String> environment,
            List<String> memoryOptions) throws IOException {
        this.port = port;
        this.log = log;
        config.addProperty("listen", "127.0.0.1:" + port);
        String classPath = System.getProperty("surefire.test.class.path",
                System.getProperty("java.class.path"));
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
        command.addAll(memoryOptions);
        command.addAll(List.of("-cp", classPath, "cedarrelay.node.Main"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
        builder.environment().putAll(environment);
        builder.environment().put("LB_CONFIG", Fixture.writeConfig(config).toString());
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    }

    /** The options for the sizes of the JVM's memory in the {@code run} setting of the deploy file. */
    static List<String> deployedMemoryOptions() throws IOException {
        String run = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                .filter(line -> line.startsWith("run ")).findFirst().orElseThrow();
        List<String> options = Arrays.stream(run.split(" ")).filter(option -> option.matches("-X.*\\d+m"))
                .toList();
        if (options.stream().noneMatch(option -> option.startsWith("-Xmx"))) {
            throw new AssertionError("the deploy file sets no size of the heap: " + run);
        }
        return options;
    }

    /** A free port for a node, which the kernel gives to no other socket. */
    static int freePort() throws IOException {
        return NodePorts.nextFree();
    }

    /** Opens a client connection whose reads time out. */
    Socket connect() throws IOException {
        return connect(RESPONSE_TIMEOUT_MS);
    }

    private Socket connect(long readTimeoutMs) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) readTimeoutMs);
        return socket;
    }

    /** Waits until the node is ready; throws AssertionError if it exits or is not ready in time. */
    void awaitReady() throws Exception {
        await(() -> isReady(READY_POLL_TIMEOUT_MS), "ready");
    }

    /** Waits until the node accepts connections; throws AssertionError as {@link #awaitReady} does. */
    void awaitListening() throws Exception {
        await(this::isListening, "listening");
    }

    private void await(BooleanSupplier condition, String state) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (!process.isAlive()) {
                throw new AssertionError("the node exited with status " + exitValue() + " before it was "
                        + state + ", its last log lines: " + lastLogLines());
            }
            if (System.nanoTime() - deadlineNs > 0) {
                throw new AssertionError("the node was not " + state + " within " + START_TIMEOUT_S
                        + " s, its last log lines: " + lastLogLines());
            }
            process.waitFor(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isListening() {
        try (Socket socket = connect()) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the node accepts connections and reports that it is ready. */
    boolean isReady() {
        return isReady(RESPONSE_TIMEOUT_MS);
    }

    private boolean isReady(long responseTimeoutMs) {
        try {
            return get("/ready", responseTimeoutMs).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** The end of the log, to tell why a process has ended. */
    List<String> lastLogLines() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.subList(Math.max(0, lines.size() - LOG_LINES_TOLD), lines.size());
    }

    /** The value of a metric, by its name without the prefix {@code cedarrelay_}. */
    long metric(String name) throws IOException {
        for (String line : get("/metrics", RESPONSE_TIMEOUT_MS).split("\n")) {
            if (line.startsWith("cedarrelay_" + name + " ")) {
                return Long.parseLong(line.substring(line.indexOf(' ') + 1).trim());
            }
        }
        throw new AssertionError("the node has no metric " + name);
    }

    private String get(String path, long responseTimeoutMs) throws IOException {
        try (Socket socket = connect(responseTimeoutMs)) {
            FakePeer.write(socket, "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
            String response = FakePeer.readMessage(socket);
            if (response == null) {
                throw new IOException("the node closed the connection without a response");
            }
            return response;
        }
    }

    /** Sends a signal to the process, by its name without the prefix SIG. */
    void sendSignal(String name) throws Exception {
        if (new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor() != 0) {
            throw new AssertionError("cannot send a signal to the node process");
        }
    }

    /** Pauses the process (SIGSTOP) and waits until the pause is in effect, in all threads. */
    void pause() throws Exception {
        sendSignal("STOP");
        awaitStopped();
    }

    /** Ends a pause (SIGCONT). */
    void resume() throws Exception {
        sendSignal("CONT");
    }

    /**
     * Waits until all threads of the process have stopped. SIGSTOP takes effect some time after it was sent:
     * on a busy machine, threads of the process may run on meanwhile.
     */
    void awaitStopped() throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        while (!isStopped()) {
            if (!process.isAlive() || System.nanoTime() - deadlineNs > 0) {
                throw new AssertionError("the node process exited or did not stop in time");
            }
            TimeUnit.MILLISECONDS.sleep(STOP_POLL_INTERVAL_MS);
        }
    }

    private boolean isStopped() throws IOException {
        Path threads = Path.of("/proc", Long.toString(process.pid()), "task");
        try (DirectoryStream<Path> directories = Files.newDirectoryStream(threads)) {
            for (Path directory : directories) {
                String status = Files.readString(directory.resolve("stat"), StandardCharsets.ISO_8859_1);
                // The state follows the thread's name, which is in parentheses.
                if (status.charAt(status.lastIndexOf(')') + 2) != STATE_STOPPED) {
                    return false;
                }
            }
            return true;
        } catch (NoSuchFileException e) {
            // A thread has ended since the directory was read.
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the process to exit; false if it still runs after the time. */
    boolean awaitExit(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    int exitValue() {
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
