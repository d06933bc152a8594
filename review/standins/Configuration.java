package review;

/** The operator's configuration of a small deployment: one service with its routes. */
final class Configuration {
    static final String SERVICE = "order-desk";
    static final String ORDERS = "/orders/";
    static final String PUBLIC_ORDERS = "/public-orders/";
    static final String LOOKUPS = "/lookups/";
    static final int MAXIMUM_BODY_BYTES = 4_194_304;
    static final int TIMEOUT_MS = 2_500;

    private Configuration() {
    }

    static String json() {
        return "{\"version\":7,\"route_table\":[" + route("orders", ORDERS, "non_idempotent", 1, false) + ","
            + route("public-orders", PUBLIC_ORDERS, "non_idempotent", 1, true) + ","
            + route("lookups", LOOKUPS, "idempotent", 2, false) + "],\"services\":[{\"name\":\"" + SERVICE
            + "\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
            + MAXIMUM_BODY_BYTES + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":315000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + Client.KEY
            + "\"],\"priority\":1,\"allowed_regions\":[]}]}";
    }

    private static String route(String name, String prefix, String type, int attempts, boolean open) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + Client.HOST + "\",\"path_prefix\":\"" + prefix
            + "\",\"type\":\"" + type + "\",\"timeout_ms\":" + TIMEOUT_MS + ",\"target_latency_ms\":486,\"priority\":1,"
            + "\"service\":\"" + SERVICE + "\",\"max_attempts\":" + attempts + ",\"public\":" + open + ","
            + "\"session_affinity\":false,\"stream_resume\":false,\"target_itl_ms\":0,\"allowed_regions\":[]}";
    }
}
