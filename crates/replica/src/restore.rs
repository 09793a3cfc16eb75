//! What a data folder held, as a node takes it.

use consensus::Restored;
use disk::Recovered;
use types::StepResult;

use crate::codec::decode;

/// Decodes hard state, snapshot and log entries; tells of a torn write that was cut off.
///
/// # Errors
/// Where a record is not what it should be.
pub fn restore(found: &Recovered) -> StepResult<Restored> {
    if let Some(cut) = &found.cut {
        let file = cut.file.display();
        log::warn!(file:% = file, offset = cut.offset, bytes = cut.bytes;
            "cut a torn write off the log; it was never acknowledged");
    }
    let mut restored = Restored::default();
    if let Some(hard_state) = &found.hard_state {
        restored.hard_state = decode(hard_state, "decode hard state")?;
    }
    if let Some((_, data)) = &found.snapshot {
        restored.snapshot = Some(decode(data, "decode snapshot")?);
    }
    for record in &found.records {
        restored.entries.push(decode(&record.data, "decode log entry")?);
    }
    Ok(restored)
}
