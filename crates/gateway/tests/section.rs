//! Which sections a service is split into, and which one a job goes to.

use std::sync::Arc;
use std::time::Duration;

use gateway::plan::BatchSpec;
use gateway::section::{LinkRate, Section, choose, split};
use gateway::upstream::Upstream;
use registry::Health;

const SPEC: BatchSpec = BatchSpec {
    batch: 50,
    call: Duration::from_millis(200),
    item: Duration::from_millis(4),
    space_bytes: 1_000_000,
    ttl: Duration::from_secs(4),
};

fn upstreams(counts: &[(&str, usize)]) -> Vec<Arc<Upstream>> {
    let each = counts.iter().flat_map(|(domain, count)| (0..*count).map(move |at| (domain, at)));
    let listed = each.map(|(domain, at)| registry::Upstream {
        id: format!("{domain}-{at}"),
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: (*domain).to_owned(),
        slots: 1,
        health: Health::Ready,
        version: "v1".into(),
    });
    listed.map(|it| Arc::new(Upstream::new(&it, 1))).collect()
}

struct SplitCase {
    name: &'static str,
    upstreams: &'static [(&'static str, usize)],
    entries: usize,
    megabits: f64,
    /// The domains of the sections; empty if the service is not split.
    domains: &'static [&'static str],
}

const SPLITS: &[SplitCase] = &[
    SplitCase { name: "no upstream", upstreams: &[], entries: 10, megabits: 10.0, domains: &[] },
    SplitCase {
        name: "few upstreams on a fast link",
        upstreams: &[("a", 2), ("b", 2)],
        entries: 10,
        megabits: 1_000.0,
        domains: &[],
    },
    SplitCase {
        name: "many upstreams on a slow link",
        upstreams: &[("b", 9), ("a", 8)],
        entries: 10,
        megabits: 10.0,
        domains: &["a", "b"],
    },
    SplitCase {
        name: "many upstreams on a fast link",
        upstreams: &[("a", 9), ("b", 9)],
        entries: 10,
        megabits: 1_000.0,
        domains: &[],
    },
    SplitCase {
        name: "few upstreams, many entries on slow links",
        upstreams: &[("a", 4), ("b", 4)],
        entries: 300,
        megabits: 10.0,
        domains: &["a", "b"],
    },
    SplitCase {
        name: "too few in each domain to fill calls",
        upstreams: &[("a", 3), ("b", 3), ("c", 3), ("d", 3)],
        entries: 10,
        megabits: 5.0,
        domains: &[],
    },
];

#[test]
fn services_are_split_where_one_link_is_too_little() {
    for case in SPLITS {
        let link = LinkRate::from_megabits(case.megabits);
        let upstreams = upstreams(case.upstreams);
        let sections = split(&"s".into(), &SPEC, &upstreams, case.entries, link);
        let domains: Vec<&str> = sections.iter().filter_map(|it| it.domain.as_deref()).collect();
        assert_eq!(domains, case.domains, "{}", case.name);
        assert_eq!(sections.len(), domains.len().max(1), "{}", case.name);
    }
}

struct ChoiceCase {
    name: &'static str,
    /// The waits in the domains a, b and c, in ms.
    waits: [u64; 3],
    home: Option<&'static str>,
    /// How many of 1,000 jobs go to each domain.
    chosen: [usize; 3],
}

const CHOICES: &[ChoiceCase] = &[
    ChoiceCase {
        name: "at home while nothing waits",
        waits: [0, 0, 0],
        home: Some("b"),
        chosen: [0, 1_000, 0],
    },
    ChoiceCase {
        name: "a short wait is no reason to leave",
        waits: [0, 90, 0],
        home: Some("b"),
        chosen: [0, 1_000, 0],
    },
    ChoiceCase {
        name: "a part of the jobs leaves a long wait",
        waits: [300, 800, 500],
        home: Some("b"),
        chosen: [500, 500, 0],
    },
    ChoiceCase {
        name: "a domain without a section",
        waits: [300, 200, 100],
        home: Some("d"),
        chosen: [0, 0, 1_000],
    },
    ChoiceCase { name: "no domain", waits: [300, 0, 100], home: None, chosen: [0, 1_000, 0] },
];

/// Guards against jobs that wait in one domain while upstreams of another are idle, and against a
/// queue that moves from domain to domain. The callers of one domain send more than its upstreams
/// can handle. The first happens if no job leaves its domain, the second if all jobs leave at once
/// to the domain whose wait was shortest.
#[test]
fn only_a_part_of_the_jobs_leaves_a_long_wait() {
    let names = ["a", "b", "c"];
    let section = |domain: &str| Section { service: "s".into(), domain: Some(domain.into()) };
    let sections = names.map(section);
    for case in CHOICES {
        let wait = |it: &Section| {
            let at = names.iter().position(|name| it.domain.as_deref() == Some(*name));
            Duration::from_millis(case.waits[at.expect("a known domain")])
        };
        let mut chosen = [0; 3];
        for draw in 0..1_000 {
            let draw = (f64::from(draw) + 0.5) / 1_000.0;
            let it = choose(&sections, case.home, wait, draw).expect("a section");
            chosen[sections.iter().position(|known| known == it).expect("a known one")] += 1;
        }
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}
