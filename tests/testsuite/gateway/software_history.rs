//! Which software versions services have had lately, and which nodes keep the origins of streams.

use std::collections::BTreeSet;
use std::time::Duration;

use jayhall::core::gateway::members::{Member, Members};
use jayhall::core::gateway::software::{
    RecentSoftware, STREAM_LIFETIME, SoftwareHistory, software_id,
};
use jayhall::core::gateway::stream_origins::{StreamOrigin, StreamOrigins, stream_id};
use jayhall::core::time::Moment;
use jayhall::sources::store::Revision;

use super::fixture::member;

const SECOND: Duration = Duration::from_secs(1);

fn services() -> [Box<str>; 1] {
    ["llm".into()]
}

fn versions(names: &[&str]) -> BTreeSet<Box<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

fn revision(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

#[test]
fn a_version_on_record_counts_until_it_has_not_been_listed_for_the_life_of_a_stream() {
    let mut history = SoftwareHistory::default();
    let started = Moment::from_secs(1000);
    history.apply_record("llm", versions(&["v1", "v2"]), revision(0, 5), started);
    history.note_listed("llm", Some("v2"), started);
    assert_eq!(
        history.recent(&services(), started),
        RecentSoftware::Several
    );
    assert!(history.record_tasks(started).is_empty());
    let ended = started + STREAM_LIFETIME + SECOND;
    history.note_listed("llm", Some("v2"), ended);
    let tasks = history.record_tasks(ended);
    assert_eq!(tasks.len(), 1);
    assert_eq!(tasks[0].versions, versions(&["v2"]));
    assert_eq!(tasks[0].revision, revision(0, 5));
    let only = RecentSoftware::One(software_id("llm", "v2"));
    assert_eq!(history.recent(&services(), ended), only);
}

#[test]
fn without_a_record_a_node_does_not_know_that_a_service_has_had_one_version() {
    let mut history = SoftwareHistory::default();
    history.note_listed("llm", Some("v1"), SECOND);
    assert_eq!(
        history.recent(&services(), SECOND),
        RecentSoftware::NoRecord
    );
    assert_eq!(history.record_tasks(SECOND).len(), 1);
    history.apply_record("llm", versions(&["v1"]), revision(0, 1), SECOND);
    assert!(matches!(
        history.recent(&services(), SECOND),
        RecentSoftware::One(_)
    ));
}

#[test]
fn a_record_that_a_restored_store_may_have_lost_is_written_again() {
    let mut history = SoftwareHistory::default();
    history.note_listed("llm", Some("v1"), SECOND);
    history.apply_record("llm", versions(&["v1"]), revision(1, 9), SECOND);
    history.forget_revisions_before(1);
    assert!(history.record_tasks(SECOND).is_empty());
    history.forget_revisions_before(2);
    assert_eq!(history.record_tasks(SECOND)[0].revision, Revision::NONE);
}

#[test]
fn back_ends_without_a_version_make_a_service_ambiguous() {
    let mut history = SoftwareHistory::default();
    history.note_listed("llm", None, SECOND);
    history.apply_record("llm", versions(&[""]), revision(0, 1), SECOND);
    assert_eq!(history.recent(&services(), SECOND), RecentSoftware::Several);
}

#[test]
fn origins_are_kept_for_the_life_of_a_stream_and_the_first_one_stays() {
    let mut origins = StreamOrigins::default();
    let stream = stream_id("a1");
    let origin = |software, at| StreamOrigin {
        stream,
        software,
        at,
    };
    origins.record(origin(1, SECOND));
    origins.record(origin(2, SECOND * 2));
    assert_eq!(origins.get(stream), Some(1));
    origins.expire(SECOND + STREAM_LIFETIME);
    assert_eq!(origins.get(stream), Some(1));
    origins.expire(SECOND * 2 + STREAM_LIFETIME);
    assert_eq!(origins.get(stream), None);
}

#[test]
fn keepers_are_of_different_zones_evenly_chosen_and_change_only_with_lost_nodes() {
    let nodes = 295;
    let mut members = Members::default();
    for index in 0..nodes {
        members.put(member(index), SECOND);
    }
    let choose = |members: &Members, stream: u64| -> Vec<Member> {
        let keepers = members.keepers(stream, "n0", 3, SECOND, SECOND);
        keepers.into_iter().cloned().collect()
    };
    let streams: Vec<u64> = (0..1000)
        .map(|index| stream_id(&format!("s{index}")))
        .collect();
    let mut counts = vec![0; nodes];
    let before: Vec<Vec<Member>> = streams.iter().map(|s| choose(&members, *s)).collect();
    for keepers in &before {
        let zones: BTreeSet<_> = keepers.iter().map(|keeper| &keeper.zone).collect();
        assert_eq!(zones.len(), 3);
        for keeper in keepers {
            counts[keeper.incarnation as usize] += 1;
        }
    }
    assert!(counts.iter().all(|count| *count <= 40), "{counts:?}");
    // A third of the nodes is lost: nearly all streams still have one of their keepers.
    for index in (1..nodes).step_by(3) {
        members.remove(&format!("n{index}"));
    }
    let kept = streams.iter().zip(&before).filter(|(stream, before)| {
        let after = members.keepers(**stream, "n0", 4, SECOND, SECOND);
        before
            .iter()
            .any(|keeper| after.iter().any(|now| now.name == keeper.name))
    });
    assert!(kept.count() >= 900);
}
