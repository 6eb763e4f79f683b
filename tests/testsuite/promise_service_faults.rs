//! Random faults of the store, the service and the nodes around calls that are not idempotent, from
//! a fixed seed.

use std::time::Duration;

use jayhall::core::service_call::{CallReply, ServiceCall};
use jayhall::core::verdict::Verdict;
use jayhall::sources::store::Fault;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::service_nodes::{Mode, NODES, Nodes};

/// Longer than any call, fault or delayed write takes.
const LONG: Duration = Duration::from_secs(120);

/// Step of a random schedule.
#[derive(Clone, Debug)]
enum Event {
    Ask { call: usize, at: usize },
    StoreFault(Option<Fault>),
    NextWrite(Fault),
    ServiceMode(Mode),
    Writes { at: usize, is_open: bool },
    Sends { at: usize, is_open: bool },
    Answers { at: usize, are_lost: bool },
    Views { at: usize, members: usize },
    Wait(u16),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::NotReached),
        Just(Fault::Lost),
        Just(Fault::AnswerLost),
        Just(Fault::RateLimited(Duration::from_secs(1))),
    ]
}

fn any_mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        Just(Mode::Answer),
        Just(Mode::LoseAnswer),
        Just(Mode::Unreachable),
        Just(Mode::Slow),
    ]
}

fn any_event() -> impl Strategy<Value = Event> {
    let at = 0..NODES.len();
    prop_oneof![
        8 => (0usize..4, at.clone()).prop_map(|(call, at)| Event::Ask { call, at }),
        6 => (0u16..3_000).prop_map(Event::Wait),
        1 => proptest::option::of(any_fault()).prop_map(Event::StoreFault),
        2 => any_fault().prop_map(Event::NextWrite),
        1 => any_mode().prop_map(Event::ServiceMode),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, is_open)| Event::Writes { at, is_open }),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, is_open)| Event::Sends { at, is_open }),
        3 => (at.clone(), any::<bool>()).prop_map(|(at, are_lost)| Event::Answers { at, are_lost }),
        2 => (at, 1usize..8).prop_map(|(at, members)| Event::Views { at, members }),
    ]
}

struct Asked {
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
        Event::Answers { at, are_lost } => nodes.lose_answers_of(*at, *are_lost),
        Event::Views { at, members } => {
            let is_seen = |number: &usize| members & (1 << number) != 0;
            let seen: Vec<_> = (0..NODES.len()).filter(is_seen).map(|n| NODES[n]).collect();
            nodes.see(*at, &seen);
        }
        Event::Ask { .. } | Event::Wait(_) => {}
    }
}

fn heal(nodes: &Nodes) {
    nodes.store.set_fault(None);
    for at in 0..NODES.len() {
        nodes.writes[at].set_open(true);
        nodes.sends[at].set_open(true);
        nodes.lose_answers_of(at, false);
        nodes.see(at, &NODES);
    }
}

async fn run(events: Vec<Event>) -> Result<(), TestCaseError> {
    let nodes = Nodes::start();
    let calls: Vec<ServiceCall> = (0..4).map(|n| nodes.call_owned_by(n % 3, 0)).collect();
    let mut asked = Vec::new();
    for event in &events {
        apply(&nodes, event);
        match event {
            Event::Ask { call, at } => asked.push(Asked {
                call: *call,
                reply: nodes.spawn_ask(*at, &calls[*call]),
            }),
            Event::Wait(ms) => tokio::time::sleep(Duration::from_millis((*ms).into())).await,
            _ => {}
        }
    }
    heal(&nodes);
    tokio::time::sleep(LONG).await;
    let mut replies = vec![Vec::new(); calls.len()];
    for asked in asked {
        replies[asked.call].push(asked.reply.await.unwrap());
    }
    for (call, replies) in calls.iter().zip(&replies) {
        check(nodes.effects(call), replies)?;
    }
    Ok(())
}

fn check(effects: u32, replies: &[CallReply]) -> Result<(), TestCaseError> {
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
fn whatever_fails_a_call_runs_at_most_once_and_not_run_holds() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[21; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(300), rng);
    let events = proptest::collection::vec(any_event(), 1..40);
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
