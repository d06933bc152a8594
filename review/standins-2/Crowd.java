import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One router of a small deployment, and the clients of a scenario. Checks the rules CONFIG and LOST.
 *
 * Arguments: the root of the repository, the folder of the case and the name of the scenario.
 */
final class Crowd {
    private static final int ENGINES = 13;
    private static final int DESKS = 3;
    private static final long CONTACT_MS = 5_000;
    private static final long USUAL_MS = 12_000;
    private static final long AFTER_MS = 20_000;
    private static final int LOOKUP_CLIENTS = 10;
    private static final long LOOKUP_PAUSE_MS = 200;
    private static final int SLOW_BYTES_PER_S = 100_000;
    private static final int ALLOWED_CLOSES = 3;
    private static final int HALF_A_SECOND_MS = 500;
    private static final int ENOUGH_REQUESTS = 8;

    private Crowd() {
    }

    public static void main(String[] arguments) {
        try {
            Path root = Path.of(arguments[0]).toAbsolutePath();
            System.exit(run(root, Path.of(arguments[1]).toAbsolutePath(), Scenario.of(arguments[2])));
        } catch (Exception fault) {
            fault.printStackTrace();
            System.exit(2);
        }
    }

    private static int run(Path root, Path caseFolder, Scenario scenario) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Deployment.temporaryFolder();
        try (Store store = new Store()) {
            store.put("keyed.op", "config", Deployment.configuration(7));
            List<Backend> servers = new ArrayList<>();
            for (int index = 0; index < DESKS; index++) servers.add(new Desk(store));
            for (int index = 0; index < ENGINES; index++) servers.add(new Engine(store, scenario.events()));
            try (Router router = new Router(folder, "edge-1", store.address())) {
                router.start(root);
                Thread.sleep(CONTACT_MS);
                Traffic traffic = play(router, trouble, scenario);
                return judge(traffic, router, trouble, servers, caseFolder);
            }
        } finally {
            Deployment.remove(folder);
        }
    }

    private static int judge(
        Traffic traffic, Router router, boolean trouble, List<Backend> servers, Path caseFolder
    ) throws IOException {
        int late = traffic.unansweredAfter("lookup", Traffic.LOOKUP_TIMEOUT_MS);
        int later = traffic.unansweredAfter("lookup", Traffic.LOOKUP_TIMEOUT_MS + HALF_A_SECOND_MS);
        boolean config = late >= ENOUGH_REQUESTS && later * 2 > late;
        int closes = traffic.closedAfterPassedOn(servers);
        boolean lost = closes > ALLOWED_CLOSES;
        List<String> summary = List.of(
            "trouble: " + trouble,
            "CONFIG: lookups unanswered at the route's timeout: " + late + ", half a second later: " + later
                + (config ? ", broken" : ", held"),
            "LOST: closed without an answer after they were passed on: " + closes + (lost ? ", broken" : ", held"),
            "at the end, process alive: " + router.process().isAlive() + ", ready: " + router.isReady());
        summary.forEach(System.out::println);
        traffic.record(caseFolder.resolve("record.txt"), servers, summary);
        return config || lost ? 1 : 0;
    }

    private static Traffic play(Router router, boolean trouble, Scenario scenario) throws InterruptedException {
        Traffic traffic = new Traffic(router.port());
        for (int index = 0; index < LOOKUP_CLIENTS; index++) traffic.lookups(LOOKUP_PAUSE_MS);
        Thread steady = Listener.start("steady", () ->
            streams(traffic, scenario.steady(), USUAL_MS + scenario.troubleMs(), Scenario.STEADY_PER_S));
        streams(traffic, scenario.usual(), USUAL_MS, scenario.usualPerS());
        Traffic.Prompt prompt = trouble ? scenario.troubled() : scenario.usual();
        router.logStands = trouble && scenario.logStands();
        for (int index = 0; trouble && index < scenario.readers(); index++) {
            traffic.documents(SLOW_BYTES_PER_S, scenario.troubleMs());
        }
        streams(traffic, prompt, scenario.troubleMs(), trouble ? scenario.troubledPerS() : scenario.usualPerS());
        steady.join();
        router.logStands = false;
        Thread.sleep(AFTER_MS);
        traffic.stopped = true;
        Thread.sleep(Traffic.LOOKUP_DEADLINE_MS + HALF_A_SECOND_MS);
        return traffic;
    }

    private static void streams(Traffic traffic, Traffic.Prompt prompt, long forMs, double perSecond) {
        long startMs = traffic.nowMs();
        int count = (int) (forMs * perSecond / 1_000);
        for (int index = 0; index < count; index++) {
            long dueMs = startMs + (long) (index * 1_000 / perSecond);
            Backend.pause(Math.max(0, dueMs - traffic.nowMs()));
            traffic.stream(prompt);
        }
        Backend.pause(Math.max(0, startMs + forMs - traffic.nowMs()));
    }
}
