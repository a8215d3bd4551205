package cedarrelay.benchlink;

import java.util.Map;

import cedarrelay.Balancer.DeduplicationScope;
import cedarrelay.Balancer.ReportField;
import cedarrelay.Balancer.RequestClass;
import cedarrelay.Balancer.RetrySafety;
import cedarrelay.Balancer.Settings;
import cedarrelay.Balancer.Tenant;

/**
 * Converts settings given as path=value pairs to the balancer's {@link Settings}. A missing setting takes the
 * balancer's documented default, except for the request classes and their mandatory values, which are
 * reported as missing. The simulator's adapter and the real node share this class, so that the balancer runs
 * with the same settings in both.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads settings given as path=value pairs; unknown paths are ignored.
     *
     * @throws IllegalArgumentException if a mandatory path is missing or a value is invalid; the message
     * names the path
     */
    public static Settings read(Map<String, String> values) {
        return new SettingsReader(values).settings();
    }

    private Settings settings() {
        Settings settings = new Settings();
        settings.nodes = (int) wholeNumber("balancers", settings.nodes);
        for (String zone : list("zones")) {
            settings.zones.add(zone);
        }
        settings.myZone = Math.max(0, settings.zones.indexOf(values.getOrDefault("myZone", "")));
        int classCount = (int) wholeNumber("classes.count", 0);
        for (int i = 0; i < classCount; i++) {
            settings.classes.add(requestClass("classes." + i + "."));
        }
        int tenantCount = (int) wholeNumber("realms.count", 0);
        for (int i = 0; i < tenantCount; i++) {
            String prefix = "realms." + i + ".";
            settings.tenants.add(new Tenant(require(prefix + "name"), decimal(prefix + "quotaPerS", 0)));
        }
        settings.overQuotaUtilityShare = decimal("overShareWorth", settings.overQuotaUtilityShare);
        settings.utilityPerWork = "work".equals(values.get("countedBy"));
        settings.maxAttempts = (int) wholeNumber("limits.attemptsCap", settings.maxAttempts);
        settings.allowParallelAttempts = flag("limits.parallelTries");
        settings.allowCancel = flag("limits.cancelling");
        settings.allowProbes = flag("limits.probes");
        settings.clientsMarkRetries = flag("callers.marksRetry");
        settings.maxRetryAfterUs = wholeNumber("limits.maxRetryAfterUs", 0);
        settings.tickUs = wholeNumber("quantumUs", settings.tickUs);
        settings.connectTimeoutUs = wholeNumber("limits.dialTimeoutUs", settings.connectTimeoutUs);
        settings.listOnRequest = "on_request".equals(values.get("membershipMode"));
        settings.listRequestIntervalUs = wholeNumber("rules.askWithinUs", settings.listRequestIntervalUs);
        settings.drainGraceUs = wholeNumber("rules.drainGraceUs", settings.drainGraceUs);
        settings.slowStartMinShare = decimal("rules.coldFrom", settings.slowStartMinShare);
        settings.slowStartUs = wholeNumber("rules.coldUs", settings.slowStartUs);
        settings.overloadFactor = decimal("rules.overloadFactor", settings.overloadFactor);
        settings.overloadWindowUs = wholeNumber("rules.fallUs", settings.overloadWindowUs);
        settings.crossZonePrice = decimal("costs.crossZone", settings.crossZonePrice);
        settings.probePrice = decimal("costs.probe", settings.probePrice);
        for (String field : list("report.fields")) {
            settings.reportFields.add(switch (field) {
                case "concurrent" -> ReportField.IN_FLIGHT;
                case "depth" -> ReportField.QUEUED;
                case "load_share" -> ReportField.UTILISATION;
                case "mean_ms" -> ReportField.LATENCY_MS;
                case "tps" -> ReportField.SERVED_PER_S;
                case "err_ps" -> ReportField.ERRORS_PER_S;
                default -> ReportField.OTHER;
            });
        }
        return settings;
    }

    private RequestClass requestClass(String prefix) {
        String retrySafety = require(prefix + "repeat");
        String scope = values.getOrDefault(prefix + "group", "all");
        return new RequestClass(require(prefix + "name"), wholeNumber(prefix + "onTimeUs"),
                decimal(prefix + "aimStretch", 0), wholeNumber(prefix + "giveUpUs"),
                decimal(prefix + "importance", 1), decimal(prefix + "lateWorth", 0),
                switch (retrySafety) {
                    case "safe" -> RetrySafety.SAFE;
                    case "keyed" -> RetrySafety.KEYED;
                    case "unsafe" -> RetrySafety.UNSAFE;
                    default -> throw invalid(prefix + "repeat", "is unknown: " + retrySafety);
                },
                switch (scope) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default -> throw invalid(prefix + "group", "is unknown: " + scope);
                },
                wholeNumber(prefix + "windowUs", 0), flag(prefix + "stream"));
    }

    private String require(String path) {
        String value = values.get(path);
        if (value == null) {
            throw invalid(path, "is missing");
        }
        return value;
    }

    private String[] list(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean flag(String path) {
        String value = values.getOrDefault(path, "0");
        return "1".equals(value) || "true".equals(value);
    }

    private long wholeNumber(String path) {
        return (long) decimal(path, require(path));
    }

    private long wholeNumber(String path, long defaultValue) {
        return values.containsKey(path) ? wholeNumber(path) : defaultValue;
    }

    private double decimal(String path, double defaultValue) {
        return values.containsKey(path) ? decimal(path, require(path)) : defaultValue;
    }

    private double decimal(String path, String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw invalid(path, "is not a number");
        }
    }

    private static IllegalArgumentException invalid(String path, String reason) {
        return new IllegalArgumentException(path + " " + reason);
    }
}
