package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as far as its keyed topics with one partition each: log-newest, log-read and log-append. */
final class Store {
    private record Entry(String key, byte[] value) {
    }

    private record Newest(byte[] value, long position) {
    }

    private static final class Topic {
        final List<Entry> log = new ArrayList<>();
        final TreeMap<String, Newest> newest = new TreeMap<>();
    }

    private static final int ANSWER_MS = 4;
    private static final int PAGE_ENTRIES = 500;
    private static final int DEFAULT_FETCH = 1024;
    private final Map<String, Topic> topics = new HashMap<>();

    /** The address at which one machine of the system reaches the store. */
    final class Entrance {
        private final ServerSocket listener;
        private volatile long turnedAwayUntilMs;

        private Entrance() throws IOException {
            listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            Tasks.start("store", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    Tasks.start("store call", () -> serve(socket, this));
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Answers this machine's calls with 503 for [ms] from now, and serves all others. */
        void turnAway(int ms) {
            turnedAwayUntilMs = System.currentTimeMillis() + ms;
        }

        private boolean turnsAway() {
            return System.currentTimeMillis() < turnedAwayUntilMs;
        }
    }

    Entrance newEntrance() throws IOException {
        return new Entrance();
    }

    /** Writes the newest record of [key]; null removes the key. */
    synchronized long put(String topic, String key, String value) {
        return append(topic, key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized long append(String name, String key, byte[] value) {
        Topic topic = topics.computeIfAbsent(name, ignored -> new Topic());
        long position = topic.log.size();
        topic.log.add(new Entry(key, value));
        if (value.length == 0) topic.newest.remove(key);
        else topic.newest.put(key, new Newest(value, position));
        notifyAll();
        return position;
    }

    private void serve(Socket socket, Entrance entrance) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.readHead(in);
                if (request == null) return;
                Http.readBody(in, request);
                Thread.sleep(ANSWER_MS);
                String path = request.target().split("\\?")[0];
                Map<String, String> query = query(request.target());
                byte[] body;
                int status = 200;
                boolean turnedAway = entrance.turnsAway();
                if (turnedAway) path = "";
                switch (path) {
                    case "/v1/log-newest" -> body = newest(query);
                    case "/v1/log-read" -> body = read(query);
                    case "/v1/log-append" -> {
                        String topic = query.get("topic_name");
                        boolean denied = topic.equals("keyed.op") || topic.equals("keyed.servers");
                        status = denied ? 403 : 200;
                        body = denied ? new byte[0] : append(topic, request.body);
                    }
                    default -> {
                        status = turnedAway ? 503 : 404;
                        body = new byte[0];
                    }
                }
                String head = "HTTP/1.1 " + status + " -\r\nContent-Length: " + body.length + "\r\n\r\n";
                ByteArrayOutputStream answer = new ByteArrayOutputStream();
                answer.write(Http.ascii(head));
                answer.write(body);
                socket.getOutputStream().write(answer.toByteArray());
            }
        } catch (IOException closed) {
            // The router has closed its connection or has been killed.
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> fields = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return fields;
        for (String field : target.substring(mark + 1).split("&")) {
            String[] parts = field.split("=", 2);
            fields.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return fields;
    }

    private synchronized byte[] newest(Map<String, String> query) {
        Topic topic = topics.computeIfAbsent(query.get("topic_name"), ignored -> new Topic());
        String after = query.get("after");
        var rest = after == null ? topic.newest : topic.newest.tailMap(after, false);
        StringBuilder entries = new StringBuilder();
        int count = 0;
        for (var entry : rest.entrySet()) {
            if (count == PAGE_ENTRIES) break;
            String data = Base64.getEncoder().encodeToString(entry.getValue().value());
            entries.append(count++ == 0 ? "" : ",").append("{\"key\":\"").append(entry.getKey())
                .append("\",\"data\":\"").append(data)
                .append("\",\"position\":").append(entry.getValue().position()).append('}');
        }
        return Http.ascii("{\"entries\":[" + entries + "],\"has_more\":" + (rest.size() > count)
            + ",\"end_offset\":" + topic.log.size() + "}");
    }

    private synchronized byte[] read(Map<String, String> query) throws Exception {
        Topic topic = topics.computeIfAbsent(query.get("topic_name"), ignored -> new Topic());
        int from = Integer.parseInt(query.get("from"));
        int most = Integer.parseInt(query.getOrDefault("max_fetch", "" + DEFAULT_FETCH));
        long deadline = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (topic.log.size() <= from) {
            long left = deadline - System.currentTimeMillis();
            if (left <= 0) break;
            wait(left);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(topic.log.size());
        out.writeLong(0);
        for (int offset = from; offset < Math.min(topic.log.size(), from + most); offset++) {
            Entry entry = topic.log.get(offset);
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return bytes.toByteArray();
    }

    private synchronized byte[] append(String topic, byte[] records) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(records));
        long first = -1;
        while (in.available() > 0) {
            int length = in.readInt();
            byte[] key = in.readNBytes(in.readUnsignedByte());
            byte[] value = in.readNBytes(length - 1 - key.length);
            long position = append(topic, new String(key, StandardCharsets.UTF_8), value);
            if (first < 0) first = position;
        }
        int end = topics.get(topic).log.size();
        return Http.ascii("{\"position\":" + first + ",\"end_offset\":" + end + "}");
    }
}
