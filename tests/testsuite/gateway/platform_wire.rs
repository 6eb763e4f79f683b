//! Decoding of the platform's headers, configuration and registry entries.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use jayhall::core::gateway::cache::Part;
use jayhall::core::gateway::routes::RouteKind;
use jayhall::ops::gateway::dialect::{Dialect, ForwardMetadata, RunStatement};
use jayhall::platform::PlatformDialect;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let pair = |(name, value): &(&'static str, &str)| {
        (
            HeaderName::from_static(name),
            HeaderValue::from_str(value).unwrap(),
        )
    };
    pairs.iter().map(pair).collect()
}

#[test]
fn the_headers_of_a_call_are_parsed() {
    let head = PlatformDialect.call_head(&headers(&[
        ("x-jayhall-attempt-id", "9c41"),
        ("x-jayhall-deadline-ms", "12000"),
        ("authorization", "Bearer k1"),
        ("x-jayhall-token-counts", "1460,80"),
        ("x-jayhall-prompt-prefix", "5c1e07a2:800, e4402b7d:250"),
        ("last-event-id", "12"),
    ]));
    assert_eq!(&*head.attempt, "9c41");
    assert_eq!(head.deadline, Some(Duration::from_secs(12)));
    assert_eq!(head.key.as_deref(), Some("k1"));
    assert_eq!(head.tokens, Some((1460, 80)));
    let parts = [
        Part {
            id: 0x5c1e_07a2,
            tokens: 800,
        },
        Part {
            id: 0xe440_2b7d,
            tokens: 250,
        },
    ];
    assert_eq!(head.parts.as_slice(), parts);
    assert_eq!(head.last_event, Some(12));
}

#[test]
fn invalid_headers_count_as_missing() {
    let head = PlatformDialect.call_head(&headers(&[
        ("x-jayhall-deadline-ms", "-5"),
        ("authorization", "Basic x"),
        ("x-jayhall-token-counts", "many"),
        ("x-jayhall-prompt-prefix", "zz:1"),
    ]));
    assert_eq!((head.deadline, head.key, head.tokens), (None, None, None));
    assert!(head.parts.is_empty());
}

#[test]
fn keys_hop_by_hop_and_reserved_headers_are_not_forwarded() {
    let sent = headers(&[
        ("authorization", "Bearer k1"),
        ("connection", "keep-alive, x-private"),
        ("keep-alive", "timeout=5"),
        ("x-private", "1"),
        ("transfer-encoding", "chunked"),
        ("x-jayhall-tenant", "somebody-else"),
        ("x-jayhall-expect-instance", "i-other"),
        ("x-jayhall-hold", "h"),
        ("x-jayhall-pin-ms", "100"),
        ("x-jayhall-kv-backup", "10.0.0.1:80"),
        ("kv-from", "10.0.0.1:80/x"),
        ("kv-fetch", "10.0.0.1:80"),
        ("x-jayhall-request-priority", "0"),
        ("x-jayhall-attempt-id", "9c41"),
        ("x-jayhall-model", "m"),
        ("x-jayhall-deadline-ms", "99999"),
    ]);
    let send = ForwardMetadata {
        backend: "i-7f",
        deadline: Duration::from_millis(1234),
        customer: Some("anna"),
        rank: 40,
        last_event: None,
    };
    let head = PlatformDialect.forward_head(&sent, &send);
    let mut names: Vec<_> = head
        .iter()
        .map(|(k, v)| (k.as_str(), v.to_str().unwrap()))
        .collect();
    names.sort_unstable();
    assert_eq!(
        names,
        [
            ("x-jayhall-attempt-id", "9c41"),
            ("x-jayhall-deadline-ms", "1234"),
            ("x-jayhall-expect-instance", "i-7f"),
            ("x-jayhall-model", "m"),
            ("x-jayhall-request-priority", "9"),
            ("x-jayhall-tenant", "anna"),
        ]
    );
}

#[test]
fn only_explicit_answers_count_as_not_run() {
    let head = |status, pairs: &[_]| PlatformDialect.response_head(status, &headers(pairs));
    let statement = |status, pairs: &[_]| head(status, pairs).run_statement;
    for status in [200, 400, 408, 421, 429, 500, 503] {
        let stated = statement(status, &[("x-jayhall-not-executed", "1")]);
        assert_eq!(stated, RunStatement::NotRun, "{status}");
    }
    // Callers repeat calls after these, but only the header says that a call has not run.
    for status in [408, 421, 429, 503] {
        let implied = statement(status, &[]);
        assert_eq!(implied, RunStatement::ImpliedByStatus, "{status}");
    }
    for status in [200, 302, 400, 404, 409, 425, 500, 502, 504] {
        assert_eq!(statement(status, &[]), RunStatement::None, "{status}");
    }
    let kept = head(200, &[("keep-alive", "timeout=7, max=100")]);
    assert_eq!(kept.idle_timeout, Some(Duration::from_secs(7)));
}

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r1","hostname":"A.example","pathPrefix":"/p/","routeType":"streaming","timeoutMs":6000,"targetLatencyMs":2000,"priority":2,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"streamResume":true,"gapAimMs":300},
 {"name":"r2","hostname":"a.example","pathPrefix":"/p/q/","routeType":"unsafe","timeoutMs":1500,"weightedBackends":[{"service":"old","weight":90},{"service":"new","weight":10}]}],
 "services":[{"name":"llm","healthPath":"/healthz","maxConnections":360,"engine":{"slots":64,"kvCapacity":631747},"scaling":{"min":1,"max":12,"bootS":4.0,"spotPrice":0.15,"zonePrices":{"z":0.8}}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"anna","apiKeys":["k1","k2"],"priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":1000,"burst":500},{"name":"ben","apiKeys":[]}],
 "something":"new"}"#;

