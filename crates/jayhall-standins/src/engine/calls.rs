//! The engine's calls.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use salvo::http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Shared;
use super::batch::Rejection;
use super::job::{Job, JobKey, JobState, Progress};
use super::orders::Order;
use super::stream::Reader;
use super::text::{Message, Script, context_hash, prompt_tokens};
use crate::server::{Answer, Call};

/// Answer length where the request names none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Priority where the request names none.
const DEFAULT_PRIORITY: u32 = 1;
/// When to come back after 429, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: Box<str>,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    request_id: Option<Box<str>>,
    #[serde(default)]
    attempt: u32,
    #[serde(default)]
    priority: Option<u32>,
    #[serde(default)]
    prior_tokens: Vec<Box<str>>,
    #[serde(default)]
    kv_blob: Option<Box<str>>,
}

/// What a KV blob says: how many leading tokens it covers, and their hash.
#[derive(Debug, Serialize, Deserialize)]
struct KvBlob {
    tokens: u32,
    hash: u64,
}

#[derive(Debug, Deserialize)]
struct ExportRequest {
    request_id: Box<str>,
}

pub(super) async fn answer(shared: &Arc<Shared>, call: Call) -> Answer {
    let segments = call.segments();
    match (&call.method, segments.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => chat(shared, &call).await,
        (&Method::GET, ["v1", "streams", id]) => attach(shared, id, &call),
        (&Method::DELETE, ["v1", "streams", id]) => cancel(shared, id, &call),
        (&Method::POST, ["v1", "kv", "export"]) => export(shared, &call),
        (&Method::GET, ["v1", "load"]) => load(shared),
        (&Method::GET, ["v1", "cache", "events"]) => events(shared, &call),
        (&Method::GET, ["v1", "models"]) => models(shared),
        (&Method::POST, ["v1", "orders"]) => order(shared, &call),
        (&Method::GET, ["v1", "records"]) => Answer::ok(&shared.batch.lock().records()),
        (&Method::GET, ["test", "orders"]) => Answer::ok(&shared.orders.lock().log),
        (&Method::POST, ["test", "clear_cache"]) => {
            shared.batch.lock().clear_cache(Instant::now());
            Answer::ok(&json!({}))
        }
        _ => Answer::not_found(),
    }
}

async fn chat(shared: &Arc<Shared>, call: &Call) -> Answer {
    let req: ChatRequest = match call.json() {
        Ok(req) => req,
        Err(answer) => return answer,
    };
    if shared.faults.get().leaving {
        return Answer::error(StatusCode::SERVICE_UNAVAILABLE, "takes no new work");
    }
    let ready = shared.orders.lock().ready(Instant::now());
    if !ready.iter().any(|m| m.id == req.model) {
        return Answer::error(StatusCode::NOT_FOUND, "model is not loaded");
    }
    let streams = req.stream;
    let prior = req.prior_tokens.len() as u32;
    let reader = match submit(shared, req) {
        Ok(reader) => reader,
        Err(rejection) => return rejected(rejection),
    };
    shared.wake.notify_one();
    if streams {
        return Answer::Stream("text/event-stream", reader.events(prior));
    }
    match reader.whole().await {
        Ok(value) => Answer::ok(&value),
        Err(progress) if progress.state == JobState::Died => Answer::Close,
        Err(progress) => {
            let message = format!("ended early: {:?}", progress.state);
            Answer::error(StatusCode::CONFLICT, &message)
        }
    }
}

fn submit(shared: &Arc<Shared>, req: ChatRequest) -> Result<Reader, Rejection> {
    let job = new_job(req);
    let key = job.key.clone();
    let mut batch = shared.batch.lock();
    batch.submit(job, Instant::now())?;
    let job = batch.job_mut(&key).ok_or(Rejection::Full)?;
    Ok(Reader::attach(shared.clone(), job))
}

fn new_job(req: ChatRequest) -> Job {
    let mut context = prompt_tokens(&req.messages);
    let max_tokens = req.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let script = Script::new(&req.model, &context, max_tokens);
    let prior = req.prior_tokens.len() as u32;
    context.extend(req.prior_tokens);
    let imported = req.kv_blob.map(|blob| covered(&blob, &req.model, &context));
    let progress = Progress {
        made: prior,
        prompt_tokens: context.len() as u32,
        cached_tokens: 0,
        state: JobState::Waiting,
    };
    let id = req.request_id.unwrap_or_else(random_id);
    Job {
        key: (id, req.attempt),
        model: req.model,
        priority: req.priority.unwrap_or(DEFAULT_PRIORITY),
        arrival: 0,
        script,
        prior,
        context,
        imported: imported.unwrap_or(0),
        prefill_left: 0.0,
        readers: 0,
        unread_since: None,
        progress: watch::Sender::new(progress),
    }
}

fn random_id() -> Box<str> {
    format!("engine-{:016x}", rand::random::<u64>()).into()
}

/// Returns how many leading tokens of the context a blob covers; 0 where it is of another context.
fn covered(blob: &str, model: &str, context: &[Box<str>]) -> u32 {
    let bytes = BASE64.decode(blob).unwrap_or_default();
    let Ok(blob) = serde_json::from_slice::<KvBlob>(&bytes) else {
        return 0;
    };
    match context.get(..blob.tokens as usize) {
        Some(tokens) if context_hash(model, tokens) == blob.hash => blob.tokens,
        _ => 0,
    }
}

