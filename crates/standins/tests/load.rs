//! Tests of the load tool's callers, checks and reports.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use standins::load::{
    self, AttemptResult, CallerAction, CallerRequest, CallerStats, Class, RequestResult, Scenario,
    Verdict, verify,
};
use types::{Millis, Outcome, Priority, Rate};

const RESEND_PAUSE: Duration = Duration::from_millis(100);

fn class(once: bool) -> Class {
    Class {
        name: "appraisal".to_owned(),
        pipeline: "appraise".parse().unwrap(),
        key: "secret".to_owned(),
        priority: Priority(0),
        rate: Rate(100.0),
        bursts: Vec::new(),
        deadline: Millis(1_000),
        tokens: 3,
        padding: 0,
        once,
        stream: false,
    }
}

fn request(once: bool) -> CallerRequest {
    CallerRequest {
        class: Arc::new(class(once)),
        marker: "1-7".to_owned(),
        budget: Duration::from_secs(1),
    }
}

fn other(outcome: Outcome, status: u16, retry_after: Option<u64>) -> AttemptResult {
    AttemptResult::Other { outcome, status, retry_after: retry_after.map(Duration::from_millis) }
}

#[test]
fn each_answer_leads_to_the_right_action() {
    struct Case {
        name: &'static str,
        attempt: AttemptResult,
        late: bool,
        once: bool,
        action: CallerAction,
    }
    let own = AttemptResult::Complete(json!("marker=1-7 1.aaaa 2.bbbb"));
    let case = |name, attempt, action| Case { name, attempt, late: false, once: false, action };
    let resend = |ms| CallerAction::Resend(Duration::from_millis(ms));
    let cases = [
        case("complete", own.clone(), CallerAction::Done(RequestResult::InTime)),
        Case { late: true, ..case("late", own, CallerAction::Done(RequestResult::Late)) },
        case(
            "another's",
            AttemptResult::Complete(json!("marker=1-8 1.aaaa 2.bbbb")),
            CallerAction::Done(RequestResult::Crossed),
        ),
        case(
            "a token short",
            AttemptResult::Complete(json!("marker=1-7 1.aaaa")),
            CallerAction::Done(RequestResult::Incomplete),
        ),
        case("refused", other(Outcome::NotRun, 429, Some(700)), resend(700)),
        case("refused without time", other(Outcome::NotRun, 503, None), resend(100)),
        case(
            "not allowed",
            other(Outcome::NotRun, 403, None),
            CallerAction::Done(RequestResult::Other(Outcome::NotRun)),
        ),
        case("failed, repeatable", other(Outcome::Failed, 502, None), resend(100)),
        Case {
            once: true,
            ..case(
                "failed, not repeatable",
                other(Outcome::Failed, 502, None),
                CallerAction::Done(RequestResult::Other(Outcome::Failed)),
            )
        },
        Case {
            once: true,
            ..case("under way", other(Outcome::Unknown, 409, Some(50)), resend(50))
        },
        Case {
            once: true,
            ..case(
                "lost",
                other(Outcome::Unknown, 504, None),
                CallerAction::Done(RequestResult::Other(Outcome::Unknown)),
            )
        },
        case("no connection", AttemptResult::Refused, resend(100)),
        case("broken off", AttemptResult::Broken, resend(100)),
    ];
    for case in cases {
        let mut stats = CallerStats::default();
        let action = stats.record(&request(case.once), &case.attempt, case.late, RESEND_PAUSE);
        assert_eq!(action, case.action, "{}", case.name);
        assert_eq!(stats.attempts, 1, "{}", case.name);
    }
}

#[test]
fn an_output_is_own_only_if_marker_and_tokens_fit() {
    struct Case {
        output: Value,
        tokens: u64,
        verdict: Verdict,
    }
    let chain = |second: &str| json!({"chain": [{"marker": "a"}, {"marker": second}]});
    let cases = [
        Case { output: chain("a"), tokens: 0, verdict: Verdict::Own },
        Case { output: chain("b"), tokens: 0, verdict: Verdict::Crossed },
        Case { output: json!({"text": "none"}), tokens: 0, verdict: Verdict::Incomplete },
        Case { output: json!("marker=a 1.x 2.y"), tokens: 3, verdict: Verdict::Own },
        Case { output: json!("marker=a+marker=b 1.x 2.y"), tokens: 3, verdict: Verdict::Crossed },
        Case { output: json!("marker=a 1.x 1.x"), tokens: 3, verdict: Verdict::Incomplete },
        Case { output: json!("marker=a 2.y 3.z"), tokens: 3, verdict: Verdict::Incomplete },
        Case { output: json!({"text": "marker=a 1.x"}), tokens: 3, verdict: Verdict::Incomplete },
    ];
    for case in cases {
        assert_eq!(verify(&case.output, "a", case.tokens), case.verdict, "{}", case.output);
    }
}

/// Refuses the first attempt of each request and answers the second.
struct AnswerSecond(std::sync::Mutex<std::collections::HashSet<String>>);

impl load::Transport for AnswerSecond {
    async fn send(&self, request: CallerRequest) -> AttemptResult {
        if self.0.lock().unwrap().insert(request.marker.clone()) {
            return other(Outcome::NotRun, 429, Some(1));
        }
        AttemptResult::Complete(json!(format!("marker={} 1.x 2.y", request.marker)))
    }
}

#[tokio::test]
async fn every_arrival_is_counted_once() {
    let class = Class { deadline: Millis(3_600_000), ..class(false) };
    let scenario = Scenario {
        name: "account".to_owned(),
        length: Millis(200),
        drain: Millis(60_000),
        seed: 3,
        entries: Vec::new(),
        classes: vec![class],
        pause: Millis(1),
        policy: load::Policy::Mothplank,
    };
    let report = load::run_with(&scenario, AnswerSecond(Default::default())).await;
    let class = &report.classes[0];
    assert!(class.requests > 0);
    assert_eq!(class.requests, report.records.len() as u64);
    assert_eq!(class.attained, class.requests);
    assert_eq!(class.attempts, 2 * class.requests);
    assert_eq!(class.refusals, class.requests);
    assert_eq!(class.latency.len(), class.requests);
    assert_eq!(report.recovery(Duration::ZERO), Some(Duration::ZERO));
    let folder = tempfile::tempdir().unwrap();
    report.write(folder.path()).unwrap();
    let requests = std::fs::read_to_string(folder.path().join("account.requests.csv")).unwrap();
    assert_eq!(requests.lines().count(), report.records.len() + 1);
}
