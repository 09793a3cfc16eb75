//! The data that a session pushes to its entry.

use std::sync::Arc;

use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{Notify, mpsc};
use types::{Digest, Document, StepResult, Version, VmName};
use wire::edit::DocumentEdit;
use wire::loads::LoadNumbers;
use wire::session::ControlMessage;

use crate::sessions::Sessions;
use crate::share_store::ChangeNumber;
use crate::view::Published;

/// The sending side of a session, and a record of what was sent.
pub(crate) struct Push {
    sessions: Arc<Sessions>,
    vm: VmName,
    sender: wire::Sender<ControlMessage>,
    /// The service version that the entry has or was sent.
    sent_version: Version,
    /// The document of that version, if this session sent it.
    document: Option<Arc<Document>>,
    sent_shares: ChangeNumber,
    numbers: LoadNumbers,
}

impl Push {
    pub(crate) fn new(
        sessions: Arc<Sessions>,
        vm: VmName,
        sender: wire::Sender<ControlMessage>,
        have: Version,
    ) -> Self {
        let numbers = LoadNumbers::default();
        Self { sessions, vm, sender, sent_version: have, document: None, sent_shares: 0, numbers }
    }

    /// Sends services, digests, shares and responses to the entry in one order.
    ///
    /// # Errors
    /// Returns an error if the connection failed.
    pub(crate) async fn run(
        mut self,
        mut responses: mpsc::Receiver<ControlMessage>,
        need_full: Arc<Notify>,
    ) -> StepResult<()> {
        let mut published = self.sessions.leader_client.core.published();
        let mut leave = self.sessions.subscribe_leave();
        let mut shares = self.sessions.shares.subscribe();
        let (table, mut deltas) = self.sessions.digest.subscribe();
        published.mark_changed();
        shares.mark_changed();
        leave.mark_changed();
        self.send_digest(&table).await?;
        loop {
            let message = tokio::select! {
                Ok(()) = published.changed() => None,
                () = need_full.notified() => {
                    (self.sent_version, self.document) = (Version(0), None);
                    None
                }
                Some(answer) = responses.recv() => Some(answer),
                delta = deltas.recv() => match delta {
                    Ok(delta) => Some(ControlMessage::Loads(self.numbers.encode(&delta))),
                    Err(RecvError::Lagged(_)) => {
                        let (table, again) = self.sessions.digest.subscribe();
                        deltas = again;
                        Some(ControlMessage::Loads(self.numbers.encode(&table)))
                    }
                    Err(RecvError::Closed) => return Ok(()),
                },
                Ok(()) = shares.changed() => {
                    let changes = self
                        .sessions
                        .shares
                        .changed_since(&self.vm, &mut self.sent_shares);
                    (!changes.is_empty()).then_some(ControlMessage::Shares(changes))
                }
                Ok(()) = leave.changed() => {
                    leave.borrow_and_update().then_some(ControlMessage::Leave)
                }
                _ = self.sender.ended() => return Ok(()),
                else => return Ok(()),
            };
            // Sends the version first, so that a confirmation does not arrive before the version it
            // confirms.
            let latest = Arc::clone(&published.borrow_and_update());
            self.send_service(&latest).await?;
            if let Some(message) = message {
                self.sender.send(&message).await?;
            }
        }
    }

    async fn send_digest(&mut self, digest: &Digest) -> StepResult<()> {
        self.sender.send(&ControlMessage::Loads(self.numbers.encode(digest))).await
    }

    /// Sends a higher version: as an edit if this session sent the previous document, otherwise the
    /// full document.
    async fn send_service(&mut self, latest: &Published) -> StepResult<()> {
        let (base, version) = (self.sent_version, latest.version);
        if version <= base {
            return Ok(());
        }
        self.sent_version = version;
        let previous = self.document.replace(Arc::clone(&latest.document));
        let message = match previous {
            Some(previous) => {
                let edit = DocumentEdit::between(&previous, &latest.document);
                ControlMessage::Edit { version, base, edit }
            }
            None => ControlMessage::Service { version, document: (*latest.document).clone() },
        };
        self.sender.send(&message).await
    }
}
