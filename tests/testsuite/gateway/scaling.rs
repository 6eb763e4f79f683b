//! Scaling orders, against a simulated cloud that reclaims all reclaimable back ends of a zone and then offers
//! no new ones.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jayhall::core::gateway::routes::ScalingRules;
use jayhall::core::gateway::scaling::{Order, ServiceScaling, ZoneState};
use jayhall::core::gateway::work::engine_ms;

/// Time from an order until a back end serves calls.
const BOOT: Duration = Duration::from_secs(4);
/// Interval of the scaling rounds in milliseconds.
const ROUND_MS: u64 = 400;

fn rules() -> ScalingRules {
    ScalingRules {
        min: 1,
        max: 12,
        boot: BOOT,
        spot_price: Some(0.15),
        zone_prices: HashMap::from([("a".into(), 1.0), ("b".into(), 0.8), ("c".into(), 1.25)]),
    }
}

/// A simulated cloud with back ends that serve [`BOOT`] after their order.
struct Cloud {
    running: BTreeMap<(Box<str>, bool), Vec<Duration>>,
    has_spot: bool,
    billed: f64,
}

impl Cloud {
    fn new(regular_each: usize) -> Self {
        let zones: [Box<str>; 3] = ["a".into(), "b".into(), "c".into()];
        let running = zones
            .into_iter()
            .map(|zone| ((zone, false), vec![Duration::ZERO; regular_each]))
            .collect();
        Self {
            running,
            has_spot: true,
            billed: 0.0,
        }
    }

    fn order(&mut self, order: &Order, now: Duration) -> bool {
        let running = self
            .running
            .entry((order.zone.clone(), order.spot))
            .or_default();
        let desired = order.desired as usize;
        if desired > running.len() && order.spot && !self.has_spot {
            return false;
        }
        // The limit of a zone applies to both kinds together.
        let other_kind = (order.zone.clone(), !order.spot);
        let other_kind = self.running.get(&other_kind).map_or(0, Vec::len);
        let free = (rules().max as usize).saturating_sub(other_kind);
        let running = self
            .running
            .entry((order.zone.clone(), order.spot))
            .or_default();
        let desired = desired.min(free.max(running.len()));
        running.resize(desired, now + BOOT);
        true
    }

    fn reclaim(&mut self, zone: &str) {
        self.running.insert((zone.into(), true), Vec::new());
        self.has_spot = false;
    }

    fn zones(&self, work_ms_per_s: f64, now: Duration) -> BTreeMap<Box<str>, ZoneState> {
        let mut zones: BTreeMap<Box<str>, ZoneState> = BTreeMap::new();
        for ((zone, spot), starts) in &self.running {
            let ready = starts.iter().filter(|at| **at <= now).count() as u32;
            let state = zones.entry(zone.clone()).or_default();
            match spot {
                true => state.spot = ready,
                false => state.regular = ready,
            }
            state.work_ms_per_s = work_ms_per_s / 3.0;
        }
        zones
    }

    fn ready(&self, now: Duration) -> usize {
        let all = self.running.values().flatten();
        all.filter(|at| **at <= now).count()
    }

    fn bill(&mut self, seconds: f64) {
        for ((_, spot), starts) in &self.running {
            let price = if *spot { 0.15 } else { 1.0 };
            self.billed += price * starts.len() as f64 * seconds;
        }
    }
}

/// Simulates a period with constant work. Returns the smallest number of ready back ends.
fn simulate(
    cloud: &mut Cloud,
    scaling: &mut ServiceScaling,
    (from_s, to_s): (u64, u64),
    work_ms_per_s: f64,
) -> usize {
    let mut fewest = usize::MAX;
    for ms in (from_s * 1000..to_s * 1000).step_by(ROUND_MS as usize) {
        let now = Duration::from_millis(ms);
        let zones = cloud.zones(work_ms_per_s, now);
        for order in scaling.plan(&rules(), &zones, now) {
            let accepted = cloud.order(&order, now);
            scaling.record_reply(&order, accepted, now);
        }
        cloud.bill(ROUND_MS as f64 / 1000.0);
        fewest = fewest.min(cloud.ready(now));
    }
    fewest
}

#[test]
fn regular_back_ends_are_released_once_reclaimable_ones_serve() {
    let mut cloud = Cloud::new(6);
    let mut scaling = ServiceScaling::default();
    let fewest = simulate(&mut cloud, &mut scaling, (0, 20), 4_000.0);
    assert!(fewest >= 18, "{fewest}");
    let counts: Vec<_> = cloud.running.iter().map(|(k, v)| (k.1, v.len())).collect();
    assert!(
        counts.iter().all(|(spot, count)| *spot == (*count > 0)),
        "{counts:?}"
    );
    // 18 regular back ends would have cost 360.
    assert!(cloud.billed < 180.0, "{}", cloud.billed);
}

