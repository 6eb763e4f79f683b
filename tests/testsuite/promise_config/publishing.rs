//! Tests of publishing: concurrent operators, lost replies and invalid documents.

use std::sync::Arc;
use std::time::Duration;

use jayhall::core::document::sections::SectionChange;
use jayhall::core::verdict::Verdict;
use jayhall::ops::publish::{HISTORY_REVISIONS, Head, PublishError, Publisher};
use jayhall::sources::store::{Fault, MemoryStore, RangeRequest, Store};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::cluster::{Cluster, draft, text};

fn publisher(store: &MemoryStore) -> Publisher {
    Publisher::open(Arc::new(store.clone()))
}

async fn keys(store: &MemoryStore) -> Vec<Box<str>> {
    let reply = store.range(RangeRequest::prefix("config/")).await.unwrap();
    reply.entries.into_iter().map(|entry| entry.key).collect()
}

#[tokio::test(start_paused = true)]
async fn of_two_concurrent_operators_one_succeeds_and_the_other_gets_the_difference() {
    let cluster = Cluster::start(6);
    cluster.publish(0, &text(2, 1)).await.unwrap();
    cluster.settle(1, Duration::from_secs(10)).await;
    cluster.store.set_delay(Duration::from_millis(5));
    let (two, three) = (text(2, 2), text(2, 3));
    let (one, other) = tokio::join!(cluster.publish(1, &two), cluster.publish(1, &three));
    let (won, lost, in_force) = match (one, other) {
        (Ok(won), Err(lost)) => (won, lost, two),
        (Err(lost), Ok(won)) => (won, lost, three),
        both => panic!("{both:?}"),
    };
    assert_eq!(won.head.revision, 2);
    assert_eq!(lost.verdict(), Verdict::NotRun);
    let PublishError::Conflict {
        current,
        author,
        difference,
    } = lost
    else {
        panic!("{lost}");
    };
    assert_eq!((current, &*author), (2, "hana"));
    for line in ["weight = 2", "weight = 3"] {
        assert!(difference.contains(line), "{difference}");
    }
    cluster.settle(2, Duration::from_secs(10)).await;
    for node in &cluster.nodes {
        assert_eq!(*node.blackboard.config.read().text, in_force);
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_settled_by_reading_back() {
    for fault in [Fault::AnswerLost, Fault::Lost, Fault::NotReached] {
        let store = MemoryStore::new();
        store.fail_next_write(fault);
        let published = publisher(&store)
            .publish(draft(0, text(1, 1)))
            .await
            .unwrap();
        assert_eq!(published.head.revision, 1);
        let stored = publisher(&store).archive().head().await.unwrap();
        assert_eq!(stored.head, Some(published.head), "{fault:?}");
        assert_eq!(keys(&store).await.len(), 3);
    }
}

/// The reply is lost, and another operator publishes before the outcome is read back.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_settled_although_another_revision_followed() {
    for (fault, is_published) in [(Fault::AnswerLost, true), (Fault::Lost, false)] {
        let store = MemoryStore::new();
        store.fail_next_write(fault);
        let one = publisher(&store);
        let other = publisher(&store);
        let (one, other) = tokio::join!(one.publish(draft(0, text(1, 1))), async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            other
                .publish(draft(u64::from(is_published), text(1, 2)))
                .await
        });
        assert_eq!(one.is_ok(), is_published, "{fault:?}");
        assert_eq!(other.unwrap().head.revision, 1 + u64::from(is_published));
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_publishes_nothing_and_an_unknown_outcome_is_reported() {
    let faults = [
        (Fault::NotReached, Verdict::NotRun),
        (Fault::RateLimited(Duration::from_secs(1)), Verdict::NotRun),
        (Fault::Lost, Verdict::MayHaveRun),
        (Fault::AnswerLost, Verdict::MayHaveRun),
    ];
    for (fault, verdict) in faults {
        let store = MemoryStore::new();
        for _ in 0..5 {
            store.fail_next_write(fault);
        }
        let e = publisher(&store)
            .publish(draft(0, text(1, 1)))
            .await
            .unwrap_err();
        assert_eq!(e.verdict(), verdict, "{fault:?}: {e}");
        let is_stored = !keys(&store).await.is_empty();
        assert_eq!(is_stored, fault == Fault::AnswerLost, "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_invalid_document_is_refused_with_line_and_reason_and_nothing_changes() {
    let cluster = Cluster::start(4);
    cluster.publish(0, &text(1, 1)).await.unwrap();
    cluster.settle(1, Duration::from_secs(10)).await;
    let before = cluster.store.counts().writes;
    let wrong = text(1, 1).replace("level = 0", "level = high");
    let e = cluster.publish(1, &wrong).await.unwrap_err();
    assert_eq!(
        e.to_string(),
        "line 2, [rank only] level: \"high\" is not a whole number in range; \
         write a number from 0 to 7"
    );
    assert_eq!(cluster.store.counts().writes, before);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(cluster.all_have(1));
    assert_eq!(*cluster.nodes[0].blackboard.config.read().text, text(1, 1));
}

#[tokio::test(start_paused = true)]
async fn an_older_base_is_refused_and_a_bounded_history_is_kept() {
    let store = MemoryStore::new();
    let publisher = publisher(&store);
    let count = HISTORY_REVISIONS + 5;
    for base in 0..count {
        publisher
            .publish(draft(base, text(1, base as u32 + 1)))
            .await
            .unwrap();
    }
    let history = publisher.archive().history().await.unwrap();
    assert_eq!(history.len() as u64, HISTORY_REVISIONS);
    assert_eq!(history[0].revision, count);
    assert_eq!(
        &*publisher.archive().text(count).await.unwrap(),
        text(1, count as u32)
    );
    assert!(publisher.archive().text(5).await.is_err());
    let e = publisher
        .publish(draft(count - 1, text(1, 9)))
        .await
        .unwrap_err();
    assert!(matches!(e, PublishError::Conflict { .. }), "{e}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    })]

    #[test]
    fn a_head_is_read_back_from_the_store(
        revision in any::<u64>(),
        digest in any::<[u8; 32]>(),
        changes in option::of(vec(("\\PC{0,9}", option::of("[\\PC\n]{0,40}")), 0..4)),
        author in "\\PC{0,9}",
    ) {
        let change = |(heading, text): (String, Option<String>)| SectionChange {
            heading: heading.into(),
            text: text.map(Into::into),
        };
        let head = Head {
            revision,
            publish_id: "id".into(),
            author: author.into(),
            published_at: revision,
            digest,
            changes: changes.map(|changes| changes.into_iter().map(change).collect()),
        };
        prop_assert_eq!(Head::from_value(&head.to_value()), Ok(head));
    }

    #[test]
    fn any_bytes_are_a_head_or_an_error(bytes in vec(any::<u8>(), 0..200)) {
        let _ = Head::from_value(&bytes);
    }
}
