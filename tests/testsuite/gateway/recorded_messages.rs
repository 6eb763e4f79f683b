//! Messages of the landing before this one (27ff43c), as recorded bytes. Builds of two landings serve side by side while
//! nodes are replaced, so each has to read what the other sends and stores.

use std::net::SocketAddr;

use hyper::StatusCode;
use jayhall::core::gateway::members::{Capacity, Member};
use jayhall::ops::gateway::load_wire::{
    CallLimitWire, CountWire, CrashWire, LoadSumWire, LoadWire, RateWire, SurvivorWire,
    SuspectAnswerWire, TotalWire,
};
use jayhall::ops::gateway::mesh_wire::{DatagramWire, ReportWire, StreamOriginWire, ZoneSumWire};
use jayhall::ops::gateway::node_wire;
use jayhall::ops::gateway::snapshot_wire::{DeletionWire, ItemWire, SnapshotWire};
use prost::Message;

use super::fixture::{Behaviour, fixture_with_node, header_value};

const DATAGRAM: &str = "0aa8010a026e31100118022001280330043a027a31428b010a0f0a04616e6e6111000000000000f83f120a08031204616e6e\
     6118041a0a0a036c6c6d150000204022100d0500000010061807220208092a010a280132040b0000003a1c0a080c00000000\
     000000150d000000180e200f291000000000000000420d091100000000000000101218014a100d1300000011000000000080\
     3440181552070d160000001017480550065807600112c4010a027a3212026e3218082009280a300b3a080c00000000000000\
     42080d000000000000004a8b010a0f0a04616e6e6111000000000000f83f120a08031204616e6e6118041a0a0a036c6c6d15\
     0000204022100d0500000010061807220208092a010a280132040b0000003a1c0a080c00000000000000150d000000180e20\
     0f291000000000000000420d091100000000000000101218014a100d13000000110000000000803440181552070d16000000\
     1017500e580f60106811720812000000000000001a1209130000000000000011140000000000000022120915000000000000\
     00111600000000000000";
const SNAPSHOT: &str = "0801120e0a016b12017618022003280130041a070a01641005180620012807320808000000000000003809420170480a500b";
const NODE: &str = r#"{"name":"n1","region":"r","zone":"z1","callers":"10.0.0.1:80","peers":"10.0.0.1:81","control":"10.0.0.1:82","incarnation":7,"ready":true,"cpu_millis":250,"link_mbps":1000}"#;

fn load() -> LoadSumWire {
    LoadSumWire {
        totals: vec![TotalWire {
            customer: "anna".into(),
            units: 1.5,
        }],
        usage: vec![CountWire {
            window: 3,
            customer: "anna".into(),
            calls: 4,
        }],
        work: vec![RateWire {
            name: "llm".into(),
            per_second: 2.5,
        }],
        loads: vec![LoadWire {
            backend: 5,
            calls: 6,
            kv_tokens: 7,
            waiting: vec![8, 9],
            unread: vec![10],
        }],
        has_loads: true,
        leaving: vec![11],
        crashes: vec![CrashWire {
            parts: vec![12],
            process: 13,
            sent_ms: 14,
            ended_ms: 15,
            request: Some(16),
        }],
        answers: vec![SuspectAnswerWire {
            id: 17,
            age_ms: 18,
            is_request: true,
        }],
        call_limits: vec![CallLimitWire {
            process: 19,
            per_second: Some(20.5),
            age_ms: 21,
        }],
        rollouts: Vec::new(),
        survivors: vec![SurvivorWire {
            process: 22,
            age_ms: 23,
        }],
        samples: None,
    }
}

/// A datagram with a value in each field that the landing before knows.
fn datagram() -> DatagramWire {
    let origin = |stream, software| StreamOriginWire {
        stream,
        software,
        age_ms: 0,
    };
    DatagramWire {
        report: Some(ReportWire {
            node: "n1".into(),
            incarnation: 1,
            wall_ms: 2,
            ready: true,
            revision: 3,
            config_version: 4,
            zone: "z1".into(),
            load: Some(load()),
            store_age_ms: Some(5),
            era: 6,
            era_age_ms: Some(7),
            cut_off: true,
        }),
        sums: vec![ZoneSumWire {
            zone: "z2".into(),
            node: "n2".into(),
            incarnation: 8,
            number: 9,
            wall_ms: 10,
            revision: 11,
            ready: vec![12],
            not_ready: vec![13],
            load: Some(load()),
            store_age_ms: Some(14),
            era: 15,
            era_age_ms: Some(16),
            config_version: 17,
            cut_off: vec![18],
        }],
        origins: vec![origin(19, 20)],
        archived_origins: vec![origin(21, 22)],
        ..DatagramWire::default()
    }
}

