//! A fleet of entries with a retry budget each, on virtual time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::budget::{Budget, BudgetSpec, LOAN_TIME, Retries, RetryPermit, Share, Spender, Start};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// The users' part of the requests that may be sent again, and their window.
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);

/// The length of a step, the steps of a window, and of a play.
const STEP: Duration = Duration::from_millis(50);
const WINDOW_STEPS: usize = 200;
const STEPS: usize = 1_600;

/// The steps before the first request: the entries start and hear of each other.
const CALM_STEPS: usize = 400;

/// The steps between two lists of the leader.
const LIST_STEPS: usize = 8;

/// How often a request that failed is sent again at most.
const MAX_RETRIES: usize = 2;

/// The share of requests that fail in a wave of failures, and outside.
const WAVE_FAILURES: f64 = 0.9;
const CALM_FAILURES: f64 = 0.005;

/// The number of steps of a wave, and the least and most between the starts of two: some come soon, others
/// about a window later.
const WAVE_STEPS: usize = 40;
const SOON: std::ops::Range<usize> = 40..160;
const A_WINDOW_LATER: std::ops::Range<usize> = 180..205;

/// How many lenders an entry asks.
const ASKED: usize = 3;

/// What may happen beside the waves of failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Most entries are killed at once, and are back within a second; again and again.
    Restarts,
    /// All callers move to the other half of the entries, and back.
    Shifts,
    /// No connection opens for some seconds, until a path is whole again.
    SlowConnections,
    /// The leader changes, and lists only some of the entries for some seconds.
    PartialLists,
    /// A third of the entries hears nothing, and is not listed.
    CutOff,
    /// Some entries stand still for seconds.
    StandStill,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Play {
    pub(crate) entries: usize,
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) trouble: &'static [Trouble],
}

/// A process of an entry.
struct Process {
    budget: Budget,
    /// Whether it knows other entries.
    informed: bool,
    lenders: Vec<usize>,
}

impl Process {
    fn start(play: &Play, own: usize, start: Start, now: Instant) -> Self {
        let spec = BudgetSpec { ratio: RATIO, window: WINDOW, burst: play.burst };
        let budget = Budget::new(spec, address(own), start, now);
        Self { budget, informed: false, lenders: Vec::new() }
    }

    fn learn(&mut self, list: &[usize], now: Instant) {
        self.informed = true;
        self.budget.learn(list.iter().map(|it| address(*it)), now);
        self.lenders = self.budget.lenders(Spender::Entry).into_iter().map(entry_at).collect();
    }

    fn take(
        &self,
        service: &Arc<str>,
        amount: Retries,
        now: Instant,
    ) -> Result<RetryPermit, Retries> {
        self.budget.take(service, Spender::Entry, amount, Share::OfEntries, now)
    }
}

/// An entry, with or without a running process.
struct Entry {
    process: Option<Process>,
    /// The step in which it starts again, or moves again.
    back: usize,
    still: bool,
    cut_off: bool,
    /// The lists that are on their way to it, and the step in which they arrive.
    news: VecDeque<(usize, Arc<Vec<usize>>)>,
}

/// What the play has seen in each step.
#[derive(Default)]
pub(crate) struct Record {
    requests: Vec<usize>,
    sent_again: Vec<usize>,
    asked: usize,
    granted: usize,
}

/// The window in which the fleet came closest to the budget, or passed it by most.
#[derive(Debug)]
pub(crate) struct Window {
    pub(crate) sent_again: usize,
    pub(crate) allowed: f64,
    #[expect(dead_code, reason = "printed with a failure")]
    step: usize,
}

pub(crate) struct Fleet<'a> {
    play: &'a Play,
    start: Instant,
    service: Arc<str>,
    random: StdRng,
    entries: Vec<Entry>,
    record: Record,
    waves: bool,
    wave_until: usize,
    next_wave: usize,
    listed: Arc<Vec<usize>>,
    /// Until when the leader lists only these.
    partial: Option<(usize, Vec<usize>)>,
    moved: bool,
    /// Until when no connection opens.
    stuck_until: usize,
    /// What was granted and not sent, with the step in which there is a connection.
    waiting: Vec<(usize, RetryPermit)>,
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 250) as u8, (entry % 250) as u8], 9))
}

fn entry_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(it) => {
            let [.., high, low] = it.ip().octets();
            usize::from(high) * 250 + usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("all addresses are of version 4"),
    }
}

