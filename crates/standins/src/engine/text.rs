//! The text that a fake engine generates. It depends on the prompt alone, so that any engine can
//! resume where another stopped, and a caller can detect missing, duplicate and foreign tokens.

use crate::marker;

/// The offset basis and prime of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the token at `position` of the text generated for `prompt`.
///
/// The first token is `marker=X` with the prompt's marker; several markers are joined by
/// `+marker=`. Each other token is ` N.hhhh`, with its position and a hash of prompt and position.
pub fn token(prompt: &str, position: u64) -> String {
    if position == 0 {
        let markers = marker::find(prompt);
        let named: Vec<String> = markers.iter().map(|it| format!("marker={it}")).collect();
        return named.join("+");
    }
    let hash = fnv(fnv(FNV_BASIS, prompt.as_bytes()), &position.to_le_bytes());
    format!(" {position}.{:04x}", hash as u16)
}

/// Returns the first `tokens` tokens of the text generated for `prompt`, joined.
pub fn full_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|i| token(prompt, i)).collect()
}

/// Extends the 64-bit FNV-1a hash `start` by `bytes`.
pub(super) fn fnv(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Hashes a prefix that ends with `bytes`; `hash` is the hash of the prefix before them, if any.
pub(super) fn extend_hash(hash: Option<u64>, bytes: &[u8]) -> u64 {
    fnv(hash.unwrap_or(FNV_BASIS), bytes)
}
