//! Tests the clients of the cloud, the VM list and the weight store against the stand-ins, with each
//! injected fault.

use std::time::Duration;

use jayhall::core::fleet::{BackendKind, Market};
use jayhall::core::verdict::Verdict;
use jayhall::sources::cloud::{Cloud, HttpCloud, StartOutcome, StartVm, VmRole};
use jayhall::sources::platform::PlatformError;
use jayhall::sources::vm_list::{HttpVmList, VmList};
use jayhall::sources::weights::{HttpWeightStore, WeightStore};
use jayhall_standins::cloud::{self, CloudFaults, CloudSettings};
use jayhall_standins::vm_list::{self, ListedVm, VmListSettings};
use jayhall_standins::weights::{self, WeightsSettings};
use jayhall_standins::{CommonFaults, FaultSet};

const DEADLINE: Duration = Duration::from_millis(300);

/// Name, injected fault, expected verdict, and whether the call takes effect.
fn fault_cases() -> Vec<(&'static str, CommonFaults, Verdict, bool)> {
    let none = CommonFaults::default;
    vec![
        (
            "refuse",
            CommonFaults {
                refuse: true,
                ..none()
            },
            Verdict::NotRun,
            false,
        ),
        (
            "freeze",
            CommonFaults {
                freeze: true,
                ..none()
            },
            Verdict::MayHaveRun,
            false,
        ),
        (
            "slow",
            CommonFaults {
                delay_ms: 5000,
                ..none()
            },
            Verdict::MayHaveRun,
            false,
        ),
        (
            "lost",
            CommonFaults {
                lose_answer_next: 1,
                ..none()
            },
            Verdict::MayHaveRun,
            true,
        ),
    ]
}

fn engine_vm(token: &str) -> StartVm {
    StartVm {
        zone: "addis-1".into(),
        class: "gpu-small".into(),
        role: VmRole::Engine,
        market: Market::Reclaimable,
        token: token.into(),
    }
}

fn client(address: std::net::SocketAddr) -> HttpCloud {
    let url = format!("http://{address}");
    HttpCloud::with_deadline(reqwest::Client::new(), &url, DEADLINE)
}

#[tokio::test]
async fn a_failed_start_reports_its_verdict_and_is_retried_by_token() {
    for (name, fault, verdict, has_effect) in fault_cases() {
        let cloud = cloud::spawn(CloudSettings::default()).await.unwrap();
        let client = client(cloud.address);
        let mut faults = CloudFaults::default();
        *faults.common_mut() = fault;
        cloud.set_faults(faults);
        let e = client.start_vm(engine_vm("a")).await.unwrap_err();
        assert_eq!(e.verdict(), verdict, "{name}: {e}");
        assert_eq!(!cloud.started().is_empty(), has_effect, "{name}");
        cloud.set_faults(CloudFaults::default());
        let again = client.start_vm(engine_vm("a")).await.unwrap();
        assert_eq!(again, StartOutcome::Started("vm-1".into()), "{name}");
        assert_eq!(cloud.started().len(), 1, "{name}");
    }
}

