//! Edits of the service's document, for entries that have the previous version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{Document, SiteName};

/// An edit of a text: replaces its middle and keeps a prefix and a suffix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextEdit {
    /// The length of the kept prefix in bytes.
    prefix: u32,
    /// The length of the kept suffix in bytes.
    suffix: u32,
    replacement: String,
}

/// The edits that turn one document into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentEdit {
    base: TextEdit,
    /// The changed overlays; `None` where one was removed. A new one is an edit of the empty text.
    overlays: BTreeMap<SiteName, Option<TextEdit>>,
    /// The checksum of the new document.
    checksum: u32,
}

impl TextEdit {
    /// Returns the edit that turns `before` into `after`.
    pub fn between(before: &str, after: &str) -> Self {
        let same = before.bytes().zip(after.bytes()).take_while(|(a, b)| a == b).count();
        // The kept parts of both texts are the same bytes, so checking the character boundary in one
        // text is enough.
        let prefix = (0..=same).rev().find(|it| after.is_char_boundary(*it)).unwrap_or(0);
        let rest = (before.len() - prefix).min(after.len() - prefix);
        let backward = before.bytes().rev().zip(after.bytes().rev());
        let same = backward.take(rest).take_while(|(a, b)| a == b).count();
        let whole = |it: &usize| after.is_char_boundary(after.len() - *it);
        let suffix = (0..=same).rev().find(whole).unwrap_or(0);
        let replacement = after[prefix..after.len() - suffix].to_owned();
        Self { prefix: prefix as u32, suffix: suffix as u32, replacement }
    }

    /// Returns the new text, or `None` where the edit does not apply to `before`.
    pub fn apply(&self, before: &str) -> Option<String> {
        let (prefix, suffix) = (self.prefix as usize, self.suffix as usize);
        let from = before.len().checked_sub(suffix).filter(|it| *it >= prefix)?;
        Some([before.get(..prefix)?, &self.replacement, before.get(from..)?].concat())
    }
}

impl DocumentEdit {
    /// Returns the edit that turns `before` into `after`.
    pub fn between(before: &Document, after: &Document) -> Self {
        let text = |it: &SiteName| before.overlays.get(it).map_or("", String::as_str);
        let changed =
            after.overlays.iter().filter(|(it, text)| before.overlays.get(*it) != Some(text));
        let changed = changed.map(|(it, new)| (it.clone(), Some(TextEdit::between(text(it), new))));
        let gone = before.overlays.keys().filter(|it| !after.overlays.contains_key(*it));
        let gone = gone.map(|it| (it.clone(), None));
        Self {
            base: TextEdit::between(&before.base, &after.base),
            overlays: changed.chain(gone).collect(),
            checksum: checksum(after),
        }
    }

    /// Returns the new document.
    ///
    /// An edit of another text than `before` would result in a document that nobody wrote. The
    /// checksum detects that, and the result is `None`.
    pub fn apply(&self, before: &Document) -> Option<Document> {
        let mut overlays = before.overlays.clone();
        for (site, edit) in &self.overlays {
            let text = overlays.remove(site).unwrap_or_default();
            if let Some(edit) = edit {
                overlays.insert(site.clone(), edit.apply(&text)?);
            }
        }
        let after = Document { base: self.base.apply(&before.base)?, overlays };
        (checksum(&after) == self.checksum).then_some(after)
    }
}

fn checksum(document: &Document) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    let mut take = |text: &str| {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    };
    take(&document.base);
    for (site, text) in &document.overlays {
        take(site.as_str());
        take(text);
    }
    hasher.finalize()
}
