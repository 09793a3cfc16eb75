//! Lists all settings keys, for the test that keeps the reference in the operating page complete.

use crate::schema::{NODE, SERVICE};
use crate::shape::{Field, Shape};

/// One key of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Its path; `*` stands for any name, `[]` for the elements of a list.
    pub path: String,
    /// Whether it is required.
    pub required: bool,
    /// Whether a site's overlay may change it.
    pub overridable: bool,
}

/// Returns the keys of the service's base file.
pub fn service_keys() -> Vec<Key> {
    list(SERVICE)
}

/// Returns the keys of a node's settings file.
pub fn node_keys() -> Vec<Key> {
    list(NODE)
}

fn list(fields: &[Field]) -> Vec<Key> {
    let mut keys = Vec::new();
    collect(fields, "", &mut keys);
    keys
}

fn collect(fields: &[Field], prefix: &str, keys: &mut Vec<Key>) {
    for field in fields {
        let path = format!("{prefix}{}", field.name);
        descend(&field.shape, &path, keys);
        if is_leaf(&field.shape) {
            keys.push(Key { path, required: field.required, overridable: field.overridable });
        }
    }
}

fn descend(shape: &Shape, path: &str, keys: &mut Vec<Key>) {
    match shape {
        Shape::Record(fields) => collect(fields, &format!("{path}."), keys),
        Shape::Map(_, inner) => descend(inner, &format!("{path}.*"), keys),
        Shape::List(inner) => descend(inner, &format!("{path}[]"), keys),
        _ => {}
    }
}

/// Returns whether a value of this shape contains no further keys.
fn is_leaf(shape: &Shape) -> bool {
    match shape {
        Shape::Record(_) => false,
        Shape::Map(_, inner) | Shape::List(inner) => is_leaf(inner),
        _ => true,
    }
}