fn rejected(rejection: Rejection) -> Answer {
    match rejection {
        Rejection::Full => {
            let error = json!({"error": {"code": 429, "message": "no slot and no place to wait"}});
            Answer::RetryAfter(RETRY_AFTER_SECONDS, error)
        }
        Rejection::TooLong => Answer::error(StatusCode::BAD_REQUEST, "prompt is too long"),
        Rejection::Duplicate => Answer::error(StatusCode::CONFLICT, "this attempt exists"),
    }
}

fn attach(shared: &Arc<Shared>, id: &str, call: &Call) -> Answer {
    let number = |name| call.query(name).and_then(|n| n.parse().ok());
    let key: JobKey = (id.into(), number("attempt").unwrap_or(0));
    let mut batch = shared.batch.lock();
    let Some(job) = batch.job_mut(&key) else {
        return Answer::error(StatusCode::NOT_FOUND, "no such stream");
    };
    let from = number("from").unwrap_or(job.prior).max(job.prior);
    let reader = Reader::attach(shared.clone(), job);
    Answer::Stream("text/event-stream", reader.events(from))
}

/// Cancels all attempts of a request, or the one named; the answer counts the tokens of the last.
fn cancel(shared: &Arc<Shared>, id: &str, call: &Call) -> Answer {
    let only: Option<u32> = call.query("attempt").and_then(|n| n.parse().ok());
    let mut batch = shared.batch.lock();
    let mut keys = batch.attempts(id);
    keys.retain(|(_, attempt)| only.is_none_or(|only| only == *attempt));
    let mut tokens = None;
    for key in &keys {
        tokens = batch.end(key, JobState::Cancelled, Instant::now());
    }
    shared.wake.notify_one();
    match tokens {
        Some(tokens) => Answer::ok(&json!({"tokens": tokens})),
        None => Answer::error(StatusCode::NOT_FOUND, "no such stream"),
    }
}

fn export(shared: &Arc<Shared>, call: &Call) -> Answer {
    if !shared.settings.exports_kv {
        return Answer::error(StatusCode::NOT_IMPLEMENTED, "cannot export KV cache");
    }
    let req: ExportRequest = match call.json() {
        Ok(req) => req,
        Err(answer) => return answer,
    };
    let mut batch = shared.batch.lock();
    let Some(key) = batch.attempts(&req.request_id).pop() else {
        return Answer::error(StatusCode::NOT_FOUND, "no such stream");
    };
    let Some(tokens) = batch.job_mut(&key).and_then(exportable_tokens) else {
        return Answer::error(StatusCode::CONFLICT, "has no KV cache to export");
    };
    let job = batch.job_mut(&key).map(|job| job.model.clone());
    let blob = KvBlob {
        tokens: tokens.len() as u32,
        hash: context_hash(&job.unwrap_or_default(), &tokens),
    };
    let made = batch.end(&key, JobState::Exported, Instant::now());
    shared.wake.notify_one();
    Answer::ok(&json!({
        "kv_blob": BASE64.encode(json!(blob).to_string()),
        "tokens": made,
        "bytes": u64::from(blob.tokens) * shared.settings.kv_bytes_per_token,
    }))
}

/// Returns the tokens whose KV cache a running attempt holds.
fn exportable_tokens(job: &mut Job) -> Option<Vec<Box<str>>> {
    if job.progress().state != JobState::Running || job.is_prefilling() {
        return None;
    }
    let made = job.prior..job.progress().made;
    let mut tokens = job.context.clone();
    tokens.extend(made.map(|offset| job.script.token(offset).into()));
    Some(tokens)
}

fn load(shared: &Arc<Shared>) -> Answer {
    let (load, age) = shared.batch.lock().lagging_load(Instant::now());
    let mut value = json!(load);
    value["as_of"] = json!(unix_millis().saturating_sub(age.as_millis() as u64));
    Answer::ok(&value)
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or(Duration::ZERO).as_millis() as u64
}

fn events(shared: &Arc<Shared>, call: &Call) -> Answer {
    let after = call.query("after").and_then(|n| n.parse().ok());
    let events = shared
        .batch
        .lock()
        .events
        .read(after.unwrap_or(0), Instant::now());
    let last_seq = events.last().map_or(after.unwrap_or(0), |e| e.seq);
    Answer::ok(&json!({"events": events, "last_seq": last_seq}))
}

fn models(shared: &Arc<Shared>) -> Answer {
    let orders = shared.orders.lock();
    let ready = orders.ready(Instant::now());
    Answer::ok(&json!({"object": "list", "data": ready, "role": orders.role}))
}

fn order(shared: &Arc<Shared>, call: &Call) -> Answer {
    let order: Order = match call.json() {
        Ok(order) => order,
        Err(answer) => return answer,
    };
    let mut orders = shared.orders.lock();
    match orders.carry_out(order, &shared.settings, Instant::now()) {
        Ok(()) => Answer::ok(&json!({"highest_fence": orders.highest_fence})),
        Err(highest) => Answer::Json(StatusCode::CONFLICT, json!({"highest_fence": highest})),
    }
}
