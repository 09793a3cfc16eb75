//! A fake of the platform's list of VMs: `GET /v1/vms` returns the list, `PUT /v1/vms` replaces it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use types::{StepResult, VmName};

use crate::faults::FaultSwitch;
use crate::http::{self, Handler, Reply};

/// Whether a VM is about to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM stays.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM.
    pub vm: VmName,
    /// Whether the VM is about to be removed.
    pub state: VmState,
}

/// The list as it is served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// The number of the list's version; it grows with each change.
    pub sequence: u64,
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// The settings of a fake platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The address to listen on; port 0 means any free port.
    pub listen: SocketAddr,
    /// The initial VMs, all live.
    pub vms: Vec<VmName>,
}

impl Default for Config {
    fn default() -> Self {
        Self { listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), vms: Vec::new() }
    }
}

/// A handle to a running fake platform. Dropping it stops the fake.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    faults: FaultSwitch,
    list: Mutex<Vms>,
}

/// Starts a fake platform.
///
/// # Errors
/// Returns an error if the fake can't listen on its address.
pub async fn spawn(config: Config) -> StepResult<Platform> {
    let vms = config.vms.into_iter().map(|vm| Vm { vm, state: VmState::Live }).collect();
    let list = Mutex::new(Vms { sequence: 1, vms });
    let inner = Arc::new(Inner { faults: FaultSwitch::new(1), list });
    let address = http::serve(config.listen, inner.clone(), inner.faults.availability()).await?;
    Ok(Platform { address, inner })
}

impl Platform {
    /// Returns the address on which the fake listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the switch that injects faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.inner.faults
    }

    /// Replaces the list of VMs.
    pub fn set(&self, vms: Vec<Vm>) {
        self.inner.set(vms);
    }

    /// Sets the state of one VM.
    pub fn mark(&self, vm: &VmName, state: VmState) {
        let mut list = self.inner.list();
        list.sequence += 1;
        for entry in list.vms.iter_mut().filter(|it| it.vm == *vm) {
            entry.state = state;
        }
    }

    /// Stops the fake and closes all its connections.
    pub fn stop(&self) {
        self.inner.faults.stop();
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Handler for Inner {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/vms") => self.answer_list().await,
            (&Method::PUT, "/v1/vms") => match serde_json::from_slice(request.body()) {
                Ok(vms) => {
                    self.set(vms);
                    http::json(StatusCode::OK, &*self.list())
                }
                Err(e) => http::error(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (&Method::POST, "/faults") => self.faults.command(request.body()),
            _ => http::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl Inner {
    async fn answer_list(&self) -> Reply {
        let faults = self.faults.draw();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(faults.late).await;
        if faults.error {
            return http::error(StatusCode::INTERNAL_SERVER_ERROR, "failed on command");
        }
        if faults.cut {
            return http::truncated_json(StatusCode::OK, &*self.list());
        }
        http::json(StatusCode::OK, &*self.list())
    }

    fn set(&self, vms: Vec<Vm>) {
        let mut list = self.list();
        list.sequence += 1;
        list.vms = vms;
    }

    fn list(&self) -> std::sync::MutexGuard<'_, Vms> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
