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

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use prost::Message;
use tokio::net::UdpSocket;

use super::board::{Board, Phase};
use super::mesh_wire::{DatagramWire, LoadSumWire, ReportWire, ZoneSumWire};
use crate::core::gateway::members::Member;
use crate::core::gateway::origin::{Origin, ZoneName};
use crate::core::gateway::zone_sums::ZoneTellers;
use crate::core::time::Moment;
use crate::util::time::unix_now;

/// Shortest interval between messages to a node of the own availability zone; also the period of the
/// send loop.
const ZONE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval between messages to a node of another zone in the own region.
const REGION_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between messages to a node of another region.
const FAR_INTERVAL: Duration = Duration::from_millis(700);
/// Limit on the messages that a node sends per second within its region, and on those to other regions.
const MESSAGES_PER_S: f64 = 80.0;
/// Largest fleet in which every node sends reports to all others.
const SMALL_FLEET: usize = 24;
/// Interval between sums of the own zone to another zone of the region.
const SUM_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between sums of the own zone to a zone of another region.
const FAR_SUM_INTERVAL: Duration = Duration::from_millis(800);
/// Number of nodes of another zone that receive sums: the second one is a standby for its zone's
/// aggregator.
const TOLD_PER_ZONE: usize = 2;
/// Time without a message of a node after which another one becomes the zone's aggregator, and after
/// which it is no longer reported as alive.
const SILENCE: Duration = Duration::from_millis(1500);
/// Age above which another zone's sums are no longer forwarded.
const STALE_SUM: Duration = Duration::from_secs(2);
/// Part of a VM's link bandwidth that forwarded sums may use.
const LINK_SHARE: f64 = 0.15;
/// Interval between messages that contain usage counts.
const USAGE_INTERVAL: Duration = Duration::from_millis(900);
/// Number of usage windows that are sent besides the current one.
const WINDOWS_TOLD: u64 = 3;
/// Time for which a back end's announcement that it is leaving is passed on to other nodes.
const LEAVING_TOLD: Duration = Duration::from_secs(8);
/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 60 * 1024;

/// Times at which messages were last sent to a node.
#[derive(Clone, Copy, Debug, Default)]
struct LastSent {
    at: Moment,
    usage_at: Moment,
    sums_at: Moment,
}

/// Sums received from another zone.
struct HeardSum {
    sum: ZoneSumWire,
    at: Moment,
}

/// Sums received from other zones.
#[derive(Default)]
struct HeardSums {
    tellers: ZoneTellers,
    newest: HashMap<ZoneName, HeardSum>,
}

/// Exchange of datagrams between nodes.
pub struct Mesh {
    board: Arc<Board>,
    socket: UdpSocket,
    newest: tokio::sync::watch::Sender<u64>,
    sums: Mutex<HeardSums>,
}

