import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-ins of plan servers, discovery and clients, and the start of a node, for the review's cases. */
final class Kit {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private static final long STARTED_NS = System.nanoTime();
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() << 20);
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static PrintWriter record;

    private Kit() { }

    // ------------------------------------------------------------------------------------ the record

    /** Opens record.txt in the folder of the case; ends the started processes when this program ends. */
    static void open(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), false);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            synchronized (PROCESSES) {
                for (Process process : PROCESSES) {
                    process.destroyForcibly();
                    try {
                        process.waitFor(3, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
            synchronized (Kit.class) {
                record.flush();
            }
        }));
    }

    static long nowMs() {
        return (System.nanoTime() - STARTED_NS) / 1_000_000;
    }

    /** Adds a line to the record. */
    static synchronized void note(String line) {
        record.printf("%7d ms  %s%n", nowMs(), line);
    }

    /** Adds a line to the record and to standard output. */
    static void say(String line) {
        note(line);
        System.out.println(line);
    }

    /** Writes the result and ends the program. */
    static void finish(int code, String reason) {
        say((code == HELD ? "HELD: " : code == BROKEN ? "BROKEN: " : "NOT RUN: ") + reason);
        System.exit(code);
    }

    static boolean withTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface IoTask {
        void run() throws Exception;
    }

    static Thread daemon(IoTask task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                return;
            } catch (Exception e) {
                note("stand-in failed: " + e);
            }
        }, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String newId() {
        return String.format("%016x", IDS.addAndGet(0x9E3779B97F4A7C15L >>> 8));
    }

    // ------------------------------------------------------------------------------------ messages

    /** Reads a head up to its empty line; null at the end of the input. */
    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return null;
    }

    static byte[] readBody(InputStream in, String head) throws IOException {
        String length = header(head, "Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        if (length != null && body.length < Integer.parseInt(length)) {
            throw new IOException("body cut short");
        }
        return body;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ------------------------------------------------------------------------------------ plan servers

    /** What a plan server does with a request that it has read whole. */
    interface Work {
        void serve(PlanServer server, Call call) throws IOException, InterruptedException;
    }

    /** A request at a plan server. */
    static final class Call {
        final String id;
        final String head;
        final byte[] body;
        final Socket socket;
        final long readMs = nowMs();

        Call(String head, byte[] body, Socket socket) {
            this.id = header(head, "X-Txn");
            this.head = head;
            this.body = body;
            this.socket = socket;
        }
    }

    /** A plan server: reads requests, one at a time on a connection, and runs each. */
    static final class PlanServer {
        final String uid;
        final ServerSocket listening;
        final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
        final AtomicInteger connections = new AtomicInteger();
        final java.util.Set<Socket> open = ConcurrentHashMap.newKeySet();
        volatile Work work;

        PlanServer(String uid, Work work) throws IOException {
            this.uid = uid;
            this.work = work;
            listening = new ServerSocket(0, 1_024, LOOPBACK);
            daemon(() -> {
                while (true) {
                    Socket socket = listening.accept();
                    connections.incrementAndGet();
                    daemon(() -> serve(socket));
                }
            });
        }

        int port() {
            return listening.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            open.add(socket);
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 16_384);
                for (String head = readHead(in); head != null; head = readHead(in)) {
                    Call call = new Call(head, readBody(in, head), socket);
                    calls.add(call);
                    note(uid + " read request " + call.id + " " + head.substring(0, head.indexOf('\r'))
                            + " remaining " + header(head, "X-Remaining-Ms"));
                    work.serve(this, call);
                }
            } finally {
                open.remove(socket);
            }
        }

        /** The body of the answer made for a request. */
        static String answerBody(String id) {
            return "done " + id;
        }

        /** Answers 200 with a length. */
        static void answer(Call call) throws IOException {
            String body = answerBody(call.id);
            call.socket.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body));
        }

        /** Work that takes a fixed time and is then answered 200. */
        static Work takes(long ms) {
            return (server, call) -> {
                Thread.sleep(ms);
                answer(call);
            };
        }
    }

    // ------------------------------------------------------------------------------------ discovery

    /** The discovery agent of a node, with a pushed list. */
    static final class Discovery {
        final ServerSocket listening;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final List<OutputStream> watches = new ArrayList<>();
        private long revision = 1;

        Discovery() throws IOException {
            listening = new ServerSocket(0, 64, LOOPBACK);
            daemon(() -> {
                while (true) {
                    Socket socket = listening.accept();
                    daemon(() -> serve(socket));
                }
            });
            daemon(() -> {
                while (true) {
                    Thread.sleep(2_000);
                    push("\n");
                }
            });
        }

        int port() {
            return listening.getLocalPort();
        }

        static String entry(String uid, int port, String zone, String state, long bootMs) {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
                    + "\",\"model\":\"fast-5\",\"pod_group\":1,\"state\":\"" + state
                    + "\",\"capacity_hint\":5.0,\"boot_ms\":" + bootMs + "}";
        }

        /** Sets a server's entry and tells the change. */
        synchronized void set(String uid, int port, String zone, String state, long bootMs) {
            String entry = entry(uid, port, zone, state, bootMs);
            entries.put(uid, entry);
            revision++;
            note("discovery tells " + entry);
            push("{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + entry + "]}\n");
        }

        synchronized void add(PlanServer server, String zone) {
            set(server.uid, server.port(), zone, "Ready", 0);
        }

        private synchronized void push(String text) {
            for (OutputStream out : new ArrayList<>(watches)) {
                try {
                    writeChunk(out, text);
                } catch (IOException e) {
                    watches.remove(out);
                }
            }
        }

        private static void writeChunk(OutputStream out, String text) throws IOException {
            out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
        }

        private void serve(Socket socket) throws IOException {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            String head = readHead(in);
            if (head == null) {
                return;
            }
            note("discovery is asked " + head.substring(0, head.indexOf('\r')));
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
            synchronized (this) {
                String list = "{\"rev\":" + revision + ",\"all\":true,\"targets\":["
                        + String.join(",", entries.values()) + "]}\n";
                out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                writeChunk(out, list);
                watches.add(out);
            }
        }
    }

    // ------------------------------------------------------------------------------------ nodes

    /** Settings of the classes of ne-shared-plans: one unsafe class and one keyed class. */
    static String settings(int nodes) {
        return "{\"balancers\":" + nodes + ",\"me\":0,\"zones\":[\"a\"],\"myZone\":\"a\",\"membershipMode\":\"pushed\","
                + "\"serviceType\":\"proxy\",\"tier\":0,\"layers\":[\"plan-servers\"],\"quantumUs\":1000,"
                + "\"classes\":[{\"name\":\"plan-change\",\"onTimeUs\":400000,\"giveUpUs\":800000,"
                + "\"importance\":5.0,\"lateWorth\":0.5,\"repeat\":\"unsafe\",\"group\":\"all\",\"windowUs\":5000000,"
                + "\"stream\":false},{\"name\":\"session-log\",\"onTimeUs\":600000,\"giveUpUs\":1500000,"
                + "\"importance\":3.0,\"lateWorth\":0.5,\"repeat\":\"keyed\",\"group\":\"all\",\"windowUs\":7500000,"
                + "\"stream\":false}],\"limits\":{\"attemptsCap\":5,\"cancelling\":true,\"parallelTries\":true,"
                + "\"probes\":true,\"retryAfter\":false,\"maxRetryAfterUs\":750000,\"connIdleUs\":30000000,"
                + "\"dialTimeoutUs\":200000,\"maxOpen\":20000,\"streamsPerConn\":1},"
                + "\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.31,\"coldUs\":9000000,\"drainGraceUs\":500000,"
                + "\"fallUs\":1000000,\"graceToAnswerUs\":20000,\"overloadFactor\":2.5},"
                + "\"costs\":{\"crossZone\":0.03,\"probe\":0.04},\"callers\":{\"marksRetry\":false},"
                + "\"report\":{\"via\":\"probe\",\"fields\":[\"tps\",\"mean_ms\",\"load_share\"]}}";
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** A node, started by the command of the deploy file. */
    static final class Node {
        final int port;
        final Process process;
        final Path config;
        final Path log;

        private final int sockets;

        Node(Path root, Path temp, String name, int discoveryPort, String settings) throws IOException {
            this(root, temp, name, discoveryPort, settings, 1_024);
        }

        Node(Path root, Path temp, String name, int discoveryPort, String settings, int sockets)
                throws IOException {
            this.sockets = sockets;
            port = freePort();
            config = temp.resolve(name + ".json");
            log = temp.resolve(name + ".log");
            writeConfig(discoveryPort, name, settings);
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow()
                    .replaceFirst("^run = \"", "").replaceFirst("\"$", "");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("LB_"));
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temp.toString());
            process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
            synchronized (PROCESSES) {
                PROCESSES.add(process);
            }
            Files.writeString(temp.resolve("pids"), process.pid() + "\n", StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
            note("node " + name + " started, port " + port);
        }

        void writeConfig(int discoveryPort, String name, String settings) throws IOException {
            Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                    + "\",\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\"settings\":" + settings
                    + "}");
        }

        void awaitReady() throws IOException {
            for (int i = 0; i < 300; i++) {
                if (!process.isAlive()) {
                    finish(NOT_RUN, "the node ended before it was ready");
                }
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
                    socket.setSoTimeout(1_000);
                    socket.getOutputStream().write(ascii("GET /ready HTTP/1.1\r\nHost: n\r\n"
                            + "Connection: close\r\n\r\n"));
                    String head = readHead(socket.getInputStream());
                    if (head != null && head.startsWith("HTTP/1.1 200")) {
                        note("node is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                sleep(100);
            }
            finish(NOT_RUN, "the node was not ready within 30 s");
        }

        String metrics() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
                socket.setSoTimeout(3_000);
                socket.getOutputStream().write(ascii("GET /metrics HTTP/1.1\r\nHost: n\r\n"
                        + "Connection: close\r\n\r\n"));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            } catch (IOException e) {
                return "no metrics: " + e;
            }
        }

        /** Copies the end of the node's log into the record. */
        void recordLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            note("log of the node, " + all.size() + " lines, the last ones:");
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(line -> note("  | " + line));
        }
    }

    // ------------------------------------------------------------------------------------ clients

    /** How a request ended for its client. */
    static final class Answer {
        final String id;
        final int status;
        final String body;
        final long tookMs;
        final String problem;

        Answer(String id, int status, String body, long tookMs, String problem) {
            this.id = id;
            this.status = status;
            this.body = body;
            this.tookMs = tookMs;
            this.problem = problem;
        }

        boolean isServed() {
            return status == 200;
        }

        @Override
        public String toString() {
            return id + (problem == null ? " answered " + status : " " + problem) + " after " + tookMs + " ms";
        }
    }

    /** The text of a request of ne-shared-plans. */
    static String request(String requestClass, String id, long remainingMs, String body) {
        return "POST /" + requestClass + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                + "\r\nCookie: key=7f3a9c21e0b4d655\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + (requestClass.equals("session-log") ? "Idempotency-Key: 5c0f6e1a2b3d4c59" + id + "\r\n" : "")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A connection of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 3_000);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request and waits for its answer, up to {@code waitMs}. */
        Answer ask(String requestClass, long remainingMs, long waitMs) {
            String id = newId();
            long sentMs = nowMs();
            try {
                socket.getOutputStream().write(ascii(request(requestClass, id, remainingMs, "x".repeat(212))));
                return await(id, sentMs, waitMs);
            } catch (IOException e) {
                return new Answer(id, 0, null, nowMs() - sentMs, "no answer, " + e);
            }
        }

        /** Reads the next answer. */
        Answer await(String id, long sentMs, long waitMs) {
            try {
                socket.setSoTimeout((int) Math.max(1, sentMs + waitMs - nowMs()));
                String head = readHead(in);
                if (head == null) {
                    return new Answer(id, 0, null, nowMs() - sentMs, "no answer, connection closed");
                }
                byte[] body = readBody(in, head);
                return new Answer(id, Integer.parseInt(head.substring(9, 12)),
                        new String(body, StandardCharsets.ISO_8859_1), nowMs() - sentMs, null);
            } catch (IOException e) {
                return new Answer(id, 0, null, nowMs() - sentMs, "no answer, " + e);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
