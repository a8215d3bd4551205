package cedarrelay.node;

import java.util.Locale;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets up the runtime's logging: one line per event on standard error, at the configured level. */
final class Logging {
    /** Environment variable with the log level; {@code info} is the default, {@code debug} logs each
     * request. */
    static final String LEVEL = "LB_LOG";
    private static final String FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";
    /** Time with milliseconds, level, message, and the stack trace of an exception if there is one. */
    private static final String FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

    /** A strong reference: the runtime may collect a logger, and lose its level, that is not referenced. */
    private static final Logger ROOT = Logger.getLogger("cedarrelay");

    private Logging() { }

    /**
     * Applies the level of the environment. Must be called before the first line is logged.
     *
     * @throws IllegalArgumentException if the level is unknown
     */
    static void setUp(Map<String, String> environment) {
        if (System.getProperty(FORMAT_PROPERTY) == null) {
            System.setProperty(FORMAT_PROPERTY, FORMAT);
        }
        String levelName = environment.getOrDefault(LEVEL, "");
        if (levelName.isEmpty()) {
            return;
        }
        Level level = parse(levelName);
        ROOT.setLevel(level);
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setLevel(level);
        }
    }

    private static Level parse(String levelName) {
        return switch (levelName.toLowerCase(Locale.ROOT)) {
            case "debug" -> Level.FINE;
            case "info" -> Level.INFO;
            case "warning" -> Level.WARNING;
            case "error" -> Level.SEVERE;
            default -> throw new IllegalArgumentException(
                    LEVEL + " is not debug, info, warning or error: " + levelName);
        };
    }
}
