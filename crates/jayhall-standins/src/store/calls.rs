//! The store's calls.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::Shared;
use super::data::{Refusal, number, object};
use super::watch;
use super::wire::{
    DeleteRequest, LeaseRequest, Operation, PutRequest, RangeRequest, TxnRequest, WatchRequest,
};
use crate::server::{Answer, Call};

/// Result of a call; both sides are answers.
type Reply = Result<Answer, Answer>;

/// Whether a call counts towards the limit of reads or of writes.
enum Kind {
    Read,
    Write,
}

pub(super) fn answer(shared: &Arc<Shared>, call: &Call) -> Answer {
    if call.path.as_ref() == "/counters" {
        return Answer::ok(&*shared.counters.lock());
    }
    if shared.faults.get().outage {
        return error(StatusCode::SERVICE_UNAVAILABLE, 14, "etcdserver: no leader");
    }
    if call.method != Method::POST {
        return Answer::not_found();
    }
    shared.data.lock().expire(Instant::now());
    let reply = dispatch(shared, call);
    shared.publish();
    reply.unwrap_or_else(|answer| answer)
}

fn dispatch(shared: &Arc<Shared>, call: &Call) -> Reply {
    match call.segments().as_slice() {
        ["v3", "kv", "range"] => range(shared, &call.json()?),
        ["v3", "kv", "put"] => put(shared, call.json()?),
        ["v3", "kv", "deleterange"] => delete(shared, call.json()?),
        ["v3", "kv", "txn"] => txn(shared, &call.json()?),
        ["v3", "lease", "grant"] => grant(shared, &call.json()?),
        ["v3", "lease", "keepalive"] => keepalive(shared, &call.json()?),
        ["v3", "lease" | "kv", .., "revoke"] => revoke(shared, &call.json()?),
        ["v3", "lease" | "kv", .., "timetolive"] => time_to_live(shared, &call.json()?),
        ["v3", "watch"] => open_watch(shared, call.json()?),
        _ => Err(Answer::not_found()),
    }
}

fn error(status: StatusCode, code: u32, message: &str) -> Answer {
    Answer::Json(
        status,
        json!({"error": message, "code": code, "message": message}),
    )
}

fn refused(refusal: Refusal) -> Answer {
    match refusal {
        Refusal::TooLarge => error(
            StatusCode::BAD_REQUEST,
            3,
            "etcdserver: request is too large",
        ),
        Refusal::NoSuchLease => error(
            StatusCode::NOT_FOUND,
            5,
            "etcdserver: requested lease not found",
        ),
        Refusal::LeaseExists => error(
            StatusCode::BAD_REQUEST,
            9,
            "etcdserver: lease already exists",
        ),
    }
}

/// Counts a call towards its limit.
fn admit(shared: &Shared, kind: Kind) -> Result<(), Answer> {
    let now = Instant::now();
    let mut counters = shared.counters.lock();
    let is_admitted = match kind {
        Kind::Read => shared.reads.lock().take(counters.watches_open, now),
        Kind::Write => shared.writes.lock().take(0, now),
    };
    match kind {
        _ if !is_admitted => counters.limited += 1,
        Kind::Read => counters.reads += 1,
        Kind::Write => counters.writes += 1,
    }
    if is_admitted {
        return Ok(());
    }
    let message = "etcdserver: too many requests";
    Err(error(StatusCode::TOO_MANY_REQUESTS, 8, message))
}

fn range(shared: &Shared, req: &RangeRequest) -> Reply {
    admit(shared, Kind::Read)?;
    Ok(Answer::ok(&shared.data.lock().range(req)))
}

fn put(shared: &Shared, req: PutRequest) -> Reply {
    write_one(shared, Operation::Put(req), "response_put")
}

fn delete(shared: &Shared, req: DeleteRequest) -> Reply {
    write_one(shared, Operation::Delete(req), "response_delete_range")
}

