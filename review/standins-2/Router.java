import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One router: a process that runs the command of the deploy file, on loopback addresses. */
final class Router implements AutoCloseable {
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long STOP_TIMEOUT_S = 5;
    private static final int LOG_BUFFER_BYTES = 8_192;
    private static final long LOG_PAUSE_MS = 50;
    private final String name;
    private final String frontend = free();
    private final String ready = free();
    private final String control = free();
    private final Path settings;
    private Process process;
    /** Whether the reader of the log stands still. */
    volatile boolean logStands;

    Router(Path folder, String name, String store) throws IOException {
        this.name = name;
        settings = folder.resolve(name + ".conf");
        Files.writeString(settings, settingsText(store));
    }

    /** The address for callers. */
    String frontend() {
        return frontend;
    }

    int port() {
        return Integer.parseInt(frontend.split(":")[1]);
    }

    Process process() {
        return process;
    }

    private static String free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private String settingsText(String store) throws IOException {
        int datagrams = freeDatagramPort();
        return String.join("\n",
            "node_name=" + name, "role=router", "machine_class=edge", "serves=edge", "ip=127.0.0.1",
            "zone=zone-a", "region=region-a", "zones.zone-a=region-a",
            "listen.frontend=" + frontend, "listen.ready=" + ready, "listen.control_plane=" + control,
            "port_range=" + datagrams + "," + datagrams, "seeds=" + control, "bootstrap=true", "fault_counted=false",
            "limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=430", "limits.max_fds=4100",
            "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform",
            "fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=1",
            "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000",
            "bounds.catch_up_s=4", "bounds.drain_ms=3000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
            "bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250", "bounds.outer_ms=6000",
            "bounds.fail_closed=true", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
            "bounds.retry_window_s=10", "bounds.retry_budget_slack=58", "bounds.cold_burst_factor=1.5",
            "bounds.cold_start_slack=5", "bounds.evacuate_ms=5000", "bounds.recover_s=12",
            "bounds.iteration_ms=400", "bounds.retry_after_s=10", "bounds.quota_window_s=4",
            "platform.address=" + store, "platform.form=log", "platform.writes_per_s=400",
            "platform.reads_per_s=2000", "platform.parts=12", "platform.append_ms=2.0",
            "platform.partition_mb_s=20.0", "platform.read_mb_s=80.0", "platform.record_bytes=262144",
            "platform.request_bytes=2097152", "platform.keep_s=300", "platform.partition_mb=200",
            "platform.ttl_min_ms=1000", "");
    }

    /** Starts the process with the deploy file's command and waits until it says that it is ready. */
    Router start(Path root) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command(root)).directory(root.toFile());
        builder.environment().put("CORNELTRACK_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        process = builder.start();
        Listener.start("log", this::readLog);
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        long endMs = System.currentTimeMillis() + START_TIMEOUT_MS;
        while (!isReady()) {
            boolean late = System.currentTimeMillis() > endMs;
            if (late || !process.isAlive()) throw new IOException("router " + name + " did not become ready");
            Thread.sleep(100);
        }
        return this;
    }

    /** Reads the process's log, its standard output and error, from a pipe, and drops it. */
    private void readLog() {
        byte[] buffer = new byte[LOG_BUFFER_BYTES];
        try (InputStream log = process.getInputStream()) {
            boolean open = true;
            while (open) {
                if (logStands) Backend.pause(LOG_PAUSE_MS); else open = log.read(buffer) >= 0;
            }
        } catch (IOException ended) {
            // The process has ended.
        }
    }

    private static List<String> command(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (!line.startsWith("run = \"")) continue;
            String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
            return new ArrayList<>(List.of(run.split(" ")));
        }
        throw new IOException("no run command in deploy/system.toml");
    }

    /** Whether the platform's readiness probe gets a 200 within a second. */
    boolean isReady() {
        return get("/v1/readyz") == 200;
    }

    private int get(String path) {
        try {
            HttpURLConnection probe = (HttpURLConnection) new URL("http://" + ready + path).openConnection();
            probe.setConnectTimeout(1_000);
            probe.setReadTimeout(1_000);
            int status = probe.getResponseCode();
            probe.disconnect();
            return status;
        } catch (IOException unreachable) {
            return 0;
        }
    }

    @Override
    public void close() {
        if (process == null) return;
        process.destroyForcibly().onExit().orTimeout(STOP_TIMEOUT_S, TimeUnit.SECONDS).join();
    }
}
