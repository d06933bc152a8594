package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the ms since the start of the case. */
final class Record {
    private static Record current;
    private final PrintWriter out;
    private final long startedMs = System.currentTimeMillis();

    private Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static Record open(Path folder) throws IOException {
        current = new Record(folder.resolve("record.txt"));
        return current;
    }

    static Record current() {
        return current;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", System.currentTimeMillis() - startedMs, text);
    }

    /** Writes a line and prints it too. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
