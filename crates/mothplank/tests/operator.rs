//! The commands of operators and callers, run as a shell would run them.

mod env;

use env::{Plan, TestEnv, wait_until};
use serde_json::{Value, json};

#[test]
fn a_caller_streams_and_books_once() {
    let env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    let entry = env.entry_address(1).to_string();
    let input = r#"{"marker": "lot-7"}"#;
    let call = |args: &[&str]| env.run(&[&["call"], args, &["--entry", &entry]].concat());

    let (code, lines) = call(&["appraise", "--input", input, "--stream", "--max-tokens", "5"]);
    let lines = lines.as_array().unwrap().clone();
    assert_eq!((code, lines.len()), (0, 6), "{lines:?}");
    let positions: Vec<&Value> = lines[..5].iter().map(|it| &it["token"]["position"]).collect();
    assert_eq!(positions, [0, 1, 2, 3, 4], "{lines:?}");
    assert_eq!(lines[5]["outcome"], "complete", "{lines:?}");

    let note = ["note", "--input", input, "--idempotency-key", "note-7"];
    let (first, second) = (call(&note), call(&note));
    assert_eq!((first.0, &first.1["outcome"]), (0, &json!("complete")), "{}", first.1);
    assert_eq!(first.1["request"], second.1["request"], "the stored answer comes again");
    let runs: u64 = ["stock-1", "stock-2"]
        .iter()
        .filter_map(|it| env.http.counts(env.standin_address(it))["runs"]["note-7"].as_u64())
        .sum();
    assert_eq!(runs, 1);

    let (code, other) = call(&["note", "--input", "8", "--idempotency-key", "note-7"]);
    assert_eq!((code, &other["outcome"]), (7, &json!("not-run")), "{other}");
    let (code, unknown) = call(&["praise"]);
    assert_eq!((code, &unknown["outcome"]), (7, &json!("not-run")), "{unknown}");
}

#[test]
fn an_unreachable_entry_is_not_run_and_no_answer_is_unknown() {
    let env = TestEnv::open(Plan::default());
    let nobody = env.ports.reserve().to_string();
    let (code, _) = env.run(&["call", "appraise", "--entry", &nobody, "--resend-ms", "0"]);
    assert_eq!(code, 5);
    let silent = std::net::TcpListener::bind(env.ports.reserve()).unwrap();
    let silent = silent.local_addr().unwrap().to_string();
    let call = ["call", "appraise", "--resend-ms", "0", "--deadline-ms", "1", "--entry", &silent];
    assert_eq!(env.run(&call).0, 6);
    assert_eq!(env.run(&["status", "--within-ms", "1"]).0, 5);
}

#[test]
fn the_report_counts_each_stage_and_is_written_as_files() {
    let env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    for i in 0..3 {
        let reply = env.call(1, "appraise", json!({"marker": format!("lot-{i}")}), &[]);
        assert_eq!(reply.outcome(), "complete", "{}", reply.text());
    }
    let counted = |rows: &Value| {
        let rows = rows["rows"].as_array().unwrap().clone();
        rows.len() == 4 && rows.iter().all(|it| it["calls"] == 3)
    };
    wait_until("the entry's report of its use", || counted(&env.run_ok(&["report"])));
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).to_str().unwrap().to_owned();
    let report = env.run_ok(&["report", "--csv", &path("r.csv"), "--svg", &path("r.svg")]);
    assert!(report["rows"].as_array().unwrap().iter().all(|it| it["cost"].as_f64() > Some(0.0)));
    let csv = std::fs::read_to_string(path("r.csv")).unwrap();
    assert_eq!(csv.lines().count(), 5, "{csv}");
    assert!(csv.starts_with("customer,stage,pool,calls,busy_us,tokens,wasted_us,cost\r\n"));
    let svg = std::fs::read_to_string(path("r.svg")).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("generate"), "{svg}");
}

/// Guards against an upstream that gets new calls although an operator has marked it as leaving.
#[test]
fn a_marked_upstream_gets_no_new_work_until_it_is_back() {
    let env = TestEnv::start(Plan { entries: 1, ..Plan::default() });
    let count = |name: &str| env.http.counts(env.standin_address(name))["calls"].as_u64();
    let encode = |times: usize| {
        for _ in 0..times {
            let reply = env.call(1, "encode", json!({"marker": "lot"}), &[]);
            assert_eq!(reply.outcome(), "complete", "{}", reply.text());
        }
    };
    // An entry keeps using one of two equal upstreams as long as nothing favors the other, so only
    // a mark on the one in use has a visible effect.
    encode(20);
    let (marked, other) = match count("encoders-1") > count("encoders-2") {
        true => ("encoders-1", "encoders-2"),
        false => ("encoders-2", "encoders-1"),
    };
    assert!(count(marked) >= Some(10), "it has no work to lose");
    env.run_ok(&["mark", marked, "--leaving"]);
    let standing = || {
        let status = env.run_ok(&["status"]);
        let rows = status["upstreams"].as_array().unwrap().clone();
        let row = rows.into_iter().find(|it| it["upstream"] == marked);
        row.map(|it| it["standing"].clone())
    };
    wait_until("the mark", || standing() == Some(json!("leaving")));
    let passed_over = || {
        let status = env.http.get(env.entry_address(1), "/status").unwrap().json();
        let decisions = status["decisions"].as_array().unwrap().clone();
        decisions.iter().any(|it| it["what"] == "eject" && it["subject"] == marked)
    };
    wait_until("the entry to learn of the mark", passed_over);
    let before = count(marked);
    encode(20);
    // Without the mark it would get the calls, because the other one is now much slower.
    env.http.faults(env.standin_address(other), &json!({"slow": 20.0}));
    encode(20);
    env.http.faults(env.standin_address(other), &json!({}));
    assert_eq!(count(marked), before, "it got work");

    env.run_ok(&["mark", marked, "--back"]);
    wait_until("it gets work again", || {
        encode(1);
        count(marked) > before
    });
}
