import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

/** A model server: answers each request with a stream of events at a steady pace. */
final class Engine extends Backend {
    private static final long FIRST_EVENT_MS = 60;
    private static final long PAUSE_MS = 100;
    private static final String DATA = "x".repeat(60);
    private final int events;
    private final AtomicInteger running = new AtomicInteger();

    Engine(Store store, int events) throws IOException {
        super(store, Deployment.MODELS, Deployment.MODEL_SLOTS);
        this.events = events;
    }

    @Override
    protected boolean serve(Wire.Head head, InputStream in, OutputStream out) throws IOException {
        running.incrementAndGet();
        try {
            return super.serve(head, in, out);
        } finally {
            running.decrementAndGet();
        }
    }

    @Override
    protected void run(Wire.Head request, String attempt, OutputStream out) throws IOException {
        pause(FIRST_EVENT_MS);
        String load = "X-Corneltrack-Server-Load: " + running.get() + ",0," + Deployment.MODEL_SLOTS + "\r\n";
        String head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + load;
        out.write(Wire.ascii(answerHead(attempt, head)));
        for (int event = 1; event <= events; event++) {
            String text = "id: " + event + "\ndata: " + DATA + "\n\n";
            out.write(Wire.ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
            if (event < events) pause(PAUSE_MS);
        }
        out.write(Wire.ascii("0\r\n\r\n"));
        out.flush();
    }
}
