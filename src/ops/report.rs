//! Reports this node's loads and customer counters by gossip and applies the reports of other
//! nodes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::core::admission::UsageReport;
use crate::core::membership::{CustomerUse, HomeLoad, region_sum_name};
use crate::node::Blackboard;
use crate::ops::admit::AdmissionControl;
use crate::ops::choose_home::EngineSelector;
use crate::ops::gossip::Gossip;
use crate::ops::home::Home;

/// Interval between reports; gossip itself limits how often a value is sent.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Sources of this node's reports and consumers of other nodes' reports.
pub struct Reports {
    /// Shared state, which holds the fleet.
    pub board: Arc<Blackboard>,
    /// Gossip that carries the reports.
    pub gossip: Gossip,
    /// Queues of this node, whose loads are reported.
    pub home: Arc<Home>,
    /// Consumer of the loads of home nodes.
    pub engine_selector: Arc<EngineSelector>,
    /// Source and consumer of customer counters.
    pub admission_control: Arc<AdmissionControl>,
}

impl Reports {
    /// Reports periodically for as long as the process runs.
    pub async fn run(self) {
        let mut tick = interval(REPORT_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            self.send_reports().await;
            self.apply_reports();
        }
    }

    async fn send_reports(&self) {
        for (model, load) in self.home.loads() {
            self.gossip
                .report_load(HomeLoad {
                    model,
                    slots: load.slots,
                    running: load.running,
                    waiting: load.waiting,
                    waiting_tokens: load.waiting_tokens.iter().copied().collect(),
                    tokens_per_second: load.tokens_per_second,
                    ..HomeLoad::default()
                })
                .await;
        }
        for used in self.admission_control.take_changed_reports() {
            self.gossip
                .report_use(used.customer, used.tokens, used.in_flight)
                .await;
        }
    }

    fn apply_reports(&self) {
        self.engine_selector.set_engines(&self.board.fleet.read());
        let reports = self.gossip.reports();
        for load in &reports.loads {
            self.engine_selector.record_load(load);
        }
        // The aggregate of this node's region is reported along with the counters of its nodes;
        // merging both would count the region twice.
        let own_sum = region_sum_name(&self.board.identity.region);
        let others = reports.uses.iter().filter(|used| used.node != own_sum);
        let uses: Vec<UsageReport> = others.map(use_report).collect();
        self.admission_control.merge(&uses);
    }
}

fn use_report(used: &CustomerUse) -> UsageReport {
    UsageReport {
        node: used.node.clone(),
        customer: used.customer.clone(),
        tokens: used.tokens,
        in_flight: used.in_flight,
        sequence: used.sequence,
    }
}
