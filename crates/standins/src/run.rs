//! Runs a fake as a process of its own.

use std::net::SocketAddr;

use types::{StepError, StepResult};

use crate::{engine, platform, proxy, service, stage};

/// The fake to run, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum FakeConfig {
    /// A model engine.
    Engine(engine::Config),
    /// An encoder, retriever or reranker.
    Stage(stage::Config),
    /// A plain service that runs no model.
    Service(service::Config),
    /// The platform's list of VMs.
    Platform(platform::Config),
    /// A proxy that can cut connections.
    Proxy(proxy::Config),
}

/// A running fake of any kind; it stops when dropped.
enum Running {
    Engine(engine::Engine),
    Stage(stage::Stage),
    Service(service::Service),
    Platform(platform::Platform),
    Proxy(proxy::Proxy),
}

/// Runs a fake until the process receives SIGINT or SIGTERM.
///
/// Implements `mothplank standin engine|stage|service|platform|proxy --listen IP:PORT ..`. The
/// command builds a [`FakeConfig`] from its arguments: it starts from the `Config::default()` of the
/// fake or from [`proxy::Config::to`], and changes the fields that were given. It awaits this
/// function in a multi-threaded tokio runtime.
///
/// Calls `ready` once with the bound address. The command prints it, so that whoever starts a fake
/// on port 0 learns its port.
///
/// # Errors
/// Returns an error if the fake can't listen on its address, or if signals can't be received.
pub async fn run(config: FakeConfig, ready: impl FnOnce(SocketAddr)) -> StepResult<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let signal_error = |e: std::io::Error| StepError::new("wait for signals", e);
    let mut end = signal(SignalKind::terminate()).map_err(signal_error)?;
    let running = start(config).await?;
    ready(running.address());
    tokio::select! {
        _ = end.recv() => {}
        result = tokio::signal::ctrl_c() => result.map_err(signal_error)?,
    }
    Ok(())
}

async fn start(config: FakeConfig) -> StepResult<Running> {
    Ok(match config {
        FakeConfig::Engine(config) => Running::Engine(engine::spawn(config).await?),
        FakeConfig::Stage(config) => Running::Stage(stage::spawn(config).await?),
        FakeConfig::Service(config) => Running::Service(service::spawn(config).await?),
        FakeConfig::Platform(config) => Running::Platform(platform::spawn(config).await?),
        FakeConfig::Proxy(config) => Running::Proxy(proxy::spawn(config).await?),
    })
}

impl Running {
    fn address(&self) -> SocketAddr {
        match self {
            Running::Engine(it) => it.address(),
            Running::Stage(it) => it.address(),
            Running::Service(it) => it.address(),
            Running::Platform(it) => it.address(),
            Running::Proxy(it) => it.address(),
        }
    }
}
