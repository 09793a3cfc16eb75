//! The format of log lines and of metrics.

use log::{Level, Record};
use telemetry::format_line;

struct Case {
    name: &'static str,
    message: &'static str,
    fields: Vec<(&'static str, &'static str)>,
    expected: &'static str,
}

#[test]
fn records_are_formatted_as_json_lines() {
    let cases = [
        Case {
            name: "plain",
            message: "listening",
            fields: vec![],
            expected: r#"{"level":"info","message":"listening","target":"entry","time":"T"}"#,
        },
        Case {
            name: "fields and a line break",
            message: "call\nfailed",
            fields: vec![("step", "connect"), ("peer", "127.0.0.1:1")],
            expected: r#"{"level":"info","message":"call\nfailed","peer":"127.0.0.1:1","step":"connect","target":"entry","time":"T"}"#,
        },
        Case {
            name: "a field never replaces a key of the record itself",
            message: "real",
            fields: vec![("message", "forged")],
            expected: r#"{"level":"info","message":"real","target":"entry","time":"T"}"#,
        },
        Case {
            name: "a secret",
            message: "refused",
            fields: vec![("Token", "abc")],
            expected: r#"{"Token":"(hidden)","level":"info","message":"refused","target":"entry","time":"T"}"#,
        },
    ];
    for case in cases {
        let mut builder = Record::builder();
        builder.level(Level::Info).target("entry").key_values(&case.fields);
        let line = format_line("T", &builder.args(format_args!("{}", case.message)).build());
        assert_eq!(line, case.expected, "{}", case.name);
    }
}

#[test]
fn process_metrics_are_rendered() {
    let text = telemetry::render(&telemetry::open_registry());
    assert!(text.contains("process_resident_memory_bytes"), "{text}");
}