impl<'a> Fleet<'a> {
    pub(crate) fn new(play: &'a Play, seed: u64) -> Self {
        let start = Instant::now();
        let entry = |own| Entry {
            process: Some(Process::start(play, own, Start::First, start)),
            back: 0,
            still: false,
            cut_off: false,
            news: VecDeque::new(),
        };
        let slots = || vec![0; STEPS + 10 * WINDOW_STEPS];
        Self {
            play,
            start,
            service: "s".into(),
            random: StdRng::seed_from_u64(seed),
            entries: (0..play.entries).map(entry).collect(),
            record: Record { requests: slots(), sent_again: slots(), ..Record::default() },
            waves: true,
            wave_until: 0,
            next_wave: CALM_STEPS + 20,
            listed: Arc::default(),
            partial: None,
            moved: false,
            stuck_until: 0,
            waiting: Vec::new(),
        }
    }

    pub(crate) fn without_waves(self) -> Self {
        Self { waves: false, ..self }
    }

    pub(crate) fn run(mut self) -> Record {
        for step in 0..STEPS {
            if step >= CALM_STEPS {
                self.disrupt(step);
            }
            self.tell_lists(step);
            if step >= CALM_STEPS {
                self.send_requests(step);
            }
            self.send_waiting(step);
        }
        self.record
    }

    fn at(&self, step: usize) -> Instant {
        self.start + STEP * step as u32
    }

    fn has(&self, trouble: Trouble) -> bool {
        self.play.trouble.contains(&trouble)
    }

    /// Returns whether something that happens on average once in so many steps does now.
    fn now_and_then(&mut self, trouble: Trouble, steps: usize) -> bool {
        self.has(trouble) && self.random.random_range(0..steps) == 0
    }

    fn disrupt(&mut self, step: usize) {
        if self.waves && step >= self.next_wave {
            self.wave_until = step + WAVE_STEPS;
            let next = if self.random.random_bool(0.5) { SOON } else { A_WINDOW_LATER };
            self.next_wave = step + self.random.random_range(next);
        }
        if self.now_and_then(Trouble::Restarts, 120) {
            for at in 0..self.entries.len() {
                if self.random.random_bool(0.7) {
                    let back = step + self.random.random_range(5..20);
                    let entry = &mut self.entries[at];
                    (entry.process, entry.back, entry.still) = (None, back, false);
                    entry.news.clear();
                }
            }
        }
        if self.now_and_then(Trouble::Shifts, 140) {
            self.moved = !self.moved;
        }
        if self.now_and_then(Trouble::SlowConnections, 100) {
            self.stuck_until = step + self.random.random_range(20..80);
        }
        if self.now_and_then(Trouble::PartialLists, 160) {
            let count = self.entries.len().div_ceil(3);
            let some = (0..self.entries.len()).sample(&mut self.random, count);
            self.partial = Some((step + self.random.random_range(10..60), some));
        }
        if self.now_and_then(Trouble::CutOff, 200) {
            for entry in &mut self.entries {
                entry.cut_off = !entry.cut_off && self.random.random_bool(0.33);
            }
        }
        if self.now_and_then(Trouble::StandStill, 100) {
            for entry in self.entries.iter_mut().filter(|it| it.process.is_some()) {
                if self.random.random_bool(0.3) {
                    (entry.still, entry.back) = (true, step + 100);
                }
            }
        }
        let now = self.at(step);
        for (own, entry) in self.entries.iter_mut().enumerate().filter(|it| step >= it.1.back) {
            entry.still = false;
            let started = || Process::start(self.play, own, Start::Again, now);
            entry.process.get_or_insert_with(started);
        }
    }

    /// Has the leader list the entries that it hears, and the lists arrive.
    fn tell_lists(&mut self, step: usize) {
        if self.partial.as_ref().is_some_and(|it| it.0 <= step) {
            self.partial = None;
        }
        let heard = |it: &usize| {
            let entry = &self.entries[*it];
            let shown = self.partial.as_ref().is_none_or(|partial| partial.1.contains(it));
            shown && entry.process.is_some() && !entry.cut_off
        };
        let list: Vec<usize> = (0..self.entries.len()).filter(heard).collect();
        let changed = step.is_multiple_of(LIST_STEPS) && list != *self.listed;
        if changed {
            self.listed = Arc::new(list);
        }
        let now = self.at(step);
        for at in 0..self.entries.len() {
            let late = if self.random.random_bool(0.05) { 60 } else { 10 };
            let arrives = step + self.random.random_range(1..late);
            let listed = Arc::clone(&self.listed);
            let entry = &mut self.entries[at];
            let Some(process) = &mut entry.process else { continue };
            let unheard = !process.informed && entry.news.is_empty();
            if (changed || unheard) && !entry.cut_off && listed.contains(&at) {
                entry.news.push_back((arrives, listed));
            }
            while !entry.still && entry.news.front().is_some_and(|it| it.0 <= step) {
                let list = entry.news.pop_front().map(|it| it.1).unwrap_or_default();
                process.learn(&list, now);
            }
        }
    }

