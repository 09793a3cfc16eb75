//! Shared parts of the tests of the guarantees for requests: callers that keep their answers, a
//! plain service that records each run, and checks of the histories.

// Each test file includes the whole module and uses a part of it.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod balancer;
mod caller;
mod history;
mod stock;

pub use balancer::Balancer;
pub use caller::{Answer, Caller, Outcome, PipelineRequest};
pub use history::{Attempt, History, check_key};
pub use stock::{Behavior, Run, Stock};

/// The environment variable that selects the full sizes, with any value.
const FULL_SIZES_VARIABLE: &str = "MOTHPLANK_FULL";

/// Returns `full` if the full sizes are selected, otherwise `small`.
pub fn size(small: usize, full: usize) -> usize {
    if std::env::var_os(FULL_SIZES_VARIABLE).is_some() { full } else { small }
}

/// Runs the steps one after the other, spread evenly over the progress of the work.
pub fn run_at_milestones<F: FnOnce()>(total: usize, done: impl Fn() -> usize, steps: Vec<F>) {
    let count = steps.len() + 1;
    for (index, step) in steps.into_iter().enumerate() {
        let mark = total * (index + 1) / count;
        crate::env::wait_until(&format!("{mark} of {total} requests"), || done() >= mark);
        step();
    }
}
