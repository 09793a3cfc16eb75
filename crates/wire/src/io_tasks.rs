//! The two tasks of a connection: one reads frames, one writes frames and heartbeats.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::frame::HEARTBEAT_TAG;
use crate::frame_writer::FrameWriter;
use crate::handshake::{Frames, Reader};
use crate::meter::{ByteMeter, Metered, SilenceLimit};
use crate::traffic::QueuedBytes;
use crate::{HEARTBEAT_INTERVAL, LEVEL, WireError};

/// The maximum number of messages in a queue.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// The maximum size of a queue in units of [`UNIT_BYTES`]. A larger message takes the whole queue.
const QUEUE_UNITS: u32 = 4 << 10;

/// The unit in which the size of a queue is counted.
const UNIT_BYTES: usize = 1 << 10;

/// The writing half of a connection.
type SocketWriter = FrameWriter<Metered<OwnedWriteHalf>>;

/// A frame in a queue. Dropping it frees its space in the queue.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) frame: Bytes,
    _space: OwnedSemaphorePermit,
    _counted: QueuedBytes,
}

impl Queued {
    fn new(frame: Bytes, space: OwnedSemaphorePermit) -> Self {
        let counted = QueuedBytes::new(frame.len());
        Self { frame, _space: space, _counted: counted }
    }
}

/// The state that both tasks and all handles of a connection share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Ends both tasks at once.
    pub(crate) ended: CancellationToken,
    /// Set when the receiver is dropped.
    receiver_dropped: CancellationToken,
    cause: OnceLock<WireError>,
    space: Arc<Semaphore>,
    /// The level of the other side; `None` until its first frame has arrived.
    pub(crate) level: watch::Sender<Option<u8>>,
    /// Counts the received bytes.
    pub(crate) received: ByteMeter,
    pub(crate) silence: SilenceLimit,
}

impl Shared {
    pub(crate) fn end(&self, cause: WireError) {
        // Only the first cause is stored: the others follow from it.
        let _ = self.cause.set(cause);
        self.ended.cancel();
    }

    pub(crate) fn cause(&self) -> WireError {
        self.cause.get().cloned().unwrap_or(WireError::Closed)
    }

    /// Reserves space in the send queue; waits until there is enough.
    pub(crate) async fn reserve(&self, frame: Bytes) -> Result<Queued, WireError> {
        let space = Arc::clone(&self.space).acquire_many_owned(queue_units(&frame));
        tokio::select! {
            space = space => space.map(|it| Queued::new(frame, it)).map_err(|_| WireError::Closed),
            () = self.ended.cancelled() => Err(self.cause()),
        }
    }

    /// Waits until all queued frames are written.
    pub(crate) async fn flushed(&self) -> Result<(), WireError> {
        tokio::select! {
            all = self.space.acquire_many(QUEUE_UNITS) => all.map(drop).map_err(|_| WireError::Closed),
            () = self.ended.cancelled() => Err(self.cause()),
        }
    }

    /// Waits until the level of the other side is known.
    pub(crate) async fn level_known(&self) -> Result<(), WireError> {
        let mut level = self.level.subscribe();
        tokio::select! {
            known = level.wait_for(Option::is_some) => known.map(drop).map_err(|_| WireError::Closed),
            () = self.ended.cancelled() => Err(self.cause()),
        }
    }

    /// Reserves space in the send queue, if there is enough.
    pub(crate) fn try_reserve(&self, frame: Bytes) -> Result<Queued, WireError> {
        if self.ended.is_cancelled() {
            return Err(self.cause());
        }
        let space = Arc::clone(&self.space).try_acquire_many_owned(queue_units(&frame));
        space.map(|it| Queued::new(frame, it)).map_err(|_| WireError::Full)
    }
}

/// The handles of the tasks of a connection.
#[derive(Debug)]
pub(crate) struct Tasks {
    pub(crate) outgoing: mpsc::Sender<Queued>,
    pub(crate) incoming: Incoming,
    pub(crate) shared: Arc<Shared>,
}

/// The queue of received frames. Dropping it, even before the connection is split, allows the
/// connection to close; otherwise its heartbeats would keep it open without a reader.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) queue: mpsc::Receiver<Queued>,
    _receiver_dropped: DropGuard,
}

