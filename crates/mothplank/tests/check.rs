//! `mothplank check`: reports every fault with its line, and exits with 3 if there is one.

use std::process::Output;

mod env;

const EIGHT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../settings/tests/files/eight.jsonc");
const GOOD: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../settings/tests/files/good.jsonc");

fn check(args: &[&str]) -> Output {
    env::command(&[&["check"], args].concat()).output().unwrap()
}

#[test]
fn eight_faults_are_named_with_file_line_and_mend() {
    let output = check(&[EIGHT, "--output", "json"]);
    assert_eq!(output.status.code(), Some(3));
    let found: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let faults = found["faults"].as_array().unwrap();
    let lines: Vec<u64> = faults.iter().filter_map(|it| it["line"].as_u64()).collect();
    assert_eq!(lines, [5, 10, 11, 11, 23, 25, 27, 32], "{found}");
    for fault in faults {
        assert_eq!(fault["file"], EIGHT, "{fault}");
        assert!(!fault["mend"].as_str().unwrap().is_empty(), "{fault}");
    }
    let text = String::from_utf8(check(&[EIGHT]).stdout).unwrap();
    assert!(text.contains("eight.jsonc:23: pipelines.appraise.deadline"), "{text}");
    assert!(text.ends_with("8 faults\n"), "{text}");
}

#[test]
fn a_file_without_faults_exits_with_0() {
    assert_eq!(check(&[GOOD]).status.code(), Some(0));
}

#[test]
fn overlays_are_checked_against_their_base() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
    write("south.jsonc", "{\n  \"pools\": { \"extra\": {} }\n}");
    write("west.jsonc", "{}");
    let output = check(&[GOOD, "--overlays", folder.path().to_str().unwrap()]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(3), "{text}");
    assert!(text.contains("south.jsonc:2: an overlay must not add the pool"), "{text}");
    assert!(text.contains("west.jsonc:1: this overlay is for the site \"west\""), "{text}");
}

#[test]
fn a_node_file_is_checked() {
    let env = env::TestEnv::open(env::Plan::default());
    let file = env.settings_file(1);
    assert_eq!(check(&["--node", file.to_str().unwrap()]).status.code(), Some(0));
    let output = check(&["--node", GOOD]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(text.contains("unknown key \"pools\""), "{text}");
}

#[test]
fn every_command_explains_itself() {
    for command in [
        "demo", "control", "entry", "init", "check", "apply", "status", "audit", "member", "mark",
        "report", "call", "standin", "load",
    ] {
        let output = env::command(&[command, "--help"]).output().unwrap();
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert!(
            String::from_utf8(output.stdout).unwrap().contains("Usage: mothplank"),
            "{command}"
        );
    }
}

#[test]
fn the_demo_and_the_examples_have_no_fault_and_no_warning() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    for (folder, nodes) in [
        ("crates/mothplank/demo", vec!["vm-1.jsonc", "vm-2.jsonc"]),
        ("examples/association", vec!["vms/vm-1.jsonc", "vms/vm-6.jsonc"]),
        ("examples/utility", vec!["vms/vm-1.jsonc", "vms/vm-8.jsonc"]),
    ] {
        let path = |name: &str| format!("{root}/{folder}/{name}");
        let mut args = vec![path("base.jsonc"), "--overlays".to_owned(), path("sites")];
        for node in nodes {
            args.extend(["--node".to_owned(), path(node)]);
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = check(&args);
        assert_eq!(String::from_utf8_lossy(&output.stdout), "no fault\n", "{folder}");
    }
}

#[test]
fn the_scenario_of_the_demo_is_readable() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/demo/load.jsonc");
    let scenario = standins::load::Scenario::read(path.as_ref()).unwrap();
    assert_eq!(scenario.classes.len(), 2);
}

#[test]
fn a_closed_output_pipe_is_not_reported_as_an_error() {
    use std::process::Stdio;
    let mut command = env::command(&["check", EIGHT]);
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
