//! The running entry: startup, drain and the HTTP server.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use follower::{Event, Follower, FollowerConfig};
use routing::Router;
use settings::{EntrySettings, NodeSettings};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use types::{Incarnation, SiteName, StepError, StepResult, VmName};
use xitca_server::ServerHandle;
use xitca_web::handler::handler_service;
use xitca_web::route::get;
use xitca_web::{App, HttpServer};

use crate::core::Core;
use crate::drain::Phase;
use crate::handlers;
use crate::ops;
use crate::session::Session;
use crate::tasks;

/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// The maximum size of a request's head, and of what is read ahead of its body, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// The size of the write buffer per connection, in bytes. A stream waits for a slow caller once it
/// is full.
const WRITE_BUFFER_BYTES: usize = 256 << 10;

/// How long a caller may take to send a request's head, and to start its next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection without a request is kept open.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// A running entry.
pub struct Entry<S = Follower> {
    core: Arc<Core<S>>,
    address: SocketAddr,
    notice: Duration,
    server: ServerHandle,
    thread: thread::JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

/// The configuration of an entry, apart from its session with control.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The name of this VM.
    pub vm: VmName,
    /// The site of this VM.
    pub site: SiteName,
    /// The incarnation of this process.
    pub owner: Incarnation,
    /// The entry's part of the settings.
    pub part: EntrySettings,
}

/// Starts an entry on the current tokio runtime, with a session of its own.
///
/// # Errors
/// Returns an error if the settings have no entry part, or if the address cannot be bound.
pub async fn spawn(settings: NodeSettings) -> StepResult<Entry> {
    let NodeSettings { vm, site, secret, members, entry, .. } = settings;
    let part = entry.ok_or_else(|| {
        StepError::new("read settings", "no \"entry\" part; add one with \"listen\"").at(&vm)
    })?;
    let owner = Incarnation(rand::random());
    let (near, far): (Vec<_>, Vec<_>) = members.into_iter().partition(|it| it.site == site);
    let control = near.into_iter().chain(far).map(|it| it.wire).collect();
    let secret = secret.into_bytes();
    let config = FollowerConfig { vm: vm.clone(), site: site.clone(), owner, control, secret };
    let (session, events) = Follower::spawn(config)?;
    Entry::open(EntryConfig { vm, site, owner, part }, session, events)
}

impl<S: Session> Entry<S> {
    /// Starts an entry with a session that is already running.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn open(
        config: EntryConfig,
        session: Arc<S>,
        events: mpsc::Receiver<Event>,
    ) -> StepResult<Self> {
        let EntryConfig { vm, site, owner, part } = config;
        let bound = TcpListener::bind(part.listen);
        let listener = bound.map_err(|e| StepError::new("listen", e).at(part.listen))?;
        let address = listener.local_addr().map_err(|e| StepError::new("listen", e))?;
        let (router, runtime) = (Router::new(site), Handle::current());
        let core = Core::new((vm, owner), session, router, (runtime, part.connections));
        let core = Arc::new(core);
        let (server, thread) = serve(&core, listener, part.threads)?;
        let tasks = tasks::spawn(&core, events);
        log::info!(address:% = address; "entry serves callers");
        Ok(Self { core, address, notice: part.notice.into(), server, thread, tasks })
    }

    /// Returns the address on which callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down without cutting a request.
    ///
    /// The entry first reports that it is not ready while it still serves everything: the load
    /// balancer needs time to notice, and what it sends meanwhile must not fail. Then the entry
    /// refuses new requests as not run, finishes those in flight to their last byte, and closes
    /// each connection once it carries no request. Claims end with the requests that hold them.
    pub async fn drain(self) {
        let Self { core, notice, server, thread, tasks, .. } = self;
        log::info!("drain started: /readyz reports not ready, requests are still served");
        core.drain.advance(Phase::NotReady);
        tokio::time::sleep(notice).await;
        log::info!(under_way = core.drain.in_flight();
            "drain: new requests are refused, waiting for those in flight");
        core.drain.advance(Phase::Refusing);
        core.session.draining();
        core.connections.close_idle();
        core.drain.wait_idle().await;
        core.connections.close_idle();
        tasks::report_usage(&core);
        let stopped = tokio::task::spawn_blocking(move || {
            server.stop(true);
            thread.join()
        });
        if !matches!(stopped.await, Ok(Ok(()))) {
            log::warn!("drain: the HTTP server's thread panicked");
        }
        tasks.iter().for_each(JoinHandle::abort);
        log::info!("drain finished");
    }
}

/// Starts the HTTP server for callers on its own threads.
fn serve<S: Session>(
    core: &Arc<Core<S>>,
    listener: TcpListener,
    threads: usize,
) -> StepResult<(ServerHandle, thread::JoinHandle<()>)> {
    let accept = crate::connections::TrackingAcceptor {
        listener,
        connections: Arc::clone(&core.connections),
    };
    let app = App::new()
        .with_state(Arc::clone(core))
        .at("/v1/pipelines/{pipeline}", handler_service(handlers::pipelines::<S>))
        .at("/livez", get(handler_service(ops::livez::<S>)))
        .at("/readyz", get(handler_service(ops::readyz::<S>)))
        .at("/metrics", get(handler_service(ops::metrics::<S>)))
        .at("/status", get(handler_service(ops::status::<S>)))
        .at("/{*path}", handler_service(handlers::not_found::<S>))
        .finish();
    let server = HttpServer::serve(app)
        .disable_signal()
        .server_threads(1)
        .worker_threads(threads.max(1))
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<READ_BUFFER_BYTES>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>()
        .listen(accept);
    let mut server = server.map_err(|e| StepError::new("serve", e))?.run();
    let handle = server.handle().map_err(|e| StepError::new("serve", e))?;
    let wait = move || {
        if let Err(e) = server.wait() {
            log::error!("HTTP server for callers failed: {e}");
        }
    };
    let thread = thread::Builder::new().name("front".to_owned()).spawn(wait);
    Ok((handle, thread.map_err(|e| StepError::new("serve", e))?))
}
