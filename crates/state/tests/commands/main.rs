//! Tests of sequences of commands and the replies of the state.

mod changes;
mod claims;
mod replicas;
mod support;
