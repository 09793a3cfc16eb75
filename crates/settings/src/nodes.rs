//! Consistency rules between the settings files of several nodes.

use std::path::PathBuf;

use crate::document::read_file;
use crate::source::Source;
use crate::{Fault, Faults, NodeSettings};

/// The file of one node, without faults when looked at alone.
struct NodeFile<'a> {
    source: Source<'a>,
    node: NodeSettings,
}

/// Checks the settings files of several nodes, each by itself and against the others.
///
/// Two VMs with the same name would be taken for two incarnations of one entry, and each would end
/// the claims of the other. A different secret or list of members would show only as refused
/// connections, long after the start.
///
/// # Errors
/// Returns all faults, each with its line.
pub fn check_nodes(paths: &[PathBuf]) -> Result<(), Faults> {
    let mut faults = Faults::default();
    let mut texts = Vec::new();
    for path in paths {
        match read_file(path) {
            Ok(text) => texts.push((path.display().to_string(), text)),
            Err(e) => faults.0.push(e),
        }
    }
    let mut files: Vec<NodeFile<'_>> = Vec::new();
    for (name, text) in &texts {
        match parse_node(name, text) {
            Ok(file) => files.push(file),
            Err(e) => faults.0.extend(e.0),
        }
    }
    for (i, file) in files.iter().enumerate() {
        let earlier = &files[..i];
        faults.0.extend(earlier.iter().filter_map(|it| same_vm(it, file)));
        let Some(first) = earlier.first() else { continue };
        faults.0.extend(mismatches(first, file));
    }
    faults.into_result()
}

fn parse_node<'a>(name: &'a str, text: &'a str) -> Result<NodeFile<'a>, Faults> {
    let node = NodeSettings::parse(name, text)?;
    Ok(NodeFile { source: Source::parse(name, text)?, node })
}

impl NodeFile<'_> {
    fn fault(&self, key: &str, message: String, mend: &str) -> Fault {
        let at = self.source.root.get(key).map_or(0, |it| it.range.start);
        self.source.fault(at, message, mend)
    }
}

fn same_vm(one: &NodeFile<'_>, other: &NodeFile<'_>) -> Option<Fault> {
    let vm = &other.node.vm;
    let message = || format!("{} is also the VM of {}", vm, one.source.file());
    (one.node.vm == *vm).then(|| other.fault("vm", message(), "give each VM its own name"))
}

fn mismatches(first: &NodeFile<'_>, other: &NodeFile<'_>) -> Vec<Fault> {
    let (one, two) = (&first.node, &other.node);
    let pairs = [("secret", one.secret == two.secret), ("members", one.members == two.members)];
    let mismatches = pairs.into_iter().filter(|(_, same)| !same);
    let fault = |(key, _): (&str, bool)| {
        let message = format!("{key:?} differs from {}", first.source.file());
        other.fault(key, message, "write the same on every VM")
    };
    mismatches.map(fault).collect()
}
