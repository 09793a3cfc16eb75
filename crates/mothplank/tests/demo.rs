//! `mothplank demo`, the first command that the README names.

mod env;

use std::process::Command;

use serde_json::Value;

/// Guards against the first command of the README, `cargo run --release -- demo`, failing with
/// `cargo run could not determine which binary to run` after a second program was added to a
/// workspace that does not set its default members. The other tests run the binary by its path and
/// cannot notice this.
#[test]
fn a_newcomers_first_command_names_one_program() {
    let page = include_str!("../../../README.md");
    let command = page.lines().find(|it| it.starts_with("cargo run")).expect("a first command");
    assert_eq!(command, "cargo run --release -- demo");
    let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml");
    let cargo = std::env::var("CARGO").expect("cargo runs the tests");
    let read = ["metadata", "--no-deps", "--offline", "--format-version", "1", "--manifest-path"];
    let output = Command::new(cargo).args(read).arg(manifest).output().unwrap();
    let metadata: Value = serde_json::from_slice(&output.stdout).unwrap();
    let meant = metadata["workspace_default_members"].as_array().unwrap();
    let packages = metadata["packages"].as_array().unwrap().iter();
    let targets = packages
        .filter(|it| meant.contains(&it["id"]))
        .flat_map(|it| it["targets"].as_array().unwrap());
    let programs: Vec<&str> =
        targets.filter(|it| it["kind"][0] == "bin").filter_map(|it| it["name"].as_str()).collect();
    assert_eq!(programs, ["mothplank"]);
}

#[test]
fn the_demo_answers_through_four_stages_and_exits_with_0() {
    let output = env::command(&["demo", "--output", "json"]).output().unwrap();
    let notes = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{notes}");
    let answer: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(answer["outcome"], "complete", "{answer}");
    let stages = answer["stages"].as_array().unwrap();
    let names: Vec<&str> = stages.iter().filter_map(|it| it["stage"].as_str()).collect();
    assert_eq!(names, ["encode", "retrieve", "rerank", "generate"], "{answer}");
    assert!(stages.iter().all(|it| it["cost"].as_f64() > Some(0.0)), "{answer}");
}
