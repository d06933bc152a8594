package corneltrack.testbed

import java.io.File
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val MAXIMUM_HEAP = "-Xmx192m"
private const val ROUTER_MAIN_CLASS = "corneltrack.router.MainKt"
private const val STOP_TIMEOUT_SECONDS = 60L

private const val FIRST_PORT = 18_000
private const val PORT_COUNT = 12_000
private val nextPortOffset = AtomicInteger((ProcessHandle.current().pid() * PORT_STRIDE % PORT_COUNT).toInt())
private const val PORT_STRIDE = 37

/**
 * Returns a free TCP port below the ephemeral range, so that no outgoing connection takes it before it is bound.
 *
 * Processes start at different ports of the range, to avoid that two of them pick the same one.
 */
public fun freePort(): Int =
    generateSequence { FIRST_PORT + nextPortOffset.getAndIncrement() % PORT_COUNT }.first { port ->
        runCatching { ServerSocket(port).close() }.isSuccess
    }

/**
 * Runs a router in a process of its own.
 *
 * @property callerAddress where the router accepts callers, as `host:port`.
 * @property controlAddress where the router serves its control API, as `host:port`.
 * @param settings the content of the settings file.
 * @param directory where the settings and log files are written.
 * @param program the jar or class directory to run; null uses the class path of this process.
 */
public class RouterProcess(
    public val id: String,
    public val callerAddress: String,
    public val controlAddress: String,
    private val settings: String,
    private val directory: Path,
    private val program: File? = null,
) {
    private var process: Process? = null

    /** The file to which the output of the router is appended. */
    public val logFile: File get() = directory.resolve("$id.log").toFile()

    /** Whether the process is running. */
    public val isAlive: Boolean get() = process?.isAlive == true

    /** The process id, by which CPU and memory use are read from `/proc`. */
    public val pid: Long get() = process!!.pid()

    /** Starts the process. */
    public fun start(): RouterProcess = apply {
        val file = directory.resolve("$id.json")
        Files.writeString(file, settings)
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = program?.path ?: System.getProperty("java.class.path")
        val command =
            listOf(java, MAXIMUM_HEAP, "-XX:+UseSerialGC", "-cp", classPath, ROUTER_MAIN_CLASS, "--settings", "$file")
        process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
            .start()
    }

    /** Kills the process without a graceful shutdown. */
    public fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Asks the process to shut down gracefully. */
    public fun terminate() {
        process?.destroy()
    }

    /** Waits for the process to exit. Returns whether it did within [timeoutSeconds]. */
    public fun awaitExit(timeoutSeconds: Long = STOP_TIMEOUT_SECONDS): Boolean =
        process?.waitFor(timeoutSeconds, TimeUnit.SECONDS) ?: true

    /** Suspends the process with SIGSTOP, which imitates a frozen machine, until [resume]. */
    public fun pause(): Unit = signal("STOP")

    /** Resumes a suspended process. */
    public fun resume(): Unit = signal("CONT")

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }
}
