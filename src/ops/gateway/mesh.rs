//! What nodes tell each other several times a second, by datagrams that may be lost.
//!
//! A node tells its loads, what it let through for customers, its counts of usage and which changes of the store
//! it knows. Everything told is a present value, so that a later message replaces a lost one. Nodes of
//! the own availability zone hear more often than those of the region, and those of other regions hear
//! no loads: what a node sends and hears a second stays flat as regions grow.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;

use super::board::{Board, Phase};
use crate::core::gateway::load::{Load, RANKS};
use crate::core::gateway::members::Member;
use crate::core::time::Moment;
use crate::util::time::unix_now;

/// Shortest time between two messages to a node of the own availability zone.
const ZONE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two messages to a node of the own region.
const REGION_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two messages to a node of another region.
const FAR_INTERVAL: Duration = Duration::from_millis(700);
/// Messages that a node sends in a second to the nodes of its region, and to those of all others.
const MESSAGES_PER_S: f64 = 80.0;
/// Time between two messages that tell counts of usage.
const USAGE_INTERVAL: Duration = Duration::from_millis(900);
/// Largest datagram that is read.
const MAX_DATAGRAM: usize = 60 * 1024;

/// What a node tells.
#[derive(Clone, PartialEq, Message)]
pub struct ReportWire {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Start of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its time of day.
    #[prost(uint64, tag = "3")]
    pub wall_ms: u64,
    /// Whether it takes new callers.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// Revision of the store up to which it knows all changes.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Version of its configuration.
    #[prost(uint64, tag = "6")]
    pub config_version: u64,
    /// Its availability zone.
    #[prost(string, tag = "7")]
    pub zone: String,
    /// Units that it has let through for each customer.
    #[prost(message, repeated, tag = "8")]
    pub totals: Vec<TotalWire>,
    /// Its counts of calls.
    #[prost(message, repeated, tag = "9")]
    pub usage: Vec<CountWire>,
    /// Work in milliseconds a second for each service.
    #[prost(message, repeated, tag = "10")]
    pub work: Vec<RateWire>,
    /// Its calls at back ends, where the receiver is in its region.
    #[prost(message, repeated, tag = "11")]
    pub loads: Vec<LoadWire>,
    /// Whether `loads` is complete.
    #[prost(bool, tag = "12")]
    pub has_loads: bool,
}

/// What a node has let through for a customer since its start.
#[derive(Clone, PartialEq, Message)]
pub struct TotalWire {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Units.
    #[prost(double, tag = "2")]
    pub units: f64,
}

/// Work of a service.
#[derive(Clone, PartialEq, Message)]
pub struct RateWire {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Units a second.
    #[prost(float, tag = "2")]
    pub per_second: f32,
}

/// Calls of a customer in a window.
#[derive(Clone, PartialEq, Message)]
pub struct CountWire {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Calls.
    #[prost(uint32, tag = "3")]
    pub calls: u32,
}

/// Calls at a back end.
#[derive(Clone, PartialEq, Message)]
pub struct LoadWire {
    /// Short name of the back end.
    #[prost(fixed32, tag = "1")]
    pub backend: u32,
    /// Calls.
    #[prost(uint32, tag = "2")]
    pub calls: u32,
    /// Tokens that they hold.
    #[prost(uint32, tag = "3")]
    pub kv_tokens: u32,
    /// Calls without a first event, by rank.
    #[prost(uint32, repeated, tag = "4")]
    pub waiting: Vec<u32>,
    /// Tokens yet to be read, by rank.
    #[prost(uint32, repeated, tag = "5")]
    pub unread: Vec<u32>,
}

impl From<&(u32, Load)> for LoadWire {
    fn from((backend, load): &(u32, Load)) -> Self {
        let ranks = |values: &[u32; RANKS]| {
            let used = values.iter().rposition(|v| *v > 0).map_or(0, |at| at + 1);
            values[..used].to_vec()
        };
        Self {
            backend: *backend,
            calls: load.calls,
            kv_tokens: load.kv_tokens,
            waiting: ranks(&load.waiting),
            unread: ranks(&load.unread),
        }
    }
}

impl From<&LoadWire> for Load {
    fn from(wire: &LoadWire) -> Self {
        let mut load = Self {
            calls: wire.calls,
            kv_tokens: wire.kv_tokens,
            ..Self::default()
        };
        for (rank, value) in wire.waiting.iter().take(RANKS).enumerate() {
            load.waiting[rank] = *value;
        }
        for (rank, value) in wire.unread.iter().take(RANKS).enumerate() {
            load.unread[rank] = *value;
        }
        load
    }
}

/// When messages were last sent to a node.
#[derive(Clone, Copy, Debug, Default)]
struct LastSent {
    at: Moment,
    usage_at: Moment,
}

/// Datagrams between nodes.
pub struct Mesh {
    board: Arc<Board>,
    socket: UdpSocket,
    newest: tokio::sync::watch::Sender<u64>,
}

