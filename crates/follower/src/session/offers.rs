//! The versions that control offers, whole or as changes.

use std::sync::Arc;

use types::{Document, Service, Version};
use wire::edit::DocumentEdit;
use wire::session::{EntryMessage, Ticket};

use super::{Out, Task, send};
use crate::{Offer, Snapshot};

impl Task {
    /// Takes a change of the document that this session sent last. One that does not fit changes
    /// nothing here: the whole document is asked for, and the version in force stays.
    pub(super) fn edit(
        &mut self,
        version: Version,
        base: Version,
        edit: &DocumentEdit,
        sender: &Out,
    ) {
        let before = self.document.take().filter(|(have, _)| *have == base);
        let Some(document) = before.and_then(|(_, it)| edit.apply(&it)) else {
            log::warn!("the change from version {base} to {version} does not fit; asks for all");
            self.shared.show(|view| view.misfits += 1);
            return send(sender, &EntryMessage::NeedWhole);
        };
        self.offer(version, &document, sender);
        self.document = Some((version, document));
    }

    pub(super) fn offer(&mut self, version: Version, document: &Document, sender: &Out) {
        match self.versions.offer(version) {
            Offer::Same => {}
            Offer::Lower => {
                let have = self.versions.have();
                log::warn!("control offered version {version}; {have} stays in force");
                self.shared.show(|view| view.lower += 1);
            }
            offer => match settings::resolve(document, &self.config.site) {
                Ok(service) => {
                    let service = Service { version, ..service };
                    let snapshot = Arc::new(Snapshot { service });
                    if offer == Offer::Install {
                        self.install(snapshot);
                    } else {
                        self.held = Some(snapshot);
                    }
                }
                Err(faults) => {
                    log::error!("version {version} is kept out, it cannot be resolved: {faults}");
                    self.kept_out = Some((version, faults.to_string()));
                    self.shared.show(|view| view.behind.clone_from(&self.kept_out));
                    self.tell_behind(sender);
                }
            },
        }
    }

    /// Takes a quorum's confirmation, and returns whether it answers an open question.
    pub(super) fn confirmed(&mut self, ticket: Ticket, version: Version) -> bool {
        let Some(question) = self.questions.answered(ticket) else {
            return false;
        };
        if self.versions.confirm(version)
            && let Some(snapshot) = self.held.take()
        {
            self.install(snapshot);
        }
        // A version that came while the question was open may well be higher than the answer. One
        // that was in force before it may not, unless the members lost what they had committed.
        if version < question.have {
            let have = question.have;
            log::error!("a quorum says version {version} is in force, but {have} was accepted");
            self.shared.show(|view| view.lower += 1);
        } else if self.versions.is_current(version) {
            self.shared.freshness.confirm(question.asked);
        }
        true
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        let version = snapshot.service.version;
        self.versions.installed(version);
        if self.kept_out.as_ref().is_some_and(|(kept, _)| *kept < version) {
            self.kept_out = None;
            self.shared.show(|view| view.behind = None);
        }
        self.shared.current.store(Some(Arc::clone(&snapshot)));
        log::info!("version {version} is in force");
        self.outbox.service(snapshot);
    }

    pub(super) fn tell_behind(&self, sender: &Out) {
        if let Some((version, why)) = self.kept_out.clone() {
            send(sender, &EntryMessage::Behind { version, why });
        }
    }
}
