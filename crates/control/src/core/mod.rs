//! The loop that owns the consensus node and the replicated state, on its own thread. A second
//! thread writes to the disk.
//!
//! Each iteration takes all waiting inputs, starts at most one write, sends messages, applies
//! entries and responds to requests. Only votes and acknowledgements of entries wait for the write.
//! Inputs that arrive during a write go into the next one. After the thread was stalled, the loop
//! takes the waiting inputs before it advances the clock, and the stall counts as one tick. A node
//! that was paused therefore does not start an election while heartbeats wait in its queue.

mod bootstrap;
mod ready;
mod requests;

use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use consensus::{Message, Node};
use replica::Journal;
use tokio::sync::watch;
use types::{LogIndex, NodeId, StepError, StepResult, VmName};

use crate::folder::{Opened, TICK_DURATION};
use crate::handle::{CoreHandle, Input, MAX_QUEUED_INPUTS};
use crate::identity::Identity;
use crate::metrics::Metrics;
use crate::pending::Pending;
use crate::request::Responder;
use crate::state_machine::StateMachine;
use crate::view::{Published, View};

/// The maximum number of inputs taken in one iteration.
const MAX_INPUTS_PER_ITERATION: usize = 2_048;

/// Sends messages to other nodes. Messages may be dropped.
pub(crate) trait Outbox: Send + 'static {
    /// Sends `message` to the node it names. `vm` is that node's VM, if the membership contains it.
    fn send(&self, message: Message, vm: Option<VmName>);
}

/// The loop's configuration, besides the opened data folder.
pub(crate) struct CoreConfig<O> {
    pub(crate) vm: VmName,
    pub(crate) outbox: O,
    /// The size of the log in bytes at which a snapshot replaces it.
    pub(crate) log_size: u64,
    pub(crate) metrics: Arc<Metrics>,
    /// Holds the identity once the member has one.
    pub(crate) identity: Arc<ArcSwapOption<Identity>>,
}

/// The state of the core loop.
struct Core<O> {
    config: CoreConfig<O>,
    id: NodeId,
    node: Node,
    machine: StateMachine,
    applied: LogIndex,
    /// The size of the latest snapshot, in bytes.
    snapshot_size: u64,
    inputs: Receiver<Input>,
    journal: Journal,
    pending: Pending,
    reads: HashMap<u64, Responder>,
    next_read: u64,
    view: Arc<ArcSwap<View>>,
    applied_sender: watch::Sender<LogIndex>,
    published: watch::Sender<Arc<Published>>,
}

/// Starts the loop and calls `ended` with its result when it stops.
///
/// # Errors
/// Returns an error if a thread cannot be started.
pub(crate) fn spawn<O: Outbox>(
    config: CoreConfig<O>,
    opened: Opened,
    ended: impl FnOnce(StepResult<()>) + Send + 'static,
) -> StepResult<CoreHandle> {
    let (sender, inputs) = sync_channel(MAX_QUEUED_INPUTS);
    let wake = sender.clone();
    let journal = Journal::spawn(opened.store, move || {
        // If the queue is full, the loop runs anyway and checks for finished writes.
        let _ = wake.try_send(Input::Written);
    })?;
    let view = Arc::new(ArcSwap::from_pointee(View::default()));
    let (applied_sender, applied) = watch::channel(opened.applied);
    let (published, receiver) = watch::channel(Arc::new(published(&opened.machine)));
    let handle = CoreHandle { inputs: sender, view: view.clone(), applied, published: receiver };
    config.identity.store(opened.identity.map(Arc::new));
    let mut core = Core {
        config,
        id: opened.id,
        node: opened.node,
        machine: opened.machine,
        applied: opened.applied,
        snapshot_size: 0,
        inputs,
        journal,
        pending: Pending::default(),
        reads: HashMap::new(),
        next_read: 0,
        view,
        applied_sender,
        published,
    };
    std::thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || {
            let fault = |_| Err(StepError::new("run", "a fault of the program").at("core loop"));
            let result = catch_unwind(AssertUnwindSafe(|| core.run())).unwrap_or_else(fault);
            core.publish_ended_view();
            // Releases the data folder before the member is reported as stopped.
            drop(core);
            ended(result);
        })
        .map_err(|e| StepError::new("start core thread", e))?;
    Ok(handle)
}

fn published(machine: &StateMachine) -> Published {
    let state = &machine.state;
    let marks = state.marks().keys().cloned().collect();
    Published { version: state.version(), document: state.document().clone(), marks }
}

impl<O: Outbox> Core<O> {
    fn run(&mut self) -> StepResult<()> {
        let mut tick_at = Instant::now() + TICK_DURATION;
        self.process_ready()?;
        loop {
            let wait = tick_at.saturating_duration_since(Instant::now());
            if !self.receive_inputs(wait)? {
                return Ok(());
            }
            self.finish_writes()?;
            if Instant::now() >= tick_at {
                self.node.tick();
                tick_at = Instant::now() + TICK_DURATION;
            }
            self.process_ready()?;
        }
    }

    /// Handles all waiting inputs, or the first one that arrives within `wait`. Returns `false`
    /// when the loop is to stop.
    fn receive_inputs(&mut self, wait: Duration) -> StepResult<bool> {
        let first = match self.inputs.recv_timeout(wait) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => return Ok(true),
            Err(RecvTimeoutError::Disconnected) => return Ok(false),
        };
        if !self.handle_input(first)? {
            return Ok(false);
        }
        for _ in 1..MAX_INPUTS_PER_ITERATION {
            let Ok(input) = self.inputs.try_recv() else {
                return Ok(true);
            };
            if !self.handle_input(input)? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn handle_input(&mut self, input: Input) -> StepResult<bool> {
        match input {
            // A member without a stored identity ignores consensus messages, because it could not
            // persist a vote.
            Input::Consensus(message) if self.config.identity.load().is_some() => {
                self.node.step(message);
            }
            Input::Consensus(_) => {}
            Input::LeaderRequest(request, responder) => self.handle_request(request, responder),
            Input::Inspect(inspect) => inspect(&self.machine.state),
            Input::InitCluster(cluster, responder) => {
                let result = self.init_cluster(cluster)?;
                let _ = responder.send(result);
            }
            Input::JoinCluster(cluster) => self.join_cluster(cluster)?,
            Input::Written => {}
            Input::Stop => return Ok(false),
            Input::Abort(name) => {
                return Err(StepError::new("run", "a fault of the program; its log tells").at(name));
            }
        }
        Ok(true)
    }
}
