//! Consistency rules between the parts of a node's settings file.

use jsonc_parser::ast::{Object, Value};

use crate::Fault;
use crate::source::{Source, elements, start, text};

/// Returns the faults of a node's file that its schema does not cover.
pub(crate) fn check_node(source: &Source<'_>) -> Vec<Fault> {
    let mut checker = NodeChecker { source, faults: Vec::new() };
    checker.check_members();
    checker.check_operators();
    checker.faults
}

struct NodeChecker<'s, 'a> {
    source: &'s Source<'a>,
    faults: Vec<Fault>,
}

impl NodeChecker<'_, '_> {
    fn report(&mut self, at: usize, message: String, mend: impl Into<String>) {
        self.faults.push(self.source.fault(at, message, mend));
    }

    fn check_members(&mut self) {
        let root = &self.source.root;
        if root.get_array("members").is_some_and(|it| it.elements.is_empty()) {
            let message = "there is no control member".to_owned();
            self.report(root.range.start, message, "list every control member in \"members\"");
        }
        let members: Vec<&Object<'_>> =
            elements(root, "members").iter().filter_map(Value::as_object).collect();
        for key in ["vm", "wire", "http"] {
            let mut seen = Vec::new();
            for (value, at) in members.iter().filter_map(|it| text(it, key)) {
                if seen.contains(&value) {
                    let message = format!("two members have the same {key} {value:?}");
                    self.report(at, message, "correct one of them");
                }
                seen.push(value);
            }
        }
        let Some((vm, at)) = text(root, "vm") else { return };
        let listed = members.iter().filter_map(|it| text(it, "vm")).any(|it| it.0 == vm);
        if root.get_object("control").is_some() && !listed {
            let message = format!("\"control\" runs here, but {vm:?} is not among the members");
            self.report(at, message, "add it to \"members\" or remove \"control\"");
        }
    }

    fn check_operators(&mut self) {
        let Some(control) = self.source.root.get_object("control") else { return };
        if control.get_array("operators").is_some_and(|it| it.elements.is_empty()) {
            let message = "control.operators: there is no operator".to_owned();
            self.report(control.range.start, message, "add an operator");
        }
        for key in ["name", "token"] {
            let mut seen = Vec::new();
            let operators = elements(control, "operators").iter().filter_map(Value::as_object);
            for value in operators.filter_map(|it| it.get_string(key)) {
                if seen.contains(&value.value.as_ref()) {
                    let message = format!("two operators have the same {key}");
                    self.report(start(&Value::StringLit(value.clone())), message, "correct one");
                }
                seen.push(value.value.as_ref());
            }
        }
    }
}
