//! Recorded histories of requests with idempotency keys, and their checks.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::sync::Mutex;
use std::time::Instant;

use super::caller::{Answer, Outcome};
use super::stock::Run;

/// An attempt to send a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number of the entry.
    pub entry: usize,
    /// The time when it was sent.
    pub sent: Instant,
    /// The time when the answer was complete.
    pub ended: Instant,
    /// The answer.
    pub answer: Answer,
}

/// All attempts by key.
#[derive(Debug)]
pub struct History {
    begun: Instant,
    attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
}

impl Default for History {
    fn default() -> Self {
        Self { begun: Instant::now(), attempts: Mutex::default() }
    }
}

impl History {
    /// Records an attempt.
    pub fn record(&self, key: &str, attempt: Attempt) {
        self.attempts.lock().unwrap().entry(key.to_owned()).or_default().push(attempt);
    }

    /// Returns all attempts of a key.
    pub fn attempts(&self, key: &str) -> Vec<Attempt> {
        self.attempts.lock().unwrap().get(key).cloned().unwrap_or_default()
    }

    /// Counts the answers by outcome and reason.
    pub fn count_outcomes(&self) -> BTreeMap<String, usize> {
        let mut tally = BTreeMap::new();
        for attempt in self.attempts.lock().unwrap().values().flatten() {
            let Answer { outcome, status, .. } = attempt.answer;
            let why = match outcome {
                Outcome::Complete => String::new(),
                Outcome::NoAnswer => " no answer".to_owned(),
                _ => format!(" {status} {}", attempt.answer.reason()),
            };
            *tally.entry(format!("{outcome:?}{why}")).or_default() += 1;
        }
        tally
    }

    /// Checks every key against the runs of the service.
    ///
    /// # Panics
    /// Panics if a guarantee is violated, and prints the history of the keys concerned.
    pub fn verify(&self, runs: &[Run]) {
        let mut by_key: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in runs {
            by_key.entry(&run.key).or_default().push(run);
        }
        let attempts = self.attempts.lock().unwrap();
        let mut broken = String::new();
        for (key, attempts) in attempts.iter() {
            let runs = by_key.remove(key.as_str()).unwrap_or_default();
            if let Err(fault) = check_key(key, attempts, &runs) {
                let _ = writeln!(broken, "key {key}: {fault}");
                let _ = self.print(&mut broken, attempts, &runs);
            }
        }
        assert!(by_key.is_empty(), "runs of keys that nobody sent: {by_key:?}");
        assert!(broken.is_empty(), "violated guarantees:\n{broken}");
    }

    fn print(&self, to: &mut String, attempts: &[Attempt], runs: &[&Run]) -> fmt::Result {
        let ms = |at: Instant| at.duration_since(self.begun).as_millis();
        for it in attempts {
            let Answer { outcome, status, request, .. } = &it.answer;
            let (sent, ended, why) = (ms(it.sent), ms(it.ended), it.answer.reason());
            writeln!(
                to,
                "  {sent}..{ended} ms, entry {}: {outcome:?} {status} {why} {request}",
                it.entry
            )?;
        }
        runs.iter().try_for_each(|it| writeln!(to, "  {} ms: ran for {}", ms(it.at), it.request))
    }
}

/// Checks one key: it ran at most once; answers are complete only if it ran, and are then always
/// the same; an attempt that was answered `not-run` did not run, and the key had not run before it.
///
/// # Errors
/// Returns the guarantee that is violated.
pub fn check_key(key: &str, attempts: &[Attempt], runs: &[&Run]) -> Result<(), String> {
    if runs.len() > 1 {
        return Err(format!("it ran {} times", runs.len()));
    }
    let with_outcome = |what| attempts.iter().filter(move |it| it.answer.outcome == what);
    let complete: Vec<&Attempt> = with_outcome(Outcome::Complete).collect();
    if !complete.is_empty() && runs.is_empty() {
        return Err("complete without a run".to_owned());
    }
    if complete.windows(2).any(|it| it[0].answer.body != it[1].answer.body) {
        return Err("two complete answers differ".to_owned());
    }
    let is_own =
        |it: &&Attempt| standins::marker::has_only(&it.answer.json()["output"].to_string(), key);
    if !complete.iter().all(is_own) {
        return Err("a complete answer is another request's".to_owned());
    }
    for it in with_outcome(Outcome::NotRun) {
        let contradicts = |run: &&&Run| run.request == it.answer.request || run.at < it.sent;
        if runs.iter().any(|run| contradicts(&run)) {
            return Err(format!("said not to have run, though it did: {}", it.answer.request));
        }
    }
    Ok(())
}
