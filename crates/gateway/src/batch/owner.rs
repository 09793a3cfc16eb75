//! The owner's side: queues the pieces of its sections and sends the calls.

mod audience;
mod borrower;
mod calls;
mod jobs;
mod lending;
mod loans;
mod notify;
mod results;
mod space;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use wire::{Hello, Secret};

use crate::batch::message::{ConnectionLoan, FromOwner, PiecesDone, ToOwner};
use crate::batch::queue::{JobKey, NextCall, Piece, Queue, Target};
use crate::budget::{Retries, RetryPermit};
use crate::dialect::{Dialect, Handle, PieceAnswer, PieceFailure, SpaceReport};
use crate::exchange::{self, Fault};
use crate::room;
use crate::section::Section;
use crate::shared::Shared;
use crate::upstream::Upstream;

use self::audience::Audience;
use self::borrower::ProcessState;
use self::calls::{Calls, InFlightCall};
use self::jobs::SubmitContext;
use self::loans::Loans;
use self::space::SpaceQuery;

/// How often the queues are checked if no event arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// How often entries are sent the backlogs.
const BACKLOG_INTERVAL: Duration = Duration::from_millis(80);

/// A call that takes this many times its expected time plus [`OVERDUE_SLACK`] is overdue: its
/// pieces are sent to other upstreams while it goes on.
const OVERDUE_FACTOR: f64 = 2.0;

/// See [`OVERDUE_FACTOR`].
const OVERDUE_SLACK: Duration = Duration::from_millis(150);

/// A call that takes this many times its expected time plus [`SILENCE_SLACK`] is silent: its upstream gets
/// other calls while it goes on.
const SILENCE_FACTOR: u32 = 4;

/// See [`SILENCE_FACTOR`].
const SILENCE_SLACK: Duration = Duration::from_secs(1);

/// How long an upstream takes to fetch the inputs of a call after it was sent. At 10 Gbit/s a fetch
/// takes some ms, but several calls may fetch from one upstream at once.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(150);

/// How long released results are collected before their upstreams are told.
const FREE_INTERVAL: Duration = Duration::from_millis(30);

/// The cause in logs and metrics of the failure of a piece whose deadline has passed.
const LATE_CAUSE: &str = "deadline";

/// The origin of this entry's own jobs.
pub(crate) const LOCAL_ORIGIN: u64 = 0;

/// The channel for the answers to a job.
pub(crate) type Replies = mpsc::UnboundedSender<FromOwner>;

/// An event that the owner handles.
pub(crate) enum OwnerEvent {
    /// A message from a connection, or from this entry itself.
    Message(u64, ToOwner, Replies),
    /// An entry asks for one of this entry's connections to an upstream.
    BorrowConnection { borrower: Hello, loan: ConnectionLoan, replies: Replies },
    /// An entry returns the connection that it borrowed under this number.
    ReturnConnection(Hello, u64),
    /// The connection of a process has ended.
    Disconnected(u64, Hello),
    /// An entry that has borrowed connections was asked whether it still runs.
    BorrowerAsked(Hello, ProcessState),
    /// A call has ended.
    CallEnded(CallEnd),
    /// An upstream reported its free space for results, or did not answer.
    SpaceReport(Arc<Upstream>, Section, Option<SpaceReport>),
    /// An upstream dropped results as requested.
    ResultsFreed(Arc<Upstream>, Vec<Handle>),
}

/// The outcome of a call.
pub(crate) struct CallEnd {
    section: Section,
    upstream: Arc<Upstream>,
    call: u64,
    pieces: Vec<Piece>,
    took: Duration,
    outcome: Result<PieceAnswer, Fault>,
}

/// The dependencies of an owner.
pub(crate) struct OwnerConfig<D> {
    pub(crate) shared: Arc<Shared<D>>,
    /// The secret of the deployment, and this process.
    pub(crate) identity: (Secret, Hello),
}

/// A handle to a running owner.
#[derive(Clone)]
pub(crate) struct Owner {
    events: mpsc::UnboundedSender<Arrival>,
}

