//! The handle for sending inputs to the core loop and reading what it publishes.

use std::sync::Arc;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::time::Duration;

use arc_swap::ArcSwap;
use consensus::Message;
use state::State;
use tokio::sync::{oneshot, watch};
use types::LogIndex;

use crate::protocol::ClusterId;
use crate::request::{LeaderRequest, LeaderResult, RequestError, Responder};
use crate::view::{Published, View};

/// The maximum number of inputs that wait for the loop.
pub(crate) const MAX_QUEUED_INPUTS: usize = 16_384;

/// An input of the core loop.
pub(crate) enum Input {
    /// A message from another consensus node.
    Consensus(Message),
    /// A request that this member serves.
    LeaderRequest(LeaderRequest, Responder),
    /// A function that reads the applied state.
    Inspect(Box<dyn FnOnce(&State) + Send>),
    /// Starts a new cluster on this member's empty folder.
    InitCluster(ClusterId, oneshot::Sender<Result<(), String>>),
    /// Joins a cluster with this member's empty folder.
    JoinCluster(ClusterId),
    /// A write to the data folder has ended.
    Written,
    /// Stops the loop.
    Stop,
    /// Stops the loop because the named background task panicked.
    Abort(&'static str),
}

/// The sending side of the loop's input queue, and the state that the loop publishes.
#[derive(Clone)]
pub(crate) struct CoreHandle {
    pub(crate) inputs: SyncSender<Input>,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) applied: watch::Receiver<LogIndex>,
    pub(crate) published: watch::Receiver<Arc<Published>>,
}

impl CoreHandle {
    /// Returns the latest view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that gets every service version as it is applied.
    pub(crate) fn published(&self) -> watch::Receiver<Arc<Published>> {
        self.published.clone()
    }

    /// Passes a message from another node to the loop. Drops it if the queue is full, as a network
    /// may do.
    pub(crate) fn step(&self, message: Message) {
        let _ = self.inputs.try_send(Input::Consensus(message));
    }

    /// Sends a request to this member.
    pub(crate) async fn request(&self, request: LeaderRequest) -> LeaderResult {
        let (responder, receiver) = oneshot::channel();
        match self.inputs.try_send(Input::LeaderRequest(request, responder)) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                return Err(RequestError::NotRun("member is busy".to_owned()));
            }
            Err(TrySendError::Disconnected(_)) => {
                return Err(RequestError::NotRun("member stopped".to_owned()));
            }
        }
        let lost = || Err(RequestError::Uncertain("member stopped".to_owned()));
        receiver.await.unwrap_or_else(|_| lost())
    }

    /// Reads the applied state. Returns `None` if the loop has ended.
    pub(crate) async fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let job = Box::new(move |state: &State| {
            let _ = sender.send(inspect(state));
        });
        self.inputs.try_send(Input::Inspect(job)).ok()?;
        receiver.await.ok()
    }

    /// Waits until the entry at `index` is applied by this member. Returns `false` if the loop has
    /// ended.
    pub(crate) async fn applied(&self, index: LogIndex) -> bool {
        let mut applied = self.applied.clone();
        applied.wait_for(|at| *at >= index).await.is_ok()
    }

    /// Starts a new cluster on this member's empty folder.
    ///
    /// # Errors
    /// Returns an error if the folder already belongs to a cluster or the loop has ended.
    pub(crate) async fn init_cluster(&self, cluster: ClusterId) -> Result<(), String> {
        let (responder, receiver) = oneshot::channel();
        let sent = self.inputs.try_send(Input::InitCluster(cluster, responder));
        sent.map_err(|_| "member is busy".to_owned())?;
        receiver.await.unwrap_or_else(|_| Err("member stopped".to_owned()))
    }

    /// Joins a cluster with this member's empty folder. Does nothing if the member already belongs
    /// to one.
    pub(crate) fn join_cluster(&self, cluster: ClusterId) {
        let _ = self.inputs.try_send(Input::JoinCluster(cluster));
    }

    /// Stops the loop after it has handled the inputs that already wait.
    pub(crate) fn stop(&self) {
        self.end(Input::Stop);
    }

    /// Stops the loop because the named background task panicked.
    pub(crate) fn fail(&self, name: &'static str) {
        self.end(Input::Abort(name));
    }

    fn end(&self, mut input: Input) {
        // The queue may be full for a moment. The loop empties it without waiting for this thread.
        while let Err(TrySendError::Full(again)) = self.inputs.try_send(input) {
            input = again;
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
