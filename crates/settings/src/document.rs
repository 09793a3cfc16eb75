//! Reads a document from its files.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use types::{Document, SiteName};

use crate::service::BASE;
use crate::source::MAX_FILE_BYTES;
use crate::{Fault, Faults};

/// The file name extensions of overlay files.
const OVERLAY_EXTENSIONS: [&str; 2] = ["jsonc", "json"];

/// The files of a document: one base file and an overlay for each site that differs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentFiles {
    /// The base file.
    pub base: PathBuf,
    /// The overlays by site; the name of a file without its extension is the site.
    pub overlays: BTreeMap<SiteName, PathBuf>,
}

impl DocumentFiles {
    /// Finds the overlays in `paths`. A file is an overlay whatever its extension; a folder
    /// contributes its `.jsonc` and `.json` files except the base file itself.
    ///
    /// # Errors
    /// Returns a fault for each path that cannot be read, each file whose name is not a valid site
    /// name, and each second file for the same site.
    pub fn find(base: &Path, paths: &[PathBuf]) -> Result<Self, Faults> {
        let mut files = Self { base: base.to_owned(), overlays: BTreeMap::new() };
        let mut faults = Faults::default();
        for path in paths {
            match list_files(path, base) {
                Ok(found) => found.into_iter().for_each(|it| files.add(it, &mut faults)),
                Err(e) => faults.0.push(unreadable(path, &e)),
            }
        }
        faults.into_result()?;
        Ok(files)
    }

    fn add(&mut self, path: PathBuf, faults: &mut Faults) {
        let name = path.file_stem().and_then(|it| it.to_str()).unwrap_or_default();
        let Ok(site) = name.parse::<SiteName>() else {
            let message = format!("{name:?} is not a valid site name");
            faults.0.push(file_fault(&path, message, "name the file SITE.jsonc"));
            return;
        };
        if let Some(other) = self.overlays.get(&site) {
            let message = format!("{} is an overlay for the same site", other.display());
            faults.0.push(file_fault(&path, message, "keep one of them"));
            return;
        }
        self.overlays.insert(site, path);
    }

    /// Replaces `base` and the site names in [`Fault::file`] with the paths of the files.
    pub fn with_paths(&self, faults: Vec<Fault>) -> Vec<Fault> {
        let path_of = |file: &str| match file {
            BASE => Some(&self.base),
            site => site.parse().ok().and_then(|it: SiteName| self.overlays.get(&it)),
        };
        let located = faults.into_iter().map(|mut fault| {
            if let Some(path) = path_of(&fault.file) {
                fault.file = path.display().to_string();
            }
            fault
        });
        located.collect()
    }
}

/// Reads a document without checking its content.
///
/// # Errors
/// Returns a fault for each file that cannot be read.
pub fn read_document(files: &DocumentFiles) -> Result<Document, Faults> {
    let mut faults = Faults::default();
    let mut document =
        Document { base: read_or_report(&files.base, &mut faults), ..Document::default() };
    for (site, path) in &files.overlays {
        document.overlays.insert(site.clone(), read_or_report(path, &mut faults));
    }
    faults.into_result()?;
    Ok(document)
}

/// Reads a text file of at most [`MAX_FILE_BYTES`].
pub(crate) fn read_file(path: &Path) -> Result<String, Fault> {
    let length = fs::metadata(path).map_err(|e| unreadable(path, &e))?.len();
    if length > MAX_FILE_BYTES as u64 {
        let mend = "keep it under 8388608 bytes";
        return Err(file_fault(path, format!("the file has {length} bytes"), mend));
    }
    fs::read_to_string(path).map_err(|e| unreadable(path, &e))
}

fn read_or_report(path: &Path, faults: &mut Faults) -> String {
    read_file(path).unwrap_or_else(|fault| {
        faults.0.push(fault);
        String::new()
    })
}

fn list_files(path: &Path, base: &Path) -> std::io::Result<Vec<PathBuf>> {
    if !fs::metadata(path)?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let base = fs::canonicalize(base).ok();
    let mut found = Vec::new();
    for entry in fs::read_dir(path)? {
        let path = entry?.path();
        let extension = path.extension().and_then(|it| it.to_str()).unwrap_or_default();
        if OVERLAY_EXTENSIONS.contains(&extension) && fs::canonicalize(&path).ok() != base {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}

fn unreadable(path: &Path, error: &std::io::Error) -> Fault {
    file_fault(path, format!("cannot be read: {error}"), "name a readable text file")
}

fn file_fault(path: &Path, message: String, mend: &str) -> Fault {
    Fault { file: path.display().to_string(), line: 1, message, mend: mend.to_owned() }
}
