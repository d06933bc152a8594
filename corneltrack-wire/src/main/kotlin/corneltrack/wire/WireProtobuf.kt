package corneltrack.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf

/** Encodes the messages that routers exchange continuously. Keeps them small, as cross-region traffic is billed. */
@OptIn(ExperimentalSerializationApi::class)
public val wireProtobuf: ProtoBuf = ProtoBuf { encodeDefaults = false }
