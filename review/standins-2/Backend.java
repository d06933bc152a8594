import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of one service, which registers in the store, echoes the request's id and signs its answers. */
abstract class Backend extends Listener {
    private static final long HEARTBEAT_MS = 1_200;
    private static final AtomicInteger COUNT = new AtomicInteger();
    final String id = "i-" + Integer.toHexString(0x5a00 + COUNT.incrementAndGet());
    /** The requests that began to run, by id. */
    final ConcurrentHashMap<String, Integer> begun = new ConcurrentHashMap<>();
    private final AtomicInteger sequence = new AtomicInteger();
    private final long bornMs = System.currentTimeMillis();

    Backend(Store store, String service, int slots) throws IOException {
        start("heartbeat", () -> {
            try {
                while (true) {
                    store.put("keyed.servers", id, record(service, slots));
                    Thread.sleep(HEARTBEAT_MS);
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private String record(String service, int slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\","
            + "\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + "\"sequence\":" + sequence.incrementAndGet() + ",\"born\":" + bornMs + "}";
    }

    @Override
    protected boolean serve(Wire.Head head, InputStream in, OutputStream out) throws IOException {
        Wire.readBody(in, head);
        String attempt = head.header("X-Corneltrack-Attempt-Id");
        String expected = head.header("X-Corneltrack-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            String refusal = "HTTP/1.1 421 Misdirected Request\r\nX-Corneltrack-Attempt-Id: " + attempt
                + "\r\nX-Corneltrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            out.write(Wire.ascii(refusal));
            return true;
        }
        begun.merge(attempt, 1, Integer::sum);
        run(head, attempt, out);
        return true;
    }

    /** Runs a request and writes its whole answer. */
    protected abstract void run(Wire.Head head, String attempt, OutputStream out) throws IOException;

    static String answerHead(String attempt, String more) {
        return "HTTP/1.1 200 OK\r\nX-Corneltrack-Attempt-Id: " + attempt
            + "\r\nX-Corneltrack-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + more + "\r\n";
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
