import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: keyed topics of one partition, with their log and the newest record of each key. */
final class Store extends Listener {
    private static final int PAGE_ENTRIES = 500;
    private static final int MAXIMUM_FETCH = 1024;
    private static final long NEVER_MS = 0;

    private record Entry(String key, byte[] value) {
    }

    private final Map<String, List<Entry>> topics = new HashMap<>();

    Store() throws IOException {
    }

    /** Writes the record of a key as the operator or a server does; an empty value removes the key. */
    synchronized long put(String topic, String key, byte[] value) {
        List<Entry> log = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        log.add(new Entry(key, value));
        notifyAll();
        return log.size() - 1;
    }

    void put(String topic, String key, String value) {
        put(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    protected boolean serve(Wire.Head head, InputStream in, OutputStream out) throws IOException {
        byte[] body = Wire.readBody(in, head);
        String target = head.firstLine.split(" ")[1];
        Map<String, String> query = query(target);
        switch (target.split("\\?")[0]) {
            case "/v1/log-newest" -> reply(out, "200 OK", newest(query));
            case "/v1/log-read" -> reply(out, "200 OK", read(query));
            case "/v1/log-append" -> append(out, query, body);
            default -> reply(out, "404 Not Found", new byte[0]);
        }
        return true;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return query;
        for (String pair : target.substring(mark + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
        }
        return query;
    }

    private synchronized byte[] newest(Map<String, String> query) {
        List<Entry> log = topics.getOrDefault(query.get("topic_name"), List.of());
        TreeMap<String, Integer> newest = new TreeMap<>();
        for (int offset = 0; offset < log.size(); offset++) {
            Entry entry = log.get(offset);
            if (entry.value().length == 0) newest.remove(entry.key()); else newest.put(entry.key(), offset);
        }
        Map<String, Integer> rest = query.containsKey("after") ? newest.tailMap(query.get("after"), false) : newest;
        StringBuilder entries = new StringBuilder();
        int count = 0;
        for (Map.Entry<String, Integer> found : rest.entrySet()) {
            if (count == PAGE_ENTRIES) break;
            if (count++ > 0) entries.append(',');
            String data = Base64.getEncoder().encodeToString(log.get(found.getValue()).value());
            entries.append("{\"key\":\"").append(found.getKey()).append("\",\"data\":\"").append(data)
                .append("\",\"position\":").append(found.getValue()).append('}');
        }
        boolean more = rest.size() > PAGE_ENTRIES;
        String page = "{\"entries\":[" + entries + "],\"has_more\":" + more + ",\"end_offset\":" + log.size() + "}";
        return page.getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(Map<String, String> query) throws IOException {
        String topic = query.get("topic_name");
        int from = Integer.parseInt(query.get("from"));
        long waitMs = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        long endMs = System.currentTimeMillis() + waitMs;
        while (size(topic) <= from) {
            long leftMs = endMs - System.currentTimeMillis();
            if (leftMs <= NEVER_MS) break;
            try {
                wait(leftMs);
            } catch (InterruptedException stopped) {
                throw new IOException(stopped);
            }
        }
        List<Entry> log = topics.getOrDefault(topic, List.of());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        data.writeLong(log.size());
        data.writeLong(0);
        for (int offset = from; offset < Math.min(log.size(), from + MAXIMUM_FETCH); offset++) {
            byte[] key = log.get(offset).key().getBytes(StandardCharsets.UTF_8);
            byte[] value = log.get(offset).value();
            data.writeInt(1 + key.length + value.length);
            data.writeByte(key.length);
            data.write(key);
            data.write(value);
        }
        return bytes.toByteArray();
    }

    private int size(String topic) {
        return topics.getOrDefault(topic, List.of()).size();
    }

    private void append(OutputStream out, Map<String, String> query, byte[] body) throws IOException {
        String topic = query.get("topic_name");
        if (!topic.equals("keyed.status")) {
            reply(out, "403 Forbidden", new byte[0]);
            return;
        }
        int keyLength = body[4] & 0xff;
        String key = new String(body, 5, keyLength, StandardCharsets.UTF_8);
        byte[] value = new byte[body.length - 5 - keyLength];
        System.arraycopy(body, 5 + keyLength, value, 0, value.length);
        long position = put(topic, key, value);
        String answer = "{\"position\":" + position + ",\"end_offset\":" + (position + 1) + "}";
        reply(out, "200 OK", answer.getBytes(StandardCharsets.UTF_8));
    }

    private static void reply(OutputStream out, String status, byte[] body) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        String head = "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length;
        message.write(Wire.ascii(head + "\r\n\r\n"));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }
}
