//! Messages and services that jayhall nodes exchange.
//!
//! The code is generated from `proto/peer.proto` by `cargo xtask codegen` and committed. The library
//! `jayhall` converts these messages to its own types at the edge and uses them nowhere else.

#[allow(clippy::all, missing_docs, unreachable_pub)]
#[rustfmt::skip]
mod generated {
    include!("generated/jayhall.peer.v1.rs");
}

pub use generated::*;
