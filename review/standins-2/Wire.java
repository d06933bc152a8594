import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Wire {
    private Wire() {
    }

    /** The first line and the header lines of a message. */
    static final class Head {
        final String firstLine;
        final List<String[]> headers = new ArrayList<>();

        Head(String firstLine) {
            this.firstLine = firstLine;
        }

        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) return header[1];
            }
            return null;
        }

        boolean chunked() {
            String coding = header("Transfer-Encoding");
            return coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked");
        }

        int length() {
            String length = header("Content-Length");
            return length == null ? 0 : Integer.parseInt(length.trim());
        }

        boolean closes() {
            return "close".equalsIgnoreCase(header("Connection"));
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Reads a head; returns null if the peer closed the connection before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Head head = new Head(first);
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("closed inside a head");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    /** Reads the body that {@code head} announces. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (!head.chunked()) return readFully(in, head.length());
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new EOFException("closed between chunks");
            int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (bytes > 0) body.write(readFully(in, bytes));
            String end = readLine(in);
            if (end == null) throw new EOFException("closed after a chunk");
            if (bytes == 0) return body.toByteArray();
        }
    }

    private static byte[] readFully(InputStream in, int bytes) throws IOException {
        byte[] read = in.readNBytes(bytes);
        if (read.length < bytes) throw new EOFException("closed inside a body");
        return read;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("closed inside a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
