//! Callers: look up gateway addresses, reuse connections, send calls and verify the responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use jayhall::platform::headers;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::backend::{EVENTS, expected_body, expected_event, signature};
use crate::config::{CUSTOMERS, HOST, ROUTES, UNITS, timeout};
use crate::history::{Attempt, Kind, Moment, Outcome};
use crate::world::World;

/// Time for which a caller caches the directory's response.
const DIRECTORY_KEPT: Duration = Duration::from_millis(1500);
/// Timeout of a directory request.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(500);
/// Range of the pause between two calls of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 40..160;
/// Probability that a caller abandons a call.
const LEAVES: f64 = 0.06;
/// Range of the time after which a caller abandons a call, in milliseconds.
const LEAVES_AFTER_MS: std::ops::Range<u64> = 40..400;
/// Time that a caller waits beyond its deadline, to observe late responses.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Runs one caller until `is_over` is set.
pub(crate) async fn run(world: Arc<World>, seed: u64, is_over: Arc<AtomicBool>) {
    let mut caller = Caller {
        client: reqwest::Client::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        nodes: Vec::new(),
        asked: None,
        world,
    };
    while !is_over.load(Ordering::Relaxed) {
        caller.ask_directory().await;
        caller.call().await;
        let pause = caller.rng.random_range(PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

struct Caller {
    world: Arc<World>,
    client: reqwest::Client,
    rng: ChaCha8Rng,
    /// Nodes in the directory's last response.
    nodes: Vec<usize>,
    asked: Option<Moment>,
}

impl Caller {
    async fn ask_directory(&mut self) {
        let now = self.world.history.now();
        if self
            .asked
            .is_some_and(|asked| now.saturating_sub(asked) < DIRECTORY_KEPT)
        {
            return;
        }
        let node = self.rng.random_range(0..self.world.nodes.len());
        let directory = self.world.nodes[node].directory;
        let url = format!("http://{directory}/resolve?name={HOST}&region=r1&zone=z1");
        let answer = async { self.client.get(url).send().await?.json::<Value>().await };
        // If the request fails, the caller continues with the cached response.
        if let Ok(Ok(answer)) = tokio::time::timeout(DIRECTORY_TIMEOUT, answer).await {
            let named: Vec<_> = answer["addresses"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|address| address.as_str()?.parse().ok())
                .collect();
            let nodes = self.world.nodes.iter();
            self.nodes = nodes
                .filter(|node| named.contains(&node.callers))
                .map(|node| node.number)
                .collect();
            self.asked = Some(now);
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
        let address = self.world.nodes[node].front.address();
        let mut req = self
            .client
            .post(format!("http://{address}{}{id}", route.prefix))
            .header("host", HOST)
            .header("authorization", format!("Bearer {}", customer.key))
            .header(headers::ATTEMPT, &*id)
            .header(headers::DEADLINE, deadline.as_millis().to_string())
            .body(expected_body(&id));
        if route.kind.is_stream() {
            let prompt = UNITS - 20;
            req = req
                .header(headers::MODEL, "m")
                .header(headers::TOKENS, format!("{prompt},20"))
                .header(headers::PARTS, format!("5c1e07a2:{},{id}:80", prompt - 80));
        }
        let leaves = self.rng.random_bool(LEAVES);
        let patience = match leaves {
            true => Duration::from_millis(self.rng.random_range(LEAVES_AFTER_MS)),
            false => deadline + PATIENCE,
        };
        let sent = self.world.history.now();
        let outcome = tokio::time::timeout(patience, fetch(req, route.kind, &id)).await;
        let outcome = outcome.unwrap_or(match leaves {
            true => Outcome::Left,
            false => Outcome::Silence,
        });
        let ended = self.world.history.now();
        self.world.history.lock().attempts.push(Attempt {
            id,
            node,
            kind: route.kind,
            customer: customer.name,
            units: UNITS,
            sent,
            ended,
            deadline,
            outcome,
        });
    }
}

async fn fetch(req: reqwest::RequestBuilder, kind: Kind, id: &str) -> Outcome {
    let Ok(res) = req.send().await else {
        return Outcome::NoAnswer;
    };
    let status = res.status();
    let sealed = res.headers().get(headers::SIGNATURE);
    let is_signed = sealed.is_some_and(|seal| *seal == *signature(id));
    let is_foreign = sealed.is_some() && !is_signed;
    let Ok(body) = read(res).await else {
        return Outcome::BrokenOff;
    };
    let expected = match kind.is_stream() {
        true => (1..=EVENTS)
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

async fn read(res: reqwest::Response) -> reqwest::Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut chunks = res.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body)
}
