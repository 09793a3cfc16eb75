//! An operator who reads the service, proposes a change based on the version read, and resends it
//! with the same id until it is answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::record::{Answer, InForce, Operation, Record, SentChange};
use crate::env::{Http, HttpError, OPERATORS, Reply, SITES, TestEnv, WAIT_TIMEOUT};

/// The pause before a resend.
const PAUSE: Duration = Duration::from_millis(20);

/// An operator. Each change has a unique number, from which its id is derived.
pub struct Operator {
    record: Arc<Record>,
    http: Http,
    /// The index in [`OPERATORS`].
    index: usize,
    members: Vec<SocketAddr>,
    /// The index of the member that gets the next request.
    next: usize,
    document: Value,
}

/// The result of an attempt.
enum Attempt<T> {
    Answered(T),
    /// The change had no effect.
    NotRun,
    /// The change may have had an effect.
    Lost,
}

impl Operator {
    /// Creates the operator with this index, who asks the members with these numbers in turn.
    pub fn new(env: &TestEnv, index: usize, members: &[usize], record: &Arc<Record>) -> Self {
        let members: Vec<SocketAddr> = members.iter().map(|it| env.control_address(*it)).collect();
        let (http, record) = (env.http.clone(), Arc::clone(record));
        Self { record, http, index, next: index, members, document: document() }
    }

    /// Sets the document of the next changes.
    pub fn set_document(&mut self, document: &Value) {
        self.document = document.clone();
    }

    /// Reads the version in force, from the first member that answers.
    pub fn read(&mut self) -> InForce {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(seen) = self.read_once() {
                return seen;
            }
            assert!(Instant::now() < end, "{} cannot read the service", OPERATORS[self.index].0);
            std::thread::sleep(PAUSE);
        }
    }

    /// Asks one member once for the version in force.
    pub fn read_once(&mut self) -> Option<InForce> {
        let number = self.record.record_call(Operation::Read(None));
        let reply = self.send("GET", "/v1/service", String::new()).ok()?;
        if reply.status != 200 {
            return None;
        }
        let answer = reply.json();
        let text = answer["document"]["base"].as_str().unwrap_or_default();
        let seen = InForce { version: number_of(&answer["version"]), change: change_in_text(text) };
        self.record.record_response(number, Operation::Read(Some(seen)));
        Some(seen)
    }

    /// Proposes a change and resends it until it is answered.
    ///
    /// Every seventh change is resent although it was answered, and must get the same answer. The
    /// answer of every eleventh change is ignored, and every fifth change is abandoned if its
    /// answer is lost; these operations stay open in the record.
    pub fn change(&mut self, change: u64, base: u64) -> Answer {
        let number = self.call(change, base);
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.attempt(change) {
                Attempt::Answered(_) if change.is_multiple_of(11) => return Answer::Lost,
                Attempt::Answered(answer) => {
                    if change.is_multiple_of(7) {
                        assert_eq!(self.resend(change), answer, "change {change}, resent");
                    }
                    let operation = Operation::Change { change, base, answer };
                    self.record.record_response(number, operation);
                    return answer;
                }
                Attempt::Lost if change.is_multiple_of(5) => return Answer::Lost,
                Attempt::Lost | Attempt::NotRun => {}
            }
            assert!(Instant::now() < end, "change {change} is not answered");
            std::thread::sleep(PAUSE);
        }
    }

    /// Proposes a change to one member once; without an answer the operation stays open.
    pub fn change_once(&mut self, change: u64, base: u64) -> Answer {
        let number = self.call(change, base);
        let Attempt::Answered(answer) = self.attempt(change) else {
            return Answer::Lost;
        };
        self.record.record_response(number, Operation::Change { change, base, answer });
        answer
    }

    /// Resends a change that was answered before, until it is answered again; not recorded.
    pub fn resend(&mut self, change: u64) -> Answer {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Attempt::Answered(answer) = self.attempt(change) {
                return answer;
            }
            assert!(Instant::now() < end, "change {change}, resent, is not answered");
            std::thread::sleep(PAUSE);
        }
    }

    fn call(&self, change: u64, base: u64) -> usize {
        let text = format!("// change {change} by {}\n{}", OPERATORS[self.index].0, self.document);
        let document = json!({"base": text, "overlays": {}});
        let body = json!({"id": id(change), "base": base, "document": document}).to_string();
        self.record.record_request(change, SentChange { operator: self.index, body });
        self.record.record_call(Operation::Change { change, base, answer: Answer::Lost })
    }

    fn attempt(&mut self, change: u64) -> Attempt<Answer> {
        let attempt = self.propose(change);
        if matches!(attempt, Attempt::Lost) {
            self.record.count_lost();
        }
        attempt
    }

    fn propose(&mut self, change: u64) -> Attempt<Answer> {
        let body = self.record.sent_change(change).body;
        let reply = match self.send("POST", "/v1/changes", body) {
            Ok(reply) => reply,
            Err(HttpError::NotSent(_)) => return Attempt::NotRun,
            Err(HttpError::Lost(_)) => return Attempt::Lost,
        };
        let answer = reply.json();
        let version = answer["version"].as_u64().unwrap_or_default();
        match (reply.status, reply.outcome().as_str()) {
            (200, "accepted") => Attempt::Answered(Answer::Accepted(version)),
            (409, "conflict") => {
                let winner = answer["winner"].as_str().unwrap_or_default();
                let change = change_number(winner);
                Attempt::Answered(Answer::Conflict(InForce { version, change }))
            }
            (503, "not-run") => Attempt::NotRun,
            (503, "unknown") => Attempt::Lost,
            _ => panic!("change {change}: {} {answer}", reply.status),
        }
    }

    fn send(&mut self, method: &str, path: &str, body: String) -> Result<Reply, HttpError> {
        let to = self.members[self.next % self.members.len()];
        self.next += 1;
        let bearer = format!("Bearer {}", OPERATORS[self.index].1);
        let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
        self.http.send(to, method, path, &headers, body)
    }
}

/// Returns a minimal document.
pub fn document() -> Value {
    let site = |name: &&str| (name.to_string(), json!({"region": "south", "domain": name}));
    let sites: serde_json::Map<_, _> = SITES.iter().map(site).collect();
    json!({"sites": sites, "pools": {}, "pipelines": {}, "customers": {}})
}

fn id(change: u64) -> String {
    format!("6f1c1f6e-6f0f-4a63-8a6b-{change:012x}")
}

fn change_number(id: &str) -> u64 {
    id.rsplit('-').next().and_then(|it| u64::from_str_radix(it, 16).ok()).unwrap_or(0)
}

/// Returns the number of the change that wrote a document.
fn change_in_text(text: &str) -> u64 {
    let rest = text.strip_prefix("// change ").unwrap_or_default();
    rest.split(' ').next().and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn number_of(value: &Value) -> u64 {
    value.as_u64().unwrap_or_else(|| panic!("not a number: {value}"))
}
