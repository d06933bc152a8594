import java.nio.file.Path;
import java.nio.file.Files;

/** The names and the configuration of the deployment that the cases use, of the form of a small site. */
final class Deployment {
    static final String HOST = "ficu95.example";
    static final String KEY = "asnmgkcuyj8pjbvk9m68";
    static final String OTHER_KEY = "k7b2ex5wa5xwyhks8nbk";
    static final String DOCUMENTS = "/docu577/";
    static final String DESK = "wuno96b";
    static final String MODELS = "huvo11a";
    static final int DESK_SLOTS = 6;
    static final int MODEL_SLOTS = 64;
    static final int MAXIMUM_HEADER_BYTES = 16_384;
    static final int MAXIMUM_BODY_BYTES = 4_194_304;

    private Deployment() {
    }

    static String configuration(int version) {
        return configuration(version, tenant("hule930", KEY) + "," + tenant("zima412", OTHER_KEY));
    }

    /** Returns a configuration with the given list of tenants. */
    static String configuration(int version, String tenants) {
        return "{\"version\":" + version + ",\"route_table\":["
            + route("r-draft", "/lohu930/", "streaming", 15_000, 1_000, 1, MODELS, false)
            + "," + route("r-submit", "/puxa403/", "non_idempotent", 800, 300, 1, DESK, false)
            + "," + route("r-document", DOCUMENTS, "non_idempotent", 15_000, 1_000, 1, DESK, false)
            + "," + route("r-lookup", "/pufi791/", "idempotent", 800, 300, 2, DESK, false)
            + "],\"services\":["
            + "{\"name\":\"" + MODELS + "\",\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":11.0,\"inference_engine\":{\"slots\":64,"
            + "\"kv_capacity\":578286,\"kv_bytes\":163840,\"link_mbps\":740000.0,\"stride\":6,"
            + "\"model_list\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"" + DESK + "\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
            + "\"limits\":{\"max_header_bytes\":" + MAXIMUM_HEADER_BYTES + ",\"max_body_bytes\":" + MAXIMUM_BODY_BYTES
            + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":315000},"
            + "\"tenants\":[" + tenants + "]}";
    }

    static String tenant(String name, String... keys) {
        String quoted = keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"";
        return "{\"name\":\"" + name + "\",\"api_keys\":[" + quoted + "],\"priority\":1,\"allowed_regions\":[]}";
    }

    private static String route(
        String name, String prefix, String type, int timeoutMs, int targetMs, int attempts, String service,
        boolean resume
    ) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
            + "\",\"type\":\"" + type + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + targetMs
            + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
            + ",\"public\":false,\"session_affinity\":false,\"stream_resume\":" + resume
            + ",\"target_itl_ms\":500,\"allowed_regions\":[]}";
    }

    /** The folder for the settings and logs of one run, which is removed at its end. */
    static Path temporaryFolder() throws java.io.IOException {
        return Files.createTempDirectory("review-");
    }

    static void remove(Path folder) throws java.io.IOException {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
    }
}
