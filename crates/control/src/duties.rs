//! What a member does by itself, over and over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use state::{Command, Limits};
use tokio::sync::{mpsc, watch};
use tokio::time::interval;
use types::{Digest, Term, UnixMillis, VmName};
use wire::loads::LoadNumbers;
use wire::session::UsageReport;

use crate::handout::Handout;
use crate::keeper::{self, Keeper};
use crate::member::Member;
use crate::owners::Owners;
use crate::protocol::MemberMessage;
use crate::roster::ANNOUNCE_PERIOD;
use crate::view::Published;

/// How often the entries are listed to the other members although only their ages changed: the
/// lists are most of what members at rest send.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// How often shares are handed out, and silent entries looked for.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

/// How often old answers and keys are dropped.
const EXPIRE_PERIOD: Duration = Duration::from_secs(5);

/// How often use by stage is written to the disk: what a crash may lose of it.
const SAVE_PERIOD: Duration = Duration::from_secs(10);

/// How long a duty's command may take.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);

/// How many reports of use may wait.
const USAGE_LIMIT: usize = 1024;

/// Takes reports of use from sessions and from other members.
#[derive(Clone)]
pub(crate) struct Inlet(mpsc::Sender<(VmName, UsageReport)>);

impl Inlet {
    /// Makes an inlet and its outlet.
    pub(crate) fn new() -> (Self, mpsc::Receiver<(VmName, UsageReport)>) {
        let (sender, receiver) = mpsc::channel(USAGE_LIMIT);
        (Self(sender), receiver)
    }

    /// Takes a report; without room it is lost, and the next one counts.
    pub(crate) fn usage(&self, vm: VmName, report: UsageReport) {
        let _ = self.0.try_send((vm, report));
    }

    /// Returns the sending side.
    pub(crate) fn sender(&self) -> mpsc::Sender<(VmName, UsageReport)> {
        self.0.clone()
    }
}

/// Announces this member to the others, and joins their cluster if it has none.
pub(crate) async fn announce(member: Arc<Member>) {
    let mut ticks = interval(ANNOUNCE_PERIOD);
    let mut listed: Option<(u64, Instant)> = None;
    loop {
        ticks.tick().await;
        let edition = member.sessions.edition();
        let is_due = |it: (u64, Instant)| it.0 != edition || it.1.elapsed() >= LIST_PERIOD;
        let lists = listed.is_none_or(is_due);
        if lists {
            listed = Some((edition, Instant::now()));
        }
        member.peers.send_all(&MemberMessage::Announce(member.announce(lists)));
        member.sessions.history.note(&member.entries());
        let founds = member.founding.is_under_way();
        if member.identity.load().is_none()
            && !founds
            && let Some(cluster) = member.roster.cluster()
        {
            member.core.adopt(cluster);
        }
    }
}

/// Sends the entries away once the core loop has ended by itself: nothing can be committed here
/// any more, and another member may serve them.
pub(crate) async fn watch_end(member: Arc<Member>) {
    let mut stopped = member.stopped.clone();
    let _ = stopped.wait_for(Option::is_some).await;
    member.sessions.leave();
    tokio::time::sleep(SHARE_PERIOD).await;
    member.ended.cancel();
}

/// Keeps the membership as it should be, while this member leads.
pub(crate) async fn keep_members(member: Arc<Member>, lost_after: Duration) {
    let mut keeper = Keeper::new(member, lost_after);
    let mut ticks = interval(keeper::PERIOD);
    loop {
        ticks.tick().await;
        keeper.turn().await;
    }
}

/// Resolves each version as it is applied, and tells the fleet who leads.
pub(crate) async fn keep_fleet(
    member: Arc<Member>,
    mut published: watch::Receiver<Arc<Published>>,
) {
    let mut ticks = interval(keeper::PERIOD);
    let mut led: Option<Term> = None;
    published.mark_changed();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Ok(()) = published.changed() => {
                let latest = Arc::clone(&published.borrow_and_update());
                // The marks go first: a new leader must not call a marked upstream live.
                member.fleet.set_marks(latest.marks.clone());
                member.services.resolve(&latest, &member.settings.site);
                if let Some(service) = member.services.get(&member.settings.site) {
                    member.fleet.set_service(service);
                }
            }
        }
        let view = member.core.view();
        let leads = (view.leads() && view.settled).then_some(view.term);
        match (leads, member.services.get(&member.settings.site)) {
            (None, _) if led.take().is_some() => member.fleet.follow(),
            (Some(term), Some(service)) if led != Some(term) => {
                led = Some(term);
                member.fleet.lead(service);
            }
            _ => {}
        }
    }
}

