//! The running control program.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use fleet::{Fleet, FleetConfig};
use futures_util::FutureExt;
use settings::{ControlSettings, NodeSettings};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use types::{StepError, StepResult};
use wire::{Datagrams, Hello, Kind, Listener, Secret};

use crate::announcements::PeerAnnouncements;
use crate::authority::LeaderAuthority;
use crate::background::{self, UsageReceivers, UsageSender};
use crate::core::{self, CoreConfig};
use crate::folder;
use crate::identity::Identity;
use crate::inbound;
use crate::leader_client::LeaderClient;
use crate::member::{InitGuard, Member, Services, announce};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::peers::{Dialer, PeerOutbox, Peers};
use crate::request::LeaderRequest;
use crate::server::HttpServer;
use crate::sessions::Sessions;
use crate::usage_store::UsageStore;

/// How long a draining leader waits until another member leads. The target's disk has to write the
/// entries in flight and then its vote, and the disk of another member has to write that member's
/// vote.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which the leader is polled during a transfer.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long entries may take to move to another member.
const ENTRY_LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The name of the folder for stage usage in the data folder.
const USAGE_FOLDER: &str = "use";

/// How long the core loop may take to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeouts that a running system need not change and tests shorten.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a voter may be silent before it counts as lost for good and a spare replaces it.
    pub lost_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self { lost_after: Duration::from_secs(60) }
    }
}

/// The running control program. Dropping this handle leaves the program running; [`Control::drain`]
/// ends it.
pub struct Control {
    member: Arc<Member>,
    http: HttpServer,
    wire: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the control program on the current tokio runtime.
///
/// # Errors
/// Returns an error if the settings lack the control part, the data folder cannot be used safely,
/// or an address cannot be bound.
pub async fn spawn(settings: NodeSettings) -> StepResult<Control> {
    spawn_with(settings, Timing::default()).await
}

/// Starts the control program with other timeouts than the default ones.
///
/// # Errors
/// Returns the same errors as [`spawn`].
pub async fn spawn_with(settings: NodeSettings, timing: Timing) -> StepResult<Control> {
    let (part, this_member) = node_parts(&settings)?;
    let secret = Secret::new(settings.secret.as_bytes())?;
    let started = Instant::now();
    let opened = folder::open(&part.data, &settings.vm)?;
    let node = opened.id;
    // Logs the duration, because a stalled disk delays the start at this point only.
    log::info!(folder:% = part.data.display(), node:% = node,
        ms = started.elapsed().as_millis() as u64;
        "opened the data folder");
    let hello = Hello { kind: Kind::Member, vm: settings.vm.clone(), node: node.0 };
    let listener = Listener::bind(this_member.wire, &secret, hello.clone()).await?;
    let bound = listener.address();
    let datagrams = Datagrams::bind(bound, &secret).await?;

    let metrics = Arc::new(Metrics::new().map_err(|e| StepError::new("register metrics", e))?);
    let others: Vec<settings::Member> =
        settings.members.iter().filter(|it| it.vm != settings.vm).cloned().collect();
    let announcements = Arc::new(PeerAnnouncements::default());
    let peers = Arc::new(Peers::new(&others, Arc::clone(&announcements)));
    let identity = Arc::new(ArcSwapOption::empty());
    let config = CoreConfig {
        vm: settings.vm.clone(),
        outbox: PeerOutbox(Arc::clone(&peers)),
        log_size: part.log_size.0,
        metrics: Arc::clone(&metrics),
        identity: Arc::clone(&identity),
    };
    let (ended_sender, stopped) = watch::channel(None);
    let core = core::spawn(config, opened, move |result| {
        let reason = match result {
            Ok(()) => "drained".to_owned(),
            Err(e) => {
                log::error!("the member stops after a failure: {e}");
                e.to_string()
            }
        };
        ended_sender.send_replace(Some(reason));
    })?;

    let leader_client =
        LeaderClient { vm: settings.vm.clone(), core: core.clone(), peers: Arc::clone(&peers) };
    let (own_usage_sender, own) = UsageSender::new();
    let (usage_sender, forwarded) = UsageSender::new();
    let sessions = Arc::new(Sessions::new(leader_client.clone(), own_usage_sender.sender()));
    let (fleet, digests) = Fleet::spawn(
        FleetConfig { platform: part.platform },
        LeaderAuthority { core: core.clone() },
    );
    let member = Arc::new(Member {
        node,
        identity,
        core,
        peers,
        announcements,
        leader_client,
        sessions,
        usage_store: UsageStore::open(part.data.join(USAGE_FOLDER)),
        fleet,
        metrics,
        services: Services::default(),
        init_guard: InitGuard::default(),
        is_draining: AtomicBool::new(false),
        stopped: stopped.clone(),
        shutdown: CancellationToken::new(),
        step_failure: ArcSwapOption::empty(),
        settings,
    });

    let operators = Arc::new(Operators { member: Arc::clone(&member) });
    let http = HttpServer::bind(this_member.http, operators)?;
    let mut tasks = member.peers.dial(dialer(&member, secret, hello));
    let published = member.core.published();
    let shared = || Arc::clone(&member);
    let usage_receivers = UsageReceivers { own, forwarded };
    tasks.push(tokio::spawn(background::watch_core(shared())));
    tasks.push(spawn_background(&member, "announce", background::announce(shared())));
    tasks.push(spawn_background(
        &member,
        "members",
        background::reconcile_members(shared(), timing.lost_after),
    ));
    tasks.push(spawn_background(&member, "fleet", background::update_fleet(shared(), published)));
    tasks.push(spawn_background(
        &member,
        "digests",
        background::forward_digests(shared(), digests),
    ));
    tasks.push(spawn_background(
        &member,
        "entries",
        background::manage_entries(shared(), usage_receivers),
    ));
    tasks.push(spawn_background(&member, "use by stage", background::save_usage(shared())));
    tasks.push(spawn_background(&member, "loads", inbound::receive_loads(shared(), datagrams)));
    tasks.push(spawn_background(
        &member,
        "listener",
        inbound::accept(shared(), usage_sender, listener),
    ));
    log::info!(vm:% = member.vm(), wire:% = bound, http:% = http.address(); "control runs");
    Ok(Control { member, http, wire: bound, tasks })
}

/// Runs a background task. A panic in it stops the member, because a member that no longer looks
/// after its entries or the membership, without showing it, is worse than one that is restarted.
fn spawn_background(
    member: &Arc<Member>,
    name: &'static str,
    task: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    let core = member.core.clone();
    tokio::spawn(async move {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            core.fail(name);
        }
    })
}

