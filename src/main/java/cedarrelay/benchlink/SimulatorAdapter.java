package cedarrelay.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import cedarrelay.Balancer;
import cedarrelay.Balancer.ListKind;
import cedarrelay.Balancer.Outcome;
import cedarrelay.Balancer.Request;
import cedarrelay.Balancer.Result;
import cedarrelay.Balancer.ServerEntry;
import cedarrelay.Balancer.ServerState;
import cedarrelay.Balancer.Settings;
import cedarrelay.ServiceQBalancer;

/**
 * The adapter between a simulator and the balancer: reads batches of events from the simulator's line
 * protocol, calls the balancer instance of the node that each event names, and writes the instances' actions
 * back after each batch. It makes no decisions of its own.
 */
final class SimulatorAdapter {
    /** Number of rosters that the protocol tells apart; they are numbered from 0. */
    private static final int MAX_ROSTERS = 16;

    /** The balancer of one simulated node, with the indices of the names in its settings. */
    private record Instance(Balancer balancer, Map<String, Integer> classes, Map<String, Integer> tenants,
            Map<String, Integer> zones) { }

    /** A server of a roster, as the protocol calls a server list. The zone is a name, since each instance
     * numbers zones by its own settings. */
    private record RosterEntry(String id, String zone, int cell, ServerState state, double weight,
            long startedAtUs) { }

    private final ProtocolReader reader;
    private final ProtocolWriter writer;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<RosterEntry>> rosters = new ArrayList<>();
    private long nowUs;

    SimulatorAdapter(InputStream in, OutputStream out) {
        reader = new ProtocolReader(in);
        writer = new ProtocolWriter(out);
        for (int i = 0; i < MAX_ROSTERS; i++) {
            rosters.add(null);
        }
    }

    /**
     * Processes batches until the input ends.
     *
     * @throws ProtocolException if the input is malformed
     */
    void run() throws IOException, ProtocolException {
        while (reader.nextLine()) {
            if (reader.name().isEmpty()) {
                continue;
            }
            if (!reader.hasName("begin_batch")) {
                throw reader.malformed("a batch must start with begin_batch, not " + reader.name());
            }
            nowUs = reader.wholeNumber("timeUs");
            nextLine();
            while (!reader.hasName("eob")) {
                handleEvent();
                nextLine();
            }
            writer.flush();
        }
    }

    private void nextLine() throws IOException, ProtocolException {
        if (!reader.nextLine()) {
            throw reader.malformed("the input ends inside a batch");
        }
    }

    private void handleEvent() throws IOException, ProtocolException {
        if (reader.hasName("roster")) {
            readRoster();
            return;
        }
        String node = reader.text("node");
        writer.setNode(node);
        if (reader.hasName("boot")) {
            startInstance(node);
            return;
        }
        Instance instance = instances.get(node);
        if (instance == null) {
            throw reader.malformed("node", "names an instance that was never started: " + node);
        }
        if (reader.hasName("shutdown")) {
            instances.remove(node);
            return;
        }
        Runnable call = toBalancerCall(instance);
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            writer.writeFault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    /** Parses the current event completely before the balancer is called. */
    private Runnable toBalancerCall(Instance instance) throws ProtocolException {
        Balancer balancer = instance.balancer;
        long atUs = nowUs;
        if (reader.hasName("resolved")) {
            Outcome outcome = new Outcome(reader.requestId("handle"), (int) reader.wholeNumber("seqNo"),
                    result(), reader.wholeNumber("latencyUs", 0), reader.flag("ended"),
                    reader.numbers("metrics"));
            return () -> balancer.onOutcome(atUs, outcome);
        }
        if (reader.hasName("work_item")) {
            String tenant = reader.textOrNull("realm");
            boolean hasTenant = tenant != null && !tenant.equals("0");
            Request request = new Request(reader.requestId("handle"),
                    indexOf(instance.classes, "lane", reader.text("lane")),
                    hasTenant ? indexOf(instance.tenants, "realm", tenant) : -1,
                    reader.wholeNumber("patienceLeftUs"), reader.wholeNumber("workUs", 0),
                    reader.flag("resent"));
            return () -> balancer.onRequest(atUs, request);
        }
        if (reader.hasName("bell")) {
            return () -> balancer.onWake(atUs);
        }
        if (reader.hasName("topology")) {
            return toListCall(instance);
        }
        if (reader.hasName("client_gone")) {
            long id = reader.requestId("handle");
            return () -> balancer.onClientDisconnected(atUs, id);
        }
        if (reader.hasName("first_byte")) {
            long id = reader.requestId("handle");
            int attempt = (int) reader.wholeNumber("seqNo");
            return () -> balancer.onFirstByte(atUs, id, attempt);
        }
        if (reader.hasName("echo")) {
            String server = reader.text("server");
            Result result = result();
            long latencyUs = reader.wholeNumber("latencyUs", 0);
            double[] report = reader.numbers("metrics");
            return () -> balancer.onProbe(atUs, server, result, latencyUs, report);
        }
        if (reader.hasName("memo")) {
            // A note that doesn't concern the balancer.
            return () -> { };
        }
        throw reader.malformed("unknown event " + reader.name());
    }

    /** Starts an instance with the settings in the fields of the reader. */
    private void startInstance(String node) throws ProtocolException {
        long seed = reader.wholeNumber("initSeed");
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < reader.fieldCount(); i++) {
            values.put(reader.key(i), reader.value(i));
        }
        Settings settings;
        try {
            settings = SettingsReader.read(values);
        } catch (IllegalArgumentException e) {
            throw reader.malformed("boot: field " + e.getMessage());
        }
        Map<String, Integer> classes = new HashMap<>();
        settings.classes.forEach(c -> classes.put(c.name(), classes.size()));
        Map<String, Integer> tenants = new HashMap<>();
        settings.tenants.forEach(t -> tenants.put(t.name(), tenants.size()));
        Map<String, Integer> zones = new HashMap<>();
        settings.zones.forEach(z -> zones.put(z, zones.size()));
        try {
            Balancer balancer = new ServiceQBalancer(settings, seed, writer);
            instances.put(node, new Instance(balancer, classes, tenants, zones));
        } catch (IllegalArgumentException e) {
            throw reader.malformed("boot: " + e.getMessage());
        }
    }

