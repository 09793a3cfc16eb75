//! Small fakes of the outside systems and a load driver, for tests and the demo.
//!
//! Each fake has a `Config` whose every field has a default, and `spawn(config)`, which returns a
//! running handle with `address()`, counts and `stop()`. [`run`] runs one as a process until a
//! signal ends it.

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
pub use run::{Kind, run};