#[test]
fn regular_back_ends_replace_those_of_lost_zones_while_reclaimable_ones_are_scarce() {
    let mut cloud = Cloud::new(6);
    let mut scaling = ServiceScaling::default();
    simulate(&mut cloud, &mut scaling, (0, 20), 6_000.0);
    cloud.reclaim("a");
    let fewest = simulate(&mut cloud, &mut scaling, (20, 25), 6_000.0);
    assert!(fewest >= 6, "{fewest}");
    cloud.reclaim("b");
    simulate(&mut cloud, &mut scaling, (25, 32), 6_000.0);
    let now = Duration::from_secs(32);
    assert!(cloud.ready(now) >= 8, "{}", cloud.ready(now));
    cloud.has_spot = true;
    simulate(&mut cloud, &mut scaling, (32, 50), 6_000.0);
    let regular: usize = cloud
        .running
        .iter()
        .filter(|((_, spot), _)| !spot)
        .map(|(_, starts)| starts.len())
        .sum();
    assert_eq!(regular, 0, "{:?}", cloud.running);
}

#[test]
fn regular_back_ends_are_exchanged_for_reclaimable_ones_step_by_step() {
    let mut cloud = Cloud::new(6);
    let mut scaling = ServiceScaling::default();
    simulate(&mut cloud, &mut scaling, (0, 20), 6_000.0);
    // All reclaimable back ends are lost, and the work needs most of the zones' limits.
    for zone in ["a", "b", "c"] {
        cloud.reclaim(zone);
    }
    simulate(&mut cloud, &mut scaling, (20, 30), 18_000.0);
    assert!(cloud.ready(Duration::from_secs(30)) >= 27);
    cloud.has_spot = true;
    let billed = cloud.billed;
    let fewest = simulate(&mut cloud, &mut scaling, (30, 70), 18_000.0);
    assert!(fewest >= 20, "{fewest}");
    let regular = cloud.running.iter().filter(|((_, spot), _)| !spot);
    let regular: usize = regular.map(|(_, starts)| starts.len()).sum();
    assert!(regular <= 6, "{:?}", cloud.running);
    // 36 regular back ends would have cost 1440.
    let cost = cloud.billed - billed;
    assert!(cost < 720.0, "{cost}");
}

#[test]
fn regular_back_ends_are_ordered_in_zones_with_free_places() {
    let mut cloud = Cloud::new(6);
    let mut scaling = ServiceScaling::default();
    simulate(&mut cloud, &mut scaling, (0, 20), 4_000.0);
    // Only zone `a` has free places; `b` is the cheapest.
    cloud.reclaim("a");
    simulate(&mut cloud, &mut scaling, (20, 30), 16_000.0);
    assert!(
        cloud.ready(Duration::from_secs(30)) >= 24,
        "{:?}",
        cloud.running
    );
}

#[test]
fn more_work_raises_orders_and_an_order_in_progress_is_not_repeated() {
    let mut cloud = Cloud::new(6);
    let mut scaling = ServiceScaling::default();
    simulate(&mut cloud, &mut scaling, (0, 20), 4_000.0);
    let now = Duration::from_secs(20);
    let zones = cloud.zones(12_000.0, now);
    let orders = scaling.plan(&rules(), &zones, now);
    assert_eq!(orders.len(), 3, "{orders:?}");
    assert!(orders.iter().all(|order| order.spot && order.desired == 12));
    for order in &orders {
        scaling.record_reply(order, true, now);
    }
    let soon = now + Duration::from_millis(ROUND_MS);
    assert_eq!(scaling.plan(&rules(), &zones, soon), []);
}

#[test]
fn starting_back_ends_are_kept_while_the_demand_fluctuates() {
    let mut cloud = Cloud::new(6);
    let mut scaling = ServiceScaling::default();
    simulate(&mut cloud, &mut scaling, (0, 20), 6_000.0);
    for zone in ["a", "b"] {
        cloud.reclaim(zone);
    }
    // The demand alternates between eight and thirteen back ends, while nine are running.
    let mut ordered: HashMap<Box<str>, u32> = HashMap::new();
    for round in 0..15 {
        let now = Duration::from_secs(20) + Duration::from_millis(ROUND_MS * round);
        let work = if round % 2 == 0 { 9_500.0 } else { 6_000.0 };
        let zones = cloud.zones(work, now);
        for order in scaling.plan(&rules(), &zones, now) {
            let accepted = cloud.order(&order, now);
            scaling.record_reply(&order, accepted, now);
            if !order.spot {
                let before = ordered.insert(order.zone.clone(), order.desired);
                assert!(before.unwrap_or(0) <= order.desired, "{order:?}");
            }
        }
    }
    assert!(
        cloud.ready(Duration::from_secs(26)) >= 13,
        "{:?}",
        cloud.running
    );
}

