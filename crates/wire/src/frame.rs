//! Encodes messages as frames.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::LengthDelimitedCodec;

use crate::WireError;

/// The maximum size of a frame in bytes: enough for a whole document or a part of a snapshot.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// The maximum size of a frame in bytes until the handshake is complete.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1 << 10;

/// The first byte of a heartbeat.
pub(crate) const HEARTBEAT_TAG: u8 = 0;

/// The first byte of a message.
const MESSAGE_TAG: u8 = 1;

/// Returns the codec for the handshake; [`raise_limit`] raises its limit.
pub(crate) fn handshake_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME_BYTES).new_codec()
}

/// Raises the limit of a codec once the handshake is complete.
pub(crate) fn raise_limit(codec: &mut LengthDelimitedCodec) {
    codec.set_max_frame_length(MAX_FRAME_BYTES);
}

/// Encodes a message.
///
/// # Errors
/// Returns an error where it is larger than [`MAX_FRAME_BYTES`] or postcard can't encode its type.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let frame = postcard::to_extend(message, vec![MESSAGE_TAG])
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    if frame.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLarge(MAX_FRAME_BYTES));
    }
    Ok(frame.into())
}

/// Decodes a message. Never panics, whatever the bytes are.
///
/// # Errors
/// Returns an error where the bytes are not exactly one message of this type.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, WireError> {
    match frame.split_first() {
        Some((&MESSAGE_TAG, body)) => decode_body(body),
        Some((tag, _)) => Err(WireError::Malformed(format!("unknown frame tag {tag}"))),
        None => Err(WireError::Malformed("empty frame".to_owned())),
    }
}

/// Decodes a message without its first byte.
pub(crate) fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, WireError> {
    let (message, rest) =
        postcard::take_from_bytes(body).map_err(|e| WireError::Malformed(e.to_string()))?;
    if rest.is_empty() {
        return Ok(message);
    }
    Err(WireError::Malformed(format!("{} bytes left over", rest.len())))
}
