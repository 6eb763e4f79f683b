//! Periodic work: probes, pushes, joining, reconnection and reports.

use rand::RngExt;
use rand::seq::IndexedRandom;

use super::machine::{Action, Actions, Membership};
use super::reports::{CustomerUse, ReportKey, region_sum_name};
use super::tuning;
use super::updates::{Priority, UpdateKey};
use crate::core::cells;
use crate::core::id::{Address, CustomerId, NodeId};
use crate::core::time::Moment;

impl Membership {
    pub(super) fn tick(&mut self, now: Moment, actions: &mut Actions) {
        self.targets
            .refresh(&self.this_node, &self.table, &mut self.rng);
        self.declare_expired_suspects_dead(now);
        self.queue_reports(now);
        if self.table.len() < 2 && !self.is_joined {
            self.join(now, actions);
            return;
        }
        self.fetch_members(now, actions);
        self.probe(now, actions);
        self.push_urgent_changes(now, actions);
        self.reconnect(now, actions);
    }

    fn declare_expired_suspects_dead(&mut self, now: Moment) {
        let expired: Vec<_> = self
            .suspicions
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.declare_dead(now, &node);
        }
    }

    fn join(&mut self, now: Moment, actions: &mut Actions) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + tuning::JOIN_INTERVAL;
        let seeds: Vec<_> = self.unknown_seeds();
        if let Some(address) = seeds.choose(&mut self.rng) {
            self.contact_address(now, *address, actions);
        }
    }

    /// Fetches the members after the start, page by page from different nodes.
    fn fetch_members(&mut self, now: Moment, actions: &mut Actions) {
        if self.is_complete || now < self.next_sync {
            return;
        }
        self.next_sync = now + self.join_sync_interval;
        self.join_sync_interval = self.join_sync_interval.mul_f64(tuning::JOIN_SYNC_BACKOFF);
        self.is_complete = self.join_sync_interval >= tuning::MIN_SYNC_INTERVAL;
        if let Some(node) = self.targets.random_targets(1, None, &mut self.rng).first() {
            self.request_members(now, node, actions);
        }
    }

    fn probe(&mut self, now: Moment, actions: &mut Actions) {
        if now < self.next_probe {
            return;
        }
        let jitter = tuning::PROBE_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1));
        self.next_probe = now + jitter;
        if let Some(node) = self.next_target() {
            self.exchange(now, &node, actions);
        }
    }

    fn next_target(&mut self) -> Option<NodeId> {
        while let Some(node) = self.priority_probes.pop_front() {
            if self.table.get(&node).is_some() {
                return Some(node);
            }
        }
        self.targets.next_probe(&mut self.rng)
    }

    /// Pushes urgent changes to a few members at once.
    fn push_urgent_changes(&mut self, now: Moment, actions: &mut Actions) {
        if !self.is_push_due || now < self.next_push {
            return;
        }
        self.is_push_due = false;
        self.next_push = now + tuning::MIN_PUSH_INTERVAL;
        let nodes = self
            .targets
            .random_targets(tuning::PUSH_FANOUT, None, &mut self.rng);
        for node in nodes {
            self.exchange(now, &node, actions);
        }
    }

    fn exchange(&mut self, now: Moment, node: &NodeId, actions: &mut Actions) {
        let Some(member) = self.table.get(node) else {
            return;
        };
        let address = member.peer_address;
        let message = self.compose(now, Some(node), &Default::default(), &[]);
        actions.push(Action::Exchange {
            node: Some(node.clone()),
            address,
            message,
        });
    }

    /// Periodically tries to reach a lost member or an unknown seed, so that the two sides of a healed
    /// network partition find each other.
    fn reconnect(&mut self, now: Moment, actions: &mut Actions) {
        if now < self.next_reconnect {
            return;
        }
        let members = self.table.region_len(&self.this_node.region);
        let per_member = tuning::RECONNECT_INTERVAL_PER_MEMBER * members as u32;
        let mean = tuning::MIN_RECONNECT_INTERVAL.max(per_member);
        self.next_reconnect = now + mean.mul_f64(self.rng.random_range(0.5..1.5));
        let mut addresses = self.unknown_seeds();
        let oldest = now.saturating_sub(tuning::RECONNECT_WINDOW);
        let lost = self.table.dead_members().filter(|d| d.died_at >= oldest);
        addresses.extend(lost.filter_map(|dead| dead.retry_address));
        if let Some(address) = addresses.choose(&mut self.rng) {
            self.contact_address(now, *address, actions);
        }
    }

    /// Returns the seeds that are not the address of a known member.
    fn unknown_seeds(&self) -> Vec<Address> {
        let known: std::collections::BTreeSet<_> =
            self.table.members().map(|m| m.peer_address).collect();
        let seeds = self.seeds.iter().copied();
        seeds.filter(|address| !known.contains(address)).collect()
    }

    /// Requests members from a node of which only the address is known.
    fn contact_address(&mut self, now: Moment, address: Address, actions: &mut Actions) {
        let message = self.compose_sync(now, None);
        actions.push(Action::Exchange {
            node: None,
            address,
            message,
        });
    }

    fn queue_reports(&mut self, now: Moment) {
        let members = self.table.region_len(&self.this_node.region);
        for mut load in self.outbox.due_loads(now, members) {
            load.node = self.this_node.node.clone();
            load.sequence = 1 + self
                .reports
                .load(&load.node, &load.model)
                .map_or(0, |known| known.sequence);
            let key = self.reports.insert_load(load);
            self.queue_report_update(key);
        }
        for mut usage in self.outbox.due_uses(now, members) {
            usage.node = self.this_node.node.clone();
            self.queue_use(usage);
        }
        if now >= self.next_sum {
            self.next_sum = now + tuning::SUM_INTERVAL;
            self.reports.remove_expired_notices(now);
            self.queue_region_sums();
        }
    }

    fn queue_use(&mut self, mut usage: CustomerUse) {
        let known = self.reports.usage(&usage.node, &usage.customer);
        usage.sequence = 1 + known.map_or(0, |known| known.sequence);
        let key = self.reports.insert_use(usage);
        self.queue_report_update(key);
    }

    /// Reports the sum of the use over the region's nodes. Only the node that rendezvous hashing selects
    /// does so.
    fn queue_region_sums(&mut self) {
        let region = &self.this_node.region;
        let active = self.table.members().filter(|m| m.accepts_work());
        let local = active.filter(|m| m.region == *region).map(|m| &*m.node);
        if cells::owner(&format!("uses/{region}"), local) != Some(&*self.this_node.node) {
            return;
        }
        let node = region_sum_name(region);
        let mut sums: std::collections::BTreeMap<CustomerId, CustomerUse> = Default::default();
        for usage in self.reports.uses().filter(|usage| !usage.is_sum()) {
            let sum = sums.entry(usage.customer.clone()).or_default();
            sum.tokens += usage.tokens;
            sum.in_flight += usage.in_flight;
        }
        self.sum_rounds = self.sum_rounds.wrapping_add(1);
        let is_repeat = self
            .sum_rounds
            .is_multiple_of(tuning::UNCHANGED_REPORT_INTERVALS);
        for (customer, mut sum) in sums {
            let known = self.reports.usage(&node, &customer);
            let is_unchanged =
                known.is_some_and(|k| k.tokens == sum.tokens && k.in_flight == sum.in_flight);
            if is_repeat || !is_unchanged {
                sum.node = node.clone();
                sum.customer = customer;
                self.queue_use(sum);
            }
        }
    }

    /// Queues a reported value for sending to other nodes.
    pub(super) fn queue_report_update(&mut self, key: Option<ReportKey>) {
        let Some(key) = key else { return };
        let priority = match key {
            ReportKey::Notice(_) => Priority::Urgent,
            ReportKey::Load(..) | ReportKey::Use(..) => Priority::Report,
        };
        self.is_push_due |= priority == Priority::Urgent;
        let transmissions = tuning::transmissions(self.table.region_len(&self.this_node.region));
        self.updates
            .push(UpdateKey::Report(key), priority, transmissions);
    }
}
