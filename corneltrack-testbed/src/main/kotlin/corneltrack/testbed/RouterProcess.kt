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

/** Returns a free TCP port below the range from which the system picks ports for connections. */
public fun freePort(): Int =
    generateSequence { FIRST_PORT + nextPortOffset.getAndIncrement() % PORT_COUNT }.first { port ->
        runCatching { ServerSocket(port).close() }.isSuccess
    }

/**
 * Runs one real router process.
 *
 * @param classPath where the router's classes are.
 * @param program the jar or classes run; null runs those of this process.
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

    /** The file that the router's log lines go to. */
    public val logFile: File get() = directory.resolve("$id.log").toFile()

    /** Whether the process runs. */
    public val isAlive: Boolean get() = process?.isAlive == true

    /** The process id, for operating-system figures. */
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

    /** Kills the process without warning. */
    public fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Asks the process to shut down gracefully. */
    public fun terminate() {
        process?.destroy()
    }

    /** Waits until the process has ended. Returns whether it has. */
    public fun awaitExit(timeoutSeconds: Long = STOP_TIMEOUT_SECONDS): Boolean =
        process?.waitFor(timeoutSeconds, TimeUnit.SECONDS) ?: true

    /** Stops the process as the scheduler of a frozen machine would; [resume] lets it go on. */
    public fun pause(): Unit = signal("STOP")

    /** Lets a paused process go on. */
    public fun resume(): Unit = signal("CONT")

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }
}
