/**
 * What the clients of one case do.
 *
 * @param steady the requests for streams of the other tenants.
 * @param usual those of the tenant in question without the disruption, and before it.
 * @param troubled those of the tenant in question during the disruption.
 * @param usualPerS its rate without the disruption, and before it.
 * @param troubledPerS its rate during the disruption.
 * @param troubleMs how long the disruption lasts.
 * @param events the events of each stream.
 * @param logStands whether the reader of the router's log stands still during the disruption.
 * @param readers the clients that read documents slowly during the disruption; none without it.
 */
record Scenario(
    Traffic.Prompt steady, Traffic.Prompt usual, Traffic.Prompt troubled, double usualPerS, double troubledPerS,
    long troubleMs, int events, boolean logStands, int readers
) {
    static final int STEADY_PER_S = 16;
    private static final int HOT_USUAL_PER_S = 4;
    private static final double HOT_FACTOR = 7.5;
    private static final long HOT_MS = 6_500;
    private static final int LONG_STREAM_EVENTS = 100;
    private static final int SHORT_STREAM_EVENTS = 20;
    private static final int LONG_BODY_BYTES = 72_000;
    private static final int SHORT_BODY_BYTES = 1_000;
    private static final int HEADER_LINES = 28;
    private static final int HEADER_LINE_BYTES = 480;
    private static final int LONG_PROMPT_TOKENS = 6_000;
    private static final int SHORT_PROMPT_TOKENS = 1_300;
    private static final int USUAL_PARTS = 3;
    private static final int MANY_PARTS = 1_300;
    private static final int STRANGE_PER_S = 60;
    private static final long STRANGE_MS = 20_000;
    private static final long LOG_MS = 30_000;
    private static final long READ_MS = 20_000;
    private static final int SLOW_READERS = 80;

    static Scenario of(String name) {
        return switch (name) {
            case "chunks" -> hotTenant(true, LONG_BODY_BYTES, "");
            case "heads" -> hotTenant(false, SHORT_BODY_BYTES, longHead());
            case "parts" -> manyParts();
            case "log" -> standingLog();
            case "readers" -> slowReaders();
            default -> throw new IllegalArgumentException(name);
        };
    }

    /** A tenant with a fifth of the streams sends several times its usual; all requests are of one form. */
    private static Scenario hotTenant(boolean chunked, int bodyBytes, String headers) {
        Traffic.Prompt steady = prompt(Deployment.KEY, bodyBytes, chunked, headers);
        Traffic.Prompt hot = prompt(Deployment.OTHER_KEY, bodyBytes, chunked, headers);
        double hotPerS = HOT_USUAL_PER_S * HOT_FACTOR;
        return new Scenario(steady, hot, hot, HOT_USUAL_PER_S, hotPerS, HOT_MS, LONG_STREAM_EVENTS, false, 0);
    }

    private static Traffic.Prompt prompt(String key, int bodyBytes, boolean chunked, String headers) {
        return new Traffic.Prompt(key, bodyBytes, chunked, headers, LONG_PROMPT_TOKENS, USUAL_PARTS);
    }

    private static Traffic.Prompt shortPrompt(String key, int parts) {
        return new Traffic.Prompt(key, SHORT_BODY_BYTES, false, "", SHORT_PROMPT_TOKENS, parts);
    }

    /** A client sends prompts of very many short parts, or as many requests with few parts. */
    private static Scenario manyParts() {
        Traffic.Prompt steady = shortPrompt(Deployment.KEY, USUAL_PARTS);
        Traffic.Prompt few = shortPrompt(Deployment.OTHER_KEY, USUAL_PARTS);
        Traffic.Prompt many = shortPrompt(Deployment.OTHER_KEY, MANY_PARTS);
        return new Scenario(steady, few, many, STRANGE_PER_S, STRANGE_PER_S, STRANGE_MS, SHORT_STREAM_EVENTS, false, 0);
    }

    /** The usual traffic while nobody reads the log. */
    private static Scenario standingLog() {
        Traffic.Prompt steady = shortPrompt(Deployment.KEY, USUAL_PARTS);
        Traffic.Prompt other = shortPrompt(Deployment.OTHER_KEY, USUAL_PARTS);
        return new Scenario(steady, other, other, HOT_USUAL_PER_S, HOT_USUAL_PER_S, LOG_MS, SHORT_STREAM_EVENTS, true, 0);
    }

    /** The usual traffic, with bodies that have a length, while many clients read long answers slowly. */
    private static Scenario slowReaders() {
        Traffic.Prompt steady = prompt(Deployment.KEY, LONG_BODY_BYTES, false, "");
        Traffic.Prompt other = prompt(Deployment.OTHER_KEY, LONG_BODY_BYTES, false, "");
        return new Scenario(
            steady, other, other, HOT_USUAL_PER_S, HOT_USUAL_PER_S, READ_MS, LONG_STREAM_EVENTS, false, SLOW_READERS);
    }

    private static String longHead() {
        StringBuilder lines = new StringBuilder();
        for (int line = 0; line < HEADER_LINES; line++) {
            String name = "X-Context-" + line + ": ";
            lines.append(name).append("c".repeat(HEADER_LINE_BYTES - name.length())).append("\r\n");
        }
        return lines.toString();
    }
}
