//! Watches: streams of changes from a revision on.

use std::io;
use std::sync::Arc;

use futures::stream::{self, StreamExt};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::Shared;
use super::data::{Change, number, object};
use super::wire::WatchCreate;
use crate::server::Chunks;

/// One open watch.
struct Watch {
    shared: Arc<Shared>,
    req: WatchCreate,
    /// Revision of the next change to send.
    next: i64,
    rx: watch::Receiver<i64>,
    is_created: bool,
}

/// What a watch does next.
enum Next {
    Send(Value),
    Wait,
}

/// Opens a watch.
pub(crate) fn open(shared: Arc<Shared>, req: WatchCreate) -> Chunks {
    shared.counters.lock().watches_opened += 1;
    shared.counters.lock().watches_open += 1;
    let rx = shared.revision.subscribe();
    let watch = Watch {
        next: match req.start_revision.0 {
            0 => shared.data.lock().revision + 1,
            start => start,
        },
        shared,
        req,
        rx,
        is_created: false,
    };
    stream::unfold(Some(watch), |watch| async move {
        let mut watch = watch?;
        match watch.following().await {
            Ok(value) => {
                let is_last = value["canceled"] == true;
                let line = format!("{}\n", json!({"result": value}));
                Some((Ok(line), (!is_last).then_some(watch)))
            }
            Err(e) => Some((Err(e), None)),
        }
    })
    .boxed()
}

impl Watch {
    /// Waits for the next message; an outage cuts the connection.
    async fn following(&mut self) -> io::Result<Value> {
        loop {
            self.rx.borrow_and_update();
            if self.shared.faults.get().outage {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            match self.look() {
                Next::Send(value) => return Ok(value),
                Next::Wait => {}
            }
            let shared = self.shared.clone();
            let outage = shared.faults.wait_for(|f| f.outage);
            let interval = shared.settings.progress_interval;
            tokio::select! {
                _ = self.rx.changed() => {}
                () = outage => {}
                () = tokio::time::sleep(interval), if self.req.progress_notify => {
                    return Ok(json!({"header": self.shared.data.lock().header()}));
                }
            }
        }
    }

    fn look(&mut self) -> Next {
        let data = self.shared.data.lock();
        let header = data.header();
        if self.next < data.first_revision {
            let compacted = number(data.first_revision);
            let canceled = json!(true);
            return Next::Send(object([
                ("header", header),
                ("canceled", canceled),
                ("compact_revision", compacted),
            ]));
        }
        if !self.is_created {
            self.is_created = true;
            return Next::Send(object([("header", header), ("created", json!(true))]));
        }
        let first = data.history.partition_point(|c| c.revision() < self.next);
        let new = data.history.iter().skip(first);
        let new = new.filter(|c| c.is_in(&self.req.key.0, &self.req.range_end.0));
        let events: Vec<Value> = new.map(Change::json).collect();
        self.next = self.next.max(data.revision + 1);
        drop(data);
        if events.is_empty() || self.shared.drops_event() {
            return Next::Wait;
        }
        Next::Send(object([("header", header), ("events", json!(events))]))
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.shared.counters.lock().watches_open -= 1;
    }
}