/// Starts both tasks; `permit` is held until both have ended.
pub(crate) fn start(frames: Frames, permit: Option<OwnedSemaphorePermit>) -> Tasks {
    let (outgoing, to_write) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (from_read, incoming) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let Frames { reader, writer } = frames;
    let writer = FrameWriter::new(writer.into_inner());
    let shared = Arc::new(Shared {
        ended: CancellationToken::new(),
        receiver_dropped: CancellationToken::new(),
        cause: OnceLock::new(),
        space: Arc::new(Semaphore::new(QUEUE_UNITS as usize)),
        level: watch::Sender::new(None),
        received: reader.get_ref().meter(),
        silence: SilenceLimit::default(),
    });
    let permit = permit.map(Arc::new);
    let (own, other_permit) = (Arc::clone(&shared), permit.clone());
    tokio::spawn(async move {
        let _permit = other_permit;
        let cause = tokio::select! {
            cause = read(reader, from_read, &own) => cause,
            () = own.ended.cancelled() => return,
        };
        own.end(cause);
    });
    let own = Arc::clone(&shared);
    tokio::spawn(async move {
        let _permit = permit;
        let cause = tokio::select! {
            cause = write(writer, to_write, &own) => cause,
            () = own.ended.cancelled() => return,
        };
        own.end(cause);
    });
    let incoming = Incoming {
        queue: incoming,
        _receiver_dropped: shared.receiver_dropped.clone().drop_guard(),
    };
    Tasks { outgoing, incoming, shared }
}

/// Reads until the connection ends; returns the cause.
async fn read(mut reader: Reader, queue: mpsc::Sender<Queued>, shared: &Shared) -> WireError {
    let meter = reader.get_ref().meter();
    let space = Arc::new(Semaphore::new(QUEUE_UNITS as usize));
    loop {
        let frame = match meter.watch(&shared.silence, reader.next()).await {
            Ok(Some(Ok(frame))) => frame.freeze(),
            Ok(Some(Err(error))) => return error.into(),
            Ok(None) => return WireError::Closed,
            Err(silent) => return silent,
        };
        let is_heartbeat = frame.first() == Some(&HEARTBEAT_TAG);
        record_level(&shared.level, frame.get(1).filter(|_| is_heartbeat).copied());
        if is_heartbeat {
            continue;
        }
        // While the queue is full nothing is read, which must not count as silence of the other side.
        let Ok(taken) = Arc::clone(&space).acquire_many_owned(queue_units(&frame)).await else {
            return WireError::Closed;
        };
        // Without a receiver the frames are dropped: a connection may be used in one direction only.
        let _ = queue.send(Queued::new(frame, taken)).await;
    }
}

/// Records the level that a frame announces. Releases with levels announce theirs with their first
/// frame, so after a first frame without one the level is 0.
fn record_level(level: &watch::Sender<Option<u8>>, announced: Option<u8>) {
    level.send_if_modified(|it| {
        let next = announced.or(*it).unwrap_or_default();
        it.replace(next) != Some(next)
    });
}

/// Writes until the connection ends; returns the cause.
async fn write(
    mut writer: SocketWriter,
    mut queue: mpsc::Receiver<Queued>,
    shared: &Shared,
) -> WireError {
    let Shared { receiver_dropped, silence, .. } = shared;
    let meter = writer.io().meter();
    if let Err(error) = write_queued(&mut writer, None, &mut queue).await {
        return error.into();
    }
    loop {
        let next = match timeout(HEARTBEAT_INTERVAL, queue.recv()).await {
            Ok(Some(queued)) => Some(queued),
            Ok(None) if receiver_dropped.is_cancelled() => break,
            Ok(None) => {
                // No more messages will be sent, but heartbeats keep the connection open for the
                // receiver.
                let _ = timeout(HEARTBEAT_INTERVAL, receiver_dropped.cancelled()).await;
                None
            }
            Err(_) => None,
        };
        match meter.watch(silence, write_queued(&mut writer, next, &mut queue)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.into(),
            Err(silent) => return silent,
        }
    }
    match meter.watch(silence, writer.shutdown()).await {
        Ok(Err(error)) => error.into(),
        Ok(Ok(())) => WireError::Closed,
        Err(silent) => silent,
    }
}

/// Returns a heartbeat, which also announces this side's level. Releases without levels read only the
/// tag.
fn heartbeat() -> Bytes {
    Bytes::from_static(&[HEARTBEAT_TAG, LEVEL])
}

/// Writes one frame, or a heartbeat, and all frames that are queued behind it, then flushes once.
/// Only then is their space in the queue freed.
async fn write_queued(
    writer: &mut SocketWriter,
    first: Option<Queued>,
    queue: &mut mpsc::Receiver<Queued>,
) -> std::io::Result<()> {
    let frame = first.as_ref().map_or_else(heartbeat, |it| it.frame.clone());
    writer.feed(&frame).await?;
    let mut written = Vec::from_iter(first);
    while let Ok(queued) = queue.try_recv() {
        writer.feed(&queued.frame).await?;
        written.push(queued);
    }
    writer.flush().await
}

fn queue_units(frame: &Bytes) -> u32 {
    let units = frame.len().div_ceil(UNIT_BYTES).max(1);
    u32::try_from(units).unwrap_or(QUEUE_UNITS).min(QUEUE_UNITS)
}
