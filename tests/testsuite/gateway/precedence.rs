//! Which calls of a customer are charged first while its quota is short.

use std::time::Duration;

use jayhall::core::gateway::precedence::Priority;
use jayhall::core::gateway::quota::{Bucket, Charge, Shortage, Work};
use jayhall::ops::gateway::quota_wire::ChargeWire;
use prost::Message;

use super::precedence_load::{Customer, KINDS, QUOTA, Rule, service};
use super::quota_fleet::WINDOW;

/// Load of a quiet customer by rank, as multiples of its limit.
const USUAL: [f64; 3] = [0.034, 0.118, 0.5];
/// The same at 6.6 times the load.
const FLOOD: [f64; 3] = [0.227, 0.777, 3.4];
/// Fraction of what all ranks would get if they were served alike that each gets in any case.
const MIN_SHARE: f64 = 0.25;

/// Plays the same load with and without ranks. Returns both customers.
fn play(add_load: impl Fn(&mut Customer)) -> [Customer; 2] {
    [Rule::FirstCome, Rule::ByRank].map(|rule| {
        let mut customer = Customer::new(rule, 7);
        add_load(&mut customer);
        customer.play();
        println!("{rule:?}: {:.3?}", customer.services(4..20));
        customer
    })
}

/// Checks that no window has more than the limit allows, and that none of the limit is lost in `busy`.
fn assert_limit_used(customer: &Customer, busy: std::ops::Range<u64>) {
    for from in 0..busy.end {
        let granted = customer.granted(from..from + WINDOW);
        // Each holder may overdraw its bucket by one call.
        let allowed = QUOTA.per_second * WINDOW as f64 + QUOTA.burst + 4.0 * KINDS[2].tokens;
        assert!(
            granted <= allowed,
            "{granted} from {from} s, allowed {allowed}"
        );
    }
    let seconds = (busy.end - busy.start) as f64;
    assert!(customer.granted(busy) >= 0.95 * QUOTA.per_second * seconds);
}

#[test]
fn urgent_calls_are_served_beside_a_burst_of_batch_work() {
    let [before, by_rank] = play(|customer| {
        customer.add(0..22, USUAL);
        customer.add(8..18, [0.0, 0.0, 3.4]);
    });
    let (before, after) = (before.services(9..18), by_rank.services(9..18));
    for rank in [0, 1] {
        assert!(before[rank].in_time < 0.5, "the load is no shortage");
        assert!(
            after[rank].in_time >= 0.99,
            "rank {rank}: {:?}",
            after[rank]
        );
    }
    assert_limit_used(&by_rank, 9..18);
}

#[test]
fn a_customer_far_beyond_its_limit_is_served_by_rank_and_no_rank_starves() {
    let [before, by_rank] = play(|customer| customer.add(2..22, FLOOD));
    let alike = 1.0 / FLOOD.iter().sum::<f64>();
    let after = by_rank.services(4..20);
    // The most urgent rank is within the limit, and no rank is served less often than a less urgent one.
    assert!(before.services(4..20)[0].in_time < 0.5);
    assert!(after[0].in_time >= 0.99, "{after:?}");
    assert!(after[0].served >= after[1].served && after[1].served >= after[2].served);
    assert!(after[2].served >= MIN_SHARE * alike, "{after:?}");
    // Callers get more worth in time: tokens, weighted by what a token of each rank is worth to them.
    let worth = |customer: &Customer| {
        let in_time = customer.services(4..20).map(|service| service.in_time);
        let per_token = [1.2 / 1_500.0, 3.0 / 9_000.0, 1.8 / 17_000.0];
        (0..3)
            .map(|rank| in_time[rank] * FLOOD[rank] * per_token[rank])
            .sum::<f64>()
    };
    assert!(worth(&by_rank) > worth(&before));
    assert_limit_used(&by_rank, 4..20);
}

