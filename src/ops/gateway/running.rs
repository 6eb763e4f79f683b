//! Accounts for a call in progress at a back end.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::attempt::GatewayContext;
use super::call::Call;
use super::rollout::AnswerSample;
use crate::core::gateway::backends::{Backend, CallPlace, Outcome, process_name};
use crate::core::gateway::crashes::Crash;
use crate::core::gateway::listed_process::PeerProcess;
use crate::core::gateway::load::CallLoad;
use crate::core::gateway::members::Member;
use crate::core::gateway::observed::Observer;
use crate::core::gateway::software::SoftwareId;
use crate::core::gateway::suspects::Suspects;
use crate::core::gateway::work::engine_ms;
use crate::core::time::Moment;

/// Time after the first event within which a back end may still crash because of the call.
const CRASH_PERIOD: Duration = Duration::from_millis(400);

/// What the node through which a call is forwarded said of its back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedBy {
    /// Software version of the back end, if it is known.
    pub software: Option<SoftwareId>,
}

/// Accounts for a call in progress at a back end. Dropping it releases the call's slot there and
/// reports the outcome.
pub struct RunningAttempt {
    cx: Arc<GatewayContext>,
    pub(super) place: CallPlace,
    sent: Instant,
    first_event_at: Option<Instant>,
    /// What the call has that may crash the back end.
    pub(super) suspects: Suspects,
    /// Whether this call is the probe of a quarantine entry.
    pub(super) is_probe: bool,
    /// Whether the answer has cleared the suspects.
    is_cleared: bool,
    expected: Duration,
    outcome: Outcome,
    customer: Option<Box<str>>,
    /// To which process the call was sent, as far as this node knew.
    process: PeerProcess,
    /// How the answer counts as evidence, if a rollout of the service runs.
    sample: Option<AnswerSample>,
    /// Set if another node forwards the call, which accounts for it then.
    forwarded_by: Option<ForwardedBy>,
}

impl RunningAttempt {
    /// Accounts for a call whose slot [`Backends::begin`] has occupied.
    ///
    /// [`Backends::begin`]: crate::core::gateway::backends::Backends::begin
    pub fn begin(
        cx: &Arc<GatewayContext>,
        call: &Call,
        place: CallPlace,
        expected: Duration,
        is_probe: bool,
    ) -> Self {
        let state = &cx.state;
        let now = state.now();
        let work_ms = if call.service.engine.is_some() {
            let answer_tokens = call
                .head
                .tokens
                .map_or(0, |(_, answer_tokens)| answer_tokens);
            engine_ms(place.load.unread, answer_tokens, place.backend.slots)
        } else {
            0.0
        };
        state.work.lock().add(&call.service.name, work_ms, now);
        let sample = AnswerSample::new(state, call, place.backend.software.as_deref());
        Self {
            sample,
            cx: Arc::clone(cx),
            place,
            sent: Instant::now(),
            first_event_at: None,
            suspects: call.suspects.clone(),
            is_probe,
            is_cleared: false,
            expected,
            outcome: Outcome::Declined,
            customer: call.customer_name().map(Into::into),
            process: PeerProcess::Presumed,
            forwarded_by: None,
        }
    }

    /// Accounts for a call that another node has forwarded to a back end.
    /// Its answer names the back end's software version, if that is known.
    pub fn begin_forwarded(
        cx: &Arc<GatewayContext>,
        call: &Call,
        node: &Member,
        software: Option<SoftwareId>,
    ) -> Self {
        // Stands for the back end, which is not known. No back end has this name.
        let backend = Backend {
            id: node.name.clone(),
            service: call.service.name.clone(),
            address: node.control,
            zone: node.zone.clone(),
            slots: 1,
            is_leaving: false,
            started: 0,
            is_spot: false,
            software: None,
        };
        Self {
            cx: Arc::clone(cx),
            place: CallPlace {
                backend: Arc::new(backend),
                load: CallLoad::default(),
                has_begun: false,
                is_charged: false,
                sample: None,
            },
            sent: Instant::now(),
            first_event_at: None,
            suspects: Suspects::new(),
            is_probe: false,
            is_cleared: true,
            expected: Duration::ZERO,
            outcome: Outcome::Answered,
            customer: None,
            process: PeerProcess::Presumed,
            sample: None,
            forwarded_by: Some(ForwardedBy { software }),
        }
    }

