//! Callers: look up gateway addresses, reuse connections, send calls and verify the responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use jayhall::platform::headers;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::backend::{EVENTS_PER_STREAM, expected_body, expected_event, signature};
use crate::config::{CUSTOMERS, HOST, ROUTES, UNITS_PER_CALL, timeout};
use crate::history::{Attempt, Kind, Moment, Outcome};
use crate::world::World;

/// Time for which a caller caches the directory's response.
const DIRECTORY_CACHE_TTL: Duration = Duration::from_millis(1500);
/// Timeout of a directory request.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(500);
/// Range of the pause between two calls of a caller, in milliseconds.
const CALL_PAUSE_MS: std::ops::Range<u64> = 40..160;
/// Probability that a caller abandons a call.
const ABANDON_PROBABILITY: f64 = 0.06;
/// Range of the time after which a caller abandons a call, in milliseconds.
const ABANDON_AFTER_MS: std::ops::Range<u64> = 40..400;
/// Time that a caller waits beyond its deadline, to observe late responses.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(1500);

/// Runs one caller until `is_over` is set.
pub(crate) async fn run(world: Arc<World>, seed: u64, is_over: Arc<AtomicBool>) {
    let mut caller = Caller {
        client: reqwest::Client::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        nodes: Vec::new(),
        resolved_at: None,
        world,
    };
    while !is_over.load(Ordering::Relaxed) {
        caller.refresh_nodes().await;
        caller.call().await;
        let pause = caller.rng.random_range(CALL_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

struct Caller {
    world: Arc<World>,
    client: reqwest::Client,
    rng: ChaCha8Rng,
    /// Nodes in the directory's last response.
    nodes: Vec<usize>,
    resolved_at: Option<Moment>,
}

impl Caller {
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

    async fn call(&mut self) {
        if self.nodes.is_empty() {
            return;
        }
        let node = self.nodes[self.rng.random_range(0..self.nodes.len())];
        let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
        // Half of the calls are sent by the rate-limited customer.
        let customer = match self.rng.random_bool(0.5) {
            true => CUSTOMERS[CUSTOMERS.len() - 1],
            false => CUSTOMERS[self.rng.random_range(0..CUSTOMERS.len() - 1)],
        };
        let id: Box<str> = format!("{:016x}", self.rng.random::<u64>()).into();
        let deadline = timeout(route.kind) + Duration::from_millis(500);
        let address = self.world.nodes[node].caller_link.address();
        let mut req = self
            .client
            .post(format!("http://{address}{}{id}", route.prefix))
            .header("host", HOST)
            .header("authorization", format!("Bearer {}", customer.key))
            .header(headers::ATTEMPT, &*id)
            .header(headers::DEADLINE, deadline.as_millis().to_string())
            .body(expected_body(&id));
        if route.kind.is_stream() {
            let prompt = UNITS_PER_CALL - 20;
            req = req
                .header(headers::MODEL, "m")
                .header(headers::TOKENS, format!("{prompt},20"))
                .header(headers::PARTS, format!("5c1e07a2:{},{id}:80", prompt - 80));
        }
        let abandons = self.rng.random_bool(ABANDON_PROBABILITY);
        let wait = match abandons {
            true => Duration::from_millis(self.rng.random_range(ABANDON_AFTER_MS)),
            false => deadline + LATE_RESPONSE_WAIT,
        };
        let sent = self.world.history.now();
        let outcome = tokio::time::timeout(wait, send_call(req, route.kind, &id)).await;
        let outcome = outcome.unwrap_or(match abandons {
            true => Outcome::Left,
            false => Outcome::Silence,
        });
        let ended = self.world.history.now();
        self.world.history.lock().attempts.push(Attempt {
            id,
            node,
            kind: route.kind,
            customer: customer.name,
            units: UNITS_PER_CALL,
            sent,
            ended,
            deadline,
            outcome,
        });
    }
}

async fn send_call(req: reqwest::RequestBuilder, kind: Kind, id: &str) -> Outcome {
    let Ok(res) = req.send().await else {
        return Outcome::NoAnswer;
    };
    let status = res.status();
    let signature_header = res.headers().get(headers::SIGNATURE);
    let is_signed = signature_header.is_some_and(|value| *value == *signature(id));
    let is_foreign = signature_header.is_some() && !is_signed;
    let Ok(body) = read_body(res).await else {
        return Outcome::BrokenOff;
    };
    let expected = match kind.is_stream() {
        true => (1..=EVENTS_PER_STREAM)
            .map(|event| expected_event(id, event))
            .collect(),
        false => expected_body(id),
    };
    let fault = if is_foreign {
        Some("the signature belongs to another call".into())
    } else if status.is_success() && !is_signed {
        Some("the signature is missing".into())
    } else if status.is_success() && body != expected.as_bytes() {
        let text = String::from_utf8_lossy(&body);
        Some(format!("unexpected body: {text:?}").into())
    } else {
        None
    };
    Outcome::Answered {
        status: status.as_u16(),
        is_signed,
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
