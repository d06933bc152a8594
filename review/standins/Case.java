package review;

import java.nio.file.Path;

/** Runs a case: opens its record, and turns its verdict into the exit code of the script. */
final class Case {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    interface Body {
        /** Returns whether the rule was broken. */
        boolean run(Path root, Record record, boolean trouble) throws Exception;
    }

    private Case() {
    }

    static void main(String[] args, Body body) {
        int verdict = COULD_NOT_RUN;
        try {
            Path folder = Path.of(args[0]).toAbsolutePath();
            Record record = Record.open(folder);
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            boolean broken = body.run(folder.getParent().getParent(), record, trouble);
            record.say(broken ? "the rule was broken" : "the rule held");
            verdict = broken ? BROKEN : HELD;
        } catch (Exception fault) {
            System.out.println("the case could not run: " + fault);
        }
        System.exit(verdict);
    }
}