/// Nodes that this node sends messages to.
struct Audience {
    /// Nodes that receive this node's reports, and the interval between two of them.
    near: Vec<(Member, Duration)>,
    /// Nodes of other zones that receive the sums of this zone, if this node is the aggregator.
    zones: Vec<Member>,
    /// Whether this node is its zone's aggregator.
    tells_sums: bool,
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
            sums: Mutex::default(),
        }))
    }

    /// Returns the newest store revision that another node reported and this node did not have.
    pub fn newest(&self) -> tokio::sync::watch::Receiver<u64> {
        self.newest.subscribe()
    }

    /// Sends messages until the task is dropped.
    pub async fn send(self: Arc<Self>) {
        let mut last = HashMap::new();
        let mut told_sums = false;
        loop {
            let tells_sums = self.send_due(&mut last).await;
            if tells_sums != told_sums {
                told_sums = tells_sums;
                tracing::info!(tells_sums, "role of the zone's aggregator changed");
            }
            tokio::time::sleep(ZONE_INTERVAL).await;
        }
    }

    /// Sends the current state at once, for example that this node is leaving.
    pub async fn send_now(&self) {
        self.send_due(&mut HashMap::new()).await;
    }

    /// Sends all messages that are due. Returns whether this node is its zone's aggregator.
    async fn send_due(&self, last: &mut HashMap<SocketAddr, LastSent>) -> bool {
        let now = self.board.now();
        let audience = self.audience(now);
        self.send_reports(&audience, last, now).await;
        if audience.tells_sums {
            self.send_sums(&audience, last, now).await;
            self.pass_on_sums(&audience, last, now).await;
        }
        let is_known = |address: &SocketAddr| {
            let near = audience.near.iter().map(|(member, _)| member);
            near.chain(&audience.zones).any(|m| m.peers == *address)
        };
        last.retain(|address, _| is_known(address));
        audience.tells_sums
    }

    fn audience(&self, now: Moment) -> Audience {
        let settings = &self.board.settings;
        let own = &settings.name;
        let members = self.board.members.lock();
        let is_small = members.count() <= SMALL_FLEET;
        let others = members.iter().filter(|member| member.name != *own);
        let heard_by = others.filter(|member| is_small || member.zone == settings.zone);
        let near: Vec<Member> = heard_by.cloned().collect();
        let in_region = near.iter().filter(|m| m.region == settings.region).count();
        let region = interval_for(in_region);
        let far = interval_for(near.len() - in_region);
        let near = near.into_iter().map(|member| {
            let interval = if member.zone == settings.zone {
                ZONE_INTERVAL.max(if is_small { region / 2 } else { region })
            } else if member.region == settings.region {
                REGION_INTERVAL.max(region)
            } else {
                FAR_INTERVAL.max(far)
            };
            (member, interval)
        });
        let near = near.collect();
        let first = members.ablest(&settings.zone, own, 1, now, SILENCE);
        let tells_sums = !is_small && first.first().is_some_and(|first| first.name == *own);
        let mut zones = Vec::new();
        if tells_sums {
            for zone in members
                .zones()
                .iter()
                .filter(|zone| **zone != settings.zone)
            {
                let told = members.ablest(zone, own, TOLD_PER_ZONE, now, SILENCE);
                zones.extend(told.into_iter().cloned());
            }
        }
        Audience {
            near,
            zones,
            tells_sums,
        }
    }

    /// Sends this node's reports.
    async fn send_reports(
        &self,
        audience: &Audience,
        last: &mut HashMap<SocketAddr, LastSent>,
        now: Moment,
    ) {
        // Messages are encoded once for all receivers, by whether they contain loads and usage.
        let mut texts: HashMap<(bool, bool), Vec<u8>> = HashMap::new();
        for (member, interval) in &audience.near {
            let sent = last.entry(member.peers).or_default();
            if !is_due(sent.at, *interval, now) {
                continue;
            }
            let with_loads = member.region == self.board.settings.region;
            let with_usage = is_due(sent.usage_at, USAGE_INTERVAL, now);
            sent.at = now;
            if with_usage {
                sent.usage_at = now;
            }
            let text = texts.entry((with_loads, with_usage)).or_insert_with(|| {
                let datagram = DatagramWire {
                    report: Some(self.report(with_loads, with_usage)),
                    sums: Vec::new(),
                };
                datagram.encode_to_vec()
            });
            self.send_to(member, text).await;
        }
    }

    /// Sends the sums of the own zone to other zones.
    async fn send_sums(
        &self,
        audience: &Audience,
        last: &mut HashMap<SocketAddr, LastSent>,
        now: Moment,
    ) {
        let mut texts: HashMap<bool, Vec<u8>> = HashMap::new();
        for member in &audience.zones {
            let is_near = member.region == self.board.settings.region;
            let interval = match is_near {
                true => SUM_INTERVAL,
                false => FAR_SUM_INTERVAL,
            };
            let sent = last.entry(member.peers).or_default();
            if !is_due(sent.sums_at, interval, now) {
                continue;
            }
            sent.sums_at = now;
            let text = texts.entry(is_near).or_insert_with(|| {
                let datagram = DatagramWire {
                    report: None,
                    sums: vec![self.own_sum(is_near, now)],
                };
                datagram.encode_to_vec()
            });
            self.send_to(member, text).await;
        }
    }

    /// Forwards the sums of other zones to the nodes of the own zone.
    async fn pass_on_sums(
        &self,
        audience: &Audience,
        last: &mut HashMap<SocketAddr, LastSent>,
        now: Moment,
    ) {
        let datagrams = self.sums_to_pass_on(now);
        let bytes: usize = datagrams.iter().map(Vec::len).sum();
        let per_s = self.board.settings.link_mbps * 1e6 / 8.0 * LINK_SHARE;
        let needed = (bytes * audience.near.len()) as f64 / per_s.max(1.0);
        let interval = SUM_INTERVAL.max(Duration::from_secs_f64(needed.min(60.0)));
        for (member, _) in &audience.near {
            let sent = last.entry(member.peers).or_default();
            if !is_due(sent.sums_at, interval, now) {
                continue;
            }
            sent.sums_at = now;
            for text in &datagrams {
                self.send_to(member, text).await;
            }
        }
    }

    /// Encodes datagrams with the newest sums of other zones.
    fn sums_to_pass_on(&self, now: Moment) -> Vec<Vec<u8>> {
        let sums = self.sums.lock();
        let fresh = sums.newest.values();
        let fresh = fresh.filter(|heard| now.saturating_sub(heard.at) <= STALE_SUM);
        let mut datagrams: Vec<DatagramWire> = Vec::new();
        for heard in fresh {
            match datagrams.last_mut() {
                Some(last) if last.encoded_len() + heard.sum.encoded_len() < MAX_DATAGRAM => {
                    last.sums.push(heard.sum.clone());
                }
                _ => datagrams.push(DatagramWire {
                    report: None,
                    sums: vec![heard.sum.clone()],
                }),
            }
        }
        datagrams.iter().map(Message::encode_to_vec).collect()
    }

    async fn send_to(&self, member: &Member, text: &[u8]) {
        if let Err(e) = self.socket.send_to(text, member.peers).await {
            tracing::debug!(node = &*member.name, error = %e, "failed to send a message to a node");
        }
    }

    /// Receives messages until the task is dropped.
    pub async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => match DatagramWire::decode(&buf[..len]) {
                    Ok(datagram) => self.take(datagram),
                    Err(e) => {
                        tracing::warn!(%from, error = %e, "cannot decode a message of a node")
                    }
                },
                Err(e) => {
                    tracing::warn!(error = %e, "failed to receive messages of nodes");
                    tokio::time::sleep(ZONE_INTERVAL).await;
                }
            }
        }
    }

    fn report(&self, with_loads: bool, with_usage: bool) -> ReportWire {
        let board = &self.board;
        let now = board.now();
        let mut load = LoadSumWire::default();
        load.set_totals(board.quotas.lock().totals());
        load.set_work(board.work.lock().own(now));
        if with_usage {
            for (window, counts) in board.own_usage() {
                load.add_usage(window, &counts);
            }
        }
        let backends = board.backends.lock();
        if with_loads {
            load.set_loads(&backends.own_loads());
        }
        load.leaving = backends.leaving(now, LEAVING_TOLD);
        drop(backends);
        ReportWire {
            node: board.settings.name.to_string(),
            incarnation: board.incarnation,
            wall_ms: unix_now(),
            ready: board.phase() == Phase::Serving,
            revision: board.view.lock().revision,
            config_version: board.table().map_or(0, |table| table.version),
            zone: board.settings.zone.to_string(),
            load: Some(load),
        }
    }

    /// Returns the sums over the own zone.
    fn own_sum(&self, with_loads: bool, now: Moment) -> ZoneSumWire {
        let board = &self.board;
        let settings = &board.settings;
        let mut load = LoadSumWire::default();
        load.set_totals(board.quotas.lock().totals_of_nodes());
        load.set_work(board.work.lock().of_nodes(now));
        let first = board.window_at(board.wall()).saturating_sub(WINDOWS_TOLD);
        for (window, counts) in board.usage.lock().of_processes(first) {
            load.add_usage(window, &counts);
        }
        let backends = board.backends.lock();
        if with_loads {
            load.set_loads(&backends.loads_of_nodes());
        }
        load.leaving = backends.leaving(now, LEAVING_TOLD);
        drop(backends);
        let members = board.members.lock();
        let heard = members.heard_in_zone(&settings.zone, now, SILENCE);
        let (ready, not_ready): (Vec<&Member>, Vec<&Member>) =
            heard.partition(|member| member.is_ready);
        let starts = |members: Vec<&Member>| members.iter().map(|m| m.incarnation).collect();
        let mut ready: Vec<u64> = starts(ready);
        if board.phase() == Phase::Serving {
            ready.push(board.incarnation);
        }
        ZoneSumWire {
            zone: settings.zone.to_string(),
            node: settings.name.to_string(),
            incarnation: board.incarnation,
            number: now.as_millis() as u64,
            wall_ms: unix_now(),
            revision: board.view.lock().revision,
            ready,
            not_ready: starts(not_ready),
            load: Some(load),
        }
    }

    fn take(&self, datagram: DatagramWire) {
        if let Some(report) = &datagram.report {
            self.take_report(report);
        }
        for sum in datagram.sums {
            self.take_sum(sum);
        }
    }

    fn take_report(&self, report: &ReportWire) {
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
        if let Some(load) = &report.load {
            let totals = load.totals();
            board
                .quotas
                .lock()
                .heard(&report.node, report.incarnation, &totals, now);
            for (window, counts) in load.usage() {
                board
                    .usage
                    .lock()
                    .merge(report.incarnation, window, &counts);
            }
            self.take_load(&report.node[..].into(), &report.zone, load, now);
        }
        self.note_revision(report.revision);
    }

    fn take_sum(&self, sum: ZoneSumWire) {
        let board = &self.board;
        let now = board.now();
        if *sum.zone == *board.settings.zone {
            return;
        }
        let mut sums = self.sums.lock();
        if !sums
            .tellers
            .takes(&sum.zone, sum.incarnation, sum.number, now)
        {
            return;
        }
        {
            let mut members = board.members.lock();
            for (starts, is_ready) in [(&sum.ready, true), (&sum.not_ready, false)] {
                for incarnation in starts {
                    members.heard_by_other(*incarnation, is_ready, now);
                }
            }
            members.heard(&sum.node, sum.incarnation, true, sum.revision, now);
        }
        board.clock.lock().note(sum.incarnation, sum.wall_ms, now);
        board.quotas.lock().heard_zone(&sum.totals(), now);
        if let Some(load) = &sum.load {
            for (window, counts) in load.usage() {
                board.usage.lock().merge_zone(&sum.zone, window, &counts);
            }
            let from = Origin::Zone(sum.zone.as_str().into());
            self.take_load(&from, &sum.zone, load, now);
        }
        self.note_revision(sum.revision);
        let zone = sum.zone.as_str().into();
        sums.newest.insert(zone, HeardSum { sum, at: now });
    }

    fn take_load(&self, from: &Origin, zone: &str, load: &LoadSumWire, now: Moment) {
        let board = &self.board;
        board.work.lock().told(from, zone, load.work(), now);
        let mut backends = board.backends.lock();
        if let Some(loads) = load.loads() {
            backends.told(from, &loads, now);
        }
        for backend in backends.told_leaving(&load.leaving, now) {
            tracing::info!(backend = &*backend, source = "node", "back end leaving");
        }
    }

    /// Announces a revision that is newer than this node's view. This is repeated with each message, as
    /// an earlier attempt to fetch the changes may have failed.
    fn note_revision(&self, revision: u64) {
        if revision > self.board.view.lock().revision {
            self.newest.send_replace(revision);
        }
    }
}

/// Returns the interval between messages to each of `nodes` that keeps all of them together within the
/// rate limit.
fn interval_for(nodes: usize) -> Duration {
    Duration::from_secs_f64(nodes as f64 / MESSAGES_PER_S)
}

/// Returns whether an interval has passed. The rounds of the send loop are slightly irregular, so up to
/// a quarter of a round may be missing.
fn is_due(last: Moment, interval: Duration, now: Moment) -> bool {
    now.saturating_sub(last) + ZONE_INTERVAL / 4 >= interval
}
