//! Checks that an output belongs to its request and is complete.

use serde_json::Value;

use crate::marker;

/// The result of checking an output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The output belongs to the request and is complete.
    Own,
    /// The output has the marker of another request.
    Crossed,
    /// The output has no marker, or tokens are missing, duplicate or out of order.
    Incomplete,
}

/// Checks an output. Its only marker must be `own`. Each text of an engine in it (a string that
/// starts with `marker=`) must have `tokens` tokens in order, or any number if `tokens` is 0.
pub fn verify(output: &Value, own: &str, tokens: u64) -> Verdict {
    let found = marker::find(&output.to_string());
    if found.iter().any(|it| it != own) {
        return Verdict::Crossed;
    }
    if found.is_empty() || !strings(output).all(|it| is_complete(it, tokens)) {
        return Verdict::Incomplete;
    }
    Verdict::Own
}

fn is_complete(text: &str, tokens: u64) -> bool {
    if !text.starts_with("marker=") {
        return true;
    }
    let mut count = 1;
    for word in text.split(' ').skip(1) {
        let position = word.split_once('.').and_then(|(number, _)| number.parse::<u64>().ok());
        if position != Some(count) {
            return false;
        }
        count += 1;
    }
    tokens == 0 || count == tokens
}

/// Returns all strings in a JSON value, without the names of fields.
fn strings(value: &Value) -> Box<dyn Iterator<Item = &str> + '_> {
    match value {
        Value::String(text) => Box::new(std::iter::once(text.as_str())),
        Value::Array(items) => Box::new(items.iter().flat_map(strings)),
        Value::Object(fields) => Box::new(fields.values().flat_map(strings)),
        _ => Box::new(std::iter::empty()),
    }
}
