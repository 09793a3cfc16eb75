//! The handle with which an entry calls its upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::pool::Pool;

/// The destination of a call.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The upstream's address.
    pub address: SocketAddr,
    /// Whether the call needs a new connection. It does if it may not be repeated, because an idle
    /// connection may be closed or silent, and then nobody could tell whether the call ran. It also
    /// does after a silent connection.
    pub fresh: bool,
}

/// The connections of one entry to its upstreams. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    pools: Arc<ArcSwap<HashMap<SocketAddr, Arc<Pool>>>>,
}

impl Calls {
    /// Creates a handle without connections.
    pub fn new() -> Self {
        Self::default()
    }

    pub(crate) fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        if let Some(pool) = self.pools.load().get(&address) {
            return Arc::clone(pool);
        }
        let new = Arc::new(Pool::new(address));
        self.pools.rcu(|old| {
            let mut pools = HashMap::clone(old);
            pools.entry(address).or_insert_with(|| Arc::clone(&new));
            pools
        });
        self.pools.load().get(&address).map_or(new, Arc::clone)
    }

    /// Drops the idle connections to all addresses for which `keep` returns `false`.
    pub fn keep_only(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.pools.rcu(|old| {
            let retained = old.iter().filter(|(address, _)| keep(address));
            retained.map(|(address, pool)| (*address, Arc::clone(pool))).collect::<HashMap<_, _>>()
        });
    }
}
