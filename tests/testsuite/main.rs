//! Tests of the library, one module a feature.

mod ini;
