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

use crate::ask::Ask;
use crate::asker::Asker;
use crate::authority::LeaderAuthority;
use crate::core::{self, CoreConfig};
use crate::duties::{self, Inlet, Outlets};
use crate::folder;
use crate::identity::Identity;
use crate::inbound;
use crate::member::{Founding, Member, Services, announce};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::peers::{Dialer, PeerOutbox, Peers};
use crate::report::Report;
use crate::roster::Roster;
use crate::server::HttpServer;
use crate::sessions::Sessions;

/// How long a draining leader waits for another to lead: the heir's disk has to write what is on the way
/// to it and then its vote, and another member's disk its vote.
const HANDOVER: Duration = Duration::from_secs(20);

/// The pause before leadership is looked at again.
const HANDOVER_PAUSE: Duration = Duration::from_millis(20);

/// How long entries have to move to another member.
const LEAVE: Duration = Duration::from_secs(1);

/// The folder of the use by stage, in the data folder.
const USE_FOLDER: &str = "use";

/// How long the core loop may take to end.
const END: Duration = Duration::from_secs(5);

/// Times that a running system need not change, but tests shorten.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a voter is silent until it counts as lost for good and a spare replaces it.
    pub lost_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self { lost_after: Duration::from_secs(60) }
    }
}

/// The running control program. Dropping it leaves it running; [`Control::drain`] ends it.
pub struct Control {
    member: Arc<Member>,
    http: HttpServer,
    wire: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the control program on the current tokio runtime.
///
/// # Errors
/// Where its settings lack the part for control, the data folder cannot be trusted, or an address
/// cannot be bound.
pub async fn spawn(settings: NodeSettings) -> StepResult<Control> {
    spawn_with(settings, Timing::default()).await
}

/// Starts the control program with other times than the usual.
///
/// # Errors
/// As [`spawn`].
pub async fn spawn_with(settings: NodeSettings, timing: Timing) -> StepResult<Control> {
    let (part, wire) = parts(&settings)?;
    let secret = Secret::new(settings.secret.as_bytes())?;
    let began = Instant::now();
    let opened = folder::open(&part.data, &settings.vm)?;
    let node = opened.id;
    // A disk that stalls holds up the start here and nowhere else.
    log::info!(folder:% = part.data.display(), node:% = node, ms = began.elapsed().as_millis() as u64;
        "opened the data folder");
    let me = Hello { kind: Kind::Member, vm: settings.vm.clone(), node: node.0 };
    let listener = Listener::bind(wire.wire, &secret, me.clone()).await?;
    let bound = listener.address();
    let datagrams = Datagrams::bind(bound, &secret).await?;

    let metrics = Arc::new(Metrics::new().map_err(|e| StepError::new("register metrics", e))?);
    let others: Vec<settings::Member> =
        settings.members.iter().filter(|it| it.vm != settings.vm).cloned().collect();
    let roster = Arc::new(Roster::default());
    let peers = Arc::new(Peers::new(&others, Arc::clone(&roster)));
    let identity = Arc::new(ArcSwapOption::empty());
    let config = CoreConfig {
        vm: settings.vm.clone(),
        outbox: PeerOutbox(Arc::clone(&peers)),
        log_size: part.log_size.0,
        metrics: Arc::clone(&metrics),
        identity: Arc::clone(&identity),
    };
    let (ended_to, stopped) = watch::channel(None);
    let core = core::spawn(config, opened, move |result| {
        let reason = match result {
            Ok(()) => "drained".to_owned(),
            Err(e) => {
                log::error!("member stops: {e}");
                e.to_string()
            }
        };
        ended_to.send_replace(Some(reason));
    })?;

    let asker = Asker { vm: settings.vm.clone(), core: core.clone(), peers: Arc::clone(&peers) };
    let (own_inlet, own) = Inlet::new();
    let (inlet, passed) = Inlet::new();
    let sessions = Arc::new(Sessions::new(asker.clone(), own_inlet.sender()));
    let (fleet, digests) = Fleet::spawn(
        FleetConfig { platform: part.platform },
        LeaderAuthority { core: core.clone() },
    );
    let member = Arc::new(Member {
        node,
        identity,
        core,
        peers,
        roster,
        asker,
        sessions,
        report: Report::open(part.data.join(USE_FOLDER)),
        fleet,
        metrics,
        services: Services::default(),
        founding: Founding::default(),
        drains: AtomicBool::new(false),
        stopped: stopped.clone(),
        ended: CancellationToken::new(),
        hindrance: ArcSwapOption::empty(),
        settings,
    });

    let operators = Arc::new(Operators { member: Arc::clone(&member) });
    let http = HttpServer::bind(wire.http, operators)?;
    let mut tasks = member.peers.dial(dialer(&member, secret, me));
    let published = member.core.published();
    let m = || Arc::clone(&member);
    let outlets = Outlets { own, passed };
    tasks.push(tokio::spawn(duties::watch_end(m())));
    tasks.push(spawn_duty(&member, "announce", duties::announce(m())));
    tasks.push(spawn_duty(&member, "members", duties::keep_members(m(), timing.lost_after)));
    tasks.push(spawn_duty(&member, "fleet", duties::keep_fleet(m(), published)));
    tasks.push(spawn_duty(&member, "digests", duties::pass_digests(m(), digests)));
    tasks.push(spawn_duty(&member, "entries", duties::keep_entries(m(), outlets)));
    tasks.push(spawn_duty(&member, "use by stage", duties::save_report(m())));
    tasks.push(spawn_duty(&member, "loads", inbound::take_loads(m(), datagrams)));
    tasks.push(spawn_duty(&member, "listener", inbound::accept(m(), inlet, listener)));
    log::info!(vm:% = member.vm(), wire:% = bound, http:% = http.address(); "control runs");
    Ok(Control { member, http, wire: bound, tasks })
}

/// Runs what a member does by itself. A fault in it ends the member: one that no longer looks
/// after its entries or members, and shows nothing of it, is worse than one that is restarted.
fn spawn_duty(
    member: &Arc<Member>,
    name: &'static str,
    duty: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    let core = member.core.clone();
    tokio::spawn(async move {
        if AssertUnwindSafe(duty).catch_unwind().await.is_err() {
            core.fail(name);
        }
    })
}

fn parts(settings: &NodeSettings) -> StepResult<(ControlSettings, settings::Member)> {
    let fault = |why: &str| StepError::new("read settings", why.to_owned()).at(&settings.vm);
    let part = settings.control.clone().ok_or_else(|| fault("add the part \"control\""))?;
    let member = settings.members.iter().find(|it| it.vm == settings.vm);
    let member = member.cloned().ok_or_else(|| fault("add this VM to \"members\""))?;
    Ok((part, member))
}

fn dialer(member: &Arc<Member>, secret: Secret, me: Hello) -> Dialer {
    let (vm, node) = (member.vm().clone(), member.node);
    let identity: Arc<ArcSwapOption<Identity>> = Arc::clone(&member.identity);
    let sessions = Arc::clone(&member.sessions);
    let announce = Box::new(move || announce(&vm, node, &identity, &sessions));
    Dialer { secret, me, announce }
}

impl Control {
    /// Returns the address of the operators' HTTP side.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the address for entries and members.
    pub fn wire_address(&self) -> SocketAddr {
        self.wire
    }

