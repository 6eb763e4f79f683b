//! Benchmarks of the ledger's state machine.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use jayhall::core::ledger::{
    Arrival, BodyDigest, CommitResult, Entry, EntryKey, EntryState, IdempotencyKey, NextStoreCall,
    Outcome, Page, Shard, Snapshot,
};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
const DIGEST: BodyDigest = BodyDigest([7; 16]);

fn key(number: u64) -> EntryKey {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    EntryKey {
        customer: "bekele".into(),
        key: IdempotencyKey::issue(NOW_UNIX_MS, &random),
    }
}

fn page_with_entries(entries: u64) -> Page {
    let mut page = Page::default();
    for number in 0..entries {
        let state = EntryState::Answered(Outcome {
            status: 200,
            content_type: "application/json".into(),
            body: Some("{\"order\":12345}".into()),
        });
        page.insert(
            key(number),
            Entry {
                digest: DIGEST,
                state,
            },
        );
    }
    page
}

/// Returns a shard that has loaded one page with this number of entries.
fn shard(entries: u64) -> Shard {
    let mut shard = Shard::new("n0/1".into());
    let first = key(u64::MAX);
    shard.arrive(NOW_UNIX_MS, RETENTION, &first, DIGEST);
    let NextStoreCall::Load(epochs) = shard.next(NOW_UNIX_MS, RETENTION) else {
        unreachable!("a new shard has to load its pages");
    };
    let snapshot = Snapshot {
        revision: 1,
        pages: vec![(epochs[0], page_with_entries(entries))],
        ..Snapshot::default()
    };
    shard.handle_load(NOW_UNIX_MS, snapshot);
    shard.cancel(&first);
    shard
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("ledger");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_secs(1));
    for entries in [10, 100, 300] {
        let mut replaying = shard(entries);
        let known = key(0);
        group.bench_function(format!("replay, page of {entries}"), |b| {
            b.iter(
                || match replaying.arrive(NOW_UNIX_MS, RETENTION, &known, DIGEST) {
                    Arrival::Replay(outcome) => black_box(outcome),
                    _ => unreachable!("the key is in the page"),
                },
            );
        });
        let fresh = shard(entries);
        let new = key(u64::MAX - 1);
        group.bench_function(format!("new call, page of {entries}"), |b| {
            b.iter_batched_ref(
                || fresh.clone(),
                |shard| black_box(shard.arrive(NOW_UNIX_MS, RETENTION, &new, DIGEST)),
                BatchSize::LargeInput,
            );
        });
        group.bench_function(format!("write of 25 calls, page of {entries}"), |b| {
            b.iter_batched_ref(|| fresh.clone(), write_25, BatchSize::LargeInput);
        });
    }
    group.finish();
}

fn write_25(shard: &mut Shard) {
    for number in 0..25 {
        shard.arrive(NOW_UNIX_MS, RETENTION, &key(u64::MAX - 2 - number), DIGEST);
    }
    let NextStoreCall::Commit(commit) = shard.next(NOW_UNIX_MS, RETENTION) else {
        unreachable!("calls are pending and the page is loaded");
    };
    black_box((commit.head.encode(), commit.pages[0].1.encode()));
    black_box(shard.handle_commit(NOW_UNIX_MS, CommitResult::Applied(2)));
}

criterion_group!(benches, decisions);
criterion_main!(benches);
