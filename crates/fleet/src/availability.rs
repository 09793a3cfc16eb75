//! Derives whether an upstream gets new work from all observations of it.

use std::collections::BTreeMap;

use types::{Pool, UpstreamAvailability, UpstreamName};

/// The number of consecutive refused connections after which an upstream counts as gone.
const REFUSAL_THRESHOLD: u32 = 3;

/// The observations of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Whether the platform reports its VM as leaving; `None` if it never listed the VM.
    pub platform: Option<bool>,
    /// Whether it reported that it drains, and has not reported otherwise since.
    pub draining: bool,
    /// Whether it has answered a poll in this term with its own report.
    pub answered: bool,
    /// The number of connections it refused in a row.
    pub refused: u32,
    /// Whether an operator marked it as leaving.
    pub marked: bool,
    /// Whether the previous leader reported it as leaving.
    pub inherited: bool,
}

/// The answer of an upstream to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It answered and accepts work.
    Serving,
    /// It answered that it drains.
    Draining,
    /// It refused the connection.
    Refused,
    /// It did not answer in time, or not in the expected form.
    NoAnswer,
}

impl Answer {
    /// Returns whether the upstream answered at all.
    pub fn is_answer(self) -> bool {
        matches!(self, Answer::Serving | Answer::Draining)
    }
}

/// An upstream's availability with its reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DerivedAvailability {
    /// Whether it gets new work.
    pub availability: UpstreamAvailability,
    /// The reason; empty if nothing is wrong.
    pub why: String,
    /// Whether any source reported it as leaving, rather than it merely refusing connections.
    pub announced: bool,
}

impl Observation {
    /// Records the answer to a poll.
    ///
    /// Draining is sticky: only a later report of the upstream itself clears it, which it sends
    /// once it was restarted. Silence and refused connections do not clear it, because a draining
    /// upstream ends with exactly those.
    pub fn record_poll(&mut self, answer: Answer) {
        match answer {
            Answer::Serving => {
                self.draining = false;
                self.answered = true;
                self.refused = 0;
            }
            Answer::Draining => {
                self.draining = true;
                self.answered = true;
                self.refused = 0;
            }
            Answer::Refused => self.refused = self.refused.saturating_add(1),
            Answer::NoAnswer => {}
        }
    }

    /// Sets or clears an operator's mark. Clearing it overrides all earlier observations.
    pub fn set_mark(&mut self, leaving: bool) {
        if self.marked && !leaving {
            self.draining = false;
            self.inherited = false;
        }
        self.marked = leaving;
    }

    /// Returns whether this leader's own observations replace the previous leader's report.
    fn supersedes_inherited(&self, reports: bool) -> bool {
        let platform = self.platform != Some(true);
        platform && if reports { self.answered } else { self.platform.is_some() }
    }

    /// Drops the previous leader's report once this leader's own observations replace it.
    pub fn drop_superseded(&mut self, reports: bool) {
        if self.inherited && self.supersedes_inherited(reports) {
            self.inherited = false;
        }
    }

    /// Returns why it is leaving, if any source reports so.
    fn leaving(&self, spec: bool) -> Option<&'static str> {
        if spec {
            return Some("the service says it is leaving");
        }
        if self.marked {
            return Some("an operator marked it as leaving");
        }
        if self.platform == Some(true) {
            return Some("the platform says its VM is leaving");
        }
        if self.draining {
            return Some("it says that it drains");
        }
        self.inherited.then_some("the leader before said it is leaving")
    }

    fn is_refusing(&self) -> bool {
        self.refused >= REFUSAL_THRESHOLD
    }
}

/// Returns the availability of each upstream of a pool.
///
/// Refused connections alone never empty a pool: an upstream that refuses connections is no worse
/// than none, and it may be back before the next poll.
pub fn derive_availability(
    pool: &Pool,
    observations: &BTreeMap<UpstreamName, Observation>,
) -> BTreeMap<UpstreamName, DerivedAvailability> {
    let unseen = Observation::default();
    let seen = |name: &UpstreamName| observations.get(name).unwrap_or(&unseen);
    let others = pool.upstreams.iter().any(|(name, spec)| {
        let observation = seen(name);
        observation.leaving(spec.leaving).is_none() && !observation.is_refusing()
    });
    let availability_of = |observation: &Observation, spec: bool| match observation.leaving(spec) {
        Some(why) => {
            let why = why.to_owned();
            DerivedAvailability {
                availability: UpstreamAvailability::Leaving,
                why,
                announced: true,
            }
        }
        None if !observation.is_refusing() => DerivedAvailability::default(),
        None if others => DerivedAvailability {
            availability: UpstreamAvailability::Leaving,
            why: format!("it refused {} connections in a row", observation.refused),
            announced: false,
        },
        None => DerivedAvailability {
            availability: UpstreamAvailability::Live,
            why: "it refuses connections, but its pool has no other".to_owned(),
            announced: false,
        },
    };
    let all = pool.upstreams.iter();
    all.map(|(name, spec)| (name.clone(), availability_of(seen(name), spec.leaving))).collect()
}
