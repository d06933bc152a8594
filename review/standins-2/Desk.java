import java.io.IOException;
import java.io.OutputStream;

/** A server of the order desk: works on each request for a while; its answers are short, but for documents. */
final class Desk extends Backend {
    private static final long WORK_MS = 43;
    private static final int SHORT_ANSWER_BYTES = 800;
    private static final int DOCUMENT_BYTES = 1_400_000;

    Desk(Store store) throws IOException {
        super(store, Deployment.DESK, Deployment.DESK_SLOTS);
    }

    @Override
    protected void run(Wire.Head head, String attempt, OutputStream out) throws IOException {
        pause(WORK_MS);
        boolean document = head.firstLine.contains(Deployment.DOCUMENTS);
        byte[] body = new byte[document ? DOCUMENT_BYTES : SHORT_ANSWER_BYTES];
        out.write(Wire.ascii(answerHead(attempt, "Content-Length: " + body.length + "\r\n")));
        out.write(body);
        out.flush();
    }
}