/// Passes the leader's digests on to the entries and the other members.
pub(crate) async fn pass_digests(member: Arc<Member>, mut digests: mpsc::Receiver<Digest>) {
    let mut numbers: BTreeMap<VmName, (u64, LoadNumbers)> = BTreeMap::new();
    while let Some(mut digest) = digests.recv().await {
        // Datagrams may all be dropped on the way while sessions live; an entry that took itself
        // for the only one would use the whole of each pool.
        let serving = member.entries().into_iter().filter(|it| !it.draining);
        let vms: BTreeSet<VmName> = serving.map(|it| it.vm).collect();
        digest.entries = digest.entries.max(vms.len() as u32);
        for (vm, connection) in member.peers.connections() {
            pass_digest(&member, &mut numbers, vm, connection, &digest);
        }
        member.sessions.digest.take(digest);
    }
}

/// Passes a digest on to one member.
///
/// What goes wrong: a digest finds no room, or its connection breaks, and with it go names that
/// later ones count on. So the numbering begins anew, and what the receiver cannot resolve it drops.
fn pass_digest(
    member: &Member,
    numbers: &mut BTreeMap<VmName, (u64, LoadNumbers)>,
    vm: VmName,
    connection: u64,
    digest: &Digest,
) {
    let (numbered_for, mut known) = numbers.remove(&vm).unwrap_or_default();
    if numbered_for != connection {
        known = LoadNumbers::default();
    }
    let message = MemberMessage::Loads(known.encode(digest));
    if member.peers.send(&vm, &message) {
        numbers.insert(vm, (connection, known));
    }
}

/// Where this member's entries' reports of use come from.
pub(crate) struct Outlets {
    /// Reports of this member's own sessions.
    pub(crate) own: mpsc::Receiver<(VmName, UsageReport)>,
    /// Reports that other members pass on.
    pub(crate) passed: mpsc::Receiver<(VmName, UsageReport)>,
}

/// Sums use, hands out shares and looks for lost entries.
pub(crate) async fn keep_entries(member: Arc<Member>, mut outlets: Outlets) {
    let mut handout = Handout::default();
    let mut owners = Owners::default();
    let mut shares = interval(SHARE_PERIOD);
    let mut expiry = interval(EXPIRE_PERIOD);
    loop {
        tokio::select! {
            Some((vm, report)) = outlets.own.recv() => {
                member.report.add(UnixMillis::now(), &report.stages);
                pass_usage(&member, &mut handout, vm, report);
            }
            Some((vm, report)) = outlets.passed.recv() => handout.report(&vm, &report),
            _ = shares.tick() => if member.leads() {
                handout.turn(&member);
                owners.turn(&member).await;
            },
            _ = expiry.tick() => if member.leads() {
                expire(&member).await;
            },
        }
    }
}

/// Writes use by stage to the disk, over and over.
pub(crate) async fn save_report(member: Arc<Member>) {
    let mut ticks = interval(SAVE_PERIOD);
    loop {
        ticks.tick().await;
        save_report_once(&member).await;
    }
}

/// Writes use by stage to the disk, on a thread that may block.
pub(crate) async fn save_report_once(member: &Arc<Member>) {
    let member = Arc::clone(member);
    let _ = tokio::task::spawn_blocking(move || member.report.save()).await;
}

fn pass_usage(member: &Member, handout: &mut Handout, vm: VmName, report: UsageReport) {
    let view = member.core.view();
    if view.leads() {
        return handout.report(&vm, &report);
    }
    if let Some(leader) = view.leader.and_then(|it| view.vm(it)) {
        // The stages are summed here already; the leader needs the demand only.
        let report = UsageReport { stages: Vec::new(), ..report };
        member.peers.send(&leader, &MemberMessage::Usage { vm, report });
    }
}

async fn expire(member: &Member) {
    let service = member.services.get(&member.settings.site);
    let limits = service.map_or_else(Limits::default, |it| Limits::from(it.claims.clone()));
    let command = Command::Expire { at: UnixMillis::now(), limits };
    let by = tokio::time::Instant::now() + COMMAND_TIMEOUT;
    if let Err(e) = member.asker.command(command, by).await {
        log::debug!("expiry: {e}");
    }
}
