package corneltrack.router

/** The components of a router that its periodic tasks and request handling share. */
internal class RouterContext(
    val settings: RouterSettings,
    val views: RouterViews,
    val runner: RequestRunner,
    val peers: PeerClient,
    val clock: Clock,
)
