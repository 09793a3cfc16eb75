//! The service's document that tests apply.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use super::nodes::{SITES, hash};

/// The key of the customer `yards`.
pub const CUSTOMER_KEY: &str = "key-of-the-yards";

/// The number of stand-ins in each pool.
pub const REPLICAS: usize = 2;

/// The pools: name, kind, and arguments of the stand-ins.
pub const STANDINS: [(&str, &str, &[&str]); 5] = [
    ("encoders", "encode", &["stage", "--time-us", "1000", "--capacity", "16"]),
    ("retrievers", "retrieve", &["stage", "--time-us", "1000", "--capacity", "16"]),
    ("rerankers", "rerank", &["stage", "--time-us", "1000", "--capacity", "16"]),
    (
        "engines",
        "generate",
        &["engine", "--first-us", "2000", "--token-us", "500", "--capacity", "16"],
    ),
    ("stock", "service", &["service", "--time-us", "1000", "--capacity", "16"]),
];

/// A base file with overlays by site, as JSON values that tests may change.
///
/// The default has the sites [`SITES`], the pipelines `appraise` (encode, retrieve, rerank,
/// generate; all repeatable), `encode` (one stage) and `note` (encode, rerank, and a stock note
/// that is not repeatable), and the customer `yards`, who may use all pipelines.
#[derive(Clone, Debug)]
pub struct Document {
    /// The base file.
    pub base: Value,
    /// The overlays.
    pub overlays: BTreeMap<String, Value>,
}

impl Default for Document {
    fn default() -> Self {
        let site = |name: &&str| (name.to_string(), json!({"region": "south", "domain": name}));
        let stage = |name: &str, pool: &str| json!({"name": name, "pool": pool, "expected": 5});
        let note =
            json!({"name": "note", "pool": "stock", "path": "/v1/note", "repeatable": false});
        let base = json!({
            "sites": SITES.iter().map(site).collect::<serde_json::Map<_, _>>(),
            "models": {"appraiser": {"version": "1", "weights": 1_000_000}},
            "pools": {},
            "pipelines": {
                "appraise": {"deadline": 5_000, "stages": [
                    stage("encode", "encoders"),
                    stage("retrieve", "retrievers"),
                    stage("rerank", "rerankers"),
                    {"name": "generate", "pool": "engines", "tokens": 8, "expected": 20},
                ]},
                "encode": {"deadline": 5_000, "stages": [stage("encode", "encoders")]},
                "note": {"deadline": 5_000, "stages": [
                    stage("encode", "encoders"),
                    stage("rerank", "rerankers"),
                    note,
                ]},
            },
            "customers": {"yards": {
                "keys": [hash(CUSTOMER_KEY)],
                "priority": 1,
                "pipelines": ["appraise", "encode", "note"],
            }},
        });
        Self { base, overlays: BTreeMap::new() }
    }
}

impl Document {
    /// Adds an upstream, and its pool if it does not exist yet.
    pub fn upstream(&mut self, pool: &str, kind: &str, name: &str, address: SocketAddr) {
        let mut upstream = json!({
            "address": address, "site": SITES[0], "vm": format!("vm-{name}"), "capacity": 16,
        });
        if kind == "generate" {
            upstream["model"] = "appraiser".into();
            upstream["role"] = "both".into();
            upstream["fencing"] = "checks".into();
        }
        let pool = &mut self.base["pools"][pool];
        if pool.is_null() {
            *pool = json!({"kind": kind, "cost": 1.0, "upstreams": {}});
        }
        pool["upstreams"][name] = upstream;
    }

    /// Writes the files. Returns the path of the base file, and the folder of the overlays if there
    /// are any.
    pub fn write(&self, folder: &Path) -> (PathBuf, Option<PathBuf>) {
        let sites = folder.join("sites");
        let _ = fs::remove_dir_all(&sites);
        fs::create_dir_all(&sites).unwrap();
        let base = folder.join("base.jsonc");
        fs::write(&base, serde_json::to_string_pretty(&self.base).unwrap()).unwrap();
        for (site, overlay) in &self.overlays {
            let text = serde_json::to_string_pretty(overlay).unwrap();
            fs::write(sites.join(format!("{site}.jsonc")), text).unwrap();
        }
        (base, (!self.overlays.is_empty()).then_some(sites))
    }
}
