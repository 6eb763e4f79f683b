//! Client of the operators' API, for the command line and for tests.

use std::time::Duration;

use reqwest::{Method, RequestBuilder};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::core::id::{Address, ConfigRevision};
use crate::operators::OperatorProblem;
use crate::operators::wire::{
    AddKeyBody, ConfigBody, DiffBody, DrainBody, ExplanationBody, HistoryEntry, KeysBody,
    PublishBody, PublishedBody, StatusBody,
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for an answer; a publish settles a lost answer of the store within it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call has no result.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection was made; nothing was changed.
    #[error("the node at {address} was not reached: {source}")]
    NotReached {
        /// Node that was called.
        address: Address,
        /// What the connection attempt said.
        source: reqwest::Error,
    },
    /// The call left and no usable answer came. It may have taken effect.
    #[error("the answer of the node at {address} was lost: {source}")]
    AnswerLost {
        /// Node that was called.
        address: Address,
        /// What was seen instead.
        source: reqwest::Error,
    },
    /// The node refused the call.
    #[error("{}", .0.detail)]
    Refused(Box<OperatorProblem>),
    /// The client could not be set up.
    #[error("the HTTP client could not be set up: {0}")]
    Setup(reqwest::Error),
}

/// The module's result.
pub(super) type Result<T> = std::result::Result<T, ClientError>;

/// Client of one node.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: reqwest::Client,
    address: Address,
    key: Box<str>,
}

impl OperatorClient {
    /// Opens the client of the node at an address.
    ///
    /// # Errors
    ///
    /// Fails where the HTTP client cannot be set up.
    pub fn open(address: Address, key: impl Into<Box<str>>) -> Result<Self> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(ClientError::Setup)?;
        Ok(Self {
            http,
            address,
            key: key.into(),
        })
    }

    /// Returns a client of another node with the same key.
    #[must_use]
    pub fn at(&self, address: Address) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Returns the document in force, or one of its revisions.
    ///
    /// # Errors
    ///
    /// Fails as every call does: where the node is not reached, loses its answer or refuses.
    pub async fn config(&self, revision: Option<ConfigRevision>) -> Result<ConfigBody> {
        match revision {
            Some(revision) => self.get(&["config"], &[("revision", revision)]).await,
            None => self.get(&["config"], &[]).await,
        }
    }

    /// Publishes a document.
    ///
    /// # Errors
    ///
    /// Fails as every call does; the refusal has the mistakes or the difference.
    pub async fn publish(&self, body: &PublishBody) -> Result<PublishedBody> {
        let req = self.request(Method::PUT, &["config"]);
        self.send(req.json(body)).await
    }

    /// Returns the revisions that are kept, latest first.
    ///
    /// # Errors
    ///
    /// Fails as every call does.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>> {
        self.get(&["config", "history"], &[]).await
    }

    /// Returns the difference between two revisions.
    ///
    /// # Errors
    ///
    /// Fails as every call does.
    pub async fn diff(&self, from: ConfigRevision, to: ConfigRevision) -> Result<DiffBody> {
        self.get(&["config", "diff"], &[("from", from), ("to", to)])
            .await
    }

    /// Returns what the node knows of itself and of the others.
    ///
    /// # Errors
    ///
    /// Fails as every call does.
    pub async fn status(&self) -> Result<StatusBody> {
        self.get(&["status"], &[]).await
    }

    /// Returns what was decided about a request.
    ///
    /// # Errors
    ///
    /// Fails as every call does.
    pub async fn explain(&self, request: &str) -> Result<ExplanationBody> {
        self.get(&["requests", request], &[]).await
    }

    /// Lets the node leave.
    ///
    /// # Errors
    ///
    /// Fails as every call does.
    pub async fn drain(&self) -> Result<DrainBody> {
        self.send(self.request(Method::POST, &["drain"])).await
    }

    /// Returns the keys of a customer.
    ///
    /// # Errors
    ///
    /// Fails as every call does.
    pub async fn keys(&self, customer: &str) -> Result<KeysBody> {
        self.get(&["customers", customer, "keys"], &[]).await
    }

    /// Adds a key to a customer.
    ///
    /// # Errors
    ///
    /// Fails as every call does.
    pub async fn add_key(&self, customer: &str, body: &AddKeyBody) -> Result<KeysBody> {
        let req = self.request(Method::POST, &["customers", customer, "keys"]);
        self.send(req.json(body)).await
    }

    /// Revokes the key of a customer whose hash starts with the digits.
    ///
    /// # Errors
    ///
    /// Fails as every call does.
    pub async fn revoke_key(&self, customer: &str, digits: &str, author: &str) -> Result<KeysBody> {
        let path = ["customers", customer, "keys", digits];
        let req = self.request(Method::DELETE, &path);
        self.send(req.query(&[("author", author)])).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &[&str], query: &[(&str, u64)]) -> Result<T> {
        self.send(self.request(Method::GET, path).query(query))
            .await
    }

    fn request(&self, method: Method, path: &[&str]) -> RequestBuilder {
        let mut url = reqwest::Url::parse(&format!("http://{}", self.address))
            .unwrap_or_else(|_| unreachable!("an IP address and a port make a valid URL"));
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.extend(["api", "v1"]).extend(path);
        }
        self.http.request(method, url).bearer_auth(&self.key)
    }

    async fn send<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T> {
        let address = self.address;
        let lost = |source| ClientError::AnswerLost { address, source };
        let res = match req.send().await {
            Ok(res) => res,
            Err(source) if source.is_connect() => {
                return Err(ClientError::NotReached { address, source });
            }
            Err(source) => return Err(lost(source)),
        };
        if res.status().is_success() {
            return res.json().await.map_err(lost);
        }
        let problem = res.json().await.map_err(lost)?;
        Err(ClientError::Refused(Box::new(problem)))
    }
}
