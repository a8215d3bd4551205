package cedarrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that make a node keep much memory, on a node process with the deployed sizes of its memory. */
@Timeout(120)
class ClientMemoryTest {
    private static final int MANY_CLIENTS = 300;
    /** Below the 16 KiB that a head may have. */
    private static final int LONG_HEAD_BYTES = 15_000;
    private static final String SHORT_HEADER = "X-Part: 1\r\n";
    private static final int SLOW_WRITERS = 120;
    private static final int LONG_BODY_BYTES = 48_000;
    private static final int BODY_PIECE_BYTES = 80;
    private static final int CHUNK_WRITERS = 60;
    private static final int CHUNKS = 60_000;
    /** Shorter than the timeout of an attempt. */
    private static final int CHUNK_WRITERS_WAIT_MS = 1_500;
    private static final int BUFFERED_CHUNK_WRITERS = 200;
    /** So few that the kernel takes a whole body at once, whenever it is read. */
    private static final int BUFFERED_CHUNKS = 8_000;
    private static final String CHUNK_OF_ONE_BYTE = "1\r\nx\r\n";
    private static final int USUAL_REQUESTS = 50;
    /** Longest time of a usual request: a short deadline and the half second after which it is lost. */
    private static final int LOST_AFTER_MS = 1_300;
    /** The deadline that is passed on to a server may be later than the client's by this much. */
    private static final long DEADLINE_TOLERANCE_MS = 150;
    /** Within this time of connecting, a client gets an error or a close, whatever it sends. */
    private static final int ERROR_TIMEOUT_MS = 3_000;

    private FakePeer discovery;
    private FakePeer server;
    private Path log;
    private NodeProcess node;
    private final List<Socket> clients = new ArrayList<>();

    @BeforeEach
    void open() throws Exception {
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(FakePeer.respond("200 OK", "", "done"));
        log = Files.createTempFile("node", ".log");
        node = new NodeProcess(Fixture.config(discovery, server), NodeProcess.freePort(), log, Map.of(),
                NodeProcess.deployedMemoryOptions());
        node.awaitReady();
    }

    @AfterEach
    void close() throws Exception {
        node.close();
        discovery.close();
        server.close();
        for (Socket client : clients) {
            client.close();
        }
        Files.delete(log);
    }

    /** Sends a body in this many chunks of one byte, and returns when its last byte was written. */
    private static long writeInChunksOfOneByte(Socket client, long id, int chunks) throws IOException {
        String head = Fixture.request("POST", "/order", id, "Transfer-Encoding: chunked\r\n", "")
                .replace("Content-Length: 0\r\n", "")
                .replace("Ms: " + Fixture.REMAINING_MS, "Ms: " + CHUNK_WRITERS_WAIT_MS);
        FakePeer.write(client, head + CHUNK_OF_ONE_BYTE.repeat(chunks) + "0\r\n\r\n");
        return System.nanoTime();
    }