#[tokio::test]
async fn a_refused_connection_to_the_cloud_has_run_nothing() {
    let cloud = cloud::spawn(CloudSettings::default()).await.unwrap();
    let address = cloud.address;
    let client = client(address);
    drop(cloud);
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let e = client.start_vm(engine_vm("a")).await.unwrap_err();
    assert!(matches!(e, PlatformError::NotReached { .. }), "{e}");
    assert_eq!(e.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn prices_capacity_and_notices_are_decoded() {
    let cloud = cloud::spawn(CloudSettings::default()).await.unwrap();
    let client = client(cloud.address);
    let offers = client.offers().await.unwrap();
    assert_eq!(
        (&*offers[0].zone, offers[0].reclaimable),
        ("addis-1", 900_000)
    );
    cloud.set_faults(CloudFaults {
        refuse_starts: vec!["*/reclaimable".into()],
        ..CloudFaults::default()
    });
    let refused = client.start_vm(engine_vm("a")).await.unwrap();
    assert_eq!(refused, StartOutcome::NoCapacity);
    let on_demand = StartVm {
        market: Market::OnDemand,
        ..engine_vm("b")
    };
    let started = client.start_vm(on_demand).await.unwrap();
    assert_eq!(started, StartOutcome::Started("vm-1".into()));
    cloud.announce("vm-1", Duration::from_secs(30));
    let notices = client
        .notices(vec!["vm-1".into(), "vm-2".into()])
        .await
        .unwrap();
    assert_eq!(notices[0].reclaim_at - notices[0].announced_at, 30_000);
    assert_eq!(client.notices(vec!["vm-2".into()]).await.unwrap(), []);
    client.stop_vm("vm-1".into()).await.unwrap();
    client.stop_vm("vm-1".into()).await.unwrap();
    client.stop_vm("gone".into()).await.unwrap();
    assert!(!cloud.started()[0].is_running);
}

fn listed(vm: &str, kind: &str, market: &str, state: &str) -> ListedVm {
    let address = "127.0.0.1:7000".parse().unwrap();
    ListedVm {
        vm: vm.into(),
        kind: kind.into(),
        zone: "addis-1".into(),
        region: "addis".into(),
        class: "gpu-small".into(),
        market: market.into(),
        state: state.into(),
        address,
        peer_address: (kind == "entry").then_some(address),
        serves: vec!["assistant".into()],
    }
}

#[tokio::test]
async fn a_list_is_split_by_kind_and_rejects_malformed_entries() {
    let mut without_peer_address = listed("lonely", "entry", "on_demand", "live");
    without_peer_address.peer_address = None;
    let settings = VmListSettings {
        vms: vec![
            listed("s", "service", "on_demand", "live"),
            listed("e", "engine", "reclaimable", "leaving"),
            listed("n", "entry", "reclaimable", "live"),
            listed("odd", "router", "reclaimable", "live"),
            listed("odd", "engine", "leased", "live"),
            listed("odd", "engine", "reclaimable", "asleep"),
            without_peer_address,
        ],
        ..VmListSettings::default()
    };
    let list = vm_list::spawn(settings).await.unwrap();
    let url = format!("http://{}", list.address);
    let client = HttpVmList::with_deadline(reqwest::Client::new(), &url, DEADLINE);
    let listing = client.list().await.unwrap();
    let kinds = listing
        .fleet
        .backends
        .iter()
        .map(|b| (&*b.vm, b.kind, b.is_leaving));
    let wanted = [
        ("e", BackendKind::Engine, true),
        ("s", BackendKind::Service, false),
    ];
    assert!(kinds.eq(wanted));
    assert_eq!((listing.fleet.revision, listing.entries.len()), (1, 1));
    let rejected: Vec<_> = listing.rejected.iter().map(|r| &*r.vm).collect();
    assert_eq!(rejected, ["odd", "odd", "odd", "lonely"]);
    for (name, fault, verdict, _) in fault_cases() {
        list.set_faults(fault);
        let e = client.list().await.unwrap_err();
        assert_eq!(e.verdict(), verdict, "{name}: {e}");
    }
}

#[tokio::test]
async fn a_weight_store_at_its_rate_limit_has_run_nothing() {
    // A download occupies the store for two seconds, so that the other fetch begins within it on a busy VM too.
    let settings = WeightsSettings {
        bytes: 2000,
        bytes_per_second: 1000,
        max_wait: Duration::ZERO,
        ..WeightsSettings::default()
    };
    let weights = weights::spawn(settings).await.unwrap();
    let url = format!("http://{}", weights.address);
    let deadline = Duration::from_secs(10);
    let client = HttpWeightStore::with_deadline(reqwest::Client::new(), &url, deadline);
    let (a, b) = tokio::join!(client.fetch("m", "1"), client.fetch("m", "1"));
    let results = [a, b];
    assert!(results.contains(&Ok(2000)));
    let limited = results
        .iter()
        .find_map(|result| result.as_ref().err())
        .unwrap();
    assert!(matches!(limited, PlatformError::Limited { .. }));
    assert_eq!(limited.verdict(), Verdict::NotRun);
}
