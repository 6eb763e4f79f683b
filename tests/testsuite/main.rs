//! Tests of the library, one module a feature.

mod document;
mod ini;
