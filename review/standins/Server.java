package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** A server of a service: registers itself in the store, runs requests in its slots and answers them. */
class Server {
    static final int ANSWER_BYTES = 800;
    private static final int HEARTBEAT_MS = 1_200;
    final String id;
    final String service;
    final String zone;
    private final Store store;
    private final int slots;
    private final Semaphore free;
    private final int workMs;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private volatile boolean registered = true;
    private volatile boolean stopped;
    private volatile String state = "ready";

    /** The requests that have reached this server, by their attempt ids. */
    final Set<String> arrived = ConcurrentHashMap.newKeySet();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private long sequence;

    /** @param receiveBytes the size of the receive buffer of each connection, or 0 for the system's. */
    Server(Store store, String id, String service, String zone, int slots, int workMs, int receiveBytes)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMs = workMs;
        free = new Semaphore(slots, true);
        listener = new ServerSocket();
        if (receiveBytes > 0) listener.setReceiveBufferSize(receiveBytes);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Tasks.start(id, () -> {
            while (!stopped) {
                Socket socket;
                try {
                    socket = listener.accept();
                } catch (IOException closed) {
                    return;
                }
                Tasks.start(id + " connection", () -> serve(socket));
            }
        });
        Tasks.start(id + " heartbeat", () -> {
            while (registered) {
                register();
                Thread.sleep(HEARTBEAT_MS);
            }
        });
    }

    private synchronized void register() {
        if (!registered) return;
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
            + listener.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"born\":" + born + ",\"sequence\":" + sequence++ + "}");
    }

    /** Starts to leave: reports so to the store, and in each answer from now on. */
    void leave() {
        state = "draining";
        register();
    }

    /** Exits: its connections and its address close. */
    void stop() throws IOException {
        stopped = true;
        registered = false;
        listener.close();
        for (Socket socket : open) socket.close();
    }

    private void serve(Socket socket) throws Exception {
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 8_192);
            while (!stopped) {
                Http.Message request = Http.readHead(in);
                if (request == null) return;
                arrived.add(attemptId(request));
                if (!id.equals(request.header("X-Corneltrack-Expect-Instance"))) {
                    Http.readBody(in, request);
                    socket.getOutputStream().write(Http.ascii("HTTP/1.1 421 Misdirected Request\r\n"
                        + "X-Corneltrack-Not-Executed: 1\r\nX-Corneltrack-Instance-Id: " + id
                        + "\r\nContent-Length: 0\r\n\r\n"));
                } else if (!answer(socket, in, request)) {
                    return;
                }
            }
        } catch (IOException closed) {
            Record.current().line(id + " lost a connection: " + closed.getMessage());
        } finally {
            open.remove(socket);
        }
    }

    /** Runs and answers [request], whose body has not been read. Returns whether the connection stays open. */
    boolean answer(Socket socket, BufferedInputStream in, Http.Message request) throws Exception {
        Http.readBody(in, request);
        free.acquire();
        try {
            Record.current().line(id + " runs " + attemptId(request));
            Thread.sleep(workMs);
        } finally {
            free.release();
        }
        OutputStream out = socket.getOutputStream();
        byte[] body = body();
        out.write(join(head(request, "Content-Length: " + body.length + "\r\n"), body));
        Record.current().line(id + " answered " + attemptId(request));
        onAnswered(request);
        return true;
    }

    /** Called when an answer has been written in full. */
    void onAnswered(Http.Message request) {
    }

    final byte[] head(Http.Message request, String more) {
        return Http.ascii("HTTP/1.1 200 OK\r\nX-Corneltrack-Attempt-Id: " + attemptId(request)
            + "\r\nX-Corneltrack-Server-Signature: " + id + "." + attemptId(request)
            + "\r\nX-Corneltrack-Server-Load: " + (slots - free.availablePermits()) + "," + free.getQueueLength()
            + "," + slots + "\r\n" + (state.equals("ready") ? "" : "Server-Leaving: 1\r\n") + more + "\r\n");
    }

    static byte[] body() {
        byte[] body = new byte[ANSWER_BYTES];
        for (int index = 0; index < body.length; index++) body[index] = (byte) ('a' + index % 26);
        return body;
    }

    static String attemptId(Http.Message request) {
        return request.header("X-Corneltrack-Attempt-Id");
    }

    static byte[] join(byte[] one, byte[] other) {
        byte[] joined = java.util.Arrays.copyOf(one, one.length + other.length);
        System.arraycopy(other, 0, joined, one.length, other.length);
        return joined;
    }
}
