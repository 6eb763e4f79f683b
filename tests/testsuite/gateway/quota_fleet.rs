//! A model of a fleet whose nodes lend and charge quotas, on simulated time and without a network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jayhall::core::gateway::precedence::Priority;
use jayhall::core::gateway::quota::{
    Charge, FleetNode, LEASE, Lend, LendAck, NextRenewal, QuotaNode, Reply, Shortage, Work,
};
use jayhall::core::gateway::routes::Quota;

/// Window in seconds for which the bound on admitted units is guaranteed.
pub(super) const WINDOW: u64 = 8;
/// Guaranteed bound on the excess over the limit: a fraction of the limit, plus a number of tokens.
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 190_000.0;

/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 10;
/// Interval at which a node renews leases, in milliseconds, and the one while messages are urgent.
const RENEWAL_MS: u64 = 500;
const URGENT_RENEWAL_MS: u64 = 100;
/// Time from the start of a process until it knows the other nodes and serves calls, in milliseconds.
const VIEW_MS: u64 = 200;
/// Time without a message after which a node counts as silent.
const NODE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which a holder has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
const CUSTOMER: &str = "anna";

/// Which nodes hear each other.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Links {
    /// All do.
    Whole,
    /// Nodes of the first half of the zones hear each other, and those of the second half.
    Halves,
    /// All but the nodes of this zone, which hear each other.
    ZoneCut(usize),
    /// All but these, which hear no other.
    NodesCut(Vec<usize>),
    /// None does.
    Lost,
}

enum Message {
    Lend(Lend),
    Ack(LendAck),
    Charge(f64),
}

struct Node {
    name: Box<str>,
    zone: usize,
    incarnation: u64,
    quota: QuotaNode,
    /// When its process starts, and when it knows the other nodes.
    starts_at: Duration,
    knows_nodes_at: Duration,
    /// Whether an acknowledgement makes a renewal due at once.
    is_renewal_due: bool,
}

/// A fleet of nodes in zones, which belong in turn to regions.
pub(super) struct Fleet {
    nodes: Vec<Node>,
    names: Arc<[Box<str>]>,
    region_of: Arc<[String]>,
    zones: usize,
    limit: Quota,
    call_units: f64,
    pub(super) links: Links,
    changed_at: Duration,
    /// Time that a message takes.
    pub(super) delay: Duration,
    /// Messages under way, by arrival and number: sender, receiver and content.
    under_way: BTreeMap<(Duration, u64), (usize, usize, Message)>,
    messages: u64,
    /// Weight of each node in the calls.
    pub(super) weights: Option<Vec<f64>>,
    due: Vec<f64>,
    admitted: Vec<(Duration, f64)>,
    offered: Vec<(Duration, f64)>,
    calls: u64,
    pub(super) last_shortage: Option<Shortage>,
    /// Nodes that are not ready to hold quotas, but go on.
    unready: Vec<usize>,
}

impl Fleet {
    pub(super) fn new(
        nodes: usize,
        zones: usize,
        regions: usize,
        limit: Quota,
        call_units: f64,
    ) -> Self {
        let node = |at: usize| {
            let name: Box<str> = format!("n{at}").into();
            let incarnation = at as u64 + 1;
            Node {
                quota: QuotaNode::new(name.clone(), incarnation, Duration::ZERO),
                name,
                zone: at % zones,
                incarnation,
                starts_at: Duration::ZERO,
                knows_nodes_at: Duration::ZERO,
                is_renewal_due: false,
            }
        };
        let mut fleet = Self {
            nodes: (0..nodes).map(node).collect(),
            names: (0..nodes).map(|at| format!("n{at}").into()).collect(),
            // Each half of the zones has nodes of all regions.
            region_of: (0..nodes)
                .map(|at| format!("r{}", at % zones % regions))
                .collect(),
            zones,
            limit,
            call_units,
            links: Links::Whole,
            changed_at: Duration::ZERO,
            delay: Duration::ZERO,
            under_way: BTreeMap::new(),
            messages: 0,
            weights: None,
            due: vec![0.0; nodes],
            admitted: Vec::new(),
            offered: Vec::new(),
            calls: 0,
            last_shortage: None,
            unready: Vec::new(),
        };
        fleet.set_limit(limit);
        fleet
    }

