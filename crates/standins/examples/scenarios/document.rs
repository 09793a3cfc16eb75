//! The service document of a size, and the same pipelines for the baseline policy.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use standins::load::{Baseline, BaselineStage};
use types::{Millis, PoolKind};

use crate::common::key_hash;
use crate::sizes::{Pool, Size};
use crate::upstreams::Upstreams;

/// The names of the sites.
pub(crate) const SITES: [&str; 3] = ["north", "middle", "south"];

/// The name of the model that engines serve.
const MODEL: &str = "model";

/// Returns a customer's bearer key.
pub(crate) fn key(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// Builds the base file of the document.
pub(crate) fn build(size: &Size, upstreams: &Upstreams) -> String {
    let sites = SITES.map(|it| (it.to_owned(), json!({"region": "one", "domain": it})));
    let model = json!({"version": "1", "adapters": [], "weights": 1_000});
    let pools = size.pools.iter().map(|it| (it.name.to_owned(), pool(it, upstreams)));
    let pipelines = size.pipelines.iter().map(|it| {
        let stages: Vec<Value> =
            it.stages.iter().map(|name| stage(size, name, it.tokens)).collect();
        let body = json!({"stages": stages, "deadline": it.deadline_ms, "priority": it.priority});
        (it.name.to_owned(), body)
    });
    let customers = size.pipelines.iter().map(|it| {
        let keys = [key_hash(&key(it.customer))];
        let body = json!({"keys": keys, "priority": it.priority, "pipelines": [it.name]});
        (it.customer.to_owned(), body)
    });
    let document = json!({
        "sites": BTreeMap::from(sites),
        "models": {MODEL: model},
        "pools": pools.collect::<BTreeMap<_, _>>(),
        "pipelines": pipelines.collect::<BTreeMap<_, _>>(),
        "customers": customers.collect::<BTreeMap<_, _>>(),
        "policy": {"stale": "serve"},
    });
    document.to_string()
}

fn pool(pool: &Pool, upstreams: &Upstreams) -> Value {
    let members = upstreams.pool(pool.name).map(|it| {
        let name = format!("{}-{}", pool.name, it.number);
        let mut body = json!({
            "address": it.address(), "site": SITES[it.site()], "vm": format!("host-{name}"),
            "capacity": pool.replica_slots(), "reports": true,
        });
        if pool.kind == PoolKind::Generate {
            body["model"] = MODEL.into();
            body["fencing"] = "checks".into();
        }
        (name, body)
    });
    json!({"kind": pool.kind, "cost": 1.0, "upstreams": members.collect::<BTreeMap<_, _>>()})
}

fn stage(size: &Size, name: &str, tokens: u64) -> Value {
    let pool = size.pool(name);
    let expected = (pool.work(tokens) * 1e3) as u64;
    let mut body = json!({"name": name, "pool": name, "expected": expected});
    if pool.kind == PoolKind::Generate {
        body["tokens"] = tokens.into();
    }
    body
}

/// Builds the settings of the baseline policy.
pub(crate) fn baseline(size: &Size, upstreams: &Upstreams) -> Baseline {
    let stage = |name: &&str| BaselineStage {
        name: (*name).to_owned(),
        kind: size.pool(name).kind,
        upstreams: upstreams.pool(name).map(|it| it.address()).collect(),
        path: None,
    };
    let pipelines = size.pipelines.iter().map(|it| {
        let stages = it.stages.iter().map(stage).collect();
        (it.name.parse().expect("a valid name"), stages)
    });
    Baseline { pipelines: pipelines.collect(), attempts: 3, timeout: Millis(0) }
}
