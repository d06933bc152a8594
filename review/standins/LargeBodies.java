package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients send long requests, of the operator's max_body_bytes, and others send short ones. Two of three routers are
 * killed for good, and their clients come to the third one.
 */
public final class LargeBodies {
    private static final int ROUTERS = 3;
    private static final int LONG_CLIENTS = 15;
    private static final int SHORT_CLIENTS = 12;

    /** A long request takes its client a second to send. */
    private static final int LONG_BYTES_PER_SECOND = Configuration.MAXIMUM_BODY_BYTES;
    private static final int SHORT_BYTES = 200;
    private static final int PAUSE_MS = 200;
    private static final int BEFORE_MS = 5_000;
    private static final int AFTER_MS = 20_000;
    private static final int DEADLINE_MS = 2_500;

    /** Requests sent up to this time after the kill are not judged: clients and balancer are finding their way. */
    private static final int SETTLING_MS = 1_500;
    private static final int SLACK_MS = 500;
    private static volatile boolean ended;
    private static volatile int live = ROUTERS;

    public static void main(String[] args) {
        Case.main(args, (root, record, trouble) -> {
            Store store = new Store();
            store.put("keyed.op", "config", Configuration.json());
            Set<String> answered = ConcurrentHashMap.newKeySet();
            for (int index = 0; index < Routers.ZONES.length; index++) {
                new Server(store, "i-" + index, Configuration.SERVICE, Routers.ZONES[index], 6, 43, 0) {
                    @Override
                    void onAnswered(Http.Message request) {
                        answered.add(attemptId(request));
                    }
                };
            }
            Routers routers = new Routers(root, store);
            routers.start(ROUTERS);
            List<Client.Result> results = Collections.synchronizedList(new ArrayList<>());
            List<Thread> clients = new ArrayList<>();
            for (int index = 0; index < LONG_CLIENTS + SHORT_CLIENTS; index++) {
                clients.add(startClient(routers, index, results));
            }
            Thread.sleep(BEFORE_MS);
            long disruptedMs = System.currentTimeMillis();
            if (trouble) {
                live = 1;
                for (int index = live; index < ROUTERS; index++) routers.all.get(index).process.destroyForcibly();
                record.say("killed two of three routers");
            }
            Thread.sleep(AFTER_MS);
            ended = true;
            for (Thread client : clients) client.join(10_000);
            routers.recordLogs(10, "OutOfMemory", "Cannot reserve");
            return judge(record, results, answered, disruptedMs + SETTLING_MS);
        });
    }

    private static Thread startClient(Routers routers, int number, List<Client.Result> results) {
        boolean sendsLong = number < LONG_CLIENTS;
        byte[] body = new byte[sendsLong ? Configuration.MAXIMUM_BODY_BYTES : SHORT_BYTES];
        int rate = sendsLong ? LONG_BYTES_PER_SECOND : 0;
        return Tasks.start("client", () -> {
            try (Client client = new Client(() -> routers.all.get(number % live).frontend, rate)) {
                while (!ended) {
                    results.add(client.send("POST", Configuration.ORDERS + "new", body, DEADLINE_MS));
                    Client.pause(PAUSE_MS);
                }
            }
        });
    }

    private static boolean judge(Record record, List<Client.Result> results, Set<String> answered, long fromMs) {
        List<Client.Result> judged = results.stream().filter(it -> it.sentMs >= fromMs).toList();
        long served = judged.stream().filter(it -> it.status == 200).count();
        long longer = judged.stream().filter(it -> it.waitedMs() > Configuration.TIMEOUT_MS).count();
        long late = judged.stream().filter(it -> it.waitedMs() > Configuration.TIMEOUT_MS + SLACK_MS).count();
        long lost = judged.stream().filter(it -> it.kept && it.status == 0 && answered.contains(it.id)).count();
        record.say(judged.size() + " requests, " + served + " served; " + longer + " lasted longer than the route's "
            + "timeout, and " + late + " of them had no final answer half a second after it; " + lost
            + " were answered by a server, and their kept connections closed without that answer");
        return late >= 8 && late * 4 > longer || lost > 3;
    }
}
