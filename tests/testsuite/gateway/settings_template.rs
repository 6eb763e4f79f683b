//! The template of a gateway's settings file, filled in with the values of deployments.

use std::time::Duration;

use jayhall::util::settings::GatewaySettings;
use proptest::prelude::*;
use serde_json::{Map, Value, json};

const TEMPLATE: &str = include_str!("../../../deploy/gateway.ini");

/// Renders a template as the platform does: `{{a.b}}` inserts a value, `{{#a}}..{{/a}}` a section for each entry
/// of a table or once for another value, and `{{^a}}..{{/a}}` a section if there is no value.
fn render(template: &str, all: &Value, entry: Option<(&str, &Value, bool)>) -> String {
    let Some((before, rest)) = template.split_once("{{") else {
        return template.into();
    };
    let (name, rest) = rest.split_once("}}").unwrap();
    let mut text = before.to_owned();
    let kind = name.chars().next().unwrap();
    if kind != '#' && kind != '^' {
        match (name, entry) {
            ("@", Some((key, _, _))) => text.push_str(key),
            (".", Some((_, value, _))) => text.push_str(&value_text(value)),
            (",", Some((_, _, is_last))) => text.push_str(if is_last { "" } else { "," }),
            _ => text.push_str(&lookup(all, name).map_or(String::new(), value_text)),
        }
        return text + &render(rest, all, entry);
    }
    let path = &name[1..];
    let (inside, rest) = rest.split_once(&format!("{{{{/{path}}}}}")).unwrap();
    let value = lookup(all, path).filter(|value| **value != Value::Bool(false));
    match (kind, value) {
        ('#', Some(Value::Object(table))) => {
            for (at, (key, value)) in table.iter().enumerate() {
                let is_last = at + 1 == table.len();
                text.push_str(&render(inside, all, Some((key, value, is_last))));
            }
        }
        ('#', Some(_)) | ('^', None) => text.push_str(&render(inside, all, entry)),
        _ => {}
    }
    text + &render(rest, all, entry)
}

fn lookup<'a>(all: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(all, |value, key| match value {
        Value::Array(list) => list.get(key.parse::<usize>().ok()?),
        other => other.get(key),
    })
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(value_text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Template values of a process on a VM.
fn template_values(bounds: Map<String, Value>, limits: Map<String, Value>, cloud: bool) -> Value {
    let mut all = json!({
        "nodeName": "front-a-1", "region": "r", "zone": "a", "ip": "10.1.0.33",
        "portRange": [7680, 7695], "seeds": ["10.1.0.33:8605", "10.2.0.21:8605"],
        "bootstrap": true, "zones": {"a": "r", "b": "r", "c": "q"},
        "listen": {"front": "10.1.0.33:1", "ready": "10.1.0.33:2", "control": "10.1.0.33:3",
                   "directory": "10.1.0.33:4"},
        "platform": {"address": "10.200.1.7:8609"},
        "bounds": bounds, "limits": limits,
    });
    if cloud {
        all["cloud"] = json!({"address": "10.200.0.44:8609"});
    }
    all
}

const BOUNDS: [&str; 12] = [
    "drainMs",
    "graceS",
    "retryBudgetRatio",
    "budgetSlack",
    "budgetWindowS",
    "leaseMs",
    "usageWindowS",
    "usageLateS",
    "maxExposure",
    "exposureSlack",
    "rollbackMs",
    "ttl_max_s",
];

/// Generates values of all kinds: absent, zero, integer, fractional and large.
fn any_value() -> impl Strategy<Value = Option<Value>> {
    prop_oneof![
        Just(None),
        Just(Some(json!(0))),
        (0_u64..1_000_000).prop_map(|value| Some(json!(value))),
        (0.0..1000.0_f64).prop_map(|value| Some(json!(value))),
        (1_000_000_u64..100_000_000).prop_map(|value| Some(json!(value))),
    ]
}

fn table(names: &[&str], values: Vec<Option<Value>>) -> Map<String, Value> {
    let named = names.iter().zip(values);
    named
        .filter_map(|(name, value)| Some(((*name).to_owned(), value?)))
        .collect()
}

proptest! {
    #[test]
    fn settings_parse_with_any_values_of_a_deployment(
        bounds in prop::collection::vec(any_value(), BOUNDS.len()),
        limits in prop::collection::vec(any_value(), 2),
        cloud in any::<bool>(),
    ) {
        let slack = bounds[3].as_ref().and_then(Value::as_f64);
        let drain = bounds[0].as_ref().and_then(Value::as_f64);
        let limits = table(&["cpuShare", "linkMbps"], limits);
        let text = render(TEMPLATE, &template_values(table(&BOUNDS, bounds), limits, cloud), None);
        let settings = GatewaySettings::parse(&text);
        prop_assert!(settings.is_ok(), "{text}\n{:?}", settings.err());
        let settings = settings.unwrap();
        prop_assert_eq!(settings.bounds.retry_slack, slack.unwrap_or(50.0));
        let drain = drain.unwrap_or(2500.0).round();
        prop_assert_eq!(settings.bounds.drain, Duration::from_millis(drain as u64));
        prop_assert_eq!(settings.cloud.is_empty(), !cloud);
        prop_assert_eq!(settings.regions.len(), 3);
        prop_assert_eq!(settings.seeds.len(), 2);
    }
}

#[test]
fn an_invalid_value_is_rejected_with_its_key_and_a_remedy() {
    let bounds = table(
        &["budgetSlack", "drainMs"],
        vec![Some(json!("many")), Some(json!("x"))],
    );
    let text = render(TEMPLATE, &template_values(bounds, Map::new(), true), None);
    let problems = GatewaySettings::parse(&text).unwrap_err().to_string();
    for part in [
        "retry_slack",
        "\"many\"",
        "write digits",
        "drain",
        "write a time",
    ] {
        assert!(problems.contains(part), "{part}: {problems}");
    }
}

#[test]
fn limits_are_learned_only_where_the_settings_say_so() {
    let text = render(
        TEMPLATE,
        &template_values(Map::new(), Map::new(), true),
        None,
    );
    let learns = |text: &str| GatewaySettings::parse(text).unwrap().learns_limits;
    assert!(!learns(&text));
    let with_limits = text.replace("[gateway]\n", "[gateway]\nlearn_limits = yes\n");
    assert!(learns(&with_limits));
}
