//! One module for each operation.

pub mod publish;
pub mod spread;
