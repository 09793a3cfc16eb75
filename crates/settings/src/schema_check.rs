//! Compares a file with its schema and reports every difference.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonc_parser::ast::{Array, Object, ObjectProp, StringLit, Value};
use types::PoolName;

use crate::Fault;
use crate::shape::{Bounds, Field, Shape};
use crate::source::{Source, describe, start};

/// The number of hexadecimal digits of a SHA-256.
const SHA256_HEX_DIGITS: usize = 64;

/// Whether a file is complete by itself.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// A complete file: required keys must be present, and null is not allowed.
    Complete,
    /// A JSON merge patch (RFC 7396): all keys are optional, and null resets an optional key to its
    /// default.
    Patch,
}

/// Returns a fault for each difference between a file and the keys of its outermost object.
pub(crate) fn check_schema(source: &Source<'_>, fields: &[Field], kind: FileKind) -> Vec<Fault> {
    let mut checker = SchemaChecker { source, kind, faults: Vec::new() };
    checker.check_record(&source.root, fields, "");
    checker.faults
}

struct SchemaChecker<'s, 'a> {
    source: &'s Source<'a>,
    kind: FileKind,
    faults: Vec<Fault>,
}

impl SchemaChecker<'_, '_> {
    fn report(&mut self, at: usize, message: String, mend: impl Into<String>) {
        self.faults.push(self.source.fault(at, message, mend));
    }

    fn check_record(&mut self, object: &Object<'_>, fields: &[Field], path: &str) {
        self.check_repeated_keys(object, path);
        for property in &object.properties {
            let name = property.name.as_str();
            match fields.iter().find(|it| it.name == name) {
                Some(field) => self.check_field(property, field, path),
                None => self.report_unknown_key(property, fields, path),
            }
        }
        if self.kind == FileKind::Patch {
            return;
        }
        for field in fields.iter().filter(|it| it.required && object.get(it.name).is_none()) {
            let message = format!("{:?} is missing{}", field.name, location(path));
            self.report(object.range.start, message, format!("add {:?}", field.name));
        }
    }

    fn check_field(&mut self, property: &ObjectProp<'_>, field: &Field, path: &str) {
        let path = join(path, field.name);
        let removal = matches!(property.value, Value::NullKeyword(_));
        if removal && self.kind == FileKind::Patch && !field.required {
            return;
        }
        self.check_value(&property.value, &field.shape, &path);
    }

    fn report_unknown_key(&mut self, property: &ObjectProp<'_>, fields: &[Field], path: &str) {
        let name = property.name.as_str();
        let names: Vec<&str> = fields.iter().map(|it| it.name).collect();
        let mend = match closest_match(name, names.iter().copied()) {
            Some(near) => format!("write {near:?}"),
            None => format!("remove it; known here: {}", names.join(", ")),
        };
        let message = format!("unknown key {name:?}{}", location(path));
        self.report(property.range.start, message, mend);
    }

