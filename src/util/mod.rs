//! Settings, INI parsing, logs, metrics, URL queries and time.

pub mod fields;
pub mod ini;
pub mod logs;
pub mod metrics;
pub mod problem;
pub mod query;
pub mod schema;
pub mod settings;
pub mod time;
pub mod value;
