//! The background tasks of a member.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use state::{Command, Limits};
use tokio::sync::{mpsc, watch};
use tokio::time::interval;
use types::{Digest, Term, UnixMillis, VmName};
use wire::loads::LoadNumbers;
use wire::session::UsageReport;

use crate::announcements::ANNOUNCE_INTERVAL;
use crate::entry_monitor::EntryMonitor;
use crate::member::Member;
use crate::protocol::MemberMessage;
use crate::reconciler::{self, MembershipReconciler};
use crate::share_distributor::ShareDistributor;
use crate::view::Published;

/// How often the list of entries is sent to the other members when only the ages changed. These
/// lists are most of the traffic between idle members.
const ENTRY_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// How often shares are assigned and silent entries are detected.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// How often expired answers and keys are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// How often stage usage is written to the disk. A crash loses at most the usage of this time.
const SAVE_INTERVAL: Duration = Duration::from_secs(10);

/// The timeout of a background task's command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of queued usage reports.
const MAX_QUEUED_REPORTS: usize = 1024;

/// Queues usage reports from sessions and from other members.
#[derive(Clone)]
pub(crate) struct UsageSender(mpsc::Sender<(VmName, UsageReport)>);

impl UsageSender {
    /// Creates a sender and its receiver.
    pub(crate) fn new() -> (Self, mpsc::Receiver<(VmName, UsageReport)>) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_REPORTS);
        (Self(sender), receiver)
    }

    /// Queues a report. If the queue is full, the report is dropped, and later ones still count.
    pub(crate) fn send(&self, vm: VmName, report: UsageReport) {
        let _ = self.0.try_send((vm, report));
    }

    /// Returns the sending side of the channel.
    pub(crate) fn sender(&self) -> mpsc::Sender<(VmName, UsageReport)> {
        self.0.clone()
    }
}

/// Announces this member to the others, and joins their cluster if it belongs to none.
pub(crate) async fn announce(member: Arc<Member>) {
    let mut ticks = interval(ANNOUNCE_INTERVAL);
    let mut last_list: Option<(u64, Instant)> = None;
    loop {
        ticks.tick().await;
        let revision = member.sessions.revision();
        let is_outdated =
            |it: (u64, Instant)| it.0 != revision || it.1.elapsed() >= ENTRY_LIST_INTERVAL;
        let with_entries = last_list.is_none_or(is_outdated);
        if with_entries {
            last_list = Some((revision, Instant::now()));
        }
        member.peers.send_all(&MemberMessage::Announce(member.announce(with_entries)));
        member.sessions.history.record(&member.entries());
        let is_initializing = member.init_guard.is_initializing();
        if member.identity.load().is_none()
            && !is_initializing
            && let Some(cluster) = member.announcements.cluster()
        {
            member.core.join_cluster(cluster);
        }
    }
}

/// Tells the entries to follow another member once the core loop has ended by itself. Nothing can
/// be committed here any more, while another member may be able to serve them.
pub(crate) async fn watch_core(member: Arc<Member>) {
    let mut stopped = member.stopped.clone();
    let _ = stopped.wait_for(Option::is_some).await;
    member.sessions.tell_entries_to_leave();
    tokio::time::sleep(SHARE_INTERVAL).await;
    member.shutdown.cancel();
}

/// Keeps the membership as configured, while this member leads.
pub(crate) async fn reconcile_members(member: Arc<Member>, lost_after: Duration) {
    let mut reconciler = MembershipReconciler::new(member, lost_after);
    let mut ticks = interval(reconciler::RECONCILE_INTERVAL);
    loop {
        ticks.tick().await;
        reconciler.reconcile().await;
    }
}

/// Resolves each version when it is applied, and tells the fleet whether this member leads.
pub(crate) async fn update_fleet(
    member: Arc<Member>,
    mut published: watch::Receiver<Arc<Published>>,
) {
    let mut ticks = interval(reconciler::RECONCILE_INTERVAL);
    let mut leader_term: Option<Term> = None;
    published.mark_changed();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Ok(()) = published.changed() => {
                let latest = Arc::clone(&published.borrow_and_update());
                // The marks are set before the service, so that a new leader does not consider a
                // marked upstream live.
                member.fleet.set_marks(latest.marks.clone());
                member.services.resolve(&latest, &member.settings.site);
                if let Some(service) = member.services.get(&member.settings.site) {
                    member.fleet.set_service(service);
                }
            }
        }
        let view = member.core.view();
        let leads = (view.leads() && view.term_committed).then_some(view.term);
        match (leads, member.services.get(&member.settings.site)) {
            (None, _) if leader_term.take().is_some() => member.fleet.follow(),
            (Some(term), Some(service)) if leader_term != Some(term) => {
                leader_term = Some(term);
                member.fleet.lead(service);
            }
            _ => {}
        }
    }
}

