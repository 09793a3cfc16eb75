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

/// The shortest mean pause between two tries of an entry that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// The mean time between two tries of all entries together, where that makes the pause longer: a service
/// whose upstreams are all gone seems cut off to every entry, and is met by all of them when it is back.
const PROBE_SPACING: Duration = Duration::from_millis(2);

/// How long opening a connection for a try may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl<D: Dialect> Shared<D> {
    /// Checks suspicions that this entry reaches no upstream of a service, and notices when it does
    /// again. Runs for as long as the process lives.
    pub(crate) async fn watch_paths(self: Arc<Self>) {
        loop {
            for service in self.paths.suspicions().await {
                tokio::spawn(Arc::clone(&self).check_path(service));
            }
        }
    }

    async fn check_path(self: Arc<Self>, service: Arc<str>) {
        if self.reaches_any(&service, CONFIRMING_PROBES).await
            || !self.paths.record_none_reached(&service)
        {
            return;
        }
        let directory = self.directory();
        directory.service(&service).iter().for_each(|it| it.forget_path());
        directory.services().for_each(|it| self.paths.suspect(it));
        self.metrics.cut_off.inc();
        while self.paths.path(&service) == Path::CutOff {
            sleep(self.probe_pause()).await;
            self.reaches_any(&service, PROBES).await;
        }
        self.metrics.cut_off.dec();
    }

    /// Returns the time to the next try, drawn so that entries which are cut off together don't try at the
    /// same moments.
    fn probe_pause(&self) -> Duration {
        let mean = PROBE_INTERVAL.max(PROBE_SPACING * self.entries() as u32);
        mean.mul_f64(rand::random_range(0.5..1.5))
    }

    /// Tries to connect to some upstreams of a service; returns whether one could be reached. A service
    /// without upstreams counts as reached: nothing is to be reached there.
    async fn reaches_any(&self, service: &Arc<str>, count: usize) -> bool {
        let directory = self.directory();
        let open = directory.service(service).iter().filter(|it| it.is_open());
        let chosen: Vec<Arc<Upstream>> = open.cloned().sample(&mut rand::rng(), count);
        if chosen.is_empty() {
            self.paths.record_success(service);
            return true;
        }
        let probes = chosen.iter().map(|it| timeout(PROBE_TIMEOUT, self.paths.dial(it.address)));
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(probe) = probes.next().await {
            if let Ok(Ok(_)) = probe {
                self.paths.record_success(service);
                return true;
            }
        }
        false
    }
}
