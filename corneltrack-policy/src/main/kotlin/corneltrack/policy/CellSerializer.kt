package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.DataCentreId
import corneltrack.world.PoolId
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes a [Cell] as `pool@dataCentre`. */
internal object CellSerializer : KSerializer<Cell> {
    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("corneltrack.policy.Cell", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: Cell) {
        encoder.encodeString(value.toString())
    }

    override fun deserialize(decoder: Decoder): Cell {
        val text = decoder.decodeString()
        if ('@' !in text) {
            throw SerializationException("cell must have the form pool@dataCentre, but was '$text'")
        }
        return Cell(PoolId(text.substringBeforeLast('@')), DataCentreId(text.substringAfterLast('@')))
    }
}
