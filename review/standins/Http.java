package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
    /** A message with its whole head; the body is read separately. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private Http() {
    }

    /** Reads the next head, or returns null if the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.startLine = readLine(in);
        if (message.startLine == null) return null;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("head cut off");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads the body that the head of [message] announces; without a length or chunks there is none. */
    static void readBody(InputStream in, Message message) throws IOException {
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = readChunks(in);
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException("body cut off");
        }
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new EOFException("chunks cut off");
            int bytes = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(bytes);
            if (chunk.length < bytes) throw new EOFException("chunk cut off");
            body.write(chunk);
            String end = readLine(in);
            if (end == null) throw new EOFException("chunks cut off");
            if (bytes == 0) return body.toByteArray();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("line cut off");
            }
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
