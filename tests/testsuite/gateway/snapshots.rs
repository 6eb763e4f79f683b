//! What nodes tell each other of the store, and whom they ask.

use std::sync::Arc;
use std::time::Duration;

use jayhall::core::gateway::members::{Capacity, Member, Members};
use jayhall::ops::gateway::install::{self, Source};
use jayhall::ops::gateway::snapshot::{self, SnapshotWire};
use jayhall::ops::gateway::state::GatewayState;
use jayhall::platform::PlatformDialect;
use jayhall::sources::store::KeyValue;
use jayhall::util::settings::GatewaySettings;
use jayhall_harness::GatewaySettingsText;
use prost::Message;

use super::rig::{config, settings_text};

/// Back ends in the store, as many as a grown deployment has.
const BACKENDS: u64 = 250;

fn state(name: &str) -> Arc<GatewayState> {
    let text = GatewaySettingsText {
        name,
        ..settings_text()
    };
    GatewayState::new(
        GatewaySettings::parse(&text.render()).unwrap(),
        Arc::new(PlatformDialect),
    )
}

fn item(key: &str, value: String, revision: u64) -> KeyValue {
    KeyValue {
        key: key.into(),
        value: value.into(),
        create_revision: revision,
        mod_revision: revision,
        version: 0,
        lease: None,
    }
}

fn backend(number: u64, state: &str, revision: u64) -> KeyValue {
    let entry = format!(
        r#"{{"service":"llm","address":"10.0.0.1:{}","zone":"z1","slots":8,"state":"{state}","born":1,"version":"a rather long description of the software","coldRemainingMs":0}}"#,
        1000 + number
    );
    item(&format!("servers/b{number}"), entry, revision)
}

fn start() -> Vec<KeyValue> {
    let backends = (0..BACKENDS).map(|number| backend(number, "ready", number + 1));
    let table = item("op/config", config(1), BACKENDS + 1);
    backends.chain([table]).collect()
}

async fn told(state: &GatewayState, after: u64) -> Vec<u8> {
    snapshot::respond(state, &format!("after={after}&wait_ms=0")).await
}

fn apply(state: &GatewayState, text: &[u8]) {
    let told = SnapshotWire::decode(text).unwrap();
    snapshot::apply(state, told, "127.0.0.1:4".parse().unwrap());
}

fn keys(state: &GatewayState) -> Vec<(String, u64)> {
    let view = state.view.lock();
    let mut keys: Vec<_> = view
        .iter()
        .map(|(key, item)| (key.to_string(), item.revision))
        .collect();
    keys.sort();
    keys
}

#[tokio::test]
async fn a_node_that_has_just_listed_tells_others_only_what_changed() {
    let (fresh, other) = (state("fresh"), state("other"));
    let known = BACKENDS + 1;
    install::apply_listing(&other, &start(), &[], known, Source::Store);
    // Two back ends went and one leaves, before the fresh node lists the store.
    let mut listed = start();
    listed.retain(|item| !["servers/b3", "servers/b4"].contains(&&*item.key));
    listed[0] = backend(0, "draining", known + 3);
    install::apply_listing(&fresh, &listed, &[], known + 3, Source::Store);

    let whole = told(&fresh, 0).await;
    let changes = told(&fresh, known).await;
    assert!(
        changes.len() * 10 < whole.len(),
        "{} bytes of {}",
        changes.len(),
        whole.len()
    );
    apply(&other, &changes);
    assert_eq!(keys(&other), keys(&fresh));
    assert_eq!(other.view.lock().revision, known + 3);
}

#[tokio::test]
async fn a_large_configuration_is_told_compressed_and_taken_as_it_is() {
    let (first, second) = (state("first"), state("second"));
    let routes: Vec<String> = (0..1400)
        .map(|at| {
            format!(
                r#"{{"name":"r{at}","hostname":"h.example","pathPrefix":"/r{at}/","routeType":"safe","timeoutMs":1500,"service":"plain"}}"#
            )
        })
        .collect();
    let large = format!(
        r#"{{"version":2,"routes":[{}],"services":[{{"name":"plain"}}]}}"#,
        routes.join(",")
    );
    let value = item("op/config", large.clone(), 7);
    install::apply_listing(&first, &[value], &[], 7, Source::Store);
    let text = told(&first, 0).await;
    assert!(text.len() * 3 < large.len(), "{} bytes", text.len());
    apply(&second, &text);
    assert_eq!(keys(&second), keys(&first));
    assert_eq!(second.table().unwrap().version, 2);
    let view = second.view.lock();
    assert_eq!(view.get("op/config").unwrap().value, large.as_bytes());
}

#[tokio::test]
async fn a_node_that_was_away_learns_what_went_from_one_that_listed_anew() {
    let (watcher, away) = (state("watcher"), state("away"));
    for node in [&watcher, &away] {
        install::apply_listing(node, &start(), &[], BACKENDS + 1, Source::Store);
    }
    // The watcher's history was gone; it lists a store in which only the configuration is left.
    let table = start().pop().unwrap();
    install::apply_listing(&watcher, &[table], &[], BACKENDS + 300, Source::Store);
    apply(&away, &told(&watcher, BACKENDS + 1).await);
    assert_eq!(keys(&away), [("op/config".to_owned(), BACKENDS + 1)]);
}

#[test]
fn nodes_that_know_more_are_those_heard_of_lately_with_a_newer_revision() {
    let at = |port: u16| format!("127.0.0.1:{port}").parse().unwrap();
    let mut members = Members::default();
    for (name, port) in [("a", 1), ("b", 2), ("c", 3), ("d", 4)] {
        let member = Member {
            name: name.into(),
            region: "r".into(),
            zone: "z1".into(),
            callers: at(port),
            peers: at(port),
            control: at(port),
            incarnation: 7,
            is_ready: true,
            capacity: Capacity::default(),
        };
        members.put(member, Duration::ZERO);
    }
    let now = Duration::from_secs(10);
    members.heard("a", 7, true, 90, now);
    members.heard("b", 7, true, 100, now);
    members.heard("c", 7, true, 100, Duration::from_secs(5));
    // Another start of the process: what the former one knew counts no more.
    members.heard("d", 6, true, 100, now);
    let ahead: Vec<_> = members.ahead_of(90, now, Duration::from_secs(2)).collect();
    assert_eq!(ahead, [at(2)]);
    assert_eq!(members.ahead_of(100, now, now).count(), 0);
}
