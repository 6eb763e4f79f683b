//! Client that follows the API's protocol: rotates over the nodes and resumes interrupted answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use eyre::{Result, bail, eyre};
use futures::StreamExt;
use reqwest::header::{ACCEPT, AUTHORIZATION, RETRY_AFTER};
use serde_json::{Value, json};
use tokio::time::timeout;

/// Idle timeout of a stream, after which the caller resumes it on another node.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Overall timeout of a request, including resumes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of attempts to submit a request.
const MAX_ATTEMPTS: usize = 12;
/// Delay before a resume or another attempt to submit a request.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);

/// A request for a model's answer.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Name of the model.
    pub model: String,
    /// Prompt text.
    pub text: String,
    /// Rank of the request; if empty, the customer's first rank applies.
    pub rank: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub is_stream: bool,
}

/// Result of a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// ID of the request.
    pub id: String,
    /// HTTP status of the first response.
    pub status: u16,
    /// Text received so far.
    pub text: String,
    /// Whether the answer was received completely.
    pub is_whole: bool,
    /// Problem document, if the request was refused or failed.
    pub problem: Option<Value>,
    /// Usage charged for the request.
    pub usage: Option<Value>,
    /// Number of resumes.
    pub resumes: u32,
    /// Time to the first text.
    pub first_text: Option<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Times between events with text.
    pub intervals: Vec<Duration>,
}

/// Result of a call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, as text.
    pub body: String,
    /// ID of the call.
    pub id: String,
    /// Value of the `Retry-After` header in seconds.
    pub retry_after: Option<u64>,
}

/// A caller with an API key.
#[derive(Debug)]
pub struct Caller {
    http: reqwest::Client,
    key: String,
    nodes: Vec<SocketAddr>,
    round_robin: RoundRobin,
}

/// Round-robin counter.
#[derive(Debug, Default)]
struct RoundRobin(AtomicUsize);

impl RoundRobin {
    fn next(&self, of: usize) -> usize {
        self.0.fetch_add(1, Ordering::Relaxed) % of.max(1)
    }
}

enum Read {
    Whole,
    Problem(Value),
    /// The response ended early. Holds the address of the node to resume at, if one was named.
    Cut(Option<String>),
}

impl Caller {
    /// Creates a caller that selects nodes round-robin.
    pub fn new(key: &str, nodes: Vec<SocketAddr>) -> Self {
        Self {
            http: reqwest::Client::builder()
                .no_proxy()
                .redirect(reqwest::redirect::Policy::none())
                .connect_timeout(Duration::from_secs(1))
                .build()
                .unwrap_or_default(),
            key: key.to_owned(),
            nodes,
            round_robin: RoundRobin::default(),
        }
    }

    /// Moves `node` to the front of the rotation.
    #[must_use]
    pub fn starting_at(mut self, node: SocketAddr) -> Self {
        self.nodes.retain(|known| *known != node);
        self.nodes.insert(0, node);
        self
    }

    /// Replaces the nodes of the caller.
    #[must_use]
    pub fn with_nodes(mut self, nodes: Vec<SocketAddr>) -> Self {
        self.nodes = nodes;
        self
    }

    fn node(&self) -> SocketAddr {
        self.nodes[self.round_robin.next(self.nodes.len())]
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }

    /// Sends a request and resumes the answer until it is complete or refused.
    ///
    /// # Errors
    ///
    /// Fails if no node can be reached or the answer is not complete within the timeout.
    pub async fn ask(&self, ask: &Ask) -> Result<Answer> {
        let mut answer = Answer::default();
        match timeout(REQUEST_TIMEOUT, self.ask_until_complete(ask, &mut answer)).await {
            Ok(outcome) => outcome.map(|()| answer),
            Err(_) => bail!(
                "no end of the answer of request {} within {REQUEST_TIMEOUT:?}: {} of its words arrived, it \
                 was resumed {} times",
                answer.id,
                next_offset(&answer),
                answer.resumes
            ),
        }
    }

    async fn ask_until_complete(&self, ask: &Ask, answer: &mut Answer) -> Result<()> {
        let begun = Instant::now();
        let mut body = json!({
            "model": ask.model, "max_tokens": ask.max_tokens, "stream": ask.is_stream,
            "messages": [{"role": "user", "content": ask.text}],
        });
        if !ask.rank.is_empty() {
            body["rank"] = json!(ask.rank);
        }
        let res = self.post_anywhere("/v1/chat/completions", &body).await?;
        answer.status = res.status().as_u16();
        answer.id = header(&res, "x-request-id");
        let mut read = self.read(res, answer, begun).await;
        loop {
            match read {
                Read::Whole => {
                    answer.is_whole = true;
                    break;
                }
                Read::Problem(problem) => {
                    answer.problem = Some(problem);
                    break;
                }
                Read::Cut(address) => {
                    answer.resumes += 1;
                    read = self.resume(answer, address, ask.is_stream, begun).await;
                }
            }
        }
        answer.total = begun.elapsed();
        Ok(())
    }

    /// Posts to the first reachable node. Trying another node after a failed connection is safe because the
    /// request was not executed.
    async fn post_anywhere(&self, path: &str, body: &Value) -> Result<reqwest::Response> {
        let mut last = None;
        let mut tries = 0;
        for node in self
            .nodes
            .iter()
            .cycle()
            .skip(self.round_robin.next(self.nodes.len()))
        {
            if tries >= MAX_ATTEMPTS {
                break;
            }
            tries += 1;
            let sent = self
                .http
                .post(format!("http://{node}{path}"))
                .header(AUTHORIZATION, self.bearer())
                .json(body)
                .send()
                .await;
            match sent {
                Ok(res) if should_try_another_node(&res) && tries < MAX_ATTEMPTS => {
                    tokio::time::sleep(RESUME_INTERVAL).await;
                }
                Ok(res) => return Ok(res),
                Err(e) if e.is_connect() => last = Some(e),
                Err(e) => return Err(e.into()),
            }
        }
        bail!("no node can be reached: {last:?}")
    }

