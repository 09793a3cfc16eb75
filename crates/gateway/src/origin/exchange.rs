//! Exchanges the origins of streams with other entries and with members of the registry, in datagrams:
//! a connection to each of hundreds of entries would cost more than the messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};
use types::{StepError, StepResult};
use wire::{Datagrams, Secret};

use super::{Holders, Origin, OriginTable, StreamKey};

/// The waits after which an origin is sent again to the keepers that have not confirmed it. Lost
/// datagrams are made up for by the first; the others outlast a short partition.
const RESEND_WAITS: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(250),
    Duration::from_secs(1),
    Duration::from_secs(3),
];

/// How often an entry asks for an origin, and how long it waits for answers each time.
const ASK_WAITS: [Duration; 3] =
    [Duration::from_millis(40), Duration::from_millis(80), Duration::from_millis(120)];

/// The pause after a failed read of the socket.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// A message between entries. Messages may be lost, duplicated and late.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Message {
    /// Asks the receiver to keep an origin.
    Keep(Keep),
    /// Confirms the message with this number.
    Kept(u64),
    /// Asks for the origin of a stream.
    Ask { number: u64, key: StreamKey },
    /// Answers the question with this number.
    Told(u64, Option<Origin>),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Keep {
    number: u64,
    key: StreamKey,
    origin: Origin,
    /// How long it is kept, in ms.
    time_ms: u64,
}

/// An answer of another entry.
struct Answer {
    peer: SocketAddr,
    origin: Option<Origin>,
}

/// Keeps origins for entries, and tells them, until it is dropped.
#[derive(Debug)]
pub struct OriginKeeper {
    receiving: AbortHandle,
}

impl OriginKeeper {
    /// Binds a socket for datagrams, and starts to answer entries.
    ///
    /// # Errors
    /// Returns an error where the address can't be bound.
    pub async fn open(address: SocketAddr, secret: &Secret) -> StepResult<Self> {
        let (_, receiving) = Origins::open(address, secret).await?;
        Ok(Self { receiving })
    }
}

impl Drop for OriginKeeper {
    fn drop(&mut self) {
        self.receiving.abort();
    }
}

/// The origins that this entry keeps, and its access to those that others keep.
pub(crate) struct Origins {
    own: SocketAddr,
    socket: Datagrams,
    table: Mutex<OriginTable>,
    waiting: Mutex<HashMap<u64, mpsc::UnboundedSender<Answer>>>,
    next_number: AtomicU64,
}

impl Origins {
    /// Binds the process's socket for datagrams, and starts to answer others; returns the task that does.
    ///
    /// # Errors
    /// Returns an error where the address can't be bound.
    pub(crate) async fn open(
        address: SocketAddr,
        secret: &Secret,
    ) -> StepResult<(Arc<Self>, AbortHandle)> {
        let socket = Datagrams::bind(address, secret).await?;
        let origins = Arc::new(Self {
            own: address,
            socket,
            table: Mutex::default(),
            waiting: Mutex::default(),
            next_number: AtomicU64::new(rand::random()),
        });
        let receiving = tokio::spawn(Arc::clone(&origins).receive()).abort_handle();
        Ok((origins, receiving))
    }

    /// Keeps an origin for `time`, and sends it to its keepers before it returns. Goes on in the
    /// background until they have confirmed it.
    pub(crate) async fn record(
        self: &Arc<Self>,
        key: StreamKey,
        origin: Origin,
        time: Duration,
        holders: &Holders,
    ) {
        self.keep(key, origin.clone(), time);
        let missing = holders.keepers(key);
        let time_ms = time.as_millis() as u64;
        let message = |number| Message::Keep(Keep { number, key, origin, time_ms });
        let (number, answers) = self.expect_answers();
        let sending = Sending {
            origins: Arc::clone(self),
            number,
            message: message(number),
            missing,
            answers,
        };
        sending.send_all().await;
        tokio::spawn(sending.confirm());
    }

