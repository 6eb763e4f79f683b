//! What nodes and the holder of the duties decide in a rollout, without a network. A rollout that goes on after its
//! verdict, that is forgotten with the store or that widens without the store's record sends calls to a version that
//! may not get them.

use std::collections::HashMap;
use std::time::Duration;

use jayhall::core::gateway::backends::{Backend, Backends};
use jayhall::core::gateway::observed::Observer;
use jayhall::core::gateway::origin::Origin;
use jayhall::core::gateway::rollout::candidates::{Candidates, canary_backends};
use jayhall::core::gateway::rollout::evidence::Group;
use jayhall::core::gateway::rollout::exposure::ExposureBound;
use jayhall::core::gateway::rollout::lifecycle::{
    Phase, PublishedRollout, RolloutOrder, RolloutRecord, RolloutState,
};
use jayhall::core::gateway::rollout::verdict::Verdict;
use jayhall::core::gateway::rollout::{
    HoldReason, RolloutBounds, Rollouts, Surroundings, WriteTask,
};
use jayhall::core::gateway::software::{AllowedSoftware, software_id};
use jayhall::sources::store::Revision;

const SERVICE: &str = "llm";
/// Wall-clock time of the order in milliseconds.
const ORDERED_AT: u64 = 1_000_000;
const DURATION: Duration = Duration::from_secs(12);

fn backends(old: usize, new: usize) -> Backends {
    let mut backends = Backends::default();
    let versions = [("v1", old), ("v2", new)];
    for (version, count) in versions {
        for index in 0..count {
            backends.put(Backend {
                id: format!("{version}-{index}").into(),
                service: SERVICE.into(),
                address: "10.0.0.1:80".parse().unwrap(),
                zone: "z1".into(),
                slots: 8,
                is_leaving: false,
                started: 1,
                is_spot: false,
                software: Some(version.into()),
            });
        }
    }
    backends
}

fn order(target: &str) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.into(),
        target: target.into(),
        duration: DURATION,
    }
}

fn record(phase: Phase) -> RolloutRecord {
    let replaced = vec!["v1".into()];
    RolloutRecord::begin(&order("v2"), ORDERED_AT, replaced, ORDERED_AT).in_phase(phase, ORDERED_AT)
}

fn bound(max_part: f64) -> ExposureBound {
    let slack = 0.0;
    ExposureBound { max_part, slack }
}

fn revision(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

fn around(after: Duration) -> Surroundings {
    Surroundings {
        has_view: true,
        has_others: false,
        now: Duration::from_secs(100) + after,
        wall: ORDERED_AT + after.as_millis() as u64,
    }
}

/// A node that knows the order and, if given, the record in a phase.
fn node(phase: Option<Phase>) -> Rollouts {
    let mut rollouts = Rollouts::new(RolloutBounds {
        exposure: bound(0.1),
        stop_within: Duration::from_secs(5),
    });
    assert!(rollouts.put_order(order("v2"), 1, ORDERED_AT, 0.9));
    if let Some(phase) = phase {
        assert!(rollouts.put_record(SERVICE, record(phase), revision(1, 5)));
    }
    rollouts
}

fn send_old(rollouts: &mut Rollouts, calls: usize) {
    for _ in 0..calls {
        rollouts.record_send(SERVICE, Some("v1"));
    }
}

/// Returns the version whose back ends a call is placed at, if it is not free to go to any.
fn first_version(
    rollouts: &Rollouts,
    backends: &Backends,
    allowed: AllowedSoftware,
) -> &'static str {
    let now = Duration::from_secs(101);
    let Some(plan) = rollouts.plan(SERVICE, allowed, backends, now) else {
        return "any";
    };
    let mut first = backends
        .of_service(SERVICE)
        .filter(|entry| plan.first.allow(entry));
    let version = first
        .next()
        .and_then(|entry| entry.backend.software.as_deref());
    match version {
        Some("v1") => "v1",
        Some("v2") => "v2",
        _ => "none",
    }
}

fn tasks(
    rollouts: &Rollouts,
    backends: &Backends,
    after: Duration,
    published: Option<RolloutState>,
) -> Vec<WriteTask> {
    let published = published.map(|state| PublishedRollout {
        state,
        target: "v2".into(),
    });
    let published = published.map(|published| (SERVICE.into(), published));
    let published: HashMap<Box<str>, PublishedRollout> = published.into_iter().collect();
    rollouts.write_tasks(backends, &around(after), &published)
}

