//! A non-idempotent call runs at most once, according to the effect counter of the service.

use std::time::Duration;

use jayhall::core::service_call::{CallReply, RefusalCause};
use jayhall::core::verdict::Verdict;

use crate::service_nodes::{Mode, NODES, Nodes, assert_ran, assert_refused};

/// Longer than any call takes.
const SETTLE_TIME: Duration = Duration::from_secs(60);

#[tokio::test(start_paused = true)]
async fn one_key_at_two_nodes_at_once_runs_once() {
    let nodes = Nodes::start();
    nodes.service.set_mode(Mode::Slow);
    let call = nodes.call_owned_by(0, 1);
    let (one, two) = tokio::join!(nodes.ask(1, &call), nodes.ask(2, &call));
    assert_ne!(
        assert_ran(&one),
        assert_ran(&two),
        "exactly one of the replies has to be a replay"
    );
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn a_repeat_replays_the_answer() {
    let nodes = Nodes::start();
    let call = nodes.call_owned_by(0, 1);
    assert!(!assert_ran(&nodes.ask(1, &call).await));
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(assert_ran(&nodes.ask(2, &call).await));
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn a_repeat_with_another_body_is_refused() {
    let nodes = Nodes::start();
    let call = nodes.call_owned_by(0, 1);
    assert_ran(&nodes.ask(1, &call).await);
    let mut other = call.clone();
    other.body = "{\"staves\":4000}".into();
    let reply = nodes.ask(2, &other).await;
    assert_refused(&reply, Verdict::NotRun, RefusalCause::BodyDiffers);
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn an_owner_killed_between_intent_and_dispatch() {
    let nodes = Nodes::start();
    nodes.sends[0].set_open(false);
    let call = nodes.call_owned_by(0, 1);
    let pending = nodes.spawn_call(1, &call);
    nodes.wait_for_writes(1).await;
    nodes.kill(0);
    nodes.remove_from_views(0);
    let reply = pending.await.unwrap();
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::OwnerLost);
    let reply = nodes.ask(2, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::OwnerLost);
    assert_eq!(nodes.effects(&call), 0);
}

#[tokio::test(start_paused = true)]
async fn an_owner_killed_between_dispatch_and_outcome() {
    let nodes = Nodes::start();
    nodes.service.set_mode(Mode::Slow);
    let call = nodes.call_owned_by(0, 1);
    let pending = nodes.spawn_call(1, &call);
    nodes.wait_for_effect(&call).await;
    nodes.kill(0);
    nodes.remove_from_views(0);
    let reply = pending.await.unwrap();
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::OwnerLost);
    tokio::time::sleep(SETTLE_TIME).await;
    let reply = nodes.ask(2, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::OwnerLost);
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn an_owner_frozen_with_a_write_under_way() {
    let nodes = Nodes::start();
    nodes.writes[0].set_open(false);
    let call = nodes.call_owned_by(0, 1);
    let mut long_call = call.clone();
    long_call.timeout = SETTLE_TIME * 10;
    let pending_at_frozen = nodes.spawn_call(0, &long_call);
    tokio::time::sleep(Duration::from_secs(1)).await;
    nodes.remove_from_views(0);
    assert!(!assert_ran(&nodes.ask(1, &call).await));
    tokio::time::sleep(SETTLE_TIME).await;
    nodes.writes[0].set_open(true);
    assert!(
        assert_ran(&pending_at_frozen.await.unwrap()),
        "the answer has to be replayed from the other node's run"
    );
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn an_owner_frozen_with_a_dispatch_under_way() {
    let nodes = Nodes::start();
    nodes.sends[0].set_open(false);
    let call = nodes.call_owned_by(0, 1);
    let pending_at_frozen = nodes.spawn_call(0, &call);
    nodes.wait_for_writes(1).await;
    nodes.remove_from_views(0);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::OwnerLost);
    let reply = pending_at_frozen.await.unwrap();
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::InProgress);
    nodes.sends[0].set_open(true);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(
        nodes.effects(&call),
        1,
        "only the delayed dispatch may take effect"
    );
    assert!(
        assert_ran(&nodes.ask(1, &call).await),
        "the outcome has to be recorded"
    );
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn two_nodes_that_both_think_they_own_the_shard() {
    let nodes = Nodes::start();
    for (at, name) in NODES.into_iter().enumerate() {
        nodes.set_view(at, &[name]);
    }
    for _ in 0..20 {
        let call = nodes.call_owned_by(0, 0);
        let replies = tokio::join!(
            nodes.ask(0, &call),
            nodes.ask(1, &call),
            nodes.ask(2, &call)
        );
        let replies = [replies.0, replies.1, replies.2];
        assert!(
            replies
                .iter()
                .any(|reply| !matches!(reply, CallReply::Refused(_)))
        );
        assert_eq!(nodes.effects(&call), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_with_an_older_view_is_redirected_to_the_owner() {
    let nodes = Nodes::start();
    nodes.set_view_with_leaving(1, 0);
    let call = loop {
        let call = nodes.call_owned_by(2, 1);
        if nodes.node(2).owner_of(&call.entry_key()).as_deref() == Some(NODES[0]) {
            break call;
        }
    };
    assert_ran(&nodes.ask(1, &call).await);
    assert_eq!(nodes.effects(&call), 1);
    let at_owner = nodes.node(0).handle(call.clone()).await;
    assert!(assert_ran(&at_owner), "the owner has to have run the call");
}

#[tokio::test(start_paused = true)]
async fn a_call_whose_reply_is_lost_between_nodes_is_retried() {
    let nodes = Nodes::start();
    nodes.set_replies_lost(0, true);
    let call = nodes.call_owned_by(0, 1);
    let pending = nodes.spawn_call(1, &call);
    nodes.wait_for_effect(&call).await;
    nodes.set_replies_lost(0, false);
    assert!(assert_ran(&pending.await.unwrap()));
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_during_its_call_gets_the_answer_later() {
    let nodes = Nodes::start();
    nodes.service.set_mode(Mode::Slow);
    let call = nodes.call_owned_by(0, 1);
    let pending = nodes.spawn_call(1, &call);
    nodes.wait_for_effect(&call).await;
    pending.abort();
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(assert_ran(&nodes.ask(2, &call).await));
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn a_call_whose_answer_the_service_lost_is_never_repeated() {
    let nodes = Nodes::start();
    nodes.service.set_mode(Mode::LoseAnswer);
    let call = nodes.call_owned_by(0, 1);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::AnswerLost);
    nodes.service.set_mode(Mode::Answer);
    let reply = nodes.ask(2, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::AnswerLost);
    tokio::time::sleep(SETTLE_TIME).await;
    let reply = nodes.ask(2, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::AnswerLost);
    nodes.kill(0);
    nodes.remove_from_views(0);
    let reply = nodes.ask(2, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::AnswerLost);
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_dies_before_it_records_a_lost_answer() {
    let nodes = Nodes::start();
    nodes.service.set_mode(Mode::LoseAnswer);
    let call = nodes.call_owned_by(0, 1);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::AnswerLost);
    nodes.service.set_mode(Mode::Answer);
    nodes.kill(0);
    nodes.remove_from_views(0);
    let reply = nodes.ask(2, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::OwnerLost);
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn a_repeat_after_hours_and_after_compaction() {
    let nodes = Nodes::start();
    let call = nodes.call_owned_by(0, 1);
    assert_ran(&nodes.ask(1, &call).await);
    tokio::time::sleep(SETTLE_TIME).await;
    nodes.advance_clock_hours(23);
    assert!(
        assert_ran(&nodes.ask(2, &call).await),
        "the key is within the retention"
    );
    nodes.advance_clock_hours(3);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::KeyExpired);
    // Writes for other calls of the shard drop the page from the store. Then the clock goes back.
    assert!(nodes.is_page_stored(&call).await);
    while nodes.is_page_stored(&call).await {
        let later = nodes.call_in_shard_of(&call, 1);
        assert_ran(&nodes.ask(1, &later).await);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    nodes.set_clock_back_hours(5);
    nodes.kill(0);
    nodes.remove_from_views(0);
    let reply = nodes.ask(2, &call).await;
    assert_refused(&reply, Verdict::MayHaveRun, RefusalCause::KeyExpired);
    assert_eq!(nodes.effects(&call), 1);
}

#[tokio::test(start_paused = true)]
async fn a_key_from_the_future_is_refused() {
    let nodes = Nodes::start();
    nodes.advance_clock_hours(1);
    let call = nodes.call_owned_by(0, 1);
    nodes.set_clock_back_hours(1);
    let reply = nodes.ask(1, &call).await;
    assert_refused(&reply, Verdict::NotRun, RefusalCause::KeyAhead);
    assert_eq!(nodes.effects(&call), 0);
}
