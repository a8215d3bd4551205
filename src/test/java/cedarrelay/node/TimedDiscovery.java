package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A fake discovery that resets each call until it is given an answer, and tells whether it was on time.
 *
 * <p>A node takes a call without a response as a sign that discovery has no changes, and then may send by the
 * list that it has. So a late response of this thread permits what a test forbids. One thread polls all
 * sockets: a call that is complete in one poll, and was not in the poll before, has arrived since that one
 * began. What counts is the time from the arrival of a call to its response, however late the node makes the
 * call or handles the response.
 */
final class TimedDiscovery implements Closeable {
    /**
     * Less than the 150 ms after which a node takes a call as unanswered, so that a response in time has also
     * passed through the kernel by then.
     */
    private static final long MAX_RESPONSE_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int POLL_INTERVAL_MS = 1;
    private static final long HEARTBEAT_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long IDLE_TIMEOUT_NS =
            TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.PUSHED.idleMs());
    private static final int BACKLOG = 50;
    private static final int BUFFER_BYTES = 8_192;
    private static final String HEAD_END = "\r\n\r\n";

    /** A connection whose call has not been received to its end. */
    private static final class Call {
        final SocketChannel channel;
        final StringBuilder received = new StringBuilder();

        Call(SocketChannel channel) {
            this.channel = channel;
        }
    }

    private final ServerSocketChannel listening = ServerSocketChannel.open();
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private final Thread pollThread = new Thread(this::pollUntilClosed, "timed discovery");
    private final List<Call> openCalls = new ArrayList<>();
    private final List<SocketChannel> watches = new ArrayList<>();
    private long previousPollNs = System.nanoTime();
    private long lastLateResponseNs = previousPollNs;
    private long lastHeartbeatNs = previousPollNs;
    private boolean sendsHeartbeats = true;
    private boolean heartbeatsOnTime = true;
    private long pollCount;
    private Exception pollFailure;
    /** The messages of an answer; null while calls are reset. */
    private String answer;
    private boolean closed;

    TimedDiscovery() throws IOException {
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        listening.configureBlocking(false);
        pollThread.setDaemon(true);
        pollThread.start();
    }

    String address() throws IOException {
        return "127.0.0.1:" + ((InetSocketAddress) listening.getLocalAddress()).getPort();
    }

    /** Answers calls from now on, with this message or these messages; the answered watches stay open. */
    synchronized void answerWith(String messages) {
        answer = messages;
    }

    /** Waits until a call has been answered; returns the connection of the first one. */
    synchronized Socket awaitWatch() throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        while (watches.isEmpty()) {
            awaitPolls(1);
            if (System.nanoTime() - deadlineNs > 0) {
                throw new AssertionError("no call to discovery in time");
            }
        }
        return watches.get(0).socket();
    }

    /** Sends no heartbeats any more, so that nothing precedes what the test sends on a watch. */
    synchronized void stopHeartbeats() {
        sendsHeartbeats = false;
    }

    /** Whether the heartbeats so far came often enough for a node to keep its watches open until now. */
    synchronized boolean heartbeatsWereOnTime() {
        return heartbeatsOnTime && System.nanoTime() - lastHeartbeatNs < IDLE_TIMEOUT_NS;
    }

    /** The number of calls that were answered. */
    synchronized int watchCount() {
        return watches.size();
    }

    /**
     * Whether every response after this {@link System#nanoTime} was in time. Waits until all calls that have
     * arrived by now have had their responses.
     */
    synchronized boolean wasOnTimeSince(long ns) throws InterruptedException {
        awaitPolls(1);
        return lastLateResponseNs - ns < 0;
    }

    /** Waits for the end of so many polls, all of them begun later than now: polls hold this lock. */
    private synchronized void awaitPolls(int count) throws InterruptedException {
        long lastPoll = pollCount + count;
        while (pollCount < lastPoll && pollFailure == null) {
            wait();
        }
        if (pollFailure != null) {
            throw new AssertionError("the fake discovery failed", pollFailure);
        }
    }

    private void pollUntilClosed() {
        try {
            while (poll()) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
        } catch (IOException | InterruptedException e) {
            fail(e);
        }
    }

    private synchronized void fail(Exception failure) {
        pollFailure = failure;
        notifyAll();
    }

    /** Responds to all calls that have arrived; returns false once this is closed. */
    private synchronized boolean poll() throws IOException, InterruptedException {
        if (closed) {
            return false;
        }
        long pollNs = System.nanoTime();
        for (SocketChannel next = listening.accept(); next != null; next = listening.accept()) {
            next.configureBlocking(false);
            openCalls.add(new Call(next));
        }
        for (Call call : List.copyOf(openCalls)) {
            if (receive(call)) {
                openCalls.remove(call);
            }
        }
        if (sendsHeartbeats && pollNs - lastHeartbeatNs >= HEARTBEAT_INTERVAL_NS) {
            sendHeartbeats();
        }
        previousPollNs = pollNs;
        pollCount++;
        notifyAll();
        return true;
    }

    private void sendHeartbeats() {
        long heartbeatNs = lastHeartbeatNs;
        lastHeartbeatNs = System.nanoTime();
        for (SocketChannel watch : watches) {
            try {
                Fixture.sendLine(watch.socket(), "");
            } catch (IOException e) {
                // The node or the test has closed the watch.
                continue;
            }
        }
        heartbeatsOnTime &= System.nanoTime() - heartbeatNs < IDLE_TIMEOUT_NS;
    }

    /** Reads a call and responds to it once it is complete; returns whether it is done with. */
    private boolean receive(Call call) throws InterruptedException {
        try {
            int count = call.channel.read(buffer.clear());
            while (count > 0) {
                call.received.append(StandardCharsets.ISO_8859_1.decode(buffer.flip()));
                count = call.channel.read(buffer.clear());
            }
            if (call.received.indexOf(HEAD_END) >= 0) {
                respond(call.channel);
                return true;
            }
            if (count < 0) {
                call.channel.close();
            }
            return count < 0;
        } catch (IOException e) {
            // The node has closed the connection.
            return true;
        }
    }

    private void respond(SocketChannel channel) throws IOException, InterruptedException {
        channel.configureBlocking(true);
        try {
            if (answer == null) {
                FakePeer.RESET.run(channel.socket(), "");
            } else {
                // In one write: a node takes a head without content as a sign that there are no changes.
                FakePeer.write(channel.socket(), Fixture.WATCH_HEAD + Fixture.line(answer));
                watches.add(channel);
            }
        } finally {
            recordResponse();
        }
    }

    private void recordResponse() {
        long respondedNs = System.nanoTime();
        if (respondedNs - previousPollNs >= MAX_RESPONSE_DELAY_NS) {
            lastLateResponseNs = respondedNs;
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        listening.close();
        for (Call call : openCalls) {
            call.channel.close();
        }
        for (SocketChannel watch : watches) {
            watch.close();
        }
    }
}
