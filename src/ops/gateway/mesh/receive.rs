//! Applies the messages of other nodes to the state of this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;

use super::{MAX_DATAGRAM_BYTES, MIN_ZONE_INTERVAL, Mesh, ReceivedSum};
use crate::core::gateway::members::StoreKnowledge;
use crate::core::gateway::observed::Observer;
use crate::core::gateway::origin::Origin;
use crate::core::gateway::usage::Incarnation;
use crate::core::time::Moment;
use crate::ops::gateway::load_wire::LoadSumWire;
use crate::ops::gateway::mesh_wire::{DatagramWire, ReportWire, ZoneSumWire};
use crate::ops::gateway::quota;
use crate::ops::gateway::rollout_wire::decode_counts;

impl Mesh {
    /// Receives messages until the task is dropped.
    pub async fn receive(self: Arc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => match DatagramWire::decode(&buf[..len]) {
                    Ok(datagram) => self.handle_datagram(datagram, from),
                    Err(e) => tracing::warn!(%from, error = %e, "cannot decode a datagram"),
                },
                Err(e) => {
                    tracing::warn!(error = %e, "failed to receive messages of nodes");
                    tokio::time::sleep(MIN_ZONE_INTERVAL).await;
                }
            }
        }
    }

    fn handle_datagram(&self, mut datagram: DatagramWire, from: SocketAddr) {
        quota::handle_datagram(&self.state, &mut datagram, from);
        if let Some(report) = &datagram.report {
            self.handle_report(report);
        }
        for sum in datagram.sums {
            self.handle_zone_sum(sum);
        }
        let now = self.state.now();
        let mut origins = self.state.origins.lock();
        for origin in &datagram.origins {
            origins.record(origin.received(now));
        }
        for origin in &datagram.archived_origins {
            origins.archive(origin.received(now), now);
        }
    }

    fn handle_report(&self, report: &ReportWire) {
        let state = &self.state;
        let now = state.now();
        if *report.node == *state.settings.name {
            return;
        }
        let knowledge = report.knowledge();
        {
            let mut members = state.members.lock();
            members.apply_report(
                &report.node,
                report.incarnation,
                report.ready,
                knowledge,
                now,
            );
            members.set_cut_off(report.incarnation, report.cut_off);
        }
        state
            .clock
            .lock()
            .record(report.incarnation, report.wall_ms, now);
        if let Some(age_ms) = report.store_age_ms {
            let answered_at = now.saturating_sub(Duration::from_millis(age_ms));
            let mut contact = state.contact.lock();
            match *report.zone == *state.settings.zone {
                true => contact.record_zone_answer(answered_at),
                false => contact.record_any_answer(answered_at),
            }
        }
        if let Some(load) = &report.load {
            let totals = load.totals();
            state
                .quotas
                .apply_report(&report.node, report.incarnation, &totals);
            for (window, counts) in load.usage() {
                state
                    .usage
                    .lock()
                    .merge(report.incarnation, &report.zone, window, &counts);
            }
            let from = Origin::from(&report.node[..]);
            self.merge_load(&from, &report.zone, load, now);
            self.merge_samples(&from, report.incarnation, &report.zone, load, now);
        }
        state.record_era_age(report.era, report.era_age_ms);
        self.announce(knowledge);
    }

    fn handle_zone_sum(&self, sum: ZoneSumWire) {
        let state = &self.state;
        let now = state.now();
        if *sum.zone == *state.settings.zone {
            return;
        }
        let mut sums = self.sums.lock();
        if !sums
            .aggregators
            .accept(&sum.zone, sum.incarnation, sum.number, now)
        {
            return;
        }
        let knowledge = sum.knowledge();
        {
            let mut members = state.members.lock();
            for (incarnations, is_ready) in [(&sum.ready, true), (&sum.not_ready, false)] {
                for incarnation in incarnations {
                    members.apply_indirect_report(*incarnation, is_ready, now);
                    members.set_cut_off(*incarnation, sum.cut_off.contains(incarnation));
                }
            }
            members.apply_report(&sum.node, sum.incarnation, true, knowledge, now);
        }
        state.clock.lock().record(sum.incarnation, sum.wall_ms, now);
        if let Some(age_ms) = sum.store_age_ms {
            let answered_at = now.saturating_sub(Duration::from_millis(age_ms));
            state.contact.lock().record_any_answer(answered_at);
        }
        if let Some(load) = &sum.load {
            for (window, counts) in load.usage() {
                state.usage.lock().merge_zone(&sum.zone, window, &counts);
            }
            let from = Origin::Zone(sum.zone.as_str().into());
            self.merge_load(&from, &sum.zone, load, now);
            self.merge_samples(&from, sum.incarnation, &sum.zone, load, now);
        }
        state.record_era_age(sum.era, sum.era_age_ms);
        self.announce(knowledge);
        let zone = sum.zone.as_str().into();
        sums.newest.insert(zone, ReceivedSum { sum, at: now });
    }

    fn merge_load(&self, from: &Origin, zone: &str, load: &LoadSumWire, now: Moment) {
        let state = &self.state;
        state.work.lock().apply_report(from, zone, load.work(), now);
        let observer = self.observer_in(zone);
        load.add_crashes_to(&mut state.quarantine.lock().crashes, observer, now);
        {
            let mut rollouts = state.rollouts.lock();
            rollouts.note_report(now);
            rollouts.apply_report(from, observer, decode_counts(&load.rollouts));
        }
        let mut backends = state.backends.lock();
        if let Some(loads) = load.loads() {
            backends.apply_report(from, &loads, now);
        }
        for backend in backends.apply_leaving_report(&load.leaving, now) {
            tracing::info!(backend = &*backend, source = "node", "back end leaving");
        }
        let limits = load.call_limits(now);
        for (backend, per_second) in backends.apply_call_limits(&limits, observer, now) {
            tracing::info!(
                backend = &*backend,
                per_second,
                source = "node",
                "call limit of a back end changed"
            );
        }
    }

    fn merge_samples(
        &self,
        from: &Origin,
        incarnation: Incarnation,
        zone: &str,
        load: &LoadSumWire,
        now: Moment,
    ) {
        let Some(samples) = &load.samples else {
            return;
        };
        let observer = self.observer_in(zone);
        let mut backends = self.state.backends.lock();
        backends.apply_samples(from, incarnation, &samples.samples(), observer, now);
    }

    /// Returns as whose observations those of a node of this zone count.
    fn observer_in(&self, zone: &str) -> Observer {
        match *zone == *self.state.settings.zone {
            true => Observer::Zone,
            false => Observer::Fleet,
        }
    }

    /// Announces that another node knows something of the store that this node does not. This is repeated with
    /// each message, as an earlier attempt to fetch the changes may have failed.
    fn announce(&self, knowledge: StoreKnowledge) {
        if knowledge.is_ahead_of(&self.state.knowledge()) {
            self.has_newer.send_replace(());
        }
    }
}
