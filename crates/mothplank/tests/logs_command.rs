//! `mothplank logs` with log lines in the format of the entries.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The logs of two entries; the lines of the second have a prefix that a log collector adds.
const FIRST: &str = r#"
{"level":"info","message":"started","target":"t","time":"2026-05-28T08:43:50.000Z","vm":"entry-1"}
{"expected_ms":1100,"level":"info","message":"admitted a request to its stages","rank":4,"request":"a1","target":"t","time":"2026-05-28T08:43:50.100Z","wait_ms":5}
{"age_ms":1900,"level":"info","message":"chose an engine","request":"a1","stages":"0:1:26:224:255 1:4:700:300:1002","target":"t","time":"2026-05-28T08:43:52.000Z","upstream":"u-1"}
{"age_ms":2100,"kind":"stream","level":"info","message":"answered a request","outcome":"200","plan":"13","rank":4,"request":"a1","route":"draft","target":"t","target_ms":2000,"time":"2026-05-28T08:43:52.200Z"}
{"age_ms":20,"kind":"idempotent","level":"info","message":"answered a request","outcome":"200","plan":"13","rank":3,"request":"a2","route":"read","target":"t","target_ms":300,"time":"2026-05-28T08:43:52.300Z"}
a line of another program
"#;
const SECOND: &str = r#"
  50.1 entry-2 {"age_ms":0,"kind":"stream","level":"info","message":"answered a request","outcome":"overloaded","plan":"13","rank":4,"request":"b1","route":"draft","target":"t","target_ms":2000,"time":"2026-05-28T08:43:50.100Z"}
  50.2 entry-2 {"age_ms":90,"kind":"at most once","level":"info","message":"answered a request","outcome":"failed, may have run","plan":"13","rank":5,"request":"b2","route":"note","target":"t","target_ms":300,"time":"2026-05-28T08:43:50.200Z"}
  50.3 entry-2 {"age_ms":90,"kind":"stream","level":"info","message":"answered a request","outcome":"200","plan":"13","rank":5,"request":"b3","route":"draft","target":"t","target_ms":2000,"time":"2026-05-28T08:43:50.300Z"}
  50.4 entry-2 {"age_ms":0,"kind":"none","level":"info","message":"answered a request","outcome":"no key","plan":"13","request":"b4","route":"none","target":"t","time":"2026-05-28T08:43:50.400Z"}
"#;

/// Writes both logs into a folder and runs the command on them.
fn logs(folder: &Path, more: &[&str]) -> Output {
    let file = |name: &str, text: &str| -> PathBuf {
        let path = folder.join(name);
        fs::write(&path, text.trim_start()).expect("a log");
        path
    };
    let (first, second) = (file("first", FIRST), file("second", SECOND));
    let mut command = Command::new(env!("CARGO_BIN_EXE_mothplank"));
    command.arg("logs").args([first, second]).args(more).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

#[test]
fn tables_show_the_results_of_requests() {
    let folder = tempfile::tempdir().expect("a folder");
    let output = logs(folder.path(), &[]);
    assert!(output.status.success());
    insta::assert_snapshot!(text(&output.stdout), @r#"
    route  in aim  late  refused  failed  denied
    draft       1     1        1       0       0
    none        0     0        0       0       1
    note        0     0        0       1       0
    read        1     0        0       0       0

    stages of late ones  stage  late  wait p50 ms  p90  call p50 ms  p90  longest
    draft                    0     1           26   26          224  224        0
    draft                    1     1          700  700          300  300        1

    not answered  reason                requests
    draft         overloaded                   1
    none          no key                       1
    note          failed, may have run         1
    "#);
    assert!(text(&output.stderr).contains("first: 1 lines are no log lines of this product"));
}

#[test]
fn a_span_leaves_out_what_is_not_in_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let span = ["--from", "2026-05-28T08:43:52Z", "--to", "2026-05-28T08:43:52.250Z"];
    let output = logs(folder.path(), &[&span[..], &["--output", "json"]].concat());
    let summary: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let routes = summary["routes"].as_object().expect("routes");
    assert_eq!(routes.len(), 1, "{summary}");
    assert_eq!(routes["draft"]["late"], 1, "{summary}");
}

#[test]
fn the_lines_of_one_request_are_printed() {
    let folder = tempfile::tempdir().expect("a folder");
    let output = logs(folder.path(), &["--id", "a1"]);
    insta::assert_snapshot!(text(&output.stdout), @r#"
    2026-05-28T08:43:50.1Z admitted a request to its stages: expected_ms=1100 rank=4 wait_ms=5
    2026-05-28T08:43:52Z chose an engine: age_ms=1900 stages="0:1:26:224:255 1:4:700:300:1002" upstream="u-1"
    2026-05-28T08:43:52.2Z answered a request: age_ms=2100 kind="stream" outcome="200" plan="13" rank=4 route="draft" target_ms=2000
    "#);
    let output = logs(folder.path(), &["--id", "unknown"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("give the logs of all"));
}

#[test]
fn a_drawing_has_a_bar_for_each_second() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("seconds.svg");
    let output = logs(folder.path(), &["--svg", path.to_str().expect("a path")]);
    assert!(output.status.success());
    let drawing = fs::read_to_string(&path).expect("a drawing");
    for name in ["in aim", "late", "refused", "failed"] {
        assert!(drawing.contains(name), "no {name} in the drawing");
    }
}