#[test]
fn urgent_calls_beyond_the_limit_do_not_stop_the_others() {
    let [_, by_rank] = play(|customer| customer.add(2..42, [4.0, 0.2, 0.4]));
    let after = by_rank.services(4..40);
    for rank in [1, 2] {
        let alike = 1.0 / 4.6;
        assert!(after[rank].served >= MIN_SHARE * alike, "{after:?}");
        assert!(after[rank].served <= after[0].served, "{after:?}");
    }
    assert_limit_used(&by_rank, 4..40);
}

#[test]
fn large_calls_are_served_as_often_as_small_ones_of_their_rank() {
    let [_, by_rank] = play(|customer| {
        customer.add(2..22, [0.2, 0.1, 0.0]);
        for call in 0..20 * 120 {
            let tokens = if call % 10 == 0 { 60_000.0 } else { 9_000.0 };
            let at = Duration::from_millis(2_000 + call * 1_000 / 120);
            customer.add_one(2, tokens, at);
        }
    });
    let batch = by_rank.of_rank(2, 4..20);
    let (large, small): (Vec<_>, Vec<_>) = batch.iter().partition(|call| call.tokens > 10_000.0);
    let (large, small) = (service(&large), service(&small));
    assert!(small.served < 0.8, "the load is no shortage");
    assert!(large.served >= 0.5 * small.served, "{large:?} {small:?}");
}

/// Guards against orders that are refused for the sake of prompts, although they use next to nothing of the limit.
#[test]
fn orders_are_served_beside_a_flood_of_prompts_whatever_their_rank() {
    const ORDER_TOKENS: f64 = 200.0;
    let [_, by_rank] = play(|customer| {
        customer.add(2..22, FLOOD);
        for order in 0..20 * 50 {
            let at = Duration::from_millis(2_000 + order * 20);
            customer.add_one(2, ORDER_TOKENS, at);
        }
    });
    let batch = by_rank.of_rank(2, 4..20);
    let orders: Vec<_> = batch
        .into_iter()
        .filter(|call| call.tokens == ORDER_TOKENS)
        .collect();
    let orders = service(&orders);
    assert!(orders.in_time >= 0.95, "{orders:?}");
    assert!(by_rank.services(4..20)[0].in_time >= 0.99);
}

#[test]
fn requests_that_come_back_are_served_more_often_than_new_ones_of_their_rank() {
    // Some of the calls of these ranks find room.
    for (load, rank) in [([0.2, 0.2, 1.2], 2), (FLOOD, 1)] {
        let [_, by_rank] = play(|customer| customer.add(2..22, load));
        let calls = by_rank.of_rank(rank, 4..20);
        let new = service(&calls).first;
        let returned = calls.into_iter().filter(|call| call.attempts == 2);
        let returned = service(&returned.collect::<Vec<_>>()).served;
        assert!(
            returned > new,
            "rank {rank}: {new} of the new, {returned} of the returned"
        );
    }
}

#[test]
fn callers_that_are_refused_together_do_not_come_back_together() {
    let first = Duration::from_secs(9);
    let [before, by_rank] = play(|customer| {
        customer.add(2..22, USUAL);
        customer.add(8..10, FLOOD);
        for call in 0..300 {
            customer.add_one(2, 17_000.0, first + Duration::from_micros(call));
        }
    });
    let moment = Duration::from_millis(10);
    let most_at_once = |customer: &Customer| {
        let together = customer.requests.iter().filter(|request| {
            request.rank == 2 && (first..first + moment).contains(&request.arrived)
        });
        let told = together.filter_map(|request| request.told.first());
        let told: Vec<Duration> = told.copied().collect();
        let at_once = |from: Duration| {
            let near = told.iter().filter(|at| (from..from + moment).contains(*at));
            near.count() as f64 / told.len() as f64
        };
        told.iter().map(|from| at_once(*from)).fold(0.0, f64::max)
    };
    assert!(most_at_once(&before) > 0.5, "they are not refused together");
    assert!(most_at_once(&by_rank) < 0.1);
}

/// Longest retry delay that is of use to the callers of [`ask`].
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Requests from this one on are not part of [`load`].
const REQUEST: u64 = 1 << 32;

