//! What a node, or an availability zone, reports to other nodes.

use super::{LEAVING_NOTICE_PERIOD, Mesh, NODE_TIMEOUT, PAST_WINDOWS_SENT};
use crate::core::gateway::members::Member;
use crate::core::gateway::observed::Observer;
use crate::core::time::Moment;
use crate::ops::gateway::load_wire::LoadSumWire;
use crate::ops::gateway::mesh_wire::{ReportWire, ZoneSumWire};
use crate::ops::gateway::rollout_wire::encode_counts;
use crate::ops::gateway::samples_wire::SamplesWire;
use crate::ops::gateway::state::Phase;
use crate::util::time::{as_millis_u64, unix_now};

impl Mesh {
    pub(super) fn build_report(&self, with_loads: bool, with_usage: bool) -> ReportWire {
        let state = &self.state;
        let now = state.now();
        let mut load = LoadSumWire::default();
        load.set_totals(state.quotas.totals());
        load.set_work(state.work.lock().local_rates(now));
        if with_usage {
            for (window, counts) in state.own_usage() {
                load.add_usage(window, &counts);
            }
        }
        if with_loads {
            load.set_loads(&state.backends.lock().local_loads());
        }
        self.add_observations(&mut load, Observer::Node, now);
        load.samples = SamplesWire::of_node(&state.backends.lock(), now);
        let knowledge = state.knowledge();
        ReportWire {
            node: state.settings.name.to_string(),
            incarnation: state.incarnation,
            wall_ms: unix_now(),
            ready: state.phase() == Phase::Serving,
            revision: knowledge.revision.number,
            era: knowledge.revision.era,
            era_age_ms: state.era_age_ms(knowledge.revision.era, now),
            config_version: knowledge.config_version,
            zone: state.settings.zone.to_string(),
            load: Some(load),
            store_age_ms: state.contact.lock().answer_age(now).map(as_millis_u64),
            cut_off: state.is_cut_off(),
        }
    }

    /// Returns the sums over the own zone.
    pub(super) fn build_zone_sum(&self, with_loads: bool, now: Moment) -> ZoneSumWire {
        let state = &self.state;
        let settings = &state.settings;
        let mut load = LoadSumWire::default();
        load.set_totals(state.quotas.node_totals());
        load.set_work(state.work.lock().node_rates(now));
        let first = state
            .window_at(state.wall())
            .saturating_sub(PAST_WINDOWS_SENT);
        let usage = state.usage.lock().process_totals(&settings.zone, first);
        for (window, counts) in usage {
            load.add_usage(window, &counts);
        }
        if with_loads {
            load.set_loads(&state.backends.lock().node_loads());
        }
        self.add_observations(&mut load, Observer::Zone, now);
        let zones = state.members.lock().zones().len();
        load.samples = SamplesWire::of_zone(&state.backends.lock(), zones, now);
        let members = state.members.lock();
        let heard = members.fresh_in_zone(&settings.zone, now, NODE_TIMEOUT);
        let (ready, not_ready): (Vec<&Member>, Vec<&Member>) =
            heard.partition(|member| member.is_ready);
        let incarnations = |members: Vec<&Member>| members.iter().map(|m| m.incarnation).collect();
        let mut ready: Vec<u64> = incarnations(ready);
        if state.phase() == Phase::Serving {
            ready.push(state.incarnation);
        }
        let knowledge = state.knowledge();
        let in_zone = members.fresh_in_zone(&settings.zone, now, NODE_TIMEOUT);
        let cut_off = in_zone.filter(|member| members.is_cut_off(&member.name));
        let mut cut_off: Vec<u64> = cut_off.map(|member| member.incarnation).collect();
        if state.is_cut_off() {
            cut_off.push(state.incarnation);
        }
        ZoneSumWire {
            zone: settings.zone.to_string(),
            node: settings.name.to_string(),
            incarnation: state.incarnation,
            number: as_millis_u64(now),
            wall_ms: unix_now(),
            revision: knowledge.revision.number,
            era: knowledge.revision.era,
            era_age_ms: state.era_age_ms(knowledge.revision.era, now),
            config_version: knowledge.config_version,
            ready,
            not_ready: incarnations(not_ready),
            cut_off,
            load: Some(load),
            store_age_ms: state.contact.lock().zone_answer_age(now).map(as_millis_u64),
        }
    }

    /// Adds what `observer` or a smaller group of nodes has learned from back ends.
    fn add_observations(&self, load: &mut LoadSumWire, observer: Observer, now: Moment) {
        let backends = self.state.backends.lock();
        load.leaving = backends.leaving(now, LEAVING_NOTICE_PERIOD);
        load.set_call_limits(&backends, observer, now);
        drop(backends);
        load.rollouts = encode_counts(&self.state.rollouts.lock().to_report(observer));
        let quarantine = self.state.quarantine.lock();
        load.set_crashes(&quarantine.crashes, observer, now);
    }
}