/// An event, and when it arrived.
struct Arrival {
    event: OwnerEvent,
    at: Instant,
}

/// A job that is not completed.
struct OpenJob {
    section: Section,
    replies: Replies,
    left: HashSet<u32>,
}

struct State<D> {
    shared: Arc<Shared<D>>,
    identity: (Secret, Hello),
    /// The handle to this owner, for the tasks that it starts.
    events: Owner,
    queues: HashMap<Section, Queue>,
    jobs: HashMap<JobKey, OpenJob>,
    calls: Calls,
    /// The state of the query for free space at each upstream.
    space_queries: HashMap<Arc<str>, SpaceQuery>,
    /// The number of the last call.
    last_call: u64,
    /// The released results by the address of the upstream that stores them, and when upstreams
    /// were last told of releases.
    released: HashMap<std::net::SocketAddr, Vec<Handle>>,
    releases_sent: Instant,
    audience: Audience,
    loans: Loans,
    /// Results that are sent at the end of the step, with those of one job in one message.
    outbox: HashMap<JobKey, (Replies, PiecesDone)>,
    /// Whether waiting jobs were returned to their entries because this entry is shutting down.
    jobs_returned: bool,
    /// When the backlogs were last sent, and whether any piece was waiting then.
    backlogs_sent: (Instant, bool),
}

impl Owner {
    /// Starts an owner.
    pub(crate) fn spawn<D: Dialect>(config: OwnerConfig<D>) -> Self {
        let (events, incoming) = mpsc::unbounded_channel();
        let owner = Self { events };
        let state = State {
            shared: config.shared,
            identity: config.identity,
            events: owner.clone(),
            queues: HashMap::new(),
            jobs: HashMap::new(),
            calls: Calls::default(),
            space_queries: HashMap::new(),
            last_call: 0,
            released: HashMap::new(),
            releases_sent: Instant::now(),
            loans: Loans::default(),
            audience: Audience::default(),
            outbox: HashMap::new(),
            jobs_returned: false,
            backlogs_sent: (Instant::now(), false),
        };
        tokio::spawn(run(state, incoming));
        owner
    }

    /// Sends an event to the owner, which runs as long as the process.
    pub(crate) fn send(&self, event: OwnerEvent) {
        // The owner's task ends only with the process.
        let _ = self.events.send(Arrival { event, at: Instant::now() });
    }
}

async fn run<D: Dialect>(mut state: State<D>, mut incoming: mpsc::UnboundedReceiver<Arrival>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let busy = !state.jobs.is_empty() || !state.released.is_empty() || state.backlogs_sent.1;
        let mut begun = None;
        tokio::select! {
            arrival = incoming.recv() => {
                let Some(arrival) = arrival else { return };
                begun = Some(Instant::now());
                state.handle_arrival(arrival);
                while let Ok(arrival) = incoming.try_recv() {
                    state.handle_arrival(arrival);
                }
            }
            _ = ticks.tick(), if busy => {}
        }
        let begun = begun.unwrap_or_else(Instant::now);
        state.step();
        state.shared.metrics.owner_step.observe(begun.elapsed().as_secs_f64());
    }
}

impl<D: Dialect> State<D> {
    fn handle_arrival(&mut self, Arrival { event, at }: Arrival) {
        self.shared.metrics.owner_delay.observe(at.elapsed().as_secs_f64());
        self.handle(event);
    }

