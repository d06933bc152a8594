package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer long requests before they have read them, without a length, and close the connection at the end of the
 * answer. One of three servers breaks off one in twenty of its answers for some seconds, which resets the connection.
 */
public final class UnframedReset {
    private static final int CLIENTS = 6;
    private static final int BEFORE_MS = 2_000;

    /** The share of the faulty server's answers that are broken off is one in this many. */
    private static final int ANSWERS_PER_FAULT = 20;
    private static final int FAULTY_MS = 6_000;
    private static final int AFTER_MS = 2_000;
    private static final int BODY_BYTES = Configuration.MAXIMUM_BODY_BYTES;
    private static final int RECEIVE_BYTES = 16_384;
    private static final int DEADLINE_MS = 2_500;
    private static final int PAUSE_MS = 20;
    private static final int WORK_MS = 43;

    /** How long after the first half of its answer the server breaks off. */
    private static final int BREAK_AFTER_MS = 100;
    private static volatile boolean ended;

    public static void main(String[] args) {
        Case.main(args, (root, record, trouble) -> {
            Store store = new Store();
            store.put("keyed.op", "config", Configuration.json());
            List<EarlyServer> servers = new ArrayList<>();
            for (int index = 0; index < Routers.ZONES.length; index++) {
                servers.add(new EarlyServer(store, index));
            }
            Routers routers = new Routers(root, store);
            routers.start(1);
            List<Client.Result> results = Collections.synchronizedList(new ArrayList<>());
            List<Thread> clients = new ArrayList<>();
            for (int index = 0; index < CLIENTS; index++) {
                clients.add(Tasks.start("client", () -> {
                    try (Client client = new Client(routers.all.get(0).frontend)) {
                        while (!ended) {
                            byte[] body = longBody();
                            results.add(client.send("POST", Configuration.ORDERS + "new", body, DEADLINE_MS));
                            Client.pause(PAUSE_MS);
                        }
                    }
                }));
            }
            Thread.sleep(BEFORE_MS);
            if (trouble) {
                record.say(servers.get(0).id + " breaks off one in " + ANSWERS_PER_FAULT + " of its answers");
                servers.get(0).faultyUntilMs = System.currentTimeMillis() + FAULTY_MS;
            }
            Thread.sleep(FAULTY_MS + AFTER_MS);
            ended = true;
            for (Thread client : clients) client.join(10_000);
            long served = results.stream().filter(it -> it.status == 200).count();
            long cut = results.stream().filter(it -> it.status == 200 && !Arrays.equals(it.body, Server.body())).count();
            results.stream().filter(it -> it.status == 200 && !Arrays.equals(it.body, Server.body()))
                .forEach(it -> record.line("cut off, and looks complete: " + it.id + ", " + it.body.length + " of "
                    + Server.ANSWER_BYTES + " bytes, signature "
                    + it.head.header("X-Corneltrack-Server-Signature")));
            record.say(results.size() + " requests, " + served + " with a success; " + cut
                + " of these without the server's whole body");
            return cut > 0;
        });
    }

    /** Returns the body of a request; no two are alike. */
    private static byte[] longBody() {
        byte[] body = new byte[BODY_BYTES];
        ThreadLocalRandom.current().nextBytes(body);
        return body;
    }

    private static final class EarlyServer extends Server {
        private volatile long faultyUntilMs;
        private final AtomicInteger answers = new AtomicInteger();

        EarlyServer(Store store, int index) throws IOException {
            super(store, "i-" + index, Configuration.SERVICE, Routers.ZONES[index], 6, WORK_MS, RECEIVE_BYTES);
        }

        @Override
        boolean answer(Socket socket, BufferedInputStream in, Http.Message request) throws Exception {
            Record.current().line(id + " runs " + attemptId(request));
            Thread.sleep(WORK_MS);
            byte[] body = body();
            byte[] head = head(request, "Connection: close\r\n");
            boolean faulty = System.currentTimeMillis() < faultyUntilMs;
            if (!faulty || answers.incrementAndGet() % ANSWERS_PER_FAULT != 0) {
                socket.getOutputStream().write(join(head, body));
                Http.readBody(in, request);
                return false;
            }
            socket.getOutputStream().write(join(head, Arrays.copyOf(body, body.length / 2)));
            Thread.sleep(BREAK_AFTER_MS);
            socket.setSoLinger(true, 0);
            Record.current().line(id + " breaks off its answer to " + attemptId(request));
            return false;
        }
    }
}
