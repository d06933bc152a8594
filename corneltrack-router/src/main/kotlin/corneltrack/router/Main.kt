package corneltrack.router

import corneltrack.router.logging.boundStandardError
import corneltrack.wire.event
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

private const val EXIT_START_FAILED = 1
private const val EXIT_INVALID_SETTINGS = 2
private val logger = LogManager.getLogger("corneltrack.router.Main")

/** Runs a router until the process is terminated. Exits with status 2 if the settings are unreadable or invalid. */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("corneltrack-router")
    val file by parser.option(ArgType.String, "settings", "s", "JSON file with the router's settings").required()
    val check by parser.option(ArgType.Boolean, "check", "c", "Check the settings and exit").default(false)
    parser.parse(arguments)
    val settings = readSettings(file)
    if (check) {
        println("$file: the settings are valid")
        return
    }
    run(settings)
}

private fun readSettings(file: String): RouterSettings {
    val text = try {
        File(file).readText()
    } catch (fault: IOException) {
        System.err.println("$file: ${fault.message}")
        exitProcess(EXIT_INVALID_SETTINGS)
    }
    return when (val result = parseRouterSettings(text)) {
        is SettingsResult.Valid -> result.settings
        is SettingsResult.Invalid -> {
            result.findings.forEach { System.err.println("$file: $it") }
            exitProcess(EXIT_INVALID_SETTINGS)
        }
    }
}

private fun run(settings: RouterSettings) {
    boundStandardError()
    val router = try {
        Router(settings).start()
    } catch (fault: IOException) {
        logger.event("start_failed", Level.FATAL) { field("reason", fault.message) }
        exitProcess(EXIT_START_FAILED)
    }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            router.drain()
            router.close()
            LogManager.shutdown()
        },
    )
}
