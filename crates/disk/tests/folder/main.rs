//! Tests of the data folder with crashes, failing operations and damaged files.

mod crash;
mod damage;
mod support;
