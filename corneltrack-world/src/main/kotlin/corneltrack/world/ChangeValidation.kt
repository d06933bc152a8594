package corneltrack.world

private val SHA256_HEX = Regex("[0-9a-f]{64}")

/** Returns all faults of this record, given the [configuration] that it would change. */
public fun ChangeRecord.validate(configuration: Configuration): List<Finding> {
    val findings = Findings()
    findings.require(changeId.isNotBlank(), "changeId", "a unique id", changeId)
    findings.require(who.isNotBlank(), "who", "the operator's name", who)
    change.validate(configuration, findings)
    return findings.all
}

private fun Change.validate(configuration: Configuration, findings: Findings) {
    when (this) {
        is SetDefault -> terms.validate("default", findings)
        is SetException -> validateException(exception, configuration, findings)
        is RemoveException -> findings.require(
            workspace in configuration.agreement.exceptions,
            "exception",
            "a workspace with an exception",
            workspace,
        )
        is PutWorkspace -> validateWorkspace(workspace, findings)
        is PutPool -> pool.validate("pool", findings)
        is TakeOut -> findings.require(target.id.isNotBlank(), "target", "a name", target)
        is BringBack -> findings.require(target in configuration.takenOut, "target", "something taken out", target)
    }
}

private fun validateException(exception: AgreementException, configuration: Configuration, findings: Findings) {
    exception.terms.validate("exception.terms", findings)
    findings.require(exception.reason.isNotBlank(), "exception.reason", "a written reason", "'${exception.reason}'")
    val known = exception.workspace in configuration.workspaces
    findings.require(known, "exception.workspace", "a known workspace", exception.workspace)
}

private fun validateWorkspace(workspace: Workspace, findings: Findings) {
    findings.require(workspace.id.value.isNotBlank(), "workspace.id", "a name", workspace.id)
    workspace.keyHashes.forEach { hash ->
        findings.require(
            SHA256_HEX.matches(hash),
            "workspace.keyHashes",
            "64 hexadecimal digits",
            "${hash.length} characters"
        )
    }
}
