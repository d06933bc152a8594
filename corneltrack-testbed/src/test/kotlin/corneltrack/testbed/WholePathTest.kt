package corneltrack.testbed

import corneltrack.world.WorkspaceId
import io.netty.handler.codec.http.HttpMethod
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WholePathTest {
    private val plan = fleetPlan {
        dataCentre("north", routers = 3, engines = 2, services = 1)
        workspaces = 3
    }

    @Test
    fun `every caller gets its own complete response through any router`() {
        TestFleet(plan).use { fleet ->
            fleet.start()
            val client = CallerClient(fleet.group)
            val calls = (0 until 120).map { number ->
                val router = fleet.routers[number % fleet.routers.size]
                val workspace = plan.workspaces[number % plan.workspaces.size]
                val word = "word$number"
                word to client.call(router.callerAddress, chat(workspace, word, tokens = 5 + number % 7))
            }
            calls.forEachIndexed { number, (word, call) ->
                val result = call.join()
                assertTrue(result.isExpectedStream(word, 5 + number % 7), "call $number got $result")
            }
            val engines = fleet.engines.values
            assertEquals(0, engines.sumOf { it.coldStartOverloads.get() }, "starts above the cold-start limit")
            assertEquals(0, engines.sumOf { it.refusedRequests.get() }, "starts above the limit of a warm engine")
        }
    }

    @Test
    fun `models, complete responses, services and invalid requests get the responses that clients expect`() {
        TestFleet(plan).use { fleet ->
            fleet.start()
            val client = CallerClient(fleet.group)
            val router = fleet.routers.first().callerAddress
            val workspace = plan.workspaces.first()
            val key = mapOf("authorization" to "Bearer ${apiKey(workspace)}")

            val models = client.call(router, Call(HttpMethod.GET, "/v1/models", "", key)).join()
            assertEquals(200, models.status)
            assertTrue("\"drafts\"" in models.body, models.body)

            val complete = client.call(router, chat(workspace, "whole", 3, stream = false)).join()
            assertTrue("whole-1 whole-2 whole-3" in complete.body, "$complete")

            val order = client.call(router, order(workspace, "order-1")).join()
            assertEquals("{\"done\":\"order-1\"}", order.body)

            val unknownKey = client.call(router, chat(WorkspaceId("nobody"), "x", 1)).join()
            assertEquals(401 to "not-run", unknownKey.status to unknownKey.outcome)

            val badJson = Call(HttpMethod.POST, "/v1/chat/completions", "{", key)
            assertEquals(400, client.call(router, badJson).join().status)

            val badModel = Call(HttpMethod.POST, "/v1/chat/completions", "{\"model\":\"none\"}", key)
            assertEquals(404, client.call(router, badModel).join().status)

            val parentPath = Call(HttpMethod.GET, "/orders/%2E./load", "", key)
            assertEquals(404, client.call(router, parentPath).join().status)

            val largeBody = Call(HttpMethod.POST, "/v1/chat/completions", "x".repeat(2_000_000), key)
            assertEquals(413, client.call(router, largeBody).join().status)
        }
    }
}
