//! Admission control: refuses requests that exceed a customer's limits or cannot meet their
//! deadline.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::core::admission::{
    CustomerLimits, LimitRule, Refusal, RetrySchedule, UsageReport, check_deadline,
};
use crate::core::document::CustomerRule;
use crate::core::estimate::Estimator;
use crate::core::id::CustomerId;
use crate::core::request::AcceptedRequest;
use crate::core::time::Moment;
use crate::node::Blackboard;
use crate::ops::choose_home::EngineSelector;
use crate::ops::requests::{Entry, Role};

/// The module's result.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Admission control of this node.
#[derive(Debug)]
pub struct AdmissionControl {
    board: Arc<Blackboard>,
    engine_selector: Arc<EngineSelector>,
    origin: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limits: CustomerLimits,
    estimator: Estimator,
    return_schedule: RetrySchedule,
}

/// Tokens charged for an admitted request; has to be settled exactly once.
#[derive(Clone, Debug)]
pub struct AdmissionCharge {
    customer: CustomerId,
    estimated: u32,
}

impl AdmissionControl {
    /// Creates the admission control of a node that has just started.
    pub fn new(board: Arc<Blackboard>, engine_selector: Arc<EngineSelector>) -> Arc<Self> {
        let limits = CustomerLimits::new(board.identity.node.clone(), Moment::ZERO);
        Arc::new(Self {
            board,
            engine_selector,
            origin: Instant::now(),
            state: Mutex::new(State {
                limits,
                estimator: Estimator::default(),
                return_schedule: RetrySchedule::default(),
            }),
        })
    }

    /// Admits a request and charges its estimated cost.
    ///
    /// # Errors
    ///
    /// Refuses where a limit of the customer is reached or the deadline cannot be met.
    pub fn admit(
        &self,
        customer: &CustomerRule,
        request: &AcceptedRequest,
    ) -> Result<AdmissionCharge> {
        let now = self.origin.elapsed();
        let mut state = self.state.lock();
        let estimate = state.estimator.estimate(
            &customer.name,
            &request.model,
            request.prompt_tokens,
            request.max_tokens,
        );
        let charge = AdmissionCharge {
            customer: customer.name.clone(),
            estimated: estimate.total_tokens(),
        };
        let rule = LimitRule::from(customer);
        state
            .limits
            .admit(&customer.name, &rule, charge.estimated, now)?;
        let checked = self.check_deadline(&mut state, request, estimate.work_tokens(), now);
        if let Err(refusal) = checked {
            state
                .limits
                .finish(&customer.name, charge.estimated, 0, now);
            return Err(refusal);
        }
        Ok(charge)
    }

    fn check_deadline(
        &self,
        state: &mut State,
        request: &AcceptedRequest,
        cost_tokens: u32,
        now: Moment,
    ) -> Result<()> {
        let config = self.board.config.read();
        let deadline = config
            .document
            .rank(&request.rank)
            .map_or(Duration::MAX, |rule| rule.deadline);
        let shortest =
            self.engine_selector
                .shortest_wait(&self.board, &request.model, &request.rank);
        let Some(wait) = shortest else {
            return Ok(());
        };
        check_deadline(&wait, deadline)
            .map(drop)
            .map_err(|refusal| {
                let nodes = self.board.members.read().accepting_work().count().max(1);
                let rate = wait.tokens_per_second.map(|rate| rate / nodes as f64);
                state.return_schedule.schedule_retry(
                    refusal,
                    cost_tokens,
                    rate,
                    now,
                    &mut rand::rng(),
                )
            })
    }

    /// Replaces the estimated charge of a request by its actual tokens: 0 for a request that never
    /// ran.
    pub fn settle(&self, charge: &AdmissionCharge, actual: u32) {
        let now = self.origin.elapsed();
        self.state
            .lock()
            .limits
            .finish(&charge.customer, charge.estimated, actual, now);
    }

    /// Spawns a task that settles a charge once its request has ended or is served by another node.
    pub fn settle_at_end(self: &Arc<Self>, charge: AdmissionCharge, entry: Arc<Entry>) {
        let admission_control = Arc::clone(self);
        tokio::spawn(async move {
            let mut changes = entry.watch();
            while entry.is_open() && entry.role() == Role::Serving {
                if changes.changed().await.is_err() {
                    break;
                }
            }
            admission_control.settle_ended(&charge, &entry);
        });
    }

    fn settle_ended(&self, charge: &AdmissionCharge, entry: &Entry) {
        let snapshot = entry.snapshot();
        let answer_tokens = u32::try_from(snapshot.tokens.len()).unwrap_or(u32::MAX);
        let request = &snapshot.request;
        let actual = match answer_tokens {
            0 => 0,
            answer_tokens => request.prompt_tokens.saturating_add(answer_tokens),
        };
        self.settle(charge, actual);
        if snapshot.completion.is_some() {
            self.state
                .lock()
                .estimator
                .observe(&request.customer, &request.model, answer_tokens);
        }
    }

    /// Merges the customer counters that other nodes reported.
    pub fn merge(&self, reports: &[UsageReport]) {
        let now = self.origin.elapsed();
        let config = self.board.config.read();
        let nodes = self.board.members.read().accepting_work().count();
        let mut state = self.state.lock();
        state
            .limits
            .set_nodes(u32::try_from(nodes).unwrap_or(u32::MAX));
        for report in reports {
            if let Some(customer) = config.document.customer(&report.customer) {
                state.limits.merge(report, &LimitRule::from(customer), now);
            }
        }
        state
            .limits
            .retain_customers(|name| config.document.customer(name).is_some());
    }

    /// Returns this node's customer counters that changed since the last call.
    pub fn take_changed_reports(&self) -> Vec<UsageReport> {
        self.state.lock().limits.take_changed_reports()
    }
}
