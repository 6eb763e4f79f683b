//! A call that is reported as not run must not have run, according to the effect counter of the
//! service.

use std::time::Duration;

use jayhall::core::service_call::{CallReply, RefusalCause};
use jayhall::core::verdict::Verdict;
use jayhall::sources::store::Fault;
use tokio::time::Instant;

use crate::service_nodes::{Mode, Nodes, assert_ran, assert_refused};

#[tokio::test(start_paused = true)]
async fn a_call_that_reaches_no_back_end_was_not_run_and_may_run_later() {
    let nodes = Nodes::start();
    nodes.service.set_mode(Mode::Unreachable);
    let call = nodes.call_owned_by(0, 1);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::NotRun, RefusalCause::NoBackend);
    assert_eq!(nodes.effects(&call), 0);
    nodes.service.set_mode(Mode::Answer);
    assert!(!assert_ran(&nodes.ask(2, &call).await));
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn while_the_store_is_down_calls_are_refused_at_once() {
    let nodes = Nodes::start();
    nodes.store.set_fault(Some(Fault::NotReached));
    let began = Instant::now();
    for _ in 0..50 {
        let call = nodes.call_owned_by(0, 1);
        let reply = nodes.ask(1, &call).await;
        assert_refused(&reply, Verdict::NotRun, RefusalCause::StoreDown);
        let CallReply::Refused(refusal) = reply else {
            panic!("refused above");
        };
        assert!(refusal.retry_after.is_some());
        assert_eq!(nodes.effects(&call), 0);
    }
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "a call was delayed"
    );
}

#[tokio::test(start_paused = true)]
async fn while_the_store_does_not_answer_only_the_first_call_waits() {
    let nodes = Nodes::start();
    nodes.store.set_fault(Some(Fault::Lost));
    nodes.store.set_delay(Duration::from_secs(2));
    let first = nodes.call_owned_by(0, 1);
    let reply = nodes.ask(1, &first).await;
    assert_refused(&reply, Verdict::NotRun, RefusalCause::StoreDown);
    let second = nodes.call_in_shard_of(&first, 1);
    let began = Instant::now();
    let reply = nodes.ask(1, &second).await;
    assert_refused(&reply, Verdict::NotRun, RefusalCause::StoreDown);
    assert!(began.elapsed() < Duration::from_millis(100));
    assert_eq!(nodes.effects(&first) + nodes.effects(&second), 0);
}

#[tokio::test(start_paused = true)]
async fn after_an_hour_without_the_store_calls_run_and_the_store_is_not_flooded() {
    let nodes = Nodes::start();
    nodes.store.set_fault(Some(Fault::NotReached));
    let call = nodes.call_owned_by(0, 1);
    for _ in 0..360 {
        let reply = nodes.ask(1, &call).await;
        assert_refused(&reply, Verdict::NotRun, RefusalCause::StoreDown);
        tokio::time::sleep(Duration::from_secs(10)).await;
    }
    nodes.store.set_fault(None);
    let before = nodes.store.counts();
    assert!(!assert_ran(&nodes.ask(2, &call).await));
    let after = nodes.store.counts();
    assert_eq!(nodes.effects(&call), 1);
    assert!(after.writes - before.writes <= 2 && after.reads - before.reads <= 2);
}

#[tokio::test(start_paused = true)]
async fn a_call_that_times_out_before_its_intent_is_stored_never_runs() {
    let nodes = Nodes::start();
    nodes.writes[0].set_open(false);
    let call = nodes.call_owned_by(0, 1);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::NotRun, RefusalCause::StoreDown);
    nodes.writes[0].set_open(true);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(nodes.effects(&call), 0);
    assert!(!assert_ran(&nodes.ask(2, &call).await));
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn a_call_whose_owner_does_not_reply_may_have_run() {
    let nodes = Nodes::start();
    nodes.set_replies_lost(0, true);
    let call = nodes.call_owned_by(0, 1);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::NoOwner);
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn a_call_to_an_unreachable_owner_was_not_run() {
    let nodes = Nodes::start();
    nodes.kill(0);
    let call = nodes.call_owned_by(0, 1);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::NotRun, RefusalCause::NoOwner);
    assert_eq!(nodes.effects(&call), 0);
}
