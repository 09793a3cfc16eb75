//! The owner's side: queues the pieces of its services and drives the calls.

mod jobs;
mod results;
mod room;
mod tell;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::batch::message::{FromOwner, PiecesDone, ToOwner};
use crate::batch::queue::{JobKey, Lane, NextCall, Piece, Queue};
use crate::dialect::{Dialect, Handle, PieceAnswer, PieceFailure, RoomReport};
use crate::exchange::{self, Fault};
use crate::section::Section;
use crate::shared::Shared;
use crate::upstream::Upstream;

use self::jobs::Asked;
use self::room::Survey;

/// How often waiting pieces are looked at besides events.
const PERIOD: Duration = Duration::from_millis(25);

/// How often entries are told how long pieces wait.
const BACKLOG_PERIOD: Duration = Duration::from_millis(80);

/// A call that takes this many times its expected time, and [`OVERDUE`] more, is overdue: its
/// pieces are sent elsewhere while it goes on.
const OVERDUE_FACTOR: f64 = 2.0;

/// See [`OVERDUE_FACTOR`].
const OVERDUE: Duration = Duration::from_millis(150);

/// A call that takes this many times its expected time, and [`CALL_SLACK`] more, is given up.
const CALL_FACTOR: u32 = 4;

/// See [`CALL_FACTOR`].
const CALL_SLACK: Duration = Duration::from_secs(1);

/// How long an upstream takes to fetch the inputs of a call, from its sending on. At 10 Gbit/s some
/// ms; several calls may fetch from one maker at once.
const FETCH: Duration = Duration::from_millis(150);

/// How long given-up results are collected before the upstream is told.
const FREE_PERIOD: Duration = Duration::from_millis(30);

/// The origin of this entry's own jobs.
pub(crate) const OWN: u64 = 0;

/// Where a job's answers go.
pub(crate) type Replies = mpsc::UnboundedSender<FromOwner>;

/// What the owner is told.
pub(crate) enum OwnerEvent {
    /// A connection, or this entry itself, tells something.
    Told(u64, ToOwner, Replies),
    /// A connection has ended.
    Left(u64),
    /// A call has ended.
    Ended(CallEnd),
    /// An upstream told its room, or gave no answer.
    Room(Arc<Upstream>, Section, Option<RoomReport>),
    /// An upstream was told to drop results.
    Freed(Arc<Upstream>, Vec<Handle>),
}

/// The end of a call.
pub(crate) struct CallEnd {
    section: Section,
    upstream: Arc<Upstream>,
    call: u64,
    pieces: Vec<Piece>,
    took: Duration,
    outcome: Result<PieceAnswer, Fault>,
}

/// What the owner needs.
pub(crate) struct OwnerConfig<D> {
    pub(crate) shared: Arc<Shared<D>>,
}

/// The handle of a running owner.
#[derive(Clone)]
pub(crate) struct Owner {
    events: mpsc::UnboundedSender<OwnerEvent>,
}

/// A job that is not done.
struct Open {
    section: Section,
    replies: Replies,
    left: HashSet<u32>,
}

/// A call under way.
struct Flying {
    call: u64,
    section: Section,
    overdue: Instant,
    pieces: Vec<Piece>,
    /// Whether it was found to be overdue.
    overtaken: bool,
    /// The pieces that were put back then, by job and number; others may make them.
    again: HashSet<(JobKey, u32)>,
    /// When its upstream has fetched the inputs, and whether the submitters were told.
    fetched: Instant,
    told_fetched: bool,
}

struct State<D> {
    shared: Arc<Shared<D>>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    queues: HashMap<Section, Queue>,
    jobs: HashMap<JobKey, Open>,
    flying: HashMap<Arc<str>, Flying>,
    /// What is known of the room of each upstream.
    surveys: HashMap<Arc<str>, Survey>,
    calls: u64,
    free: HashMap<std::net::SocketAddr, Vec<Handle>>,
    freed: Instant,
    /// Where each connection's answers go.
    peers: HashMap<u64, Replies>,
    /// Results that are told at the end of the turn, those of one job together.
    outbox: HashMap<JobKey, (Replies, PiecesDone)>,
    /// Whether waiting jobs were handed back, since this entry ends.
    handed_back: bool,
    /// When backlogs were told last, and whether there were any.
    told: (Instant, bool),
}

