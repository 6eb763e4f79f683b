//! Errors sent to operators, as problem documents (RFC 9457) that can list the problems of a text.

use salvo::Response;
use salvo::http::{StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::core::document::Problems;
use crate::core::verdict::Verdict;
use crate::operators::wire::ProblemBody;
use crate::ops::publish::{ArchiveError, PublishError};

/// Retry delay while the store is unavailable, in seconds.
const STORE_RETRY_SECONDS: u32 = 5;

/// An error response to an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorProblem {
    /// Problem type, as a URI reference.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// Summary that is the same for all problems of a type.
    pub title: Box<str>,
    /// HTTP status.
    pub status: u16,
    /// Explanation of this occurrence and of how to resolve it.
    pub detail: Box<str>,
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// Seconds after which the operator should retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
    /// Problems of the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemBody>,
    /// Revision in force, if the call expected another revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_revision: Option<u64>,
    /// Difference from the text in force to the rejected text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub difference: Option<Box<str>>,
}

pub(super) type Result<T> = std::result::Result<T, OperatorProblem>;

impl OperatorProblem {
    pub(super) fn not_run(status: StatusCode, title: &str, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind: "about:blank".into(),
            title: title.into(),
            status: status.as_u16(),
            detail: detail.into(),
            verdict: Verdict::NotRun,
            retry_after_s: None,
            problems: Vec::new(),
            current_revision: None,
            difference: None,
        }
    }

    pub(super) fn no_key() -> Self {
        Self::not_run(
            StatusCode::UNAUTHORIZED,
            "No valid key",
            "send `Authorization: Bearer KEY` with an operator's key; its hash stands under \
             key_hashes in the node's settings",
        )
    }

    pub(super) fn invalid_call(detail: impl Into<Box<str>>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "Invalid call", detail)
    }

    pub(super) fn not_found(detail: impl Into<Box<str>>) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "Not found", detail)
    }

    pub(super) fn invalid(problems: &Problems) -> Self {
        Self {
            problems: problems.0.iter().map(ProblemBody::from).collect(),
            ..Self::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "Invalid document",
                "the document has mistakes; nothing was changed",
            )
        }
    }

    pub(super) fn conflict(current: u64, author: &str, difference: Box<str>) -> Self {
        let by = match author {
            "" => String::new(),
            author => format!(" by {author}"),
        };
        let detail = format!(
            "revision {current}{by} was published since you read the document; nothing was changed"
        );
        Self {
            current_revision: Some(current),
            difference: Some(difference),
            ..Self::not_run(StatusCode::CONFLICT, "Somebody else was first", detail)
        }
    }

    fn unavailable(detail: String) -> Self {
        Self {
            retry_after_s: Some(STORE_RETRY_SECONDS),
            ..Self::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "Store not available",
                detail,
            )
        }
    }

    pub(super) fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    pub(super) fn write(&self, res: &mut Response) {
        res.status_code(self.status_code());
        let headers = res.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after_s {
            headers.insert(header::RETRY_AFTER, after.into());
        }
        let body = serde_json::to_vec(self).unwrap_or_default();
        // Cannot fail: no body has been written before.
        let _ = res.write_body(body);
    }
}

impl From<PublishError> for OperatorProblem {
    fn from(e: PublishError) -> Self {
        match e {
            PublishError::Invalid(problems) => Self::invalid(&problems),
            PublishError::TooLarge { .. } => Self::not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                "Document too large",
                e.to_string(),
            ),
            PublishError::Conflict {
                current,
                author,
                difference,
            } => Self::conflict(current, &author, difference),
            PublishError::Store(e) => e.into(),
            PublishError::Unsettled { .. } => Self {
                verdict: Verdict::MayHaveRun,
                ..Self::unavailable(format!("{e}; look at the history before you try again"))
            },
        }
    }
}

impl From<ArchiveError> for OperatorProblem {
    fn from(e: ArchiveError) -> Self {
        match e {
            ArchiveError::RevisionNotFound { .. } => Self::not_found(e.to_string()),
            ArchiveError::Store(_) | ArchiveError::Record(_) => Self::unavailable(e.to_string()),
        }
    }
}
