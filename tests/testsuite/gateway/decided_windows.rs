//! Who may decide on the counts of a usage window: a window that is reported twice with different counts is billed
//! twice. The store that comes back from an older copy lacks the last decisions, and the processes that knew them may
//! have ended.

use std::sync::Arc;
use std::time::Duration;

use jayhall::core::gateway::usage::{Counts, Window};
use jayhall::ops::gateway::decided_counts::DecidedCounts;
use jayhall::ops::gateway::state::GatewayState;
use jayhall::sources::store::{KeyRange, MemoryStore, Revision, Store};

use super::fixture::{Fixture, Node, config, entries, gateway_state, put};

const HOLDER: &str = "jayhall/holder";

/// A node that has started after a restore, and has claimed the duties.
struct Holder {
    state: Arc<GatewayState>,
    store: Arc<MemoryStore>,
    claim: Revision,
}

impl Holder {
    /// Starts a node that had the first answer of the store's era this long ago.
    async fn start(era_age: Duration) -> Self {
        let state = gateway_state("n1");
        let store = Arc::new(MemoryStore::new());
        store.restore(&store.copy());
        let claim = store.transact(put(HOLDER, "n1/1@1")).await.unwrap();
        let claim = claim.revision;
        let began_at = state.now() - era_age;
        state.contact.lock().record_era(claim.era, began_at);
        state.count_usage("anna", Duration::from_secs(6));
        Self {
            state,
            store,
            claim,
        }
    }

    /// The last complete window, of 5 s.
    fn window(&self) -> Window {
        self.state.window_at(self.state.wall()) - 1
    }

    async fn decide(&self, window: Window) -> Option<Counts> {
        let store = Arc::clone(&self.store) as Arc<dyn Store>;
        let counts = DecidedCounts::new(Arc::clone(&self.state), store);
        counts.decide(window, self.claim).await.unwrap()
    }

    async fn stored(&self, window: Window) -> usize {
        let key = format!("jayhall/usage/{window:012}");
        entries(&self.store, KeyRange::One(key.into())).await.len()
    }
}

/// Guards against a second report with the few counts of a new process: the window was decided and reported, the store
/// lost the decision, and all processes that knew it have ended.
#[tokio::test]
async fn a_window_that_ended_before_a_restore_is_not_decided_by_a_node_that_knows_nothing_of_it() {
    let holder = Holder::start(Duration::ZERO).await;
    let window = holder.window();
    assert_eq!(holder.decide(window).await, None);
    assert_eq!(holder.stored(window).await, 0);
}

/// Guards against windows that nobody reports although the store has lost nothing since their end.
#[tokio::test]
async fn a_window_that_ended_after_a_restore_is_decided_by_any_node() {
    let holder = Holder::start(Duration::from_secs(30)).await;
    let window = holder.window();
    assert!(holder.decide(window).await.is_some());
    assert_eq!(holder.stored(window).await, 1);
}

/// Guards against a decision of a holder that has not noticed that another one holds the duties, or that the store was
/// restored.
#[tokio::test]
async fn a_holder_whose_claim_is_no_longer_in_the_store_decides_nothing() {
    let holder = Holder::start(Duration::from_secs(30)).await;
    let claim = put(HOLDER, "n2/2@1");
    holder.store.transact(claim).await.unwrap();
    let window = holder.window();
    assert_eq!(holder.decide(window).await, None);
    assert_eq!(holder.stored(window).await, 0);
}

/// Guards against decided counts that are lost with the nodes that know them: all of these leave as planned while the
/// store comes back from an older copy.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_leave_write_the_decided_counts_again_that_the_store_has_lost() {
    let fixture = Fixture::new();
    fixture.put("op/config", config(4)).await;
    let mut nodes: Vec<Node> = Vec::new();
    for (name, zone) in [("n1", "z1"), ("n2", "z3")] {
        let node = fixture.node_in(name, zone).await;
        fixture.ready(&node).await;
        nodes.push(node);
    }
    let copy = fixture.store.copy();
    // Windows last a second. No node of this test has reported this one.
    let window = jayhall::util::time::unix_now() / 1000 + 1;
    let key = format!("jayhall/usage/{window:012}");
    fixture.put(&key, r#"{"anna":7}"#).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let gateways = nodes.iter_mut().filter_map(|node| node.gateway.take());
    let stops: Vec<_> = gateways.map(|g| tokio::spawn(g.leave())).collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    fixture.store.restore(&copy);
    for stop in stops {
        stop.await.unwrap();
    }
    let found = entries(&fixture.store, KeyRange::One(key.into())).await;
    assert_eq!(found.len(), 1);
    assert_eq!(&*found[0].value, br#"{"anna":7}"#);
}
