//! The leader's work during a term: polls, digests and orders.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};
use types::{Digest, Fence, Service, StepError, StepResult, UnixMillis, UpstreamName};

use crate::bucket::WeightBucket;
use crate::client::HttpClient;
use crate::digest::DigestMaker;
use crate::fleet::{Inputs, Message};
use crate::order::Order;
use crate::plan::{Decision, Engine, NextOrder, Plan, ReadBack};
use crate::platform::VmList;
use crate::poll::{self, LoadPoll, POLL_TIMEOUT, PollSchedule};
use crate::state::{FleetState, upstreams};
use crate::{Authority, FleetView, Target};

/// How often the polls that are due are started.
const START_POLLS_INTERVAL: Duration = Duration::from_millis(50);

/// How often digests are built and orders are decided.
const DECIDE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a new leader delays its first digest, until its first polls have ended. An earlier
/// digest would report upstreams as live that this leader has not polled yet, although the previous
/// leader knew better.
const FIRST_DIGEST_DELAY: Duration = Duration::from_millis(1_200);

/// How often the platform's list is read.
const PLATFORM_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of load polls in flight.
const MAX_LOAD_POLLS: usize = 64;

/// The maximum number of reads of last orders in flight.
const MAX_READ_POLLS: usize = 16;

/// The shortest and the longest interval between two reads of an engine's last order. In between,
/// the interval is half the longest time of an order. Reading continues after an engine shows its
/// target: an order of a leader that was frozen may still arrive, and only a read detects it.
const READ_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(5));

/// The result of a task.
enum TaskResult {
    List(StepResult<VmList>),
    Load(UpstreamName, LoadPoll),
    Read(UpstreamName, StepResult<ReadBack>),
    Ordered(UpstreamName, StepResult<Fence>),
}

/// The state of the task behind the [`Fleet`](crate::Fleet) handle.
pub(crate) struct Leader<A> {
    authority: Arc<A>,
    platform: Option<SocketAddr>,
    http: HttpClient,
    view: Arc<ArcSwap<FleetView>>,
    digests: mpsc::Sender<Digest>,
    state: FleetState,
    service: Arc<Service>,
    engines: BTreeMap<UpstreamName, Engine>,
    last_errors: BTreeMap<UpstreamName, String>,
    /// Engines whose read in flight began before their last order ended.
    stale_reads: BTreeSet<UpstreamName>,
    bucket: WeightBucket,
    digest_maker: DigestMaker,
    loads: PollSchedule,
    reads: PollSchedule,
    leading_since: Instant,
    list_due: Instant,
}

impl<A: Authority> Leader<A> {
    pub(crate) fn new(
        authority: A,
        platform: Option<SocketAddr>,
        view: Arc<ArcSwap<FleetView>>,
        digests: mpsc::Sender<Digest>,
    ) -> Self {
        let now = Instant::now();
        Self {
            authority: Arc::new(authority),
            platform,
            http: HttpClient::new(POLL_TIMEOUT),
            view,
            digests,
            state: FleetState::default(),
            service: Arc::default(),
            engines: BTreeMap::new(),
            last_errors: BTreeMap::new(),
            stale_reads: BTreeSet::new(),
            bucket: WeightBucket::new(now),
            digest_maker: DigestMaker::new(0),
            loads: PollSchedule::new(MAX_LOAD_POLLS),
            reads: PollSchedule::new(MAX_READ_POLLS),
            leading_since: now,
            list_due: now,
        }
    }

    /// Waits for terms and leads through each, until the handle is dropped.
    pub(crate) async fn run(
        mut self,
        mut inputs: watch::Receiver<Inputs>,
        mut messages: mpsc::Receiver<Message>,
    ) {
        loop {
            let term = inputs.borrow_and_update().term;
            if let Some(term) = term {
                self.lead(term, &mut inputs, &mut messages).await;
                self.view.store(Arc::default());
                if inputs.has_changed().is_err() {
                    return;
                }
                continue;
            }
            tokio::select! {
                changed = inputs.changed() => if changed.is_err() { return },
                Some(message) = messages.recv() => self.handle_message(message),
            }
        }
    }

