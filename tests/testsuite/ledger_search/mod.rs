//! Every order of events in small bounds: two owners of one shard, crashes, lost answers, late writes.

mod store_model;
mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use world::{Bounds, Violation, World};

/// More states than any of the searches below has.
const MAX_STATES: usize = 20_000_000;

struct Searched {
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
fn search(bounds: Bounds) -> Searched {
    let start = World::new(bounds);
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut open = vec![start];
    while let Some(world) = open.pop() {
        for event in world.events() {
            let mut next = world.clone();
            if let Err(violation) = next.apply(&event) {
                let states = seen.len();
                return Searched {
                    states,
                    violation: Some(violation),
                };
            }
            if seen.insert(fingerprint(&next)) {
                open.push(next);
            }
        }
        assert!(seen.len() < MAX_STATES, "the bounds are too wide");
    }
    Searched {
        states: seen.len(),
        violation: None,
    }
}

fn assert_holds(bounds: Bounds) {
    let searched = search(bounds);
    println!("{} states", searched.states);
    assert_eq!(searched.violation, None);
    assert!(searched.states > 1_000, "the search went nowhere");
}

const ONE_KEY: Bounds = Bounds {
    keys: 1,
    asks: 2,
    store_faults: 1,
    crashes: 1,
    compares: true,
    names_each_life: true,
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
fn a_key_asked_three_times_runs_at_most_once() {
    assert_holds(Bounds {
        asks: 3,
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
fn without_the_compare_a_key_runs_twice() {
    let searched = search(Bounds {
        compares: false,
        ..ONE_KEY
    });
    assert_eq!(searched.violation, Some(Violation::RanTwice));
}

/// The proof needs a new name for each life: with an old name a life takes the intents of the one
/// before for its own, undispatched ones.
#[test]
fn with_a_reused_name_a_key_runs_twice() {
    let searched = search(Bounds {
        names_each_life: false,
        ..ONE_KEY
    });
    assert_eq!(searched.violation, Some(Violation::RanTwice));
}
