//! Restoring a node from the contents of its data folder.

use consensus::Restored;
use disk::Recovered;
use types::StepResult;

use crate::codec::decode;

/// Decodes hard state, snapshot and log entries. Logs a warning about a torn write that was cut
/// off.
///
/// # Errors
/// Fails if a record can't be decoded.
pub fn restore(found: &Recovered) -> StepResult<Restored> {
    if let Some(torn_tail) = &found.torn_tail {
        let file = torn_tail.file.display();
        log::warn!(file:% = file, offset = torn_tail.offset, bytes = torn_tail.bytes;
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
