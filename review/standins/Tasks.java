package review;

/** Starts daemon threads. */
final class Tasks {
    interface Task {
        void run() throws Exception;
    }

    private Tasks() {
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception fault) {
                Record.current().line("stand-in failed: " + name + ": " + fault);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