fn node_parts(settings: &NodeSettings) -> StepResult<(ControlSettings, settings::Member)> {
    let error = |why: &str| StepError::new("read settings", why.to_owned()).at(&settings.vm);
    let part = settings.control.clone().ok_or_else(|| error("add the part \"control\""))?;
    let member = settings.members.iter().find(|it| it.vm == settings.vm);
    let member = member.cloned().ok_or_else(|| error("add this VM to \"members\""))?;
    Ok((part, member))
}

fn dialer(member: &Arc<Member>, secret: Secret, hello: Hello) -> Dialer {
    let (vm, node) = (member.vm().clone(), member.node);
    let identity: Arc<ArcSwapOption<Identity>> = Arc::clone(&member.identity);
    let sessions = Arc::clone(&member.sessions);
    let announce = Box::new(move || announce(&vm, node, &identity, &sessions));
    Dialer { secret, me: hello, announce }
}

impl Control {
    /// Returns the address of the operators' HTTP API.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the address to which entries and members connect.
    pub fn wire_address(&self) -> SocketAddr {
        self.wire
    }

    /// Waits until the member has stopped and returns the reason. The member stops by itself if its
    /// disk fails, rather than continuing with state in memory only.
    pub async fn stopped(&self) -> String {
        let mut stopped = self.member.stopped.clone();
        let reason = stopped.wait_for(Option::is_some).await;
        reason.ok().and_then(|it| it.clone()).unwrap_or_else(|| "core loop ended".to_owned())
    }

    /// Ends the program: transfers leadership, then tells entries to follow another member, then
    /// stops everything.
    pub async fn drain(mut self) {
        self.member.is_draining.store(true, Ordering::SeqCst);
        self.transfer_leadership().await;
        self.member.sessions.tell_entries_to_leave();
        background::save_usage_once(&self.member).await;
        let all_left = async {
            while !self.member.sessions.entries().is_empty() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = timeout(ENTRY_LEAVE_TIMEOUT, all_left).await;
        self.end().await;
    }

    /// Ends the program at once, as a crash would, except that the kernel still completes pending
    /// I/O.
    pub async fn abort(mut self) {
        self.end().await;
    }

    async fn end(&mut self) {
        self.http.stop().await;
        self.member.core.stop();
        let _ = timeout(SHUTDOWN_TIMEOUT, self.stopped()).await;
        self.member.shutdown.cancel();
        for task in self.tasks.drain(..) {
            task.abort();
            let _ = task.await;
        }
    }

    /// Transfers leadership if this member leads and is not the only voter. Returns once another
    /// member leads, or after 20 seconds.
    pub async fn transfer_leadership(&self) {
        let core = &self.member.core;
        if !core.view().leads() || core.view().membership.voters.len() < 2 {
            return;
        }
        let deadline = Instant::now() + TRANSFER_TIMEOUT;
        while core.view().leader.is_none_or(|it| it == self.member.node) {
            if Instant::now() >= deadline {
                return log::warn!(
                    "leadership was not transferred in time; draining continues without it"
                );
            }
            if core.view().leads() {
                let _ = core.request(LeaderRequest::Transfer(None)).await;
            }
            sleep(TRANSFER_POLL_INTERVAL).await;
        }
    }
}