    fn check_repeated_keys(&mut self, object: &Object<'_>, path: &str) {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                let message = format!("{name:?} stands twice{}", location(path));
                self.report(property.range.start, message, "keep one of them");
            }
        }
    }

    fn check_value(&mut self, value: &Value<'_>, shape: &Shape, path: &str) {
        match (shape, value) {
            (Shape::Record(fields), Value::Object(it)) => self.check_record(it, fields, path),
            (Shape::Map(kind, shape), Value::Object(it)) => self.check_map(it, kind, shape, path),
            (Shape::List(shape), Value::Array(it)) => self.check_list(it, shape, path),
            (Shape::Bool, Value::BooleanLit(_)) => {}
            (Shape::Integer(bounds), Value::NumberLit(it)) => {
                let number: Option<u64> = it.value.parse().ok();
                self.check_range(value, number, bounds, path);
            }
            (Shape::Number(bounds), Value::NumberLit(it)) => {
                let number: Option<f64> = it.value.parse().ok();
                self.check_range(value, number, bounds, path);
            }
            (_, Value::StringLit(it)) => self.check_text(it, shape, path),
            _ => self.report_mismatch(value, shape, path),
        }
    }

    fn check_map(&mut self, object: &Object<'_>, kind: &str, shape: &Shape, path: &str) {
        self.check_repeated_keys(object, path);
        for property in &object.properties {
            let name = property.name.as_str();
            if !is_name(name) {
                let message = format!("{name:?} is not a valid {kind} name");
                self.report(property.range.start, message, NAME_MEND);
            }
            // The overlay check reports the removal of an entry.
            if self.kind == FileKind::Patch && matches!(property.value, Value::NullKeyword(_)) {
                continue;
            }
            self.check_value(&property.value, shape, &join(path, name));
        }
    }

    fn check_list(&mut self, array: &Array<'_>, shape: &Shape, path: &str) {
        for (i, element) in array.elements.iter().enumerate() {
            self.check_value(element, shape, &format!("{path}[{i}]"));
        }
    }

    fn check_range<T>(
        &mut self,
        value: &Value<'_>,
        number: Option<T>,
        bounds: &Bounds<T>,
        path: &str,
    ) where
        T: PartialOrd + std::fmt::Display + Copy,
    {
        let Bounds { unit, min, max } = bounds;
        if number.is_some_and(|it| it >= *min && it <= *max) {
            return;
        }
        let what = if number.is_some() { "is out of range" } else { "is not allowed" };
        let message = format!("{path}: {} {what}", describe(value));
        self.report(start(value), message, format!("write a number from {min} to {max} {unit}"));
    }

    fn check_text(&mut self, literal: &StringLit<'_>, shape: &Shape, path: &str) {
        let text = literal.value.as_ref();
        let fits = match shape {
            Shape::Text(min) => text.len() >= *min,
            Shape::Name => is_name(text),
            Shape::Choice(words) => words.contains(&text),
            Shape::Address(any_port) => is_address(text, *any_port),
            Shape::Hash => is_hash(text),
            Shape::UrlPath => is_url_path(text),
            _ => false,
        };
        if !fits {
            self.report_mismatch(&Value::StringLit(literal.clone()), shape, path);
        }
    }

    fn report_mismatch(&mut self, value: &Value<'_>, shape: &Shape, path: &str) {
        // The value may be a secret, or a secret written in place of its hash, and must not reach
        // a terminal or a log.
        let found = match (shape, value) {
            (Shape::Hash | Shape::Text(2..), Value::StringLit(it)) => {
                format!("a text of {} bytes", it.value.len())
            }
            _ => describe(value),
        };
        let mut mend = mend_for(shape);
        if let (Shape::Choice(words), Value::StringLit(it)) = (shape, value)
            && let Some(near) = closest_match(&it.value, words.iter().copied())
        {
            mend = format!("write {near:?}");
        }
        self.report(start(value), format!("{path}: {found} is not allowed"), mend);
    }
}

const NAME_MEND: &str = "use letters, digits, '-', '_' and '.', at most 64";

/// Returns the mend for a value that does not have the shape.
fn mend_for(shape: &Shape) -> String {
    match shape {
        Shape::Text(min @ 2..) => format!("write a text of at least {min} bytes"),
        Shape::Text(_) => "write a text that is not empty".to_owned(),
        Shape::Name => format!("write a name: {NAME_MEND}"),
        Shape::Integer(it) => {
            format!("write a whole number from {} to {} {}", it.min, it.max, it.unit)
        }
        Shape::Number(it) => format!("write a number from {} to {} {}", it.min, it.max, it.unit),
        Shape::Bool => "write true or false".to_owned(),
        Shape::Choice(words) => format!("write one of {}", words.join(", ")),
        Shape::Address(_) => "write an IP number and a port, such as 10.0.0.7:8000".to_owned(),
        Shape::Hash => "write the SHA-256 as 64 lower case hexadecimal digits".to_owned(),
        Shape::UrlPath => "write a path that begins with /, without blanks".to_owned(),
        Shape::List(_) => "write a list in [ and ]".to_owned(),
        Shape::Map(..) | Shape::Record(_) => "write an object in { and }".to_owned(),
    }
}

/// Returns the candidate that is most similar to a mistyped word, if one is similar enough.
pub(crate) fn closest_match<'c>(
    word: &str,
    candidates: impl Iterator<Item = &'c str>,
) -> Option<&'c str> {
    const MIN_SIMILARITY: f64 = 0.75;
    candidates
        .map(|it| (strsim::jaro_winkler(word, it), it))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, it)| it)
}

/// Appends a key to the path of its object.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn location(path: &str) -> String {
    if path.is_empty() { String::new() } else { format!(" in {path}") }
}

fn is_name(text: &str) -> bool {
    // All types of names follow the same rule.
    text.parse::<PoolName>().is_ok()
}

fn is_address(text: &str, any_port: bool) -> bool {
    text.parse::<SocketAddr>().is_ok_and(|it| any_port || it.port() != 0)
}

fn is_hash(text: &str) -> bool {
    let digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(digit)
}

fn is_url_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|c| c.is_ascii_graphic())
}
