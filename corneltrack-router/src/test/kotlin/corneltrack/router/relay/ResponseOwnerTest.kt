package corneltrack.router.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class ResponseOwnerTest {
    @Test
    fun `a response that states only the id of the request belongs to it`() {
        assertEquals(ResponseOwner.THIS_REQUEST, owner("mine", signed = false, "mine"))
        assertEquals(ResponseOwner.THIS_REQUEST, owner("mine", signed = true, "mine", "mine"))
    }

    @Test
    fun `a response that states any other id belongs to another request`() {
        assertEquals(ResponseOwner.OTHER_REQUEST, owner("mine", signed = true, "other"))
        assertEquals(ResponseOwner.OTHER_REQUEST, owner("mine", signed = true, ""))
        assertEquals(ResponseOwner.OTHER_REQUEST, owner("mine", signed = true, "mine", "other"))
    }

    @Test
    fun `a response that states no id belongs to no request that has one`() {
        assertEquals(ResponseOwner.UNSTATED, owner("mine", signed = true))
        assertEquals(ResponseOwner.NO_ENDPOINT, owner("mine", signed = false))
    }

    @Test
    fun `each response belongs to a request without an id, which has a connection of its own`() {
        assertEquals(ResponseOwner.THIS_REQUEST, owner(null, signed = false))
        assertEquals(ResponseOwner.THIS_REQUEST, owner(null, signed = true, "made by the endpoint"))
    }

    private fun owner(requestId: String?, signed: Boolean, vararg stated: String): ResponseOwner =
        responseOwner(ResponseMetadata(stated.toList(), signed, notRun = false, load = null), requestId)
}
