//! Keys, revisions, leases and the history that watches read.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Map, Value, json};
use tokio::time::Instant;

use super::wire::{Compare, DeleteRequest, Operation, PutRequest, RangeRequest, Relation, Target};

/// Changes kept for watches that start in the past.
const MAX_HISTORY: usize = 50_000;

/// Says why a request was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    TooLarge,
    NoSuchLease,
    LeaseExists,
}

#[derive(Clone, Debug)]
pub(crate) struct KeyValue {
    key: Vec<u8>,
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) kv: KeyValue,
    is_delete: bool,
}

#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) ttl: Duration,
    pub(crate) expires: Instant,
    pub(crate) keys: BTreeSet<Vec<u8>>,
}

/// Puts a field into an object unless it has the default value, as the JSON form of protobuf does.
fn put_field(object: &mut Map<String, Value>, name: &str, value: Value) {
    let is_default = match &value {
        Value::String(text) => text.is_empty() || text == "0",
        Value::Bool(flag) => !flag,
        Value::Array(items) => items.is_empty(),
        _ => value.is_null(),
    };
    if !is_default {
        object.insert(name.into(), value);
    }
}

/// Builds an object without its default values.
pub(crate) fn object<const N: usize>(fields: [(&str, Value); N]) -> Value {
    let mut object = Map::new();
    for (name, value) in fields {
        put_field(&mut object, name, value);
    }
    Value::Object(object)
}

/// Writes a 64-bit number as a string.
pub(crate) fn number(number: i64) -> Value {
    Value::String(number.to_string())
}

impl KeyValue {
    fn json(&self, keys_only: bool) -> Value {
        let value = if keys_only { &[][..] } else { &self.value };
        object([
            ("key", json!(BASE64.encode(&self.key))),
            ("value", json!(BASE64.encode(value))),
            ("create_revision", number(self.create_revision)),
            ("mod_revision", number(self.mod_revision)),
            ("version", number(self.version)),
            ("lease", number(self.lease)),
        ])
    }
}

impl Change {
    pub(crate) fn json(&self) -> Value {
        let kind = if self.is_delete { "DELETE" } else { "" };
        object([("type", json!(kind)), ("kv", self.kv.json(false))])
    }

    pub(crate) fn is_in(&self, key: &[u8], range_end: &[u8]) -> bool {
        is_in_range(&self.kv.key, key, range_end)
    }

    pub(crate) fn revision(&self) -> i64 {
        self.kv.mod_revision
    }
}

fn is_in_range(candidate: &[u8], key: &[u8], range_end: &[u8]) -> bool {
    match range_end {
        [] => candidate == key,
        [0] => candidate >= key,
        end => candidate >= key && candidate < end,
    }
}

/// Everything that the store holds.
#[derive(Debug)]
pub(crate) struct Data {
    pub(crate) revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    pub(crate) leases: HashMap<i64, Lease>,
    next_lease: i64,
    pub(crate) history: VecDeque<Change>,
    /// Oldest revision that a watch may start at.
    pub(crate) first_revision: i64,
    max_value_bytes: usize,
}

