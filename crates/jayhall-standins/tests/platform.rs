//! The contracts of cloud, VM list, plain service and weight store, and the binary.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use jayhall_standins::CommonFaults;
use jayhall_standins::cloud::{self, CloudSettings};
use jayhall_standins::service::{self, ServiceSettings};
use jayhall_standins::vm_list::{self, VmListSettings};
use jayhall_standins::weights::{self, WeightsSettings};
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};

async fn call(method: Method, url: &str, body: Value) -> (StatusCode, Value) {
    let req = Client::new().request(method, url).json(&body);
    let res = req.send().await.expect("answer");
    (res.status(), res.json().await.expect("JSON"))
}

async fn get(url: &str) -> Value {
    call(Method::GET, url, Value::Null).await.1
}

#[tokio::test]
async fn a_cloud_starts_once_for_each_token_and_announces_reclaims() {
    let cloud = cloud::spawn(CloudSettings::default()).await.unwrap();
    let url = format!("http://{}", cloud.address);
    let start = async |zone: &str, market: &str, token: &str| {
        let body = json!({"zone": zone, "class": "gpu-small", "kind": "engine",
            "market": market, "token": token});
        call(Method::POST, &format!("{url}/v1/vms"), body).await
    };
    let first = start("addis-1", "reclaimable", "a").await;
    assert_eq!(start("addis-1", "reclaimable", "a").await, first);
    start("addis-1", "on_demand", "b").await;
    let refuse = json!({"refuse_starts": ["addis-2/reclaimable"]});
    call(Method::POST, &format!("{url}/faults"), refuse).await;
    let (status, body) = start("addis-2", "reclaimable", "c").await;
    assert_eq!(
        (status, &body["error"]["code"]),
        (StatusCode::CONFLICT, &json!("no_capacity"))
    );
    assert_eq!(start("addis-2", "on_demand", "d").await.0, StatusCode::OK);
    let wave = json!({"zone": "addis-1", "in_ms": 0});
    let (_, hit) = call(Method::POST, &format!("{url}/test/wave"), wave).await;
    assert_eq!(hit, json!([first.1["vm"]]));
    let vm = first.1["vm"].as_str().unwrap();
    let notices = get(&format!("{url}/v1/notices?vms=other,{vm}")).await;
    assert_eq!(notices[0]["vm"], vm);
    assert_eq!(get(&format!("{url}/v1/notices?vms=other")).await, json!([]));
    let running: Vec<bool> = cloud.started().iter().map(|vm| vm.is_running).collect();
    assert_eq!(running, [false, true, true]);
    assert_eq!(get(&format!("{url}/v1/prices")).await[0]["zone"], "addis-1");
}

#[tokio::test]
async fn a_vm_list_shows_changes_after_its_lag() {
    let settings = VmListSettings {
        lag: Duration::from_secs(600),
        ..VmListSettings::default()
    };
    let list = vm_list::spawn(settings).await.unwrap();
    let url = format!("http://{}", list.address);
    let vm = json!({"vm": "vm-1", "kind": "engine", "zone": "z", "region": "r", "class": "c",
        "market": "reclaimable", "state": "live", "address": "127.0.0.1:1", "serves": ["m"]});
    call(Method::POST, &format!("{url}/test/vms"), vm.clone()).await;
    let seen = get(&format!("{url}/v1/list")).await;
    assert_eq!(seen, json!({"revision": 1, "vms": []}));
    call(
        Method::PUT,
        &format!("{url}/test/lag"),
        json!({"lag_ms": 0}),
    )
    .await;
    let seen = get(&format!("{url}/v1/list")).await;
    assert_eq!(seen, json!({"revision": 2, "vms": [vm]}));
}

#[tokio::test]
async fn a_service_counts_each_effect() {
    for (deduplicates, effects) in [(false, 2), (true, 1)] {
        let settings = ServiceSettings {
            deduplicates,
            ..ServiceSettings::default()
        };
        let service = service::spawn(settings).await.unwrap();
        let url = format!("http://{}/call", service.address);
        let send = || {
            Client::new()
                .post(&url)
                .header("Idempotency-Key", "k")
                .send()
        };
        service.set_faults(CommonFaults {
            lose_answer_next: 1,
            ..CommonFaults::default()
        });
        assert!(send().await.is_err());
        assert_eq!(send().await.unwrap().status(), StatusCode::OK);
        assert_eq!(service.effects("k"), effects);
        let (status, _) = call(Method::POST, &url, json!({})).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    }
}

#[tokio::test]
async fn a_weight_store_makes_downloads_wait_or_come_back() {
    let settings = WeightsSettings {
        bytes: 100,
        bytes_per_second: 200,
        max_wait: Duration::from_millis(20),
        ..WeightsSettings::default()
    };
    let weights = weights::spawn(settings).await.unwrap();
    let url = format!("http://{}/v1/weights/m/1", weights.address);
    let get = || reqwest::get(&url);
    let (a, b, c, d) = tokio::join!(get(), get(), get(), get());
    let all = [a, b, c, d].map(|res| res.unwrap().status());
    let limited = all.iter().filter(|s| **s == StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(limited.count(), 3);
}

#[tokio::test]
async fn each_kind_runs_as_a_process() {
    for kind in ["cloud", "engine", "service", "store", "vm-list", "weights"] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jayhall-standin"))
            .args([kind, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        stdout.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening on ").unwrap();
        let faults = get(&format!("http://{address}/faults")).await;
        child.kill().unwrap();
        child.wait().unwrap();
        assert_eq!(faults["freeze"], false, "{kind}");
    }
}
