//! Settings, logs, metrics and time.

pub mod ini;
pub mod time;
