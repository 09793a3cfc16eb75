//! Checks that a site's overlay changes only what it may: values that differ between sites, of
//! objects that the base file already defines.
//!
//! An overlay must not add or remove a site, model, pool, upstream, pipeline or customer, nor
//! change permissions. Otherwise one site would serve a customer or a chain of stages that another
//! site refuses, and to a caller the result would look random. The settings that the replicated
//! state or the orders depend on (claims, orders, models, limits of customers) are the same for
//! all sites.

use jsonc_parser::ast::{Object, ObjectProp, Value};

use crate::Fault;
use crate::schema_check::{closest_match, join};
use crate::shape::{Field, Shape};
use crate::source::Source;

/// Returns a fault for each change that the overlay must not make.
pub(crate) fn check_overlay(
    overlay: &Source<'_>,
    base: &Source<'_>,
    fields: &[Field],
) -> Vec<Fault> {
    let mut checker = Checker { overlay, faults: Vec::new() };
    checker.check_record(&overlay.root, Some(&base.root), fields, "");
    checker.faults
}

struct Checker<'s, 'a> {
    overlay: &'s Source<'a>,
    faults: Vec<Fault>,
}

impl Checker<'_, '_> {
    fn report(&mut self, property: &ObjectProp<'_>, message: String, mend: String) {
        self.faults.push(self.overlay.fault(property.range.start, message, mend));
    }

    fn check_record(
        &mut self,
        patch: &Object<'_>,
        base: Option<&Object<'_>>,
        fields: &[Field],
        path: &str,
    ) {
        for property in &patch.properties {
            let name = property.name.as_str();
            // The schema check has already reported an unknown key.
            let Some(field) = fields.iter().find(|it| it.name == name) else { continue };
            let path = join(path, name);
            if !field.overridable {
                let message = format!("an overlay must not change {path}");
                self.report(property, message, "change it in the base file".to_owned());
                continue;
            }
            let below = base.and_then(|it| it.get_object(name));
            self.check_value(&property.value, below, &field.shape, &path);
        }
    }

    fn check_value(
        &mut self,
        value: &Value<'_>,
        base: Option<&Object<'_>>,
        shape: &Shape,
        path: &str,
    ) {
        let Value::Object(patch) = value else { return };
        match shape {
            Shape::Record(fields) => self.check_record(patch, base, fields, path),
            Shape::Map(kind, shape) => self.check_map(patch, base, kind, shape, path),
            _ => {}
        }
    }

    fn check_map(
        &mut self,
        patch: &Object<'_>,
        base: Option<&Object<'_>>,
        kind: &str,
        shape: &Shape,
        path: &str,
    ) {
        for property in &patch.properties {
            let name = property.name.as_str();
            let Some(below) = base.and_then(|it| it.get_object(name)) else {
                let known = base.into_iter().flat_map(|it| &it.properties);
                let mend = match closest_match(name, known.map(|it| it.name.as_str())) {
                    Some(near) => format!("write {near:?}, or add it in the base file"),
                    None => "add it in the base file".to_owned(),
                };
                self.report(property, format!("an overlay must not add the {kind} {name:?}"), mend);
                continue;
            };
            if matches!(property.value, Value::NullKeyword(_)) {
                let message = format!("an overlay must not remove the {kind} {name:?}");
                self.report(property, message, "remove it in the base file".to_owned());
                continue;
            }
            self.check_value(&property.value, Some(below), shape, &join(path, name));
        }
    }
}
