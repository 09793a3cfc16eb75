//! Whether an upstream gets new work, from everything that was seen of it.

use std::collections::BTreeMap;

use types::{Pool, UpstreamName, UpstreamStanding};

/// After how many refused connections in a row an upstream counts as gone.
const REFUSALS: u32 = 3;

/// What was seen of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sighting {
    /// What the platform says of its VM; `None` where it never named it.
    pub platform: Option<bool>,
    /// It said itself that it drains, and has not said otherwise since.
    pub draining: bool,
    /// It has answered a poll in this term with its own report.
    pub answered: bool,
    /// Connections it refused, in a row.
    pub refused: u32,
    /// An operator marked it as leaving.
    pub marked: bool,
    /// The leader before said that it is leaving.
    pub handed: bool,
}

/// What a poll of an upstream showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It answered, and takes work.
    Serving,
    /// It answered that it drains.
    Draining,
    /// It refused the connection.
    Refused,
    /// It did not answer in time, or not with what was asked.
    Nothing,
}

impl Answer {
    /// Returns whether the upstream answered at all.
    pub fn came(self) -> bool {
        matches!(self, Answer::Serving | Answer::Draining)
    }
}

/// An upstream's standing with its reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether it gets new work.
    pub standing: UpstreamStanding,
    /// Why; empty where all is well.
    pub why: String,
    /// Somebody reported that it is leaving, and not merely because it refuses connections.
    pub told: bool,
}

impl Sighting {
    /// Takes what a poll showed.
    ///
    /// Draining is sticky: only the upstream's own later report takes it back, which it gives when
    /// it was restarted. Silence and refused connections do not: a draining upstream ends with
    /// exactly those.
    pub fn polled(&mut self, answer: Answer) {
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
            Answer::Nothing => {}
        }
    }

    /// Takes an operator's mark. Taking one back is a newer sighting than all before it.
    pub fn mark(&mut self, leaving: bool) {
        if self.marked && !leaving {
            self.draining = false;
            self.handed = false;
        }
        self.marked = leaving;
    }

    /// Returns whether this leader has itself seen enough not to need the word of the one before.
    fn outgrew_handed(&self, reports: bool) -> bool {
        let platform = self.platform != Some(true);
        platform && if reports { self.answered } else { self.platform.is_some() }
    }

    /// Drops the word of the leader before once this one's own sightings replace it.
    pub fn settle(&mut self, reports: bool) {
        if self.handed && self.outgrew_handed(reports) {
            self.handed = false;
        }
    }

    /// Returns why it is leaving by anybody's word.
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
        self.handed.then_some("the leader before said it is leaving")
    }

    fn is_refusing(&self) -> bool {
        self.refused >= REFUSALS
    }
}

/// Returns the standing of each upstream of a pool.
///
/// Refused connections alone never empty a pool: an upstream that refuses is no worse than none,
/// and it may be back before anybody polls it again.
pub fn standings(
    pool: &Pool,
    sightings: &BTreeMap<UpstreamName, Sighting>,
) -> BTreeMap<UpstreamName, Standing> {
    let unseen = Sighting::default();
    let seen = |name: &UpstreamName| sightings.get(name).unwrap_or(&unseen);
    let others = pool.upstreams.iter().any(|(name, spec)| {
        let sighting = seen(name);
        sighting.leaving(spec.leaving).is_none() && !sighting.is_refusing()
    });
    let judge = |sighting: &Sighting, spec: bool| match sighting.leaving(spec) {
        Some(why) => {
            let why = why.to_owned();
            Standing { standing: UpstreamStanding::Leaving, why, told: true }
        }
        None if !sighting.is_refusing() => Standing::default(),
        None if others => Standing {
            standing: UpstreamStanding::Leaving,
            why: format!("it refused {} connections in a row", sighting.refused),
            told: false,
        },
        None => Standing {
            standing: UpstreamStanding::Live,
            why: "it refuses connections, but its pool has no other".to_owned(),
            told: false,
        },
    };
    let all = pool.upstreams.iter();
    all.map(|(name, spec)| (name.clone(), judge(seen(name), spec.leaving))).collect()
}
