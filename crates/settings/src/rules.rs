//! Consistency rules between the parts of a base file: references, unique names, valid pipelines.
//!
//! The rules read the syntax tree instead of the typed service, so that one value of the wrong type
//! does not hide the other faults.

use std::collections::BTreeMap;

use jsonc_parser::ast::{Object, ObjectProp, Value};

use crate::Fault;
use crate::schema_check::closest_match;
use crate::source::{Source, elements, entries, text};

/// The maximum number of stages of a pipeline.
const MAX_STAGES: usize = 6;
/// The number of stages below which a pipeline causes a warning.
const MIN_USUAL_STAGES: usize = 3;
/// The expected time, in milliseconds, of a stage without `expected`.
const DEFAULT_STAGE_MS: u64 = 50;

/// Returns the faults of a base file that its schema does not cover.
pub(crate) fn check_rules(source: &Source<'_>) -> Vec<Fault> {
    let mut checker = RuleChecker { source, faults: Vec::new() };
    checker.check_pools();
    checker.check_pipelines();
    checker.check_customers();
    checker.faults
}

/// Returns a warning for each thing that is allowed but unusual.
pub(crate) fn collect_warnings(source: &Source<'_>) -> Vec<Fault> {
    let mut checker = RuleChecker { source, faults: Vec::new() };
    checker.warn_unusual_pipelines();
    checker.warn_shared_addresses();
    checker.warn_unused_pools();
    checker.faults
}

struct RuleChecker<'s, 'a> {
    source: &'s Source<'a>,
    faults: Vec<Fault>,
}

impl<'s, 'a> RuleChecker<'s, 'a> {
    fn report(&mut self, at: usize, message: String, mend: impl Into<String>) {
        self.faults.push(self.source.fault(at, message, mend));
    }

