//! What a node may conclude from a record that it does not find.
//!
//! A record may be missing because nobody wrote it, or because it was lost: the store came back from an older copy, or
//! the processes that kept it in memory have ended. Its absence shows that nobody wrote it only if the place where it
//! was sought has lost nothing since the record may have been written first.

use super::store_contact::StoreContact;
use crate::core::time::Moment;
use crate::sources::store::Era;

/// What the absence of a record shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// Nobody wrote the record.
    NeverWritten,
    /// The record may have been written and lost.
    MaybeLost,
}

impl Absence {
    /// Returns what it shows that a place lacks a record which was written at `earliest` or later, if it was. The place
    /// has lost nothing since `complete_since`; `None` if that is not known.
    fn new(complete_since: Option<Moment>, earliest: Moment) -> Self {
        match complete_since.is_some_and(|since| since <= earliest) {
            true => Self::NeverWritten,
            false => Self::MaybeLost,
        }
    }

    /// Returns what it shows that the store lacks a record in `era`. The store loses nothing within an era.
    pub fn in_store(contact: &StoreContact, era: Era, earliest: Moment) -> Self {
        Self::new(contact.era_began_at(era), earliest)
    }

    /// Returns what it shows that the registry lacks a back end that runs, in a view of the store in `era`. A mark in the
    /// view names the last era known to be settled: back ends had the time to write their entries again.
    pub fn in_registry(era: Era, settled_era: Option<Era>) -> Self {
        match settled_era == Some(era) {
            true => Self::NeverWritten,
            false => Self::MaybeLost,
        }
    }

    /// Returns what it shows that a process which started at `started_at` does not keep a record in memory.
    pub fn in_memory(started_at: Option<Moment>, earliest: Moment) -> Self {
        Self::new(started_at, earliest)
    }
}
