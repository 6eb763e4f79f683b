//! Discrete-event simulation of a network of membership state machines, with a virtual clock.
//!
//! Used to test membership and to measure its cost. No other part of a node is simulated.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use jayhall::core::id::{Address, NodeId};
use jayhall::core::membership::{
    Action, Event, Member, MemberRecord, MemberState, Membership, Message, StateChange,
};
use jayhall::core::time::Moment;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// Tick interval of each state machine.
pub const TICK: Duration = Duration::from_millis(100);
/// Timeout of a gossip exchange, including its retry.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout of an indirect probe.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// One-way latency between two nodes of a region.
const NEAR_LATENCY: Duration = Duration::from_millis(1);
/// One-way latency between two nodes of different regions.
const FAR_LATENCY: Duration = Duration::from_millis(12);

/// The node that started an exchange, and the member that the exchange is addressed to.
type Initiator = (usize, Option<NodeId>);

#[derive(Debug)]
enum Delivery {
    Tick(usize),
    Event(usize, Event),
    Request(usize, usize, Option<NodeId>, Message),
}

/// A simulated node.
#[derive(Debug)]
pub struct Node {
    /// Membership state machine of the node.
    pub machine: Membership,
    /// Whether the node is running.
    pub is_up: bool,
    /// Bytes sent, according to the state machine's upper bound on message sizes.
    pub sent: usize,
    /// Number of messages sent.
    pub messages: usize,
    /// Size of the largest message sent, in bytes.
    pub largest: usize,
    /// Newer document revisions announced to the node, with the addresses that have them.
    pub heard: Vec<(Address, u64)>,
}

/// Simulated network of membership state machines.
pub struct Net {
    /// The nodes, in the order in which they were added.
    pub nodes: Vec<Node>,
    /// Virtual time.
    pub now: Moment,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Partitioned pair of regions, between which no message is delivered.
    pub cut: Option<(&'static str, &'static str)>,
    /// Members that another node declared dead while they were up (false positives).
    pub false_deaths: BTreeSet<NodeId>,
    queue: BTreeMap<(Moment, u64), Delivery>,
    next: u64,
    /// Wall-clock time spent in the state machines.
    pub busy: Duration,
    by_address: BTreeMap<Address, usize>,
    rng: ChaCha8Rng,
}

impl Net {
    /// Creates an empty network.
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            now: Moment::ZERO,
            loss: 0.0,
            cut: None,
            false_deaths: BTreeSet::new(),
            queue: BTreeMap::new(),
            next: 0,
            busy: Duration::ZERO,
            by_address: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Creates nodes distributed over zones, given as pairs of region and zone. The first three nodes are the
    /// seeds of all nodes.
    ///
    /// # Panics
    ///
    /// Panics if `zones` is empty.
    pub fn with_nodes(seed: u64, count: usize, zones: &[(&str, &str)]) -> Self {
        let mut net = Self::new(seed);
        for at in 0..count {
            let (region, zone) = zones[at % zones.len()];
            net.add(region, zone);
        }
        net
    }

    /// Adds all members to the table of every node, to skip discovery through the seeds.
    pub fn introduce_all(&mut self) {
        let owns = self
            .nodes
            .iter()
            .map(|node| node.machine.this_node().clone());
        let members: Vec<_> = owns.map(MemberRecord::Full).collect();
        for at in 0..self.nodes.len() {
            let message = Message {
                from: self.name(at),
                members: members.clone(),
                ..Message::default()
            };
            // The reply is discarded.
            self.nodes[at]
                .machine
                .handle(self.now, Event::Received(message));
        }
    }

    /// Starts a node with the first three nodes as seeds. Returns its number.
    pub fn add(&mut self, region: &str, zone: &str) -> usize {
        let at = self.nodes.len();
        self.start(member(at, region, zone))
    }

