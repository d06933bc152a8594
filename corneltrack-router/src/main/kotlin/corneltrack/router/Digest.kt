package corneltrack.router

import java.security.MessageDigest

/** Returns the SHA-256 of [parts] in lower-case hexadecimal. Each part is prefixed with its length. */
internal fun digest(vararg parts: ByteArray): String {
    val sha = MessageDigest.getInstance("SHA-256")
    parts.forEach { part ->
        sha.update("${part.size}:".toByteArray())
        sha.update(part)
    }
    return hexadecimal(sha.digest())
}

/** Returns the hash by which the configuration identifies an API key. */
internal fun keyHash(key: String): String =
    hexadecimal(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

private fun hexadecimal(bytes: ByteArray): String = bytes.joinToString("") { "%02x".format(it) }
