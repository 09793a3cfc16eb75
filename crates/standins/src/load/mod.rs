//! A load generator: requests arrive in an open loop, callers resend them until they get a final
//! answer, and a report shows the results.
//!
//! `mothplank load SCENARIO` reads a file with [`Scenario::read`], calls [`run`], prints the
//! [`Report`] and writes the files of [`Report::write`].

mod arrivals;
mod balancer;
mod baseline;
mod caller;
mod client;
mod plot;
mod record;
mod report;
mod scenario;
mod verify;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use types::StepResult;

pub use baseline::DirectTransport;
pub use caller::{AttemptResult, CallerAction, CallerStats};
pub use client::EntryTransport;
pub use record::{Record, RequestResult};
pub use report::{ClassReport, Report};
pub use scenario::{Baseline, BaselineStage, Burst, Class, Policy, Scenario};
pub use verify::{Verdict, verify};

/// A request as a transport sees it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The class of the request.
    pub class: Arc<Class>,
    /// The marker, unique in the run.
    pub marker: String,
    /// The time left until the deadline.
    pub budget: Duration,
}

/// Sends requests: through the entries or directly to the upstreams.
pub trait Transport: Send + Sync + 'static {
    /// Sends a request once.
    fn send(&self, request: CallerRequest) -> impl Future<Output = AttemptResult> + Send;
}

/// Runs a scenario under its policy.
///
/// # Errors
/// Returns an error if the scenario names no entries, or if its baseline lacks a pipeline or a
/// stage's upstreams.
pub async fn run(scenario: &Scenario) -> StepResult<Report> {
    match &scenario.policy {
        Policy::Mothplank => Ok(run_with(scenario, EntryTransport::open(&scenario.entries)?).await),
        Policy::Baseline(baseline) => {
            let direct = DirectTransport::open(baseline, &scenario.classes)?;
            Ok(run_with(scenario, direct).await)
        }
    }
}

/// Runs a scenario over a transport. Each request is sent at its arrival, no matter how long
/// earlier answers take.
pub async fn run_with<P: Transport>(scenario: &Scenario, transport: P) -> Report {
    let classes: Vec<Arc<Class>> = scenario.classes.iter().cloned().map(Arc::new).collect();
    let schedule = arrivals::schedule(scenario);
    let transport = Arc::new(transport);
    let start = Instant::now();
    let end = start + scenario.length() + scenario.drain.into();
    let mut callers = JoinSet::new();
    let mut records = Vec::with_capacity(schedule.len());
    for (number, arrival) in schedule.iter().enumerate() {
        let due = start + arrival.at;
        tokio::time::sleep_until(due.into()).await;
        let marker = format!("{}-{number}", scenario.seed);
        let request =
            CallerRequest { class: classes[arrival.class].clone(), marker, budget: Duration::ZERO };
        let caller =
            caller::Caller { transport: transport.clone(), due, end, pause: scenario.pause.into() };
        let (at, class) = (arrival.at, arrival.class);
        callers.spawn(async move { Record { at, class, ..caller.run(request).await } });
        while let Some(Ok(record)) = callers.try_join_next() {
            records.push(record);
        }
    }
    while let Some(ended) = callers.join_next().await {
        records.extend(ended.ok());
    }
    Report::new(scenario, records)
}
