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

/** Discovery's agent of one node: tells of servers, falls silent, breaks its watches, cuts its messages. */
final class SoakDiscovery implements Closeable {
    /** What becomes of the watches that are open. */
    enum Fault { RESET, END, CUT }

    private final Map<String, String> listed = new LinkedHashMap<>();
    private final Map<String, Long> leavingSince = new ConcurrentHashMap<>();
    private final Queue<String> unheard = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> watches = new ConcurrentLinkedQueue<>();
    private final FakePeer peer;
    private int revision = 1;
    private boolean silent;

    SoakDiscovery() throws IOException {
        peer = new FakePeer(this::call);
    }

    String address() {
        return peer.address();
    }

    FakePeer peer() {
        return peer;
    }

    /** When the node counts as told that a server drains or is gone, or 0. */
    long leavingSinceNs(String server) {
        return leavingSince.getOrDefault(server, 0L);
    }

    private synchronized void call(Socket socket, String call) throws IOException {
        if (silent) {
            return;
        }
        Fixture.beginWatch(socket);
        // A whole list may leave out what drains.
        Fixture.line(socket, message(true, String.join(",", listed.values().stream()
                .filter(e -> e.contains("Ready")).toList())));
        watches.add(socket);
    }

    private String message(boolean all, String entries) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + entries + "]}";
    }

    /** A server is new, drains or is gone. */
    synchronized void tell(String server, String address, String state, long bootMs) {
        String entry = "{\"uid\":\"" + server + "\",\"endpoint\":\"" + address + "\",\"state\":\"" + state
                + "\",\"boot_ms\":" + bootMs + "}";
        revision++;
        if (state.equals("Gone")) {
            listed.remove(server);
        } else {
            listed.put(server, entry);
        }
        if (silent) {
            if (!state.equals("Ready")) {
                unheard.add(server);
            }
            return;
        }
        if (!state.equals("Ready")) {
            leavingSince.putIfAbsent(server, System.nanoTime());
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

    /** An empty line, as comes every 2 s. */
    synchronized void heartbeat() {
        if (!silent) {
            watches.forEach(watch -> write(watch, ""));
        }
    }

    /** Says nothing and learns nothing until {@link #speak}. */
    synchronized void fallSilent() {
        silent = true;
        // What was told just now may never have been read: it is told again.
        long recentNs = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
        leavingSince.forEach((server, sinceNs) -> {
            if (sinceNs - recentNs > 0) {
                unheard.add(server);
                leavingSince.remove(server);
            }
        });
    }

    synchronized void speak() throws IOException {
        if (silent) {
            silent = false;
            for (String server : unheard) {
                leavingSince.putIfAbsent(server, System.nanoTime());
            }
            unheard.clear();
            spoil(Fault.RESET);
        }
    }

    synchronized void spoil(Fault fault) throws IOException {
        for (Socket watch = watches.poll(); watch != null; watch = watches.poll()) {
            try {
                switch (fault) {
                    case RESET -> FakePeer.RESET.run(watch, "");
                    case END -> watch.close();
                    case CUT -> Fixture.piece(watch, "{\"rev\":" + (revision + 1) + ",\"all\":fa");
                }
            } catch (IOException | InterruptedException e) {
                // The node has ended it already.
                watch.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
