//! What was decided about a request, and why, in sentences for people.
//!
//! A record goes with its request from node to node, so its size is bounded: the first entries and the
//! latest ones are kept, and the number of those left out in between.

mod entry;

pub use entry::{Decision, RecordEntry};

use serde::{Deserialize, Serialize};

/// Entries kept from the start of a request.
const KEPT_FIRST: usize = 8;
/// Entries kept from the latest part of a request.
const KEPT_LAST: usize = 24;

/// What was decided about a request, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Entries, oldest first.
    pub entries: Vec<RecordEntry>,
    /// Entries left out behind the first ones.
    pub left_out: u32,
}

impl Record {
    /// Adds an entry and leaves out a middle one where there are too many.
    pub fn push(&mut self, entry: RecordEntry) {
        self.entries.push(entry);
        if self.entries.len() > KEPT_FIRST + KEPT_LAST {
            self.entries.remove(KEPT_FIRST);
            self.left_out += 1;
        }
    }

    /// Returns one sentence for each entry.
    pub fn sentences(&self) -> Vec<String> {
        let mut sentences: Vec<String> = self.entries.iter().map(RecordEntry::sentence).collect();
        if self.left_out > 0 && sentences.len() > KEPT_FIRST {
            sentences.insert(
                KEPT_FIRST,
                format!("({} further steps are not kept.)", self.left_out),
            );
        }
        sentences
    }
}