impl Owner {
    /// Starts an owner.
    pub(crate) fn spawn<D: Dialect>(config: OwnerConfig<D>) -> Self {
        let (events, incoming) = mpsc::unbounded_channel();
        let state = State {
            shared: config.shared,
            events: events.clone(),
            queues: HashMap::new(),
            jobs: HashMap::new(),
            flying: HashMap::new(),
            surveys: HashMap::new(),
            calls: 0,
            free: HashMap::new(),
            freed: Instant::now(),
            peers: HashMap::new(),
            outbox: HashMap::new(),
            handed_back: false,
            told: (Instant::now(), false),
        };
        tokio::spawn(run(state, incoming));
        Self { events }
    }

    /// Tells the owner something; it lives as long as the process.
    pub(crate) fn tell(&self, event: OwnerEvent) {
        // The owner's task ends only with the process.
        let _ = self.events.send(event);
    }
}

async fn run<D: Dialect>(mut state: State<D>, mut incoming: mpsc::UnboundedReceiver<OwnerEvent>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let busy = !state.jobs.is_empty() || !state.free.is_empty() || state.told.1;
        tokio::select! {
            event = incoming.recv() => {
                let Some(event) = event else { return };
                state.take(event);
                while let Ok(event) = incoming.try_recv() {
                    state.take(event);
                }
            }
            _ = ticks.tick(), if busy => {}
        }
        state.turn();
    }
}