/// A snapshot with a value in each field.
fn snapshot() -> SnapshotWire {
    SnapshotWire {
        revision: 1,
        items: vec![ItemWire {
            key: "k".into(),
            value: "v".into(),
            revision: 2,
            created: 3,
            is_packed: true,
            era: 4,
        }],
        deletions: vec![DeletionWire {
            key: "d".into(),
            revision: 5,
            era: 6,
        }],
        is_whole: true,
        contact_age_ms: Some(7),
        kept: vec![8],
        waited_ms: 9,
        packed: "p".into(),
        era: 10,
        era_age_ms: Some(11),
    }
}

/// Guards against a change of the datagrams between nodes that the landing before cannot read.
#[test]
fn datagrams_are_read_and_written_as_by_the_landing_before() {
    let recorded = hex::decode(DATAGRAM).unwrap();
    assert_eq!(DatagramWire::decode(&*recorded).unwrap(), datagram());
    assert_eq!(hex::encode(datagram().encode_to_vec()), DATAGRAM);
}

/// Guards against the same change of snapshots.
#[test]
fn snapshots_are_read_and_written_as_by_the_landing_before() {
    let recorded = hex::decode(SNAPSHOT).unwrap();
    assert_eq!(SnapshotWire::decode(&*recorded).unwrap(), snapshot());
    assert_eq!(hex::encode(snapshot().encode_to_vec()), SNAPSHOT);
}

/// Guards against the same change of a node's entry in the store.
#[test]
fn entries_of_nodes_are_read_and_written_as_by_the_landing_before() {
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    let member = Member {
        name: "n1".into(),
        region: "r".into(),
        zone: "z1".into(),
        callers: address(80),
        peers: address(81),
        control: address(82),
        incarnation: 7,
        is_ready: true,
        capacity: Capacity {
            cpu_millis: 250,
            link_mbps: 1000,
        },
    };
    assert_eq!(node_wire::decode(NODE.as_bytes()).unwrap(), member);
    assert_eq!(node_wire::encode(member).unwrap(), NODE.as_bytes());
}

/// Guards against the same change of what nodes ask each other by HTTP: forwarded calls, origins of streams, snapshots.
#[tokio::test]
async fn requests_of_the_landing_before_are_answered() {
    let (fixture, node, _backends) =
        fixture_with_node("plain", &[Behaviour::Answer(200, "done")]).await;
    let control = node.settings.listen.control;
    let get = async |path: &str| {
        let res = fixture.client.get(format!("http://{control}{path}")).send();
        res.await.unwrap()
    };
    let res = get("/snapshot?after=0&era=0&config=0&wait_ms=0&may_pack=1").await;
    assert_eq!(res.status(), StatusCode::OK);
    assert!(SnapshotWire::decode(res.bytes().await.unwrap()).is_ok());
    let res = get("/stream-origin?stream=1f").await;
    assert_eq!(res.status(), StatusCode::NOT_FOUND);
    let forwarded = async |path: &str| {
        let call = fixture.client.post(format!("http://{control}{path}"));
        let call = call
            .header("host", "h.example")
            .header("authorization", "Bearer k1")
            .header("x-jayhall-attempt-id", "f1")
            .header("x-jayhall-deadline-ms", "1400")
            .header("jayhall-max-sends", "2");
        call.send().await.unwrap()
    };
    let res = forwarded("/get/x").await;
    assert_eq!(res.status(), StatusCode::OK);
    let res = forwarded("/stream/x").await;
    assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
    let verdict = header_value(&res, "jayhall-verdict");
    assert_eq!(verdict.as_deref(), Some("not_run"));
}
