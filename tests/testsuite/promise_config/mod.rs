//! Tests that an accepted configuration comes into force on all nodes within seconds and never reverts.

pub(crate) mod cluster;
mod publishing;
mod real_store;
mod spreading;
