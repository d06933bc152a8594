package corneltrack.router

/** Holds the parts of one router that several duties share. */
internal class RouterContext(
    val settings: RouterSettings,
    val views: RouterViews,
    val runner: RequestRunner,
    val peers: PeerClient,
    val clock: Clock,
)
