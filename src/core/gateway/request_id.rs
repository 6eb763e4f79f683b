//! Identity of a request over all its attempts, at any node.

use xxhash_rust::xxh3::Xxh3;

/// Identifies a request that may come again: a hash of its method, path, customer and body.
pub type RequestId = u64;

/// Returns the identity of a request. All nodes compute the same one.
pub fn request_id(method: &str, path: &str, customer: Option<&str>, body: &[u8]) -> RequestId {
    let mut hasher = Xxh3::new();
    for field in [method, path, customer.unwrap_or_default()] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(body);
    hasher.digest()
}
