//! Markers identify requests in tests: each request has `"marker":"X"` in its input, and each
//! stage repeats the markers that it received in its output. A result that was delivered to the
//! wrong request shows by its marker.

/// The word before a marker.
const PREFIX: &str = "marker";

/// Returns the distinct markers in `text`, in the order of their first occurrence.
///
/// A marker is the longest run of ASCII letters, digits, `-` and `_` that follows the word `marker`
/// and at least one quote, backslash, colon, equals sign or space.
pub fn find(text: &str) -> Vec<String> {
    let mut found: Vec<String> = Vec::new();
    for (at, _) in text.match_indices(PREFIX) {
        let rest = &text[at + PREFIX.len()..];
        let value = rest.trim_start_matches(['"', '\\', ':', '=', ' ']);
        if value.len() == rest.len() {
            continue;
        }
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        let end = value.find(|c| !allowed(c)).unwrap_or(value.len());
        let marker = &value[..end];
        if !marker.is_empty() && !found.iter().any(|it| it == marker) {
            found.push(marker.to_owned());
        }
    }
    found
}

/// Returns whether `text` contains `marker` and no other marker.
pub fn has_only(text: &str, marker: &str) -> bool {
    let found = find(text);
    found.len() == 1 && found[0] == marker
}
