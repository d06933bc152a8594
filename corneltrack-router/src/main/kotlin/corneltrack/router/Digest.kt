package corneltrack.router

import corneltrack.router.callers.BodyContent
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Returns the SHA-256 of [parts] in lower-case hexadecimal. Each part is prefixed with its length. */
internal fun digest(vararg parts: ByteArray): String = digest(parts.map { BodyContent(it) })

/** Returns the SHA-256 of [text] and [body] in the same way. */
internal fun digest(text: String, body: BodyContent): String = digest(listOf(BodyContent(text.toByteArray()), body))

/** Returns the first 64 bits of the SHA-256 of [parts], which are prefixed with their lengths in the same way. */
internal fun shortDigest(vararg parts: ByteArray): Long = ByteBuffer.wrap(sha256(parts.map { BodyContent(it) })).long

private fun digest(parts: List<BodyContent>): String = hexadecimal(sha256(parts))

private fun sha256(parts: List<BodyContent>): ByteArray {
    val sha = MessageDigest.getInstance("SHA-256")
    parts.forEach { part ->
        sha.update("${part.size}:".toByteArray())
        part.addTo(sha)
    }
    return sha.digest()
}

/** Returns the hash by which the configuration identifies an API key. */
internal fun keyHash(key: String): String =
    hexadecimal(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

private fun hexadecimal(bytes: ByteArray): String = bytes.joinToString("") { "%02x".format(it) }
