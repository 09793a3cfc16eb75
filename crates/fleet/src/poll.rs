//! Polls upstreams and the platform, and schedules the polls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use rand::{Rng, RngExt};
use serde::Deserialize;
use types::{StepError, StepResult, UpstreamName};

use crate::availability::Answer;
use crate::client::{HttpClient, is_refused};
use crate::order;
use crate::plan::ReadBack;
use crate::platform::VmList;

/// How often an upstream is polled for its load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of polls per second. With more upstreams, each is polled less often.
const MAX_POLLS_PER_SECOND: u32 = 200;

/// The timeout of a poll.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest delay of the first poll of an upstream; each delay is drawn at random.
const MAX_INITIAL_DELAY: Duration = Duration::from_secs(1);

/// The largest factor by which the poll interval of an upstream that does not answer is extended.
/// The factor grows by one with each unanswered poll.
const MAX_BACKOFF_FACTOR: u32 = 4;

/// The load that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
struct LoadAnswer {
    running: u32,
    waiting: u32,
    #[serde(default)]
    draining: bool,
}

/// The result of a load poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadPoll {
    pub(crate) answer: Answer,
    /// The number of calls running and waiting.
    pub(crate) calls: Option<u32>,
}

/// Polls an upstream for its load.
pub(crate) async fn load(http: &HttpClient, address: SocketAddr) -> LoadPoll {
    let no_answer = LoadPoll { answer: Answer::NoAnswer, calls: None };
    let reply = match http.get(address, "/v1/load", POLL_TIMEOUT).await {
        Ok(reply) => reply,
        Err(error) if is_refused(&error) => {
            return LoadPoll { answer: Answer::Refused, calls: None };
        }
        Err(_) => return no_answer,
    };
    if reply.status == StatusCode::SERVICE_UNAVAILABLE && reply.draining {
        return LoadPoll { answer: Answer::Draining, calls: None };
    }
    if reply.status != StatusCode::OK {
        return no_answer;
    }
    let Ok(load) = reply.json::<LoadAnswer>() else {
        return no_answer;
    };
    let answer = if load.draining || reply.draining { Answer::Draining } else { Answer::Serving };
    LoadPoll { answer, calls: Some(load.running.saturating_add(load.waiting)) }
}

/// Reads an engine's last order.
pub(crate) async fn read_back(http: &HttpClient, address: SocketAddr) -> StepResult<ReadBack> {
    let reply = http.get(address, order::ORDERS_PATH, POLL_TIMEOUT).await?;
    if reply.status != StatusCode::OK {
        return Err(StepError::new("read order", reply.status.to_string()).at(address));
    }
    reply.json().map_err(|e| StepError::new("read order", e).at(address))
}

/// Reads the platform's list.
pub(crate) async fn list(http: &HttpClient, address: SocketAddr) -> StepResult<VmList> {
    let reply = http.get(address, "/v1/vms", POLL_TIMEOUT).await?;
    if reply.status != StatusCode::OK {
        return Err(StepError::new("read list", reply.status.to_string()).at(address));
    }
    reply.json().map_err(|e| StepError::new("read list", e).at(address))
}

#[derive(Clone, Copy, Debug)]
struct ScheduledPoll {
    due: Instant,
    busy: bool,
    unanswered: u32,
}

/// Schedules the polls of each upstream, with a limit on the polls in flight.
#[derive(Debug)]
pub(crate) struct PollSchedule {
    polls: BTreeMap<UpstreamName, ScheduledPoll>,
    interval: Duration,
    running: usize,
    limit: usize,
}

impl PollSchedule {
    pub(crate) fn new(limit: usize) -> Self {
        Self { polls: BTreeMap::new(), interval: LOAD_POLL_INTERVAL, running: 0, limit }
    }

    /// Sets the upstreams to poll for their load, at the usual rate.
    pub(crate) fn set_load(&mut self, names: Vec<UpstreamName>, now: Instant, rng: &mut impl Rng) {
        let slowest = Duration::from_secs(1) * names.len() as u32 / MAX_POLLS_PER_SECOND;
        self.set(names, LOAD_POLL_INTERVAL.max(slowest), now, rng);
    }

    /// Sets the upstreams to poll and the interval. The first polls of new upstreams are spread at
    /// random, which keeps their later polls apart as well.
    pub(crate) fn set(
        &mut self,
        names: Vec<UpstreamName>,
        interval: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        self.interval = interval;
        let old = std::mem::take(&mut self.polls);
        for name in names {
            let mut first = || MAX_INITIAL_DELAY.min(interval).mul_f64(rng.random_range(0.0..1.0));
            let known = old.get(&name).copied();
            let poll = known.unwrap_or_else(|| ScheduledPoll {
                due: now + first(),
                busy: false,
                unanswered: 0,
            });
            self.polls.insert(name, poll);
        }
    }

    /// Makes an upstream due at once.
    pub(crate) fn poll_now(&mut self, name: &UpstreamName, now: Instant) {
        if let Some(poll) = self.polls.get_mut(name) {
            poll.due = now;
        }
    }

    /// Returns whether a poll of an upstream is in flight.
    pub(crate) fn is_polling(&self, name: &UpstreamName) -> bool {
        self.polls.get(name).is_some_and(|it| it.busy)
    }

    /// Starts and returns the polls that are due, within the limit, the most overdue first.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<UpstreamName> {
        let waiting = self.polls.iter().filter(|(_, it)| !it.busy && it.due <= now);
        let mut due: Vec<(Instant, UpstreamName)> =
            waiting.map(|(name, it)| (it.due, name.clone())).collect();
        due.sort_by_key(|(at, _)| *at);
        due.truncate(self.limit.saturating_sub(self.running));
        for (_, name) in &due {
            if let Some(poll) = self.polls.get_mut(name) {
                poll.busy = true;
                self.running += 1;
            }
        }
        due.into_iter().map(|(_, name)| name).collect()
    }

    /// Records that a poll ended.
    pub(crate) fn finish(&mut self, name: &UpstreamName, answered: bool, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let interval = self.interval;
        if let Some(poll) = self.polls.get_mut(name) {
            poll.unanswered =
                if answered { 0 } else { (poll.unanswered + 1).min(MAX_BACKOFF_FACTOR) };
            poll.busy = false;
            poll.due = now + interval * poll.unanswered.max(1);
        }
    }
}
