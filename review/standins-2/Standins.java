import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins for what surrounds a node: clients, plan servers and discovery, by PROTOCOL and WIRE of the users'
 * pages. They run in one process; each node is a process of its own, started by the command of the deploy file.
 */
final class Standins {
    static final int RULE_HELD = 0;
    static final int RULE_BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private Standins() { }

    /** Milliseconds of the monotonic clock. */
    static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    static void sleepMs(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static final Random RANDOM = new Random();

    /** A request id that was not used before. */
    static synchronized String newId() {
        return String.format("%016x", RANDOM.nextLong());
    }

    /** The record of a run: what was sent, answered and run, each line with its time in ms. */
    static final class Record {
        private final double startMs = nowMs();
        private final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
        private final Path file;

        Record(Path file) {
            this.file = file;
        }

        double sinceStartMs() {
            return nowMs() - startMs;
        }

        void add(String format, Object... args) {
            lines.add(String.format(Locale.ROOT, "%10.1f  ", sinceStartMs())
                    + String.format(Locale.ROOT, format, args));
        }

        /** Adds the line and prints it. */
        void say(String format, Object... args) {
            add(format, args);
            System.out.println(String.format(Locale.ROOT, format, args));
        }

        void write() {
            try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
                lines.forEach(out::println);
            } catch (IOException e) {
                System.err.println("cannot write the record: " + e);
            }
        }
    }

