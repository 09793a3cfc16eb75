//! Recorded histories of requests under a key, and their check.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::sync::Mutex;
use std::time::Instant;

use super::caller::{Answer, Said};
use super::stock::Run;

/// One sending of a request.
#[derive(Clone, Debug)]
pub struct Sending {
    /// The entry that it went to.
    pub entry: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer was there.
    pub ended: Instant,
    /// Its answer.
    pub answer: Answer,
}

/// Everything that was sent and answered, by key.
#[derive(Debug)]
pub struct History {
    begun: Instant,
    sendings: Mutex<BTreeMap<String, Vec<Sending>>>,
}

impl Default for History {
    fn default() -> Self {
        Self { begun: Instant::now(), sendings: Mutex::default() }
    }
}

impl History {
    /// Records a sending.
    pub fn push(&self, key: &str, sending: Sending) {
        self.sendings.lock().unwrap().entry(key.to_owned()).or_default().push(sending);
    }

    /// Returns the sendings of a key.
    pub fn of(&self, key: &str) -> Vec<Sending> {
        self.sendings.lock().unwrap().get(key).cloned().unwrap_or_default()
    }

    /// Counts the answers by what they say and why.
    pub fn tally(&self) -> BTreeMap<String, usize> {
        let mut tally = BTreeMap::new();
        for sending in self.sendings.lock().unwrap().values().flatten() {
            let Answer { said, status, .. } = sending.answer;
            let why = match said {
                Said::Complete => String::new(),
                Said::Nothing => " no answer".to_owned(),
                _ => format!(" {status} {}", sending.answer.reason()),
            };
            *tally.entry(format!("{said:?}{why}")).or_default() += 1;
        }
        tally
    }

    /// Checks every key against the service's runs.
    ///
    /// # Panics
    /// Where a promise is broken; prints the whole history of the keys concerned.
    pub fn verify(&self, runs: &[Run]) {
        let mut by_key: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in runs {
            by_key.entry(&run.key).or_default().push(run);
        }
        let sendings = self.sendings.lock().unwrap();
        let mut broken = String::new();
        for (key, sendings) in sendings.iter() {
            let runs = by_key.remove(key.as_str()).unwrap_or_default();
            if let Err(fault) = check(key, sendings, &runs) {
                let _ = writeln!(broken, "key {key}: {fault}");
                let _ = self.print(&mut broken, sendings, &runs);
            }
        }
        assert!(by_key.is_empty(), "runs of keys that nobody sent: {by_key:?}");
        assert!(broken.is_empty(), "broken promises:\n{broken}");
    }

    fn print(&self, to: &mut String, sendings: &[Sending], runs: &[&Run]) -> fmt::Result {
        let ms = |at: Instant| at.duration_since(self.begun).as_millis();
        for it in sendings {
            let Answer { said, status, request, .. } = &it.answer;
            let (sent, ended, why) = (ms(it.sent), ms(it.ended), it.answer.reason());
            writeln!(
                to,
                "  {sent}..{ended} ms, entry {}: {said:?} {status} {why} {request}",
                it.entry
            )?;
        }
        runs.iter().try_for_each(|it| writeln!(to, "  {} ms: ran for {}", ms(it.at), it.request))
    }
}

/// Checks one key: at most one run; a complete answer only with a run, and always the same; no run
/// of what was said not to have run, nor before the attempt that was told so.
///
/// # Errors
/// The promise that is broken.
pub fn check(key: &str, sendings: &[Sending], runs: &[&Run]) -> Result<(), String> {
    if runs.len() > 1 {
        return Err(format!("it ran {} times", runs.len()));
    }
    let said = |what| sendings.iter().filter(move |it| it.answer.said == what);
    let complete: Vec<&Sending> = said(Said::Complete).collect();
    if !complete.is_empty() && runs.is_empty() {
        return Err("complete without a run".to_owned());
    }
    if complete.windows(2).any(|it| it[0].answer.body != it[1].answer.body) {
        return Err("two complete answers differ".to_owned());
    }
    let own =
        |it: &&Sending| standins::marker::has_only(&it.answer.json()["output"].to_string(), key);
    if !complete.iter().all(own) {
        return Err("a complete answer is another request's".to_owned());
    }
    for it in said(Said::NotRun) {
        let false_word = |run: &&&Run| run.request == it.answer.request || run.at < it.sent;
        if runs.iter().any(|run| false_word(&run)) {
            return Err(format!("said not to have run, though it did: {}", it.answer.request));
        }
    }
    Ok(())
}
