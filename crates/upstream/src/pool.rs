//! The idle connections to one upstream.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::HeaderValue;

use crate::connection::Connection;
use crate::watch::{Silence, Watch};

/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The maximum number of idle connections to an upstream.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// The idle connections to one upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) address: SocketAddr,
    pub(crate) host: HeaderValue,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let host = HeaderValue::try_from(address.to_string());
        let host = host.unwrap_or_else(|_| HeaderValue::from_static("upstream"));
        Self { address, host, idle: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the idle connection that was used last. It prefers one that is ready to one whose task
    /// has not yet processed the end of its last call.
    pub(crate) fn take(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|it| {
            !it.sender.is_closed() && now.duration_since(it.last_success) < IDLE_TIMEOUT
        });
        let ready = idle.iter().rposition(|it| it.sender.is_ready());
        let index = ready.or(idle.len().checked_sub(1))?;
        Some(idle.remove(index))
    }

    fn keep(&self, mut connection: Connection) {
        connection.last_success = Instant::now();
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Drops every idle connection without a complete response since `since`.
    ///
    /// A device between the two ends may lose track of all open connections at once. Each call on
    /// one of them would wait for its own first-byte timeout, so a request with several stages would
    /// miss its deadline although new connections work. So one silent call drops all connections that
    /// were not successful since it was sent.
    pub(crate) fn discard_stale(&self, since: Instant) {
        self.lock().retain(|it| it.last_success >= since);
    }
}

/// A connection while a call uses it. Unless [`Lease::give_back`] is called, dropping it closes the
/// connection, so that the next call never reads an abandoned response.
#[derive(Debug)]
pub(crate) struct Lease {
    pool: Arc<Pool>,
    connection: Option<Connection>,
    /// Whether the connection was used by an earlier call.
    pub(crate) reused: bool,
    /// The number of bytes written before this call.
    written_before: u64,
}

impl Lease {
    pub(crate) fn new(pool: Arc<Pool>, connection: Connection, reused: bool) -> Self {
        let written_before = connection.counter.written();
        Self { pool, connection: Some(connection), reused, written_before }
    }

    pub(crate) fn pool(&self) -> &Pool {
        &self.pool
    }

    pub(crate) fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Reports that the call that was sent at `sent` is silent.
    pub(crate) fn silent(&self, sent: Instant, watch: &Watch) {
        self.pool.discard_stale(sent);
        watch.report(Silence { reused: self.reused });
    }

    /// Closes the connection; returns whether any byte of this call was written to it.
    pub(crate) fn close(mut self) -> bool {
        let written_before = self.written_before;
        self.connection.take().is_none_or(|it| it.close() > written_before)
    }

    /// Returns the connection to the pool. Only for calls whose response was valid and read to its
    /// end.
    pub(crate) fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.keep(connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
    }
}
