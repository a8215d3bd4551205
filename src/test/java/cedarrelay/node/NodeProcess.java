package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonObject;

/** A node as a process of its own, on a free port of the loopback interface. */
final class NodeProcess implements Closeable {
    private static final long START_S = 60;
    private static final long POLL_MS = 20;

    final int port;
    private final Process process;

    /** Starts the program with this configuration; its log goes to the file. */
    NodeProcess(JsonObject config, int port, Path log, Map<String, String> environment) throws IOException {
        this.port = port;
        config.addProperty("listen", "127.0.0.1:" + port);
        String classes = System.getProperty("surefire.test.class.path",
                System.getProperty("java.class.path"));
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", classes, "cedarrelay.node.Main");
        builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
        builder.environment().putAll(environment);
        builder.environment().put("LB_CONFIG", Fixture.write(config).toString());
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.PATIENCE_S));
        return socket;
    }

    void awaitReady() throws Exception {
        long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_S);
        while (!isReady()) {
            if (!process.isAlive() || System.nanoTime() - untilNs > 0) {
                throw new AssertionError("never ready");
            }
            process.waitFor(POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Whether it says that it is ready, and listens at all. */
    boolean isReady() {
        try {
            return get("/ready").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** One of its counters, by its name without the common prefix. */
    long metric(String name) throws IOException {
        for (String line : get("/metrics").split("\n")) {
            if (line.startsWith("cedarrelay_" + name + " ")) {
                return Long.parseLong(line.substring(line.indexOf(' ') + 1).trim());
            }
        }
        throw new AssertionError("no metric " + name);
    }

    private String get(String path) throws IOException {
        try (Socket socket = connect()) {
            FakePeer.write(socket, "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
            String answer = FakePeer.read(socket);
            if (answer == null) {
                throw new IOException("no answer");
            }
            return answer;
        }
    }

    /** Sends a signal, by its name without SIG. */
    void signal(String name) throws Exception {
        if (new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor() != 0) {
            throw new AssertionError("can't be signalled");
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean awaitEnd(long ms) throws InterruptedException {
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
