package cedarrelay.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Hands out the ports on which tests start node processes. They lie outside the range from which the kernel
 * takes the ports of outgoing connections and of sockets bound to port 0, so that none of these takes a port
 * before its node is bound to it, or while its node restarts. Each JVM claims its ports in blocks by
 * listening on the first one of a block.
 */
final class NodePorts {
    private static final Path EPHEMERAL_RANGE_FILE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    /** What Linux uses by default. */
    private static final String DEFAULT_EPHEMERAL_RANGE = "32768 60999";
    /** Many services have their well-known ports below this. */
    private static final int MIN_PORT = 10_000;
    private static final int MAX_PORT = 65_535;
    private static final int BLOCK_SIZE = 64;

    private static final NodePorts SHARED = new NodePorts();

    /** The first and last port of the kernel's range. */
    record EphemeralRange(int first, int last) {
        static EphemeralRange ofKernel() throws IOException {
            String line = Files.exists(EPHEMERAL_RANGE_FILE)
                    ? Files.readAllLines(EPHEMERAL_RANGE_FILE).get(0) : DEFAULT_EPHEMERAL_RANGE;
            String[] ports = line.trim().split("\\s+");
            return new EphemeralRange(Integer.parseInt(ports[0]), Integer.parseInt(ports[1]));
        }

        boolean contains(int port) {
            return first <= port && port <= last;
        }
    }

    /** Open until the JVM exits. */
    private final List<ServerSocket> blockClaims = new ArrayList<>();
    private int nextPort = MIN_PORT;
    private int blockEnd = MIN_PORT;

    /** A free port that this JVM has not handed out before, and that no other JVM hands out meanwhile. */
    static int nextFree() throws IOException {
        return SHARED.next();
    }

    private synchronized int next() throws IOException {
        while (true) {
            if (nextPort == blockEnd) {
                claimNextBlock();
            }
            int port = nextPort++;
            ServerSocket socket = tryListen(port);
            if (socket != null) {
                socket.close();
                return port;
            }
        }
    }

    /** Claims the next block that no other JVM has; an earlier one stays claimed. */
    private void claimNextBlock() throws IOException {
        EphemeralRange ephemeral = EphemeralRange.ofKernel();
        for (int first = blockEnd; first + BLOCK_SIZE - 1 <= MAX_PORT; first += BLOCK_SIZE) {
            int last = first + BLOCK_SIZE - 1;
            boolean isOutside = last < ephemeral.first || first > ephemeral.last;
            ServerSocket claim = isOutside ? tryListen(first) : null;
            if (claim != null) {
                blockClaims.add(claim);
                nextPort = first + 1;
                blockEnd = first + BLOCK_SIZE;
                return;
            }
        }
        throw new IOException("no free ports outside of the kernel's " + ephemeral);
    }

    /** Listens on a port; null if it is taken. */
    private static ServerSocket tryListen(int port) {
        try {
            return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            return null;
        }
    }
}
