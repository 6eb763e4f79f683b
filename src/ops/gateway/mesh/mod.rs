//! State that nodes exchange several times a second, in datagrams that may be lost.
//!
//! A node sends its loads, the units admitted for customers, its usage counts and the store revision up
//! to which its view is complete. All of these are current values, so a later message makes up for a
//! lost one.
//!
//! In a small fleet every node sends reports to all others. In a larger one it sends them within its
//! availability zone. The node with the most capacity in each zone is the zone's aggregator: it sends
//! the sums over its zone to the aggregators of the other zones, and forwards their sums to the nodes
//! of its own zone. The number of messages per node then hardly grows with the fleet, and the sums of
//! another zone are older by these two hops.

mod receive;
mod report;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use prost::Message;
use tokio::net::UdpSocket;

use super::mesh_wire::{DatagramWire, StreamOriginWire, ZoneSumWire};
use super::state::GatewayState;
use crate::core::gateway::members::Member;
use crate::core::gateway::origin::ZoneName;
use crate::core::gateway::stream_origins::StreamOrigin;
use crate::core::gateway::zone_sums::ZoneSenders;
use crate::core::time::Moment;
use crate::util::time::as_millis_u64;

/// Shortest interval between messages to a node of the own availability zone; also the period of the
/// send loop.
const MIN_ZONE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval between messages to a node of another zone in the own region.
const MIN_REGION_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between messages to a node of another region.
const MIN_CROSS_REGION_INTERVAL: Duration = Duration::from_millis(700);
/// Limit on the messages that a node sends per second within its region, and on those to other regions.
const MAX_MESSAGES_PER_S: f64 = 80.0;
/// Largest fleet in which every node sends reports to all others.
const MAX_FULL_MESH_NODES: usize = 24;
/// Interval between sums of the own zone to another zone of the region.
const SUM_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between sums of the own zone to a zone of another region.
const CROSS_REGION_SUM_INTERVAL: Duration = Duration::from_millis(800);
/// Number of nodes of another zone that receive sums: the second one is a standby for its zone's
/// aggregator.
const SUM_RECEIVERS_PER_ZONE: usize = 2;
/// Time without a message of a node after which another one becomes the zone's aggregator, and after
/// which it is no longer reported as alive.
const NODE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Age above which another zone's sums are no longer forwarded.
const MAX_SUM_AGE: Duration = Duration::from_secs(2);
/// Part of a VM's link bandwidth that forwarded sums may use.
const FORWARDING_LINK_SHARE: f64 = 0.15;
/// Interval between messages that contain usage counts.
const USAGE_INTERVAL: Duration = Duration::from_millis(900);
/// Number of usage windows that are sent besides the current one.
const PAST_WINDOWS_SENT: u64 = 3;
/// Time for which a back end's announcement that it is leaving is passed on to other nodes.
const LEAVING_NOTICE_PERIOD: Duration = Duration::from_secs(8);
/// Limit on the origins of streams in one datagram.
pub(super) const MAX_ORIGINS_PER_DATAGRAM: usize = 1000;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Times at which messages were last sent to a node.
#[derive(Clone, Copy, Debug, Default)]
struct LastSent {
    at: Moment,
    usage_at: Moment,
    sums_at: Moment,
}

/// Sums received from another zone.
struct ReceivedSum {
    sum: ZoneSumWire,
    at: Moment,
}

impl ReceivedSum {
    /// Returns the sum with its ages as of now.
    fn to_forward(&self, now: Moment) -> ZoneSumWire {
        let held_ms = as_millis_u64(now.saturating_sub(self.at));
        let mut sum = self.sum.clone();
        let with_hold = |age_ms: u64| age_ms.saturating_add(held_ms);
        sum.store_age_ms = sum.store_age_ms.map(with_hold);
        sum.era_age_ms = sum.era_age_ms.map(with_hold);
        if let Some(load) = &mut sum.load {
            load.add_age(held_ms);
        }
        sum
    }
}

/// Sums received from other zones.
#[derive(Default)]
struct ReceivedSums {
    aggregators: ZoneSenders,
    newest: HashMap<ZoneName, ReceivedSum>,
}

/// Exchange of datagrams between nodes.
pub struct Mesh {
    state: Arc<GatewayState>,
    socket: Arc<UdpSocket>,
    has_newer: tokio::sync::watch::Sender<()>,
    sums: Mutex<ReceivedSums>,
}

/// Nodes that this node sends messages to.
struct Receivers {
    /// Nodes that receive this node's reports, and the interval between two of them.
    report_receivers: Vec<(Member, Duration)>,
    /// Nodes of other zones that receive the sums of this zone, if this node is the aggregator.
    sum_receivers: Vec<Member>,
    /// Whether this node is its zone's aggregator.
    is_aggregator: bool,
}

