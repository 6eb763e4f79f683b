//! Periodic work: probes, pushes, joining, reconnection and reports.

use rand::RngExt;
use rand::seq::IndexedRandom;

use super::machine::{Action, Actions, Membership};
use super::reports::{CustomerUse, ReportKey, sum_name};
use super::tuning;
use super::updates::{Priority, UpdateKey};
use crate::core::cells;
use crate::core::id::{Address, CustomerId, NodeId};
use crate::core::time::Moment;

impl Membership {
    pub(super) fn tick(&mut self, now: Moment, actions: &mut Actions) {
        self.targets.refresh(&self.own, &self.table, &mut self.rng);
        self.expire(now);
        self.report(now);
        if self.table.len() < 2 && !self.is_joined {
            self.join(now, actions);
            return;
        }
        self.complete(now, actions);
        self.probe(now, actions);
        self.push(now, actions);
        self.reconnect(now, actions);
    }

    fn expire(&mut self, now: Moment) {
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
        let seeds: Vec<_> = self.strange_seeds();
        if let Some(address) = seeds.choose(&mut self.rng) {
            self.contact(now, *address, actions);
        }
    }

    /// Fetches the members after the start, page by page from different nodes.
    fn complete(&mut self, now: Moment, actions: &mut Actions) {
        if self.is_complete || now < self.next_sync {
            return;
        }
        self.next_sync = now + self.sync_wait;
        self.sync_wait = self.sync_wait.mul_f64(tuning::JOIN_SYNC_BACKOFF);
        self.is_complete = self.sync_wait >= tuning::SYNC_INTERVAL;
        if let Some(node) = self.targets.some(1, None, &mut self.rng).first() {
            self.ask_for_members(now, node, actions);
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
        while let Some(node) = self.doubted.pop_front() {
            if self.table.get(&node).is_some() {
                return Some(node);
            }
        }
        self.targets.next_probe(&mut self.rng)
    }

    /// Pushes urgent changes to a few members at once.
    fn push(&mut self, now: Moment, actions: &mut Actions) {
        if !self.is_push_due || now < self.next_push {
            return;
        }
        self.is_push_due = false;
        self.next_push = now + tuning::PUSH_INTERVAL;
        let nodes = self.targets.some(tuning::PUSH_FANOUT, None, &mut self.rng);
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
        let members = self.table.region_len(&self.own.region);
        let per_member = tuning::RECONNECT_INTERVAL_PER_MEMBER * members as u32;
        let mean = tuning::RECONNECT_INTERVAL.max(per_member);
        self.next_reconnect = now + mean.mul_f64(self.rng.random_range(0.5..1.5));
        let mut addresses = self.strange_seeds();
        let oldest = now.saturating_sub(tuning::RECONNECT_WINDOW);
        let lost = self.table.dead_members().filter(|d| d.died_at >= oldest);
        addresses.extend(lost.filter_map(|dead| dead.retry_address));
        if let Some(address) = addresses.choose(&mut self.rng) {
            self.contact(now, *address, actions);
        }
    }

    /// Returns the seeds that are not the address of a known member.
    fn strange_seeds(&self) -> Vec<Address> {
        let known: std::collections::BTreeSet<_> =
            self.table.members().map(|m| m.peer_address).collect();
        let seeds = self.seeds.iter().copied();
        seeds.filter(|address| !known.contains(address)).collect()
    }

    /// Requests members from a node of which only the address is known.
    fn contact(&mut self, now: Moment, address: Address, actions: &mut Actions) {
        let message = self.compose_sync(now, None);
        actions.push(Action::Exchange {
            node: None,
            address,
            message,
        });
    }

    fn report(&mut self, now: Moment) {
        let members = self.table.region_len(&self.own.region);
        for mut load in self.outbox.due_loads(now, members) {
            load.node = self.own.node.clone();
            load.sequence = 1 + self
                .reports
                .load(&load.node, &load.model)
                .map_or(0, |known| known.sequence);
            let key = self.reports.take_load(load);
            self.tell_report(key);
        }
        for mut used in self.outbox.due_uses(now, members) {
            used.node = self.own.node.clone();
            self.report_use(used);
        }
        if now >= self.next_sum {
            self.next_sum = now + tuning::SUM_INTERVAL;
            self.reports.drop_old_notices(now);
            self.report_sums();
        }
    }

    fn report_use(&mut self, mut used: CustomerUse) {
        let known = self.reports.used(&used.node, &used.customer);
        used.sequence = 1 + known.map_or(0, |known| known.sequence);
        let key = self.reports.take_use(used);
        self.tell_report(key);
    }

    /// Reports the sum of the use over the region's nodes. Only the node that rendezvous hashing selects
    /// does so.
    fn report_sums(&mut self) {
        let region = &self.own.region;
        let working = self.table.members().filter(|m| m.takes_work());
        let local = working.filter(|m| m.region == *region).map(|m| &*m.node);
        if cells::owner(&format!("uses/{region}"), local) != Some(&*self.own.node) {
            return;
        }
        let node = sum_name(region);
        let mut sums: std::collections::BTreeMap<CustomerId, CustomerUse> = Default::default();
        for used in self.reports.uses().filter(|used| !used.is_sum()) {
            let sum = sums.entry(used.customer.clone()).or_default();
            sum.tokens += used.tokens;
            sum.in_flight += used.in_flight;
        }
        self.sums = self.sums.wrapping_add(1);
        let is_repeat = self.sums.is_multiple_of(tuning::REPEAT_INTERVALS);
        for (customer, mut sum) in sums {
            let known = self.reports.used(&node, &customer);
            let is_same =
                known.is_some_and(|k| k.tokens == sum.tokens && k.in_flight == sum.in_flight);
            if is_repeat || !is_same {
                sum.node = node.clone();
                sum.customer = customer;
                self.report_use(sum);
            }
        }
    }

    /// Queues a reported value for sending to other nodes.
    pub(super) fn tell_report(&mut self, key: Option<ReportKey>) {
        let Some(key) = key else { return };
        let priority = match key {
            ReportKey::Notice(_) => Priority::Urgent,
            ReportKey::Load(..) | ReportKey::Use(..) => Priority::Report,
        };
        self.is_push_due |= priority == Priority::Urgent;
        let transmissions = tuning::transmissions(self.table.region_len(&self.own.region));
        self.updates
            .push(UpdateKey::Report(key), priority, transmissions);
    }
}
