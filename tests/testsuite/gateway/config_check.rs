//! Check of a configuration before it is sent: what is wrong with it, and what it changes.

use jayhall::core::gateway::config_check::{Draft, Severity, check, compare};
use jayhall::platform::decode_draft;

use super::fixture::config;

fn draft(text: &str) -> Draft {
    decode_draft(text.as_bytes()).unwrap()
}

/// Returns the findings on the fixture's configuration after these replacements.
fn findings(replacements: &[(&str, &str)]) -> Vec<String> {
    let mut text = config(2);
    for (from, to) in replacements {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    check(&draft(&text), Some(&draft(&config(1))))
        .iter()
        .map(|finding| {
            let severity = finding.problem.severity();
            format!("{severity}: {}: {}", finding.place, finding.problem)
        })
        .collect()
}

/// Guards against findings that a sound configuration does not deserve, and against each mistake that stays unseen.
#[test]
fn each_mistake_of_a_configuration_is_found() {
    assert_eq!(findings(&[]), Vec::<String>::new());
    let second = r#""limits":{"#;
    let tenant = r#""apiKeys":["k1"]"#;
    let cases = [
        (
            r#""version":2"#,
            r#""version":1"#,
            "error: version: version 1 is in force; a new one must be higher",
        ),
        (
            r#""/get/""#,
            r#""/get""#,
            r#"error: route 1 (get): its path prefix "/get" must begin and end with a slash"#,
        ),
        (
            r#""/get/""#,
            r#""get/""#,
            r#"error: route 1 (get): its path prefix "get/" must begin and end with a slash"#,
        ),
        (
            r#""/once/""#,
            r#""/get/""#,
            "error: route 2 (once): it never matches: route 1 (get) has the same host and path prefix",
        ),
        (
            r#""hostname":"h.example""#,
            r#""hostname":"h.example:80""#,
            r#"error: route 1 (get): its host "h.example:80" must have no port"#,
        ),
        (
            r#""safe""#,
            r#""sane""#,
            r#"error: route 1 (get): its type "sane" is not known"#,
        ),
        (
            r#""service":"plain""#,
            r#""service":"plane""#,
            "error: route 1 (get): there is no service plane",
        ),
        (
            r#""service":"plain""#,
            r#""service":null"#,
            "error: route 1 (get): it names no service",
        ),
        (
            r#""service":"plain""#,
            r#""weightedBackends":[{"service":"llm","weight":0},{"service":"plain","weight":1}]"#,
            "warning: route 1 (get): service llm has the weight 0",
        ),
        (
            r#""maxAttempts":2"#,
            r#""maxAttempts":0"#,
            "error: route 1 (get): it allows no attempt",
        ),
        (
            r#""timeoutMs":1500"#,
            r#""timeoutMs":500"#,
            "warning: route 1 (get): its timeout is below its target latency",
        ),
        (
            r#""timeoutMs":1500"#,
            r#""timeoutMs":0"#,
            "warning: route 1 (get): it has no timeout; a default one applies",
        ),
        (
            r#""streamResume":false"#,
            r#""streamResume":true"#,
            "warning: route 1 (get): resuming and pauses have no effect, as its answers are no streams",
        ),
        (
            r#"{"name":"plain"}"#,
            r#"{"name":"plain"},{"name":"plain"}"#,
            "error: service plain: an earlier entry has the same name",
        ),
        (
            r#"{"name":"plain"}"#,
            r#"{"name":"plain"},{"name":"other"}"#,
            "warning: service other: no route leads to it",
        ),
        (
            r#"{"name":"plain"}"#,
            r#"{"name":"plain","scaling":{"min":3,"max":2}}"#,
            "error: service plain: its smallest number of back ends, 3, is above the largest, 2",
        ),
        (
            tenant,
            r#""apiKeys":["k1"]},{"name":"b","apiKeys":["k2","k1"]"#,
            "error: customer b: customer anna holds one of its keys",
        ),
        (
            tenant,
            r#""apiKeys":["k1"]},{"name":"anna","apiKeys":["k2"]"#,
            "error: customer anna: an earlier entry has the same name",
        ),
        (
            tenant,
            r#""apiKeys":[]"#,
            "warning: customer anna: it has no key",
        ),
        (
            tenant,
            r#""apiKeys":["k1"],"ratePerS":1,"burst":0.5"#,
            "error: customer anna: its burst is smaller than its smallest call, 1",
        ),
        (
            tenant,
            r#""apiKeys":["k1"],"ratePerS":9,"burst":5,"unit":"token_stream","plainTokens":20"#,
            "error: customer anna: its burst is smaller than its smallest call, 20",
        ),
        (
            tenant,
            r#""apiKeys":["k1"],"burst":5"#,
            "warning: customer anna: its burst has no effect without a rate",
        ),
        (
            r#""idleTimeoutMs":15000"#,
            r#""idleTimeoutMs":0"#,
            "error: limits: the idle timeout is 0",
        ),
        (
            r#""headerTimeoutMs":3000"#,
            r#""headerTimeoutMs":0"#,
            "error: limits: the header timeout is 0",
        ),
        (second, r#""limits":{"unknown":1,"#, ""),
    ];
    for (from, to, expected) in cases {
        let expected: Vec<String> = Some(expected.to_owned())
            .into_iter()
            .filter(|text| !text.is_empty())
            .collect();
        assert_eq!(findings(&[(from, to)]), expected, "{to}");
    }
    let both = findings(&[(tenant, r#""apiKeys":[]"#), (r#""safe""#, r#""sane""#)]);
    assert!(
        both[0].starts_with(&Severity::Error.to_string()),
        "{both:?}"
    );
}

#[test]
fn changes_against_the_configuration_in_force_are_named() {
    let in_force = config(1);
    assert_eq!(compare(&draft(&in_force), &draft(&in_force)), []);
    let next = in_force
        .replacen(r#""timeoutMs":1500"#, r#""timeoutMs":2500"#, 1)
        .replace("/once/", "/twice/")
        .replace(r#"{"name":"plain"}"#, r#"{"name":"plain"},{"name":"new"}"#)
        .replace(r#"["k1"]"#, r#"["k2"]"#)
        .replace(r#""maxBodyBytes":1000"#, r#""maxBodyBytes":2000"#);
    let changes = compare(&draft(&in_force), &draft(&next));
    let changes: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let expected = [
        "~ route h.example/get/: timeout 1.5s -> 2.5s;",
        "- route h.example/once/",
        "+ route h.example/twice/",
        "+ service new",
        "~ customer anna: keys ",
        "~ limits of callers: largest body 1000 -> 2000;",
    ];
    assert_eq!(changes.len(), expected.len(), "{changes:?}");
    for (change, expected) in changes.iter().zip(expected) {
        assert!(change.starts_with(expected), "{change}");
    }
    assert!(!changes.concat().contains("k2"), "a key is shown");
}

#[test]
fn a_text_that_is_no_configuration_is_refused_with_its_place() {
    for (text, place) in [
        ("{\"version\":1,\n\"routes\":[{}]}", "line 2"),
        ("{\"version\":1,", "line 1 column 13"),
    ] {
        let e = format!("{:#}", decode_draft(text.as_bytes()).unwrap_err());
        assert!(e.contains(place), "{e}");
    }
}
