//! Reads, checks and resolves settings: the settings file of a node, and the base file of the
//! service with its overlays by site.

mod document;
mod fault;
mod node;
mod node_rules;
mod nodes;
mod overlay;
mod reference;
mod rules;
mod schema;
mod schema_check;
mod service;
mod shape;
mod source;

pub use document::{DocumentFiles, read_document};
pub use fault::{Fault, Faults};
pub use node::{ControlSettings, EntrySettings, Member, NodeSettings, Operator};
pub use nodes::check_nodes;
pub use reference::{Key, node_keys, service_keys};
pub use service::{check, resolve, warnings};
