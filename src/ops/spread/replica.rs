//! A node's replica of one document: the latest version and a bounded history.

use std::collections::VecDeque;
use std::sync::Arc;

use jayhall_wire::FetchDocumentReply;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::holders::Holders;
use super::version::Version;
use crate::core::document::sections::delta;
use crate::core::document::{Document, Problems};
use crate::core::id::ConfigRevision;
use crate::node::{Blackboard, InstalledDocument};

/// Maximum number of versions whose texts a node retains as bases for deltas to peers.
const MAX_VERSIONS: usize = 32;
/// Maximum total size in bytes of the retained texts, without the latest.
const MAX_VERSION_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of revisions in the log of a replica.
const MAX_LOGGED_REVISIONS: usize = 1024;

/// Puts versions of a document into force on this node.
pub trait Installer: Send + Sync {
    /// Returns the name of the document.
    fn document(&self) -> &str;

    /// Puts a version into force. Called only with increasing revisions.
    ///
    /// # Errors
    ///
    /// Fails if this node cannot parse the text; the previous version then stays in force.
    fn install(&self, version: &Version) -> std::result::Result<(), Problems>;
}

/// Writes the configuration document to the blackboard.
#[derive(Debug)]
pub struct ConfigInstaller(pub Arc<Blackboard>);

impl Installer for ConfigInstaller {
    fn document(&self) -> &str {
        "config"
    }

    fn install(&self, version: &Version) -> std::result::Result<(), Problems> {
        let document = Document::parse(&version.text)?;
        self.0.config.write(InstalledDocument {
            revision: version.revision,
            text: version.text.clone(),
            document,
        });
        Ok(())
    }
}

/// Outcome of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Installation {
    /// The version is in force.
    InForce,
    /// The version is retained for peers, but this node cannot parse it.
    Unreadable,
    /// The node has the same or a later revision.
    NotNewer,
}

/// Replica of one document on this node.
pub(super) struct Replica {
    installer: Arc<dyn Installer>,
    state: Mutex<State>,
    revision: watch::Sender<ConfigRevision>,
    pub(super) holders: Holders,
}

#[derive(Default)]
struct State {
    /// Versions in increasing order of revision.
    versions: VecDeque<Arc<Version>>,
    /// Revisions that came into force, oldest first.
    log: VecDeque<ConfigRevision>,
}

impl Replica {
    pub(super) fn new(installer: Arc<dyn Installer>) -> Self {
        Self {
            installer,
            state: Mutex::default(),
            revision: watch::Sender::new(0),
            holders: Holders::default(),
        }
    }

    pub(super) fn name(&self) -> &str {
        self.installer.document()
    }

    pub(super) fn revision(&self) -> ConfigRevision {
        *self.revision.borrow()
    }

    /// Returns whether a revision is in force, which this node could parse.
    pub(super) fn has_revision_in_force(&self) -> bool {
        !self.state.lock().log.is_empty()
    }

    pub(super) fn watch_revision(&self) -> watch::Receiver<ConfigRevision> {
        self.revision.subscribe()
    }

    pub(super) fn latest(&self) -> Option<Arc<Version>> {
        self.state.lock().versions.back().cloned()
    }

    pub(super) fn version(&self, revision: ConfigRevision) -> Option<Arc<Version>> {
        self.state.lock().version(revision)
    }

    pub(super) fn log(&self) -> Vec<ConfigRevision> {
        self.state.lock().log.iter().copied().collect()
    }

    /// Installs a version unless the node has the same or a later revision.
    pub(super) fn install(&self, version: Version) -> Installation {
        let mut state = self.state.lock();
        if version.revision <= state.revision() {
            self.report_fork(&state, &version);
            return Installation::NotNewer;
        }
        let result = self.installer.install(&version);
        let revision = version.revision;
        state.push(Arc::new(version));
        let installation = match result {
            Ok(()) => {
                state.record(revision);
                Installation::InForce
            }
            Err(problems) => {
                self.report_unreadable(revision, &problems);
                Installation::Unreadable
            }
        };
        self.revision.send_replace(revision);
        drop(state);
        let name = self.name().to_owned();
        metrics::counter!("jayhall_document_installs_total", "document" => name).increment(1);
        installation
    }

    /// Returns the reply to a peer that has the revision `base`: a delta if it is smaller than the full
    /// text.
    pub(super) fn reply(&self, base: ConfigRevision) -> FetchDocumentReply {
        let (latest, base) = {
            let state = self.state.lock();
            (state.versions.back().cloned(), state.version(base))
        };
        let Some(latest) = latest else {
            return FetchDocumentReply::default();
        };
        let changes = base.and_then(|base| delta(&base.text, &latest.text));
        let Some(changes) = changes else {
            return latest.full_reply();
        };
        let bytes = |text: &Option<Box<str>>| text.as_ref().map_or(0, |text| text.len());
        let size: usize = changes.iter().map(|change| bytes(&change.text)).sum();
        match size < latest.text.len() {
            true => latest.delta_reply(&changes),
            false => latest.full_reply(),
        }
    }

    /// Reports two different texts with the same revision. Compare-and-swap in the store rules them out,
    /// so this is logged as an error.
    fn report_fork(&self, state: &State, version: &Version) {
        let is_fork = state
            .version(version.revision)
            .is_some_and(|known| known.digest != version.digest);
        if is_fork {
            let name = self.name().to_owned();
            metrics::counter!("jayhall_document_forks_total", "document" => name).increment(1);
            let revision = version.revision;
            tracing::error!(
                document = self.name(),
                revision,
                "conflicting texts with the same revision"
            );
        }
    }

    fn report_unreadable(&self, revision: ConfigRevision, problems: &Problems) {
        let name = self.name().to_owned();
        metrics::counter!("jayhall_document_unreadable_total", "document" => name).increment(1);
        tracing::error!(
            document = self.name(),
            revision,
            %problems,
            "cannot parse the document; the previous revision stays in force"
        );
    }
}

impl State {
    fn revision(&self) -> ConfigRevision {
        self.versions.back().map_or(0, |version| version.revision)
    }

    fn version(&self, revision: ConfigRevision) -> Option<Arc<Version>> {
        self.versions
            .iter()
            .find(|version| version.revision == revision)
            .cloned()
    }

    fn push(&mut self, version: Arc<Version>) {
        self.versions.push_back(version);
        while self.is_over_limit() {
            self.versions.pop_front();
        }
    }

    fn is_over_limit(&self) -> bool {
        let older = self.versions.iter().rev().skip(1);
        let bytes: usize = older.map(|version| version.text.len()).sum();
        self.versions.len() > MAX_VERSIONS || bytes > MAX_VERSION_BYTES
    }

    fn record(&mut self, revision: ConfigRevision) {
        self.log.push_back(revision);
        if self.log.len() > MAX_LOGGED_REVISIONS {
            self.log.pop_front();
        }
    }
}
