//! Software versions that the back ends of a service have had lately.
//!
//! A stream may go on only at the software version that began it. Where nobody remembers which one that was, it can
//! still be concluded if the service has had only one version for as long as a stream may last. This has to hold in a
//! node that has just started, too. So the versions of each service are on record in the store, and a version leaves
//! the record only after the node that writes it has not seen the version listed for that time.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use super::routes::ServiceName;
use crate::core::time::Moment;
use crate::sources::store::{Era, Revision};

/// Version of the software of back ends, as their entries name it.
pub type SoftwareVersion = Box<str>;
/// Identifies a software version of a service: a hash of both names.
pub type SoftwareId = u64;

/// Longest time from the first event of a stream to the last attempt to resume it.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Stands for back ends whose entry names no version. It is the same as no other version, nor as itself.
const UNNAMED: &str = "";

/// Returns the identifier of a software version. All nodes compute the same one.
pub fn software_id(service: &str, version: &str) -> SoftwareId {
    xxhash_rust::xxh3::xxh3_64_with_seed(version.as_bytes(), service_id(service))
}

fn service_id(service: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(service.as_bytes())
}

/// A software version that a service has had lately, as nodes exchange it. Both fields are hashes of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SeenSoftware {
    /// The service.
    pub service: u64,
    /// The version.
    pub software: SoftwareId,
}

impl SeenSoftware {
    fn new(service: &str, version: &str) -> Self {
        Self {
            service: service_id(service),
            software: software_id(service, version),
        }
    }
}

/// Software versions at which a call may be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AllowedSoftware {
    /// Any version: no event of the call's stream has been passed on.
    #[default]
    Any,
    /// Only the version that began the call's stream.
    Only(SoftwareId),
    /// None: the version that began the call's stream is not known.
    Unknown,
}

impl AllowedSoftware {
    /// Returns the version, if only one is allowed.
    pub fn only(self) -> Option<SoftwareId> {
        match self {
            Self::Only(only) => Some(only),
            Self::Any | Self::Unknown => None,
        }
    }

    /// Returns whether a call may be placed at a version.
    pub fn allows(self, software: Option<SoftwareId>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => software == Some(only),
            Self::Unknown => false,
        }
    }
}

/// Software versions that services have had within [`STREAM_LIFETIME`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecentSoftware {
    /// Only this version of this service.
    One(SoftwareId),
    /// Several versions, or one without a name.
    Several,
    /// It is not known: the store has no record yet.
    NoRecord,
}

/// A record to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordTask {
    /// The service.
    pub service: ServiceName,
    /// Its versions.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Revision of the record to be replaced; [`Revision::NONE`] if there is none.
    pub revision: Revision,
}

#[derive(Debug)]
struct Record {
    versions: BTreeSet<SoftwareVersion>,
    revision: Revision,
}

#[derive(Debug, Default)]
struct ServiceSoftware {
    record: Option<Record>,
    /// When each version was last seen listed, or was first read from the record.
    seen_at: HashMap<SoftwareVersion, Moment>,
}

impl ServiceSoftware {
    fn recent(&self, now: Moment) -> BTreeSet<&SoftwareVersion> {
        let is_recent = |at: Moment| now.saturating_sub(at) <= STREAM_LIFETIME;
        let seen = self.seen_at.iter().filter(|(_, at)| is_recent(**at));
        seen.map(|(version, _)| version).collect()
    }
}

/// Software versions of all services: on record in the store, and as this node has seen them listed.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceName, ServiceSoftware>,
}

impl SoftwareHistory {
    /// Records that the registry lists a back end of a version; `None` if its entry names none.
    pub fn note_listed(&mut self, service: &str, version: Option<&str>, now: Moment) {
        let software = self.service(service);
        let version = version.unwrap_or(UNNAMED);
        match software.seen_at.get_mut(version) {
            Some(at) => *at = now,
            None => {
                software.seen_at.insert(version.into(), now);
            }
        }
    }

    /// Records that a stream of a service began at a version that is not known.
    pub fn note_unknown(&mut self, service: &str, now: Moment) {
        self.note_listed(service, None, now);
    }