    fn handle(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Message(origin, ToOwner::Submit(job), replies) => {
                self.submit(origin, SubmitContext::default(), job, replies);
            }
            OwnerEvent::Message(origin, ToOwner::SubmitToDomain(domain, job), replies) => {
                self.submit(
                    origin,
                    SubmitContext { domain: Some(domain), digest: None },
                    job,
                    replies,
                );
            }
            OwnerEvent::Message(origin, ToOwner::SubmitWithDigest(it), replies) => {
                let context = SubmitContext { domain: it.domain, digest: Some(it.digest) };
                self.submit(origin, context, it.job, replies);
            }
            OwnerEvent::Message(origin, ToOwner::Cancel(id), _) => {
                let key = JobKey { origin, id };
                self.jobs.remove(&key);
                self.queues.values_mut().for_each(|it| it.cancel(key));
            }
            OwnerEvent::Message(_, ToOwner::Free(handles), _) => self.release(handles),
            OwnerEvent::Message(_, ToOwner::Borrow(loan), replies) => {
                self.lend(&loan, Retries(loan.count.into()), &replies);
            }
            OwnerEvent::Message(_, ToOwner::BorrowRest(it), replies) => {
                self.lend(&it.loan, Retries(f64::from(it.missing) / 1e3), &replies);
            }
            OwnerEvent::Message(_, ToOwner::BorrowRoom(loan), replies) => {
                self.lend_room(&loan, &replies);
            }
            OwnerEvent::Message(_, ToOwner::SettleRoom(upstream), _) => {
                if let Some(upstream) = self.shared.directory().upstream(&upstream) {
                    upstream.record_settled();
                }
            }
            // The connection's own task handles these.
            OwnerEvent::Message(
                _,
                ToOwner::SubscribeRelays
                | ToOwner::AskLists(_)
                | ToOwner::Relayed(_)
                | ToOwner::BorrowConnection(_)
                | ToOwner::ReturnConnection(_),
                _,
            ) => {}
            OwnerEvent::BorrowConnection { borrower, loan, replies } => {
                self.lend_connection(borrower, &loan, &replies);
            }
            OwnerEvent::ReturnConnection(borrower, id) => self.loans.end(&borrower, id),
            OwnerEvent::Disconnected(origin, hello) => {
                self.watch_borrower(&hello);
                self.audience.remove(origin);
                self.jobs.retain(|key, _| key.origin != origin);
                self.queues.values_mut().for_each(|it| it.drop_jobs(|key| key.origin == origin));
            }
            OwnerEvent::BorrowerAsked(borrower, state) => self.borrower_asked(&borrower, state),
            OwnerEvent::CallEnded(end) => self.call_ended(end),
            OwnerEvent::SpaceReport(upstream, section, report) => {
                self.handle_space_report(&upstream, &section, report);
            }
            OwnerEvent::ResultsFreed(upstream, handles) => {
                let section = self.shared.directory().section_of(&upstream);
                if let Some(queue) = self.queues.get_mut(&section) {
                    queue.tick(Instant::now());
                    queue.results_freed(&upstream.id, &handles);
                }
            }
        }
    }

    fn release(&mut self, handles: Vec<String>) {
        for handle in handles.into_iter().map(Handle::from) {
            if let Some(address) = D::holder(&handle) {
                self.released.entry(address).or_default().push(handle);
            }
        }
    }

    /// Sends everything that is due: calls, results, backlogs and released results.
    fn step(&mut self) {
        let now = Instant::now();
        if self.shared.drain.is_ending() && !self.jobs_returned {
            self.return_jobs();
        }
        self.requeue_overdue(now);
        self.leave_silent(now);
        self.abandon_unwanted();
        self.send_fetched(now);
        let sections: Vec<Section> = self.queues.keys().cloned().collect();
        for section in sections {
            self.fail_late(&section, now);
            self.send_calls(&section, now);
        }
        self.send_results();
        if now.duration_since(self.backlogs_sent.0) >= BACKLOG_INTERVAL {
            self.send_backlogs(now);
        }
        if !self.released.is_empty() && now.duration_since(self.releases_sent) >= FREE_INTERVAL {
            self.releases_sent = now;
            self.send_releases();
        }
    }

    /// Fails the pieces whose deadline has passed or that cannot be completed before it by what
    /// time and space allow.
    fn fail_late(&mut self, section: &Section, now: Instant) {
        let available = self.available_upstreams(section, now);
        let members = self.shared.directory().members(section);
        let served_from = now + room::shortest_pause(&members, now).unwrap_or_default();
        let Some(queue) = self.queues.get_mut(section) else { return };
        let expired = queue.take_expired(served_from);
        let infeasible = queue.take_infeasible(available, now);
        let late = expired.into_iter().map(|it| (it, LATE_CAUSE));
        let late = late.chain(infeasible.into_iter().map(|it| (it.0, it.1.name())));
        // A call that has the piece may still answer.
        for (piece, cause) in late.filter(|it| !self.calls.hold(&it.0)).collect::<Vec<_>>() {
            let left = piece.deadline.saturating_duration_since(now);
            log::info!(request = &*piece.attempt, section:% = section, stage = piece.stage, cause,
                left_ms = left.as_millis() as u64,
                waited_ms = now.saturating_duration_since(piece.queued_at).as_millis() as u64;
                "a piece cannot be made in time");
            self.shared.metrics.late_pieces(&section.service, cause).inc();
            self.deliver(&piece, Err(PieceFailure::Late), now, Duration::ZERO);
        }
    }

    /// Returns how many upstreams of a section accept calls.
    fn available_upstreams(&self, section: &Section, now: Instant) -> usize {
        let upstreams = self.shared.directory().members(section);
        let available = |it: &&Arc<Upstream>| {
            it.is_open() && !it.is_ejected(now) && it.pause_end(now).is_none()
        };
        upstreams.iter().filter(available).count()
    }

    fn send_calls(&mut self, section: &Section, now: Instant) {
        if self.queues.get(section).is_none_or(Queue::is_empty) {
            return;
        }
        let directory = self.shared.directory();
        let upstreams = directory.members(section);
        let targets: Vec<Target> = upstreams
            .iter()
            .map(|it| Target {
                id: Arc::clone(&it.id),
                domain: Arc::clone(&it.domain),
                available: it.is_open()
                    && !it.is_ejected(now)
                    && it.pause_end(now).is_none()
                    && !self.calls.is_used_elsewhere(&it.id, section)
                    && self.is_space_known(it, section, now),
                limit: it.owner_room(now).map_or(usize::MAX, |it| it as usize),
            })
            .collect();
        self.refresh_space(section, &upstreams, now);
        let Some(queue) = self.queues.get_mut(section) else { return };
        let listed: HashSet<&str> = upstreams.iter().map(|it| &*it.id).collect();
        queue.retain(|id| listed.contains(id));
        let mut calls = Vec::new();
        while let Some(next) = queue.next_call(&targets, now) {
            calls.push(next);
        }
        for next in calls {
            let Some(upstream) = directory.upstream(&next.upstream) else { break };
            self.send_call(Arc::clone(upstream), section, next, now);
        }
    }

    fn send_call(
        &mut self,
        upstream: Arc<Upstream>,
        section: &Section,
        next: NextCall,
        now: Instant,
    ) {
        self.last_call += 1;
        self.record_call(&upstream.id, now);
        upstream.record_call(next.pieces.len() as u32, now);
        let task = tokio::spawn(call::<D>(
            self.events.clone(),
            Arc::clone(&upstream),
            section.clone(),
            self.last_call,
            next.pieces.clone(),
        ));
        self.calls.insert(InFlightCall {
            call: self.last_call,
            section: section.clone(),
            upstream,
            task: task.abort_handle(),
            overdue_at: now + next.expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_SLACK,
            silent_at: now + next.expected * SILENCE_FACTOR + SILENCE_SLACK,
            pieces: next.pieces,
            is_overdue: false,
            fetched_at: now + INPUT_FETCH_TIME,
            fetched_sent: false,
        });
    }
}

async fn call<D: Dialect>(
    events: Owner,
    upstream: Arc<Upstream>,
    section: Section,
    call: u64,
    pieces: Vec<Piece>,
) {
    let start = Instant::now();
    let calls: Vec<_> = pieces.iter().map(|it| it.to_call(start)).collect();
    let by = pieces.iter().map(|it| it.deadline).max().unwrap_or(start);
    let permits: Vec<Arc<RetryPermit>> = pieces.iter().filter_map(|it| it.permit.clone()).collect();
    let outcome = exchange::pieces::<D>(&upstream, &calls, &permits, by).await;
    let took = start.elapsed();
    let end = CallEnd { section, upstream, call, pieces, took, outcome };
    events.send(OwnerEvent::CallEnded(end));
}
