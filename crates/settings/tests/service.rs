//! Tests of the service's document: the faults that the check finds, and the resolved service.

use settings::{Faults, check, resolve};
use types::{Document, Millis, SiteName};

const GOOD: &str = include_str!("files/good.jsonc");
const EIGHT: &str = include_str!("files/eight.jsonc");

fn document(base: &str, overlays: &[(&str, &str)]) -> Document {
    let overlays = overlays.iter().map(|(site, text)| (site.parse().unwrap(), text.to_string()));
    Document { base: base.to_owned(), overlays: overlays.collect() }
}

fn faults(document: &Document) -> Faults {
    check(document).err().unwrap_or_default()
}

#[test]
fn a_good_document_resolves_for_each_site() {
    let patch = r#"{ "policy": { "freshness": 2000 }, "pools": { "engines": { "upstreams": {
        "gpu-2": { "capacity": 4, "reports": true } } } } }"#;
    let document = document(GOOD, &[("south", patch)]);
    check(&document).unwrap();
    let [north, south] = ["north", "south"].map(|it| {
        let site: SiteName = it.parse().unwrap();
        resolve(&document, &site).unwrap()
    });
    let gpu = "gpu-2".parse().unwrap();
    assert_eq!(north.policy.freshness, Millis(4_000));
    assert_eq!(south.policy.freshness, Millis(2_000));
    assert_eq!(north.upstream(&gpu).unwrap().1.capacity, 16);
    assert_eq!(south.upstream(&gpu).unwrap().1.capacity, 4);
    assert_eq!(north.customers, south.customers);
}

#[test]
fn eight_faults_are_all_named_with_their_lines() {
    insta::assert_snapshot!(faults(&document(EIGHT, &[])));
}

struct Overlay {
    name: &'static str,
    site: &'static str,
    text: &'static str,
    line: usize,
    message: &'static str,
}

#[test]
fn an_overlay_changes_only_what_it_may() {
    let cases = [
        Overlay {
            name: "a new pool",
            site: "south",
            text: "{\n\"pools\": {\n\"extra\": {} } }",
            line: 3,
            message: "an overlay must not add the pool \"extra\"",
        },
        Overlay {
            name: "a new upstream",
            site: "south",
            text: r#"{ "pools": { "engines": { "upstreams": { "gpu-3": { "capacity": 1 } } } } }"#,
            line: 1,
            message: "an overlay must not add the upstream \"gpu-3\"",
        },
        Overlay {
            name: "a removed upstream",
            site: "south",
            text: r#"{ "pools": { "engines": { "upstreams": { "gpu-2": null } } } }"#,
            line: 1,
            message: "an overlay must not remove the upstream \"gpu-2\"",
        },
        Overlay {
            name: "a customer's keys",
            site: "south",
            text: r#"{ "customers": { "yards": { "keys": [] } } }"#,
            line: 1,
            message: "an overlay must not change customers.yards.keys",
        },
        Overlay {
            name: "the stages",
            site: "south",
            text: r#"{ "pipelines": { "appraise": { "stages": [] } } }"#,
            line: 1,
            message: "an overlay must not change pipelines.appraise.stages",
        },
        Overlay {
            name: "the sites",
            site: "south",
            text: "{\n\n\"sites\": {} }",
            line: 3,
            message: "an overlay must not change sites",
        },
        Overlay {
            name: "a required value removed",
            site: "south",
            text: r#"{ "pipelines": { "appraise": { "deadline": null } } }"#,
            line: 1,
            message: "pipelines.appraise.deadline: null is not allowed",
        },
        Overlay {
            name: "an unknown site",
            site: "west",
            text: "{}",
            line: 1,
            message: "this overlay is for the site \"west\", which the base lacks",
        },
        Overlay {
            name: "a syntax error",
            site: "south",
            text: "{\n\"policy\": {,} }",
            line: 2,
            message: "syntax error: Unexpected token in object",
        },
    ];
    for case in cases {
        let found = faults(&document(GOOD, &[(case.site, case.text)]));
        let named = found.0.iter().any(|it| {
            it.file == case.site && it.line == case.line && it.message.contains(case.message)
        });
        assert!(named, "{}: {found}", case.name);
        assert_eq!(found.0.len(), 1, "{}: {found}", case.name);
    }
}

struct Edit {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    message: &'static str,
}