    /// Waits until the member has stopped, and returns why. It stops by itself where the disk
    /// fails: it does not go on from memory.
    pub async fn stopped(&self) -> String {
        let mut stopped = self.member.stopped.clone();
        let reason = stopped.wait_for(Option::is_some).await;
        reason.ok().and_then(|it| it.clone()).unwrap_or_else(|| "core loop ended".to_owned())
    }

    /// Ends the program: leadership is handed over first, then entries are told to follow another
    /// member, then all ends.
    pub async fn drain(mut self) {
        self.member.drains.store(true, Ordering::SeqCst);
        self.hand_over().await;
        self.member.sessions.leave();
        duties::save_report_once(&self.member).await;
        let left = async {
            while !self.member.sessions.entries().is_empty() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = timeout(LEAVE, left).await;
        self.end().await;
    }

    /// Ends the program at once, as a crash would, but for what the kernel still holds.
    pub async fn abort(mut self) {
        self.end().await;
    }

    async fn end(&mut self) {
        self.http.stop().await;
        self.member.core.stop();
        let _ = timeout(END, self.stopped()).await;
        self.member.ended.cancel();
        for task in self.tasks.drain(..) {
            task.abort();
            let _ = task.await;
        }
    }

    /// Hands leadership over, if this member leads and is not alone; returns once another leads,
    /// or after twenty seconds.
    pub async fn hand_over(&self) {
        let core = &self.member.core;
        if !core.view().leads() || core.view().membership.voters.len() < 2 {
            return;
        }
        let by = Instant::now() + HANDOVER;
        while core.view().leader.is_none_or(|it| it == self.member.node) {
            if Instant::now() >= by {
                return log::warn!("leadership could not be handed over in time");
            }
            if core.view().leads() {
                let _ = core.ask(Ask::Transfer(None)).await;
            }
            sleep(HANDOVER_PAUSE).await;
        }
    }
}
