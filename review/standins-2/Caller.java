import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;

/** One kept connection of a client. */
final class Caller implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int PIECES_PER_S = 20;
    private final Socket socket = new Socket();
    private final InputStream in;
    final OutputStream out;

    Caller(int port, int readTimeoutMs) throws IOException {
        this(port, readTimeoutMs, 0);
    }

    /** Connects with a receive buffer of the given size, or the usual one for 0. */
    Caller(int port, int readTimeoutMs, int receiveBytes) throws IOException {
        if (receiveBytes > 0) socket.setReceiveBufferSize(receiveBytes);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(readTimeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** An answer with its whole body. */
    record Answer(int status, boolean signed, String attempt, byte[] body, boolean closes) {
    }

    /** Reads one whole answer; throws an IOException if the connection ends before its end. */
    Answer read() throws IOException {
        Wire.Head head = Wire.readHead(in);
        if (head == null) throw new IOException("closed without an answer");
        byte[] body = Wire.readBody(in, head);
        boolean signed = head.header("X-Corneltrack-Server-Signature") != null;
        return new Answer(head.status(), signed, head.header("X-Corneltrack-Attempt-Id"), body, head.closes());
    }

    /** Reads one answer with a length at {@code bytesPerS}. */
    void readSlowly(int bytesPerS) throws IOException {
        Wire.Head head = Wire.readHead(in);
        if (head == null) throw new IOException("closed without an answer");
        int pieceBytes = bytesPerS / PIECES_PER_S;
        int left = head.length();
        while (left > 0) {
            int piece = in.readNBytes(Math.min(left, pieceBytes)).length;
            if (piece == 0) throw new IOException("closed inside an answer");
            left -= piece;
            Backend.pause(1_000 / PIECES_PER_S);
        }
    }

    Answer send(byte[] message) throws IOException {
        out.write(message);
        out.flush();
        return read();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
