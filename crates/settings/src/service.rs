//! Checks and resolves the service's base file and its overlays.

use types::{Document, Service, SiteName};

use crate::overlay::check_overlay;
use crate::rules::{check_rules, collect_warnings};
use crate::schema::SERVICE;
use crate::schema_check::{FileKind, check_schema};
use crate::source::{Source, entries};
use crate::{Fault, Faults};

/// The name of the base file in faults.
pub(crate) const BASE: &str = "base";

/// Checks a document for all of its sites.
///
/// # Errors
/// Returns the faults of all files. A file with a syntax error contributes only that error.
pub fn check(document: &Document) -> Result<(), Faults> {
    let mut faults = Faults::default();
    let base = ok_or_report(Source::parse(BASE, &document.base), &mut faults);
    if let Some(base) = &base {
        faults.0.extend(check_schema(base, SERVICE, FileKind::Complete));
        faults.0.extend(check_rules(base));
    }
    for (site, text) in &document.overlays {
        let overlay = ok_or_report(Source::parse(site.as_str(), text), &mut faults);
        if let Some(overlay) = &overlay {
            check_overlay_file(overlay, base.as_ref(), site, &mut faults);
        }
    }
    faults.into_result()?;
    decode_all(document)
}

/// Returns warnings about settings in a document's base file that are allowed but unusual.
pub fn warnings(document: &Document) -> Vec<Fault> {
    Source::parse(BASE, &document.base).map_or_else(|_| Vec::new(), |it| collect_warnings(&it))
}

/// Resolves a document for one site, and leaves the version of the service at 0.
///
/// An accepted document must stay in force: a later release with stricter rules must still be able
/// to resolve it, otherwise a restarted entry would reject the version that the other entries
/// serve. So this function applies only the rules that decoding needs; [`check`] applies all of
/// them before a document is accepted.
///
/// # Errors
/// Returns all faults of the base file and of the site's overlay if they cannot be decoded.
pub fn resolve(document: &Document, site: &SiteName) -> Result<Service, Faults> {
    let mut faults = Faults::default();
    let base = ok_or_report(Source::parse(BASE, &document.base), &mut faults);
    let text = document.overlays.get(site);
    let overlay = text.and_then(|it| ok_or_report(Source::parse(site.as_str(), it), &mut faults));
    faults.into_result()?;
    let Some(base) = base else { return Err(Faults::default()) };
    decode(&base, overlay.as_ref()).map_err(|undecoded| {
        let mut faults = Faults(check_schema(&base, SERVICE, FileKind::Complete));
        if let Some(overlay) = &overlay {
            check_overlay_file(overlay, Some(&base), site, &mut faults);
        }
        faults.into_result().err().unwrap_or(undecoded)
    })
}

fn ok_or_report<T>(parsed: Result<T, Fault>, faults: &mut Faults) -> Option<T> {
    parsed.map_err(|e| faults.0.push(e)).ok()
}

fn check_overlay_file(
    overlay: &Source<'_>,
    base: Option<&Source<'_>>,
    site: &SiteName,
    faults: &mut Faults,
) {
    faults.0.extend(check_schema(overlay, SERVICE, FileKind::Patch));
    let Some(base) = base else { return };
    faults.0.extend(check_overlay(overlay, base, SERVICE));
    let sites = entries(&base.root, "sites");
    if sites.iter().all(|it| it.name.as_str() != site.as_str()) {
        let message = format!(
            "this overlay is for the site {site:?}, which the base lacks",
            site = site.as_str()
        );
        faults.0.push(overlay.fault(0, message, "name the overlay after one of \"sites\""));
    }
}

/// Decodes the service of every site. A file that matches its schema can always be decoded. If the
/// schema and the types ever differ, the operator gets a fault here before any entry gets the
/// document.
fn decode_all(document: &Document) -> Result<(), Faults> {
    let base = Source::parse(BASE, &document.base)?;
    decode(&base, None)?;
    for (site, text) in &document.overlays {
        decode(&base, Some(&Source::parse(site.as_str(), text)?))?;
    }
    Ok(())
}

fn decode(base: &Source<'_>, overlay: Option<&Source<'_>>) -> Result<Service, Faults> {
    let mut value = base.to_json()?;
    if let Some(overlay) = overlay {
        json_patch::merge(&mut value, &overlay.to_json()?);
    }
    let file = overlay.unwrap_or(base);
    serde_json::from_value(value)
        .map_err(|e| Faults::from(file.fault(0, e.to_string(), "correct the file")))
}
