//! The platform's store comes back from an older copy: its revisions go back, and what was written since the
//! copy is lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jayhall::core::gateway::members::Member;
use jayhall::core::gateway::quarantine::EntryValue;
use jayhall::core::gateway::store_contact::StoreContact;
use jayhall::core::gateway::suspects::{Suspect, Suspects};
use jayhall::ops::gateway::install::{self, Source};
use jayhall::ops::gateway::register::Registration;
use jayhall::ops::gateway::state::Phase;
use jayhall::sources::store::{KeyRange, KeyValue, MemoryStore, RangeRequest, Revision, Store};

use super::fixture::{
    Behaviour, FakeBackend, Fixture, Node, config, entries, gateway_state, numbered_call,
};
use super::watched_store::{WatchedStore, Watches};

/// Time after its acknowledgement within which a configuration is in force, and after the report of a departure
/// within which the back end still gets calls; the defaults of the settings.
const APPLY_WITHIN: Duration = Duration::from_millis(2500);
/// Time after the return of the store within which back ends that it lost register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1800);
/// Changes that are lost with the restore, besides those of each test.
const LOST_CHANGES: usize = 12;

/// A configuration in which calls of `/added/` go to the service `plain`, too.
fn config_with_route(version: u64) -> String {
    let added = r#"{"name":"added","hostname":"h.example","pathPrefix":"/added/","routeType":"safe","timeoutMs":1500,"targetLatencyMs":1000,"service":"plain","maxAttempts":2}"#;
    config(version).replacen(r#""routes":["#, &format!(r#""routes":[{added},"#), 1)
}

/// Nodes of three availability zones; those of the first one follow one of them.
async fn start_nodes(fixture: &Fixture) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (name, zone) in [("n1", "z1"), ("n2", "z1"), ("n3", "z1"), ("n4", "z3")] {
        let store = WatchedStore::without_faults(fixture);
        let node = fixture.node_with_store(name, zone, store).await;
        fixture.ready(&node).await;
        nodes.push(node);
    }
    nodes
}

async fn fixture_with_backend() -> (Fixture, FakeBackend) {
    let fixture = Fixture::new();
    fixture.put("op/config", config(4)).await;
    let backend = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    fixture.list_backend("b0", "plain", &backend, "ready").await;
    (fixture, backend)
}

