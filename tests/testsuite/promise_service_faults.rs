//! Random faults of the store, the service and the nodes around non-idempotent calls, from a fixed
//! seed.

use std::time::Duration;

use jayhall::core::service_call::{CallReply, ServiceCall};
use jayhall::core::verdict::Verdict;
use jayhall::sources::store::Fault;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::service_nodes::{Mode, NODES, Nodes};

/// Longer than any call, fault or delayed write takes.
const SETTLE_TIME: Duration = Duration::from_secs(120);

/// Step of a random schedule.
#[derive(Clone, Debug)]
enum Event {
    Call { call: usize, at: usize },
    StoreFault(Option<Fault>),
    NextWrite(Fault),
    ServiceMode(Mode),
    Writes { at: usize, is_open: bool },
    Sends { at: usize, is_open: bool },
    Answers { at: usize, are_lost: bool },
    Views { at: usize, members: usize },
    Wait(u16),
}

fn fault_strategy() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::NotReached),
        Just(Fault::Lost),
        Just(Fault::AnswerLost),
        Just(Fault::RateLimited(Duration::from_secs(1))),
    ]
}

fn mode_strategy() -> impl Strategy<Value = Mode> {
    prop_oneof![
        Just(Mode::Answer),
        Just(Mode::LoseAnswer),
        Just(Mode::Unreachable),
        Just(Mode::Slow),
    ]
}

fn event_strategy() -> impl Strategy<Value = Event> {
    let at = 0..NODES.len();
    prop_oneof![
        8 => (0usize..4, at.clone()).prop_map(|(call, at)| Event::Call { call, at }),
        6 => (0u16..3_000).prop_map(Event::Wait),
        1 => proptest::option::of(fault_strategy()).prop_map(Event::StoreFault),
        2 => fault_strategy().prop_map(Event::NextWrite),
        1 => mode_strategy().prop_map(Event::ServiceMode),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, is_open)| Event::Writes { at, is_open }),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, is_open)| Event::Sends { at, is_open }),
        3 => (at.clone(), any::<bool>()).prop_map(|(at, are_lost)| Event::Answers { at, are_lost }),
        2 => (at, 1usize..8).prop_map(|(at, members)| Event::Views { at, members }),
    ]
}

struct PendingCall {
    call: usize,
    reply: tokio::task::JoinHandle<CallReply>,
}

fn apply(nodes: &Nodes, event: &Event) {
    match event {
        Event::StoreFault(fault) => nodes.store.set_fault(*fault),
        Event::NextWrite(fault) => nodes.store.fail_next_write(*fault),
        Event::ServiceMode(mode) => nodes.service.set_mode(*mode),
        Event::Writes { at, is_open } => nodes.writes[*at].set_open(*is_open),
        Event::Sends { at, is_open } => nodes.sends[*at].set_open(*is_open),
        Event::Answers { at, are_lost } => nodes.set_replies_lost(*at, *are_lost),
        Event::Views { at, members } => {
            let is_seen = |number: &usize| members & (1 << number) != 0;
            let seen: Vec<_> = (0..NODES.len()).filter(is_seen).map(|n| NODES[n]).collect();
            nodes.set_view(*at, &seen);
        }
        Event::Call { .. } | Event::Wait(_) => {}
    }
}

fn clear_faults(nodes: &Nodes) {
    nodes.store.set_fault(None);
    for at in 0..NODES.len() {
        nodes.writes[at].set_open(true);
        nodes.sends[at].set_open(true);
        nodes.set_replies_lost(at, false);
        nodes.set_view(at, &NODES);
    }
}

async fn run(events: Vec<Event>) -> Result<(), TestCaseError> {
    let nodes = Nodes::start();
    let calls: Vec<ServiceCall> = (0..4).map(|n| nodes.call_owned_by(n % 3, 0)).collect();
    let mut pending = Vec::new();
    for event in &events {
        apply(&nodes, event);
        match event {
            Event::Call { call, at } => pending.push(PendingCall {
                call: *call,
                reply: nodes.spawn_call(*at, &calls[*call]),
            }),
            Event::Wait(ms) => tokio::time::sleep(Duration::from_millis((*ms).into())).await,
            _ => {}
        }
    }
    clear_faults(&nodes);
    tokio::time::sleep(SETTLE_TIME).await;
    let mut replies = vec![Vec::new(); calls.len()];
    for pending in pending {
        replies[pending.call].push(pending.reply.await.unwrap());
    }
    for (call, replies) in calls.iter().zip(&replies) {
        check_effects(nodes.effects(call), replies)?;
    }
    Ok(())
}

fn check_effects(effects: u32, replies: &[CallReply]) -> Result<(), TestCaseError> {
    prop_assert!(effects <= 1, "{effects} effects, {replies:?}");
    let ran = |reply: &CallReply| matches!(reply, CallReply::Answered { .. });
    let not_run = |reply: &CallReply| matches!(reply, CallReply::Refused(refusal) if refusal.verdict == Verdict::NotRun);
    if replies.iter().any(ran) {
        prop_assert_eq!(effects, 1, "answered, but the call took no effect");
    }
    if replies.iter().all(not_run) {
        prop_assert_eq!(
            effects,
            0,
            "every reply says not run, but the call took effect: {:?}",
            replies
        );
    }
    Ok(())
}

#[test]
fn under_random_faults_a_call_runs_at_most_once_and_not_run_is_true() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[21; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), rng);
    let events = proptest::collection::vec(event_strategy(), 1..40);
    runner
        .run(&events, |events| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .start_paused(true)
                .build()
                .unwrap();
            runtime.block_on(run(events))
        })
        .unwrap();
}
