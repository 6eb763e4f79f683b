//! Membership on injected time.

mod net;
mod states;
