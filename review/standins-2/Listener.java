import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Accepts connections on a free loopback port and serves the requests of each on a thread of its own. */
abstract class Listener implements AutoCloseable {
    private static final int STACK_BYTES = 256 * 1024;
    private final ServerSocket listening;

    Listener() throws IOException {
        listening = new ServerSocket(0, 4096, InetAddress.getByName("127.0.0.1"));
        start("accept", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    /** Serves one request; returns whether the connection stays open. */
    protected abstract boolean serve(Wire.Head head, InputStream in, OutputStream out) throws IOException;

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                start("connection", () -> serveAll(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serveAll(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                Wire.Head head = Wire.readHead(in);
                open = head != null && serve(head, in, out);
            }
        } catch (IOException lost) {
            // The peer has gone; what was unfinished shows in the record.
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
