//! Settings, logs, metrics and time.

pub mod ini;
