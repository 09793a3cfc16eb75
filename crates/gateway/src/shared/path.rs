//! Watches whether this entry reaches upstreams by itself.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use tokio::time::{sleep, timeout};

use super::Shared;
use crate::dialect::Dialect;
use crate::path::state::Path;
use crate::upstream::Upstream;

/// How many upstreams are tried at once to confirm a suspicion.
const CONFIRMING_PROBES: usize = 3;

/// How many upstreams are tried at once while the entry is cut off.
const PROBES: usize = 2;

/// The pause between two tries while the entry is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// How long opening a connection for a try may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl<D: Dialect> Shared<D> {
    /// Confirms suspicions that this entry reaches no upstream, and notices when it does again. Runs
    /// for as long as the process lives.
    pub(crate) async fn watch_path(self: Arc<Self>) {
        loop {
            self.paths.suspicion().await;
            if self.reaches_any(CONFIRMING_PROBES).await || !self.paths.record_none_reached() {
                continue;
            }
            self.directory().all().for_each(|it| it.forget_path());
            self.metrics.cut_off.set(1);
            while self.paths.path() == Path::CutOff {
                sleep(PROBE_INTERVAL).await;
                self.reaches_any(PROBES).await;
            }
            self.metrics.cut_off.set(0);
        }
    }

    /// Tries to connect to some upstreams; returns whether one could be reached.
    async fn reaches_any(&self, count: usize) -> bool {
        let directory = self.directory();
        let chosen: Vec<Arc<Upstream>> =
            directory.all().filter(|it| it.is_open()).cloned().sample(&mut rand::rng(), count);
        let probes = chosen.iter().map(|it| timeout(PROBE_TIMEOUT, self.paths.dial(it.address)));
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(probe) = probes.next().await {
            if let Ok(Ok(_)) = probe {
                self.paths.record_success();
                return true;
            }
        }
        false
    }
}