    pub(super) fn set_limit(&mut self, limit: Quota) {
        self.limit = limit;
        let quotas = Arc::new([(CUSTOMER.into(), limit)].into());
        for node in &mut self.nodes {
            node.quota.set_quotas(Arc::clone(&quotas));
        }
    }

    /// Changes which nodes hear each other, from the time `at_ms` on.
    pub(super) fn set_links(&mut self, links: Links, at_ms: u64) {
        self.links = links;
        self.changed_at = Duration::from_millis(at_ms);
    }

    /// Replaces the processes of nodes, without a time in which they do not run.
    pub(super) fn restart(&mut self, nodes: impl IntoIterator<Item = usize>, at_ms: u64) {
        for at in nodes {
            self.replace_process(at, at_ms);
        }
    }

    /// Ends the processes of all nodes. Each starts anew at the time that `start_ms` returns, and knows the other nodes
    /// a while later.
    pub(super) fn lose_all(&mut self, start_ms: impl Fn(usize) -> u64) {
        for at in 0..self.nodes.len() {
            let starts_at = start_ms(at);
            self.replace_process(at, starts_at);
            self.nodes[at].knows_nodes_at = Duration::from_millis(starts_at + VIEW_MS);
        }
        self.under_way.clear();
    }

    /// Replaces the process of a node, whose entry is still in the store.
    fn replace_process(&mut self, at: usize, start_ms: u64) {
        let quotas = Arc::new([(CUSTOMER.into(), self.limit)].into());
        let node = &mut self.nodes[at];
        node.incarnation += 1_000_000;
        node.starts_at = Duration::from_millis(start_ms);
        node.knows_nodes_at = node.starts_at;
        node.quota = QuotaNode::new(node.name.clone(), node.incarnation, node.starts_at);
        node.quota.set_quotas(quotas);
        node.quota.lender.note_predecessor();
    }

    /// Lets other nodes become the holders in the first `zones` zones, as if the present ones were about to leave.
    pub(super) fn move_holders(&mut self, zones: usize, at_ms: u64) {
        let now = Duration::from_millis(at_ms);
        let mut holders: Vec<usize> = Vec::new();
        for node in &self.nodes {
            let names = node.quota.lender.current_holders(CUSTOMER, now);
            holders.extend(names.map(|name| self.position(name)));
        }
        holders.retain(|at| self.nodes[*at].zone < zones);
        self.unready.extend(holders);
        self.unready.sort_unstable();
        self.unready.dedup();
    }

    /// Returns the positions of nine in ten nodes.
    pub(super) fn nine_in_ten(&self) -> impl Iterator<Item = usize> + use<> {
        (0..self.nodes.len()).filter(|at| at % 10 != 0)
    }