impl Mesh {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn bind(board: Arc<Board>) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(board.settings.listen.peers).await?;
        Ok(Arc::new(Self {
            board,
            socket,
            newest: tokio::sync::watch::Sender::new(0),
        }))
    }

    /// Returns the newest revision of the store that another node has told of.
    pub fn newest(&self) -> tokio::sync::watch::Receiver<u64> {
        self.newest.subscribe()
    }

    /// Sends reports until the task is dropped.
    pub async fn send(self: Arc<Self>) {
        let mut last = HashMap::new();
        loop {
            self.send_due(&mut last).await;
            tokio::time::sleep(ZONE_INTERVAL).await;
        }
    }

    /// Tells all nodes the present state at once, such as that this node leaves.
    pub async fn send_now(&self) {
        self.send_due(&mut HashMap::new()).await;
    }

    async fn send_due(&self, last: &mut HashMap<SocketAddr, LastSent>) {
        let now = self.board.now();
        let settings = &self.board.settings;
        let others: Vec<Member> = self
            .board
            .members
            .lock()
            .iter()
            .filter(|member| member.name != settings.name)
            .cloned()
            .collect();
        let in_region = others
            .iter()
            .filter(|m| m.region == settings.region)
            .count();
        let far = others.len() - in_region;
        let region_interval = REGION_INTERVAL.max(interval_for(in_region));
        let far_interval = FAR_INTERVAL.max(interval_for(far));
        // Messages are the same for all nodes near or far, with or without usage.
        let mut texts: HashMap<(bool, bool), Vec<u8>> = HashMap::new();
        for member in &others {
            let is_near = member.region == settings.region;
            let interval = if member.zone == settings.zone {
                ZONE_INTERVAL.max(region_interval / 2)
            } else if is_near {
                region_interval
            } else {
                far_interval
            };
            let sent = last.entry(member.peers).or_default();
            if now.saturating_sub(sent.at) + ZONE_INTERVAL / 4 < interval {
                continue;
            }
            let with_usage = now.saturating_sub(sent.usage_at) >= USAGE_INTERVAL;
            sent.at = now;
            if with_usage {
                sent.usage_at = now;
            }
            let text = texts
                .entry((is_near, with_usage))
                .or_insert_with(|| self.report(is_near, with_usage).encode_to_vec());
            if let Err(e) = self.socket.send_to(text, member.peers).await {
                tracing::debug!(node = &*member.name, error = %e, "message to a node not sent");
            }
        }
        last.retain(|address, _| others.iter().any(|member| member.peers == *address));
    }

    /// Reads reports until the task is dropped.
    pub async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => match ReportWire::decode(&buf[..len]) {
                    Ok(report) => self.take(&report),
                    Err(e) => tracing::warn!(%from, error = %e, "message of a node cannot be read"),
                },
                Err(e) => {
                    tracing::warn!(error = %e, "messages of nodes cannot be received");
                    tokio::time::sleep(ZONE_INTERVAL).await;
                }
            }
        }
    }

    fn report(&self, with_loads: bool, with_usage: bool) -> ReportWire {
        let board = &self.board;
        let now = board.now();
        let usage = match with_usage {
            true => board.own_usage(),
            false => Vec::new(),
        };
        let counts = usage.iter().flat_map(|(window, counts)| {
            counts.iter().map(|(customer, calls)| CountWire {
                window: *window,
                customer: customer.to_string(),
                calls: *calls,
            })
        });
        ReportWire {
            node: board.settings.name.to_string(),
            incarnation: board.incarnation,
            wall_ms: unix_now(),
            ready: board.phase() == Phase::Serving,
            revision: board.view.lock().revision,
            config_version: board.table().map_or(0, |table| table.version),
            zone: board.settings.zone.to_string(),
            totals: totals(board.quotas.lock().totals()),
            usage: counts.collect(),
            work: rates(board.work.lock().own(now)),
            loads: match with_loads {
                true => board
                    .backends
                    .lock()
                    .own_loads()
                    .iter()
                    .map(Into::into)
                    .collect(),
                false => Vec::new(),
            },
            has_loads: with_loads,
        }
    }

    fn take(&self, report: &ReportWire) {
        let board = &self.board;
        let now = board.now();
        if *report.node == *board.settings.name {
            return;
        }
        board.members.lock().heard(
            &report.node,
            report.incarnation,
            report.ready,
            report.revision,
            now,
        );
        board
            .clock
            .lock()
            .note(report.incarnation, report.wall_ms, now);
        let totals: Vec<_> = report
            .totals
            .iter()
            .map(|total| (total.customer.as_str().into(), total.units))
            .collect();
        board
            .quotas
            .lock()
            .heard(&report.node, report.incarnation, &totals, now);
        board
            .work
            .lock()
            .told(&report.node, &report.zone, named(&report.work), now);
        self.take_usage(report);
        if report.has_loads {
            let loads = report
                .loads
                .iter()
                .map(|load| (load.backend, load.into()))
                .collect();
            board.backends.lock().told(&report.node, &loads, now);
        }
        self.note_revision(report.revision);
    }

    fn take_usage(&self, report: &ReportWire) {
        let mut usage = self.board.usage.lock();
        for count in &report.usage {
            let told = [(count.customer.as_str().into(), count.calls)].into();
            usage.merge(report.incarnation, count.window, &told);
        }
    }

    /// Notes a revision that this node does not know, also where it was told before: what was fetched
    /// for it may have failed.
    fn note_revision(&self, revision: u64) {
        if revision > self.board.view.lock().revision {
            self.newest.send_replace(revision);
        }
    }
}

/// Returns the time between two messages to each of `nodes`, so that all together stay within a rate.
fn interval_for(nodes: usize) -> Duration {
    Duration::from_secs_f64(nodes as f64 / MESSAGES_PER_S)
}

fn totals(totals: Vec<(Box<str>, f64)>) -> Vec<TotalWire> {
    totals
        .into_iter()
        .map(|(customer, units)| TotalWire {
            customer: customer.into(),
            units,
        })
        .collect()
}

fn rates(rates: Vec<(Box<str>, f64)>) -> Vec<RateWire> {
    rates
        .into_iter()
        .map(|(name, per_second)| RateWire {
            name: name.into(),
            per_second: per_second as f32,
        })
        .collect()
}

fn named(rates: &[RateWire]) -> Vec<(Box<str>, f64)> {
    rates
        .iter()
        .map(|rate| (rate.name.as_str().into(), f64::from(rate.per_second)))
        .collect()
}