    /// Applies the record of a service in the store.
    pub fn apply_record(
        &mut self,
        service: &str,
        versions: BTreeSet<SoftwareVersion>,
        revision: Revision,
        now: Moment,
    ) {
        let software = self.service(service);
        for version in &versions {
            software.seen_at.entry(version.clone()).or_insert(now);
        }
        software.record = Some(Record { versions, revision });
    }

    /// Records that the store has come back in a later era, and may have lost records of earlier ones.
    pub fn forget_revisions_before(&mut self, era: Era) {
        let records = self.services.values_mut();
        for record in records.filter_map(|software| software.record.as_mut()) {
            if record.revision.era < era {
                record.revision = Revision::NONE;
            }
        }
    }

    /// Applies that the store has no record of a service.
    pub fn remove_record(&mut self, service: &str) {
        self.service(service).record = None;
    }

    /// Returns the versions that the services of a route have had lately.
    pub fn recent<'a>(
        &self,
        services: impl IntoIterator<Item = &'a ServiceName>,
        now: Moment,
    ) -> RecentSoftware {
        let mut found = None;
        for service in services {
            let Some(software) = self.services.get(service).filter(|s| s.record.is_some()) else {
                return RecentSoftware::NoRecord;
            };
            for version in software.recent(now) {
                if **version == *UNNAMED || found.is_some() {
                    return RecentSoftware::Several;
                }
                found = Some(software_id(service, version));
            }
        }
        found.map_or(RecentSoftware::NoRecord, RecentSoftware::One)
    }

    /// Returns the versions that all services have had lately, for other nodes.
    pub fn seen(&self, now: Moment) -> Vec<SeenSoftware> {
        let versions = self.services.iter().flat_map(|(service, software)| {
            let recent = software.recent(now).into_iter();
            recent.map(move |version| SeenSoftware::new(service, version))
        });
        versions.collect()
    }

    /// Returns whether other nodes have seen a version of these services that this node has not.
    pub fn lacks<'a>(
        &self,
        seen_by_others: &[SeenSoftware],
        services: impl IntoIterator<Item = &'a ServiceName>,
        now: Moment,
    ) -> bool {
        let known = self.seen(now);
        let services: SmallVec<[u64; 2]> = services.into_iter().map(|s| service_id(s)).collect();
        let mut of_services = seen_by_others
            .iter()
            .filter(|seen| services.contains(&seen.service));
        of_services.any(|seen| !known.contains(seen))
    }

    /// Returns whether any service has had several versions lately.
    pub fn has_several(&self, now: Moment) -> bool {
        let mut services = self.services.values();
        services.any(|software| software.recent(now).len() > 1)
    }

    /// Returns which of the services has, or lately had, a version.
    pub fn service_with<'a>(
        &self,
        software: SoftwareId,
        services: impl IntoIterator<Item = &'a ServiceName>,
    ) -> Option<&'a ServiceName> {
        services.into_iter().find(|service| {
            let versions = self.services.get(*service);
            let mut versions = versions.into_iter().flat_map(|known| known.seen_at.keys());
            versions.any(|version| software_id(service, version) == software)
        })
    }

    /// Forgets versions that have not been listed for longer than a stream lasts, and returns the records in the
    /// store that differ from what is known now.
    pub fn record_tasks(&mut self, now: Moment) -> Vec<RecordTask> {
        let mut tasks = Vec::new();
        for (service, software) in &mut self.services {
            let recent: BTreeSet<SoftwareVersion> =
                software.recent(now).into_iter().cloned().collect();
            software
                .seen_at
                .retain(|version, _| recent.contains(version));
            let recorded = software.record.as_ref();
            let is_current = match recorded {
                Some(record) => record.versions == recent && record.revision != Revision::NONE,
                None => recent.is_empty(),
            };
            if !is_current {
                tasks.push(RecordTask {
                    service: service.clone(),
                    versions: recent,
                    revision: recorded.map_or(Revision::NONE, |record| record.revision),
                });
            }
        }
        tasks
    }

    fn service(&mut self, service: &str) -> &mut ServiceSoftware {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.into(), ServiceSoftware::default());
        }
        self.services.get_mut(service).expect("was inserted above")
    }
}
