package cedarrelay.node;

import java.util.Locale;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets up the runtime's logging: one line an event on standard error, at the level that is asked for. */
final class Logging {
    /** The variable with the level: {@code debug} tells of each request, {@code info} is usual. */
    static final String LEVEL = "LB_LOG";
    private static final String FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";
    /** Time with milliseconds, level, message, and a stack trace if there is one. */
    private static final String FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

    /** Held here: the runtime forgets a logger, and its level, that nobody refers to. */
    private static final Logger ROOT = Logger.getLogger("cedarrelay");

    private Logging() { }

    /** Has to be called before the first line is logged. Throws IllegalArgumentException on a bad level. */
    static void setUp(Map<String, String> environment) {
        if (System.getProperty(FORMAT_PROPERTY) == null) {
            System.setProperty(FORMAT_PROPERTY, FORMAT);
        }
        String level = environment.getOrDefault(LEVEL, "");
        if (level.isEmpty()) {
            return;
        }
        Level wanted = parse(level);
        ROOT.setLevel(wanted);
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setLevel(wanted);
        }
    }

    private static Level parse(String level) {
        return switch (level.toLowerCase(Locale.ROOT)) {
            case "debug" -> Level.FINE;
            case "info" -> Level.INFO;
            case "warning" -> Level.WARNING;
            case "error" -> Level.SEVERE;
            default -> throw new IllegalArgumentException(
                    LEVEL + " is not debug, info, warning or error: " + level);
        };
    }
}
