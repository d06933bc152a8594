package corneltrack.wire

import kotlinx.serialization.json.Json

/** Encodes messages between processes: defaults are left out, and unknown keys of newer versions are ignored. */
public val wireJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/** Decodes settings and operators' input, in which an unknown key is a fault. */
public val strictJson: Json = Json {
    ignoreUnknownKeys = false
    explicitNulls = false
}

/** Encodes output that people read. */
public val prettyJson: Json = Json {
    prettyPrint = true
    explicitNulls = false
}
