//! `mothplank gateway`: runs the entry of a platform.

use std::sync::Arc;

use eyre::{OptionExt, Result};
use gateway::budget::{BudgetSpec, Start};
use gateway::cold::ColdTolerance;
use gateway::partition::Partition;
use gateway::{Gateway, GatewayConfig};
use platform::{PlatformDialect, Settings};
use registry::Capacity;

use crate::commands::host;
use crate::exit_codes::ExitCode;

/// Runs the gateway until a signal ends it; requests in flight are completed first.
///
/// # Errors
/// Returns an error if the gateway cannot start.
pub(crate) fn run() -> Result<ExitCode> {
    let path = Settings::path()?;
    let settings = Settings::read(&path)?;
    let grace = settings.grace;
    let config = GatewayConfig {
        vm: settings.vm.clone(),
        domain: settings.domain,
        front: settings.front.ok_or_eyre("the settings lack the address for callers")?,
        ready: settings
            .ready
            .ok_or_eyre("the settings lack the address for the load balancer's readiness check")?,
        address: settings.address,
        seeds: settings.seeds,
        capacity: Capacity::new(settings.link_megabits, settings.cores),
        budget: BudgetSpec {
            ratio: settings.retry_ratio,
            window: settings.retry_window,
            burst: settings.retry_burst,
        },
        start: if settings.bootstrap { Start::First } else { Start::Again },
        partition: Partition::beside(&path),
        cold: ColdTolerance { overrun: settings.cold_overrun, slack: settings.cold_slack },
    };
    host::run(
        &settings.vm,
        path,
        async move {
            let registry = telemetry::open_registry();
            let secret = registry::deployment_secret();
            let gateway = Gateway::<PlatformDialect>::spawn(config, secret, &registry).await?;
            host::serve_metrics(settings.metrics, registry).await;
            Ok(Arc::new(gateway))
        },
        |gateway, settings| gateway.set_seeds(settings.seeds),
        async move |gateway| {
            gateway.drain(grace).await;
        },
    )
}
