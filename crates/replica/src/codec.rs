//! Encoding and decoding of stored records.

use serde::Serialize;
use serde::de::DeserializeOwned;
use types::{StepError, StepResult};

/// Encodes a value.
///
/// # Errors
/// Fails if the value can't be encoded.
pub fn encode<T: Serialize>(value: &T) -> StepResult<Vec<u8>> {
    postcard::to_stdvec(value).map_err(|e| StepError::new("encode record", e))
}

/// Decodes a value. `step` names the operation in the error.
///
/// # Errors
/// Fails if the bytes are not such a value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], step: &'static str) -> StepResult<T> {
    postcard::from_bytes(bytes).map_err(|e| StepError::new(step, e))
}