async fn write_lost_changes(fixture: &Fixture) {
    for number in 0..LOST_CHANGES {
        fixture.put("test/lost", number.to_string()).await;
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
}

async fn status(fixture: &Fixture, node: &Node, path: &str) -> u16 {
    let res = numbered_call(fixture, node, path).send().await.unwrap();
    res.status().as_u16()
}

/// Waits until all nodes answer calls of a path with a status, up to a time limit.
async fn all_answer(fixture: &Fixture, nodes: &[Node], path: &str, wanted: u16, limit: Duration) {
    let deadline = Instant::now() + limit;
    for node in nodes {
        loop {
            let status = status(fixture, node, path).await;
            if status == wanted {
                break;
            }
            let name = &node.settings.name;
            assert!(Instant::now() < deadline, "{name} answers {status}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_after_a_restore_is_in_force_in_time_at_all_nodes() {
    let (fixture, _backend) = fixture_with_backend().await;
    let nodes = start_nodes(&fixture).await;
    let copy = fixture.store.copy();
    fixture.put("op/config", config(6)).await;
    write_lost_changes(&fixture).await;
    fixture.store.restore(&copy);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.put("op/config", config_with_route(9)).await;
    all_answer(&fixture, &nodes, "/added/x", 200, APPLY_WITHIN).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn each_of_two_restores_in_a_row_is_noticed() {
    let (fixture, _backend) = fixture_with_backend().await;
    let nodes = start_nodes(&fixture).await;
    let copy = fixture.store.copy();
    write_lost_changes(&fixture).await;
    fixture.store.restore(&copy);
    write_lost_changes(&fixture).await;
    fixture.store.restore(&copy);
    // The revisions given out again reach those of the first restore before the nodes can look.
    for number in 0..=LOST_CHANGES {
        fixture.put("test/again", number.to_string()).await;
    }
    fixture.put("op/config", config_with_route(9)).await;
    fixture.put("test/again", "last").await;
    all_answer(&fixture, &nodes, "/added/x", 200, APPLY_WITHIN).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_the_store_lost_stays_in_force_also_at_nodes_that_start() {
    let (fixture, _backend) = fixture_with_backend().await;
    let nodes = start_nodes(&fixture).await;
    let copy = fixture.store.copy();
    fixture.put("op/config", config_with_route(9)).await;
    all_answer(&fixture, &nodes, "/added/x", 200, APPLY_WITHIN).await;
    fixture.store.restore(&copy);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let store = WatchedStore::without_faults(&fixture);
    let seeds = [nodes[3].settings.listen.control];
    let copied = fixture
        .node_with_seeds("n5", "z1", Arc::clone(&store) as _, &seeds)
        .await;
    // Lists the store itself, which has an older configuration, and learns of the newer one from others.
    let listed = fixture.node_with_store("n6", "z3", store).await;
    let started = [copied, listed];
    for node in &started {
        fixture.ready(node).await;
    }
    all_answer(&fixture, &started, "/added/x", 200, APPLY_WITHIN).await;
    all_answer(&fixture, &nodes, "/added/x", 200, Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_whose_departure_the_store_lost_gets_no_calls() {
    for leaves_with_report in [true, false] {
        let (fixture, backend) = fixture_with_backend().await;
        let nodes = start_nodes(&fixture).await;
        let copy = fixture.store.copy();
        match leaves_with_report {
            true => {
                fixture
                    .list_backend("b0", "plain", &backend, "draining")
                    .await;
            }
            false => fixture.remove("servers/b0").await,
        }
        write_lost_changes(&fixture).await;
        all_answer(&fixture, &nodes, "/get/x", 503, APPLY_WITHIN).await;
        let runs = backend.runs();
        fixture.store.restore(&copy);
        for _ in 0..20 {
            for node in &nodes {
                status(&fixture, node, "/get/x").await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(backend.runs(), runs, "with a report: {leaves_with_report}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_the_store_lost_is_served_until_it_registers_again() {
    let (fixture, _gone) = fixture_with_backend().await;
    let nodes = start_nodes(&fixture).await;
    fixture.remove("servers/b0").await;
    let copy = fixture.store.copy();
    let backend = FakeBackend::spawn(Behaviour::Answer(200, "done")).await;
    fixture.list_backend("b1", "plain", &backend, "ready").await;
    write_lost_changes(&fixture).await;
    all_answer(&fixture, &nodes, "/get/x", 200, APPLY_WITHIN).await;
    fixture.store.restore(&copy);
    let restored = Instant::now();
    while restored.elapsed() < REREGISTRATION_TIME {
        all_answer(&fixture, &nodes, "/get/x", 200, Duration::ZERO).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fixture.list_backend("b1", "plain", &backend, "ready").await;
    tokio::time::sleep(APPLY_WITHIN).await;
    all_answer(&fixture, &nodes, "/get/x", 200, Duration::ZERO).await;
    // Those that do not register again are gone.
    fixture.store.restore(&copy);
    tokio::time::sleep(REREGISTRATION_TIME + APPLY_WITHIN).await;
    all_answer(&fixture, &nodes, "/get/x", 503, Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_windows_are_reported_once_and_with_rising_fences_across_a_restore() {
    let (fixture, _backend) = fixture_with_backend().await;
    let copy = fixture.store.copy();
    let nodes = start_nodes(&fixture).await;
    let started = Instant::now();
    let mut has_restored = false;
    while started.elapsed() < Duration::from_secs(14) {
        for node in &nodes {
            status(&fixture, node, "/once/x").await;
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
        if !has_restored && started.elapsed() > Duration::from_secs(6) {
            has_restored = true;
            write_lost_changes(&fixture).await;
            fixture.store.restore(&copy);
        }
    }
    let usage = fixture.duties.usage.lock().clone();
    let fences: Vec<u64> = usage.iter().map(|(holder, ..)| holder.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
    assert!(fences.first() < fences.last(), "{fences:?}");
    fixture.duties.counts_by_window();
}

#[tokio::test(flavor = "multi_thread")]
async fn what_the_nodes_wrote_is_written_again_after_a_restore() {
    let (fixture, _backend) = fixture_with_backend().await;
    let copy = fixture.store.copy();
    let _nodes = start_nodes(&fixture).await;
    let entry = r#"{"parts":[7],"probe_at_ms":9999999999999,"interval_ms":30000}"#;
    fixture
        .put("jayhall/quarantine/00000000000000aa", entry)
        .await;
    write_lost_changes(&fixture).await;
    fixture.store.restore(&copy);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let nodes = entries(&fixture.store, KeyRange::Prefix("jayhall/nodes/".into())).await;
    assert_eq!(nodes.len(), 4, "{nodes:?}");
    assert!(nodes.iter().all(|node| node.version == 1), "{nodes:?}");
    let holder = entries(&fixture.store, KeyRange::One("jayhall/holder".into())).await;
    assert_eq!(holder.len(), 1);
    let entries = entries(
        &fixture.store,
        KeyRange::Prefix("jayhall/quarantine/".into()),
    )
    .await;
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].version, 1);
}

#[test]
fn entries_lost_in_a_restore_are_awaited_from_its_first_answer_to_any_node() {
    let at = Duration::from_secs;
    let mut contact = StoreContact::new(at(1));
    contact.record_era(1, at(2));
    assert_eq!(contact.reregistration_deadline(at(3)), None);
    contact.record_era(2, at(20));
    let deadline = contact.reregistration_deadline(at(20)).unwrap();
    assert!(deadline >= at(22));
    // This node learns later that another one had an answer in this era before.
    contact.record_era(2, at(15));
    assert_eq!(contact.reregistration_deadline(at(20)), None);
    contact.record_era(1, at(21));
    assert_eq!(contact.era_age(2, at(21)), Some(at(6)));
    assert_eq!(contact.era_age(1, at(21)), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_nodes_that_watch_the_store_list_it_after_an_outage_and_a_restore() {
    let (fixture, _backend) = fixture_with_backend().await;
    let mut started = Vec::new();
    let (faults, _) = tokio::sync::watch::channel(Watches::Complete);
    for name in ["n1", "n2", "n3", "n4", "n5", "n6"] {
        let store = WatchedStore::open(&fixture, &faults);
        let node = fixture.node_with_store(name, "z1", Arc::clone(&store) as _);
        let node = node.await;
        fixture.ready(&node).await;
        started.push((node, store));
    }
    let copy = fixture.store.copy();
    write_lost_changes(&fixture).await;
    let before: usize = started.iter().map(|(_, store)| store.listings()).sum();
    // Long enough for all nodes to ask the store themselves.
    faults.send_replace(Watches::Unresponsive);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fixture.store.restore(&copy);
    faults.send_replace(Watches::Complete);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after: usize = started.iter().map(|(_, store)| store.listings()).sum();
    // Two nodes of a zone watch the store if there is no other zone.
    assert!(after - before <= 2, "{} listings", after - before);
    fixture.put("op/config", config_with_route(9)).await;
    let nodes: Vec<Node> = started.into_iter().map(|(node, _)| node).collect();
    all_answer(&fixture, &nodes, "/added/x", 200, APPLY_WITHIN).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn decided_counts_that_the_store_lost_are_written_again_although_their_holder_has_ended() {
    let (fixture, _backend) = fixture_with_backend().await;
    let _nodes = start_nodes(&fixture).await;
    let copy = fixture.store.copy();
    // Windows last a second. No node of this test has reported this one.
    let window = jayhall::util::time::unix_now() / 1000 + 1;
    let key = format!("jayhall/usage/{window:012}");
    fixture.put(&key, r#"{"anna":7}"#).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    fixture.store.restore(&copy);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let found = entries(&fixture.store, KeyRange::One(key.as_str().into())).await;
    assert_eq!(found.len(), 1);
    assert_eq!(&*found[0].value, br#"{"anna":7}"#);
    assert_eq!(found[0].version, 1);
}

#[tokio::test]
async fn values_lost_in_a_restore_stay_in_force_when_the_store_is_listed_again() {
    let node = gateway_state("n1");
    let at = |era, number| Revision { era, number };
    let suspects = Suspects::from_slice(&[Suspect::Part(7)]);
    let id = EntryValue::new(suspects, 0).id();
    let entry = KeyValue {
        key: format!("jayhall/quarantine/{id:016x}").into(),
        value: r#"{"parts":[7],"probe_at_ms":9999999999999,"interval_ms":30000}"#.into(),
        create_revision: at(1, 5),
        mod_revision: at(1, 5),
        version: 1,
        lease: None,
    };
    install::apply_listing(&node, &[entry], &[], at(1, 9), Source::Store);
    for number in [4, 6] {
        assert!(install::apply_listing(
            &node,
            &[],
            &[],
            at(2, number),
            Source::Store
        ));
        let quarantine = node.quarantine.lock();
        assert!(
            quarantine.blocks(&[Suspect::Part(7)]),
            "revision 2.{number}"
        );
    }
    // An older node's larger revision of the era before does not count.
    assert!(!install::apply_listing(
        &node,
        &[],
        &[],
        at(1, 99),
        Source::Peer
    ));
}

#[tokio::test]
async fn a_node_that_leaves_after_a_restore_does_not_wait_for_its_turn_to_register() {
    let state = gateway_state("n1");
    let own = state.own_member();
    // So many that its turn is minutes away.
    for number in 0..40_000 {
        let name = format!("m{number}").into();
        let other = Member {
            name,
            incarnation: number,
            ..own.clone()
        };
        state.members.lock().put(other, state.now());
    }
    let store = MemoryStore::new();
    let registration = Registration::new(Arc::clone(&state), Arc::new(store.clone()));
    state.phase.send_replace(Phase::Serving);
    let runs = tokio::spawn(Arc::clone(&registration).run());
    let entry = || store.range(RangeRequest::prefix("jayhall/nodes/n1"));
    while entry().await.unwrap().entries.is_empty() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    install::apply_listing(&state, &[], &[], Revision::from(9), Source::Store);
    let restored = Revision { era: 1, number: 4 };
    install::apply_listing(&state, &[], &[], restored, Source::Store);
    // The entry is checked each second.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let left = tokio::time::timeout(Duration::from_secs(1), registration.deregister()).await;
    runs.abort();
    assert!(left.is_ok());
}

#[test]
fn counts_that_a_holder_may_still_report_stay_decided_when_the_store_loses_them() {
    let node = gateway_state("n1");
    let now = node.window_at(node.wall());
    // A holder that waits 6.5 s for the counts of silent nodes begins with the third window, of 5 s, before these.
    let windows = now - 4..=now;
    let at = |era, number| Revision { era, number };
    let decided = |window| KeyValue {
        key: format!("jayhall/usage/{window:012}").into(),
        value: r#"{"anna":7}"#.into(),
        create_revision: at(4, 5),
        mod_revision: at(4, 5),
        version: 1,
        lease: None,
    };
    let items: Vec<KeyValue> = windows.map(decided).collect();
    install::apply_listing(&node, &items, &[], at(4, 9), Source::Store);
    install::apply_listing(&node, &[], &[], at(5, 4), Source::Store);
    let view = node.view.lock();
    let lost = items.iter().map(|item| &item.key);
    let lost: Vec<&Box<str>> = lost.filter(|key| view.get(key).is_none()).collect();
    assert!(lost.is_empty(), "{lost:?}");
}

#[test]
fn a_node_without_an_entry_in_the_store_stays_a_member_of_its_own_fleet() {
    let state = gateway_state("n1");
    let own = state.own_member();
    let other = Member {
        name: "n2".into(),
        incarnation: own.incarnation + 1,
        ..own.clone()
    };
    for member in [own, other] {
        state.members.lock().put(member, state.now());
    }
    install::expire(&state);
    let members = state.members.lock();
    let names: Vec<&str> = members.iter().map(|member| &*member.name).collect();
    assert_eq!(names, ["n1"]);
}
