//! Minimal model of the store, cheap enough to be part of each state.

use std::collections::BTreeMap;

use jayhall::core::ledger::{Commit, CommitResult, Epoch, Head, Page};

#[derive(Clone, Debug, Default, Hash)]
pub(super) struct StoreModel {
    revision: u64,
    head: Head,
    pages: BTreeMap<Epoch, Page>,
}

/// A store call of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Call {
    None,
    Load(Vec<Epoch>),
    Loaded(u64, Head, Vec<(Epoch, Page)>),
    LoadFailed,
    Commit(Box<CommitModel>),
    Committed(CommitResult),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CommitModel {
    expected: u64,
    head: Head,
    pages: Vec<(Epoch, Page)>,
}

impl StoreModel {
    pub(super) fn read(&self, epochs: &[Epoch]) -> Call {
        let pages = epochs
            .iter()
            .map(|epoch| (*epoch, self.pages.get(epoch).cloned().unwrap_or_default()))
            .collect();
        Call::Loaded(self.revision, self.head.clone(), pages)
    }

    pub(super) fn write(&mut self, commit: &CommitModel, compare_and_swap: bool) -> CommitResult {
        if compare_and_swap && commit.expected != self.revision {
            return CommitResult::Conflict;
        }
        self.revision += 1;
        self.head = commit.head.clone();
        self.pages.extend(commit.pages.iter().cloned());
        CommitResult::Applied(self.revision)
    }
}

impl From<Commit> for CommitModel {
    fn from(commit: Commit) -> Self {
        assert!(
            commit.deleted_pages.is_empty(),
            "the model has no passage of time, so no page expires"
        );
        Self {
            expected: commit.expected,
            head: commit.head,
            pages: commit.pages,
        }
    }
}