#[test]
fn each_kind_of_fault_is_found() {
    let cases = [
        Edit {
            name: "a host name",
            from: "10.0.0.11:8000",
            to: "encoder:8000",
            message: "the text \"encoder:8000\" is not allowed",
        },
        Edit {
            name: "no capacity",
            from: "\"capacity\": 8",
            to: "\"capacity\": 0",
            message: "out of range",
        },
        Edit {
            name: "a fraction",
            from: "7000",
            to: "7.5",
            message: "the number 7.5 is not allowed",
        },
        Edit { name: "a deadline of 0", from: "7000", to: "0", message: "out of range" },
        Edit { name: "a deadline too long", from: "7000", to: "7000000", message: "out of range" },
        Edit {
            name: "a key twice",
            from: "\"priority\": 0",
            to: "\"priority\": 0, \"priority\": 1",
            message: "\"priority\" stands twice",
        },
        Edit {
            name: "an unknown model",
            from: "\"model\": \"appraiser\", \"role\"",
            to: "\"model\": \"apraiser\", \"role\"",
            message: "there is no model \"apraiser\"",
        },
        Edit {
            name: "an unknown pipeline",
            from: "[\"appraise\"]",
            to: "[\"praise\"]",
            message: "there is no pipeline \"praise\"",
        },
        Edit {
            name: "an upstream in two pools",
            from: "\"stock-1\"",
            to: "\"enc-1\"",
            message: "the upstream \"enc-1\" stands in the pools",
        },
        Edit {
            name: "a model on a service",
            from: "\"vm\": \"vm-stock-1\",",
            to: "\"vm\": \"vm-stock-1\", \"model\": \"appraiser\",",
            message: "only upstreams of kind \"generate\" have a model",
        },
        Edit {
            name: "a service without a path",
            from: "\"path\": \"/v1/note\",",
            to: "",
            message: "needs a path",
        },
        Edit {
            name: "a mistyped choice",
            from: "\"stale\": \"refuse\"",
            to: "\"stale\": \"refuses\"",
            message: "the text \"refuses\" is not allowed; write \"refuse\"",
        },
        Edit {
            name: "no stages",
            from: "{ \"name\": \"encode\", \"pool\": \"encoders\", \"expected\": 20 },\n        \
                { \"name\": \"draft\", \"pool\": \"engines\", \"tokens\": 256 },\n        \
                { \"name\": \"note\", \"pool\": \"stock\", \"path\": \"/v1/note\", \"repeatable\": false },",
            to: "",
            message: "it has 0 stages",
        },
        Edit {
            name: "a key that is not a hash",
            from: "9f86d081",
            to: "secret",
            message: "a text of 62 bytes is not allowed",
        },
    ];
    for case in cases {
        assert!(GOOD.contains(case.from), "{}", case.name);
        let found = faults(&document(&GOOD.replace(case.from, case.to), &[]));
        let named = found.0.iter().any(|it| format!("{it}").contains(case.message));
        assert!(named, "{}: {found}", case.name);
    }
}

#[test]
fn a_key_of_two_customers_is_found_without_showing_it() {
    let key = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    let other = format!(
        r#""customers": {{ "other": {{ "keys": ["{key}"], "priority": 1, "pipelines": [] }},"#
    );
    let found = faults(&document(&GOOD.replace("\"customers\": {", &other), &[]));
    assert!(found.to_string().contains("the key stands also with \"other\""), "{found}");
    assert!(!found.to_string().contains(key), "{found}");
}

/// Guards against an entry that refuses all requests after an upgrade while the other entries
/// serve: a newer binary with a stricter rule restarts and must still resolve the document that was
/// accepted before. It would fail if `resolve` applied the rules that only acceptance should apply.
#[test]
fn what_was_accepted_resolves_under_stricter_rules() {
    let base = GOOD.replace("7000", "7000000").replace("\"pool\": \"stock\"", "\"pool\": \"gone\"");
    let document = document(&base, &[]);
    assert_eq!(faults(&document).0.len(), 2, "these rules stand for stricter ones");
    let service = resolve(&document, &"north".parse().unwrap()).unwrap();
    assert_eq!(service.pipelines.values().next().unwrap().deadline, Millis(7_000_000));
}

#[test]
fn faults_of_all_files_come_together() {
    let found = faults(&document("{ \"sites\": ", &[("north", "[1]"), ("south", "{ \"x\": 1 }")]));
    let files: Vec<&str> = found.0.iter().map(|it| it.file.as_str()).collect();
    assert_eq!(files, ["base", "north", "south"], "{found}");
}

#[test]
fn unusual_settings_cause_only_warnings() {
    let base = GOOD.replace("\"expected\": 20", "\"expected\": 9000");
    let base = base.replace("10.0.0.31:8000", "10.0.0.11:8000");
    let document = document(&base, &[]);
    check(&document).unwrap();
    let warnings: Vec<String> =
        settings::warnings(&document).into_iter().map(|it| it.to_string()).collect();
    assert_eq!(warnings.len(), 2, "{warnings:?}");
}
