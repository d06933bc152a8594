package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client that keeps one connection to a router open and sends one request after the other. */
final class Client implements AutoCloseable {
    static final String KEY = "asnmgkcuyj8pjbvk9m68";
    static final String HOST = "ficu95.example";
    private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime());
    private final java.util.function.IntSupplier port;
    private final int bytesPerSecond;
    private Socket socket;
    private BufferedInputStream in;

    /** The answer to one request, or what became of it. */
    static final class Result {
        final String id;
        /** 0 if the connection ended without a complete answer. */
        int status;
        byte[] body = new byte[0];
        Http.Message head;
        String fault;
        /** Whether the request was sent on a connection that had served a request before. */
        boolean kept;
        /** When the first byte was about to be sent. */
        final long startedMs = System.currentTimeMillis();
        /** When the last byte had been written and when the answer or the end of the connection came, in ms. */
        long sentMs;
        long endedMs;

        Result(String id) {
            this.id = id;
        }

        /** The time from the last byte of the request to the answer or the end of the connection. */
        long waitedMs() {
            return endedMs - sentMs;
        }

        @Override
        public String toString() {
            return status != 0 ? "status " + status + ", " + body.length + " bytes" : "no answer: " + fault;
        }
    }

    /**
     * @param port returns the port to which the balancer forwards the next new connection.
     * @param bytesPerSecond how fast bodies are sent; 0 for as fast as possible.
     */
    Client(java.util.function.IntSupplier port, int bytesPerSecond) {
        this.port = port;
        this.bytesPerSecond = bytesPerSecond;
    }

    Client(int port) {
        this(() -> port, 0);
    }

    static String nextId() {
        return String.format("%016x", NEXT_ID.incrementAndGet());
    }

    /** Sends a request and reads its answer, or what there is until the connection ends. */
    Result send(String method, String path, byte[] body, int deadlineMs) {
        Result result = new Result(nextId());
        try {
            result.kept = socket != null;
            if (socket == null) {
                socket = new Socket(InetAddress.getByName("127.0.0.1"), port.getAsInt());
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(deadlineMs + 1_000);
            String length = method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n";
            byte[] head = Http.ascii(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nApi-Key: " + KEY
                + "\r\nX-Corneltrack-Attempt-Id: " + result.id + "\r\nX-Corneltrack-Deadline-Ms: " + deadlineMs
                + "\r\n" + length + "\r\n");
            write(Server.join(head, body));
            result.sentMs = System.currentTimeMillis();
            Http.Message answer = Http.readHead(in);
            if (answer == null) throw new IOException("closed");
            Http.readBody(in, answer);
            result.head = answer;
            result.body = answer.body;
            result.status = answer.status();
            if ("close".equalsIgnoreCase(answer.header("Connection"))) close();
        } catch (IOException fault) {
            result.fault = fault.toString();
            close();
        }
        result.endedMs = System.currentTimeMillis();
        Record.current().line("client: " + method + " " + path + " " + result.id + " (" + body.length + " bytes) -> "
            + result);
        return result;
    }

    private void write(byte[] bytes) throws IOException {
        int step = bytesPerSecond == 0 ? bytes.length : Math.max(1, bytesPerSecond / 50);
        for (int from = 0; from < bytes.length; from += step) {
            socket.getOutputStream().write(bytes, from, Math.min(step, bytes.length - from));
            if (bytesPerSecond > 0 && from + step < bytes.length) pause(20);
        }
    }

    static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
        socket = null;
    }
}
