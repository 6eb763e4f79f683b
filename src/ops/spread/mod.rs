//! Distributes published documents to every node.
//!
//! A few nodes of each region watch the store. All others learn of new revisions through gossip and
//! fetch the changed sections from a peer. They read the store only at startup and when fetches from
//! peers fail, so that the store's load does not grow with the fleet.

mod bootstrap;
mod budget;
mod fetch;
mod holders;
mod jitter;
mod peer;
mod replica;
mod version;
mod watcher;

use std::sync::Arc;

use jayhall_wire::{DocumentRevision, FetchDocumentReply, FetchDocumentRequest};
use tokio::sync::watch;
use tokio::task::JoinSet;
use xxhash_rust::xxh3::xxh3_64;

pub use peer::{DocumentPeers, PeerError};
pub use replica::{ConfigInstaller, Installation, Installer};
pub use version::{Version, VersionError};

use crate::core::id::{Address, ConfigRevision};
use crate::node::Blackboard;
use crate::ops::publish::{Archive, Published};
use crate::sources::store::Store;
use budget::ReplyBudget;
use holders::Holder;
use jitter::Jitter;
use replica::Replica;

/// Dependencies of [`Spread`].
pub struct SpreadConfig {
    /// Source of the node's identity and of the members; [`ConfigInstaller`] writes to it.
    pub blackboard: Arc<Blackboard>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Client for fetches from other nodes.
    pub peers: Arc<dyn DocumentPeers>,
    /// Installers of the distributed documents, one per document.
    pub installers: Vec<Arc<dyn Installer>>,
}

/// Handle to the distribution of documents, which stops when it is dropped.
pub struct Spread {
    shared: Arc<Shared>,
    ready: watch::Receiver<bool>,
    _tasks: JoinSet<()>,
}

/// State shared by the tasks.
struct Shared {
    blackboard: Arc<Blackboard>,
    store: Arc<dyn Store>,
    peers: Arc<dyn DocumentPeers>,
    replicas: Vec<Arc<Replica>>,
    jitter: Jitter,
    full_replies: ReplyBudget,
}

impl Spread {
    /// Starts the tasks that distribute documents.
    pub fn spawn(cfg: SpreadConfig) -> Arc<Self> {
        let seed = xxh3_64(cfg.blackboard.identity.node.as_bytes());
        let replicas = cfg.installers.into_iter().map(Replica::new).map(Arc::new);
        let shared = Arc::new(Shared {
            blackboard: cfg.blackboard,
            store: cfg.store,
            peers: cfg.peers,
            replicas: replicas.collect(),
            jitter: Jitter::new(seed),
            full_replies: ReplyBudget::default(),
        });
        let (ready_tx, ready) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(bootstrap_all(shared.clone(), ready_tx));
        for replica in &shared.replicas {
            tasks.spawn(fetch::follow_gossip(shared.clone(), replica.clone()));
            tasks.spawn(watcher::watch_store(
                shared.clone(),
                replica.clone(),
                ready.clone(),
            ));
        }
        Arc::new(Self {
            shared,
            ready,
            _tasks: tasks,
        })
    }

    /// Waits until the node has queried several peers and the store, and has a revision of every
    /// document in force. Until then, the node serves no callers.
    pub async fn ready(&self) {
        let mut ready = self.ready.clone();
        // This value owns the tasks, which keep the sender alive.
        let _ = ready.wait_for(|is_ready| *is_ready).await;
    }

    /// Answers a fetch from a peer. The reply has revision 0 if the document is unknown or has no
    /// revision yet, or if this node's budget of full texts is exhausted; the peer then tries another
    /// node.
    pub fn handle_fetch(&self, req: &FetchDocumentRequest) -> FetchDocumentReply {
        let Some(replica) = self.shared.replica(&req.document) else {
            return FetchDocumentReply::default();
        };
        let reply = replica.reply(req.base_revision);
        if !reply.is_delta && !self.shared.full_replies.try_take() {
            metrics::counter!("jayhall_document_replies_total", "form" => "busy").increment(1);
            return FetchDocumentReply::default();
        }
        let form = if reply.is_delta { "delta" } else { "whole" };
        metrics::counter!("jayhall_document_replies_total", "form" => form).increment(1);
        reply
    }

    /// Returns the revisions for gossip to announce.
    pub fn revisions(&self) -> Vec<DocumentRevision> {
        let replicas = self.shared.replicas.iter();
        replicas
            .map(|replica| DocumentRevision {
                document: replica.name().to_owned(),
                revision: replica.revision(),
            })
            .collect()
    }

    /// Records revisions that a node announced by gossip. `address` is the peer address of that node.
    pub fn record_announcement(&self, address: Address, revisions: &[DocumentRevision]) {
        for announced in revisions {
            let Some(replica) = self.shared.replica(&announced.document) else {
                continue;
            };
            if announced.revision > replica.revision() {
                replica.holders.add(Holder {
                    address,
                    revision: announced.revision,
                });
            }
        }
    }

    /// Installs a revision published by this node itself.
    pub fn install_published(&self, document: &str, published: Published) -> Installation {
        match self.shared.replica(document) {
            Some(replica) => replica.install(published.into()),
            None => Installation::NotNewer,
        }
    }

    /// Returns the latest version of a document on this node.
    pub fn latest(&self, document: &str) -> Option<Arc<Version>> {
        self.shared.replica(document)?.latest()
    }

    /// Returns a version if this node still retains it.
    pub fn version(&self, document: &str, revision: ConfigRevision) -> Option<Arc<Version>> {
        self.shared.replica(document)?.version(revision)
    }

    /// Returns a receiver of the latest revision of a document on this node.
    pub fn watch_revision(&self, document: &str) -> Option<watch::Receiver<ConfigRevision>> {
        Some(self.shared.replica(document)?.watch_revision())
    }

    /// Returns the last revisions that came into force on this node, oldest first; the number is
    /// bounded.
    pub fn installed_revisions(&self, document: &str) -> Vec<ConfigRevision> {
        let replica = self.shared.replica(document);
        replica.map_or_else(Vec::new, |replica| replica.log())
    }
}

impl Shared {
    fn replica(&self, document: &str) -> Option<&Arc<Replica>> {
        self.replicas
            .iter()
            .find(|replica| replica.name() == document)
    }

    fn archive(&self, replica: &Replica) -> Archive {
        Archive::open(self.store.clone(), replica.name())
    }
}

async fn bootstrap_all(shared: Arc<Shared>, ready: watch::Sender<bool>) {
    for replica in &shared.replicas {
        bootstrap::bootstrap(&shared, replica).await;
    }
    ready.send_replace(true);
    // Keeps the sender alive, since receivers take its drop for the end of the process.
    std::future::pending::<()>().await;
}
