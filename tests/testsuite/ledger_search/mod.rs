//! Every order of events in small bounds: two owners of one shard, crashes, lost answers, late writes.

mod store_model;
mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use world::{Bounds, Violation, World};

/// More states than any of the searches below has.
const MAX_STATES: usize = 20_000_000;

struct SearchResult {
    states: usize,
    violation: Option<Violation>,
}

/// Returns a hash that stands for a state; among the states of one search two equal ones by chance are
/// less likely than one in a million.
fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Visits all states that the bounds allow, until one breaks a promise.
fn search(bounds: Bounds) -> SearchResult {
    let start = World::new(bounds);
    let mut visited = HashSet::from([fingerprint(&start)]);
    let mut unexplored = vec![start];
    while let Some(world) = unexplored.pop() {
        for event in world.events() {
            let mut next = world.clone();
            if let Err(violation) = next.apply(&event) {
                let states = visited.len();
                return SearchResult {
                    states,
                    violation: Some(violation),
                };
            }
            if visited.insert(fingerprint(&next)) {
                unexplored.push(next);
            }
        }
        assert!(visited.len() < MAX_STATES, "the bounds are too wide");
    }
    SearchResult {
        states: visited.len(),
        violation: None,
    }
}

fn assert_holds(bounds: Bounds) {
    let result = search(bounds);
    println!("{} states", result.states);
    assert_eq!(result.violation, None);
    assert!(result.states > 1_000, "the search went nowhere");
}

const ONE_KEY: Bounds = Bounds {
    keys: 1,
    requests: 2,
    store_faults: 1,
    crashes: 1,
    compare_and_swap: true,
    unique_writer_names: true,
};

#[test]
fn one_key_runs_at_most_once() {
    assert_holds(ONE_KEY);
}

#[test]
fn one_key_runs_at_most_once_with_two_crashes() {
    assert_holds(Bounds {
        crashes: 2,
        store_faults: 0,
        ..ONE_KEY
    });
}

#[test]
fn a_key_requested_three_times_runs_at_most_once() {
    assert_holds(Bounds {
        requests: 3,
        crashes: 0,
        ..ONE_KEY
    });
}

#[test]
fn two_keys_run_at_most_once_each() {
    assert_holds(Bounds {
        keys: 2,
        crashes: 0,
        ..ONE_KEY
    });
}

/// The proof needs the compare: without it the search finds a call that runs twice.
#[test]
fn without_compare_and_swap_a_key_runs_twice() {
    let result = search(Bounds {
        compare_and_swap: false,
        ..ONE_KEY
    });
    assert_eq!(result.violation, Some(Violation::RanTwice));
}

/// The proof needs a new name for each life: with an old name a life takes the intents of the one
/// before for its own, undispatched ones.
#[test]
fn with_a_reused_writer_name_a_key_runs_twice() {
    let result = search(Bounds {
        unique_writer_names: false,
        ..ONE_KEY
    });
    assert_eq!(result.violation, Some(Violation::RanTwice));
}