    /** Reads a list of servers, to which later topology events refer by its number. */
    private void readRoster() throws IOException, ProtocolException {
        int number = rosterNumber();
        long serverCount = reader.wholeNumber("nodesList", 0);
        List<RosterEntry> entries = new ArrayList<>();
        for (long i = 0; i < serverCount; i++) {
            nextLine();
            if (!reader.hasName("server")) {
                throw reader.malformed("a line of a roster must be server, not " + reader.name());
            }
            String state = reader.text("lifecycle");
            entries.add(new RosterEntry(reader.text("server"), reader.textOrNull("site"),
                    (int) reader.wholeNumber("block", 0),
                    switch (state) {
                        case "Running" -> ServerState.READY;
                        case "Stopping" -> ServerState.DRAINING;
                        case "Deleted" -> ServerState.REMOVED;
                        default -> throw reader.malformed("lifecycle", "is unknown: " + state);
                    }, reader.decimal("scale", 1), reader.wholeNumber("sinceUs", 0)));
        }
        rosters.set(number, entries);
    }

    private int rosterNumber() throws ProtocolException {
        long number = reader.wholeNumber("setId");
        if (number < 0 || number >= MAX_ROSTERS) {
            throw reader.malformed("setId", "is not from 0 to " + (MAX_ROSTERS - 1));
        }
        return (int) number;
    }

    /** The call for a new server list, or for a list request that failed. */
    private Runnable toListCall(Instance instance) throws ProtocolException {
        long atUs = nowUs;
        String kind = reader.text("kind");
        if (kind.equals("broken")) {
            return () -> instance.balancer.onListFailed(atUs);
        }
        ListKind listKind = switch (kind) {
            case "patch" -> ListKind.CHANGES;
            case "whole" -> ListKind.FULL;
            case "stale_copy" -> ListKind.CACHED;
            default -> throw reader.malformed("kind", "is unknown: " + kind);
        };
        List<RosterEntry> roster = rosters.get(rosterNumber());
        if (roster == null) {
            throw reader.malformed("setId", "names a roster that was never given");
        }
        List<ServerEntry> entries = new ArrayList<>(roster.size());
        for (RosterEntry entry : roster) {
            entries.add(new ServerEntry(entry.id, instance.zones.getOrDefault(entry.zone, -1), entry.cell,
                    entry.state, entry.weight, entry.startedAtUs));
        }
        return () -> instance.balancer.onServers(atUs, listKind, entries);
    }

    private int indexOf(Map<String, Integer> names, String field, String name) throws ProtocolException {
        Integer index = names.get(name);
        if (index == null) {
            throw reader.malformed(field, "is not in the settings: " + name);
        }
        return index;
    }

    /** The result that the line's numeric code stands for. */
    private Result result() throws ProtocolException {
        long code = reader.wholeNumber("rc");
        return switch ((int) code) {
            case 10 -> Result.OK;
            case 20 -> Result.ERROR;
            case 30 -> Result.REJECTED;
            case 40 -> Result.TIMEOUT;
            case 50 -> Result.CONNECT_FAILED;
            case 60 -> Result.RESET;
            case 70 -> Result.CANCELLED;
            case 80 -> Result.NOT_SENT;
            default -> throw reader.malformed("rc", "is unknown: " + code);
        };
    }
}
