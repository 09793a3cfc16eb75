//! The settings files of the VMs.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use standins::Ports;
use standins::proxy::Proxy;

use super::Plan;

/// The token of the operator `ines`.
pub const OPERATOR_TOKEN: &str = "token-of-ines";

/// All operators with their tokens, beginning with `ines`.
pub const OPERATORS: [(&str, &str); 5] = [
    ("ines", OPERATOR_TOKEN),
    ("karel", "token-of-karel"),
    ("mira", "token-of-mira"),
    ("oto", "token-of-oto"),
    ("zora", "token-of-zora"),
];

/// The shared secret of the cluster.
pub const SECRET: &str = "the secret of the tests";

/// The sites; VM `n` is in the site with index `(n - 1) % 3`.
pub const SITES: [&str; 3] = ["north", "south", "east"];

/// One VM.
#[derive(Clone, Debug)]
pub struct Node {
    /// The address for members and entries.
    pub wire: SocketAddr,
    /// The address for operators.
    pub http: SocketAddr,
    /// The address of its entry for callers.
    pub entry: SocketAddr,
    /// The data folder of its control member.
    pub data: PathBuf,
}

/// All VMs, numbered from 1.
#[derive(Clone, Debug)]
pub struct Nodes {
    plan: Plan,
    nodes: Vec<Node>,
    folder: PathBuf,
}

impl Nodes {
    /// Assigns addresses to all VMs of a plan.
    pub fn plan(plan: &Plan, ports: &Ports, folder: &Path) -> Self {
        let count = (plan.controls + plan.spares).max(plan.entries);
        let node = |n: usize| Node {
            wire: ports.reserve(),
            http: ports.reserve(),
            entry: ports.reserve(),
            data: folder.join(format!("data-{n}")),
        };
        let nodes = (1..=count).map(node).collect();
        Self { plan: plan.clone(), nodes, folder: folder.to_owned() }
    }

    /// Returns VM `n`.
    pub fn node(&self, n: usize) -> &Node {
        &self.nodes[n - 1]
    }

    /// Returns the settings file of VM `n`.
    pub fn file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("vm-{n}.jsonc"))
    }

    /// Returns all pairs of a VM and a member, including the member on the same VM, with the
    /// address of the member.
    pub fn pairs(&self) -> Vec<(usize, usize, SocketAddr)> {
        let members = self.plan.controls + self.plan.spares;
        let froms = 1..=self.nodes.len();
        froms
            .flat_map(|from| (1..=members).map(move |to| (from, to)))
            .map(|(from, to)| (from, to, self.node(to).wire))
            .collect()
    }

    /// Writes all settings files. A VM reaches the other members through its links, if it has any,
    /// and its own member listens on the address of the VM.
    pub fn write(&self, links: &BTreeMap<(usize, usize), Proxy>) {
        for n in 1..=self.nodes.len() {
            let text = serde_json::to_string_pretty(&self.settings(n, links)).unwrap();
            fs::write(self.file(n), format!("// VM {n} of a test.\n{text}\n")).unwrap();
        }
    }

    fn settings(&self, n: usize, links: &BTreeMap<(usize, usize), Proxy>) -> Value {
        let node = self.node(n);
        let members = self.plan.controls + self.plan.spares;
        let member = |to: usize| {
            let link = links.get(&(n, to)).filter(|_| to != n);
            let wire = link.map_or(self.node(to).wire, Proxy::address);
            json!({
                "vm": format!("vm-{to}"), "site": site(to), "wire": wire,
                "http": self.node(to).http, "spare": to > self.plan.controls,
            })
        };
        let mut settings = json!({
            "vm": format!("vm-{n}"), "site": site(n), "domain": format!("domain-{n}"),
            "secret": SECRET,
            "members": (1..=members).map(member).collect::<Vec<_>>(),
            "entry": {"listen": node.entry, "threads": 2, "notice": self.plan.notice},
            "log": self.plan.log,
        });
        if n <= members {
            let operator = |it: &(&str, &str)| json!({"name": it.0, "token": hash(it.1)});
            let operators: Vec<Value> = OPERATORS.iter().map(operator).collect();
            settings["control"] = json!({"data": node.data, "operators": operators});
            if let Some(size) = self.plan.log_size {
                settings["control"]["log_size"] = size.into();
            }
        }
        settings
    }
}

/// Returns the site of VM `n`.
pub fn site(n: usize) -> &'static str {
    SITES[(n - 1) % SITES.len()]
}

/// Returns the SHA-256 of a secret in the form that the settings require.
pub fn hash(secret: &str) -> String {
    Sha256::digest(secret).iter().map(|it| format!("{it:02x}")).collect()
}
