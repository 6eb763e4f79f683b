//! Tests of the library, one module a feature.

mod ini;
mod policy_admission;
mod policy_queue;
