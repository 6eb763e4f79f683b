//! Who may call: holders of a key whose hash is in the node's settings.

use salvo::Request;
use salvo::http::header;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::util::value::Hash;

/// Bytes of a hash that name a key to people.
const FINGERPRINT_BYTES: usize = 4;
/// Longest name that an operator may give, in characters.
const MAX_NAME_CHARS: usize = 64;

/// An operator who has shown a valid key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    fingerprint: Box<str>,
}

impl Operator {
    /// Returns the operator with the key, if its hash is among those in force.
    pub fn with_key(key: &str, in_force: &[Hash]) -> Option<Self> {
        let hash: Hash = Sha256::digest(key.as_bytes()).into();
        // All are compared, so that the time says nothing about which one is close.
        let is_known = in_force
            .iter()
            .fold(false, |found, known| found | bool::from(known.ct_eq(&hash)));
        is_known.then(|| Self {
            fingerprint: hex::encode(&hash[..FINGERPRINT_BYTES]).into(),
        })
    }

    /// Returns the operator whose key a call carries as a bearer token.
    pub(super) fn of_call(req: &Request, in_force: &[Hash]) -> Option<Self> {
        let value = req.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
        Self::with_key(value.strip_prefix("Bearer ")?.trim(), in_force)
    }

    /// Returns the text for the history: the name that the operator gives, and what names the key.
    pub fn author(&self, name: &str) -> Box<str> {
        let is_plain = |c: &char| c.is_alphanumeric() || " .-_@".contains(*c);
        let name: String = name.chars().filter(is_plain).take(MAX_NAME_CHARS).collect();
        match name.trim() {
            "" => format!("key {}", self.fingerprint).into(),
            name => format!("{name} (key {})", self.fingerprint).into(),
        }
    }
}
