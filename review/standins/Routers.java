package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the project's routers, each as a process with the command of the deploy file, and ends them. */
final class Routers {
    /** One router. Its fields are the ports it listens on. */
    static final class Router {
        String name;
        int frontend;
        int ready;
        Store.Entrance store;
        Process process;

        boolean isReady() {
            try {
                URL url = new URL("http://127.0.0.1:" + ready + "/v1/readyz");
                HttpURLConnection connection = (HttpURLConnection) url.openConnection();
                connection.setConnectTimeout(1_000);
                connection.setReadTimeout(1_000);
                return connection.getResponseCode() == 200;
            } catch (IOException unavailable) {
                return false;
            }
        }
    }

    static final String[] ZONES = {"kumamoto-a", "oita-a", "kagoshima-a"};
    final List<Router> all = new ArrayList<>();
    private final Path root;
    private final Path folder;
    private final Store store;

    Routers(Path root, Store store) throws IOException {
        this.root = root;
        this.store = store;
        folder = Files.createTempDirectory("corneltrack-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Starts [count] routers, spread over the zones, and waits until all are ready. */
    void start(int count) throws Exception {
        for (int index = 0; index < count; index++) all.add(startOne(index));
        long deadline = System.currentTimeMillis() + 30_000;
        while (System.currentTimeMillis() < deadline) {
            if (all.stream().allMatch(Router::isReady)) return;
            Thread.sleep(200);
        }
        throw new IOException("the routers are not ready");
    }

    private Router startOne(int index) throws Exception {
        Router router = new Router();
        String zone = ZONES[index % ZONES.length];
        router.name = "edge-" + zone + "-" + index / ZONES.length;
        router.frontend = freePort();
        router.ready = freePort();
        router.store = store.newEntrance();
        int peers = freeDatagramPort();
        String region = zone.replace("-a", "");
        Path settings = folder.resolve(router.name + ".conf");
        Files.writeString(settings, String.join("\n",
            "node_name=" + router.name, "role=router", "machine_class=edge", "serves=edge", "ip=127.0.0.1",
            "zone=" + zone, "region=" + region,
            "zones.kumamoto-a=kumamoto", "zones.oita-a=oita", "zones.kagoshima-a=kagoshima",
            "listen.frontend=127.0.0.1:" + router.frontend, "listen.ready=127.0.0.1:" + router.ready,
            "listen.control_plane=127.0.0.1:" + freePort(), "port_range=" + peers + "," + peers,
            "seeds=", "bootstrap=true", "limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=430",
            "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip",
            "heartbeat_ms=1200", "bounds.contact_ms=4000", "bounds.drain_ms=3000", "bounds.grace_s=8",
            "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.outer_ms=6000",
            "bounds.fail_closed=true", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
            "bounds.retry_window_s=10", "bounds.retry_budget_slack=58", "bounds.cold_burst_factor=1.5",
            "bounds.cold_start_slack=5", "bounds.evacuate_ms=5000", "bounds.recover_s=12",
            "platform.address=127.0.0.1:" + router.store.port(), "platform.form=log", ""));
        ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile());
        builder.environment().put("CORNELTRACK_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(router.name + ".log").toFile());
        router.process = builder.start();
        Record.current().line("started " + router.name + " on port " + router.frontend);
        return router;
    }

    /** Returns the command of the role in the deploy file. */
    private List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("no run command in deploy/system.toml");
        return Arrays.asList(run.group(1).split(" "));
    }

    /** Writes the lines of each router's log that contain one of [texts], at most [most] a router, to the record. */
    void recordLogs(int most, String... texts) throws IOException {
        for (Router router : all) {
            Files.readAllLines(folder.resolve(router.name + ".log")).stream()
                .filter(line -> Arrays.stream(texts).anyMatch(line::contains))
                .limit(most).forEach(line -> Record.current().line("log of " + router.name + ": " + line));
        }
    }

    /** Kills all routers and deletes their settings and logs. */
    void killAll() {
        try {
            for (Router router : all) router.process.destroyForcibly();
            for (Router router : all) router.process.waitFor(5, TimeUnit.SECONDS);
            String keep = System.getenv("KEEP_LOGS");
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) if (keep == null) Files.delete(file);
            }
            if (keep == null) Files.delete(folder);
        } catch (IOException | InterruptedException ignored) {
            // The process ends; what is left lies in the temporary folder.
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
