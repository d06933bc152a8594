package corneltrack.policy

import corneltrack.world.Cell
import corneltrack.world.DataCentreId
import corneltrack.world.PoolId
import corneltrack.world.WorkspaceId
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

private const val REPORT_FIELDS = 6
private const val SERVED_FIELD = 2
private const val WAIT_FIELD = 3
private const val ELSEWHERE_FIELD = 4
private const val NAME_FIELD = 5

/** Writes a [WorkspaceReport] as one short text, since reports are sent often. */
internal object WorkspaceReportSerializer : KSerializer<WorkspaceReport> {
    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("corneltrack.policy.WorkspaceReport", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: WorkspaceReport) {
        encoder.encodeString(
            with(value) { "$waiting,$running,$served,$oldestWaitMs,$elsewhere,$workspace" },
        )
    }

    override fun deserialize(decoder: Decoder): WorkspaceReport {
        val text = decoder.decodeString()
        val fields = text.split(',', limit = REPORT_FIELDS)
        val numbers = fields.take(NAME_FIELD).mapNotNull { it.toLongOrNull() }
        if (fields.size != REPORT_FIELDS || numbers.size != NAME_FIELD) {
            throw SerializationException(
                "expected waiting,running,served,oldestWaitMs,elsewhere,workspace, found '$text'"
            )
        }
        return WorkspaceReport(
            WorkspaceId(fields[NAME_FIELD]),
            numbers[0].toInt(),
            numbers[1].toInt(),
            numbers[SERVED_FIELD],
            numbers[WAIT_FIELD],
            numbers[ELSEWHERE_FIELD].toInt(),
        )
    }
}

/** Writes a [Cell] as `pool@dataCentre`. */
internal object CellSerializer : KSerializer<Cell> {
    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("corneltrack.policy.Cell", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: Cell) {
        encoder.encodeString(value.toString())
    }

    override fun deserialize(decoder: Decoder): Cell {
        val text = decoder.decodeString()
        if ('@' !in text) {
            throw SerializationException("expected pool@dataCentre, found '$text'")
        }
        return Cell(PoolId(text.substringBeforeLast('@')), DataCentreId(text.substringAfterLast('@')))
    }
}