#[test]
fn regular_back_ends_of_a_peak_are_released_while_reclaimable_ones_are_scarce() {
    let mut cloud = Cloud::new(6);
    let mut scaling = ServiceScaling::default();
    simulate(&mut cloud, &mut scaling, (0, 20), 6_000.0);
    for zone in ["a", "b"] {
        cloud.reclaim(zone);
    }
    let regular = |cloud: &Cloud| -> usize {
        let regular = cloud.running.iter().filter(|((_, spot), _)| !spot);
        regular.map(|(_, starts)| starts.len()).sum()
    };
    simulate(&mut cloud, &mut scaling, (20, 26), 14_000.0);
    let at_peak = regular(&cloud);
    assert!(at_peak >= 13, "{:?}", cloud.running);
    // Half of the work, for which the reclaimable ones of one zone do not suffice.
    let fewest = simulate(&mut cloud, &mut scaling, (26, 40), 7_000.0);
    assert!(fewest >= 11, "{fewest}");
    let left = regular(&cloud);
    assert!(left < at_peak && left > 0, "{left} of {at_peak}");
    let needed = (7_000.0_f64 / 1e3 / 0.65).ceil() as usize;
    assert_eq!(cloud.ready(Duration::from_secs(40)), needed);
}

#[test]
fn a_service_without_reclaimable_back_ends_grows_and_shrinks_with_its_work() {
    let rules = ScalingRules {
        spot_price: None,
        ..rules()
    };
    let mut scaling = ServiceScaling::default();
    let mut cloud = Cloud::new(2);
    let mut counts = Vec::new();
    for (from, work) in [(0, 2_000.0), (20, 9_000.0), (40, 1_000.0)] {
        for ms in (from * 1000..(from + 60) * 1000).step_by(ROUND_MS as usize) {
            let now = Duration::from_millis(ms);
            if ms >= (from + 20) * 1000 && from < 40 {
                break;
            }
            for order in scaling.plan(&rules, &cloud.zones(work, now), now) {
                let accepted = cloud.order(&order, now);
                scaling.record_reply(&order, accepted, now);
            }
        }
        counts.push(cloud.running.values().map(Vec::len).sum::<usize>());
    }
    // The work keeps nine back ends busy, for which two of the three zones must suffice.
    assert!((14..=24).contains(&counts[1]), "{counts:?}");
    assert_eq!((counts[0], counts[2]), (6, 3));
}

#[test]
fn back_ends_that_name_a_limit_are_replaced_for_as_long_as_they_do() {
    for spot_price in [None, Some(0.15)] {
        let rules = ScalingRules {
            spot_price,
            ..rules()
        };
        // With reclaimable back ends, the lower bound of their number covers less than this work.
        let work = if spot_price.is_some() {
            7_000.0
        } else {
            4_000.0
        };
        let desired = |limited: u32| -> u32 {
            let mut zones = Cloud::new(4).zones(work, Duration::ZERO);
            zones.get_mut("a").unwrap().limited = limited;
            let orders = ServiceScaling::default().plan(&rules, &zones, Duration::ZERO);
            let own_kind = orders
                .iter()
                .filter(|order| order.spot == spot_price.is_some());
            own_kind.map(|order| order.desired).sum()
        };
        assert!(
            desired(3) >= desired(0) + 3,
            "{} and {}",
            desired(3),
            desired(0)
        );
        assert!(desired(30) <= 3 * rules.max);
    }
}

#[test]
fn engines_with_large_batches_need_less_time_for_an_answer() {
    // The time for prefill does not depend on the batch size.
    assert_eq!(engine_ms(5_000, 0, 12), engine_ms(5_000, 0, 64));
    assert!(engine_ms(5_000, 0, 64) > 0.0);
    // With five times as many answers in a batch, each uses a fifth of the engine's time.
    let ratio = engine_ms(0, 400, 12) / engine_ms(0, 400, 60);
    assert!((ratio - 5.0).abs() < 1e-9, "{ratio}");
    // A full batch of answers with 100 tokens each takes the time of its 100 decode steps.
    let batch: f64 = (0..64).map(|_| engine_ms(0, 100, 64)).sum();
    assert!((300.0..=1000.0).contains(&batch), "{batch}");
}
