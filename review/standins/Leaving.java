package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A server leaves: it reports so to the store and in each of its answers, serves on for drain_ms and a little longer,
 * and exits. The store turns one of three routers away meanwhile, which thus learns of it from the answers alone.
 */
public final class Leaving {
    private static final int ROUTERS = 3;
    private static final int SERVERS = 4;
    private static final int CLIENTS = 12;
    private static final int WORK_MS = 86;
    private static final int BODY_BYTES = 200;
    private static final int PAUSE_MS = 20;
    private static final int DEADLINE_MS = 2_500;
    private static final int BEFORE_MS = 4_000;

    /** The store turns the router away for this long. */
    private static final int TURNED_AWAY_MS = 9_000;
    private static final int DRAIN_MS = 3_000;

    /** A leaving server serves for drain_ms after the store has accepted its report, and a little longer. */
    private static final int SERVES_ON_MS = DRAIN_MS + 2_500;
    private static volatile boolean ended;

    public static void main(String[] args) {
        Case.main(args, (root, record, trouble) -> {
            Store store = new Store();
            store.put("keyed.op", "config", Configuration.json());
            List<Server> servers = new ArrayList<>();
            for (int index = 0; index < SERVERS; index++) {
                String zone = Routers.ZONES[index % Routers.ZONES.length];
                servers.add(new Server(store, "i-" + index, Configuration.SERVICE, zone, 6, WORK_MS, 0));
            }
            Server leaving = servers.get(0);
            Routers routers = new Routers(root, store);
            routers.start(ROUTERS);
            Routers.Router turnedAway = routers.all.get(0);
            List<Client.Result> results = Collections.synchronizedList(new ArrayList<>());
            List<Thread> clients = new ArrayList<>();
            for (int index = 0; index < CLIENTS; index++) {
                Routers.Router router = routers.all.get(index % ROUTERS);
                clients.add(Tasks.start("client", () -> {
                    try (Client client = new Client(router.frontend)) {
                        while (!ended) {
                            String path = Configuration.PUBLIC_ORDERS + "new";
                            Client.Result result = client.send("POST", path, body(), DEADLINE_MS);
                            if (router == turnedAway) results.add(result);
                            Client.pause(PAUSE_MS);
                        }
                    }
                }));
            }
            Thread.sleep(BEFORE_MS);
            if (trouble) {
                record.say("the store turns " + turnedAway.name + " away");
                turnedAway.store.turnAway(TURNED_AWAY_MS);
            }
            leaving.leave();
            record.say(leaving.id + " leaves");
            Thread.sleep(SERVES_ON_MS);
            leaving.stop();
            record.say(leaving.id + " exits");
            Thread.sleep(TURNED_AWAY_MS - SERVES_ON_MS + 2_000);
            ended = true;
            for (Thread client : clients) client.join(10_000);
            return judge(record, results, leaving);
        });
    }

    /** Returns the body of a request; no two are alike. */
    private static byte[] body() {
        byte[] body = new byte[BODY_BYTES];
        ThreadLocalRandom.current().nextBytes(body);
        return body;
    }

    private static boolean judge(Record record, List<Client.Result> results, Server leaving) {
        long passedOnMs = results.stream().filter(it -> it.head != null && it.head.header("Server-Leaving") != null)
            .mapToLong(it -> it.endedMs).min().orElse(Long.MAX_VALUE / 2);
        List<Client.Result> late = results.stream()
            .filter(it -> it.startedMs > passedOnMs + DRAIN_MS && leaving.arrived.contains(it.id)).toList();
        long lost = late.stream().filter(it -> it.status != 200).count();
        late.stream().filter(it -> it.status != 200).forEach(it -> record.line("lost: " + it.id + " " + it));
        record.say(results.size() + " requests to one router; " + late.size() + " reached " + leaving.id + " although their clients "
            + "sent them later than drain_ms after the router had passed on an answer with Server-Leaving; " + lost
            + " of these were lost with it");
        return !late.isEmpty();
    }
}
