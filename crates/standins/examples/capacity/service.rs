//! The service document of a cluster: a stage pool, an engine pool, a pipeline for each, and many
//! customers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::common::key_hash;

/// The names of the sites.
pub(crate) const SITES: [&str; 4] = ["north", "east", "south", "west"];

/// The number of tokens of one stream.
pub(crate) const STREAM_TOKENS: u64 = 200;

/// Returns a customer's bearer key.
pub(crate) fn key(customer: usize) -> String {
    format!("key-of-customer-{customer}")
}

/// Builds the document. `change` must differ between versions; it is subtracted from a deadline.
pub(crate) fn document(
    upstreams: &[SocketAddr],
    engines: &[SocketAddr],
    customers: usize,
    change: u64,
) -> Value {
    let sites = SITES.iter().map(|it| (*it, json!({"region": "one", "domain": it})));
    let upstreams = upstreams.iter().enumerate().map(|(number, address)| {
        let site = SITES[number % SITES.len()];
        let body = json!({
            "address": address, "site": site, "vm": format!("host-{number}"),
            "capacity": 4, "reports": true,
        });
        (format!("encoder-{number}"), body)
    });
    let customers = (0..customers).map(|number| {
        let limits = json!({"rate": 1000.0, "concurrency": 200});
        let body = json!({
            "keys": [key_hash(&key(number))], "priority": number % 4,
            "pipelines": ["one", "tokens"], "limits": limits,
        });
        (format!("customer-{number}"), body)
    });
    let engines = engines.iter().enumerate().map(|(number, address)| {
        let body = json!({
            "address": address, "site": SITES[number % SITES.len()],
            "vm": format!("engine-host-{number}"), "capacity": 1_000,
        });
        (format!("engine-{number}"), body)
    });
    let base = json!({
        "sites": sites.collect::<BTreeMap<_, _>>(),
        "pools": {"encode": {
            "kind": "encode", "cost": 1.0, "upstreams": upstreams.collect::<BTreeMap<_, _>>(),
        }, "generate": {
            "kind": "generate", "cost": 1.0, "upstreams": engines.collect::<BTreeMap<_, _>>(),
        }},
        "pipelines": {"one": {
            "stages": [{"name": "encode", "pool": "encode", "expected": 5}],
            "deadline": 7000 - change,
        }, "tokens": {
            "stages": [{
                "name": "generate", "pool": "generate", "tokens": STREAM_TOKENS, "expected": 4_000,
            }],
            "deadline": 7000,
        }},
        "customers": customers.collect::<BTreeMap<_, _>>(),
    });
    let overlays: BTreeMap<_, _> = SITES.iter().map(|it| (*it, "{}")).collect();
    json!({"base": base.to_string(), "overlays": overlays})
}
