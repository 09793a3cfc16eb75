//! Assigns an empty data folder to a cluster, by starting one or joining one.

use std::sync::Arc;

use consensus::{Node, Restored};
use types::StepResult;

use super::{Core, Outbox};
use crate::folder;
use crate::identity::Identity;
use crate::protocol::ClusterId;

impl<O: Outbox> Core<O> {
    /// Starts a cluster. The identity and then the initial snapshot are on the disk before the node
    /// may vote. The identity becomes visible to other threads, and is announced, only after both.
    pub(super) fn init_cluster(&mut self, cluster: ClusterId) -> StepResult<Result<(), String>> {
        if self.config.identity.load().is_some() {
            return Ok(Err("this member belongs to a cluster".to_owned()));
        }
        let identity =
            Identity { vm: self.config.vm.clone(), node: self.id, cluster, founder: true };
        let snapshot = folder::initial_snapshot(self.id, &self.config.vm);
        self.write_identity(&identity)?;
        let (index, data) = (snapshot.index, replica::encode(&snapshot)?);
        self.journal.call("write snapshot", move |store| store.install(index, &data))?;
        self.applied = snapshot.index;
        let restored = Restored { snapshot: Some(snapshot), ..Restored::default() };
        self.node = Node::new(folder::config(self.id), restored);
        self.config.identity.store(Some(Arc::new(identity)));
        log::info!(cluster:% = cluster, node:% = self.id; "started a cluster");
        Ok(Ok(()))
    }

    pub(super) fn join_cluster(&mut self, cluster: ClusterId) -> StepResult<()> {
        if self.config.identity.load().is_some() {
            return Ok(());
        }
        let identity =
            Identity { vm: self.config.vm.clone(), node: self.id, cluster, founder: false };
        self.write_identity(&identity)?;
        self.config.identity.store(Some(Arc::new(identity)));
        log::info!(cluster:% = cluster, node:% = self.id; "asks to join the cluster");
        Ok(())
    }

    fn write_identity(&mut self, identity: &Identity) -> StepResult<()> {
        let data = identity.encode()?;
        self.journal.call("write identity", move |store| store.set_identity(&data))
    }
}
