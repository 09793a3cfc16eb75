//! The two tasks of a connection: one reads frames, one writes them and the heartbeats.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::frame::HEARTBEAT_TAG;
use crate::hello::{Frames, Reader, Writer};
use crate::progress::Meter;
use crate::traffic::Held;
use crate::{HEARTBEAT, LEVEL, WireError};

/// How many messages a queue holds.
const QUEUE_LENGTH: usize = 1024;

/// How many bytes a queue holds, in [`UNIT`]s. A larger message takes all of it.
const QUEUE_UNITS: u32 = 4 << 10;

/// The unit in which a queue counts bytes.
const UNIT: usize = 1 << 10;

/// A frame in a queue; its room is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) frame: Bytes,
    _room: OwnedSemaphorePermit,
    _held: Held,
}

impl Queued {
    fn new(frame: Bytes, room: OwnedSemaphorePermit) -> Self {
        let held = Held::new(frame.len());
        Self { frame, _room: room, _held: held }
    }
}

/// What both tasks and all handles of a connection share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Ends the reading and writing at once.
    pub(crate) ended: CancellationToken,
    /// Nobody will read any more.
    unread: CancellationToken,
    cause: OnceLock<WireError>,
    room: Arc<Semaphore>,
    /// The level of the other side; 0 until it tells one.
    pub(crate) level: watch::Sender<u8>,
    /// Counts what arrives.
    pub(crate) received: Meter,
}

impl Shared {
    pub(crate) fn end(&self, cause: WireError) {
        // Only the first cause counts: the others follow from it.
        let _ = self.cause.set(cause);
        self.ended.cancel();
    }

    pub(crate) fn cause(&self) -> WireError {
        self.cause.get().cloned().unwrap_or(WireError::Closed)
    }

    /// Waits for room in the send queue.
    pub(crate) async fn room(&self, frame: Bytes) -> Result<Queued, WireError> {
        let room = Arc::clone(&self.room).acquire_many_owned(units(&frame));
        tokio::select! {
            room = room => room.map(|it| Queued::new(frame, it)).map_err(|_| WireError::Closed),
            () = self.ended.cancelled() => Err(self.cause()),
        }
    }

    /// Waits until the send queue is empty.
    pub(crate) async fn drained(&self) -> Result<(), WireError> {
        tokio::select! {
            all = self.room.acquire_many(QUEUE_UNITS) => all.map(drop).map_err(|_| WireError::Closed),
            () = self.ended.cancelled() => Err(self.cause()),
        }
    }

    /// Takes room in the send queue, if there is any.
    pub(crate) fn try_room(&self, frame: Bytes) -> Result<Queued, WireError> {
        if self.ended.is_cancelled() {
            return Err(self.cause());
        }
        let room = Arc::clone(&self.room).try_acquire_many_owned(units(&frame));
        room.map(|it| Queued::new(frame, it)).map_err(|_| WireError::Full)
    }
}

/// The ends of a running connection.
#[derive(Debug)]
pub(crate) struct Pumped {
    pub(crate) outgoing: mpsc::Sender<Queued>,
    pub(crate) incoming: Incoming,
    pub(crate) shared: Arc<Shared>,
}

/// The queue of what was read. Dropping it, also before the connection is split, lets the
/// connection close: without that its heartbeats would keep it open with nobody to read it.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) queue: mpsc::Receiver<Queued>,
    _unread: DropGuard,
}

/// Starts both tasks; `permit` is held until both ended.
pub(crate) fn start(frames: Frames, permit: Option<OwnedSemaphorePermit>) -> Pumped {
    let (outgoing, to_write) = mpsc::channel(QUEUE_LENGTH);
    let (from_read, incoming) = mpsc::channel(QUEUE_LENGTH);
    let Frames { reader, writer } = frames;
    let shared = Arc::new(Shared {
        ended: CancellationToken::new(),
        unread: CancellationToken::new(),
        cause: OnceLock::new(),
        room: Arc::new(Semaphore::new(QUEUE_UNITS as usize)),
        level: watch::Sender::new(0),
        received: reader.get_ref().meter(),
    });
    let permit = permit.map(Arc::new);
    let (mine, held) = (Arc::clone(&shared), permit.clone());
    tokio::spawn(async move {
        let _held = held;
        let cause = tokio::select! {
            cause = read(reader, from_read, &mine.level) => cause,
            () = mine.ended.cancelled() => return,
        };
        mine.end(cause);
    });
    let mine = Arc::clone(&shared);
    tokio::spawn(async move {
        let _held = permit;
        let cause = tokio::select! {
            cause = write(writer, to_write, &mine.unread) => cause,
            () = mine.ended.cancelled() => return,
        };
        mine.end(cause);
    });
    let incoming = Incoming { queue: incoming, _unread: shared.unread.clone().drop_guard() };
    Pumped { outgoing, incoming, shared }
}