    async fn resume(
        &self,
        answer: &mut Answer,
        address: Option<String>,
        is_stream: bool,
        begun: Instant,
    ) -> Read {
        if answer.id.is_empty() {
            return Read::Problem(json!({"detail": "the connection ended before the id arrived"}));
        }
        if address.is_none() {
            tokio::time::sleep(RESUME_INTERVAL).await;
        }
        let node = address.unwrap_or_else(|| self.node().to_string());
        let mut req = self
            .http
            .get(format!("http://{node}/v1/requests/{}", answer.id))
            .header(AUTHORIZATION, self.bearer());
        if is_stream {
            req = req.header(ACCEPT, "text/event-stream");
            if let Some(last) = next_offset(answer).checked_sub(1) {
                req = req.header("last-event-id", last.to_string());
            }
        }
        match req.send().await {
            Ok(res) => self.read(res, answer, begun).await,
            Err(_) => Read::Cut(None),
        }
    }

    async fn read(&self, res: reqwest::Response, answer: &mut Answer, begun: Instant) -> Read {
        if res.status().is_redirection() {
            let location = header(&res, "location");
            let address = location
                .strip_prefix("http://")
                .and_then(|rest| rest.split('/').next())
                .map(str::to_owned);
            return Read::Cut(address);
        }
        if !res.status().is_success() {
            return match res.json().await {
                Ok(problem) => Read::Problem(problem),
                Err(_) => Read::Cut(None),
            };
        }
        if header(&res, "content-type").starts_with("text/event-stream") {
            return read_events(res, answer, begun).await;
        }
        match res.json::<Value>().await {
            Ok(body) => {
                let text = body["choices"][0]["message"]["content"].as_str();
                answer.text = text.unwrap_or_default().to_owned();
                answer.usage = Some(body["usage"].clone());
                answer.first_text = Some(begun.elapsed());
                Read::Whole
            }
            Err(_) => Read::Cut(None),
        }
    }

    /// Calls a plain service with an idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends without a response.
    pub async fn call(&self, service: &str, key: &str, body: &Value) -> Result<ServiceAnswer> {
        let node = self.node();
        self.call_at(node, service, key, body).await
    }

    /// Calls a plain service through the given node.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends without a response.
    pub async fn call_at(
        &self,
        node: SocketAddr,
        service: &str,
        key: &str,
        body: &Value,
    ) -> Result<ServiceAnswer> {
        let mut req = self
            .http
            .post(format!("http://{node}/v1/services/{service}"))
            .header(AUTHORIZATION, self.bearer())
            .json(body);
        if !key.is_empty() {
            req = req.header("idempotency-key", key);
        }
        let res = req.send().await?;
        Ok(ServiceAnswer {
            status: res.status().as_u16(),
            id: header(&res, "x-request-id"),
            retry_after: res
                .headers()
                .get(RETRY_AFTER)
                .and_then(|value| value.to_str().ok()?.parse().ok()),
            body: res.text().await?,
        })
    }

    /// Gets a JSON document from any node.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond with JSON.
    pub async fn get(&self, path: &str) -> Result<Value> {
        let res = self
            .http
            .get(format!("http://{}{path}", self.node()))
            .header(AUTHORIZATION, self.bearer())
            .send()
            .await?;
        Ok(res.json().await?)
    }

    /// Returns the sentences of the explanation of a request.
    ///
    /// # Errors
    ///
    /// Fails if the node returns no explanation for the request.
    pub async fn explain(&self, id: &str) -> Result<Vec<String>> {
        let body = self.get(&format!("/v1/requests/{id}/explanation")).await?;
        let sentences = body["sentences"]
            .as_array()
            .ok_or_else(|| eyre!("no explanation of {id}: {body}"))?;
        Ok(sentences
            .iter()
            .filter_map(|sentence| Some(sentence.as_str()?.to_owned()))
            .collect())
    }
}

/// Returns the offset of the next token. A token is a word with its preceding whitespace.
fn next_offset(answer: &Answer) -> usize {
    answer.text.split_whitespace().count()
}

async fn read_events(res: reqwest::Response, answer: &mut Answer, begun: Instant) -> Read {
    let mut events = res.bytes_stream().eventsource();
    let mut last = Instant::now();
    loop {
        let Ok(Some(Ok(event))) = timeout(STREAM_IDLE_TIMEOUT, events.next()).await else {
            return Read::Cut(None);
        };
        if event.data == "[DONE]" {
            return Read::Whole;
        }
        let Ok(data) = serde_json::from_str::<Value>(&event.data) else {
            continue;
        };
        match event.event.as_str() {
            "error" => return Read::Problem(data),
            "moved" => return Read::Cut(data["address"].as_str().map(str::to_owned)),
            _ => {}
        }
        if let Some(text) = data["choices"][0]["delta"]["content"].as_str() {
            let now = Instant::now();
            match answer.first_text {
                None => answer.first_text = Some(begun.elapsed()),
                Some(_) => answer.intervals.push(now - last),
            }
            last = now;
            answer.text.push_str(text);
        }
        if data["usage"].is_object() {
            answer.usage = Some(data["usage"].clone());
        }
    }
}

/// Returns whether a node refused the request because it is leaving or not ready. The request was not
/// executed and can be sent to another node.
fn should_try_another_node(res: &reqwest::Response) -> bool {
    header(res, "x-try-another-node") == "yes"
}

fn header(res: &reqwest::Response, name: &str) -> String {
    res.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
