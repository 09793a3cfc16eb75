//! Fakes of the external systems and a load generator, for tests and the demo.
//!
//! Each fake has a `Config`, with defaults for all settings but a proxy's target, and a function
//! `spawn(config)`. This returns a handle with `address()`, `stop()` and, except for the platform,
//! `counts()`. [`run`] runs a fake as a process until a signal ends it.

pub mod engine;
pub mod faults;
mod handle;
mod http;
pub mod load;
pub mod marker;
pub mod platform;
mod ports;
pub mod proxy;
mod run;
pub mod service;
mod slots;
pub mod stage;
mod worker;

pub use handle::{Fake, Handle};
pub use ports::Ports;
pub use run::{FakeConfig, run};