/// Sends the leader's digests to the entries and the other members.
pub(crate) async fn forward_digests(member: Arc<Member>, mut digests: mpsc::Receiver<Digest>) {
    let mut numberings: BTreeMap<VmName, (u64, LoadNumbers)> = BTreeMap::new();
    while let Some(mut digest) = digests.recv().await {
        // All datagrams of an entry may be lost although its session works. Entries with a session
        // are therefore counted, because an entry that believed itself the only one would use the
        // whole of each pool.
        let serving = member.entries().into_iter().filter(|it| !it.draining);
        let vms: BTreeSet<VmName> = serving.map(|it| it.vm).collect();
        digest.entries = digest.entries.max(vms.len() as u32);
        for (vm, connection) in member.peers.connections() {
            forward_digest(&member, &mut numberings, vm, connection, &digest);
        }
        member.sessions.digest.apply(digest);
    }
}

/// Sends a digest to one member.
///
/// A digest may be lost because the queue is full or the connection fails, and with it the
/// numbering of names that later digests refer to. The numbering then starts again, and the
/// receiver drops digests that it cannot resolve.
fn forward_digest(
    member: &Member,
    numberings: &mut BTreeMap<VmName, (u64, LoadNumbers)>,
    vm: VmName,
    connection: u64,
    digest: &Digest,
) {
    let (numbered_for, mut numbering) = numberings.remove(&vm).unwrap_or_default();
    if numbered_for != connection {
        numbering = LoadNumbers::default();
    }
    let message = MemberMessage::Loads(numbering.encode(digest));
    if member.peers.send(&vm, &message) {
        numberings.insert(vm, (connection, numbering));
    }
}

/// The receivers of usage reports.
pub(crate) struct UsageReceivers {
    /// Reports from this member's own sessions.
    pub(crate) own: mpsc::Receiver<(VmName, UsageReport)>,
    /// Reports that other members forwarded.
    pub(crate) forwarded: mpsc::Receiver<(VmName, UsageReport)>,
}

/// Adds up usage, distributes shares, detects lost entries and removes expired keys.
pub(crate) async fn manage_entries(member: Arc<Member>, mut receivers: UsageReceivers) {
    let mut distributor = ShareDistributor::default();
    let mut entry_monitor = EntryMonitor::default();
    let mut shares = interval(SHARE_INTERVAL);
    let mut expiry = interval(EXPIRE_INTERVAL);
    loop {
        tokio::select! {
            Some((vm, report)) = receivers.own.recv() => {
                member.usage_store.add(UnixMillis::now(), &report.stages);
                forward_usage(&member, &mut distributor, vm, report);
            }
            Some((vm, report)) = receivers.forwarded.recv() => distributor.report(&vm, &report),
            _ = shares.tick() => if member.leads() {
                distributor.run(&member);
                entry_monitor.declare_lost(&member).await;
            },
            _ = expiry.tick() => if member.leads() {
                expire(&member).await;
            },
        }
    }
}

/// Writes stage usage to the disk periodically.
pub(crate) async fn save_usage(member: Arc<Member>) {
    let mut ticks = interval(SAVE_INTERVAL);
    loop {
        ticks.tick().await;
        save_usage_once(&member).await;
    }
}

/// Writes stage usage to the disk on a thread that may block.
pub(crate) async fn save_usage_once(member: &Arc<Member>) {
    let member = Arc::clone(member);
    let _ = tokio::task::spawn_blocking(move || member.usage_store.save()).await;
}

fn forward_usage(
    member: &Member,
    distributor: &mut ShareDistributor,
    vm: VmName,
    report: UsageReport,
) {
    let view = member.core.view();
    if view.leads() {
        return distributor.report(&vm, &report);
    }
    if let Some(leader) = view.leader.and_then(|it| view.vm(it)) {
        // The stage usage is already added up here; the leader needs only the demand.
        let report = UsageReport { stages: Vec::new(), ..report };
        member.peers.send(&leader, &MemberMessage::Usage { vm, report });
    }
}

async fn expire(member: &Member) {
    let service = member.services.get(&member.settings.site);
    let limits = service.map_or_else(Limits::default, |it| Limits::from(it.claims.clone()));
    let command = Command::Expire { at: UnixMillis::now(), limits };
    let deadline = tokio::time::Instant::now() + COMMAND_TIMEOUT;
    if let Err(e) = member.leader_client.command(command, deadline).await {
        log::debug!("expired keys could not be removed; the next round tries again: {e}");
    }
}