    fn send_requests(&mut self, step: usize) {
        let now = self.at(step);
        let expected = self.play.rate * STEP.as_secs_f64();
        let count = expected as usize + usize::from(self.random.random_bool(expected.fract()));
        let half = self.entries.len() / 2;
        for _ in 0..count {
            self.record.requests[step] += 1;
            let at = match self.has(Trouble::Shifts) {
                false => self.random.random_range(0..self.entries.len()),
                true if self.moved => self.random.random_range(half..self.entries.len()),
                true => self.random.random_range(0..half),
            };
            let entry = &self.entries[at];
            let Some(process) = entry.process.as_ref().filter(|_| !entry.still) else { continue };
            if !process.informed {
                continue;
            }
            process.budget.record(&self.service, Spender::Entry, 1, now);
            let failures = if step < self.wave_until { WAVE_FAILURES } else { CALM_FAILURES };
            for _ in 0..MAX_RETRIES {
                if !self.random.random_bool(failures) || !self.send_again(at, step) {
                    break;
                }
            }
        }
    }

    /// Has an entry send a request again, if it may.
    fn send_again(&mut self, at: usize, step: usize) -> bool {
        let now = self.at(step);
        self.record.asked += 1;
        let process = self.entries[at].process.as_ref().expect("a process");
        let permit = match process.take(&self.service, Retries(1.0), now) {
            Ok(permit) => Some(permit),
            Err(missing) => self.borrow(at, missing, now),
        };
        let Some(permit) = permit else { return false };
        self.record.granted += 1;
        self.waiting.push((step.max(self.stuck_until), permit));
        true
    }

    /// Sends what waits for a connection.
    fn send_waiting(&mut self, step: usize) {
        let now = self.at(step);
        let due = self.waiting.extract_if(.., |it| it.0 <= step);
        let sent = due.filter(|it| it.1.begin_send(now)).count();
        self.record.sent_again[step] += sent;
    }
}

impl Fleet<'_> {
    /// Has an entry borrow what is missing of a retry.
    fn borrow(&mut self, at: usize, missing: Retries, now: Instant) -> Option<RetryPermit> {
        let process = self.entries[at].process.as_ref().expect("a process");
        let lenders = process.lenders.iter().copied().filter(|it| *it != at);
        let lends = |lender: &usize| {
            let entry = &self.entries[*lender];
            let lending = entry.process.as_ref().filter(|_| !entry.still);
            lending.is_some_and(|it| it.budget.lend(&self.service, Spender::Entry, missing, now))
        };
        let lent = lenders.sample(&mut self.random, ASKED).iter().any(lends);
        let rest = Retries(1.0 - missing.0);
        let permit = process.take(&self.service, rest, now).ok().filter(|_| lent)?;
        Some(permit.lent_until(now + LOAN_TIME))
    }
}

impl Record {
    /// Returns the requests and the requests sent again in the window that begins with a step.
    fn window(counts: &[usize], from: usize) -> usize {
        counts[from..from + WINDOW_STEPS].iter().sum()
    }

    /// Returns the window in which the allowance was used up furthest: by the requests of that window, of
    /// the one before it, or of the one half a window before it, whichever has most.
    pub(crate) fn worst_window(&self, burst: f64) -> Window {
        let windows = (WINDOW_STEPS..STEPS).map(|step| {
            let requests = [step, step - WINDOW_STEPS, step - WINDOW_STEPS / 2];
            let requests = requests.map(|it| Self::window(&self.requests, it));
            let most = requests.into_iter().max().unwrap_or(0) as f64;
            let sent_again = Self::window(&self.sent_again, step);
            (sent_again, RATIO * most + burst, step)
        });
        let over = |it: &(usize, f64, usize)| it.0 as f64 - it.1;
        let worst = windows.max_by(|a, b| over(a).total_cmp(&over(b))).expect("a window");
        Window { sent_again: worst.0, allowed: worst.1, step: worst.2 }
    }

    /// Returns how many requests were sent again, of those that an entry wanted to.
    pub(crate) fn granted_of_asked(&self) -> (usize, usize) {
        (self.granted, self.asked)
    }
}
