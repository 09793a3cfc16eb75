//! Handles the service versions that control members offer, in full or as edits.

use std::sync::Arc;

use types::{Document, Service, Version};
use wire::edit::DocumentEdit;
use wire::session::{EntryMessage, Ticket};

use super::{EntrySender, Task, send};
use crate::{OfferDecision, ServiceSnapshot};

impl Task {
    /// Applies an edit to the document that this session received last. If the edit does not
    /// apply, the full document is requested and the version in force stays.
    pub(super) fn apply_edit(
        &mut self,
        version: Version,
        base: Version,
        edit: &DocumentEdit,
        sender: &EntrySender,
    ) {
        let before = self.document.take().filter(|(have, _)| *have == base);
        let Some(document) = before.and_then(|(_, it)| edit.apply(&it)) else {
            log::warn!(
                "the edit from version {base} to {version} does not apply; requesting it in full"
            );
            self.shared.update_view(|view| view.failed_edits += 1);
            return send(sender, &EntryMessage::NeedWhole);
        };
        self.handle_offer(version, &document, sender);
        self.document = Some((version, document));
    }

    pub(super) fn handle_offer(
        &mut self,
        version: Version,
        document: &Document,
        sender: &EntrySender,
    ) {
        match self.versions.offer(version) {
            OfferDecision::Same => {}
            OfferDecision::Lower => {
                let have = self.versions.have();
                log::warn!(
                    "ignored version {version}, lower than an earlier offer; {have} stays in force"
                );
                self.shared.update_view(|view| view.lower_offers += 1);
            }
            decision => match settings::resolve(document, &self.config.site) {
                Ok(service) => {
                    let service = Service { version, ..service };
                    let snapshot = Arc::new(ServiceSnapshot { service });
                    if decision == OfferDecision::Install {
                        self.install(snapshot);
                    } else {
                        self.held_snapshot = Some(snapshot);
                    }
                }
                Err(faults) => {
                    log::error!(
                        "version {version} cannot be resolved and is not installed: {faults}"
                    );
                    self.rejected_version = Some((version, faults.to_string()));
                    self.shared
                        .update_view(|view| view.rejected.clone_from(&self.rejected_version));
                    self.report_rejected_version(sender);
                }
            },
        }
    }

    /// Handles a quorum's confirmation. Returns whether it answers an open request.
    pub(super) fn handle_confirmation(&mut self, ticket: Ticket, version: Version) -> bool {
        let Some(request) = self.confirm_requests.take(ticket) else {
            return false;
        };
        if self.versions.confirm(version)
            && let Some(snapshot) = self.held_snapshot.take()
        {
            self.install(snapshot);
        }
        // A version that arrived while the request was open may be higher than the confirmed one. A
        // version that was in force before the request may not, unless the members lost a committed
        // version.
        if version < request.have {
            let have = request.have;
            log::error!("a quorum confirmed version {version}, but {have} was already in force");
            self.shared.update_view(|view| view.lower_offers += 1);
        } else if self.versions.is_current(version) {
            self.shared.freshness.confirm(request.requested_at);
        }
        true
    }

    fn install(&mut self, snapshot: Arc<ServiceSnapshot>) {
        let version = snapshot.service.version;
        self.versions.installed(version);
        if self.rejected_version.as_ref().is_some_and(|(kept, _)| *kept < version) {
            self.rejected_version = None;
            self.shared.update_view(|view| view.rejected = None);
        }
        self.shared.current.store(Some(Arc::clone(&snapshot)));
        log::info!("version {version} is in force");
        self.outbox.service(snapshot);
    }

    pub(super) fn report_rejected_version(&self, sender: &EntrySender) {
        if let Some((version, why)) = self.rejected_version.clone() {
            send(sender, &EntryMessage::VersionRejected { version, why });
        }
    }
}
