//! Checks and parses callers' requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, header};
use routing::RequestInfo;
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use types::{
    CustomerName, Fingerprint, IdempotencyKey, Pipeline, PipelineName, PoolKind, Priority,
    RequestId, Stage, Tokens,
};

use crate::auth::ServiceView;
use crate::outcome::{Reason, RequestError};

const DEADLINE_HEADER: &str = "mothplank-deadline-ms";
pub(crate) const KEY_HEADER: &str = "idempotency-key";
const EVENT_STREAM: &str = "text/event-stream";

/// The maximum number of tokens that a stage generates if neither the caller nor the stage sets
/// one.
const DEFAULT_MAX_TOKENS: Tokens = Tokens(256);

/// A request that passed all checks.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) arrived: Instant,
    pub(crate) view: Arc<ServiceView>,
    pub(crate) info: RequestInfo,
    pub(crate) pipeline: Arc<Pipeline>,
    pub(crate) input: Box<RawValue>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) stream: bool,
    /// When its claim was first asked for, if it has one.
    pub(crate) claimed: Option<Instant>,
    max_tokens: Option<Tokens>,
}

/// The checked head of a request from an authenticated customer.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) id: RequestId,
    pub(crate) arrived: Instant,
    pub(crate) view: Arc<ServiceView>,
    pub(crate) customer: CustomerName,
    pub(crate) name: PipelineName,
    pipeline: Arc<Pipeline>,
    priority: Priority,
    deadline: Instant,
    key: Option<IdempotencyKey>,
    stream: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    input: Box<RawValue>,
    #[serde(default)]
    max_tokens: Option<Tokens>,
}

fn bad(detail: impl Into<String>) -> RequestError {
    RequestError::new(Reason::BadRequest, detail)
}

impl Head {
    /// Checks the head of a request against the service.
    pub(crate) fn check(
        arrived: Instant,
        view: Arc<ServiceView>,
        customer: &CustomerName,
        name: &str,
        headers: &HeaderMap,
    ) -> Result<Self, RequestError> {
        let service = view.service();
        let no_pipeline = || RequestError::new(Reason::NoPipeline, format!("no pipeline {name:?}"));
        let name: PipelineName = name.parse().map_err(|_| no_pipeline())?;
        let pipeline = Arc::clone(view.pipeline(&name).ok_or_else(no_pipeline)?);
        let spec = service.customers.get(customer);
        let spec =
            spec.ok_or_else(|| RequestError::new(Reason::Unauthorized, "unknown customer"))?;
        if !spec.pipelines.contains(&name) {
            let detail = format!("customer {customer} may not use pipeline {name}");
            return Err(RequestError::new(Reason::Forbidden, detail));
        }
        let budget = budget(headers, &pipeline)?;
        let key = key(headers, &pipeline)?;
        let accept = headers.get(header::ACCEPT).and_then(|it| it.to_str().ok());
        let stream = accept.is_some_and(|it| it.contains(EVENT_STREAM));
        let priority = pipeline.priority.unwrap_or(spec.priority);
        let (id, deadline, customer) = (RequestId::random(), arrived + budget, customer.clone());
        Ok(Self { id, arrived, view, customer, name, pipeline, priority, deadline, key, stream })
    }

    /// Returns whether the request may run at most once.
    pub(crate) fn is_at_most_once(&self) -> bool {
        is_at_most_once(&self.pipeline)
    }

    /// Parses the body and returns the complete request.
    pub(crate) fn body(self, body: &Bytes) -> Result<Request, RequestError> {
        let parsed: Body = serde_json::from_slice(body).map_err(|e| {
            bad(format!("the body is not {{\"input\": .., \"max_tokens\": ..}}: {e}"))
        })?;
        let fingerprint = fingerprint(&self.name, body);
        let mut request = Request {
            id: self.id,
            arrived: self.arrived,
            view: self.view,
            info: RequestInfo {
                customer: self.customer,
                pipeline: self.name,
                priority: self.priority,
                deadline: self.deadline,
                tokens: Tokens(0),
            },
            pipeline: self.pipeline,
            input: parsed.input,
            key: self.key,
            fingerprint,
            stream: self.stream,
            claimed: None,
            max_tokens: parsed.max_tokens,
        };
        let stages = &request.pipeline.stages;
        let tokens = stages.iter().filter(|it| request.is_engine(it));
        let tokens = tokens.map(|it| request.tokens(it).0).sum();
        request.info.tokens = Tokens(tokens);
        Ok(request)
    }
}

impl Request {
    /// Returns the deadline of the request.
    pub(crate) fn deadline(&self) -> Instant {
        self.info.deadline
    }

    /// Returns the time left until a deadline.
    pub(crate) fn left(deadline: Instant) -> Duration {
        deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether a model engine runs the stage.
    pub(crate) fn is_engine(&self, stage: &Stage) -> bool {
        let pool = self.view.service().pools.get(&stage.pool);
        pool.is_some_and(|it| it.kind == PoolKind::Generate)
    }

    /// Returns the maximum number of tokens that a stage may generate.
    pub(crate) fn tokens(&self, stage: &Stage) -> Tokens {
        match (stage.tokens, self.max_tokens) {
            (Some(most), Some(asked)) if asked.0 < most.0 => asked,
            (Some(most), _) => most,
            (None, Some(asked)) => asked,
            (None, None) => DEFAULT_MAX_TOKENS,
        }
    }
}

fn is_at_most_once(pipeline: &Pipeline) -> bool {
    pipeline.stages.iter().any(|it| !it.repeatable)
}

fn budget(headers: &HeaderMap, pipeline: &Pipeline) -> Result<Duration, RequestError> {
    let most: Duration = pipeline.deadline.into();
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(most);
    };
    let asked = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    let asked = asked.ok_or_else(|| bad("Mothplank-Deadline-Ms is not a number"))?;
    Ok(most.min(Duration::from_millis(asked)))
}

fn key(headers: &HeaderMap, pipeline: &Pipeline) -> Result<Option<IdempotencyKey>, RequestError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        if !is_at_most_once(pipeline) {
            return Ok(None);
        }
        let detail = "the pipeline has a stage that is not repeatable: send an Idempotency-Key";
        return Err(RequestError::new(Reason::KeyMissing, detail));
    };
    let text = value.to_str().map_err(|_| bad("Idempotency-Key is not printable ASCII"))?;
    text.parse().map(Some).map_err(|e| bad(format!("Idempotency-Key: {e}")))
}

fn fingerprint(name: &PipelineName, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update(name.as_str());
    hash.update([0]);
    hash.update(body);
    hash.finalize().into()
}
