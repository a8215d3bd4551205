package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A fake server, or fake discovery, on a loopback socket: records requests and runs a script on each. */
final class FakePeer implements Closeable {
    /** How long tests wait for something that must happen. */
    static final long TIMEOUT_S = 30;

    /** What a peer does with a request. */
    interface Script {
        void run(Socket socket, String request) throws IOException, InterruptedException;
    }

    /** Never responds. */
    static final Script SILENT = (socket, request) -> { };
    static final Script RESET = (socket, request) -> {
        socket.setSoLinger(true, 0);
        socket.close();
    };
    static final Script CLOSE = (socket, request) -> socket.close();

    final BlockingQueue<String> receivedRequests = new LinkedBlockingQueue<>();
    /** Connections that have ended, whichever side closed them. */
    final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
    final BlockingQueue<Socket> acceptedConnections = new LinkedBlockingQueue<>();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket serverSocket;
    private volatile Script script;

    FakePeer(Script script) throws IOException {
        this(0, script);
    }

    /** Listens on the given port, for instance to reuse that of an earlier peer; 0 for any free one. */
    FakePeer(int port, Script script) throws IOException {
        this.script = script;
        serverSocket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        startDaemon(() -> {
            while (true) {
                Socket socket = serverSocket.accept();
                openSockets.add(socket);
                acceptedConnections.add(socket);
                startDaemon(() -> serve(socket));
            }
        });
    }

    /** Sends a response with these headers and this body; each header ends with CR LF. */
    static Script respond(String status, String headers, String body) {
        return respondRaw(responseText(status, headers, body));
    }

    /** The text of a response with these headers and this body; each header ends with CR LF. */
    static String responseText(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Sends this text. */
    static Script respondRaw(String text) {
        return (socket, request) -> write(socket, text);
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Replaces the script for later requests. */
    void setScript(Script next) {
        script = next;
    }

    int port() {
        return serverSocket.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    String nextRequest() throws InterruptedException {
        return awaitNext(receivedRequests);
    }

    /** Waits for the next element; fails the test after {@link #TIMEOUT_S}. */
    static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing received in time");
        }
        return next;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try {
            for (String request = readMessage(socket); request != null; request = readMessage(socket)) {
                receivedRequests.add(request);
                script.run(socket, request);
            }
        } finally {
            closedConnections.add(socket);
        }
    }

    /** Reads one HTTP message with its body; returns null if the connection ends before its headers do. */
    static String readMessage(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            text.append((char) b);
        }
        String length = header(text.toString(), "content-length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return text.append(new String(body, StandardCharsets.ISO_8859_1)).toString();
    }

    /** Returns the value of a header, or null if there is none. */
    static String header(String message, String name) {
        String head = message.substring(0, message.indexOf("\r\n\r\n"));
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection was closed, or the test has ended.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