    /// Returns whether another node forwards the call.
    pub fn is_forwarded(&self) -> bool {
        self.forwarded_by.is_some()
    }

    /// Returns the name of the back end.
    pub fn backend(&self) -> &str {
        &self.place.backend.id
    }

    /// Returns the version of the back end's software, as its entry named it when the call was placed.
    pub fn software(&self) -> Option<&str> {
        self.place.backend.software.as_deref()
    }

    /// Records to which process the call is sent.
    pub fn set_process(&mut self, process: PeerProcess) {
        self.process = process;
    }

    /// Returns the identifier of that version. It is not known if another process of the back end may be the one that
    /// answers.
    pub fn software_id(&self) -> Option<SoftwareId> {
        if let Some(forwarded_by) = self.forwarded_by {
            return forwarded_by.software;
        }
        let backend = &self.place.backend;
        let is_listed = match self.process {
            PeerProcess::Confirmed => true,
            PeerProcess::Doubtful | PeerProcess::Replaced => false,
            PeerProcess::Presumed => {
                let backends = self.cx.state.backends.lock();
                backends.peer_process(backend, None) != PeerProcess::Replaced
            }
        };
        backend.software_id().filter(|_| is_listed)
    }

    /// Returns the time since the attempt began.
    pub fn age(&self) -> Duration {
        self.sent.elapsed()
    }

    /// Returns the time since the first event or the complete answer, or `None` if there was none.
    pub fn answering_for(&self) -> Option<Duration> {
        self.first_event_at.map(|at| at.elapsed())
    }

    /// Records the time `took` that the back end needed until its first event or the head of its answer. Only the call
    /// before [`Self::mark_started`] has an effect.
    pub fn record_time(&self, took: Duration) {
        if self.place.has_begun {
            return;
        }
        let state = &self.cx.state;
        let now = state.now();
        state.backends.lock().record_time(&self.place, took, now);
    }

    /// Records that the back end started to process the call, `ago` before now. Only the first call has
    /// an effect.
    pub fn mark_started(&mut self, ago: Duration) {
        if self.place.has_begun {
            return;
        }
        self.first_event_at = Some(Instant::now());
        let first_event_after = self.age();
        let state = &self.cx.state;
        state
            .backends
            .lock()
            .first_event(&mut self.place, first_event_after, self.expected);
        if let Some(sample) = &self.sample {
            sample.record_answer(state, &self.place.backend.service, first_event_after);
        }
        if let Some(customer) = &self.customer {
            state.count_usage(customer, ago);
        }
    }

    /// Clears the suspects if the back end has outlived the start of its answer.
    pub fn note_progress(&mut self) {
        if self.answering_for() >= Some(CRASH_PERIOD) {
            self.clear_suspects();
        }
    }

    /// Records that the call was answered, which shows that its suspects do not crash back ends.
    pub fn clear_suspects(&mut self) {
        if self.is_cleared {
            return;
        }
        self.is_cleared = true;
        let state = &self.cx.state;
        let mut quarantine = state.quarantine.lock();
        quarantine.record_answer(&self.suspects, state.now());
    }

    /// Records that the back end crashed before it had answered the call.
    fn record_crash(&self, now: Moment) {
        let crash = Crash {
            suspects: self.suspects.clone(),
            process: process_name(&self.place.backend),
            sent: now.saturating_sub(self.sent.elapsed()),
            ended: now,
        };
        let mut quarantine = self.cx.state.quarantine.lock();
        quarantine.crashes.record_crash(crash, Observer::Node);
    }

    /// Sets the outcome that is reported when this value is dropped.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let state = &self.cx.state;
        let now = state.now();
        let duration = self.sent.elapsed();
        match self.outcome {
            Outcome::BrokeOff if !self.is_cleared => self.record_crash(now),
            Outcome::Answered if !self.is_forwarded() => {
                let process = process_name(&self.place.backend);
                let sent = now.saturating_sub(duration);
                let mut quarantine = state.quarantine.lock();
                quarantine.crashes.record_call(process, sent, now);
            }
            _ => {}
        }
        if let Some(sample) = &self.sample {
            let service = &self.place.backend.service;
            match self.outcome {
                Outcome::Failed => sample.record_failure(state, service),
                Outcome::Silent | Outcome::Declined if !self.place.has_begun => {
                    sample.record_unanswered(state, service, duration);
                }
                _ => {}
            }
        }
        state
            .backends
            .lock()
            .end(&self.place, self.outcome, duration, now);
    }
}
