//! Load of the ledger on the store, and limits of its stored values.

use std::time::Duration;

use jayhall::core::ledger::{
    BodyDigest, CodecError, Entry, EntryKey, EntryState, Head, IdempotencyKey, MAX_BODY_BYTES,
    MAX_PAGE_BYTES, Outcome, Page, SHARDS,
};
use jayhall::ops::ledger::COMMIT_INTERVAL;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use tokio::time::Instant;

use crate::service_nodes::{Nodes, START, assert_ran};

/// How long each call rate is sustained.
const RATE_DURATION: Duration = Duration::from_secs(10);

/// The number of writes is bounded by the number of shards and the time, regardless of the call rate.
#[tokio::test(start_paused = true)]
async fn store_writes_do_not_grow_with_the_call_rate() {
    for rate in [2, 20, 100, 400, 1_000] {
        let nodes = Nodes::start();
        let began = Instant::now();
        let call_count = rate * RATE_DURATION.as_secs() as u32;
        let mut tasks = Vec::new();
        for number in 0..call_count {
            let call = nodes.call_owned_by(number as usize % 3, 1);
            tasks.push(nodes.spawn_call(number as usize % 3, &call));
            tokio::time::sleep_until(began + RATE_DURATION * number / call_count).await;
        }
        for task in tasks {
            assert_ran(&task.await.unwrap());
        }
        let counts = nodes.store.counts();
        let seconds = began.elapsed().as_secs_f64();
        let [calls, writes, reads] = [u64::from(call_count), counts.writes, counts.reads]
            .map(|count| count as f64 / seconds);
        println!("{calls:.0} calls/s: {writes:.1} writes/s, {reads:.1} reads/s");
        // Each shard starts with one read and one write, and may make another of each per interval.
        let calls_per_shard = (seconds / COMMIT_INTERVAL.as_secs_f64()).floor() + 1.0;
        let bound = f64::from(SHARDS) * calls_per_shard;
        assert!(counts.writes as f64 <= bound && counts.reads as f64 <= bound);
    }
}

fn key(number: u64) -> EntryKey {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    EntryKey {
        customer: "ethiopian-sauna-bucket-makers".into(),
        key: IdempotencyKey::issue(START, &random),
    }
}

fn entry(state: EntryState) -> Entry {
    Entry {
        digest: BodyDigest([7; 16]),
        state,
    }
}

#[test]
fn a_full_page_stays_within_its_limit_when_all_its_calls_complete() {
    let writer = "entry-addis-1-0123456789abcdef/0123456789abcdef";
    let mut page = Page::default();
    let mut count = 0;
    while page.has_room(&key(count), writer) {
        let state = EntryState::Intent {
            writer: writer.into(),
            attempt: u32::MAX,
        };
        page.insert(key(count), entry(state));
        count += 1;
    }
    let intent_bytes = page.encode().len();
    for number in 0..count {
        let state = EntryState::Answered(Outcome {
            status: 200,
            content_type: "application/json; charset=utf-8".into(),
            body: Some(vec![b'x'; 300].into()),
        });
        page.insert(key(number), entry(state));
        assert!(page.max_encoded_bytes() <= MAX_PAGE_BYTES);
    }
    let encoded = page.encode().len();
    println!("{count} entries: {intent_bytes} bytes of intents, {encoded} bytes of outcomes");
    assert!(intent_bytes.max(encoded) <= MAX_PAGE_BYTES);
    assert_eq!(Page::decode(&page.encode()), Ok(page));
}

#[test]
fn a_large_body_is_dropped_and_the_outcome_is_kept() {
    let mut page = Page::default();
    let outcome = Outcome {
        status: 201,
        content_type: "text/plain".into(),
        body: Some(vec![b'x'; MAX_BODY_BYTES + 1].into()),
    };
    page.insert(key(1), entry(EntryState::Answered(outcome)));
    let EntryState::Answered(stored) = &page.get(&key(1)).unwrap().state else {
        panic!("the entry should be answered");
    };
    assert_eq!((stored.status, &stored.body), (201, &None));
}

#[test]
fn values_with_a_later_or_missing_format_are_rejected() {
    assert_eq!(Page::decode(&[0x08, 2]), Err(CodecError::LaterFormat(2)));
    assert_eq!(Head::decode(&[0x08, 9]), Err(CodecError::LaterFormat(9)));
    assert_eq!(Page::decode(&[]), Err(CodecError::Damaged));
    assert_eq!(Head::decode(b"{}"), Err(CodecError::Damaged));
}

fn any_state() -> impl Strategy<Value = EntryState> {
    let intent = ("[a-z0-9/-]{1,50}", any::<u32>()).prop_map(|(writer, attempt)| {
        let writer = writer.into();
        EntryState::Intent { writer, attempt }
    });
    let body = proptest::option::of(proptest::collection::vec(any::<u8>(), 0..100));
    let answered = (100u16..600, "[a-z/]{0,60}", body).prop_map(|(status, content_type, body)| {
        EntryState::Answered(Outcome {
            status,
            content_type: content_type.into(),
            body: body.map(Into::into),
        })
    });
    prop_oneof![intent, answered, Just(EntryState::MayHaveRun)]
}

#[test]
fn pages_round_trip_within_their_size_bound() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    let states = proptest::collection::vec((0u64..30, any_state()), 0..60);
    runner
        .run(&states, |states| {
            let mut page = Page::default();
            for (number, state) in states {
                page.insert(key(number), entry(state));
            }
            let value = page.encode();
            prop_assert!(value.len() <= page.max_encoded_bytes());
            prop_assert_eq!(Page::decode(&value), Ok(page));
            Ok(())
        })
        .unwrap();
}

#[test]
fn decoding_arbitrary_bytes_does_not_panic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(2_000), rng);
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    runner
        .run(&bytes, |bytes| {
            let _ = Page::decode(&bytes);
            let _ = Head::decode(&bytes);
            Ok(())
        })
        .unwrap();
}