#[test]
fn orders_are_left_out_where_the_settings_name_no_bound() {
    let mut rollouts = Rollouts::new(RolloutBounds {
        exposure: bound(0.0),
        stop_within: Duration::from_secs(5),
    });
    assert!(!rollouts.put_order(order("v2"), 1, ORDERED_AT, 0.9));
    let any = AllowedSoftware::Any;
    assert_eq!(first_version(&rollouts, &backends(3, 3), any), "any");
}

#[test]
fn the_new_version_gets_calls_only_as_the_phase_and_the_credit_allow() {
    let backends = backends(10, 10);
    let any = AllowedSoftware::Any;
    let resumed = AllowedSoftware::Only(software_id(SERVICE, "v2"));
    // Phase, earlier calls to the old version, and where a new call and a resumed stream of the new version go first.
    let cases = [
        (None, 1000, "v1", "v1"),
        (Some(Phase::Canary), 0, "v1", "v1"),
        (Some(Phase::Canary), 12, "v1", "v2"),
        (Some(Phase::Canary), 50, "v2", "v2"),
        (Some(Phase::Promoted), 11, "v1", "v1"),
        (Some(Phase::Promoted), 12, "v2", "v2"),
        (Some(Phase::Succeeded), 0, "v2", "v2"),
        (Some(Phase::RolledBack), 1000, "v1", "v1"),
    ];
    for (phase, sent, new_call, resumption) in cases {
        let mut rollouts = node(phase);
        send_old(&mut rollouts, sent);
        let found = first_version(&rollouts, &backends, any);
        assert_eq!(found, new_call, "{phase:?} after {sent}");
        let found = first_version(&rollouts, &backends, resumed);
        assert_eq!(found, resumption, "{phase:?} after {sent}, resumed");
    }
}

#[test]
fn versions_side_by_side_without_an_order_are_used_and_a_third_one_after_a_success_too() {
    let mut backends = backends(2, 2);
    let rollouts = node(Some(Phase::Succeeded));
    let mut third = (*backends.get("v2-0").unwrap().backend).clone();
    (third.id, third.software) = ("v3-0".into(), Some("v3".into()));
    backends.put(third);
    let now = Duration::from_secs(101);
    let plan = rollouts.plan(SERVICE, AllowedSoftware::Any, &backends, now);
    let allowed = backends.of_service(SERVICE);
    let allowed = allowed.filter(|entry| plan.as_ref().unwrap().first.allow(entry));
    assert_eq!(allowed.count(), 3);
    assert!(
        rollouts
            .plan("other", AllowedSoftware::Any, &backends, now)
            .is_none()
    );
}

#[test]
fn the_streams_of_a_version_that_was_rolled_back_are_lost_and_not_to_be_repeated() {
    let backends = backends(2, 2);
    let entry = backends.get("v2-0").unwrap();
    for (phase, is_final) in [(Phase::Canary, false), (Phase::RolledBack, true)] {
        let rollouts = node(Some(phase));
        let now = Duration::from_secs(101);
        let plan = rollouts.plan(SERVICE, AllowedSoftware::Any, &backends, now);
        assert_eq!(plan.unwrap().first.exclude_for_good(entry), is_final);
        assert_eq!(rollouts.may_send(SERVICE, Some("v2")), !is_final);
    }
}

/// A change of a node's surroundings.
type Change = fn(&mut Surroundings);

