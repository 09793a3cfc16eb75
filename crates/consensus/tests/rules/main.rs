//! Tests of single rules of the protocol, as tables of cases.

mod cluster;
mod commits;
mod disks;
mod elections;
mod members;
mod snapshots;
