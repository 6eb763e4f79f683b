//! What a node holds of one document: the revision in force and a bounded history.

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

/// Most versions whose texts a node keeps, to give peers changes only.
const MAX_VERSIONS: usize = 32;
/// Most bytes of the texts that a node keeps beside the latest one.
const MAX_VERSION_BYTES: usize = 4 * 1024 * 1024;
/// Installed revisions that a node remembers.
const MAX_LOG: usize = 1024;

/// Puts a document in force on this node.
pub trait Installer: Send + Sync {
    /// Returns the name of the document.
    fn document(&self) -> &str;

    /// Puts a version in force. Called with rising revisions only.
    ///
    /// # Errors
    ///
    /// Fails where this node cannot read the text; the version before it stays in force.
    fn install(&self, version: &Version) -> std::result::Result<(), Problems>;
}

/// Writes the operators' document to the blackboard.
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

/// What became of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Installation {
    /// It is in force.
    InForce,
    /// It is kept for peers, but this node cannot read it.
    Unreadable,
    /// The node has the same or a later revision.
    NotNewer,
}

/// One document on this node.
pub(super) struct Replica {
    installer: Arc<dyn Installer>,
    state: Mutex<State>,
    revision: watch::Sender<ConfigRevision>,
    pub(super) holders: Holders,
}

#[derive(Default)]
struct State {
    /// Rising by revision; the last one is the latest.
    versions: VecDeque<Arc<Version>>,
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

    /// Returns whether this node could read one of the revisions that it has.
    pub(super) fn has_one_in_force(&self) -> bool {
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

    /// Puts a version in force unless the node has the same or a later one.
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

    /// Returns the answer to a peer that has the base revision.
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
            return latest.whole_reply();
        };
        let bytes = |text: &Option<Box<str>>| text.as_ref().map_or(0, |text| text.len());
        let size: usize = changes.iter().map(|change| bytes(&change.text)).sum();
        match size < latest.text.len() {
            true => latest.delta_reply(&changes),
            false => latest.whole_reply(),
        }
    }

    /// Compare-and-swap in the store makes a second text of one revision impossible; a sign of one
    /// is worth an alarm.
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
                "two texts have one revision"
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
            "cannot read the document; the revision before it stays in force"
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
        if self.log.len() > MAX_LOG {
            self.log.pop_front();
        }
    }
}
