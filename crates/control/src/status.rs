//! The status of a member, as reported to operators.

use std::collections::BTreeMap;
use std::time::Duration;

use types::{Millis, VmName};

use crate::entry_monitor::SILENCE_TIMEOUT;
use crate::member::Member;
use crate::protocol::EntryStatus;
use crate::responses::{EntryRow, MemberRow, Status, UpstreamRow};
use crate::view::View;

/// Entries that were last seen longer ago are not listed.
const ENTRY_HISTORY_DURATION: Duration = Duration::from_secs(3600);

/// Returns what this member knows about itself, the members, the entries and the upstreams.
pub(crate) fn status(member: &Member) -> Status {
    let view = member.core.view();
    Status {
        vm: member.vm().clone(),
        node: member.node.to_string(),
        role: view.role,
        term: view.term,
        leader: view.leader.and_then(|it| view.vm(it)),
        commit: view.commit.0,
        applied: view.applied.0,
        version: view.version,
        members: members(member, &view),
        entries: entries(member, &view),
        upstreams: upstreams(member),
        why: reasons(member, &view),
    }
}

fn members(member: &Member, view: &View) -> Vec<MemberRow> {
    let voters = view.membership.voters.keys().map(|it| (*it, "voter"));
    let learners = view.membership.learners.keys().map(|it| (*it, "learner"));
    let row = |(node, kind): (types::NodeId, &'static str)| {
        let own = (node == member.node).then_some(view.applied);
        let matched = view.progress.get(&node).copied().or(own);
        let vm = view.vm(node)?;
        Some(MemberRow { vm, node: node.to_string(), kind, matched: matched.map(|it| it.0) })
    };
    let mut rows: Vec<MemberRow> = voters.chain(learners).filter_map(row).collect();
    let others = member.announcements.all().into_iter().filter(|it| it.is_fresh());
    for it in others.filter(|it| !view.membership.contains(it.announce.node)) {
        let (vm, node) = (it.announce.vm, it.announce.node.to_string());
        rows.push(MemberRow { vm, node, kind: "spare", matched: None });
    }
    rows
}

/// Lists every entry that has a session with any member, or had one recently.
fn entries(member: &Member, view: &View) -> Vec<EntryRow> {
    let mut latest: BTreeMap<VmName, (EntryStatus, Option<Duration>)> = BTreeMap::new();
    for (entry, ago) in member.sessions.history.all() {
        if ago < ENTRY_HISTORY_DURATION {
            latest.insert(entry.vm.clone(), (entry, Some(ago)));
        }
    }
    for entry in member.entries() {
        let known = latest.get(&entry.vm);
        // For a moment, two members may list an entry that moved from one to the other.
        if known.is_none_or(|it| it.1.is_some() || is_more_recent(&entry, &it.0)) {
            latest.insert(entry.vm.clone(), (entry, None));
        }
    }
    latest
        .into_values()
        .map(|(entry, absent_for)| entry_row(member, view, entry, absent_for))
        .collect()
}

/// Returns whether `entry` requested a confirmation more recently than `other`.
fn is_more_recent(entry: &EntryStatus, other: &EntryStatus) -> bool {
    let age = |it: &EntryStatus| it.age_ms.unwrap_or(u64::MAX);
    age(entry) < age(other)
}

fn entry_row(
    member: &Member,
    view: &View,
    entry: EntryStatus,
    absent_for: Option<Duration>,
) -> EntryRow {
    let service = member.services.get(&entry.site);
    let fresh = service.map_or(Millis(0), |it| it.policy.freshness);
    let mut why = Vec::new();
    let since = absent_for.map_or(0, |it| it.as_millis() as u64);
    let age = entry.age_ms.map(|it| it.saturating_add(since));
    if let Some(ago) = absent_for {
        why.push(format!("no session with any member for {} ms", ago.as_millis()));
    }
    match age {
        None => why.push("it never asked for a confirmation".to_owned()),
        Some(age) if fresh.0 > 0 && age > fresh.0 => {
            why.push(format!("it last asked for a confirmation {age} ms ago"));
        }
        Some(_) => {}
    }
    match &entry.rejected {
        Some((version, reason)) if *version > entry.version => {
            why.push(format!("it keeps version {version} out: {reason}"));
        }
        _ if entry.version < view.version => {
            why.push(format!("it has not confirmed version {} yet", view.version));
        }
        _ => {}
    }
    if entry.draining {
        why.push("it drains".to_owned());
    }
    EntryRow {
        vm: entry.vm,
        site: entry.site.to_string(),
        version: entry.version,
        age_ms: age,
        why: (!why.is_empty()).then(|| why.join("; ")),
    }
}

/// Lists the upstreams: on the leader from its own data, on other members from the leader's digest.
fn upstreams(member: &Member) -> Vec<UpstreamRow> {
    let view = member.fleet.view();
    if !view.leading {
        let row = |it: types::UpstreamLoad| UpstreamRow {
            upstream: it.upstream,
            availability: it.availability,
            in_flight: it.in_flight,
            reported: it.reported,
            why: None,
        };
        return member.sessions.digest.loads().into_iter().map(row).collect();
    }
    let row = |(name, it): (&types::UpstreamName, &fleet::UpstreamStatus)| UpstreamRow {
        upstream: name.clone(),
        availability: it.availability,
        in_flight: it.in_flight,
        reported: it.reported,
        why: join_reasons(&it.why, &it.order),
    };
    view.upstreams.iter().map(row).collect()
}

fn join_reasons(why: &str, order: &str) -> Option<String> {
    let parts: Vec<&str> = [why, order].into_iter().filter(|it| !it.is_empty()).collect();
    (!parts.is_empty()).then(|| parts.join("; "))
}

fn reasons(member: &Member, view: &View) -> Vec<String> {
    let mut why = Vec::new();
    if let Some(it) = member.stopped.borrow().as_ref() {
        why.push(format!("this member has stopped: {it}"));
    }
    if member.identity.load().is_none() {
        why.push("this member belongs to no cluster: run init once, or wait to join".to_owned());
    } else if view.leader.is_none() {
        why.push("no leader is known: no quorum is reached from here".to_owned());
    }
    for (vm, is_connected) in member.peers.connected() {
        if !is_connected {
            why.push(format!("no connection to member {vm}"));
        }
    }
    for (node, vm) in view.membership.learners.keys().filter_map(|it| Some((it, view.vm(*it)?))) {
        why.push(format!("{vm} (node {node}) is a learner: it is being caught up"));
    }
    if let Some(it) = member.step_failure.load().as_ref() {
        why.push(format!("members: {it}"));
    }
    if let Some(it) = &member.fleet.view().platform {
        why.push(format!("platform's list: {it}"));
    }
    let lost = member
        .sessions
        .history
        .all()
        .into_iter()
        .filter(|it| it.1 > SILENCE_TIMEOUT && it.1 < ENTRY_HISTORY_DURATION);
    for (entry, ago) in lost {
        why.push(format!("entry {} was last heard {} s ago", entry.vm, ago.as_secs()));
    }
    why
}