impl Mesh {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(state: Arc<GatewayState>) -> std::io::Result<Arc<Self>> {
        let socket = Arc::new(UdpSocket::bind(state.settings.listen.peers).await?);
        state.quotas.set_socket(&socket);
        Ok(Arc::new(Self {
            state,
            socket,
            has_newer: tokio::sync::watch::Sender::new(()),
            sums: Mutex::default(),
        }))
    }

    /// Returns a receiver that changes whenever another node reports to know something of the store that this
    /// node does not.
    pub fn newer_knowledge(&self) -> tokio::sync::watch::Receiver<()> {
        self.has_newer.subscribe()
    }

    /// Sends messages until the task is dropped.
    pub async fn send(self: Arc<Self>) {
        let mut last = HashMap::new();
        let mut was_aggregator = false;
        loop {
            let is_aggregator = self.send_due(&mut last).await;
            if is_aggregator != was_aggregator {
                was_aggregator = is_aggregator;
                tracing::info!(
                    tells_sums = is_aggregator,
                    "this node's role as zone aggregator changed"
                );
            }
            tokio::time::sleep(MIN_ZONE_INTERVAL).await;
        }
    }

    /// Sends the current state at once, for example that this node is leaving.
    pub async fn send_now(&self) {
        self.send_due(&mut HashMap::new()).await;
    }

    /// Sends all messages that are due. Returns whether this node is its zone's aggregator.
    async fn send_due(&self, last: &mut HashMap<SocketAddr, LastSent>) -> bool {
        let now = self.state.now();
        let receivers = self.receivers(now);
        self.send_reports(&receivers, last, now).await;
        if receivers.is_aggregator {
            self.send_sums(&receivers, last, now).await;
            self.forward_sums(&receivers, last, now).await;
        }
        let is_known = |address: &SocketAddr| {
            let report_receivers = receivers.report_receivers.iter().map(|(member, _)| member);
            report_receivers
                .chain(&receivers.sum_receivers)
                .any(|m| m.peers == *address)
        };
        last.retain(|address, _| is_known(address));
        receivers.is_aggregator
    }

    fn receivers(&self, now: Moment) -> Receivers {
        let settings = &self.state.settings;
        let own = &settings.name;
        let members = self.state.members.lock();
        let is_small = members.count() <= MAX_FULL_MESH_NODES;
        let others = members.iter().filter(|member| member.name != *own);
        let report_receivers = others.filter(|member| is_small || member.zone == settings.zone);
        let report_receivers: Vec<Member> = report_receivers.cloned().collect();
        let in_region = report_receivers
            .iter()
            .filter(|m| m.region == settings.region)
            .count();
        let region_interval = interval_for(in_region);
        let cross_region_interval = interval_for(report_receivers.len() - in_region);
        let report_receivers = report_receivers.into_iter().map(|member| {
            let interval = if member.zone == settings.zone {
                MIN_ZONE_INTERVAL.max(if is_small {
                    region_interval / 2
                } else {
                    region_interval
                })
            } else if member.region == settings.region {
                MIN_REGION_INTERVAL.max(region_interval)
            } else {
                MIN_CROSS_REGION_INTERVAL.max(cross_region_interval)
            };
            (member, interval)
        });
        let report_receivers = report_receivers.collect();
        let aggregator = members.largest_in_zone(&settings.zone, own, 1, now, NODE_TIMEOUT);
        let is_aggregator = !is_small && aggregator.first().is_some_and(|node| node.name == *own);
        let mut sum_receivers = Vec::new();
        if is_aggregator {
            for zone in members
                .zones()
                .iter()
                .filter(|zone| **zone != settings.zone)
            {
                let in_zone =
                    members.largest_in_zone(zone, own, SUM_RECEIVERS_PER_ZONE, now, NODE_TIMEOUT);
                sum_receivers.extend(in_zone.into_iter().cloned());
            }
        }
        Receivers {
            report_receivers,
            sum_receivers,
            is_aggregator,
        }
    }

    /// Sends this node's reports.
    async fn send_reports(
        &self,
        receivers: &Receivers,
        last: &mut HashMap<SocketAddr, LastSent>,
        now: Moment,
    ) {
        // Messages are encoded once for all receivers, by whether they contain loads and usage.
        let mut encoded: HashMap<(bool, bool), Vec<u8>> = HashMap::new();
        for (member, interval) in &receivers.report_receivers {
            let sent = last.entry(member.peers).or_default();
            if !is_due(sent.at, *interval, now) {
                continue;
            }
            let with_loads = member.region == self.state.settings.region;
            let with_usage = is_due(sent.usage_at, USAGE_INTERVAL, now);
            sent.at = now;
            if with_usage {
                sent.usage_at = now;
            }
            let payload = encoded.entry((with_loads, with_usage)).or_insert_with(|| {
                let datagram = DatagramWire {
                    report: Some(self.build_report(with_loads, with_usage)),
                    ..DatagramWire::default()
                };
                datagram.encode_to_vec()
            });
            self.send_to(member, payload).await;
        }
    }

