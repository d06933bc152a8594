import java.io.IOException;
import java.io.OutputStream;

/** A server of the order desk: works on each request for a while and answers it with its body. */
final class Desk extends Backend {
    private static final long WORK_MS = 43;
    private static final String BODY = "x".repeat(800);

    Desk(Store store) throws IOException {
        super(store, Deployment.DESK, Deployment.DESK_SLOTS);
    }

    @Override
    protected void run(String attempt, byte[] body, OutputStream out) throws IOException {
        pause(WORK_MS);
        String answer = answerHead(attempt, "Content-Length: " + BODY.length() + "\r\n") + BODY;
        out.write(Wire.ascii(answer));
        out.flush();
    }
}
