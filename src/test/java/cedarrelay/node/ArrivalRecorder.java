package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Receives the requests for the servers of a soak test, and tells of each a time before which its last byte
 * was not received by the kernel. One thread polls all sockets: what is ready in one poll, and was not in the
 * poll before, has arrived since that one began. So a delay of this thread moves the time back by its own
 * length, and only for what arrived during it.
 */
final class ArrivalRecorder implements Closeable {
    /** How exactly arrivals are known without a delay: to within two intervals. */
    private static final int POLL_INTERVAL_MS = 5;
    private static final int BACKLOG = 50;
    private static final int BUFFER_BYTES = 8_192;
    private static final String HEAD_END = "\r\n\r\n";

    /**
     * When a request arrived, by System.nanoTime.
     *
     * @param earliestNs its last byte had not arrived before this
     * @param readNs it had been read by then
     */
    record Arrival(long earliestNs, long readNs) { }

    /** Handles each request on a thread of its own. */
    interface Handler {
        void handle(Connection connection, String request, Arrival arrival)
                throws IOException, InterruptedException;
    }

    /** A connection from a node. */
    static final class Connection {
        private final SocketChannel channel;
        private final Handler handler;
        private final StringBuilder received = new StringBuilder();

        private Connection(SocketChannel channel, Handler handler) {
            this.channel = channel;
            this.handler = handler;
        }

        /** Sends this text. */
        synchronized void send(String text) throws IOException {
            ByteBuffer bytes = StandardCharsets.ISO_8859_1.encode(text);
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        /** Closes the connection with a TCP reset. */
        void reset() throws IOException {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            channel.close();
        }

        /** Takes the first complete request out of what was received; null if there is none. */
        private String takeRequest() {
            int headEnd = received.indexOf(HEAD_END);
            if (headEnd < 0) {
                return null;
            }
            int bodyStart = headEnd + HEAD_END.length();
            String bodyLength = FakePeer.header(received.substring(0, bodyStart), "Content-Length");
            int end = bodyStart + (bodyLength == null ? 0 : Integer.parseInt(bodyLength));
            if (received.length() < end) {
                return null;
            }
            String request = received.substring(0, end);
            received.delete(0, end);
            return request;
        }
    }

    private final Selector selector = Selector.open();
    private final ExecutorService handlerExecutor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "soak server");
        thread.setDaemon(true);
        return thread;
    });
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private final Thread pollThread = new Thread(this::poll, "soak arrivals");
    private volatile boolean closed;

    ArrivalRecorder() throws IOException {
        pollThread.setDaemon(true);
        pollThread.start();
    }

    /** Listens on a loopback port for one server, until the returned channel is closed. */
    ServerSocketChannel listen(Handler handler) throws IOException {
        ServerSocketChannel listening = ServerSocketChannel.open();
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        listening.configureBlocking(false);
        listening.register(selector, SelectionKey.OP_ACCEPT, handler);
        return listening;
    }

    private void poll() {
        try {
            long previousPollNs = System.nanoTime();
            while (!closed) {
                long pollNs = System.nanoTime();
                selector.select(POLL_INTERVAL_MS);
                for (SelectionKey key : selector.selectedKeys()) {
                    receive(key, previousPollNs);
                }
                selector.selectedKeys().clear();
                previousPollNs = pollNs;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void receive(SelectionKey key, long earliestNs) {
        if (key.attachment() instanceof Connection connection) {
            read(connection, earliestNs);
            return;
        }
        try {
            ServerSocketChannel listening = (ServerSocketChannel) key.channel();
            for (SocketChannel channel = listening.accept(); channel != null; channel = listening.accept()) {
                channel.configureBlocking(false);
                Connection connection = new Connection(channel, (Handler) key.attachment());
                channel.register(selector, SelectionKey.OP_READ, connection);
                // A request may have arrived before the connection was accepted: the next poll is too late.
                read(connection, earliestNs);
            }
        } catch (IOException e) {
            // The server was closed.
            key.cancel();
        }
    }

    /** Reads all that has arrived on a connection, so that the next poll reports only what comes later. */
    private void read(Connection connection, long earliestNs) {
        try {
            int count = connection.channel.read(buffer.clear());
            while (count > 0) {
                connection.received.append(StandardCharsets.ISO_8859_1.decode(buffer.flip()));
                count = connection.channel.read(buffer.clear());
            }
            Arrival arrival = new Arrival(earliestNs, System.nanoTime());
            for (String request = connection.takeRequest(); request != null;
                    request = connection.takeRequest()) {
                handle(connection, request, arrival);
            }
            if (count < 0) {
                connection.channel.close();
            }
        } catch (IOException e) {
            close(connection);
        }
    }

    private void handle(Connection connection, String request, Arrival arrival) {
        handlerExecutor.execute(() -> {
            try {
                connection.handler.handle(connection, request, arrival);
            } catch (IOException e) {
                // The node has closed the connection.
                close(connection);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static void close(Connection connection) {
        try {
            connection.channel.close();
        } catch (IOException e) {
            // The connection is unusable in any case.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            pollThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        handlerExecutor.shutdownNow();
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
