package corneltrack.testbed

import corneltrack.wire.ControlClient
import corneltrack.wire.FleetListClient
import corneltrack.world.DataCentreId
import corneltrack.world.FleetList
import corneltrack.world.Instance
import corneltrack.world.InstanceId
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame

class InstanceListTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val list = FakeInstanceList(group).start()
    private val client = FleetListClient(ControlClient(group), list.address, "test")

    @AfterTest
    fun stop() {
        list.close()
        group.shutdownGracefully()
    }

    @Test
    fun `an unchanged list is sent once`() {
        list.update { fleet(MANY) }
        val first = client.read().join()
        assertEquals(fleet(MANY), first)
        repeat(3) { assertSame(first, client.read().join()) }
        assertEquals(1, list.fullResponses.get())
    }

    @Test
    fun `a changed list is sent again`() {
        list.update { fleet(1) }
        client.read().join()
        list.update { fleet(2) }
        assertEquals(fleet(2), client.read().join())
    }

    @Test
    fun `an unavailable list is not read as an empty one`() {
        list.update { fleet(1) }
        client.read().join()
        list.down = true
        assertEquals(null, client.read().join())
    }

    private fun fleet(members: Int) =
        FleetList((1..members).map { Instance(InstanceId("router-$it"), DataCentreId("d"), "127.0.0.1:$it") })

    private companion object {
        /** Enough members that the list is sent compressed. */
        const val MANY = 500
    }
}
