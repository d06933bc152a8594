import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** The requests of the clients of one run, with what became of each. Times are in ms from the start of the run. */
final class Traffic {
    /** One request; its connection is kept if it has carried an answered request before. */
    static final class Sent {
        final String id = Caller.newId();
        final String kind;
        final long timeoutMs;
        final boolean kept;
        volatile long sentMs;
        volatile long endedMs;
        /** The status, or why there is no whole answer. */
        volatile String result = "waiting";
        volatile boolean closedByRouter;

        Sent(String kind, long timeoutMs, boolean kept) {
            this.kind = kind;
            this.timeoutMs = timeoutMs;
            this.kept = kept;
        }
    }

    private static final int STREAM_DEADLINE_MS = 15_000;
    static final int LOOKUP_DEADLINE_MS = 1_500;
    static final int STREAM_TIMEOUT_MS = 15_000;
    static final int LOOKUP_TIMEOUT_MS = 800;
    private static final long READER_PAUSE_MS = 500;
    private static final int READER_BUFFER_BYTES = 16_384;
    private static final int CHUNK_BYTES = 16_384;
    private final int port;
    private final long startMs = System.currentTimeMillis();
    final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
    final AtomicInteger unsent = new AtomicInteger();
    final AtomicInteger documentsRead = new AtomicInteger();
    final AtomicInteger documentsCut = new AtomicInteger();
    volatile boolean stopped;

    Traffic(int port) {
        this.port = port;
    }

    long nowMs() {
        return System.currentTimeMillis() - startMs;
    }

    private static String head(String method, String path, String key, String id, int deadlineMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Corneltrack-Attempt-Id: " + id
            + "\r\nX-Corneltrack-Deadline-Ms: " + deadlineMs + "\r\nApi-Key: " + key + "\r\n" + more + "\r\n";
    }

    private static byte[] lookup(String id) {
        return lookup(Deployment.KEY, id);
    }

    static byte[] lookup(String key, String id) {
        return Wire.ascii(head("GET", "/pufi791/a", key, id, LOOKUP_DEADLINE_MS, ""));
    }

    /** Sends lookups one after the other until the traffic stops, on a connection that is kept while it is open. */
    void lookups(long pauseMs) {
        Listener.start("lookups", () -> {
            while (!stopped) {
                try (Caller caller = new Caller(port, LOOKUP_DEADLINE_MS)) {
                    boolean open = true;
                    boolean kept = false;
                    while (open && !stopped) {
                        Sent lookup = new Sent("lookup", LOOKUP_TIMEOUT_MS, kept);
                        open = exchange(caller, lookup, () -> caller.out.write(lookup(lookup.id)));
                        kept = true;
                        Backend.pause(pauseMs);
                    }
                } catch (IOException unreachable) {
                    unsent.incrementAndGet();
                    Backend.pause(pauseMs);
                }
            }
        });
    }

    /** Asks for one document after the other for a while, and reads each at {@code bytesPerS}. */
    void documents(int bytesPerS, long forMs) {
        long endMs = nowMs() + forMs;
        Listener.start("reader", () -> {
            while (nowMs() < endMs) {
                try (Caller caller = new Caller(port, STREAM_DEADLINE_MS, READER_BUFFER_BYTES)) {
                    String path = Deployment.DOCUMENTS + "a";
                    String more = "Content-Length: 0\r\n";
                    caller.out.write(Wire.ascii(
                        head("POST", path, Deployment.OTHER_KEY, Caller.newId(), STREAM_DEADLINE_MS, more)));
                    documentsRead.incrementAndGet();
                    caller.readSlowly(bytesPerS);
                } catch (IOException cut) {
                    documentsCut.incrementAndGet();
                }
                Backend.pause(READER_PAUSE_MS);
            }
        });
    }

    /** What a request for a stream holds; its prompt has so many parts, none of which other requests share. */
    record Prompt(String key, int bodyBytes, boolean chunked, String moreHeaders, int tokens, int parts) {
        /** Returns the parts as a list of id:tokens, of the same number of tokens each. */
        String prefixHash() {
            int partTokens = tokens / parts;
            return ThreadLocalRandom.current().ints(parts).mapToObj(id -> String.format("%08x:%d", id, partTokens))
                .collect(Collectors.joining(","));
        }
    }