#[test]
fn a_configuration_is_decoded() {
    let table = PlatformDialect.decode_table(CONFIG.as_bytes()).unwrap();
    assert_eq!(table.version, 7);
    let route = table.find("a.example", "/p/x").unwrap();
    assert_eq!(route.kind, RouteKind::Stream { resumable: true });
    assert_eq!((route.timeout, route.rank), (Duration::from_secs(6), 2));
    let split = table.find("a.example", "/p/q/").unwrap();
    assert_eq!(
        (split.kind, split.targets.len()),
        (RouteKind::AtMostOnce, 2)
    );
    let customer = table.customer("k2").unwrap();
    assert_eq!(&*customer.name, "anna");
    let quota = customer.quota.unwrap();
    assert!(quota.counts_tokens);
    assert_eq!((quota.per_second, quota.burst), (1000.0, 500.0));
    assert!(table.customers[1].quota.is_none());
    assert!(table.customer("k3").is_none());
    let service = &table.services["llm"];
    assert_eq!(service.engine.unwrap().kv_tokens, 631_747);
    assert_eq!(service.scaling.as_ref().unwrap().spot_price, Some(0.15));
}

#[test]
fn an_invalid_configuration_is_rejected_as_a_whole() {
    let unknown_kind = CONFIG.replace("\"unsafe\"", "\"maybe\"");
    let no_service = CONFIG.replace("\"service\":\"llm\",\"maxAttempts\"", "\"maxAttempts\"");
    for text in [&unknown_kind, &no_service, "", "{}", "[1]", "\u{0}"] {
        assert!(
            PlatformDialect.decode_table(text.as_bytes()).is_err(),
            "{text}"
        );
    }
}

const ENTRY: &str = r#"{"service":"llm","address":"10.1.0.9:80","zone":"z","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"seq":4,"born":1700000000000,"spot":true}"#;

#[test]
fn an_entry_of_a_back_end_is_decoded() {
    let backend = PlatformDialect
        .decode_backend("i-1", ENTRY.as_bytes())
        .unwrap();
    assert_eq!((&*backend.id, backend.slots), ("i-1", 64));
    assert!(backend.is_spot && !backend.is_leaving);
    assert_eq!(backend.started, 1_700_000_000_000);
    let leaving = ENTRY.replace("ready", "draining");
    let leaving = PlatformDialect.decode_backend("i-1", leaving.as_bytes());
    assert!(leaving.unwrap().is_leaving);
}

#[test]
fn an_invalid_registry_entry_is_rejected() {
    let invalid = [
        ENTRY.replace("ready", "resting"),
        ENTRY.replace("\"10.1.0.9:80\"", "\"nowhere\""),
        ENTRY.replace("\"10.1.0.9:80\"", "17"),
        ENTRY.replace("\"slots\":64,", ""),
        ENTRY.replace("\"born\":1700000000000", "\"born\":1.5"),
        "\u{1}\u{2}".into(),
    ];
    for text in &invalid {
        assert!(
            PlatformDialect
                .decode_backend("i-1", text.as_bytes())
                .is_err(),
            "{text}"
        );
    }
}

#[test]
fn a_directory_query_is_parsed_and_answered() {
    let (region, zone) = PlatformDialect.decode_directory_query("name=a.example&region=r&zone=z");
    assert_eq!((&*region, &*zone), ("r", "z"));
    let addresses = ["10.0.0.1:80".parse().unwrap()];
    let answer = PlatformDialect.encode_directory_response(&addresses, Duration::from_secs(2));
    assert_eq!(answer, br#"{"addresses":["10.0.0.1:80"],"ttlS":2.0}"#);
}

#[test]
fn an_answer_announces_that_its_back_end_is_leaving_or_paused() {
    let head = |status, pairs: &[_]| PlatformDialect.response_head(status, &headers(pairs));
    assert!(head(200, &[("server-leaving", "1")]).is_leaving);
    assert!(!head(200, &[]).is_leaving);
    let pause = |status, value| head(status, &[("retry-after", value)]).pause_calls_for;
    assert_eq!(pause(503, "2"), Some(Duration::from_secs(2)));
    assert_eq!(pause(503, " 0.25 "), Some(Duration::from_millis(250)));
    // `Retry-After` counts only with status 503.
    assert_eq!(pause(429, "2"), None);
    for nonsense in [
        "",
        "-1",
        "NaN",
        "inf",
        "soon",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        assert_eq!(pause(503, nonsense), None, "{nonsense:?}");
    }
    assert!(pause(503, "1e300").unwrap() <= Duration::from_secs(3600));
}
