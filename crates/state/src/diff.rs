//! A readable summary of a change of the document.

use std::collections::BTreeMap;

use types::Document;

/// The maximum length of the lines in a summary, in bytes, without the note on omitted lines.
const MAX_SUMMARY_BYTES: usize = 600;

/// The maximum length of a line in a summary, in characters.
const MAX_LINE_CHARS: usize = 80;

/// Lists the lines that were removed and added, file by file: `base -3 "a": 1; base +3 "a": 2`.
pub(crate) fn summary(old: &Document, new: &Document) -> String {
    let mut parts = changed_lines("base", &old.base, &new.base);
    for (site, text) in &new.overlays {
        let before = old.overlays.get(site).map_or("", String::as_str);
        parts.extend(changed_lines(site.as_str(), before, text));
    }
    for (site, text) in old.overlays.iter().filter(|(site, _)| !new.overlays.contains_key(site)) {
        parts.extend(changed_lines(site.as_str(), text, ""));
    }
    shorten(&parts)
}

fn changed_lines(file: &str, old: &str, new: &str) -> Vec<String> {
    if old == new {
        return Vec::new();
    }
    let mut parts = unmatched_lines(file, '-', old, new);
    parts.extend(unmatched_lines(file, '+', new, old));
    if parts.is_empty() {
        parts.push(format!("{file}: lines moved or blanks changed"));
    }
    parts
}

/// Lists the lines of `text` that `other` lacks or holds fewer times.
fn unmatched_lines(file: &str, sign: char, text: &str, other: &str) -> Vec<String> {
    let mut left: BTreeMap<&str, usize> = BTreeMap::new();
    for line in other.lines() {
        *left.entry(line.trim()).or_default() += 1;
    }
    let mut parts = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        match left.get_mut(line) {
            Some(count) if *count > 0 => *count -= 1,
            _ if line.is_empty() => {}
            _ => parts.push(format!(
                "{file} {sign}{} {}",
                number + 1,
                truncate(line, MAX_LINE_CHARS)
            )),
        }
    }
    parts
}

fn shorten(parts: &[String]) -> String {
    let mut text = String::new();
    for (shown, part) in parts.iter().enumerate() {
        if text.len() + part.len() > MAX_SUMMARY_BYTES {
            text.push_str(&format!("; and {} more lines", parts.len() - shown));
            return text;
        }
        if shown > 0 {
            text.push_str("; ");
        }
        text.push_str(part);
    }
    text
}

fn truncate(line: &str, max_chars: usize) -> &str {
    match line.char_indices().nth(max_chars) {
        Some((end, _)) => &line[..end],
        None => line,
    }
}
