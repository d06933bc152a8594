package corneltrack.world

private val HASH = Regex("[0-9a-f]{64}")

/** Returns every fault of this record against the [configuration] that it would change. */
public fun ChangeRecord.findings(configuration: Configuration): List<Finding> {
    val findings = Findings()
    findings.require(changeId.isNotBlank(), "changeId", "a unique id", changeId)
    findings.require(who.isNotBlank(), "who", "the operator's name", who)
    change.check(configuration, findings)
    return findings.all
}

private fun Change.check(configuration: Configuration, findings: Findings) {
    when (this) {
        is SetDefault -> terms.check("default", findings)
        is SetException -> checkException(exception, configuration, findings)
        is RemoveException -> findings.require(
            workspace in configuration.agreement.exceptions,
            "exception",
            "a workspace with an exception",
            workspace,
        )
        is PutWorkspace -> checkWorkspace(workspace, findings)
        is PutPool -> pool.check("pool", findings)
        is TakeOut -> findings.require(target.id.isNotBlank(), "target", "a name", target)
        is BringBack -> findings.require(target in configuration.takenOut, "target", "something taken out", target)
    }
}

private fun checkException(exception: AgreementException, configuration: Configuration, findings: Findings) {
    exception.terms.check("exception.terms", findings)
    findings.require(exception.reason.isNotBlank(), "exception.reason", "a written reason", "'${exception.reason}'")
    val known = exception.workspace in configuration.workspaces
    findings.require(known, "exception.workspace", "a known workspace", exception.workspace)
}

private fun checkWorkspace(workspace: Workspace, findings: Findings) {
    findings.require(workspace.id.value.isNotBlank(), "workspace.id", "a name", workspace.id)
    workspace.keyHashes.forEach { hash ->
        findings.require(
            HASH.matches(hash),
            "workspace.keyHashes",
            "64 hexadecimal digits",
            "${hash.length} characters"
        )
    }
}
