//! The schema of the service's base file and of a node's settings file.
//!
//! The structs in `types` and `node` are decoded only from files that match the schema. A property
//! test checks that a file that matches can always be decoded.

use crate::shape::{Field, Shape, bytes, count, millis, number};

/// The maximum deadline of a pipeline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 120_000;
/// A day in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// The maximum size in bytes: 1 TiB.
const MAX_SIZE_BYTES: u64 = 1 << 40;
/// The maximum of rates per second and of costs.
const MAX_RATE_OR_COST: f64 = 1e12;

/// The keys of the base file.
pub(crate) static SERVICE: &[Field] = &[
    Field::required("sites", Shape::Map("site", &Shape::Record(SITE))),
    Field::optional("models", Shape::Map("model", &Shape::Record(MODEL))),
    Field::required("pools", Shape::Map("pool", &Shape::Record(POOL))).overridable(),
    Field::required("pipelines", Shape::Map("pipeline", &Shape::Record(PIPELINE))).overridable(),
    Field::required("customers", Shape::Map("customer", &Shape::Record(CUSTOMER))).overridable(),
    Field::optional("requests", Shape::Record(REQUESTS)).overridable(),
    Field::optional("claims", Shape::Record(CLAIMS)),
    Field::optional("orders", Shape::Record(ORDERS)),
    Field::optional("policy", Shape::Record(POLICY)).overridable(),
];

const SITE: &[Field] =
    &[Field::required("region", Shape::Name), Field::required("domain", Shape::Name)];

const MODEL: &[Field] = &[
    Field::required("version", Shape::Text(1)),
    Field::optional("adapters", Shape::List(&Shape::Text(1))),
    Field::required("weights", bytes(1, MAX_SIZE_BYTES)),
];

const POOL: &[Field] = &[
    Field::required(
        "kind",
        Shape::Choice(&["encode", "retrieve", "rerank", "generate", "service"]),
    ),
    Field::required("upstreams", Shape::Map("upstream", &Shape::Record(UPSTREAM))).overridable(),
    Field::optional("cost", number("cost units a busy second", 0.0, MAX_RATE_OR_COST))
        .overridable(),
];

const UPSTREAM: &[Field] = &[
    Field::required("address", Shape::Address(false)).overridable(),
    Field::required("site", Shape::Name),
    Field::required("vm", Shape::Name),
    Field::required("capacity", count("calls at once", 1, 100_000)).overridable(),
    Field::optional("model", Shape::Name),
    Field::optional("role", Shape::Choice(&["prefill", "decode", "both"])),
    Field::optional("fencing", Shape::Choice(&["checks", "ignores"])),
    Field::optional("reports", Shape::Bool).overridable(),
    Field::optional("leaving", Shape::Bool).overridable(),
];

const PIPELINE: &[Field] = &[
    Field::required("stages", Shape::List(&Shape::Record(STAGE))),
    Field::required("deadline", millis(1, MAX_DEADLINE_MS)).overridable(),
    Field::optional("priority", count("(0 goes first, 7 last)", 0, 7)).overridable(),
];

const STAGE: &[Field] = &[
    Field::required("name", Shape::Name),
    Field::required("pool", Shape::Name),
    Field::optional("repeatable", Shape::Bool),
    Field::optional("path", Shape::UrlPath),
    Field::optional("tokens", count("tokens", 1, 1_000_000)),
    Field::optional("expected", millis(1, MAX_DEADLINE_MS)),
];

const CUSTOMER: &[Field] = &[
    Field::required("keys", Shape::List(&Shape::Hash)),
    Field::required("priority", count("(0 goes first, 7 last)", 0, 7)).overridable(),
    Field::required("pipelines", Shape::List(&Shape::Name)),
    Field::optional("limits", Shape::Record(LIMITS)),
];

const LIMITS: &[Field] = &[
    Field::optional("rate", number("requests a second", 0.001, MAX_RATE_OR_COST)),
    Field::optional("concurrency", count("requests at once", 1, 1_000_000)),
    Field::optional("tokens", number("tokens a second", 0.001, MAX_RATE_OR_COST)),
];

const REQUESTS: &[Field] = &[
    Field::optional("body", bytes(64, 64 << 20)).overridable(),
    Field::optional("read", millis(10, MAX_DEADLINE_MS)).overridable(),
];

const CLAIMS: &[Field] = &[
    Field::optional("answer", bytes(0, 1 << 20)),
    Field::optional("answers", millis(1_000, 30 * DAY_MS)),
    Field::optional("keys", count("keys", 1, 100_000_000)),
];

const ORDERS: &[Field] = &[
    Field::optional("weights", number("bytes a second", 1.0, MAX_RATE_OR_COST)),
    Field::optional("longest", millis(10, 3_600_000)),
];

const POLICY: &[Field] = &[
    Field::optional("freshness", millis(100, 600_000)).overridable(),
    Field::optional("stale", Shape::Choice(&["refuse", "serve"])).overridable(),
    Field::optional("retries", number("retries a fresh request", 0.0, 1.0)).overridable(),
    Field::optional("attainment", number("(0 weighs cost only, 1 attainment only)", 0.0, 1.0))
        .overridable(),
];

/// The minimum length of the shared secret of the cluster, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The keys of a node's settings file.
pub(crate) static NODE: &[Field] = &[
    Field::required("vm", Shape::Name),
    Field::required("site", Shape::Name),
    Field::required("domain", Shape::Name),
    Field::required("secret", Shape::Text(MIN_SECRET_BYTES)),
    Field::required("members", Shape::List(&Shape::Record(MEMBER))),
    Field::optional("entry", Shape::Record(ENTRY)),
    Field::optional("control", Shape::Record(CONTROL)),
    Field::optional("log", Shape::Choice(&["error", "warn", "info", "debug", "trace"])),
];

const MEMBER: &[Field] = &[
    Field::required("vm", Shape::Name),
    Field::required("site", Shape::Name),
    Field::required("wire", Shape::Address(false)),
    Field::required("http", Shape::Address(false)),
    Field::optional("spare", Shape::Bool),
];

const ENTRY: &[Field] = &[
    Field::required("listen", Shape::Address(true)),
    Field::optional("threads", count("threads", 1, 256)),
    Field::optional("connections", count("connections", 1, 1_000_000)),
    Field::optional("notice", millis(0, 120_000)),
];

const CONTROL: &[Field] = &[
    Field::required("data", Shape::Text(1)),
    Field::required("operators", Shape::List(&Shape::Record(OPERATOR))),
    Field::optional("platform", Shape::Address(false)),
    Field::optional("log_size", bytes(4 << 10, MAX_SIZE_BYTES)),
];

const OPERATOR: &[Field] =
    &[Field::required("name", Shape::Name), Field::required("token", Shape::Hash)];