    /// Simulates a period in which `rate` units a second arrive.
    pub(super) fn run(&mut self, from_ms: u64, to_ms: u64, rate: f64) {
        let count = self.nodes.len();
        let mut spread = 0.0;
        for ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
            let now = Duration::from_millis(ms);
            self.deliver(now);
            self.renew(ms);
            let units = rate * STEP_MS as f64 / 1e3;
            match self.weights.clone() {
                Some(weights) => {
                    let total: f64 = weights.iter().sum();
                    for (at, weight) in weights.iter().enumerate() {
                        self.due[at] += units * weight / total;
                        while self.due[at] >= self.call_units {
                            self.due[at] -= self.call_units;
                            self.call(at, now);
                        }
                    }
                }
                None => {
                    spread += units;
                    while spread >= self.call_units {
                        spread -= self.call_units;
                        self.call((self.calls as usize * 7919) % count, now);
                    }
                }
            }
        }
    }

    /// Charges a call that arrives at a node, as `ops::gateway::quota` does.
    fn call(&mut self, at: usize, now: Duration) {
        self.calls += 1;
        self.offered.push((now, self.call_units));
        if now < self.nodes[at].knows_nodes_at {
            return;
        }
        let order = self.nodes[at]
            .quota
            .ask_order(CUSTOMER, self.calls as usize, now);
        for holder in order {
            let to = self.position(&holder);
            match self.ask(at, to, now) {
                Some(Reply::Granted) => {
                    self.admitted.push((now, self.call_units));
                    return;
                }
                Some(Reply::Refused(shortage)) => self.last_shortage = Some(shortage),
                Some(Reply::NotHolder) => {}
                None => self.nodes[at].quota.silences.record(&holder, now),
            }
        }
    }

    fn ask(&mut self, from: usize, to: usize, now: Duration) -> Option<Reply> {
        if from != to && !self.hears(from, to) || now < self.nodes[to].starts_at {
            return None;
        }
        if from != to && self.delay * 2 > ANSWER_TIMEOUT {
            self.send(from, to, Message::Charge(self.call_units), now);
            return None;
        }
        let reply = self.charge(to, self.call_units, now);
        let holder = self.names[to].clone();
        self.nodes[from].quota.silences.clear(&holder);
        Some(reply)
    }

    fn charge(&mut self, to: usize, units: f64, now: Duration) -> Reply {
        let charge = Charge {
            id: self.calls,
            customer: CUSTOMER,
            units,
            work: Work::New,
            priority: Priority::default(),
        };
        self.nodes[to].quota.charge(&charge, now)
    }

    fn renew(&mut self, ms: u64) {
        let now = Duration::from_millis(ms);
        let is_silent_now = now.saturating_sub(self.changed_at) > NODE_TIMEOUT;
        let is_due = |at: &usize| {
            let node = &self.nodes[*at];
            // Nothing is urgent in the first processes, which wait for a lease.
            let is_restarted = node.starts_at > Duration::ZERO;
            let interval = match is_restarted && node.quota.lender.is_urgent(now) {
                true => URGENT_RENEWAL_MS,
                false => RENEWAL_MS,
            };
            let is_time = (ms + *at as u64 * STEP_MS).is_multiple_of(interval);
            now >= node.knows_nodes_at && (is_time || node.is_renewal_due)
        };
        let due: Vec<usize> = (0..self.nodes.len()).filter(is_due).collect();
        let (names, regions) = (Arc::clone(&self.names), Arc::clone(&self.region_of));
        for at in due {
            let fleet: Vec<FleetNode<'_>> = (0..names.len())
                .map(|other| FleetNode {
                    name: &names[other],
                    region: &regions[other],
                    is_able: !self.unready.contains(&other)
                        && (at == other || self.hears(at, other) || !is_silent_now),
                })
                .collect();
            self.nodes[at].is_renewal_due = false;
            let quota = &mut self.nodes[at].quota;
            let lends = quota.renew(&fleet, names.len(), &regions[at], now);
            for (holder, lend) in lends {
                let to = self.position(&holder);
                self.send(at, to, Message::Lend(lend), now);
            }
        }
    }

    fn deliver(&mut self, now: Duration) {
        while let Some(entry) = self.under_way.first_entry()
            && entry.key().0 <= now
        {
            let (from, to, message) = entry.remove();
            if now < self.nodes[to].starts_at {
                continue;
            }
            match message {
                Message::Lend(lend) => {
                    let ack = self.nodes[to].quota.apply_lend(&lend, now);
                    if let Some(ack) = ack {
                        self.send(to, from, Message::Ack(ack), now);
                    }
                }
                Message::Ack(ack) => {
                    let holder = self.nodes[from].name.clone();
                    let node = &mut self.nodes[to];
                    let next = node.quota.lender.apply_ack(&holder, &ack, now);
                    node.is_renewal_due |= next == NextRenewal::AtOnce;
                }
                Message::Charge(units) => {
                    self.charge(to, units, now);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now: Duration) {
        if self.hears(from, to) {
            self.messages += 1;
            let key = (now + self.delay, self.messages);
            self.under_way.insert(key, (from, to, message));
        }
    }

    fn hears(&self, a: usize, b: usize) -> bool {
        let (zone, other) = (self.nodes[a].zone, self.nodes[b].zone);
        match &self.links {
            Links::Whole => true,
            Links::Halves => (zone < self.zones / 2) == (other < self.zones / 2),
            Links::ZoneCut(cut) => (zone == *cut) == (other == *cut),
            Links::NodesCut(cut) => a == b || !(cut.contains(&a) || cut.contains(&b)),
            Links::Lost => a == b,
        }
    }

    fn position(&self, name: &str) -> usize {
        name[1..].parse().unwrap()
    }

    /// Returns the positions of the nodes of a zone.
    pub(super) fn zone(&self, zone: usize) -> Vec<f64> {
        let in_zone = self.nodes.iter().map(|node| node.zone == zone);
        in_zone.map(f64::from).collect()
    }

    /// Returns the number of units that were offered.
    pub(super) fn offered(&self) -> f64 {
        self.calls as f64 * self.call_units
    }

    /// Lets the calls of nodes with equal weights arrive one after the other, and not all at the same moment.
    pub(super) fn spread_arrivals(&mut self) {
        let count = self.due.len();
        for (at, due) in self.due.iter_mut().enumerate() {
            *due = self.call_units * (at * 7919 % count) as f64 / count as f64;
        }
    }

    /// Returns the units that one token bucket with the customer's limit, full at the beginning, admits of those that
    /// were offered in a period.
    pub(super) fn admitted_by_one_bucket(&self, from_ms: u64, to_ms: u64) -> f64 {
        let period = Duration::from_millis(from_ms)..Duration::from_millis(to_ms);
        let (mut level, mut refilled_at, mut admitted) = (self.limit.burst, period.start, 0.0);
        for (at, units) in self.offered.iter().filter(|(at, _)| period.contains(at)) {
            let refill = self.limit.per_second * (*at - refilled_at).as_secs_f64();
            level = self.limit.burst.min(level + refill);
            refilled_at = *at;
            if *units <= level {
                level -= units;
                admitted += units;
            }
        }
        admitted
    }

    /// Returns the units admitted in a period.
    pub(super) fn admitted_in(&self, from_ms: u64, to_ms: u64) -> f64 {
        let is_inside = |at: &Duration| (from_ms..to_ms).contains(&(at.as_millis() as u64));
        let calls = self.admitted.iter().filter(|(at, _)| is_inside(at));
        calls.map(|(_, units)| units).sum()
    }

    /// Returns the largest number of units admitted in a window that begins at `from_ms` or later.
    fn worst_window(&self, from_ms: u64) -> f64 {
        let from = Duration::from_millis(from_ms);
        let admitted: Vec<_> = self.admitted.iter().filter(|(at, _)| *at >= from).collect();
        let window = Duration::from_secs(WINDOW);
        let (mut first, mut sum, mut worst) = (0, 0.0, 0.0f64);
        for (at, units) in &admitted {
            sum += units;
            while admitted[first].0 + window <= *at {
                sum -= admitted[first].1;
                first += 1;
            }
            worst = worst.max(sum);
        }
        worst
    }

    /// Returns the worst window as a fraction of what is allowed in it.
    pub(super) fn worst_ratio(&self, from_ms: u64) -> f64 {
        self.worst_window(from_ms) / allowed(&self.limit)
    }

    /// Checks the guaranteed bound for all windows that begin at `from_ms` or later.
    pub(super) fn assert_within(&self, from_ms: u64) {
        let (worst, allowed) = (self.worst_window(from_ms), allowed(&self.limit));
        assert!(worst <= allowed, "{worst} in {WINDOW} s, allowed {allowed}");
    }
}

/// Returns the largest number of units that a customer may get in a window.
pub(super) fn allowed(quota: &Quota) -> f64 {
    (quota.per_second * WINDOW as f64 + quota.burst) * (1.0 + OVERRUN) + SLACK
}

/// Time from the start of a fleet until its buckets are full, in milliseconds: nothing is lent for a lease.
pub(super) const WARM_UP_MS: u64 = LEASE.as_millis() as u64 + 2_000;