fn write_one(shared: &Shared, operation: Operation, field: &str) -> Reply {
    admit(shared, Kind::Write)?;
    count_bytes(shared, std::slice::from_ref(&operation));
    let answers = shared.data.lock().apply(&[operation]).map_err(refused)?;
    Ok(Answer::ok(&answers[0][field]))
}

fn txn(shared: &Shared, req: &TxnRequest) -> Reply {
    admit(shared, Kind::Write)?;
    let mut data = shared.data.lock();
    let succeeded = req.compare.iter().all(|compare| data.holds(compare));
    let operations = if succeeded {
        &req.success
    } else {
        &req.failure
    };
    count_bytes(shared, operations);
    let responses = data.apply(operations).map_err(refused)?;
    Ok(Answer::ok(&object([
        ("header", data.header()),
        ("succeeded", json!(succeeded)),
        ("responses", json!(responses)),
    ])))
}

fn count_bytes(shared: &Shared, operations: &[Operation]) {
    let written = operations.iter().map(|operation| match operation {
        Operation::Put(req) => req.value.0.len() as u64,
        Operation::Range(_) | Operation::Delete(_) => 0,
    });
    shared.counters.lock().value_bytes_written += written.sum::<u64>();
}

fn grant(shared: &Shared, req: &LeaseRequest) -> Reply {
    admit(shared, Kind::Write)?;
    let ttl = Duration::from_secs(req.ttl.0.max(1) as u64);
    let mut data = shared.data.lock();
    let id = data.grant(req.id.0, ttl, Instant::now()).map_err(refused)?;
    shared.leases_changed.notify_one();
    Ok(Answer::ok(&lease_json(data.header(), id, ttl)))
}

fn lease_json(header: Value, id: i64, ttl: Duration) -> Value {
    object([
        ("header", header),
        ("ID", number(id)),
        ("TTL", number(ttl.as_secs() as i64)),
    ])
}

fn keepalive(shared: &Shared, req: &LeaseRequest) -> Reply {
    admit(shared, Kind::Read)?;
    shared.counters.lock().keepalives += 1;
    let mut data = shared.data.lock();
    let header = data.header();
    let ttl = match data.leases.get_mut(&req.id.0) {
        Some(lease) => {
            lease.expires = Instant::now() + lease.ttl;
            lease.ttl
        }
        // A lease that has run out is answered without a TTL.
        None => Duration::ZERO,
    };
    let value = lease_json(header, req.id.0, ttl);
    Ok(Answer::ok(&json!({"result": value})))
}

fn revoke(shared: &Shared, req: &LeaseRequest) -> Reply {
    admit(shared, Kind::Write)?;
    let mut data = shared.data.lock();
    data.revoke(req.id.0).map_err(refused)?;
    Ok(Answer::ok(&object([("header", data.header())])))
}

fn time_to_live(shared: &Shared, req: &LeaseRequest) -> Reply {
    use base64::Engine as _;
    use base64::engine::general_purpose::STANDARD as BASE64;
    admit(shared, Kind::Read)?;
    let data = shared.data.lock();
    let header = data.header();
    let Some(lease) = data.leases.get(&req.id.0) else {
        let ended = [
            ("header", header),
            ("ID", number(req.id.0)),
            ("TTL", number(-1)),
        ];
        return Ok(Answer::ok(&object(ended)));
    };
    let left = lease.expires.saturating_duration_since(Instant::now());
    let keys: Vec<String> = match req.keys {
        true => lease.keys.iter().map(|key| BASE64.encode(key)).collect(),
        false => Vec::new(),
    };
    Ok(Answer::ok(&object([
        ("header", header),
        ("ID", number(req.id.0)),
        ("TTL", number(left.as_secs() as i64)),
        ("grantedTTL", number(lease.ttl.as_secs() as i64)),
        ("keys", json!(keys)),
    ])))
}

fn open_watch(shared: &Arc<Shared>, req: WatchRequest) -> Reply {
    admit(shared, Kind::Read)?;
    let chunks = watch::open(shared.clone(), req.create_request);
    Ok(Answer::Stream("application/json", chunks))
}
