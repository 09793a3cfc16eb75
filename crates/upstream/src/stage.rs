//! Calls with a single complete answer: to encoders, retrievers, rerankers and plain services.

use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use types::{CallId, IdempotencyKey, Micros, Priority, RequestId, StageName};

use crate::body;
use crate::calls::{Calls, Target};
use crate::exchange::{self, Opened, Outgoing};
use crate::fault::{CallError, Fault, Sent, Unsent};
use crate::limits::Limits;
use crate::watch::Watch;

/// The path of stage pools.
const STAGE_PATH: &str = "/v1/stage";

/// A call of a stage.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StageCall<'a> {
    /// The id of this call.
    pub call: CallId,
    /// The request it belongs to.
    pub request: RequestId,
    /// The stage.
    pub stage: &'a StageName,
    /// The priority.
    pub priority: Priority,
    /// The time left until the deadline, in ms.
    pub deadline_ms: u64,
    /// The input of the request.
    pub input: &'a RawValue,
    /// The output of the previous stage.
    pub previous: Option<&'a RawValue>,
    /// The path of a plain service; `None` for stage pools.
    #[serde(skip)]
    pub path: Option<&'a str>,
    /// The caller's idempotency key, which is forwarded to plain services.
    #[serde(skip)]
    pub key: Option<&'a IdempotencyKey>,
}

/// The answer of a stage.
#[derive(Debug)]
pub struct StageReply {
    /// The output of the stage.
    pub output: Box<RawValue>,
    /// The upstream's busy time.
    pub busy: Micros,
    /// The time to the first byte.
    pub first_byte: Duration,
    /// The time to the last byte.
    pub total: Duration,
}

#[derive(Deserialize)]
struct ReplyBody {
    call: CallId,
    output: Box<RawValue>,
    #[serde(default)]
    busy_us: Micros,
}

impl Calls {
    /// Calls an upstream of a stage pool or of a plain service. While the call is silent, it goes on,
    /// and `watch` reports that.
    ///
    /// # Errors
    /// Returns what went wrong and whether the call may have run.
    pub async fn stage(
        &self,
        target: Target,
        call: StageCall<'_>,
        limits: Limits,
        watch: Watch,
    ) -> Result<StageReply, CallError> {
        let unsent = |step, fault| CallError {
            step,
            peer: target.address,
            fault,
            sent: Sent::No(Unsent::new()),
            reused: false,
        };
        let path = call.path.unwrap_or(STAGE_PATH);
        let path = path.parse::<Uri>();
        let path = path.map_err(|e| unsent("parse path", Fault::Malformed(e.to_string())))?;
        let body = serde_json::to_vec(&call);
        let body = body.map_err(|e| unsent("write body", Fault::Malformed(e.to_string())))?;
        let (body, key, fresh) = (Bytes::from(body), call.key, target.fresh);
        let out = Outgoing { call: call.call, path, body, key, limits, watch, fresh };
        let opened = exchange::open(&self.pool(target.address), &out).await?;
        read_reply(opened, &out).await
    }
}

async fn read_reply(opened: Opened, out: &Outgoing<'_>) -> Result<StageReply, CallError> {
    let Opened { lease, mut response, sent, first_byte } = opened;
    if !body::is_delimited(&response) {
        let fault = Fault::Malformed("the body has no length".to_owned());
        return Err(exchange::failed(lease, "read body", fault));
    }
    let silent = || lease.silent(sent, &out.watch);
    let body = match body::whole(response.body_mut(), &out.limits, silent).await {
        Ok(body) => body,
        Err(fault) => return Err(exchange::failed(lease, "read body", fault)),
    };
    let reply: ReplyBody = match serde_json::from_slice(&body) {
        Ok(reply) => reply,
        Err(e) => {
            let fault = Fault::Malformed(e.to_string());
            return Err(exchange::failed(lease, "parse body", fault));
        }
    };
    if reply.call != out.call {
        return Err(exchange::failed(lease, "check echo", Fault::IdMismatch));
    }
    lease.give_back();
    let ReplyBody { output, busy_us: busy, .. } = reply;
    Ok(StageReply { output, busy, first_byte, total: sent.elapsed() })
}
