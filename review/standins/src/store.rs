//! The platform's store, as the page on its protocol says, with one process's memory for its data.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Conn, Message};
use crate::json::{Json, from_base64, quote, to_base64};

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    create_rev: u64,
    lease: u64,
}

#[derive(Clone, Debug, Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order; `None` is a deletion.
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Revision up to which the history is gone.
    compacted: u64,
    era: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn spawn(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("the store's address");
        let data = Data { revision: 10, next_lease: 100, era: 1, ..Data::default() };
        let store = Self { address, data: Arc::new((Mutex::new(data), Condvar::new())) };
        let served = store.clone();
        http::serve(listener, move |conn| served.connection(conn));
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            expiring.expire_leases();
        });
        store
    }

    /// Writes a value on behalf of the operator or an engine. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut data = self.data.0.lock().unwrap();
        let revision = data.put(key, value.as_bytes().to_vec(), 0);
        self.data.1.notify_all();
        revision
    }

    pub fn delete(&self, key: &str) {
        let mut data = self.data.0.lock().unwrap();
        data.revision += 1;
        data.delete(key);
        self.data.1.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let data = self.data.0.lock().unwrap();
        let item = data.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    fn expire_leases(&self) {
        let mut data = self.data.0.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            data.end_lease(id);
            self.data.1.notify_all();
        }
    }

    fn connection(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read_request() {
            let (status, body) = self.call(&req);
            let era = self.data.0.lock().unwrap().era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if conn.answer(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, req: &Message) -> (u16, String) {
        let path = req.path();
        let number = || path.rsplit('/').next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        match path.split('/').nth(1).unwrap_or_default() {
            "kv-key" => self.get(&req.query("key")),
            "kv-range" => self.range(&req.query("pathPrefix"), &req.query("after")),
            "kv-watch" => {
                let after = req.query("after").parse().unwrap_or(0);
                let wait = req.query("waitMs").parse().unwrap_or(0);
                self.watch(&req.query("pathPrefix"), after, Duration::from_millis(wait))
            }
            "kv-txn" => self.txn(&req.body),
            "kv-lease" => {
                let ttl = Json::parse(&req.body).unwrap_or(Json::Null).get("ttlMs").num().max(1000);
                let mut data = self.data.0.lock().unwrap();
                data.next_lease += 1;
                let id = data.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                data.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            "kv-keep" => {
                let mut data = self.data.0.lock().unwrap();
                match data.leases.get_mut(&number()) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            "kv-lease-end" => {
                let mut data = self.data.0.lock().unwrap();
                let found = data.end_lease(number());
                self.data.1.notify_all();
                (if found { 200 } else { 404 }, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap();
        match data.items.get(key) {
            Some(item) => {
                let text = render(key, item);
                let text = text.strip_suffix('}').unwrap_or(&text);
                (200, format!("{text},\"asOf\":{}}}", data.revision))
            }
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let data = self.data.0.lock().unwrap();
        let all = data.items.iter();
        let found: Vec<_> = all
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| render(key, item))
            .collect();
        let truncated = found.len() > 500;
        let page: Vec<_> = found.into_iter().take(500).collect();
        let text = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"asOf\":{}}}",
            page.join(","),
            data.revision
        );
        (200, text)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut data = self.data.0.lock().unwrap();
        loop {
            if after < data.compacted || after > data.revision {
                return (410, "{}".into());
            }
            let first = data.events.partition_point(|(revision, ..)| *revision <= after);
            let found: Vec<String> = data.events[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => render(key, item),
                    None => format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key)),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let text = format!("{{\"events\":[{}],\"asOf\":{}}}", found.join(","), data.revision);
                return (200, text);
            }
            data = self.data.1.wait_timeout(data, left).unwrap().0;
        }
    }

    fn txn(&self, body: &[u8]) -> (u16, String) {
        let req = Json::parse(body).unwrap_or(Json::Null);
        let mut data = self.data.0.lock().unwrap();
        let rows = req.get("ifRevision").rows();
        let holds = rows.iter().all(|row| {
            let now = data.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            now == row.get("revision").num()
        });
        if !holds {
            let items: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    data.items.get(key).map(|item| render(key, item))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = req.get("writes").rows();
        let has_lease = |row: &Json| {
            let lease = row.get("lease").num();
            lease == 0 || data.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return (404, "{}".into());
        }
        data.revision += 1;
        for row in writes {
            let value = from_base64(row.get("value").text());
            data.set(row.get("key").text(), value, row.get("lease").num());
        }
        for key in req.get("remove").rows() {
            data.delete(key.text());
        }
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{}}}", data.revision))
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        self.set(key, value, lease);
        self.revision
    }

    fn set(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let create_rev = self.items.get(key).map_or(revision, |item| item.create_rev);
        let item = Item { value, revision, create_rev, lease };
        self.items.insert(key.into(), item.clone());
        self.events.push((revision, key.into(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.into(), None));
        }
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
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.delete(&key);
            }
        }
        true
    }
}

fn render(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        quote(key),
        to_base64(&item.value),
        item.revision,
        item.create_rev,
        item.lease
    )
}
