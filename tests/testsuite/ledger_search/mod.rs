//! Exhaustive search of the states of a small model: two owners of one shard, crashes, lost replies and
//! delayed writes.

mod store_model;
mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use world::{Bounds, Violation, World};

/// Upper limit of the number of states, which none of the searches below reaches.
const MAX_STATES: usize = 20_000_000;

struct SearchResult {
    states: usize,
    violation: Option<Violation>,
}

/// Returns a hash that identifies a state. The probability of a collision within one search is below
/// one in a million.
fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Visits all states within the bounds, until one violates a guarantee.
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
    assert!(result.states > 1_000, "the search visited too few states");
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

/// Checks that the search detects a missing compare-and-swap, without which a call runs twice.
#[test]
fn without_compare_and_swap_a_key_runs_twice() {
    let result = search(Bounds {
        compare_and_swap: false,
        ..ONE_KEY
    });
    assert_eq!(result.violation, Some(Violation::RanTwice));
}

/// Checks that the search detects a writer name that is reused after a restart: the new process
/// treats the intents of the old one as its own, undispatched ones.
#[test]
fn with_a_reused_writer_name_a_key_runs_twice() {
    let result = search(Bounds {
        unique_writer_names: false,
        ..ONE_KEY
    });
    assert_eq!(result.violation, Some(Violation::RanTwice));
}
