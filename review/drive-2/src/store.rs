//! Stand-in for the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, query, read_request, respond};
use crate::json::{Json, base64};

/// Items in a page of a range.
const PAGE: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item unless it was deleted.
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Data {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.into(), item.clone());
        self.events.push((self.revision, key.into(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.into(), None));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        ended
            .iter()
            .fold(false, |any, id| self.end_lease(*id) || any)
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return false;
        }
        self.revision += 1;
        for key in keys {
            self.delete(&key);
        }
        true
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"createRev":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self {
            data: Mutex::new(Data {
                revision: 100,
                ..Data::default()
            }),
            changed: Condvar::new(),
        });
        let expired = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                if expired.data.lock().unwrap().expire() {
                    expired.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes a value, as operators and engines do.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.write(key, base64(value.as_bytes()), 0);
        drop(data);
        self.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.delete(key);
        drop(data);
        self.changed.notify_all();
    }

    /// Serves the store at a free port, and returns its address.
    pub fn listen(self: &Arc<Self>, ip: IpAddr) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Ok(request) = read_request(&mut stream) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if respond(stream.get_mut(), status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let target = request.target();
        let path = target.split('?').next().unwrap_or_default();
        let number = |name| query(target, name).and_then(|value| value.parse::<u64>().ok());
        let text = |name| query(target, name).unwrap_or_default();
        let id = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<u64>().ok());
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match path.split('/').nth(1).unwrap_or_default() {
            "kv-key" => {
                let data = self.data.lock().unwrap();
                let key = text("key");
                match data.items.get(&key) {
                    Some(item) => {
                        let json = item_json(&key, item);
                        let json = json.trim_end_matches('}');
                        ("200 OK", format!(r#"{json},"asOf":{}}}"#, data.revision))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            "kv-range" => {
                let data = self.data.lock().unwrap();
                let (prefix, after) = (text("pathPrefix"), text("after"));
                let all = data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix));
                let rest: Vec<_> = all.filter(|(key, _)| **key > after).collect();
                let items: Vec<String> = rest
                    .iter()
                    .take(PAGE)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let truncated = rest.len() > PAGE;
                let items = items.join(",");
                let as_of = data.revision;
                (
                    "200 OK",
                    format!(r#"{{"items":[{items}],"truncated":{truncated},"asOf":{as_of}}}"#),
                )
            }
            "kv-watch" => self.watch(
                &text("pathPrefix"),
                number("after").unwrap_or(0),
                Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000)),
            ),
            "kv-txn" => self.transact(&body),
            "kv-lease" => {
                let ttl = body.get("ttlMs").and_then(Json::number).unwrap_or(1000);
                let ttl = Duration::from_millis(ttl.clamp(1000, 600_000));
                let mut data = self.data.lock().unwrap();
                data.last_lease += 1;
                let id = data.last_lease;
                data.leases.insert(id, (ttl, Instant::now() + ttl));
                (
                    "200 OK",
                    format!(r#"{{"lease":{id},"ttlMs":{}}}"#, ttl.as_millis()),
                )
            }
            "kv-keep" => {
                let mut data = self.data.lock().unwrap();
                data.expire();
                match id.and_then(|id| data.leases.get_mut(&id)) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            "kv-lease-end" => {
                let mut data = self.data.lock().unwrap();
                let ended = id.is_some_and(|id| data.end_lease(id));
                drop(data);
                if ended {
                    self.changed.notify_all();
                }
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let deadline = Instant::now() + wait;
        let mut data = self.data.lock().unwrap();
        loop {
            let first = data
                .events
                .partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<String> = data.events[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let as_of = data.revision;
                return (
                    "200 OK",
                    format!(r#"{{"events":[{events}],"asOf":{as_of}}}"#),
                );
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let mut data = self.data.lock().unwrap();
        data.expire();
        let mut found = Vec::new();
        let mut holds = true;
        for row in body.list("ifRevision") {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            let revision = row.get("revision").and_then(Json::number).unwrap_or(0);
            let item = data.items.get(key);
            holds &= item.map_or(0, |item| item.revision) == revision;
            found.extend(item.map(|item| item_json(key, item)));
        }
        if !holds {
            return (
                "412 Precondition Failed",
                format!(r#"{{"items":[{}]}}"#, found.join(",")),
            );
        }
        let lease_of = |write: &Json| write.get("lease").and_then(Json::number).unwrap_or(0);
        let leases = body.list("writes").iter().map(lease_of);
        if leases
            .filter(|id| *id != 0)
            .any(|id| !data.leases.contains_key(&id))
        {
            return ("404 Not Found", "{}".into());
        }
        data.revision += 1;
        for write in body.list("writes") {
            let key = write.get("key").and_then(Json::text).unwrap_or_default();
            let value = write.get("value").and_then(Json::text).unwrap_or_default();
            data.write(key, value.into(), lease_of(write));
        }
        for key in body.list("remove").iter().filter_map(Json::text) {
            data.delete(key);
        }
        let revision = data.revision;
        drop(data);
        self.changed.notify_all();
        ("200 OK", format!(r#"{{"revision":{revision}}}"#))
    }
}
