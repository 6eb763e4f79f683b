//! Decision records of requests, rendered as sentences for operators.
//!
//! A record moves with its request between nodes, so its size is bounded: it holds the first and the
//! latest entries, and the number of entries dropped in between.

mod entry;

pub use entry::{Decision, RecordEntry};

use serde::{Deserialize, Serialize};

/// Number of entries retained from the start of a request.
const MAX_FIRST_ENTRIES: usize = 8;
/// Number of latest entries retained.
const MAX_LATEST_ENTRIES: usize = 24;

/// Decisions about a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Entries, oldest first.
    pub entries: Vec<RecordEntry>,
    /// Number of entries dropped after the first ones.
    pub left_out: u32,
}

impl Record {
    /// Appends an entry, and drops one from the middle if the record is full.
    pub fn push(&mut self, entry: RecordEntry) {
        self.entries.push(entry);
        if self.entries.len() > MAX_FIRST_ENTRIES + MAX_LATEST_ENTRIES {
            self.entries.remove(MAX_FIRST_ENTRIES);
            self.left_out += 1;
        }
    }

    /// Returns one sentence for each entry.
    pub fn sentences(&self) -> Vec<String> {
        let mut sentences: Vec<String> = self.entries.iter().map(RecordEntry::sentence).collect();
        if self.left_out > 0 && sentences.len() > MAX_FIRST_ENTRIES {
            sentences.insert(
                MAX_FIRST_ENTRIES,
                format!("({} further steps are not kept.)", self.left_out),
            );
        }
        sentences
    }
}