impl Data {
    pub(crate) fn new(max_value_bytes: usize) -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            next_lease: 7_000_001,
            history: VecDeque::new(),
            first_revision: 1,
            max_value_bytes,
        }
    }

    pub(crate) fn header(&self) -> Value {
        json!({"cluster_id": "1", "member_id": "1", "revision": self.revision.to_string(), "raft_term": "1"})
    }

    pub(crate) fn range(&self, req: &RangeRequest) -> Value {
        let first = self.keys.range(req.key.0.clone()..);
        let found = first.take_while(|(key, _)| is_in_range(key, &req.key.0, &req.range_end.0));
        let found: Vec<&KeyValue> = found.map(|(_, kv)| kv).collect();
        let limit = match req.limit.0 {
            _ if req.count_only => 0,
            0 => found.len(),
            limit => limit as usize,
        };
        let shown = found.iter().take(limit);
        let kvs: Vec<Value> = shown.map(|kv| kv.json(req.keys_only)).collect();
        object([
            ("header", self.header()),
            ("more", json!(!req.count_only && found.len() > kvs.len())),
            ("count", number(found.len() as i64)),
            ("kvs", json!(kvs)),
        ])
    }

    /// Carries out writes as one change of the revision.
    ///
    /// # Errors
    ///
    /// Changes nothing when one of the operations is refused.
    pub(crate) fn apply(&mut self, operations: &[Operation]) -> Result<Vec<Value>, Refusal> {
        for operation in operations {
            if let Operation::Put(req) = operation {
                self.check_put(req)?;
            }
        }
        let next = self.revision + 1;
        let mut answers = Vec::with_capacity(operations.len());
        for operation in operations {
            answers.push(match operation {
                Operation::Put(req) => object([("response_put", self.put(req, next))]),
                Operation::Range(req) => object([("response_range", self.range(req))]),
                Operation::Delete(req) => {
                    object([("response_delete_range", self.delete(req, next))])
                }
            });
        }
        Ok(answers)
    }

    pub(crate) fn holds(&self, compare: &Compare) -> bool {
        use std::cmp::Ordering;
        let kv = self.keys.get(&compare.key.0);
        let field = |of: fn(&KeyValue) -> i64| kv.map_or(0, of);
        let ordering = match compare.target {
            Target::Version => field(|kv| kv.version).cmp(&compare.version.0),
            Target::Create => field(|kv| kv.create_revision).cmp(&compare.create_revision.0),
            Target::Mod => field(|kv| kv.mod_revision).cmp(&compare.mod_revision.0),
            Target::Lease => field(|kv| kv.lease).cmp(&compare.lease.0),
            Target::Value => match kv {
                Some(kv) => kv.value.cmp(&compare.value.0),
                None => return false,
            },
        };
        match compare.result {
            Relation::Equal => ordering == Ordering::Equal,
            Relation::NotEqual => ordering != Ordering::Equal,
            Relation::Greater => ordering == Ordering::Greater,
            Relation::Less => ordering == Ordering::Less,
        }
    }

    pub(crate) fn grant(&mut self, id: i64, ttl: Duration, now: Instant) -> Result<i64, Refusal> {
        let id = match id {
            0 => {
                self.next_lease += 1;
                self.next_lease
            }
            id => id,
        };
        if self.leases.contains_key(&id) {
            return Err(Refusal::LeaseExists);
        }
        let lease = Lease {
            ttl,
            expires: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        Ok(id)
    }

    pub(crate) fn revoke(&mut self, id: i64) -> Result<(), Refusal> {
        let lease = self.leases.remove(&id).ok_or(Refusal::NoSuchLease)?;
        let next = self.revision + 1;
        for key in lease.keys {
            self.remove(&key, next);
        }
        Ok(())
    }

    /// Revokes the leases that have run out and returns when the next one does.
    pub(crate) fn expire(&mut self, now: Instant) -> Option<Instant> {
        let ended = self.leases.iter().filter(|(_, l)| l.expires <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            // The lease was found above, so that revoking it cannot fail.
            let _ = self.revoke(id);
        }
        self.leases.values().map(|lease| lease.expires).min()
    }

    fn check_put(&self, req: &PutRequest) -> Result<(), Refusal> {
        if req.value.0.len() > self.max_value_bytes {
            return Err(Refusal::TooLarge);
        }
        if req.lease.0 != 0 && !self.leases.contains_key(&req.lease.0) {
            return Err(Refusal::NoSuchLease);
        }
        Ok(())
    }

    fn put(&mut self, req: &PutRequest, revision: i64) -> Value {
        let old = self.keys.get(&req.key.0).cloned();
        if let Some(lease) = old.as_ref().and_then(|kv| self.leases.get_mut(&kv.lease)) {
            lease.keys.remove(&req.key.0);
        }
        if let Some(lease) = self.leases.get_mut(&req.lease.0) {
            lease.keys.insert(req.key.0.clone());
        }
        let kv = KeyValue {
            key: req.key.0.clone(),
            value: req.value.0.clone(),
            create_revision: old.as_ref().map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: old.as_ref().map_or(0, |kv| kv.version) + 1,
            lease: req.lease.0,
        };
        self.keys.insert(req.key.0.clone(), kv.clone());
        self.record(kv, false);
        let previous = old.filter(|_| req.prev_kv).map(|kv| kv.json(false));
        object([("header", self.header()), ("prev_kv", json!(previous))])
    }

    fn delete(&mut self, req: &DeleteRequest, revision: i64) -> Value {
        let first = self.keys.range(req.key.0.clone()..);
        let found = first.take_while(|(key, _)| is_in_range(key, &req.key.0, &req.range_end.0));
        let keys: Vec<Vec<u8>> = found.map(|(key, _)| key.clone()).collect();
        let removed = keys.iter().filter_map(|key| self.remove(key, revision));
        let removed: Vec<Value> = removed.map(|kv| kv.json(false)).collect();
        let previous = if req.prev_kv { &removed[..] } else { &[] };
        object([
            ("header", self.header()),
            ("deleted", number(removed.len() as i64)),
            ("prev_kvs", json!(previous)),
        ])
    }

    fn remove(&mut self, key: &[u8], revision: i64) -> Option<KeyValue> {
        let kv = self.keys.remove(key)?;
        if let Some(lease) = self.leases.get_mut(&kv.lease) {
            lease.keys.remove(key);
        }
        let tombstone = KeyValue {
            value: Vec::new(),
            create_revision: 0,
            mod_revision: revision,
            version: 0,
            lease: 0,
            ..kv.clone()
        };
        self.record(tombstone, true);
        Some(kv)
    }

    fn record(&mut self, kv: KeyValue, is_delete: bool) {
        self.revision = kv.mod_revision;
        self.history.push_back(Change { kv, is_delete });
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.first_revision = oldest.revision() + 1;
        }
    }
}