impl<D: Dialect> State<D> {
    fn take(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Told(origin, ToOwner::Submit(job), replies) => {
                self.submit(origin, Asked::default(), job, replies);
            }
            OwnerEvent::Told(origin, ToOwner::SubmitIn(domain, job), replies) => {
                self.submit(origin, Asked { domain: Some(domain), digest: None }, job, replies);
            }
            OwnerEvent::Told(origin, ToOwner::SubmitOf(it), replies) => {
                let asked = Asked { domain: it.domain, digest: Some(it.digest) };
                self.submit(origin, asked, it.job, replies);
            }
            OwnerEvent::Told(origin, ToOwner::Cancel(id), _) => {
                let key = JobKey { origin, id };
                self.jobs.remove(&key);
                self.queues.values_mut().for_each(|it| it.cancel(key));
            }
            OwnerEvent::Told(_, ToOwner::Free(handles), _) => self.give_up(handles),
            // The connection passes news on by itself.
            OwnerEvent::Told(_, ToOwner::Follow, _) => {}
            OwnerEvent::Left(origin) => {
                self.peers.remove(&origin);
                self.jobs.retain(|key, _| key.origin != origin);
                self.queues.values_mut().for_each(|it| it.drop_jobs(|key| key.origin == origin));
            }
            OwnerEvent::Ended(end) => self.ended(end),
            OwnerEvent::Room(upstream, section, report) => {
                self.take_room(&upstream, &section, report);
            }
            OwnerEvent::Freed(upstream, handles) => {
                let section = self.shared.directory().section_of(&upstream);
                if let Some(queue) = self.queues.get_mut(&section) {
                    queue.freed(&upstream.id, &handles);
                }
            }
        }
    }

    fn give_up(&mut self, handles: Vec<String>) {
        for handle in handles.into_iter().map(Handle::from) {
            if let Some(address) = D::holder(&handle) {
                self.free.entry(address).or_default().push(handle);
            }
        }
    }

    /// Sends what should go out now.
    fn turn(&mut self) {
        let now = Instant::now();
        if self.shared.drain.is_ending() && !self.handed_back {
            self.hand_back();
        }
        self.requeue_overdue(now);
        self.tell_fetched(now);
        let sections: Vec<Section> = self.queues.keys().cloned().collect();
        for section in sections {
            self.end_late(&section, now);
            self.send_calls(&section, now);
        }
        self.tell_results();
        if now.duration_since(self.told.0) >= BACKLOG_PERIOD {
            self.tell_backlogs(now);
        }
        if !self.free.is_empty() && now.duration_since(self.freed) >= FREE_PERIOD {
            self.freed = now;
            self.send_free();
        }
    }

    /// Ends the pieces whose deadline has passed, and those that can't be made before it.
    fn end_late(&mut self, section: &Section, now: Instant) {
        let lanes = self.lanes(section, now);
        let Some(queue) = self.queues.get_mut(section) else { return };
        let mut late = queue.take_expired(now);
        late.append(&mut queue.take_infeasible(lanes, now));
        for piece in late {
            self.deliver(&piece, Err(PieceFailure::Late), now, Duration::ZERO);
        }
    }

    /// How many upstreams of a section take calls.
    fn lanes(&self, section: &Section, now: Instant) -> usize {
        let upstreams = self.shared.directory().members(section);
        upstreams.iter().filter(|it| it.is_open() && !it.is_ejected(now)).count()
    }

    /// Whether an upstream works on a call of another section: the list may have changed meanwhile.
    fn works_elsewhere(&self, upstream: &str, section: &Section) -> bool {
        self.flying.get(upstream).is_some_and(|it| it.section != *section)
    }

    fn send_calls(&mut self, section: &Section, now: Instant) {
        if self.queues.get(section).is_none_or(Queue::is_empty) {
            return;
        }
        let upstreams = self.shared.directory().members(section);
        let lanes: Vec<Lane> = upstreams
            .iter()
            .map(|it| Lane {
                id: Arc::clone(&it.id),
                domain: Arc::clone(&it.domain),
                open: it.is_open()
                    && !it.is_ejected(now)
                    && !self.works_elsewhere(&it.id, section)
                    && self.is_surveyed(it, section, now),
            })
            .collect();
        let Some(queue) = self.queues.get_mut(section) else { return };
        queue.retain(|id| upstreams.iter().any(|it| &*it.id == id));
        let mut calls = Vec::new();
        while let Some(next) = queue.next(&lanes, now) {
            calls.push(next);
        }
        for next in calls {
            let Some(upstream) = upstreams.iter().find(|it| it.id == next.upstream) else { break };
            self.send(Arc::clone(upstream), section, next, now);
        }
    }

    fn send(&mut self, upstream: Arc<Upstream>, section: &Section, next: NextCall, now: Instant) {
        self.calls += 1;
        self.uses(&upstream.id, now);
        let flying = Flying {
            call: self.calls,
            section: section.clone(),
            overdue: now + next.expected.mul_f64(OVERDUE_FACTOR) + OVERDUE,
            pieces: next.pieces.clone(),
            overtaken: false,
            again: HashSet::new(),
            fetched: now + FETCH,
            told_fetched: false,
        };
        self.flying.insert(Arc::clone(&next.upstream), flying);
        tokio::spawn(call::<D>(self.events.clone(), upstream, section.clone(), self.calls, next));
    }
}

async fn call<D: Dialect>(
    events: mpsc::UnboundedSender<OwnerEvent>,
    upstream: Arc<Upstream>,
    section: Section,
    call: u64,
    next: NextCall,
) {
    let start = Instant::now();
    let calls: Vec<_> = next.pieces.iter().map(|it| it.call(start)).collect();
    let by = start + next.expected * CALL_FACTOR + CALL_SLACK;
    let outcome = exchange::pieces::<D>(&upstream, &calls, by).await;
    let took = start.elapsed();
    let end = CallEnd { section, upstream, call, pieces: next.pieces, took, outcome };
    // The owner's task ends only with the process.
    let _ = events.send(OwnerEvent::Ended(end));
}
