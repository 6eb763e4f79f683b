//! One module for each operation.
