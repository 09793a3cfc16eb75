//! The operators' HTTP API.

use std::sync::Arc;

use http::{Method, StatusCode};
use settings::Operator;
use sha2::{Digest as _, Sha256};
use types::OperatorName;

use crate::calls;
use crate::member::Member;
use crate::responses::HttpResponse;

/// The maximum size of a body, in bytes; a whole service document fits.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;

/// One API call, read in full.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    /// The value of the `Authorization` header.
    pub(crate) authorization: Option<String>,
    pub(crate) body: Vec<u8>,
}

/// Authenticates and dispatches API calls.
pub(crate) struct Operators {
    pub(crate) member: Arc<Member>,
}

impl Operators {
    /// Handles one call.
    pub(crate) async fn answer(&self, call: Call) -> HttpResponse {
        let method = call.method.as_str();
        match (method, call.path.as_str()) {
            ("GET", "/livez") => return HttpResponse::text("ok"),
            ("GET", "/readyz") => return self.ready(),
            ("GET", "/metrics") => return HttpResponse::text(&self.member.metrics.render()),
            _ => {}
        }
        let token = call.authorization.as_deref().and_then(|it| it.strip_prefix("Bearer "));
        let operators = self.operators();
        let Some(operator) = token.and_then(|it| authenticate(operators, it)) else {
            return HttpResponse::error(
                StatusCode::UNAUTHORIZED,
                "name a token that the settings know",
            );
        };
        let member = &self.member;
        match (method, call.path.as_str()) {
            ("POST", "/v1/init") => calls::init(member).await,
            ("POST", "/v1/changes") => calls::change(member, operator, &call.body).await,
            ("GET", "/v1/service") => calls::service(member).await,
            ("GET", "/v1/status") => calls::status(member),
            ("GET", "/v1/audit") => calls::audit(member, &call.query).await,
            ("POST", "/v1/marks") => calls::mark(member, operator, &call.body).await,
            ("POST", "/v1/members") => calls::members(member, operator, &call.body).await,
            ("POST", "/v1/transfer") => calls::transfer(member, &call.body).await,
            ("GET", "/v1/report") => calls::report(member, &call.query).await,
            _ => HttpResponse::error(
                StatusCode::NOT_FOUND,
                "no such call; docs/PROTOCOLS.md lists them",
            ),
        }
    }

    fn operators(&self) -> &[Operator] {
        self.member.settings.control.as_ref().map_or(&[], |it| &it.operators)
    }

    /// Responds with success if the member belongs to a cluster, knows its leader and does not
    /// drain.
    fn ready(&self) -> HttpResponse {
        let view = self.member.core.view();
        let stopped = self.member.stopped.borrow().clone();
        let why = if let Some(why) = &stopped {
            why
        } else if self.member.is_draining.load(std::sync::atomic::Ordering::SeqCst) {
            "draining"
        } else if self.member.identity.load().is_none() {
            "belongs to no cluster yet; run init once, or wait to join"
        } else if view.leader.is_none() {
            "knows no leader"
        } else {
            return HttpResponse::text("ready");
        };
        HttpResponse::error(StatusCode::SERVICE_UNAVAILABLE, why)
    }
}

/// Returns the operator to whom a token belongs. The hash of every operator is compared in full,
/// regardless of the other results, so that the response time does not reveal how much of a hash
/// was right.
fn authenticate(operators: &[Operator], token: &str) -> Option<OperatorName> {
    let hash = Sha256::digest(token.as_bytes());
    let text: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    let mut found = None;
    for operator in operators {
        if equals_constant_time(text.as_bytes(), operator.token.as_bytes()) {
            found = Some(operator.name.clone());
        }
    }
    found
}

fn equals_constant_time(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let differing = left.iter().zip(right).fold(0, |sum, (l, r)| sum | (l ^ r));
    std::hint::black_box(differing) == 0
}
