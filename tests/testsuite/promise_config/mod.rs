//! An accepted configuration is in force everywhere within seconds and never reverts.

mod cluster;
mod publishing;
mod spreading;
