//! Election of the leader, the node that holds the duties, and when it may call the cloud.

use std::collections::BTreeMap;
use std::time::Duration;

use jayhall::core::gateway::tenure::{MayAct, Tenure};
use jayhall::sources::store::{RangeRequest, Store};

use super::fixture::{Behaviour, Fixture, config, fixture_with_node};

const TTL: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn tenure() -> Tenure {
    Tenure {
        claim: 7.into(),
        since: at(1000),
        settle: at(3500),
    }
}

#[test]
fn a_new_leader_waits_until_calls_of_the_previous_one_have_ended() {
    let act = |now, renewed| tenure().may_act(at(now), at(renewed), TTL);
    assert_eq!(act(1000, 900), MayAct::Settling);
    assert_eq!(act(4499, 4000), MayAct::Settling);
    assert_eq!(act(4500, 4000), MayAct::Yes);
}

#[test]
fn a_leader_whose_lease_may_have_expired_does_not_act() {
    let act = |now, renewed| tenure().may_act(at(now), at(renewed), TTL);
    assert_eq!(act(8000, 5000), MayAct::Yes);
    // The VM was suspended for three seconds, during which the clock kept running.
    assert_eq!(act(8200, 5000), MayAct::LeaseInDoubt);
    assert_eq!(act(20_000, 5000), MayAct::LeaseInDoubt);
}

#[tokio::test]
async fn one_node_reports_each_window_once_with_the_counts_of_all() {
    let (fixture, first, _backends) =
        fixture_with_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let second = fixture.node("n2").await;
    fixture.ready(&second).await;
    let mut sent = 0;
    for round in 0..60 {
        for node in [&first, &second] {
            let attempt = format!("a{round}-{}", node.settings.name);
            let res = fixture
                .call(node, "/once/x", &attempt)
                .send()
                .await
                .unwrap();
            assert_eq!(res.status(), 200);
            sent += 1;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    tokio::time::sleep(Duration::from_millis(5200)).await;
    let usage = fixture.duties.usage.lock().clone();
    let mut windows: BTreeMap<u64, u32> = BTreeMap::new();
    for (holder, window, counts) in &usage {
        assert_eq!(holder.fence, usage[0].0.fence);
        assert_eq!(holder.node, usage[0].0.node);
        let calls = counts.get("anna").copied().unwrap_or(0);
        assert_eq!(
            windows.insert(*window, calls),
            None,
            "window {window} reported twice"
        );
    }
    assert_eq!(windows.values().sum::<u32>(), sent, "{windows:?}");
}

#[tokio::test]
async fn a_restarted_node_takes_over_the_duties_of_its_previous_process() {
    let former = Fixture::new();
    former.put("op/config", config(1)).await;
    former.put("jayhall/holder", "n1/12345").await;
    let holder = async |fixture: &Fixture| {
        let req = RangeRequest::one("jayhall/holder");
        let found = fixture.store.range(req).await.unwrap().entries;
        String::from_utf8(found[0].value.to_vec()).unwrap()
    };
    let again = former.node("n1").await;
    former.ready(&again).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let value = holder(&former).await;
    assert!(value.starts_with("n1/") && value != "n1/12345", "{value}");
    // The key of another node is kept until its lease expires.
    let other = Fixture::new();
    other.put("op/config", config(1)).await;
    other.put("jayhall/holder", "n2/12345").await;
    let node = other.node("n1").await;
    other.ready(&node).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(holder(&other).await, "n2/12345");
}

#[tokio::test]
async fn a_leader_that_gave_up_the_duties_is_elected_again() {
    let (fixture, _node, _backends) =
        fixture_with_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let holder = async || {
        for _ in 0..100 {
            let req = RangeRequest::one("jayhall/holder");
            let found = fixture.store.range(req).await.unwrap().entries;
            if let Some(holder) = found.first() {
                return holder.clone();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no node holds the duties");
    };
    // A later write of the same value gives the key another revision than the leader's fencing token.
    let first = holder().await;
    fixture.put("jayhall/holder", first.value.clone()).await;
    let second = holder().await.mod_revision.fencing_token();
    tokio::time::sleep(Duration::from_millis(6000)).await;
    let usage = fixture.duties.usage.lock().clone();
    let fences: Vec<u64> = usage.iter().map(|(holder, ..)| holder.fence).collect();
    assert!(fences.iter().any(|fence| *fence > second), "{fences:?}");
    assert!(fences.is_sorted(), "{fences:?}");
}
