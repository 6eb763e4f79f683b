//! What operators do with the document, for the API and for the console.

use crate::core::document::{Document, Problems};
use crate::core::id::ConfigRevision;
use crate::operators::problem::{OperatorProblem, Result};
use crate::operators::wire::{ConfigBody, HistoryEntry, PublishBody};
use crate::operators::{Operator, OperatorContext};
use crate::ops::publish::{Draft, difference};
use crate::util::time::unix_now;

/// Name of the operators' document.
pub(super) const DOCUMENT: &str = "config";

impl OperatorContext {
    /// Returns the revision that this node has.
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

    /// Returns a revision, from this node or from the store.
    pub(super) async fn revision(&self, revision: ConfigRevision) -> Result<ConfigBody> {
        let text = match self.spread.version(DOCUMENT, revision) {
            Some(version) => version.text.clone(),
            None => self.publisher.archive().text(revision).await?,
        };
        Ok(ConfigBody { revision, text })
    }

    /// Returns the text from which a change was made; empty for revision 0.
    pub(super) async fn base(&self, revision: ConfigRevision) -> Result<Box<str>> {
        match revision {
            0 => Ok("".into()),
            revision => Ok(self.revision(revision).await?.text),
        }
    }

    /// Returns the latest revision of the store.
    pub(super) async fn stored(&self) -> Result<ConfigBody> {
        let stored = self.publisher.archive().head().await?;
        match stored.head {
            Some(head) => self.revision(head.revision).await,
            None => Ok(self.current()),
        }
    }

    /// Checks a text.
    pub(super) fn check(text: &str) -> std::result::Result<Document, Problems> {
        Document::parse(text)
    }

    /// Publishes a text and puts it in force on this node.
    pub(super) async fn publish(
        &self,
        operator: &Operator,
        body: PublishBody,
    ) -> Result<ConfigRevision> {
        let current = self.current();
        if let Err(problems) = Self::check(&body.text) {
            return Err(OperatorProblem::invalid(&problems));
        }
        // The store may have gone back behind what is in force; nodes never follow it there.
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

    /// Returns the revisions that the store keeps, latest first.
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
