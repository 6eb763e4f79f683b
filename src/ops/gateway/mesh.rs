//! What nodes tell each other several times a second, by datagrams that may be lost.
//!
//! A node tells its loads, what it let through for customers, its counts of usage and which changes of the store
//! it knows. Everything told is a present value, so that a later message replaces a lost one.
//!
//! In a small fleet every node tells all others. In a larger one it tells those of its availability zone; one
//! node of each zone, that which can carry most, tells the zone's sums to its like in the other zones and
//! passes on theirs to the nodes of its own. What a node sends and hears a second then hardly grows with the
//! fleet, and a sum of another zone is older by two such messages.

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
use crate::core::gateway::zone_sums::ZoneSenders;
use crate::core::time::Moment;
use crate::util::time::unix_now;

/// Shortest time between two messages to a node of the own availability zone.
const ZONE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two messages to a node of another zone of the own region.
const REGION_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two messages to a node of another region.
const FAR_INTERVAL: Duration = Duration::from_millis(700);
/// Messages that a node sends in a second to the nodes near it, and to those of other regions.
const MESSAGES_PER_S: f64 = 80.0;
/// Nodes up to which every one tells all others.
const SMALL_FLEET: usize = 24;
/// Time between two sums of the own zone to another zone of the region.
const SUM_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two sums of the own zone to a zone of another region.
const FAR_SUM_INTERVAL: Duration = Duration::from_millis(800);
/// Nodes of another zone that are told sums: one takes the other's place where it falls silent.
const TOLD_PER_ZONE: usize = 2;
/// Silence of a node after which another one tells the zone's sums, and after which it is not said to live.
const SILENCE: Duration = Duration::from_millis(1500);
/// Age of another zone's sums from which on they are not passed on.
const STALE_SUM: Duration = Duration::from_secs(2);
/// Part of a VM's link that passing on sums may take.
const LINK_SHARE: f64 = 0.15;
/// Time between two messages that tell counts of usage.
const USAGE_INTERVAL: Duration = Duration::from_millis(900);
/// Windows of usage that are told beside the present one.
const WINDOWS_TOLD: u64 = 3;
/// Time for which it is told that a back end said that it is leaving.
const LEAVING_TOLD: Duration = Duration::from_secs(8);
/// Largest datagram.
const MAX_DATAGRAM: usize = 60 * 1024;

/// When messages were last sent to a node.
#[derive(Clone, Copy, Debug, Default)]
struct LastSent {
    at: Moment,
    usage_at: Moment,
    sums_at: Moment,
}

/// Sums of another zone, to be passed on.
struct HeardSum {
    sum: ZoneSumWire,
    at: Moment,
}

/// Sums of other zones.
#[derive(Default)]
struct HeardSums {
    tellers: ZoneSenders,
    newest: HashMap<ZoneName, HeardSum>,
}

/// Datagrams between nodes.
pub struct Mesh {
    board: Arc<Board>,
    socket: UdpSocket,
    newest: tokio::sync::watch::Sender<u64>,
    sums: Mutex<HeardSums>,
}

/// Nodes that messages are due to.
struct Audience {
    /// Nodes that hear of this one, and the time between two messages.
    near: Vec<(Member, Duration)>,
    /// Nodes of other zones that hear the sums of this one, where this node tells them.
    zones: Vec<Member>,
    /// Whether this node tells the sums of its zone, and its zone those of others.
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

    /// Returns the newest revision of the store that another node has told of.
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
                tracing::info!(tells_sums, "whether this node tells the sums of its zone");
            }
            tokio::time::sleep(ZONE_INTERVAL).await;
        }
    }

    /// Tells all nodes near the present state at once, such as that this node leaves.
    pub async fn send_now(&self) {
        self.send_due(&mut HashMap::new()).await;
    }

    /// Sends what is due. Returns whether this node tells the sums of its zone.
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
        let first = members.largest_in_zone(&settings.zone, own, 1, now, SILENCE);
        let tells_sums = !is_small && first.first().is_some_and(|first| first.name == *own);
        let mut zones = Vec::new();
        if tells_sums {
            for zone in members
                .zones()
                .iter()
                .filter(|zone| **zone != settings.zone)
            {
                let told = members.largest_in_zone(zone, own, TOLD_PER_ZONE, now, SILENCE);
                zones.extend(told.into_iter().cloned());
            }
        }
        Audience {
            near,
            zones,
            tells_sums,
        }
    }

    /// Tells the nodes near of this one.
    async fn send_reports(
        &self,
        audience: &Audience,
        last: &mut HashMap<SocketAddr, LastSent>,
        now: Moment,
    ) {
        // Messages are the same for all nodes near or far, with or without usage.
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

    /// Tells other zones the sums of the own one.
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

    /// Tells the nodes of the own zone the sums of other zones.
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

    /// Returns datagrams with the newest sums of other zones.
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
            tracing::debug!(node = &*member.name, error = %e, "message to a node not sent");
        }
    }

    /// Reads messages until the task is dropped.
    pub async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => match DatagramWire::decode(&buf[..len]) {
                    Ok(datagram) => self.take(datagram),
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
        let mut load = LoadSumWire::default();
        load.set_totals(board.quotas.lock().totals());
        load.set_work(board.work.lock().local_rates(now));
        if with_usage {
            for (window, counts) in board.own_usage() {
                load.add_usage(window, &counts);
            }
        }
        let backends = board.backends.lock();
        if with_loads {
            load.set_loads(&backends.local_loads());
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
        load.set_totals(board.quotas.lock().node_totals());
        load.set_work(board.work.lock().node_rates(now));
        let first = board.window_at(board.wall()).saturating_sub(WINDOWS_TOLD);
        for (window, counts) in board.usage.lock().process_totals(first) {
            load.add_usage(window, &counts);
        }
        let backends = board.backends.lock();
        if with_loads {
            load.set_loads(&backends.node_loads());
        }
        load.leaving = backends.leaving(now, LEAVING_TOLD);
        drop(backends);
        let members = board.members.lock();
        let heard = members.fresh_in_zone(&settings.zone, now, SILENCE);
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
        board.members.lock().apply_report(
            &report.node,
            report.incarnation,
            report.ready,
            report.revision,
            now,
        );
        board
            .clock
            .lock()
            .record(report.incarnation, report.wall_ms, now);
        if let Some(load) = &report.load {
            let totals = load.totals();
            board
                .quotas
                .lock()
                .apply_report(&report.node, report.incarnation, &totals, now);
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
            .accept(&sum.zone, sum.incarnation, sum.number, now)
        {
            return;
        }
        {
            let mut members = board.members.lock();
            for (starts, is_ready) in [(&sum.ready, true), (&sum.not_ready, false)] {
                for incarnation in starts {
                    members.apply_indirect_report(*incarnation, is_ready, now);
                }
            }
            members.apply_report(&sum.node, sum.incarnation, true, sum.revision, now);
        }
        board.clock.lock().record(sum.incarnation, sum.wall_ms, now);
        board.quotas.lock().apply_zone_report(&sum.totals(), now);
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
        board.work.lock().apply_report(from, zone, load.work(), now);
        let mut backends = board.backends.lock();
        if let Some(loads) = load.loads() {
            backends.apply_report(from, &loads, now);
        }
        for backend in backends.apply_leaving_report(&load.leaving, now) {
            tracing::info!(backend = &*backend, source = "node", "back end leaving");
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

/// Returns whether something is due that was last done at a moment. Rounds are a little irregular.
fn is_due(last: Moment, interval: Duration, now: Moment) -> bool {
    now.saturating_sub(last) + ZONE_INTERVAL / 4 >= interval
}