/// Returns a bucket with the whole limit, which is empty.
fn empty_bucket() -> Bucket {
    let mut bucket = Bucket::new(QUOTA, Duration::ZERO);
    bucket.lend(&"lender".into(), 1.0, Duration::MAX, Duration::ZERO);
    bucket
}

fn ask(bucket: &mut Bucket, rank: u8, request: u64, at_ms: u64) -> Result<(), Shortage> {
    let charge = Charge {
        id: at_ms,
        customer: "anna",
        units: KINDS[usize::from(rank)].tokens,
        work: Work::New,
        priority: Priority {
            rank,
            request: Some(request),
            max_retry_after: MAX_RETRY_AFTER,
        },
    };
    bucket.charge(&charge, &QUOTA, Duration::from_millis(at_ms))
}

/// Lets new calls of ranks 0 and 2 ask for twice the limit in a period.
fn load(bucket: &mut Bucket, period: std::ops::Range<u64>) {
    for ms in period {
        if ms.is_multiple_of(8) {
            let _ = ask(bucket, 2, ms * 2, ms);
        }
        if ms.is_multiple_of(10) {
            let _ = ask(bucket, 0, ms * 2 + 1, ms);
        }
    }
}

#[test]
fn a_request_goes_before_new_ones_only_if_it_comes_back_as_told() {
    let mut bucket = empty_bucket();
    load(&mut bucket, 0..5_000);
    let mut at = 5_000;
    // A request for whose return there is room in the schedule.
    let shortage = loop {
        at += 1;
        load(&mut bucket, at..at + 1);
        if let Err(shortage) = ask(&mut bucket, 2, REQUEST + at, at)
            && shortage.retry_after < MAX_RETRY_AFTER
        {
            break shortage;
        }
    };
    let request = REQUEST + at;
    assert!(!shortage.is_return);
    let back_at = at + shortage.retry_after.as_millis() as u64 + 5;
    let early_at = (at + back_at) / 2;
    load(&mut bucket, at + 1..early_at);
    let early = ask(&mut bucket, 2, request, early_at);
    // It is told the rest of its delay.
    let early = early.expect_err("the load is no shortage");
    assert!(!early.is_return);
    assert!(early_at + early.retry_after.as_millis() as u64 <= back_at);
    load(&mut bucket, early_at + 1..back_at);
    let new = ask(&mut bucket, 2, REQUEST, back_at);
    assert!(new.is_err_and(|shortage| shortage.reserve > 0.0));
    assert_eq!(ask(&mut bucket, 2, request, back_at), Ok(()));
    // It has come back, and is new from then on.
    assert!(ask(&mut bucket, 2, request, back_at + 1).is_err_and(|shortage| !shortage.is_return));
}

#[test]
fn calls_of_one_rank_are_charged_as_without_ranks() {
    let (mut plain, mut ranked) = (empty_bucket(), empty_bucket());
    for ms in 0..10_000u32 {
        let units = 200.0 + f64::from((ms * 7919) % 9_000);
        let now = Duration::from_millis(ms.into());
        let charge = |priority| Charge {
            id: ms.into(),
            customer: "anna",
            units,
            work: Work::New,
            priority,
        };
        let priority = Priority {
            rank: 2,
            request: Some(u64::from(ms % 500)),
            max_retry_after: Duration::from_millis(300),
        };
        let expected = plain.charge(&charge(Priority::default()), &QUOTA, now);
        assert_eq!(ranked.charge(&charge(priority), &QUOTA, now), expected);
    }
}

#[test]
fn the_priority_of_a_call_is_sent_and_is_optional() {
    let priority = Priority {
        rank: 2,
        request: Some(7),
        max_retry_after: Duration::from_millis(750),
    };
    let charge = Charge {
        id: 1,
        customer: "anna",
        units: 17_000.0,
        work: Work::New,
        priority,
    };
    let mut wire = ChargeWire::decode(&*ChargeWire::charge(&charge).encode_to_vec()).unwrap();
    assert_eq!(wire.to_charge(), charge);
    // As sent by nodes of the version before.
    (wire.rank, wire.request, wire.max_retry_after_ms) = (None, None, None);
    assert_eq!(wire.to_charge().priority, Priority::default());
}
