//! Cost of finding homes, replicas and shard owners by rendezvous hashing.

use std::hint::black_box;
use std::time::{Duration, Instant};

use jayhall::core::cells::{Homes, home_of, replica_of, shard_owner};
use jayhall::core::fleet::{Backend, BackendKind, FleetView, Market};
use jayhall::core::membership::{Member, MemberView};
use jayhall_harness::net;

use super::report::Series;

const ENGINE_COUNTS: [usize; 6] = [10, 50, 200, 900, 2700, 5400];
const MEMBER_COUNTS: [usize; 6] = [8, 32, 128, 256, 512, 1100];
const REGIONS: usize = 6;
const ZONES_PER_REGION: usize = 3;
/// Minimum time for which one decision is repeated.
const MIN_MEASURE_TIME: Duration = Duration::from_millis(300);

/// Measures the decisions at all fleet sizes.
pub(super) fn measure() -> Vec<Series> {
    let mut homes = Series::new(
        "homes of all engines, microseconds, 1,100 members",
        "engines",
    );
    let members = member_view(1100);
    for count in ENGINE_COUNTS {
        let fleet = fleet(count);
        homes.push(
            count,
            mean_micros(|| Homes::of(black_box(&fleet), &members, None)),
        );
    }
    let size_unit = "members";
    let mut home = Series::new("home of one engine, microseconds", size_unit);
    let mut replica = Series::new("copy of one request, microseconds", size_unit);
    let mut owner = Series::new("owner of one shard, microseconds", size_unit);
    for count in MEMBER_COUNTS {
        let view = member_view(count);
        let engine = engine(1);
        home.push(count, mean_micros(|| home_of(black_box(&engine), &view)));
        let serving = &view.members[0].node;
        replica.push(
            count,
            mean_micros(|| replica_of(black_box("request"), serving, &view)),
        );
        owner.push(
            count,
            mean_micros(|| shard_owner(black_box(7), Some("r0"), &view)),
        );
    }
    vec![homes, home, replica, owner]
}

fn mean_micros<T>(decide: impl Fn() -> T) -> f64 {
    let start = Instant::now();
    let mut rounds = 0_u32;
    while start.elapsed() < MIN_MEASURE_TIME {
        black_box(decide());
        rounds += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn location(at: usize) -> (String, String) {
    let region = at % REGIONS;
    let zone = at / REGIONS % ZONES_PER_REGION;
    (format!("r{region}"), format!("r{region}-{zone}"))
}

fn member_view(count: usize) -> MemberView {
    let members = (0..count).map(|at| {
        let (region, zone) = location(at);
        net::member(at, &region, &zone)
    });
    let mut members: Vec<Member> = members.collect();
    members.sort_by(|a, b| a.node.cmp(&b.node));
    MemberView { members }
}

fn fleet(count: usize) -> FleetView {
    FleetView {
        revision: 1,
        backends: (0..count).map(engine).collect(),
    }
}

fn engine(at: usize) -> Backend {
    let (region, zone) = location(at);
    Backend {
        vm: format!("engine-{at}").into(),
        kind: BackendKind::Engine,
        region: region.into(),
        zone: zone.into(),
        class: "small".into(),
        market: Market::Reclaimable,
        address: net::address(at),
        serves: [Box::from("chat")].into_iter().collect(),
        reclaim_at: None,
        is_leaving: false,
    }
}
