//! Authentication of operators by keys whose hashes are in the node's settings.

use salvo::Request;
use salvo::http::header;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::util::value::Hash;

/// Bytes of a key's hash that make up its displayed fingerprint.
const FINGERPRINT_BYTES: usize = 4;
/// Longest author name, in characters.
const MAX_NAME_CHARS: usize = 64;

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    fingerprint: Box<str>,
}

impl Operator {
    /// Authenticates an operator by comparing the key's hash with the accepted hashes.
    pub fn authenticate(key: &str, accepted_hashes: &[Hash]) -> Option<Self> {
        let hash: Hash = Sha256::digest(key.as_bytes()).into();
        // Compares all hashes in constant time, so that timing reveals nothing about them.
        let is_known = accepted_hashes
            .iter()
            .fold(false, |found, known| found | bool::from(known.ct_eq(&hash)));
        is_known.then(|| Self {
            fingerprint: hex::encode(&hash[..FINGERPRINT_BYTES]).into(),
        })
    }

    /// Authenticates a call by its bearer token.
    pub(super) fn authenticate_call(req: &Request, accepted_hashes: &[Hash]) -> Option<Self> {
        let value = req.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
        Self::authenticate(value.strip_prefix("Bearer ")?.trim(), accepted_hashes)
    }

    /// Returns the author text for the history: the given name without special characters, and the
    /// key's fingerprint.
    pub fn author(&self, name: &str) -> Box<str> {
        let is_plain = |c: &char| c.is_alphanumeric() || " .-_@".contains(*c);
        let name: String = name.chars().filter(is_plain).take(MAX_NAME_CHARS).collect();
        match name.trim() {
            "" => format!("key {}", self.fingerprint).into(),
            name => format!("{name} (key {})", self.fingerprint).into(),
        }
    }
}