    /// Sends the sums of the own zone to other zones.
    async fn send_sums(
        &self,
        receivers: &Receivers,
        last: &mut HashMap<SocketAddr, LastSent>,
        now: Moment,
    ) {
        let mut encoded: HashMap<bool, Vec<u8>> = HashMap::new();
        for member in &receivers.sum_receivers {
            let same_region = member.region == self.state.settings.region;
            let interval = match same_region {
                true => SUM_INTERVAL,
                false => CROSS_REGION_SUM_INTERVAL,
            };
            let sent = last.entry(member.peers).or_default();
            if !is_due(sent.sums_at, interval, now) {
                continue;
            }
            sent.sums_at = now;
            let payload = encoded.entry(same_region).or_insert_with(|| {
                let datagram = DatagramWire {
                    sums: vec![self.build_zone_sum(same_region, now)],
                    ..DatagramWire::default()
                };
                datagram.encode_to_vec()
            });
            self.send_to(member, payload).await;
        }
    }

    /// Forwards the sums of other zones to the nodes of the own zone.
    async fn forward_sums(
        &self,
        receivers: &Receivers,
        last: &mut HashMap<SocketAddr, LastSent>,
        now: Moment,
    ) {
        let datagrams = self.encode_received_sums(now);
        let bytes: usize = datagrams.iter().map(Vec::len).sum();
        let per_s = self.state.settings.link_mbps * 1e6 / 8.0 * FORWARDING_LINK_SHARE;
        let needed = (bytes * receivers.report_receivers.len()) as f64 / per_s.max(1.0);
        let interval = SUM_INTERVAL.max(Duration::from_secs_f64(needed.min(60.0)));
        for (member, _) in &receivers.report_receivers {
            let sent = last.entry(member.peers).or_default();
            if !is_due(sent.sums_at, interval, now) {
                continue;
            }
            sent.sums_at = now;
            for payload in &datagrams {
                self.send_to(member, payload).await;
            }
        }
    }

    /// Encodes datagrams with the newest sums of other zones.
    fn encode_received_sums(&self, now: Moment) -> Vec<Vec<u8>> {
        let sums = self.sums.lock();
        let fresh = sums.newest.values();
        let fresh = fresh.filter(|received| now.saturating_sub(received.at) <= MAX_SUM_AGE);
        let mut datagrams: Vec<DatagramWire> = Vec::new();
        for received in fresh {
            let sum = received.to_forward(now);
            match datagrams.last_mut() {
                Some(last) if last.encoded_len() + sum.encoded_len() < MAX_DATAGRAM_BYTES => {
                    last.sums.push(sum);
                }
                _ => datagrams.push(DatagramWire {
                    sums: vec![sum],
                    ..DatagramWire::default()
                }),
            }
        }
        datagrams.iter().map(Message::encode_to_vec).collect()
    }

    /// Sends origins of streams to the nodes at the addresses that keep each of them.
    pub async fn send_origins(&self, origins: &[(StreamOrigin, Vec<SocketAddr>)]) {
        let now = self.state.now();
        let mut datagrams: HashMap<SocketAddr, DatagramWire> = HashMap::new();
        for (origin, keepers) in origins {
            for keeper in keepers {
                let datagram = datagrams.entry(*keeper).or_default();
                datagram.origins.push(StreamOriginWire::new(origin, now));
            }
        }
        for (keeper, datagram) in datagrams {
            if let Err(e) = self.socket.send_to(&datagram.encode_to_vec(), keeper).await {
                tracing::debug!(peer = %keeper, error = %e, "failed to send origins of streams");
            }
        }
    }

    /// Sends origins of streams to the node that writes them to the store.
    pub async fn send_archived_origins(&self, origins: &[StreamOrigin], archivist: &Member) {
        let now = self.state.now();
        for origins in origins.chunks(MAX_ORIGINS_PER_DATAGRAM) {
            let origins = origins.iter();
            let datagram = DatagramWire {
                archived_origins: origins.map(|o| StreamOriginWire::new(o, now)).collect(),
                ..DatagramWire::default()
            };
            self.send_to(archivist, &datagram.encode_to_vec()).await;
        }
    }

    async fn send_to(&self, member: &Member, payload: &[u8]) {
        if let Err(e) = self.socket.send_to(payload, member.peers).await {
            tracing::debug!(node = &*member.name, error = %e, "failed to send a message to a node");
        }
    }
}

/// Returns the interval between messages to each of `nodes` that keeps all of them together within the
/// rate limit.
fn interval_for(nodes: usize) -> Duration {
    Duration::from_secs_f64(nodes as f64 / MAX_MESSAGES_PER_S)
}

/// Returns whether an interval has passed. The rounds of the send loop are slightly irregular, so up to
/// a quarter of a round may be missing.
fn is_due(last: Moment, interval: Duration, now: Moment) -> bool {
    now.saturating_sub(last) + MIN_ZONE_INTERVAL / 4 >= interval
}
