package corneltrack.control

/** The exit codes of corneltrackctl. */
internal enum class ExitCode(val code: Int) {
    /** The command succeeded. */
    DONE(CODE_DONE),

    /** The platform was unavailable; nothing was changed. */
    UNAVAILABLE(CODE_UNAVAILABLE),

    /** The checked configuration has errors. */
    FINDINGS(CODE_FINDINGS),

    /** The command, its settings or a value is invalid; nothing was changed. */
    USAGE(CODE_USAGE),

    /** Another operator's change of the same subject came first; nothing was changed. */
    LOST_RACE(CODE_LOST_RACE),

    /** The change may or may not have been made. */
    UNKNOWN(CODE_UNKNOWN),

    /** The change was accepted but is not yet in force on every router. */
    NOT_IN_FORCE(CODE_NOT_IN_FORCE),
}

private const val CODE_DONE = 0
private const val CODE_UNAVAILABLE = 1
private const val CODE_FINDINGS = 1
private const val CODE_USAGE = 2
private const val CODE_LOST_RACE = 3
private const val CODE_UNKNOWN = 4
private const val CODE_NOT_IN_FORCE = 5

/** Terminates the command with [exitCode] and a message for the operator. */
internal class CommandException(
    val exitCode: ExitCode,
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)