#[test]
fn a_node_holds_back_without_reports_without_a_view_after_the_deadline_and_by_its_own_evidence() {
    let cases: [(HoldReason, Change); 3] = [
        (HoldReason::NoReports, |around| around.has_others = true),
        (HoldReason::NoView, |around| around.has_view = false),
        (HoldReason::DeadlinePassed, |around| around.wall += 12_000),
    ];
    for (reason, change) in cases {
        let mut rollouts = node(Some(Phase::Canary));
        let mut surroundings = around(Duration::from_secs(1));
        assert!(rollouts.update(&surroundings).is_empty());
        change(&mut surroundings);
        let changed = rollouts.update(&surroundings);
        assert_eq!(changed[0].held, Some(reason));
        assert!(!rollouts.may_send(SERVICE, Some("v2")));
    }
    let mut rollouts = node(Some(Phase::Promoted));
    for _ in 0..10 {
        rollouts.record_answer(SERVICE, 1, Group::New, 8);
        rollouts.record_failure(SERVICE, 1, Group::New);
    }
    let changed = rollouts.update(&around(Duration::from_secs(1)));
    assert_eq!(changed[0].held, Some(HoldReason::BadEvidence));
    let any = AllowedSoftware::Any;
    assert_eq!(first_version(&rollouts, &backends(2, 2), any), "v1");
}

#[test]
fn reports_of_others_end_the_hold_and_their_failures_begin_one() {
    let mut rollouts = node(Some(Phase::Canary));
    let mut surroundings = around(Duration::from_secs(1));
    surroundings.has_others = true;
    rollouts.update(&surroundings);
    rollouts.note_report(surroundings.now);
    assert_eq!(rollouts.update(&surroundings)[0].held, None);
    let mut other = node(Some(Phase::Canary));
    for _ in 0..10 {
        other.record_answer(SERVICE, 1, Group::New, 8);
        other.record_failure(SERVICE, 1, Group::New);
    }
    let mut counts = HashMap::new();
    for (id, route, route_counts) in other.to_report(Observer::Node) {
        counts.insert(id, HashMap::from([(route, route_counts)]));
    }
    rollouts.apply_report(&Origin::from("n2"), Observer::Fleet, counts);
    let changed = rollouts.update(&surroundings);
    assert_eq!(changed[0].held, Some(HoldReason::BadEvidence));
}

#[test]
fn all_nodes_send_canary_calls_to_the_same_few_back_ends() {
    let backends = backends(140, 140);
    let now = Duration::from_secs(1);
    let chosen = canary_backends(&backends, SERVICE, "v2", 0.027, now);
    assert_eq!(chosen.len(), 10);
    assert!(chosen.iter().all(|id| id.starts_with("v2")));
    assert_eq!(
        chosen,
        canary_backends(&backends, SERVICE, "v2", 0.027, now)
    );
}

/// Plays the writes of a holder every 100 ms with this evidence. Returns the times at which phases began.
fn play_phases(verdict: Verdict, observed_from: Duration) -> Vec<(Phase, Duration)> {
    let mut record = record(Phase::Canary);
    let mut phases = Vec::new();
    for tick in 0..130 {
        let after = Duration::from_millis(tick * 100);
        let now = ORDERED_AT + after.as_millis() as u64;
        let observed = after.saturating_sub(observed_from);
        if let Some(phase) = record.next(verdict, observed, now) {
            record = record.in_phase(phase, now);
            phases.push((phase, after));
        }
    }
    phases
}

#[test]
fn a_good_version_succeeds_a_little_before_the_deadline_and_others_are_rolled_back() {
    let good = play_phases(Verdict::Good, Duration::from_secs(3));
    let phases: Vec<Phase> = good.iter().map(|(phase, _)| *phase).collect();
    assert_eq!(phases, [Phase::Promoted, Phase::Succeeded]);
    assert!(good[0].1 >= DURATION / 2, "{good:?}");
    assert!(good[1].1 <= DURATION - Duration::from_secs(1), "{good:?}");
    for verdict in [Verdict::TooFew, Verdict::Doubtful] {
        let phases = play_phases(verdict, Duration::ZERO);
        assert_eq!(phases.len(), 1);
        let (phase, at) = phases[0];
        assert_eq!(phase, Phase::RolledBack);
        assert!(at <= DURATION - Duration::from_secs(1), "{at:?}");
    }
    let late = play_phases(Verdict::Good, Duration::from_secs(9));
    assert_eq!(late[0].0, Phase::RolledBack);
    let bad = play_phases(Verdict::Bad, Duration::ZERO);
    assert_eq!(bad, [(Phase::RolledBack, Duration::ZERO)]);
}

