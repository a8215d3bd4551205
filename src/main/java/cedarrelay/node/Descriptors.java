package cedarrelay.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Reads how many files and sockets the system lets this process open, which may be fewer than configured. */
final class Descriptors {
    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final String OPEN_FILES_ROW = "Max open files";

    private Descriptors() { }

    /** Returns the soft limit of open files; {@link Integer#MAX_VALUE} if it is unlimited or unknown. */
    static int limit() {
        try (Stream<String> lines = Files.lines(LIMITS_FILE)) {
            return limit(lines);
        } catch (IOException e) {
            // Not a Linux system, or /proc is not readable: only the configured limit applies.
            return Integer.MAX_VALUE;
        }
    }

    /** Reads the limit from a table whose columns are name, soft limit, hard limit and unit. */
    static int limit(Stream<String> lines) {
        return lines.filter(line -> line.startsWith(OPEN_FILES_ROW))
                .map(line -> line.substring(OPEN_FILES_ROW.length()).trim().split(" +")[0])
                .filter(value -> value.matches("\\d{1,9}")).mapToInt(Integer::parseInt)
                .findFirst().orElse(Integer.MAX_VALUE);
    }
}