/// Reads until the connection ends, and returns why.
async fn read(
    mut reader: Reader,
    queue: mpsc::Sender<Queued>,
    level: &watch::Sender<u8>,
) -> WireError {
    let meter = reader.get_ref().meter();
    let room = Arc::new(Semaphore::new(QUEUE_UNITS as usize));
    loop {
        let frame = match meter.watch(reader.next()).await {
            Ok(Some(Ok(frame))) => frame.freeze(),
            Ok(Some(Err(error))) => return error.into(),
            Ok(None) => return WireError::Closed,
            Err(silent) => return silent,
        };
        if frame.first() == Some(&HEARTBEAT_TAG) {
            if let Some(told) = frame.get(1) {
                level.send_if_modified(|it| std::mem::replace(it, *told) != *told);
            }
            continue;
        }
        // While the queue is full nothing is read, and that is not the other side's silence.
        let Ok(taken) = Arc::clone(&room).acquire_many_owned(units(&frame)).await else {
            return WireError::Closed;
        };
        // Without a receiver the frames are dropped: the connection may serve one way only.
        let _ = queue.send(Queued::new(frame, taken)).await;
    }
}

/// Writes until the connection ends, and returns why.
async fn write(
    mut writer: Writer,
    mut queue: mpsc::Receiver<Queued>,
    unread: &CancellationToken,
) -> WireError {
    let meter = writer.get_ref().meter();
    if let Err(error) = SinkExt::<Bytes>::send(&mut writer, heartbeat()).await {
        return error.into();
    }
    loop {
        let next = match timeout(HEARTBEAT, queue.recv()).await {
            Ok(Some(queued)) => Some(queued),
            Ok(None) if unread.is_cancelled() => break,
            Ok(None) => {
                // Nothing more will be sent, but the receiver still lives by our heartbeats.
                let _ = timeout(HEARTBEAT, unread.cancelled()).await;
                None
            }
            Err(_) => None,
        };
        match meter.watch(put(&mut writer, next, &mut queue)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.into(),
            Err(silent) => return silent,
        }
    }
    match meter.watch(SinkExt::<Bytes>::close(&mut writer)).await {
        Ok(Err(error)) => error.into(),
        Ok(Ok(())) => WireError::Closed,
        Err(silent) => silent,
    }
}

/// A frame that shows that its sender is alive, and its level. A release that knows no levels reads the
/// tag alone.
fn heartbeat() -> Bytes {
    Bytes::from_static(&[HEARTBEAT_TAG, LEVEL])
}

/// Writes one frame, or a heartbeat, and those that wait behind it, then flushes once for all. Their room
/// in the queue is given back only then.
async fn put(
    writer: &mut Writer,
    first: Option<Queued>,
    queue: &mut mpsc::Receiver<Queued>,
) -> std::io::Result<()> {
    let frame = first.as_ref().map_or_else(heartbeat, |it| it.frame.clone());
    writer.feed(frame).await?;
    let mut written = Vec::from_iter(first);
    while let Ok(queued) = queue.try_recv() {
        writer.feed(queued.frame.clone()).await?;
        written.push(queued);
    }
    SinkExt::<Bytes>::flush(writer).await
}

fn units(frame: &Bytes) -> u32 {
    let units = frame.len().div_ceil(UNIT).max(1);
    u32::try_from(units).unwrap_or(QUEUE_UNITS).min(QUEUE_UNITS)
}
