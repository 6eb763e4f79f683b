//! Who may make the calls of a duty, and when.

use std::collections::BTreeMap;
use std::time::Duration;

use jayhall::core::gateway::tenure::{MayAct, Tenure};
use jayhall::sources::store::{RangeRequest, Store};

use super::rig::{Behaviour, Rig, config, one_node};

const TTL: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn tenure() -> Tenure {
    Tenure {
        fence: 7,
        since: at(1000),
        settle: at(3500),
    }
}

#[test]
fn a_new_holder_waits_until_calls_of_the_former_one_are_over() {
    let act = |now, renewed| tenure().may_act(at(now), at(renewed), TTL);
    assert_eq!(act(1000, 900), MayAct::Settling);
    assert_eq!(act(4499, 4000), MayAct::Settling);
    assert_eq!(act(4500, 4000), MayAct::Yes);
}

#[test]
fn a_holder_whose_lease_may_have_ended_does_not_act() {
    let act = |now, renewed| tenure().may_act(at(now), at(renewed), TTL);
    assert_eq!(act(8000, 5000), MayAct::Yes);
    // Suspended for three seconds and awake again: the clock went on meanwhile.
    assert_eq!(act(8200, 5000), MayAct::LeaseInDoubt);
    assert_eq!(act(20_000, 5000), MayAct::LeaseInDoubt);
}

#[tokio::test]
async fn one_node_reports_each_window_once_with_the_counts_of_all() {
    let (rig, first, _backends) = one_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let second = rig.node("n2").await;
    rig.ready(&second).await;
    let mut sent = 0;
    for round in 0..60 {
        for node in [&first, &second] {
            let attempt = format!("a{round}-{}", node.settings.name);
            let res = rig.call(node, "/once/x", &attempt).send().await.unwrap();
            assert_eq!(res.status(), 200);
            sent += 1;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    tokio::time::sleep(Duration::from_millis(5200)).await;
    let usage = rig.duties.usage.lock().clone();
    let mut windows: BTreeMap<u64, u32> = BTreeMap::new();
    for (holder, window, counts) in &usage {
        assert_eq!(holder.fence, usage[0].0.fence);
        assert_eq!(holder.node, usage[0].0.node);
        let calls = counts.get("anna").copied().unwrap_or(0);
        assert_eq!(
            windows.insert(*window, calls),
            None,
            "window {window} told twice"
        );
    }
    assert_eq!(windows.values().sum::<u32>(), sent, "{windows:?}");
}

#[tokio::test]
async fn a_node_that_starts_again_takes_over_from_its_former_process() {
    let former = Rig::new();
    former.put("op/config", config(1)).await;
    former.put("jayhall/holder", "n1/12345").await;
    let holder = async |rig: &Rig| {
        let req = RangeRequest::one("jayhall/holder");
        let found = rig.store.range(req).await.unwrap().entries;
        String::from_utf8(found[0].value.to_vec()).unwrap()
    };
    let again = former.node("n1").await;
    former.ready(&again).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let value = holder(&former).await;
    assert!(value.starts_with("n1/") && value != "n1/12345", "{value}");
    // The key of another node stays until its lease ends.
    let other = Rig::new();
    other.put("op/config", config(1)).await;
    other.put("jayhall/holder", "n2/12345").await;
    let node = other.node("n1").await;
    other.ready(&node).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(holder(&other).await, "n2/12345");
}

#[tokio::test]
async fn a_holder_that_gave_up_its_claim_takes_it_up_again() {
    let (rig, _node, _backends) = one_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let held = async || {
        for _ in 0..100 {
            let req = RangeRequest::one("jayhall/holder");
            let found = rig.store.range(req).await.unwrap().entries;
            if let Some(holder) = found.first() {
                return holder.clone();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("nobody holds the duties");
    };
    // The store names the process with another revision than the one by which it became the holder.
    let first = held().await;
    rig.put("jayhall/holder", first.value.clone()).await;
    let second = held().await.mod_revision;
    tokio::time::sleep(Duration::from_millis(6000)).await;
    let usage = rig.duties.usage.lock().clone();
    let fences: Vec<u64> = usage.iter().map(|(holder, ..)| holder.fence).collect();
    assert!(fences.iter().any(|fence| *fence > second), "{fences:?}");
    assert!(fences.is_sorted(), "{fences:?}");
}
