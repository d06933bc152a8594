package corneltrack.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf

/** Encodes the messages that routers exchange all the time, whose bytes are billed across regions. */
@OptIn(ExperimentalSerializationApi::class)
public val wireProtobuf: ProtoBuf = ProtoBuf { encodeDefaults = false }
