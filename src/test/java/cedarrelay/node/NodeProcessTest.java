package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the start of node processes by the tests: their ports, and what is told of one that exits. */
class NodeProcessTest {
    /** More than a block of ports. */
    private static final int PORT_COUNT = 100;
    /** Less than the time for which a read of a response may wait. */
    private static final int EXIT_NOTICED_S = 25;

    @Test
    void portsAreFreeDistinctAndNoneThatTheKernelHandsOut() throws Exception {
        NodePorts.EphemeralRange ephemeral = NodePorts.EphemeralRange.ofKernel();
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = NodeProcess.freePort();
            assertFalse(ephemeral.contains(port), port + " is in " + ephemeral);
            ports.add(port);
            new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
        }
        assertEquals(PORT_COUNT, ports.size());
    }

    /** The other listener accepts connections in the kernel and never responds, as a server in a test may. */
    @Test
    @Timeout(EXIT_NOTICED_S)
    void anExitBeforeTheStartIsNoticedWhileAnotherListensOnThePort() throws Exception {
        int port = NodeProcess.freePort();
        Path log = Files.createTempFile("node", ".log");
        log.toFile().deleteOnExit();
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT);
                ServerSocket other = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
                NodeProcess node = new NodeProcess(Fixture.config(discovery), port, log, Map.of())) {
            AssertionError error = assertThrows(AssertionError.class, node::awaitReady);
            assertTrue(error.getMessage().startsWith("the node exited with status " + node.exitValue()),
                    error.getMessage());
            assertTrue(error.getMessage().contains("already in use"), error.getMessage());
            assertEquals(port, other.getLocalPort());
        }
    }
}