    /** Sends one request for a stream on a connection that has carried a lookup. */
    void stream(Prompt prompt) {
        Listener.start("stream", () -> {
            try (Caller caller = new Caller(port, STREAM_DEADLINE_MS)) {
                if (caller.send(lookup(Caller.newId())).closes()) return;
                Sent stream = new Sent("stream", STREAM_TIMEOUT_MS, true);
                exchange(caller, stream, () -> write(caller, stream.id, prompt));
            } catch (IOException unreachable) {
                unsent.incrementAndGet();
            }
        });
    }

    private static void write(Caller caller, String id, Prompt prompt) throws IOException {
        String framing = prompt.chunked() ? "Transfer-Encoding: chunked" : "Content-Length: " + prompt.bodyBytes();
        String more = "X-Corneltrack-Model: m\r\nX-Corneltrack-Token-Count: " + prompt.tokens()
            + ",200\r\nX-Corneltrack-Prefix-Hash: " + prompt.prefixHash() + "\r\n" + prompt.moreHeaders() + framing
            + "\r\n";
        caller.out.write(Wire.ascii(head("POST", "/lohu930/b", prompt.key(), id, STREAM_DEADLINE_MS, more)));
        if (prompt.chunked()) writeChunks(caller, prompt.bodyBytes()); else caller.out.write(new byte[prompt.bodyBytes()]);
    }

    private static void writeChunks(Caller caller, int bytes) throws IOException {
        byte[] chunk = new byte[CHUNK_BYTES];
        for (int left = bytes; left > 0; left -= CHUNK_BYTES) {
            int size = Math.min(left, CHUNK_BYTES);
            caller.out.write(Wire.ascii(Integer.toHexString(size) + "\r\n"));
            caller.out.write(chunk, 0, size);
            caller.out.write(Wire.ascii("\r\n"));
        }
        caller.out.write(Wire.ascii("0\r\n\r\n"));
    }

    private interface Writing {
        void write() throws IOException;
    }

    /** Returns whether the connection can carry another request. */
    private boolean exchange(Caller caller, Sent request, Writing writing) {
        sent.add(request);
        request.sentMs = nowMs();
        boolean open = false;
        try {
            writing.write();
            Caller.Answer answer = caller.read();
            request.result = answer.status() + (answer.signed() ? " signed" : " own");
            open = !answer.closes();
        } catch (java.net.SocketTimeoutException late) {
            request.result = "no whole answer when the client gave up";
        } catch (IOException lost) {
            request.result = "connection closed: " + lost.getMessage();
            request.closedByRouter = true;
        }
        request.endedMs = nowMs();
        return open;
    }

    private static boolean begun(Sent request, List<? extends Backend> servers) {
        return servers.stream().anyMatch(server -> server.begun.containsKey(request.id));
    }

    /** Returns how many requests of a kind were unanswered so long after they were sent; a lost connection is an end. */
    int unansweredAfter(String kind, long afterMs) {
        int count = 0;
        for (Sent request : sent) {
            boolean ended = request.endedMs > 0 && request.endedMs - request.sentMs <= afterMs;
            if (request.kind.equals(kind) && !ended) count++;
        }
        return count;
    }

    /** Returns how many requests were passed on to a server and lost their connection before their time was over. */
    int closedAfterPassedOn(List<? extends Backend> servers) {
        int count = 0;
        for (Sent request : sent) {
            boolean inTime = request.endedMs - request.sentMs < request.timeoutMs;
            if (request.kept && request.closedByRouter && inTime && begun(request, servers)) count++;
        }
        return count;
    }

    /** Writes a line for each request. */
    void record(Path file, List<? extends Backend> servers, List<String> summary) throws IOException {
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
            summary.forEach(out::println);
            out.println("documents asked for: " + documentsRead.get() + ", of them broken off: " + documentsCut.get());
            out.println("connections refused or lost before the request: " + unsent.get());
            out.println("sent_ms ended_ms kind kept id begun result");
            for (Sent request : sent) {
                out.println(request.sentMs + " " + request.endedMs + " " + request.kind + " " + request.kept + " " + request.id + " "
                    + begun(request, servers) + " " + request.result);
            }
        }
    }
}