    /// Leads until the term is over. Dropping the task set then aborts every call in flight.
    async fn lead(
        &mut self,
        term: u64,
        inputs: &mut watch::Receiver<Inputs>,
        messages: &mut mpsc::Receiver<Message>,
    ) {
        let current = inputs.borrow().clone();
        self.start_term(&current);
        let mut tasks = JoinSet::new();
        let mut polls = interval(START_POLLS_INTERVAL);
        let mut decisions = interval(DECIDE_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        decisions.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                changed = inputs.changed() => {
                    let current = inputs.borrow().clone();
                    if changed.is_err() || current.term != Some(term) {
                        return;
                    }
                    self.update(&current);
                }
                Some(result) = tasks.join_next() => match result {
                    Ok(result) => self.handle_result(result),
                    Err(error) => log::error!("a poll or order task failed: {error}"),
                },
                Some(message) = messages.recv() => self.handle_message(message),
                _ = polls.tick() => self.poll(&mut tasks),
                _ = decisions.tick() => self.decide(term, inputs, &mut tasks),
            }
        }
    }

    fn start_term(&mut self, inputs: &Inputs) {
        let now = Instant::now();
        self.leading_since = now;
        self.list_due = now;
        self.engines.clear();
        self.last_errors.clear();
        self.stale_reads.clear();
        self.bucket = WeightBucket::new(now);
        // The digest numbers start above those of earlier terms, as far as the members' clocks
        // agree.
        self.digest_maker = DigestMaker::new(UnixMillis::now().0);
        self.loads = PollSchedule::new(MAX_LOAD_POLLS);
        self.reads = PollSchedule::new(MAX_READ_POLLS);
        self.update(inputs);
    }

    fn update(&mut self, inputs: &Inputs) {
        let (now, service) = (Instant::now(), &inputs.service);
        self.state.update(service, &inputs.marks);
        let moved =
            |name: &UpstreamName| match (service.upstream(name), self.service.upstream(name)) {
                (Some((_, new)), Some((_, old))) => new.address != old.address,
                _ => true,
            };
        let gone: Vec<UpstreamName> =
            self.engines.keys().filter(|name| moved(name)).cloned().collect();
        gone.iter().for_each(|name| drop(self.engines.remove(name)));
        self.service = Arc::clone(service);
        let reporting = upstreams(service).filter(|(_, it)| it.reports);
        let reporting = reporting.map(|(name, _)| name.clone()).collect();
        self.loads.set_load(reporting, now, &mut rand::rng());
        let engines = upstreams(service).filter(|(_, it)| Target::of(service, it).is_some());
        let engines = engines.map(|(name, _)| name.clone()).collect();
        let interval = Duration::from(service.orders.longest) / 2;
        let interval = interval.clamp(READ_INTERVAL_BOUNDS.0, READ_INTERVAL_BOUNDS.1);
        self.reads.set(engines, interval, now, &mut rand::rng());
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Report(report) => self.state.take_report(report, Instant::now()),
            Message::Digest(digest) => self.state.inherit(&digest),
        }
    }

    /// Starts the polls that are due.
    fn poll(&mut self, tasks: &mut JoinSet<TaskResult>) {
        let now = Instant::now();
        if let Some(platform) = self.platform.filter(|_| self.list_due <= now) {
            self.list_due = now + PLATFORM_POLL_INTERVAL;
            let http = self.http.clone();
            tasks.spawn(async move { TaskResult::List(poll::list(&http, platform).await) });
        }
        for name in self.loads.take_due(now) {
            if let Some((_, upstream)) = self.service.upstream(&name) {
                let (http, address) = (self.http.clone(), upstream.address);
                tasks
                    .spawn(async move { TaskResult::Load(name, poll::load(&http, address).await) });
            }
        }
        for name in self.reads.take_due(now) {
            if let Some((_, upstream)) = self.service.upstream(&name) {
                let (http, address) = (self.http.clone(), upstream.address);
                tasks.spawn(async move {
                    TaskResult::Read(name, poll::read_back(&http, address).await)
                });
            }
        }
    }

    fn handle_result(&mut self, result: TaskResult) {
        let now = Instant::now();
        match result {
            TaskResult::List(Ok(list)) => self.state.take_list(&list, now),
            TaskResult::List(Err(error)) => self.state.ignore_list(error.to_string()),
            TaskResult::Load(name, poll) => {
                self.loads.finish(&name, poll.answer.is_answer(), now);
                self.state.record_poll(&name, poll, now);
            }
            TaskResult::Read(name, read) => self.handle_read(&name, read, now),
            TaskResult::Ordered(name, ordered) => self.handle_order_result(&name, ordered, now),
        }
    }

    fn handle_read(&mut self, name: &UpstreamName, read: StepResult<ReadBack>, now: Instant) {
        self.reads.finish(name, read.is_ok(), now);
        let Some((_, upstream)) = self.service.upstream(name) else {
            return;
        };
        let engine = self.engines.entry(name.clone()).or_default();
        // A read that began while an order was in flight may show the state before that order.
        if engine.is_ordered() {
            return;
        }
        if self.stale_reads.remove(name) {
            self.reads.poll_now(name, now);
            return;
        }
        let Ok(shown) = read else {
            engine.read_failed();
            return;
        };
        let models = self.service.models.iter();
        let mut models = models.filter(|(name, _)| name.as_str() == shown.model);
        let weights = models.next().map(|(_, model)| model.weights);
        if engine.read(shown, Target::of(&self.service, upstream).as_ref(), now) {
            // The previous leader ordered this load, and it uses the weight store now.
            self.bucket.charge(weights.unwrap_or_default());
        }
    }

    fn handle_order_result(
        &mut self,
        name: &UpstreamName,
        ordered: StepResult<Fence>,
        now: Instant,
    ) {
        self.engines.entry(name.clone()).or_default().end(ordered.is_err(), now);
        if self.reads.is_polling(name) {
            self.stale_reads.insert(name.clone());
        }
        self.reads.poll_now(name, now);
        match ordered {
            Ok(fence) => {
                log::info!(upstream = name.to_string(), fence = fence.0;
                    "engine accepted an order");
                self.last_errors.remove(name);
            }
            Err(error) => {
                log::warn!(upstream = name.to_string();
                    "order to an engine failed: {error}");
                self.last_errors.insert(name.clone(), error.to_string());
            }
        }
    }

    fn decide(
        &mut self,
        term: u64,
        inputs: &watch::Receiver<Inputs>,
        tasks: &mut JoinSet<TaskResult>,
    ) {
        let now = Instant::now();
        self.state.update_availability(now);
        self.send_digest(now);
        let leaving = self.state.leaving();
        let service = Arc::clone(&self.service);
        let plan =
            Plan { service: &service, leaving: &leaving, leading_since: self.leading_since, now };
        let orders = plan.next_orders(&self.engines, &mut self.bucket);
        self.publish_view(&plan);
        for next in orders {
            self.send_order(next, term, inputs.clone(), tasks);
        }
    }

    fn send_digest(&mut self, now: Instant) {
        if now.saturating_duration_since(self.leading_since) < FIRST_DIGEST_DELAY {
            return;
        }
        let digest = self.digest_maker.make(&self.state.loads(now), self.state.entries(), now);
        if digest.is_some_and(|it| self.digests.try_send(it).is_err()) {
            // Control is behind and missed this digest; the next one is full.
            self.digest_maker.reset();
        }
    }

    fn send_order(
        &mut self,
        next: NextOrder,
        term: u64,
        mut inputs: watch::Receiver<Inputs>,
        tasks: &mut JoinSet<TaskResult>,
    ) {
        let NextOrder { upstream: name, mut target } = next;
        let Some((_, upstream)) = self.service.upstream(&name) else {
            return;
        };
        let engine = self.engines.entry(name.clone()).or_default();
        engine.begin(target.clone());
        if target.role.is_empty() {
            // The order states an absolute target, so a role that the service does not set is kept.
            target.role = engine.shown().map(|it| it.role.clone()).unwrap_or_default();
        }
        let order = Order {
            upstream: name,
            address: upstream.address,
            fencing: upstream.fencing,
            target,
            longest: self.service.orders.longest.into(),
        };
        let authority = Arc::clone(&self.authority);
        tasks.spawn(async move {
            let sent = tokio::select! {
                biased;
                _ = inputs.wait_for(|it| it.term != Some(term)) => {
                    Err(StepError::new("send order", "leadership lost").at(&order.upstream))
                }
                sent = order.send(authority) => sent,
            };
            TaskResult::Ordered(order.upstream, sent)
        });
    }

    fn publish_view(&self, plan: &Plan<'_>) {
        let mut upstreams = self.state.statuses(plan.now);
        let unknown = Engine::default();
        for (name, status) in &mut upstreams {
            let Some((_, upstream)) = plan.service.upstream(name) else {
                continue;
            };
            let engine = self.engines.get(name).unwrap_or(&unknown);
            status.order = match plan.decide(name, upstream, engine) {
                Decision::Done => String::new(),
                Decision::Wait(why) => why.to_owned(),
                Decision::Order { target, .. } => {
                    format!("{target}: waits for its pool or the weight store")
                }
            };
            if let (false, Some(fault)) = (status.order.is_empty(), self.last_errors.get(name)) {
                status.order = format!("{}; last: {fault}", status.order);
            }
        }
        let platform = self.state.list_error();
        self.view.store(Arc::new(FleetView { leading: true, upstreams, platform }));
    }
}
