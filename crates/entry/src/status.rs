//! The status page of an entry.

use std::time::Instant;

use routing::Decision;
use serde::Serialize;
use types::{Incarnation, Millis, Stale, UpstreamName, Version, VmName};

use crate::core::Core;
use crate::drain::Phase;
use crate::session::Session;

#[derive(Serialize)]
struct Status<'a> {
    vm: &'a VmName,
    owner: Incarnation,
    phase: &'static str,
    ready: bool,
    why: Option<&'static str>,
    version: Option<Version>,
    age_ms: Option<Millis>,
    under_way: usize,
    connections: usize,
    claims: usize,
    in_flight: Vec<InFlight>,
    decisions: Vec<DecisionLine>,
}

#[derive(Serialize)]
struct InFlight {
    upstream: UpstreamName,
    calls: u32,
}

#[derive(Serialize)]
struct DecisionLine {
    ago_ms: Millis,
    what: &'static str,
    subject: String,
    why: String,
}

/// Returns why the load balancer should send nothing to this entry, or `None` if it is ready.
pub(crate) fn not_ready<S: Session>(core: &Core<S>, now: Instant) -> Option<&'static str> {
    if core.drain.phase() != Phase::Serving {
        return Some("draining");
    }
    let view = core.view.load();
    let Some(view) = view.as_ref() else {
        return Some("no service yet");
    };
    let policy = &view.service().policy;
    let fresh = core.session.age(now).is_some_and(|age| age <= policy.freshness.into());
    (!fresh && policy.stale == Stale::Refuse).then_some("service not confirmed lately")
}

/// Returns the entry's state as JSON.
pub(crate) fn json<S: Session>(core: &Core<S>, now: Instant) -> Vec<u8> {
    let why = not_ready(core, now);
    let view = core.view.load();
    let in_flight = core.router.in_flight().into_iter().filter(|(_, calls)| *calls > 0);
    let status = Status {
        vm: &core.vm,
        owner: core.owner,
        phase: phase_name(core.drain.phase()),
        ready: why.is_none(),
        why,
        version: view.as_ref().map(|it| it.service().version),
        age_ms: core.session.age(now).map(Millis::from),
        under_way: core.drain.in_flight(),
        connections: core.connections.len(),
        claims: core.claims.len(),
        in_flight: in_flight.map(|(upstream, calls)| InFlight { upstream, calls }).collect(),
        decisions: core.router.decisions().into_iter().map(|it| decision_line(it, now)).collect(),
    };
    serde_json::to_vec(&status).unwrap_or_default()
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Serving => "serving",
        Phase::NotReady => "not-ready",
        Phase::Refusing => "refusing",
    }
}

fn decision_line(decision: Decision, now: Instant) -> DecisionLine {
    let Decision { at, what, subject, why } = decision;
    DecisionLine { ago_ms: now.saturating_duration_since(at).into(), what, subject, why }
}
