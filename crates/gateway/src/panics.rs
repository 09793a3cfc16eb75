//! Answers requests whose handling panicked.

use std::panic::AssertUnwindSafe;

use futures_util::FutureExt;
use prometheus::IntCounter;

use crate::reply::{Refusal, Reply, announce_close};

#[cfg(test)]
mod tests;

/// Runs a handler, and answers in its place if it panics. The panic's own message is written by the
/// process's hook.
///
/// What a handler leaves behind may be used on: locks recover from a panic, and counts are kept by guards.
pub(crate) async fn answer_anyway(
    handler: impl Future<Output = Reply>,
    panics: &IntCounter,
) -> Reply {
    match AssertUnwindSafe(handler).catch_unwind().await {
        Ok(reply) => reply,
        Err(cause) => {
            panics.inc();
            let text = cause.downcast_ref::<&str>().copied();
            let text = text.or_else(|| cause.downcast_ref::<String>().map(String::as_str));
            log::error!(cause = text; "a request's handler panicked");
            let mut reply = Refusal::Panicked.reply();
            // Its body may not have been read.
            announce_close(&mut reply);
            reply
        }
    }
}
