//! Answers to callers, and the records stored for resends.

use std::time::Duration;

use bytes::Bytes;
use sha2::{Digest, Sha256};
use types::{Outcome, RequestId, StoredAnswer};

use crate::outcome::{Ending, Problem, Progress, RequestError, Unclaimed};

/// The advice added to a refusal under a key: the outcome of earlier attempts is unknown.
pub(crate) const EARLIER_ATTEMPT: &str = "this attempt did nothing; an earlier one under this key \
                                          may have run, send it again with the same key";

/// An answer to one caller.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) outcome: Outcome,
    pub(crate) status: u16,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) body: Bytes,
}

impl Reply {
    /// Creates the answer to an ending.
    pub(crate) fn new(ending: &Ending, request: RequestId, took: Duration) -> Self {
        let retry_after = match ending {
            Ending::Complete(_) => None,
            Ending::Problem(problem) => problem.error().retry_after,
        };
        Self {
            outcome: ending.outcome(),
            status: ending.status(),
            reason: ending.reason(),
            retry_after,
            body: ending.body(request, took).into(),
        }
    }

    /// Refuses a request that was not started. A request with a key is reported as not run only if
    /// no attempt under that key can have run.
    pub(crate) fn refuse(error: RequestError, has_key: bool, request: RequestId) -> Self {
        let unclaimed = Unclaimed::of_refusal(has_key, error.reason);
        let error = if unclaimed.is_some() { error } else { error.with_detail(EARLIER_ATTEMPT) };
        let problem = Problem::from_progress(&Progress::at_arrival(), unclaimed, error);
        Self::new(&Ending::Problem(problem), request, Duration::ZERO)
    }

    /// Returns the record that is stored for resends. If the body exceeds `limit` bytes, only its
    /// digest is stored.
    pub(crate) fn stored(&self, limit: u64) -> StoredAnswer {
        let kept = (self.body.len() as u64 <= limit).then(|| self.body.to_vec());
        let digest = Sha256::digest(&self.body).into();
        StoredAnswer { outcome: self.outcome, status: self.status, body: kept, digest }
    }

    /// Creates the answer to a resend from the stored record.
    pub(crate) fn restored(answer: StoredAnswer, request: RequestId) -> Self {
        let StoredAnswer { outcome, status, body, digest } = answer;
        let body = body.unwrap_or_else(|| digest_body(outcome, &digest, request));
        Self { outcome, status, reason: "stored", retry_after: None, body: body.into() }
    }
}

/// Returns the body that replaces an answer too large to be stored.
fn digest_body(outcome: Outcome, digest: &[u8; 32], request: RequestId) -> Vec<u8> {
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let detail = "the answer was larger than the limit for stored answers";
    format!(
        "{{\"request\":\"{request}\",\"outcome\":\"{outcome}\",\
         \"answer_sha256\":\"{digest}\",\"detail\":\"{detail}\"}}"
    )
    .into_bytes()
}
