package corneltrack.wire

import kotlinx.serialization.json.Json

/** Encodes messages between processes. Omits default values and ignores unknown keys, which newer versions may send. */
public val wireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/** Decodes settings and operators' input, in which an unknown key is an error. */
public val strictJson: Json = Json {
    ignoreUnknownKeys = false
    explicitNulls = false
}

/** Encodes output for people, with indentation. */
public val prettyJson: Json = Json {
    prettyPrint = true
    explicitNulls = false
}
