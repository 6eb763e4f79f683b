//! Back ends at which a rollout allows a call to be placed.

use std::cmp::Reverse;

use smallvec::SmallVec;

use crate::core::cells;
use crate::core::gateway::backends::{BackendId, Backends, Entry};
use crate::core::gateway::placement::Placement;
use crate::core::gateway::software::SoftwareVersion;
use crate::core::time::Moment;

/// Work of a call at an engine that has no part of its prompt cached, as a multiple of its work at an old one.
const UNCACHED_WORK_FACTOR: f64 = 2.5;

/// Names of software versions; the empty name stands for back ends without one.
pub type Versions = SmallVec<[SoftwareVersion; 2]>;

/// Back ends at which a call may be placed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Candidates {
    /// All of the service.
    #[default]
    Any,
    /// Those of other versions than these, which get no calls any more.
    Except(Versions),
    /// Those of other versions than these, which get no calls at the moment.
    Withheld(Versions),
    /// Those of one version.
    Of(SoftwareVersion),
    /// Some chosen back ends of the new version.
    Among(SmallVec<[BackendId; 4]>),
}

impl Candidates {
    /// Returns whether a call may be placed at a back end.
    pub fn allow(&self, entry: &Entry) -> bool {
        let version = version_of(entry);
        match self {
            Self::Any => true,
            Self::Except(versions) | Self::Withheld(versions) => {
                !versions.iter().any(|excluded| **excluded == *version)
            }
            Self::Of(only) => **only == *version,
            Self::Among(ids) => ids.contains(&entry.backend.id),
        }
    }

    /// Returns whether a back end gets no calls any more.
    pub fn exclude_for_good(&self, entry: &Entry) -> bool {
        matches!(self, Self::Except(_)) && !self.allow(entry)
    }
}

/// Where a rollout allows a call to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Back ends that are tried first.
    pub first: Candidates,
    /// Back ends for a call that has no place at the first ones.
    pub otherwise: Option<Candidates>,
}

impl Plan {
    /// Places a call among the first candidates that have a place for it.
    pub fn place<'a>(&'a self, mut place: impl FnMut(&'a Candidates) -> Placement) -> Placement {
        let placement = place(&self.first);
        match (&placement, &self.otherwise) {
            (Placement::Refuse { .. }, Some(otherwise)) => place(otherwise),
            _ => placement,
        }
    }

    pub(super) fn only(candidates: Candidates) -> Self {
        Self {
            first: candidates,
            otherwise: None,
        }
    }
}

/// Returns the version of a back end; the empty name if its entry names none.
pub fn version_of(entry: &Entry) -> &str {
    entry.backend.software.as_deref().unwrap_or_default()
}

/// Returns the versions of a service's back ends that stay, other than `target`.
pub fn other_versions(backends: &Backends, service: &str, target: &str, now: Moment) -> Versions {
    let mut versions: Versions = staying(backends, service, now)
        .map(version_of)
        .filter(|version| *version != target)
        .map(Into::into)
        .collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Returns whether a service has back ends of a version that stay.
pub fn has_version(backends: &Backends, service: &str, version: &str, now: Moment) -> bool {
    staying(backends, service, now).any(|entry| version_of(entry) == version)
}

/// Returns whether a service has back ends of other versions than `target` that stay.
pub fn has_other_version(backends: &Backends, service: &str, target: &str, now: Moment) -> bool {
    staying(backends, service, now).any(|entry| version_of(entry) != target)
}

/// Returns the back ends of the target to which all nodes send canary calls: so few that each of them gets about the
/// work of an old back end, as some versions are bad only under load.
pub fn canary_backends(
    backends: &Backends,
    service: &str,
    target: &str,
    canary_part: f64,
    now: Moment,
) -> SmallVec<[BackendId; 4]> {
    let old = staying(backends, service, now).filter(|entry| version_of(entry) != target);
    let count = (old.count() as f64 * canary_part * UNCACHED_WORK_FACTOR)
        .ceil()
        .max(1.0) as usize;
    let new = backends
        .accepting(service, now)
        .filter(|entry| version_of(entry) == target && !entry.is_suspect());
    let weighted = new.map(|entry| (cells::weight(target, &entry.backend.id), entry));
    let mut weighted: Vec<_> = weighted.collect();
    weighted.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
    let chosen = weighted.into_iter().take(count);
    chosen.map(|(_, entry)| entry.backend.id.clone()).collect()
}

fn staying<'a>(
    backends: &'a Backends,
    service: &'a str,
    now: Moment,
) -> impl Iterator<Item = &'a Entry> {
    let entries = backends.of_service(service);
    entries.filter(move |entry| !entry.is_gone(now) && !entry.is_leaving())
}
