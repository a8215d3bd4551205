/** Settings of a small deployment, as the configuration of a node holds them: those of the site, by WIRE. */
final class Settings {
    private Settings() { }

    /** The site's settings, with this many nodes. */
    static String json(int nodes) {
        return json(nodes, planChange(400_000, 800_000) + "," + sessionLog(600_000, 1_500_000));
    }

    static String planChange(long onTimeUs, long giveUpUs) {
        return requestClass("plan-change", "unsafe", "all", 5, 0.5, onTimeUs, giveUpUs, 5_000_000);
    }

    static String sessionLog(long onTimeUs, long giveUpUs) {
        return requestClass("session-log", "keyed", "all", 3, 0.5, onTimeUs, giveUpUs, 7_500_000);
    }

    static String requestClass(String name, String repeat, String group, int importance, double lateWorth,
            long onTimeUs, long giveUpUs, long windowUs) {
        return "{\"name\":\"" + name + "\",\"onTimeUs\":" + onTimeUs + ",\"giveUpUs\":" + giveUpUs
                + ",\"importance\":" + importance + ",\"lateWorth\":" + lateWorth + ",\"repeat\":\"" + repeat
                + "\",\"group\":\"" + group + "\",\"windowUs\":" + windowUs + ",\"stream\":false}";
    }

    /** The settings of harbour-permits, where lists come on request. */
    static String harbourPermits(int nodes) {
        String classes = requestClass("berth-state", "safe", "all", 1, 0.3, 250_000, 600_000, 0) + ","
                + requestClass("permit", "unsafe", "all", 6, 0, 700_000, 2_000_000, 0) + ","
                + requestClass("toll", "keyed", "zone", 4, 0.5, 900_000, 2_500_000, 4_000_000) + ","
                + requestClass("manifest", "keyed", "cell", 3, 0.6, 2_500_000, 6_000_000, 9_000_000);
        return json(nodes, classes)
                .replace("\"membershipMode\":\"pushed\"", "\"membershipMode\":\"on_request\"")
                .replace("\"drainGraceUs\":500000", "\"drainGraceUs\":700000")
                .replace("\"marksRetry\":false", "\"marksRetry\":true")
                .replace("\"attemptsCap\":5", "\"attemptsCap\":3")
                .replace("\"retryAfter\":false", "\"retryAfter\":true")
                .replace("\"crossZone\":0.03", "\"crossZone\":0.05")
                .replace("\"myZone\":\"worcester\"", "\"myZone\":\"quay-1\"")
                .replace("[\"hartford\",\"worcester\",\"providence\",\"manchester\"]", "[\"quay-1\",\"quay-2\"]")
                .replace("\"realms\":[]", "\"realms\":[{\"name\":\"pilots\",\"quotaPerS\":300,\"share\":0.55},"
                        + "{\"name\":\"ferries\",\"quotaPerS\":250,\"share\":0.45}]");
    }

    static String json(int nodes, String classes) {
        return "{\"balancers\":" + nodes + ",\"callers\":{\"marksRetry\":false},\"classes\":[" + classes + "],"
                + "\"costs\":{\"connection\":0.0,\"crossZone\":0.03,\"handshake\":0.0,\"lateFail\":0.023,"
                + "\"membershipMode\":0.0,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.04,\"waste\":0.02},"
                + "\"countedBy\":\"request\",\"extra\":{\"warmKeys\":true},"
                + "\"goal\":{\"whole\":0.65,\"worstClass\":0.3,\"worstTenant\":0.0,\"worstWindow\":0.05},"
                + "\"kinds\":[\"fast-5\",\"slow-5\"],\"layers\":[\"plan-servers\"],"
                + "\"limits\":{\"attemptsCap\":5,\"cancelling\":true,\"connIdleUs\":30000000,"
                + "\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":400000,\"dialTimeoutUs\":200000,\"maxOpen\":20000,"
                + "\"maxRetryAfterUs\":750000,\"parallelTries\":true,\"peerMessages\":false,\"probes\":true,"
                + "\"retryAfter\":false,\"streamsPerConn\":1},\"me\":0,\"membershipMode\":\"pushed\","
                + "\"myZone\":\"worcester\",\"overShareWorth\":0.1,\"quantumUs\":5000,\"realms\":[],"
                + "\"report\":{\"fields\":[\"tps\",\"mean_ms\",\"load_share\"],\"via\":\"probe\"},"
                + "\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.31,\"coldUs\":9000000,"
                + "\"drainGraceUs\":500000,\"fallUs\":1000000,\"graceToAnswerUs\":20000,\"overloadFactor\":2.5},"
                + "\"serviceType\":\"proxy\",\"tier\":0,\"weights\":\"live\","
                + "\"zones\":[\"hartford\",\"worcester\",\"providence\",\"manchester\"]}";
    }
}
