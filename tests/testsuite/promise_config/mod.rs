//! An accepted configuration is in force everywhere within seconds and never reverts.

pub(crate) mod cluster;
mod publishing;
mod real_store;
mod spreading;
