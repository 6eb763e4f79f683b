//! What calls have that may crash back ends: parts of their prompts, and their requests.

use smallvec::SmallVec;

use super::cache::{Part, PartId};
use super::request_id::RequestId;

/// What a call has that may crash back ends, and that other calls may have as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// A part of its prompt that it may share with other prompts.
    Part(PartId),
    /// Its request, which may come again.
    Request(RequestId),
}

/// The suspects of a call, sorted: the parts of its prompt but the last one, and its request.
pub type Suspects = SmallVec<[Suspect; 4]>;

/// Returns the suspects of a call.
pub fn suspects_of(parts: &[Part], request: RequestId) -> Suspects {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let mut suspects: Suspects = shared.iter().map(|part| Suspect::Part(part.id)).collect();
    suspects.push(Suspect::Request(request));
    suspects.sort_unstable();
    suspects.dedup();
    suspects
}

/// Returns whether sorted `suspects` contain all of sorted `subset`.
pub fn contains_all(suspects: &[Suspect], subset: &[Suspect]) -> bool {
    subset
        .iter()
        .all(|suspect| suspects.binary_search(suspect).is_ok())
}

/// Returns the request among sorted suspects.
pub fn request_of(suspects: &[Suspect]) -> Option<RequestId> {
    match suspects.last()? {
        Suspect::Request(request) => Some(*request),
        Suspect::Part(_) => None,
    }
}

/// Returns the parts among sorted suspects.
pub fn parts_of(suspects: &[Suspect]) -> SmallVec<[PartId; 4]> {
    let parts = suspects.iter().filter_map(|suspect| match suspect {
        Suspect::Part(part) => Some(*part),
        Suspect::Request(_) => None,
    });
    parts.collect()
}