    /// Returns where the stream began that an attempt began; `None` if neither this entry nor those that
    /// answer in time know it.
    pub(crate) async fn find(
        self: &Arc<Self>,
        key: StreamKey,
        holders: &Holders,
    ) -> Option<Origin> {
        if let Some(known) = self.table().get(key, Instant::now()) {
            return Some(known.clone());
        }
        let missing = holders.asked(key);
        let (number, answers) = self.expect_answers();
        let message = Message::Ask { number, key };
        let mut asking = Sending { origins: Arc::clone(self), number, message, missing, answers };
        for wait in ASK_WAITS {
            if asking.missing.is_empty() {
                break;
            }
            asking.send_all().await;
            let told = timeout(wait, asking.wait_told()).await;
            if let Ok(Some(origin)) = told {
                return Some(origin);
            }
        }
        None
    }

    fn keep(&self, key: StreamKey, origin: Origin, time: Duration) -> bool {
        let kept = self.table().keep(key, origin, time, Instant::now());
        if !kept {
            log::warn!(origins = self.table().len();
                "no room for the origin of another stream; it can't be taken up through this entry");
        }
        kept
    }

    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, mpsc::UnboundedSender<Answer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expect_answers(&self) -> (u64, mpsc::UnboundedReceiver<Answer>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.waiting().insert(number, sender);
        (number, receiver)
    }

    async fn send(&self, to: SocketAddr, message: &Message) {
        if let Err(error) = self.socket.send(to, message).await {
            log::debug!(cause:% = error; "a datagram can't be sent to another entry");
        }
    }

    async fn receive(self: Arc<Self>) {
        loop {
            match self.socket.recv::<Message>().await {
                Ok((peer, message)) => self.handle(peer, message).await,
                Err(error) => {
                    let error = StepError::new("receive origins", error).at(self.own);
                    log::warn!(cause:% = error; "failed to read datagrams; trying again");
                    sleep(RECEIVE_PAUSE).await;
                }
            }
        }
    }

    async fn handle(&self, peer: SocketAddr, message: Message) {
        let (number, origin) = match message {
            Message::Keep(Keep { number, key, origin, time_ms }) => {
                if self.keep(key, origin, Duration::from_millis(time_ms)) {
                    self.send(peer, &Message::Kept(number)).await;
                }
                return;
            }
            Message::Ask { number, key } => {
                let origin = self.table().get(key, Instant::now()).cloned();
                return self.send(peer, &Message::Told(number, origin)).await;
            }
            Message::Kept(number) => (number, None),
            Message::Told(number, origin) => (number, origin),
        };
        if let Some(waiting) = self.waiting().get(&number) {
            // The receiver may have been dropped just now.
            let _ = waiting.send(Answer { peer, origin });
        }
    }
}

/// A message that is sent to several entries until each has answered.
struct Sending {
    origins: Arc<Origins>,
    number: u64,
    message: Message,
    /// The entries that have not answered.
    missing: Vec<SocketAddr>,
    answers: mpsc::UnboundedReceiver<Answer>,
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.origins.waiting().remove(&self.number);
    }
}

impl Sending {
    async fn send_all(&self) {
        for peer in &self.missing {
            self.origins.send(*peer, &self.message).await;
        }
    }

    /// Waits for an answer with an origin; `None` if all have answered without.
    async fn wait_told(&mut self) -> Option<Origin> {
        while !self.missing.is_empty() {
            let Answer { peer, origin } = self.answers.recv().await?;
            self.missing.retain(|it| *it != peer);
            if origin.is_some() {
                return origin;
            }
        }
        None
    }

    /// Sends the message again until all have confirmed it, or for as long as that is of use.
    async fn confirm(mut self) {
        for wait in RESEND_WAITS {
            let _ = timeout(wait, self.wait_told()).await;
            if self.missing.is_empty() {
                return;
            }
            self.send_all().await;
        }
    }
}
