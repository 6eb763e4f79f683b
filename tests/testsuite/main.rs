//! Tests of the library, one module a feature.

mod ini;
mod policy_queue;
