package cedarrelay.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import cedarrelay.Balancer;

/**
 * Encodes the actions of the balancer instances in the simulator's line protocol. The reply to a batch is
 * buffered and written by {@link #flush}, so malformed input never leaves a partial reply. The protocol has
 * no field for the {@code sendByUs} of an attempt.
 */
final class ProtocolWriter implements Balancer.Actions {
    private static final byte[] HEX_DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private final OutputStream out;
    private byte[] buffer = new byte[1 << 16];
    private int filled;
    private String node = "";

    ProtocolWriter(OutputStream out) {
        this.out = out;
    }

    /** Sets the node that the following actions belong to. */
    void setNode(String nodeName) {
        node = nodeName;
    }

    /** Writes the reply to the current batch. */
    void flush() throws IOException {
        writeText("next\n");
        out.write(buffer, 0, filled);
        out.flush();
        filled = 0;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs, long sendByUs) {
        beginAction("route");
        writeRequestId(requestId);
        writeText(" server=");
        writeText(serverId);
        writeText(" untilUs=");
        writeNumber(untilUs);
        endAction();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        beginAction("abort_attempt");
        writeRequestId(requestId);
        writeText(" seqNo=");
        writeNumber(attempt);
        endAction();
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        beginAction("decline");
        writeRequestId(requestId);
        if (retryAfterUs > 0) {
            writeText(" retryInUs=");
            writeNumber(retryAfterUs);
        }
        endAction();
    }

    @Override
    public void fail(long requestId) {
        beginAction("lose");
        writeRequestId(requestId);
        endAction();
    }

    @Override
    public void wakeAt(long atUs) {
        beginAction("remind");
        writeText(" dueAtUs=");
        writeNumber(atUs);
        writeText(" label=w");
        endAction();
    }

    @Override
    public void probe(String serverId) {
        beginAction("sound_out");
        writeText(" server=");
        writeText(serverId);
        endAction();
    }

    @Override
    public void subscribe() {
        beginAction("track");
        writeText(" want=1");
        endAction();
    }

    @Override
    public void log(String line) {
        beginAction("record");
        writeNoteText(line);
    }

    /** Reports an exception of the balancer; the simulator ends its run with this text. */
    void writeFault(String message) {
        beginAction("fault");
        writeNoteText(message);
    }

    private void writeNoteText(String message) {
        writeText(" noteText=");
        writeText(message.replace('\n', ' ').replace('\r', ' '));
        endAction();
    }

    private void beginAction(String action) {
        writeText(action);
        writeText(" node=");
        writeText(node);
    }

    private void endAction() {
        ensureCapacity(1);
        buffer[filled++] = '\n';
    }

    private void writeRequestId(long id) {
        writeText(" handle=");
        ensureCapacity(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[filled++] = HEX_DIGITS[(int) (id >>> shift) & 15];
        }
    }

    private void writeText(String text) {
        int length = text.length();
        ensureCapacity(3 * length);
        for (int i = 0; i < length; i++) {
            char character = text.charAt(i);
            if (character >= 128) {
                byte[] encoded = text.substring(i).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(encoded, 0, buffer, filled, encoded.length);
                filled += encoded.length;
                return;
            }
            buffer[filled++] = (byte) character;
        }
    }

    /** Formats non-negative numbers without allocation. */
    private void writeNumber(long value) {
        if (value < 0) {
            writeText(Long.toString(value));
            return;
        }
        ensureCapacity(20);
        int digits = 1;
        for (long remaining = value; remaining >= 10; remaining /= 10) {
            digits++;
        }
        int pos = filled + digits;
        filled = pos;
        long remaining = value;
        do {
            buffer[--pos] = (byte) ('0' + remaining % 10);
            remaining /= 10;
        } while (remaining > 0);
    }

    private void ensureCapacity(int bytes) {
        if (filled + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, filled + bytes));
        }
    }
}
