package corneltrack.testbed

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val TOKENS = 12
private const val DECODE_MS_PER_TOKEN = 20L
private const val REGION_DELAY_MS = 10L
private const val LOAD_TOKENS = 40
private const val LOAD_PER_WORKSPACE = 4

/** Starts a small fleet, sends one streamed request through it and keeps it running unless told to exit. */
@OptIn(ExperimentalCli::class)
internal class QuickStart : Subcommand("quickstart", "Start a small fleet on loopback and try it") {
    private val folder by option(ArgType.String, "folder", description = "Where to write the operator's settings")
        .default(".quickstart")
    private val load by option(ArgType.Boolean, "load", description = "Keep every workspace busy").default(false)
    private val exit by option(ArgType.Boolean, "exit", description = "Stop after the request").default(false)

    override fun execute() {
        val plan = fleetPlan {
            dataCentre("kumamoto", engines = 2, services = 1)
            dataCentre("oita", engines = 2, services = 1)
            dataCentre("kagoshima", engines = 2, services = 1)
            engine = EngineBehaviour(decodeMsPerToken = DECODE_MS_PER_TOKEN)
            regionDelayMs = REGION_DELAY_MS
        }
        val fleet = TestFleet(plan)
        Runtime.getRuntime().addShutdownHook(Thread { fleet.close() })
        println("Starting three routers, six model engines and three services ...")
        fleet.start()
        writeOperatorSettings(fleet)
        val client = CallerClient(fleet.group)
        println("A streamed request of workspace ${plan.workspaces.first()}:")
        val call = client.call(
            fleet.routers.first().callerAddress,
            chat(plan.workspaces.first(), "draft", TOKENS)
        ) { print(it) }
        val result = call.join()
        println("The answer was ${if (result.complete) "whole" else "NOT whole"}, status ${result.status}.")
        if (exit) {
            exitProcess(if (result.complete) 0 else 1)
        }
        explain(fleet)
        if (load) {
            keepBusy(fleet, client)
        }
        Thread.currentThread().join()
    }

    private fun writeOperatorSettings(fleet: TestFleet) {
        Files.createDirectories(Path.of(folder))
        Files.writeString(
            Path.of(folder, "corneltrackctl.json"),
            "{\"log\": \"${fleet.log.address}\", \"instances\": \"${fleet.list.address}\", " +
                "\"secret\": \"$FLEET_SECRET\", \"operator\": \"quickstart\"}\n",
        )
    }

    private fun explain(fleet: TestFleet) {
        val router = fleet.routers.first()
        val key = apiKey(fleet.plan.workspaces.first())
        println(
            """
            |The fleet runs until you press Ctrl-C. In another terminal:
            |  export CORNELTRACKCTL_SETTINGS=$folder/corneltrackctl.json
            |  bin/corneltrackctl status
            |  bin/corneltrackctl take-out data-centre oita --why "power work"
            |  bin/corneltrackctl bring-back data-centre oita --why "power is back"
            |  bin/corneltrackctl audit
            |Routers for callers: ${fleet.routers.joinToString { it.callerAddress }}
            |  curl -N http://${router.callerAddress}/v1/chat/completions -H 'Authorization: Bearer $key' \
            |    -d '{"model":"$DRAFTS","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'
            """.trimMargin(),
        )
    }

    private fun keepBusy(fleet: TestFleet, client: CallerClient) {
        val driver = LoadDriver(client, evenBacklogs(fleet, LOAD_PER_WORKSPACE)) { LOAD_TOKENS }
        driver.start()
        while (true) {
            Thread.sleep(REPORT_MS)
            println(driver.summary())
        }
    }
}

private const val REPORT_MS = 5_000L