    /** A parsed HTTP message; of a request the method and target, of a response the status. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String target() {
            String[] parts = startLine.split(" ");
            return parts.length > 1 ? parts[1] : "";
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        boolean closes() {
            return header("Connection").equalsIgnoreCase("close");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads a message; null if the connection ends before its first byte. */
    static Message readMessage(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = line;
        for (line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            message.body = readChunks(in);
        } else if (message.headers.containsKey("Content-Length")) {
            message.body = readBytes(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = Integer.parseInt(requireLine(in), 16); size > 0;
                size = Integer.parseInt(requireLine(in), 16)) {
            body.writeBytes(readBytes(in, size));
            requireLine(in);
        }
        requireLine(in);
        return body.toByteArray();
    }

    private static byte[] readBytes(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the connection ended within a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A 200 with this body. */
    static byte[] ok(String body) {
        return ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** What a plan server does with a request that has come whole. */
    interface Behaviour {
        void serve(PlanServer server, Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** A plan server: runs each request that comes whole, and answers as its behaviour says. */
    static final class PlanServer {
        final String uid;
        final String zone;
        final ServerSocket listener = new ServerSocket();
        final AtomicInteger runs = new AtomicInteger();
        final ConcurrentLinkedQueue<Run> log = new ConcurrentLinkedQueue<>();
        private final Record record;
        volatile Behaviour behaviour;
        volatile String state = "Ready";
        volatile long bootMs;

        /** When the last byte of a request came, and its id. */
        static final class Run {
            final double atMs = nowMs();
            final String id;
            final String key;
            final int remainingMs;

            Run(Message request) {
                id = request.header("X-Txn");
                key = request.header("Idempotency-Key");
                String remaining = request.header("X-Remaining-Ms");
                remainingMs = remaining.isEmpty() ? -1 : Integer.parseInt(remaining);
            }
        }

        PlanServer(String uid, String zone, Record record, Behaviour behaviour) throws IOException {
            this.uid = uid;
            this.zone = zone;
            this.record = record;
            this.behaviour = behaviour;
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1_024);
            daemon(this::accept);
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // The listener was closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 16_384);
                while (true) {
                    Message request = readMessage(in);
                    if (request == null) {
                        return;
                    }
                    Run run = new Run(request);
                    log.add(run);
                    runs.incrementAndGet();
                    record.add("%s runs %s %s, told %d ms left", uid, request.target(), run.id, run.remainingMs);
                    behaviour.serve(this, request, socket, socket.getOutputStream());
                    if (socket.isClosed()) {
                        return;
                    }
                }
            } catch (IOException | RuntimeException e) {
                // The node has given up the attempt or closed the connection.
            }
        }
    }

    /** Answers with the request's id and the server's name after a time. */
    static Behaviour answerAfter(long ms) {
        return (server, request, socket, out) -> {
            sleepMs(ms);
            out.write(ok(answerFor(request.header("X-Txn"), server.uid)));
        };
    }

    /** The body that a plan server makes for a request. */
    static String answerFor(String id, String uid) {
        return "answer to " + id + " by " + uid + "\n";
    }

    /** Discovery's agent: whole lists and watches, by PROTOCOL. */
    static final class Discovery {
        final ServerSocket listener = new ServerSocket();
        final AtomicInteger wholeLists = new AtomicInteger();
        final AtomicInteger watches = new AtomicInteger();
        private final Record record;
        private final boolean indented;
        private final Map<Long, String> changes = new LinkedHashMap<>();
        private final Map<String, String> entries = new LinkedHashMap<>();
        private long revision;
        private long oldestRevision;
        /** How long a call waits for its answer. */
        volatile long answerDelayMs;
        /** Grows when discovery goes down: watches and calls of an earlier time stay silent for good. */
        private volatile int era;
        private volatile boolean down;

        Discovery(Record record, long revision, boolean indented) throws IOException {
            this.record = record;
            this.revision = revision;
            this.oldestRevision = revision;
            this.indented = indented;
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
            daemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Adds servers to the list that the agent holds from the start. */
        synchronized void addAll(Collection<String[]> servers) {
            for (String[] server : servers) {
                entries.put(server[0], server[1]);
            }
        }

        /** Changes one entry: from now on the agent has it, and writes it to the open watches. */
        synchronized long change(String uid, String entry) {
            revision++;
            entries.put(uid, entry);
            changes.put(revision, entry);
            notifyAll();
            return revision;
        }

        /** Discovery falls silent: calls and open watches get nothing any more. */
        synchronized void goDown() {
            down = true;
            era++;
            record.say("discovery is down");
        }

        /** Discovery is back: it answers new calls. Watches that have fallen silent are broken. */
        synchronized void comeBack() {
            down = false;
            record.say("discovery is back");
        }

        synchronized String wholeList() {
            return message(revision, true, entries.values());
        }

        private String message(long rev, boolean all, Collection<String> targets) {
            return indented
                    ? "{\n    \"rev\": " + rev + ",\n    \"all\": " + all + ",\n    \"targets\": [\n"
                            + String.join(",\n", targets) + "\n    ]\n}\n"
                    : "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets)
                            + "]}\n";
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // The listener was closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message call = readMessage(in); call != null; call = readMessage(in)) {
                    if (!call.target().contains("watch=1")) {
                        wholeLists.incrementAndGet();
                        out.write(ok(wholeList()));
                        continue;
                    }
                    watch(call.target(), out);
                }
            } catch (IOException | RuntimeException e) {
                record.add("discovery: a watch ended: %s", e);
            }
        }

        private void watch(String target, OutputStream out) throws IOException {
            int startEra = era;
            watches.incrementAndGet();
            record.add("discovery: called%s", down ? ", but it is down" : "");
            boolean called = down;
            sleepMs(answerDelayMs);
            while (called || down || era != startEra) {
                // A call that was made while discovery was down stays without an answer.
                sleepMs(1_000);
            }
            long after = -1;
            for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
                after = part.startsWith("after=") ? Long.parseLong(part.substring(6)) : after;
            }
            out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n"));
            String first;
            long told;
            synchronized (this) {
                told = revision;
                if (after < oldestRevision || after > revision) {
                    wholeLists.incrementAndGet();
                    first = wholeList();
                } else {
                    first = message(told, false, changesAfter(after));
                }
            }
            record.add("discovery: watch after %d, first message of %d bytes, revision %d", after,
                    first.length(), told);
            writeChunk(out, first);
            while (true) {
                String next = "\n";
                synchronized (this) {
                    if (revision == told) {
                        waitMs(2_000);
                    }
                    if (revision > told) {
                        next = message(revision, false, changesAfter(told));
                        told = revision;
                    }
                }
                while (down || era != startEra) {
                    sleepMs(1_000);
                }
                writeChunk(out, next);
                if (next.length() > 1) {
                    record.add("discovery: wrote the change to revision %d", told);
                }
            }
        }

        private void waitMs(long ms) {
            try {
                wait(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private List<String> changesAfter(long after) {
            List<String> targets = new ArrayList<>();
            changes.forEach((rev, entry) -> {
                if (rev > after) {
                    targets.add(entry);
                }
            });
            return targets;
        }

        private static void writeChunk(OutputStream out, String text) throws IOException {
            byte[] bytes = ascii(text);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream(bytes.length + 16);
            chunk.writeBytes(ascii(Integer.toHexString(bytes.length) + "\r\n"));
            chunk.writeBytes(bytes);
            chunk.writeBytes(ascii("\r\n"));
            out.write(chunk.toByteArray());
        }
    }

    /** An entry of the server list on one line. */
    static String entry(String uid, String endpoint, String zone, int cell, String state, String weight,
            long bootMs) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"" + zone
                + "\",\"model\":\"fast-5\",\"pod_group\":" + cell + ",\"state\":\"" + state
                + "\",\"capacity_hint\":" + weight + ",\"boot_ms\":" + bootMs + "}";
    }

    static String entry(PlanServer server) {
        return entry(server.uid, server.endpoint(), server.zone, 0, server.state, "1.0", server.bootMs);
    }

    /** A node: a process of its own, started by the command of the deploy file. */
    static final class Node {
        final Process process;
        final int port;
        private final Path configFile;
        private final Path logFile;

        Node(Path folder, String name, int port, String discovery, int sockets, String known, String settings)
                throws IOException {
            this.port = port;
            configFile = folder.resolve(name + ".json");
            logFile = folder.resolve(name + ".log");
            writeConfig(discovery, sockets, known, settings);
            ProcessBuilder builder = new ProcessBuilder("sh", "-c", deployCommand("run"));
            builder.environment().put("LB_CONFIG", configFile.toString());
            builder.environment().put("LB_NAME", name);
            builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("LB_DISCOVERY", discovery);
            builder.environment().put("TMPDIR", folder.toString());
            builder.environment().put("LB_LOG", System.getenv().getOrDefault("LB_LOG", "info"));
            builder.redirectErrorStream(true).redirectOutput(logFile.toFile());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        void writeConfig(String discovery, int sockets, String known, String settings) throws IOException {
            Path next = configFile.resolveSibling(configFile.getFileName() + ".new");
            Files.writeString(next, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                    + discovery + "\",\"seed\":\"" + newId() + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                    + "\"sockets\":" + sockets + "}," + (known == null ? "" : "\"known\":" + known + ",")
                    + "\"settings\":" + settings + "}");
            Files.move(next, configFile, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void signal(String name) throws IOException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        }

        /** Waits until the node is ready. */
        boolean awaitReady(long maxMs) {
            for (double endMs = nowMs() + maxMs; nowMs() < endMs && process.isAlive(); sleepMs(20)) {
                try (Client client = new Client(port, 2_000)) {
                    if (client.call("GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n").status() == 200) {
                        return true;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
            }
            return false;
        }

        List<String> log() throws IOException {
            return Files.readAllLines(logFile);
        }

        private static String deployCommand(String name) throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                if (line.startsWith(name + " = \"")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new IOException("deploy/balancer.toml has no " + name);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            return socket.getLocalPort();
        }
    }

    /** A client's connection to a node. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(int port, int timeoutMs) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        Message call(String request) throws IOException {
            out.write(ascii(request));
            return readMessage(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A GET of a safe class, or a POST of another, as the page's clients send it. */
    static String request(String method, String target, String id, long remainingMs, String more, String body) {
        return method + " " + target + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                + "\r\nCookie: key=" + id + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n" + more
                + (method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "") + "\r\n" + body;
    }

    /** What became of one request. */
    static final class Answer {
        final String id;
        final int status;
        final String text;
        final double tookMs;

        Answer(String id, int status, String text, double tookMs) {
            this.id = id;
            this.status = status;
            this.text = text;
            this.tookMs = tookMs;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s: %s after %.0f ms", id,
                    status > 0 ? Integer.toString(status) : text, tookMs);
        }
    }

    /**
     * Sends a request on a connection of its own and waits for the answer for at most {@code waitMs}. The status
     * is 0 if there was no answer; the text then says why.
     */
    static Answer ask(Record record, int port, String method, String target, long remainingMs, String more,
            String body, int waitMs) {
        String id = newId();
        double startMs = nowMs();
        Answer answer;
        try (Client client = new Client(port, waitMs)) {
            Message response = client.call(request(method, target, id, remainingMs, more, body));
            answer = response == null ? new Answer(id, 0, "closed without an answer", nowMs() - startMs)
                    : new Answer(id, response.status(), response.text(), nowMs() - startMs);
        } catch (SocketTimeoutException e) {
            answer = new Answer(id, 0, "no answer", nowMs() - startMs);
        } catch (IOException e) {
            answer = new Answer(id, 0, "connection broken: " + e.getMessage(), nowMs() - startMs);
        }
        record.add("client: %s %s %s", method, target, answer);
        return answer;
    }

    /** Whether the run is one with the disruption. */
    static boolean withTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** The scenario of a case. */
    interface Scenario {
        int run(Record record, Path folder) throws Exception;
    }

    /** Runs a scenario in a temporary folder, writes the record, and ends the process with its result. */
    static void main(String[] args, Scenario scenario) throws IOException {
        Record record = new Record(Path.of(args[0]));
        Path folder = Files.createTempDirectory("cedarrelay-review");
        int result = COULD_NOT_RUN;
        daemon(() -> {
            sleepMs(TimeUnit.SECONDS.toMillis(110));
            record.say("the case took too long");
            record.write();
            System.exit(COULD_NOT_RUN);
        });
        try {
            result = scenario.run(record, folder);
        } catch (Exception | Error e) {
            record.say("could not run: %s", e);
            e.printStackTrace();
        }
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            for (Path file : (Iterable<Path>) files::iterator) {
                if (file.toString().endsWith(".log")) {
                    record.add("log of the node %s:", file.getFileName());
                    Files.readAllLines(file).stream().limit(400).forEach(line -> record.add("    %s", line));
                }
            }
        }
        record.say("%s", result == RULE_HELD ? "the rule held" : result == RULE_BROKEN ? "the rule was broken"
                : "the case could not run");
        record.write();
        delete(folder);
        System.exit(result);
    }

    /** Deletes a folder with its files. */
    private static void delete(Path folder) throws IOException {
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
