//! A caller: looks up gateway addresses, reuses connections, sends calls and verifies the responses.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use jayhall::platform::headers;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::bodies::{plain_body, response_body, signature};
use crate::config::{Customer, HOST, Route, UNITS_PER_CALL, timeout};
use crate::history::{Attempt, AttemptId, Kind, Moment, Outcome};
use crate::world::World;

/// Time for which a caller caches the directory's response.
const DIRECTORY_CACHE_TTL: Duration = Duration::from_millis(1500);
/// Timeout of a directory request.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that the deadline which a caller sends exceeds the timeout of the route.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Time that a caller waits beyond its deadline, to observe late responses.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(1500);

/// A call that a caller is about to send.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: AttemptId,
    pub(crate) node: usize,
    pub(crate) route: Route,
    pub(crate) customer: Customer,
    /// Time after which the caller abandons the call; `None` if it waits for the response.
    pub(crate) abandoned_after: Option<Duration>,
}

impl Call {
    /// Returns the deadline that the caller sends.
    pub(crate) fn deadline(&self) -> Duration {
        timeout(self.route.kind) + DEADLINE_MARGIN
    }
}

/// A caller with connections of its own.
pub(crate) struct Caller {
    pub(crate) world: Arc<World>,
    pub(crate) rng: ChaCha8Rng,
    client: reqwest::Client,
    /// Nodes in the directory's last response.
    nodes: Vec<usize>,
    resolved_at: Option<Moment>,
}

impl Caller {
    pub(crate) fn new(world: Arc<World>, seed: u64) -> Self {
        Self {
            client: reqwest::Client::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            resolved_at: None,
            world,
        }
    }

    /// Selects one of the nodes that the directory lists. Returns `None` if it lists none.
    pub(crate) async fn pick_node(&mut self) -> Option<usize> {
        self.refresh_nodes().await;
        match self.nodes.len() {
            0 => None,
            count => Some(self.nodes[self.rng.random_range(0..count)]),
        }
    }

    /// Draws the ID of a call.
    pub(crate) fn draw_id(&mut self) -> AttemptId {
        format!("{:016x}", self.rng.random::<u64>()).into()
    }

    /// Returns the future that sends a call, waits for its end and records it.
    pub(crate) fn send(&self, call: Call) -> impl Future<Output = Outcome> + use<> {
        let req = self.request(&call);
        let wait = call
            .abandoned_after
            .unwrap_or(call.deadline() + LATE_RESPONSE_WAIT);
        let world = Arc::clone(&self.world);
        async move {
            let sent = world.history.now();
            let answer = read_answer(req, call.route.kind, &call.id);
            let outcome = tokio::time::timeout(wait, answer).await;
            let outcome = outcome.unwrap_or(match call.abandoned_after {
                Some(_) => Outcome::Left,
                None => Outcome::Silence,
            });
            record(&world, call, sent, outcome.clone());
            outcome
        }
    }

    async fn refresh_nodes(&mut self) {
        let now = self.world.history.now();
        if self
            .resolved_at
            .is_some_and(|resolved_at| now.saturating_sub(resolved_at) < DIRECTORY_CACHE_TTL)
        {
            return;
        }
        let node = self.rng.random_range(0..self.world.nodes.len());
        let directory = self.world.nodes[node].directory;
        let url = format!("http://{directory}/resolve?name={HOST}&region=r1&zone=z1");
        let answer = async { self.client.get(url).send().await?.json::<Value>().await };
        // If the request fails, the caller continues with the cached response.
        if let Ok(Ok(answer)) = tokio::time::timeout(DIRECTORY_TIMEOUT, answer).await {
            let resolved: Vec<_> = answer["addresses"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|address| address.as_str()?.parse().ok())
                .collect();
            let nodes = self.world.nodes.iter();
            self.nodes = nodes
                .filter(|node| resolved.contains(&node.callers))
                .map(|node| node.number)
                .collect();
            self.resolved_at = Some(now);
        }
    }

    fn request(&self, call: &Call) -> reqwest::RequestBuilder {
        let Call { id, route, .. } = call;
        let address = self.world.nodes[call.node].caller_link.address();
        let req = self
            .client
            .post(format!("http://{address}{}{id}", route.prefix))
            .header("host", HOST)
            .header("authorization", format!("Bearer {}", call.customer.key))
            .header(headers::ATTEMPT, &**id)
            .header(headers::DEADLINE, call.deadline().as_millis().to_string())
            .body(plain_body(id));
        if !route.kind.is_stream() {
            return req;
        }
        let prompt = UNITS_PER_CALL - 20;
        req.header(headers::MODEL, "m")
            .header(headers::TOKENS, format!("{prompt},20"))
            .header(headers::PARTS, format!("5c1e07a2:{},{id}:80", prompt - 80))
    }
}

/// Records the end of a call.
pub(crate) fn record(world: &World, call: Call, sent: Moment, outcome: Outcome) {
    let ended = world.history.now();
    world.history.lock().attempts.push(Attempt {
        deadline: call.deadline(),
        id: call.id,
        node: call.node,
        kind: call.route.kind,
        customer: call.customer.name,
        units: UNITS_PER_CALL,
        sent,
        ended,
        outcome,
    });
}

async fn read_answer(req: reqwest::RequestBuilder, kind: Kind, id: &str) -> Outcome {
    let Ok(res) = req.send().await else {
        return Outcome::NoAnswer;
    };
    let status = res.status();
    let signed = res.headers().get(headers::SIGNATURE);
    let signed = signed.map(|value| *value == *signature(id));
    let Ok(body) = read_body(res).await else {
        return Outcome::BrokenOff;
    };
    verify(status.as_u16(), signed, &body, kind, id)
}

/// Returns the outcome of a complete response. `signed` is whether its signature belongs to the call, or `None` if it
/// has none.
pub(crate) fn verify(
    status: u16,
    signed: Option<bool>,
    body: &[u8],
    kind: Kind,
    id: &str,
) -> Outcome {
    let is_success = (200..300).contains(&status);
    let fault = if signed == Some(false) {
        Some("the signature belongs to another call".into())
    } else if is_success && signed.is_none() {
        Some("the signature is missing".into())
    } else if is_success && body != response_body(kind, id) {
        let text = String::from_utf8_lossy(&body[..body.len().min(4000)]);
        Some(format!("unexpected body of {} bytes: {text:?}", body.len()).into())
    } else {
        None
    };
    Outcome::Answered {
        status,
        is_signed: signed == Some(true),
        fault,
    }
}

async fn read_body(res: reqwest::Response) -> reqwest::Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut chunks = res.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body)
}
