package cedarrelay.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reader of the simulator's protocol, positioned on one line at a time: a name, then key=value fields,
 * separated by single spaces. Reuses one buffer and converts fields on demand, to allocate as little as
 * possible.
 *
 * <p>Methods that read a field without a default throw {@link ProtocolException} if it is missing; all throw
 * it if the value is malformed.
 */
final class ProtocolReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int filled;
    private int lineStart;
    private int lineEnd;
    private long lineNumber;

    private int nameEnd;
    private int fieldCount;
    private int[] keyStart = new int[16];
    private int[] valueStart = new int[16];
    private int[] valueEnd = new int[16];

    ProtocolReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line, waiting for input as needed; false at the end of input. */
    boolean nextLine() throws IOException {
        lineStart = lineNumber == 0 ? 0 : lineEnd + 1;
        lineNumber++;
        int scanPos = lineStart;
        while (true) {
            while (scanPos < filled && buffer[scanPos] != '\n') {
                scanPos++;
            }
            if (scanPos < filled) {
                lineEnd = scanPos;
                split();
                return true;
            }
            if (lineStart > 0) {
                System.arraycopy(buffer, lineStart, buffer, 0, filled - lineStart);
                filled -= lineStart;
                scanPos -= lineStart;
                lineStart = 0;
            }
            if (filled == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int read = in.read(buffer, filled, buffer.length - filled);
            if (read < 0) {
                lineEnd = filled;
                if (filled == lineStart) {
                    return false;
                }
                split();
                // The last line has no newline: add one, so that the next call finds the end of input.
                buffer[lineEnd < buffer.length ? lineEnd : lineEnd - 1] = '\n';
                filled = Math.min(lineEnd + 1, buffer.length);
                return true;
            }
            filled += read;
        }
    }

    /** Finds the bounds of the line's name and fields. */
    private void split() {
        int pos = lineStart;
        while (pos < lineEnd && buffer[pos] != ' ') {
            pos++;
        }
        nameEnd = pos;
        fieldCount = 0;
        while (pos < lineEnd) {
            int keyPos = pos + 1;
            int equalsPos = keyPos;
            while (equalsPos < lineEnd && buffer[equalsPos] != '=' && buffer[equalsPos] != ' ') {
                equalsPos++;
            }
            pos = equalsPos;
            while (pos < lineEnd && buffer[pos] != ' ') {
                pos++;
            }
            if (fieldCount == keyStart.length) {
                keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
                valueStart = Arrays.copyOf(valueStart, 2 * fieldCount);
                valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
            }
            keyStart[fieldCount] = keyPos;
            valueStart[fieldCount] = Math.min(equalsPos + 1, pos);
            valueEnd[fieldCount] = pos;
            fieldCount++;
        }
    }

    /** The first word of the line. */
    String name() {
        return new String(buffer, lineStart, nameEnd - lineStart, StandardCharsets.UTF_8);
    }

    /** Whether the line has this name. */
    boolean hasName(String name) {
        return matches(lineStart, nameEnd, name);
    }

    int fieldCount() {
        return fieldCount;
    }

    /** The key of a field, by its position in the line from 0 on. */
    String key(int field) {
        int from = keyStart[field];
        return new String(buffer, from, Math.max(0, valueStart[field] - 1 - from), StandardCharsets.UTF_8);
    }

    /** The text of a field, by its position in the line from 0 on. */
    String value(int field) {
        int from = valueStart[field];
        return new String(buffer, from, valueEnd[field] - from, StandardCharsets.UTF_8);
    }

    private boolean matches(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** The position of the first field with this key, or -1. */
    private int findField(String key) {
        for (int i = 0; i < fieldCount; i++) {
            if (valueStart[i] > keyStart[i] && matches(keyStart[i], valueStart[i] - 1, key)) {
                return i;
            }
        }
        return -1;
    }

    private int requireField(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0) {
            throw malformed(key, "is missing");
        }
        return field;
    }

    /** The text of a field, or null if the line has no such field. */
    String textOrNull(String key) {
        int field = findField(key);
        return field < 0 ? null : value(field);
    }

    String text(String key) throws ProtocolException {
        return value(requireField(key));
    }

    long wholeNumber(String key) throws ProtocolException {
        return wholeNumber(key, requireField(key));
    }

    long wholeNumber(String key, long defaultValue) throws ProtocolException {
        int field = findField(key);
        return field < 0 ? defaultValue : wholeNumber(key, field);
    }

    private long wholeNumber(String key, int field) throws ProtocolException {
        int pos = valueStart[field];
        int valueLimit = valueEnd[field];
        boolean negative = pos < valueLimit && buffer[pos] == '-';
        pos += negative ? 1 : 0;
        if (pos == valueLimit || valueLimit - pos > 18) {
            throw malformed(key, "is not a whole number");
        }
        long value = 0;
        for (; pos < valueLimit; pos++) {
            int digit = buffer[pos] - '0';
            if (digit < 0 || digit > 9) {
                throw malformed(key, "is not a whole number");
            }
            value = 10 * value + digit;
        }
        return negative ? -value : value;
    }

    /** A boolean, 1 or true, 0 or false; false if the line has no such field. */
    boolean flag(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0 || matches(valueStart[field], valueEnd[field], "0")
                || matches(valueStart[field], valueEnd[field], "false")) {
            return false;
        }
        if (matches(valueStart[field], valueEnd[field], "1")
                || matches(valueStart[field], valueEnd[field], "true")) {
            return true;
        }
        throw malformed(key, "is neither 1 nor 0: " + value(field));
    }

    double decimal(String key, double defaultValue) throws ProtocolException {
        int field = findField(key);
        return field < 0 ? defaultValue : decimal(key, value(field));
    }

    private double decimal(String key, String text) throws ProtocolException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw malformed(key, "is not a number");
        }
    }

    /** Comma-separated numbers, or null if the field is empty or missing. */
    double[] numbers(String key) throws ProtocolException {
        int field = findField(key);
        if (field < 0 || valueStart[field] == valueEnd[field]) {
            return null;
        }
        String[] items = value(field).split(",", -1);
        double[] values = new double[items.length];
        for (int i = 0; i < items.length; i++) {
            values[i] = decimal(key, items[i]);
        }
        return values;
    }

    /** A request id: 16 lower-case hex digits. */
    long requestId(String key) throws ProtocolException {
        int field = requireField(key);
        if (valueEnd[field] - valueStart[field] != 16) {
            throw malformed(key, "is not 16 hex digits");
        }
        long id = 0;
        for (int pos = valueStart[field]; pos < valueEnd[field]; pos++) {
            int b = buffer[pos];
            int digit = b >= '0' && b <= '9' ? b - '0' : b >= 'a' && b <= 'f' ? b - 'a' + 10 : -1;
            if (digit < 0) {
                throw malformed(key, "is not 16 hex digits");
            }
            id = id << 4 | digit;
        }
        return id;
    }

    /** An error about one field of the current line. */
    ProtocolException malformed(String field, String reason) {
        return new ProtocolException(
                "line " + lineNumber + ": " + name() + ": field " + field + " " + reason);
    }

    /** An error about the current line. */
    ProtocolException malformed(String reason) {
        return new ProtocolException("line " + lineNumber + ": " + reason);
    }
}
