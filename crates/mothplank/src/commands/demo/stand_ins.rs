//! The stand-ins for upstreams and for the platform in the demo.

use std::net::SocketAddr;

use standins::platform::{self, Platform};
use standins::stage::{self, ServiceTime, Stage};
use standins::{engine, service};
use types::{Micros, StepResult};

use super::stage_time;

/// The stand-ins for stages: the kind, and the placeholder address in the demo's base file.
const STAGES: [(&str, &str); 6] = [
    ("encoder", "127.0.0.1:7311"),
    ("encoder", "127.0.0.1:7312"),
    ("retriever", "127.0.0.1:7321"),
    ("retriever", "127.0.0.1:7322"),
    ("reranker", "127.0.0.1:7331"),
    ("reranker", "127.0.0.1:7332"),
];
const ENGINES: [&str; 2] = ["127.0.0.1:7341", "127.0.0.1:7342"];
const SERVICE: &str = "127.0.0.1:7351";

/// The running stand-ins; dropping this stops them.
pub(super) struct StandIns {
    stages: Vec<Stage>,
    engines: Vec<engine::Engine>,
    service: service::Service,
    platform: Platform,
    /// Pairs of a placeholder address in the file and the actual address in this run.
    addresses: Vec<(&'static str, SocketAddr)>,
}

impl StandIns {
    /// Starts the stand-ins on free ports.
    pub(super) async fn spawn() -> StepResult<Self> {
        let mut addresses = Vec::new();
        let mut stages = Vec::new();
        for (kind, placeholder) in STAGES {
            let time = ServiceTime::Fixed(stage_time(kind));
            let stage = stage::spawn(stage::Config { time, ..Default::default() }).await?;
            addresses.push((placeholder, stage.address()));
            stages.push(stage);
        }
        let mut engines = Vec::new();
        for placeholder in ENGINES {
            let model = "appraiser".parse().ok();
            let config = engine::Config { model, ..engine::Config::default() };
            let engine = engine::spawn(config).await?;
            addresses.push((placeholder, engine.address()));
            engines.push(engine);
        }
        let time = ServiceTime::Fixed(Micros(2_000));
        let service = service::spawn(service::Config { time, ..Default::default() }).await?;
        addresses.push((SERVICE, service.address()));
        let platform = platform::spawn(platform::Config::default()).await?;
        Ok(Self { stages, engines, service, platform, addresses })
    }

    /// Replaces the placeholder addresses in the demo's base file with the actual ones.
    pub(super) fn fill_addresses(&self, base: &str) -> String {
        let fill = |text: String, (placeholder, address): &(&str, SocketAddr)| {
            text.replace(&format!("\"{placeholder}\""), &format!("\"{address}\""))
        };
        self.addresses.iter().fold(base.to_owned(), fill)
    }

    /// Returns the address of the platform's list of VMs.
    pub(super) fn platform(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the number of upstreams.
    pub(super) fn count(&self) -> usize {
        // Marks the field as used: the service is only kept running. It is the 1 in the sum.
        let _ = &self.service;
        self.stages.len() + self.engines.len() + 1
    }
}
