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
    /// Judges the absence of a record from a place that has lost nothing since `complete_since`; `None` if that is not
    /// known. If the record was written, it was at `earliest` or later.
    fn new(complete_since: Option<Moment>, earliest: Moment) -> Self {
        match complete_since.is_some_and(|since| since <= earliest) {
            true => Self::NeverWritten,
            false => Self::MaybeLost,
        }
    }

    /// Judges the absence of a record from the store in `era`. The store loses nothing within an era.
    pub fn in_store(contact: &StoreContact, era: Era, earliest: Moment) -> Self {
        Self::new(contact.era_began_at(era), earliest)
    }

    /// Judges the absence of a back end from the registry, in a view of the store in `era`. `settled_era` is the last era
    /// in which running back ends are known to have written lost entries again.
    pub fn in_registry(era: Era, settled_era: Option<Era>) -> Self {
        match settled_era == Some(era) {
            true => Self::NeverWritten,
            false => Self::MaybeLost,
        }
    }

    /// Judges the absence of a record from the memory of a process that started at `started_at`; `None` if that is not
    /// known.
    pub fn in_memory(started_at: Option<Moment>, earliest: Moment) -> Self {
        Self::new(started_at, earliest)
    }
}