    /** Opens this many connections and writes the text to each. */
    private void writeAll(int count, String text) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket client = node.connect();
            clients.add(client);
            FakePeer.write(client, text);
        }
    }

    /** Requests of other clients must be served as if nothing were wrong. */
    private void assertUsualClientsAreServed() throws IOException {
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            try (Socket client = node.connect()) {
                FakePeer.write(client, Fixture.request("GET", "/view", 1_000_000 + i, "", ""));
                String response = FakePeer.readMessage(client);
                assertTrue(response != null && response.startsWith("HTTP/1.1 200"),
                        "a usual request got " + response + ", the node's log: " + node.lastLogLines());
            }
        }
        assertTrue(node.isAlive(), () -> "the node exited with status " + node.exitValue());
    }

    /** Awaits an error or the close, and returns how long after its connecting the client got it, in ms. */
    private static long awaitError(Socket client, long connectedNs) throws IOException {
        String response = FakePeer.readMessage(client);
        assertTrue(response == null || response.matches("(?s)HTTP/1.1 (408|503) .*"), response);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectedNs);
    }

    /** Guards against an OutOfMemoryError that ends the process, as incomplete heads were not counted. */
    @Test
    void incompleteHeadsOfShortHeadersDoNotExhaustTheHeap() throws Exception {
        String head = "POST /order HTTP/1.1\r\n"
                + SHORT_HEADER.repeat(LONG_HEAD_BYTES / SHORT_HEADER.length());
        ExecutorService readers = Executors.newFixedThreadPool(MANY_CLIENTS);
        List<Future<Long>> errorTimesMs = new ArrayList<>();
        try {
            for (int i = 0; i < MANY_CLIENTS; i++) {
                long connectedNs = System.nanoTime();
                writeAll(1, head);
                Socket client = clients.get(i);
                errorTimesMs.add(readers.submit(() -> awaitError(client, connectedNs)));
            }
            assertUsualClientsAreServed();
            for (Future<Long> tookMs : errorTimesMs) {
                assertTrue(tookMs.get() < ERROR_TIMEOUT_MS, "an error came after " + tookMs.get() + " ms");
            }
        } finally {
            readers.shutdownNow();
        }
        assertTrue(node.metric("requests_out_of_memory_total") > 0);
        assertEquals(0, node.metric("violations_close_unanswered_total"));
    }

    /** Guards against an event loop that stands still without direct memory, as buffers were not counted. */
    @Test
    void bodiesWrittenInSmallPiecesDoNotExhaustTheDirectMemory() throws Exception {
        writeAll(SLOW_WRITERS, "");
        for (int i = 0; i < SLOW_WRITERS; i++) {
            String request = Fixture.request("POST", "/order", i, "", "x".repeat(LONG_BODY_BYTES));
            FakePeer.write(clients.get(i), request.substring(0, request.length() - LONG_BODY_BYTES));
        }
        for (int written = 0; written < LONG_BODY_BYTES; written += BODY_PIECE_BYTES) {
            for (Socket client : clients) {
                FakePeer.write(client, "x".repeat(BODY_PIECE_BYTES));
            }
        }
        assertUsualClientsAreServed();
        for (Socket client : clients) {
            String response = FakePeer.readMessage(client);
            // A client that is slow because the machine is busy gets a 408.
            assertTrue(response != null && response.matches("(?s)HTTP/1.1 (200|408) .*"), response);
        }
        assertEquals(0, node.metric("requests_out_of_memory_total"));
    }

    /** Guards against usual requests that are late as chunks of one byte keep the event loop busy. */
    @Test
    void bodiesInChunksOfOneByteDoNotDelayOtherClients() throws Exception {
        writeAll(CHUNK_WRITERS, "");
        ExecutorService writers = Executors.newFixedThreadPool(CHUNK_WRITERS);
        try {
            for (int i = 0; i < CHUNK_WRITERS; i++) {
                Socket client = clients.get(i);
                long id = i;
                writers.submit(() -> writeInChunksOfOneByte(client, id, CHUNKS));
            }
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                long startNs = System.nanoTime();
                try (Socket client = node.connect()) {
                    FakePeer.write(client, Fixture.request("GET", "/view", 1_000_000 + i, "", ""));
                    assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
                }
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
                assertTrue(tookMs < LOST_AFTER_MS, "a usual request took " + tookMs + " ms");
            }
        } finally {
            writers.shutdownNow();
        }
    }

    /** Guards against a deadline passed on that is later than the client's, as its request is read slowly. */
    @Test
    void theTimeThatABodyInShortChunksWaitsToBeDecodedIsNotPassedOn() throws Exception {
        Map<String, Long> passedOnUntilNs = new ConcurrentHashMap<>();
        server.setScript((socket, request) -> {
            long remainingMs = Long.parseLong(FakePeer.header(request, "X-Remaining-Ms"));
            passedOnUntilNs.put(FakePeer.header(request, "X-Txn"),
                    System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMs));
            FakePeer.write(socket, FakePeer.responseText("200 OK", "", "done"));
        });
        writeAll(BUFFERED_CHUNK_WRITERS, "");
        List<Long> writtenNs = new ArrayList<>();
        for (int i = 0; i < BUFFERED_CHUNK_WRITERS; i++) {
            writtenNs.add(writeInChunksOfOneByte(clients.get(i), i, BUFFERED_CHUNKS));
        }
        for (Socket client : clients) {
            String response = FakePeer.readMessage(client);
            // A request is out of time if its body can't be decoded within that.
            assertTrue(response != null && response.matches("(?s)HTTP/1.1 (200|50[234]) .*"), response);
        }
        assertFalse(passedOnUntilNs.isEmpty());
        for (Map.Entry<String, Long> passedOn : passedOnUntilNs.entrySet()) {
            long clientUntilNs = writtenNs.get(Integer.parseInt(passedOn.getKey(), 16))
                    + TimeUnit.MILLISECONDS.toNanos(CHUNK_WRITERS_WAIT_MS);
            long excessMs = TimeUnit.NANOSECONDS.toMillis(passedOn.getValue() - clientUntilNs);
            assertTrue(excessMs <= DEADLINE_TOLERANCE_MS, "a deadline was " + excessMs + " ms too late");
        }
    }
}
