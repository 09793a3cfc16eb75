//! The service description: sites, models, pools, pipelines, customers and limits, as they apply
//! at one site after its overlay was merged.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ByteSize, Cost, CustomerName, Millis, ModelName, PipelineName, PoolName, Priority, Rate,
    SiteName, StageName, Tokens, UpstreamName, Version, VmName,
};

/// The name of a failure domain: VMs that may fail together.
pub type DomainName = String;

/// The document that operators apply and the replicated state stores: the text of the base file
/// and of each site's overlay, as written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The base file: JSON with comments.
    pub base: String,
    /// The overlays by site: JSON with comments, merged into the base by RFC 7396.
    pub overlays: BTreeMap<SiteName, String>,
}

/// The service description in force at one site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The version of the document that this was resolved from; not part of the file.
    #[serde(skip)]
    pub version: Version,
    /// The sites by name.
    pub sites: BTreeMap<SiteName, Site>,
    /// The models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// The pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The pipelines by name.
    pub pipelines: BTreeMap<PipelineName, Pipeline>,
    /// The customers by name.
    pub customers: BTreeMap<CustomerName, Customer>,
    /// Limits on what callers may send.
    pub requests: RequestLimits,
    /// Limits on claims and their stored answers.
    pub claims: ClaimLimits,
    /// Limits on orders to upstreams.
    pub orders: OrderLimits,
    /// Trade-offs that operators choose.
    pub policy: Policy,
}

/// A site: VMs close to each other in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The region of the site.
    pub region: String,
    /// The failure domain of the site.
    pub domain: DomainName,
}

/// A model that engines load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version of the weights to load.
    pub version: String,
    /// The adapters to load with it.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The size of the weights in bytes.
    pub weights: ByteSize,
}

/// The kind of work that the upstreams of a pool do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Turns a request into a representation.
    #[default]
    Encode,
    /// Retrieves records.
    Retrieve,
    /// Ranks retrieved records.
    Rerank,
    /// Generates tokens: a model engine.
    Generate,
    /// Calls a plain service that runs no model.
    Service,
}

/// A pool of upstreams that do the same work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The kind of work that its upstreams do.
    pub kind: PoolKind,
    /// The upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// The cost of one busy second of one upstream.
    #[serde(default)]
    pub cost: Cost,
}

/// Whether an upstream refuses an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It compares the number and refuses the order if the number is old.
    Checks,
    /// It ignores the number.
    #[default]
    Ignores,
}

/// An upstream: one back-end process that serves stage calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its IP address and port.
    pub address: SocketAddr,
    /// Its site.
    pub site: SiteName,
    /// The VM it runs on, by its name in the platform's list of VMs.
    pub vm: VmName,
    /// The maximum number of calls it processes at once.
    pub capacity: u32,
    /// The model it should load; engines only.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// The role it should take (`prefill`, `decode` or `both`); engines only.
    #[serde(default)]
    pub role: Option<String>,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether it reports its load.
    #[serde(default)]
    pub reports: bool,
    /// Whether an operator marked it to be drained.
    #[serde(default)]
    pub leaving: bool,
}

/// A pipeline: an ordered chain of stages.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The stages in the order in which they run.
    pub stages: Vec<Stage>,
    /// The default deadline of a request, and the longest one that a request may set.
    pub deadline: Millis,
    /// The priority of its requests; it overrides the customer's.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// A stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Its name, unique within the pipeline.
    pub name: StageName,
    /// The pool whose upstreams run it.
    pub pool: PoolName,
    /// Whether a call may be sent again; at most one stage per pipeline is not repeatable.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// The URL path of the call; plain services only.
    #[serde(default)]
    pub path: Option<String>,
    /// The maximum number of tokens to generate; engines only.
    #[serde(default)]
    pub tokens: Option<Tokens>,
    /// The expected service time, used until times have been measured.
    #[serde(default = "stage_time")]
    pub expected: Millis,
}

fn yes() -> bool {
    true
}

fn stage_time() -> Millis {
    Millis(50)
}

/// A customer: callers that share bearer keys, a priority and limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The SHA-256 of each of its bearer keys, in lowercase hexadecimal.
    pub keys: Vec<String>,
    /// The priority of its requests.
    pub priority: Priority,
    /// The pipelines it may use.
    pub pipelines: Vec<PipelineName>,
    /// Its limits over all entries together.
    #[serde(default)]
    pub limits: CustomerLimits,
}

/// A customer's limits over all entries together; `None` means no limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CustomerLimits {
    /// The maximum number of requests per second.
    pub rate: Option<Rate>,
    /// The maximum number of requests in flight.
    pub concurrency: Option<u32>,
    /// The maximum number of generated tokens per second.
    pub tokens: Option<Rate>,
}

/// Limits on what callers may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// The maximum body size in bytes.
    pub body: ByteSize,
    /// How long a caller may take to send its complete request.
    pub read: Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { body: ByteSize(1 << 20), read: Millis(5_000) }
    }
}

/// Limits on claims and their stored answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimLimits {
    /// The maximum size of an answer that is stored in full; of a larger one only the outcome and
    /// a digest are stored.
    pub answer: ByteSize,
    /// How long stored answers are kept.
    pub answers: Millis,
    /// The maximum number of keys that are stored.
    pub keys: u64,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self { answer: ByteSize(16 << 10), answers: Millis(24 * 3_600_000), keys: 4_000_000 }
    }
}

/// Limits on orders to upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderLimits {
    /// The throughput of the weight store, in bytes per second.
    pub weights: Rate,
    /// The longest time that an order can be in transit.
    pub longest: Millis,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self { weights: Rate(1e9), longest: Millis(10_000) }
    }
}

/// What an entry does when it cannot tell whether its version is still in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stale {
    /// It refuses requests with the outcome [`Outcome::NotRun`](crate::Outcome::NotRun).
    #[default]
    Refuse,
    /// It serves repeatable requests with the version that it has.
    Serve,
}

/// Trade-offs that operators choose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How long an entry trusts its version after it last confirmed it with a quorum.
    pub freshness: Millis,
    /// What an entry does after that time.
    pub stale: Stale,
    /// The retry budget: retries and hedges allowed per new request.
    pub retries: f64,
    /// The weight of attainment against cost, from 0 (only cost counts) to 1 (only attainment
    /// counts).
    pub attainment: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { freshness: Millis(4_000), stale: Stale::Refuse, retries: 0.1, attainment: 0.8 }
    }
}

impl Service {
    /// Returns the upstream and the name of its pool.
    pub fn upstream(&self, name: &UpstreamName) -> Option<(&PoolName, &Upstream)> {
        self.pools.iter().find_map(|(pool, it)| Some((pool, it.upstreams.get(name)?)))
    }
}