#[test]
fn a_holder_that_takes_over_goes_on_with_the_phase_in_the_store() {
    let backends = backends(3, 3);
    for (phase, published) in [
        (Phase::Canary, RolloutState::Running),
        (Phase::Promoted, RolloutState::Running),
        (Phase::RolledBack, RolloutState::RolledBack),
        (Phase::Succeeded, RolloutState::Succeeded),
    ] {
        let rollouts = node(Some(phase));
        let tasks = tasks(
            &rollouts,
            &backends,
            Duration::from_secs(3),
            Some(published),
        );
        assert_eq!(tasks, [], "{phase:?}");
    }
    let rollouts = node(None);
    let tasks = tasks(&rollouts, &backends, Duration::from_secs(1), None);
    assert_eq!(tasks[0].record.phase, Phase::Canary);
    assert_eq!(tasks[0].record.ordered_at, ORDERED_AT);
    assert_eq!(tasks[0].revision, Revision::NONE);
    assert_eq!(&*tasks[0].record.replaced[0], "v1");
}

#[test]
fn a_phase_that_a_restored_store_has_lost_stays_in_force_and_is_written_again() {
    let backends = backends(3, 3);
    let any = AllowedSoftware::Any;
    // The copy has an earlier phase, or none at all.
    let mut rollouts = node(Some(Phase::RolledBack));
    rollouts.forget_revisions_before(2);
    let lost = tasks(&rollouts, &backends, Duration::from_secs(3), None);
    assert_eq!(lost[0].record.phase, Phase::RolledBack);
    assert_eq!(lost[0].revision, Revision::NONE);
    assert!(!rollouts.put_record(SERVICE, record(Phase::Canary), revision(2, 3)));
    assert_eq!(first_version(&rollouts, &backends, any), "v1");
    let earlier = tasks(&rollouts, &backends, Duration::from_secs(3), None);
    assert_eq!(earlier[0].record.phase, Phase::RolledBack);
    assert_eq!(earlier[0].revision, revision(2, 3));
}

#[test]
fn after_the_loss_of_all_nodes_the_published_state_stands() {
    let rollouts = node(None);
    for (state, phase) in [
        (RolloutState::RolledBack, Phase::RolledBack),
        (RolloutState::Succeeded, Phase::Succeeded),
        (RolloutState::Running, Phase::Canary),
    ] {
        let tasks = tasks(
            &rollouts,
            &backends(3, 3),
            Duration::from_secs(3),
            Some(state),
        );
        assert_eq!(tasks[0].record.phase, phase);
    }
    // The old back ends have stopped after a success of which nothing is left in the store.
    let tasks = tasks(&rollouts, &backends(0, 3), Duration::from_secs(3), None);
    assert_eq!(tasks[0].record.phase, Phase::Succeeded);
    assert_eq!(
        first_version(&rollouts, &backends(0, 3), AllowedSoftware::Any),
        "any"
    );
}

#[test]
fn another_target_begins_another_rollout_and_a_withdrawn_order_rolls_back() {
    let backends = backends(3, 3);
    let mut rollouts = node(Some(Phase::RolledBack));
    assert!(!rollouts.put_order(order("v2"), 1, ORDERED_AT + 1, 0.0));
    assert!(rollouts.put_order(order("v3"), 1, ORDERED_AT + 1, 0.0));
    let first = tasks(&rollouts, &backends, Duration::from_secs(3), None);
    assert_eq!(
        (&*first[0].record.target, first[0].record.phase),
        ("v3", Phase::Canary)
    );
    let mut rollouts = node(Some(Phase::Promoted));
    rollouts.remove_order(SERVICE);
    let withdrawn = tasks(&rollouts, &backends, Duration::from_secs(3), None);
    assert_eq!(withdrawn[0].record.phase, Phase::RolledBack);
}

#[test]
fn only_the_version_in_use_counts_for_scaling() {
    let backends = backends(3, 4);
    for (phase, count) in [
        (Phase::Canary, 3),
        (Phase::Promoted, 3),
        (Phase::Succeeded, 4),
        (Phase::RolledBack, 3),
    ] {
        let in_use = node(Some(phase)).in_use(SERVICE);
        let entries = backends.of_service(SERVICE);
        assert_eq!(
            entries.filter(|entry| in_use.allow(entry)).count(),
            count,
            "{phase:?}"
        );
    }
    assert_eq!(node(None).in_use("other"), Candidates::Any);
}