    /// Crashes a node and starts a new process at its address. Returns the number of the new node.
    pub fn restart(&mut self, at: usize) -> usize {
        self.nodes[at].is_up = false;
        let old = self.nodes[at].machine.this_node().clone();
        let mut new = member(self.nodes.len(), &old.region, &old.zone);
        new.peer_address = old.peer_address;
        self.start(new)
    }

    fn start(&mut self, member: Member) -> usize {
        let at = self.nodes.len();
        self.by_address.insert(member.peer_address, at);
        let mut machine = Membership::new(member, 1000 + at as u64, self.now);
        let seeds = (0..3).map(address).collect();
        machine.handle(self.now, Event::Seeds(seeds));
        self.nodes.push(Node {
            machine,
            is_up: true,
            sent: 0,
            messages: 0,
            largest: 0,
            heard: Vec::new(),
        });
        let jitter = TICK.mul_f64(self.rng.random_range(0.0..1.0));
        self.push(jitter, Delivery::Tick(at));
        at
    }

    /// Advances the simulation by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = end;
    }

    /// Runs until the condition holds or `most` has passed. Returns the elapsed virtual time, or `None` if the
    /// condition does not hold.
    pub fn run_until(
        &mut self,
        most: Duration,
        is_met: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + most {
            if is_met(self) {
                return Some(self.now - start);
            }
            self.run(TICK / 2);
        }
        is_met(self).then(|| self.now - start)
    }

    /// Delivers an event to a node immediately.
    pub fn event(&mut self, at: usize, event: Event) {
        let actions = self.handle(at, event);
        self.act(at, actions, None);
    }

    /// Delivers a message to a node immediately, as if sent by another node.
    pub fn tell(&mut self, at: usize, message: Message) {
        self.event(at, Event::Received(message));
    }

    /// Returns the name of a node.
    pub fn name(&self, at: usize) -> NodeId {
        self.nodes[at].machine.this_node().node.clone()
    }

    /// Returns the state of a node in another node's member table, or `None` if it is dead or unknown.
    pub fn seen(&self, by: usize, at: usize) -> Option<MemberState> {
        let table = self.nodes[by].machine.table();
        table.get(&self.name(at)).map(|member| member.state)
    }

    /// Returns whether every running node sees exactly `count` members and suspects none.
    pub fn is_settled(&self, count: usize) -> bool {
        let mut up = self.nodes.iter().filter(|node| node.is_up);
        up.all(|node| {
            let members = node.machine.table().members();
            let alive = members.filter(|m| m.state != MemberState::Suspect);
            alive.count() == count && node.machine.table().len() == count
        })
    }

    /// Returns whether two nodes are separated by the partition.
    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        let region = |at: usize| &*self.nodes[at].machine.this_node().region;
        let regions = (region(a), region(b));
        self.cut
            .is_some_and(|(a, b)| regions == (a, b) || regions == (b, a))
    }

    fn push(&mut self, delay: Duration, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(at) => {
                self.push(TICK, Delivery::Tick(at));
                if self.nodes[at].is_up {
                    self.event(at, Event::Tick);
                }
            }
            Delivery::Event(at, event) => {
                if self.nodes[at].is_up {
                    self.event(at, event);
                }
            }
            Delivery::Request(from, to, node, message) => self.answer((from, node), to, message),
        }
    }

    fn handle(&mut self, at: usize, event: Event) -> Vec<Action> {
        let start = Instant::now();
        let actions = self.nodes[at].machine.handle(self.now, event);
        self.busy += start.elapsed();
        actions
    }

    fn answer(&mut self, initiator: Initiator, to: usize, message: Message) {
        let event = Event::Received(message);
        let actions = self.handle(to, event);
        self.act(to, actions, Some(initiator));
    }

    fn act(&mut self, at: usize, actions: Vec<Action>, initiator: Option<Initiator>) {
        for action in actions {
            match action {
                Action::Exchange {
                    node,
                    address,
                    message,
                } => self.exchange(at, node, address, message),
                Action::Reply(message) => {
                    if let Some(initiator) = initiator.clone() {
                        self.reply(at, initiator, message);
                    }
                }
                Action::ProbeIndirectly { node, address, via } => {
                    self.probe_through(at, node, address, &via);
                }
                Action::NewerDocuments { address, documents } => {
                    let heard = documents.iter().map(|d| (address, d.revision));
                    self.nodes[at].heard.extend(heard);
                }
                Action::MembersChanged => self.check_deaths(at),
                Action::NoticeReceived(_) => {}
            }
        }
    }

    fn exchange(&mut self, from: usize, node: Option<NodeId>, address: Address, message: Message) {
        self.count(from, &message);
        let to = self.by_address.get(&address).copied();
        let passed = to.filter(|to| self.is_delivered_with_retry(from, *to));
        match passed {
            Some(to) => self.push(
                self.latency(from, to),
                Delivery::Request(from, to, node, message),
            ),
            None => {
                let event = Event::Unanswered { node };
                self.push(EXCHANGE_TIMEOUT, Delivery::Event(from, event));
            }
        }
    }

    fn reply(&mut self, from: usize, (to, node): Initiator, message: Message) {
        self.count(from, &message);
        let event = Event::Answered { node, message };
        self.push(self.latency(from, to), Delivery::Event(to, event));
    }

    fn probe_through(&mut self, from: usize, node: NodeId, address: Address, via: &[Address]) {
        let target = self.by_address[&address];
        let mut is_answered = false;
        for helper in via {
            let helper = self.by_address[helper];
            is_answered |=
                self.is_delivered(from, helper) && self.is_delivered_with_retry(helper, target);
        }
        let delay = match is_answered {
            true => self.latency(from, target) * 2,
            false => INDIRECT_TIMEOUT,
        };
        let event = Event::IndirectProbeEnded { node, is_answered };
        self.push(delay, Delivery::Event(from, event));
    }

    /// Returns whether one of two attempts is delivered. Models a pooled connection and a retry on a new one.
    fn is_delivered_with_retry(&mut self, from: usize, to: usize) -> bool {
        self.is_delivered(from, to) || self.is_delivered(from, to)
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_up = self.nodes[from].is_up && self.nodes[to].is_up;
        let is_possible = is_up && !self.is_cut(from, to);
        // The message can be lost in either direction.
        is_possible && !self.rng.random_bool(self.loss) && !self.rng.random_bool(self.loss)
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let (a, b) = (&self.nodes[from].machine, &self.nodes[to].machine);
        match a.this_node().region == b.this_node().region {
            true => NEAR_LATENCY,
            false => FAR_LATENCY,
        }
    }

    fn count(&mut self, at: usize, message: &Message) {
        let size = message.size();
        self.nodes[at].sent += size;
        self.nodes[at].largest = self.nodes[at].largest.max(size);
        self.nodes[at].messages += 1;
    }

    fn check_deaths(&mut self, at: usize) {
        let table = self.nodes[at].machine.table();
        let up = self.nodes.iter().filter(|node| node.is_up);
        let dead = up
            .map(|node| &node.machine.this_node().node)
            .filter(|node| table.dead(node).is_some());
        self.false_deaths.extend(dead.cloned());
    }
}

/// Returns the address of a node.
pub fn address(at: usize) -> Address {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + at as u32);
    SocketAddr::new(IpAddr::V4(ip), 7000)
}

/// Returns the record of a node that has just started.
pub fn member(at: usize, region: &str, zone: &str) -> Member {
    Member {
        node: format!("n{at}-018f3a5e-7c1b-7def-8a45-{at:012x}").into(),
        vm: format!("vm-{at}").into(),
        region: region.into(),
        zone: zone.into(),
        peer_address: address(at),
        caller_address: address(at),
        operator_address: address(at),
        state: MemberState::Alive,
        incarnation: 1,
    }
}

/// Returns the state change that a node would gossip about another node.
pub fn change(node: &NodeId, state: MemberState, incarnation: u64) -> StateChange {
    StateChange {
        node: node.clone(),
        state,
        incarnation,
    }
}