    fn section(&self, name: &str) -> &'s [ObjectProp<'a>] {
        entries(&self.source.root, name)
    }

    /// Reports a fault unless the section `section` has an entry `name`.
    fn check_reference(&mut self, owner: &str, section: &str, kind: &str, name: &str, at: usize) {
        let known = self.section(section);
        if known.iter().any(|it| it.name.as_str() == name) {
            return;
        }
        let mend = match closest_match(name, known.iter().map(|it| it.name.as_str())) {
            Some(near) => format!("write {near:?}, or add {name:?} to {section:?}"),
            None => format!("add {name:?} to {section:?}"),
        };
        self.report(at, format!("{owner}: there is no {kind} {name:?}"), mend);
    }

    fn check_pools(&mut self) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (pool, body, at) in objects(self.section("pools")) {
            let upstreams = entries(body, "upstreams");
            if body.get_object("upstreams").is_some() && upstreams.is_empty() {
                let message = format!("pools.{pool}: there is no upstream");
                self.report(at, message, "add an upstream or remove the pool");
            }
            let kind = text(body, "kind").map(|it| it.0);
            for (name, upstream, at) in objects(upstreams) {
                if let Some(other) = owners.insert(name, pool) {
                    let message =
                        format!("the upstream {name:?} stands in the pools {other:?} and {pool:?}");
                    self.report(at, message, "give each upstream its own name");
                }
                self.check_upstream(&format!("pools.{pool}.upstreams.{name}"), upstream, kind);
            }
        }
    }

    fn check_upstream(&mut self, owner: &str, upstream: &Object<'_>, kind: Option<&str>) {
        if let Some((site, at)) = text(upstream, "site") {
            self.check_reference(owner, "sites", "site", site, at);
        }
        if let Some((model, at)) = text(upstream, "model") {
            self.check_reference(owner, "models", "model", model, at);
        }
        if kind == Some("generate") || kind.is_none() {
            return;
        }
        for key in ["model", "role"] {
            if let Some((_, at)) = text(upstream, key) {
                let message = format!("{owner}: only upstreams of kind \"generate\" have a {key}");
                self.report(at, message, "remove it");
            }
        }
    }

    fn check_pipelines(&mut self) {
        for (name, body, at) in objects(self.section("pipelines")) {
            let stages = elements(body, "stages");
            if body.get_array("stages").is_some() && !(1..=MAX_STAGES).contains(&stages.len()) {
                let message = format!("pipelines.{name}: it has {} stages", stages.len());
                self.report(at, message, format!("give it 1 to {MAX_STAGES} stages"));
            }
            self.check_stages(name, stages);
        }
    }

    fn check_stages(&mut self, pipeline: &str, stages: &[Value<'_>]) {
        let mut names = Vec::new();
        let mut unrepeatable: Option<String> = None;
        for (i, stage) in stages.iter().enumerate() {
            let Value::Object(stage) = stage else { continue };
            let owner = format!("pipelines.{pipeline}.stages[{i}]");
            if let Some((name, at)) = text(stage, "name") {
                if names.contains(&name) {
                    let message = format!("{owner}: the stage name {name:?} stands twice");
                    self.report(at, message, "give each stage of a pipeline its own name");
                }
                names.push(name);
            }
            if stage.get_boolean("repeatable").is_some_and(|it| !it.value) {
                let label = text(stage, "name").map_or(owner.as_str(), |it| it.0).to_owned();
                if let Some(other) = &unrepeatable {
                    let message = format!(
                        "pipelines.{pipeline}: both {other:?} and {label:?} are not repeatable"
                    );
                    self.report(stage.range.start, message, "leave one; split the pipeline");
                }
                unrepeatable = unrepeatable.or(Some(label));
            }
            self.check_stage(&owner, stage);
        }
    }

    fn check_stage(&mut self, owner: &str, stage: &Object<'_>) {
        let Some((pool, at)) = text(stage, "pool") else { return };
        self.check_reference(owner, "pools", "pool", pool, at);
        let body = self.section("pools").iter().find(|it| it.name.as_str() == pool);
        let kind = body.and_then(|it| it.value.as_object()).and_then(|it| text(it, "kind"));
        let Some((kind, _)) = kind else { return };
        let path = text(stage, "path");
        if kind == "service" && path.is_none() {
            let message = format!("{owner}: a stage of a plain service needs a path");
            self.report(stage.range.start, message, "add \"path\", such as \"/v1/book\"");
        }
        if let (Some((_, at)), true) = (path, kind != "service") {
            let message = format!("{owner}: only stages of plain services have a path");
            self.report(at, message, "remove it");
        }
        if let (Some(tokens), true) = (stage.get_number("tokens"), kind != "generate") {
            let message = format!("{owner}: only stages of engines have tokens");
            self.report(tokens.range.start, message, "remove it");
        }
    }

    fn check_customers(&mut self) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, body, at) in objects(self.section("customers")) {
            let owner = format!("customers.{name}");
            if body.get_array("keys").is_some_and(|it| it.elements.is_empty()) {
                let message = format!("{owner}: there is no key");
                self.report(at, message, "add the SHA-256 of a bearer key to \"keys\"");
            }
            for key in elements(body, "keys").iter().filter_map(Value::as_string_lit) {
                if let Some(other) = owners.insert(key.value.as_ref(), name) {
                    let message = format!("{owner}: the key stands also with {other:?}");
                    self.report(key.range.start, message, "draw a new key for one of them");
                }
            }
            for pipeline in elements(body, "pipelines").iter().filter_map(Value::as_string_lit) {
                let at = pipeline.range.start;
                self.check_reference(&owner, "pipelines", "pipeline", &pipeline.value, at);
            }
        }
    }

    fn warn_unusual_pipelines(&mut self) {
        for (name, body, at) in objects(self.section("pipelines")) {
            let stages = elements(body, "stages");
            if (1..MIN_USUAL_STAGES).contains(&stages.len()) {
                let message = format!("pipelines.{name}: it has {} stages", stages.len());
                self.report(at, message, "3 to 6 are usual; keep it if this is meant");
            }
            let expected: u64 = stages.iter().filter_map(Value::as_object).map(expected_ms).sum();
            let deadline = body.get_number("deadline").and_then(|it| it.value.parse::<u64>().ok());
            if deadline.is_some_and(|it| it < expected) {
                let message =
                    format!("pipelines.{name}: its stages expect {expected} ms, over its deadline");
                self.report(at, message, "raise the deadline or correct \"expected\"");
            }
        }
    }

    fn warn_shared_addresses(&mut self) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (_, pool, _) in objects(self.section("pools")) {
            for (name, upstream, _) in objects(entries(pool, "upstreams")) {
                let Some((address, at)) = text(upstream, "address") else { continue };
                if let Some(other) = owners.insert(address, name) {
                    let message =
                        format!("the upstreams {other:?} and {name:?} have the same address");
                    self.report(at, message, "keep it only if one process serves both");
                }
            }
        }
    }

    fn warn_unused_pools(&mut self) {
        let stages = self.section("pipelines").iter().filter_map(|it| it.value.as_object());
        let stages = stages.flat_map(|it| elements(it, "stages"));
        let used: Vec<&str> = stages
            .filter_map(|it| it.as_object())
            .filter_map(|it| text(it, "pool"))
            .map(|it| it.0)
            .collect();
        for (name, _, at) in objects(self.section("pools")) {
            if !used.contains(&name) {
                let message = format!("pools.{name}: no pipeline uses it");
                self.report(at, message, "remove it if this is not meant");
            }
        }
    }
}

/// Returns the entries whose values are objects, with their names and positions.
fn objects<'s, 'a>(
    entries: &'s [ObjectProp<'a>],
) -> impl Iterator<Item = (&'s str, &'s Object<'a>, usize)> {
    entries.iter().filter_map(|it| {
        let at = it.range.start;
        it.value.as_object().map(|body| (it.name.as_str(), body, at))
    })
}

fn expected_ms(stage: &Object<'_>) -> u64 {
    let stated = stage.get_number("expected").and_then(|it| it.value.parse().ok());
    stated.unwrap_or(DEFAULT_STAGE_MS).min(u64::from(u32::MAX))
}
