package corneltrack.router

import java.security.MessageDigest

/** Returns the SHA-256 of [parts] in lower-case hexadecimal. Each part is delimited by its length. */
internal fun digest(vararg parts: ByteArray): String {
    val sha = MessageDigest.getInstance("SHA-256")
    parts.forEach { part ->
        sha.update("${part.size}:".toByteArray())
        sha.update(part)
    }
    return hexadecimal(sha.digest())
}

/** Returns the hash of an API key as it stands in the configuration. */
internal fun keyHash(key: String): String =
    hexadecimal(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

private fun hexadecimal(bytes: ByteArray): String = bytes.joinToString("") { "%02x".format(it) }
