//! Operations on the configuration document, shared by the API and the console.

use crate::core::document::{Document, Problems};
use crate::core::id::ConfigRevision;
use crate::operators::problem::{OperatorProblem, Result};
use crate::operators::wire::{ConfigBody, HistoryEntry, PublishBody};
use crate::operators::{Operator, OperatorContext};
use crate::ops::publish::{Draft, difference};
use crate::util::time::unix_now;

/// Name of the configuration document.
pub(super) const DOCUMENT: &str = "config";

impl OperatorContext {
    /// Returns the latest revision on this node.
    pub(super) fn current(&self) -> ConfigBody {
        match self.spread.latest(DOCUMENT) {
            Some(version) => ConfigBody {
                revision: version.revision,
                text: version.text.clone(),
            },
            None => ConfigBody {
                revision: 0,
                text: "".into(),
            },
        }
    }

    /// Returns a revision, from this node if it has it, else from the store.
    pub(super) async fn revision(&self, revision: ConfigRevision) -> Result<ConfigBody> {
        let text = match self.spread.version(DOCUMENT, revision) {
            Some(version) => version.text.clone(),
            None => self.publisher.archive().text(revision).await?,
        };
        Ok(ConfigBody { revision, text })
    }

    /// Returns the base text of a change; empty for revision 0.
    pub(super) async fn base_text(&self, revision: ConfigRevision) -> Result<Box<str>> {
        match revision {
            0 => Ok("".into()),
            revision => Ok(self.revision(revision).await?.text),
        }
    }

    /// Returns the latest revision in the store, or the one on this node if the store has none.
    pub(super) async fn latest_stored(&self) -> Result<ConfigBody> {
        let stored = self.publisher.archive().head().await?;
        match stored.head {
            Some(head) => self.revision(head.revision).await,
            None => Ok(self.current()),
        }
    }

    /// Parses and validates a text.
    pub(super) fn check(text: &str) -> std::result::Result<Document, Problems> {
        Document::parse(text)
    }

    /// Publishes a text and installs it on this node.
    pub(super) async fn publish(
        &self,
        operator: &Operator,
        body: PublishBody,
    ) -> Result<ConfigRevision> {
        let current = self.current();
        if let Err(problems) = Self::check(&body.text) {
            return Err(OperatorProblem::invalid(&problems));
        }
        // The store may have been rolled back to a revision before the one in force. Nodes never follow such
        // a rollback, so a draft with an older base revision is a conflict even if the store would accept it.
        if current.revision > body.base_revision {
            let names = (format!("revision {}", current.revision), "refused text");
            let difference = difference((&names.0, &current.text), (names.1, &body.text));
            return Err(OperatorProblem::conflict(current.revision, "", difference));
        }
        let base = self.spread.version(DOCUMENT, body.base_revision);
        let draft = Draft {
            text: body.text,
            base_revision: body.base_revision,
            base_text: base.map(|version| version.text.clone()),
            author: operator.author(&body.author),
            published_at: unix_now(),
        };
        let published = self.publisher.publish(draft).await?;
        let revision = published.head.revision;
        tracing::info!(revision, author = %published.head.author, "published a document");
        self.spread.install_published(DOCUMENT, published);
        Ok(revision)
    }

    /// Returns the history of stored revisions, latest first.
    pub(super) async fn history(&self) -> Result<Vec<HistoryEntry>> {
        let heads = self.publisher.archive().history().await?;
        Ok(heads.iter().map(HistoryEntry::from).collect())
    }

    /// Returns the difference between two revisions.
    pub(super) async fn diff(&self, from: ConfigRevision, to: ConfigRevision) -> Result<Box<str>> {
        let (old, new) = (self.revision(from).await?, self.revision(to).await?);
        let names = (format!("revision {from}"), format!("revision {to}"));
        Ok(difference((&names.0, &old.text), (&names.1, &new.text)))
    }
}
