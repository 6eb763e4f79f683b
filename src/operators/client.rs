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

/// Timeout for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a call. It leaves a publish enough time to find out the result of a write whose answer
/// from the store was lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// An error of a call to the operators' API.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection failed; nothing was changed.
    #[error("the node at {address} was not reached: {source}")]
    NotReached {
        /// Address of the called node.
        address: Address,
        /// Error of the connection attempt.
        source: reqwest::Error,
    },
    /// The call was sent but no usable answer arrived. The call may have taken effect.
    #[error("the answer of the node at {address} was lost: {source}")]
    AnswerLost {
        /// Address of the called node.
        address: Address,
        /// Error of the exchange.
        source: reqwest::Error,
    },
    /// The node rejected the call.
    #[error("{}", .0.detail)]
    Refused(Box<OperatorProblem>),
    /// The client could not be set up.
    #[error("the HTTP client could not be set up: {0}")]
    Setup(reqwest::Error),
}

/// The module's result.
pub(super) type Result<T> = std::result::Result<T, ClientError>;

/// Client of the operators' API of one node.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: reqwest::Client,
    address: Address,
    key: Box<str>,
}

impl OperatorClient {
    /// Creates a client for the node at an address.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn open(address: Address, key: impl Into<Box<str>>) -> Result<Self> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(ClientError::Setup)?;
        Ok(Self {
            http,
            address,
            key: key.into(),
        })
    }

    /// Returns a client for another node with the same key.
    #[must_use]
    pub fn at(&self, address: Address) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Fetches the document in force, or a given revision.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`] if the node is not reached, its answer is lost or it rejects the call.
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
    /// Fails with a [`ClientError`]; a rejection contains the document's problems or the difference to the
    /// conflicting revision.
    pub async fn publish(&self, body: &PublishBody) -> Result<PublishedBody> {
        let req = self.request(Method::PUT, &["config"]);
        self.send(req.json(body)).await
    }

    /// Fetches the history of stored revisions, latest first.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
    pub async fn history(&self) -> Result<Vec<HistoryEntry>> {
        self.get(&["config", "history"], &[]).await
    }

    /// Fetches the difference between two revisions.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
    pub async fn diff(&self, from: ConfigRevision, to: ConfigRevision) -> Result<DiffBody> {
        self.get(&["config", "diff"], &[("from", from), ("to", to)])
            .await
    }

    /// Fetches the status of the node and its view of the other nodes and the back ends.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
    pub async fn status(&self) -> Result<StatusBody> {
        self.get(&["status"], &[]).await
    }

    /// Fetches the decisions that were made about a request.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
    pub async fn explain(&self, request: &str) -> Result<ExplanationBody> {
        self.get(&["requests", request], &[]).await
    }

    /// Drains the node.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
    pub async fn drain(&self) -> Result<DrainBody> {
        self.send(self.request(Method::POST, &["drain"])).await
    }

    /// Fetches the key hashes of a customer.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
    pub async fn keys(&self, customer: &str) -> Result<KeysBody> {
        self.get(&["customers", customer, "keys"], &[]).await
    }

    /// Adds a key hash to a customer.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
    pub async fn add_key(&self, customer: &str, body: &AddKeyBody) -> Result<KeysBody> {
        let req = self.request(Method::POST, &["customers", customer, "keys"]);
        self.send(req.json(body)).await
    }

    /// Revokes the key of a customer whose hash starts with the digits.
    ///
    /// # Errors
    ///
    /// Fails with a [`ClientError`].
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
