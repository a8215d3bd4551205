package cedarrelay.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** Discovery's agent of one node: sends the server list, and can fall silent or break its watches. */
final class SoakDiscovery implements Closeable {
    /** How the open watches break: by a TCP reset, a regular close, or a message that is never completed. */
    enum WatchFault { RESET, END, CUT }

    private final Map<String, String> entriesById = new LinkedHashMap<>();
    private final Map<String, Long> leaveNotifiedNsById = new ConcurrentHashMap<>();
    private final Queue<String> pendingLeaves = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> watches = new ConcurrentLinkedQueue<>();
    private final FakePeer peer;
    private int revision = 1;
    private boolean silent;

    SoakDiscovery() throws IOException {
        peer = new FakePeer(this::respond);
    }

    String address() {
        return peer.address();
    }

    FakePeer peer() {
        return peer;
    }

    /** When the node counts as notified that a server drains or is removed, by System.nanoTime, or 0. */
    long leaveNotifiedNs(String server) {
        return leaveNotifiedNsById.getOrDefault(server, 0L);
    }

    private synchronized void respond(Socket socket, String request) throws IOException {
        if (silent) {
            return;
        }
        Fixture.beginWatch(socket);
        // A full list need not contain draining servers.
        Fixture.line(socket, message(true, String.join(",", entriesById.values().stream()
                .filter(e -> e.contains("Ready")).toList())));
        watches.add(socket);
    }

    private String message(boolean all, String entries) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + entries + "]}";
    }

    /** Sends a change of a server, or notes it for later while silent. */
    synchronized void announce(String server, String address, String state, long bootMs) {
        String entry = "{\"uid\":\"" + server + "\",\"endpoint\":\"" + address + "\",\"state\":\"" + state
                + "\",\"boot_ms\":" + bootMs + "}";
        revision++;
        if (state.equals("Gone")) {
            entriesById.remove(server);
        } else {
            entriesById.put(server, entry);
        }
        if (silent) {
            if (!state.equals("Ready")) {
                pendingLeaves.add(server);
            }
            return;
        }
        if (!state.equals("Ready")) {
            leaveNotifiedNsById.putIfAbsent(server, System.nanoTime());
        }
        for (Socket watch : watches) {
            write(watch, message(false, entry));
        }
    }

    private void write(Socket watch, String line) {
        try {
            Fixture.line(watch, line);
        } catch (IOException e) {
            watches.remove(watch);
        }
    }

    /** Sends the empty line that keeps a watch alive. Real agents send one every 2 s. */
    synchronized void heartbeat() {
        if (!silent) {
            watches.forEach(watch -> write(watch, ""));
        }
    }

    /** Sends nothing and doesn't respond to calls until {@link #endSilence}. */
    synchronized void startSilence() {
        silent = true;
        // The node may not have read recent changes: they count as notified only after the silence.
        long recentNs = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
        leaveNotifiedNsById.forEach((server, sinceNs) -> {
            if (sinceNs - recentNs > 0) {
                pendingLeaves.add(server);
                leaveNotifiedNsById.remove(server);
            }
        });
    }

    /** Ends a silence: what was missed counts as notified now, and the node has to call again. */
    synchronized void endSilence() throws IOException {
        if (silent) {
            silent = false;
            for (String server : pendingLeaves) {
                leaveNotifiedNsById.putIfAbsent(server, System.nanoTime());
            }
            pendingLeaves.clear();
            breakWatches(WatchFault.RESET);
        }
    }

    /** Breaks all open watches. */
    synchronized void breakWatches(WatchFault fault) throws IOException {
        for (Socket watch = watches.poll(); watch != null; watch = watches.poll()) {
            try {
                switch (fault) {
                    case RESET -> FakePeer.RESET.run(watch, "");
                    case END -> watch.close();
                    case CUT -> Fixture.piece(watch, "{\"rev\":" + (revision + 1) + ",\"all\":fa");
                }
            } catch (IOException | InterruptedException e) {
                // The node has closed the watch already.
                watch.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
