//! What a configuration changes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::{CustomerDraft, Draft, RouteDraft};
use crate::core::gateway::routes::{CallerLimits, Service};

/// Kind of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// A route, named by its host and path prefix.
    Route,
    /// A service.
    Service,
    /// A customer.
    Customer,
    /// The limits on callers.
    Limits,
}

/// A field whose value differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Name of the field.
    pub field: &'static str,
    /// Value in force.
    pub before: Box<str>,
    /// New value.
    pub after: Box<str>,
}

/// How an entry differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// These fields differ.
    Changed(Vec<FieldChange>),
}

/// An entry that differs from the one in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Kind of the entry.
    pub section: Section,
    /// Name of the entry.
    pub name: Box<str>,
    /// How it differs.
    pub kind: ChangeKind,
}

/// Values of an entry's fields.
type Fields = Vec<(&'static str, Box<str>)>;
/// Entries of a section by name.
type Entries = BTreeMap<Box<str>, Fields>;

/// Returns what a configuration changes against the one in force.
pub fn compare(in_force: &Draft, draft: &Draft) -> Vec<Change> {
    let mut changes = compare_section(Section::Route, routes(in_force), &routes(draft));
    let services = compare_section(Section::Service, services(in_force), &services(draft));
    changes.extend(services);
    let customers = compare_section(Section::Customer, customers(in_force), &customers(draft));
    changes.extend(customers);
    let limits = compare_section(Section::Limits, limits(in_force), &limits(draft));
    changes.extend(limits);
    changes
}

fn compare_section(section: Section, before: Entries, after: &Entries) -> Vec<Change> {
    let names = before.keys().chain(after.keys());
    let names: BTreeSet<&str> = names.map(|name| &**name).collect();
    let change = |name: &str| {
        let kind = match (before.get(name), after.get(name)) {
            (None, _) => ChangeKind::Added,
            (_, None) => ChangeKind::Removed,
            (Some(before), Some(after)) if before == after => return None,
            (Some(before), Some(after)) => ChangeKind::Changed(changed_fields(before, after)),
        };
        Some(Change {
            section,
            name: name.into(),
            kind,
        })
    };
    names.into_iter().filter_map(change).collect()
}

fn changed_fields(before: &Fields, after: &Fields) -> Vec<FieldChange> {
    let pairs = before.iter().zip(after);
    let changed = pairs.filter(|(before, after)| before != after);
    changed
        .map(|((field, before), (_, after))| FieldChange {
            field,
            before: before.clone(),
            after: after.clone(),
        })
        .collect()
}

fn routes(draft: &Draft) -> Entries {
    let routes = draft.routes.iter();
    routes
        .map(|route| {
            let host = route.host.to_ascii_lowercase();
            let name = format!("{host}{}", route.path_prefix).into();
            (name, route_fields(route))
        })
        .collect()
}

fn route_fields(route: &RouteDraft) -> Fields {
    let targets: Vec<String> = route
        .targets
        .iter()
        .map(|target| format!("{}:{}", target.service, target.weight))
        .collect();
    vec![
        ("name", route.name.clone()),
        ("type", route.kind_name.clone()),
        ("timeout", debug(route.timeout)),
        ("target latency", debug(route.target_latency)),
        ("target pause", debug(route.target_pause)),
        ("priority", debug(route.rank)),
        ("services", targets.join(" ").into()),
        ("attempts", debug(route.max_backends)),
        ("public", debug(route.is_public)),
        ("resumable", debug(route.is_resumable)),
    ]
}

fn services(draft: &Draft) -> Entries {
    let services = draft.services.iter();
    services
        .map(|service| (service.name.clone(), service_fields(service)))
        .collect()
}

fn service_fields(service: &Service) -> Fields {
    let scaling = service.scaling.as_ref();
    let prices: Option<BTreeMap<_, _>> =
        scaling.map(|scaling| scaling.zone_prices.iter().collect());
    vec![
        ("connections", debug(service.max_connections)),
        (
            "engine tokens",
            debug(service.engine.map(|engine| engine.kv_tokens)),
        ),
        (
            "scaling",
            debug(scaling.map(|rules| (rules.min, rules.max))),
        ),
        ("boot time", debug(scaling.map(|rules| rules.boot))),
        (
            "spot price",
            debug(scaling.and_then(|rules| rules.spot_price)),
        ),
        ("zone prices", debug(prices)),
    ]
}

fn customers(draft: &Draft) -> Entries {
    let customers = draft.customers.iter();
    customers
        .map(|customer| (customer.name.clone(), customer_fields(customer)))
        .collect()
}

fn customer_fields(customer: &CustomerDraft) -> Fields {
    let keys: BTreeSet<&str> = customer.keys.iter().map(|key| &**key).collect();
    let keys: Vec<&str> = keys.into_iter().collect();
    vec![
        ("priority", debug(customer.rank)),
        ("keys", keys.join(" ").into()),
        ("rate", debug(customer.per_second)),
        ("burst", debug(customer.burst)),
        ("counts tokens", debug(customer.counts_tokens)),
        ("plain call", debug(customer.plain_call)),
    ]
}

fn limits(draft: &Draft) -> Entries {
    let CallerLimits {
        head_bytes,
        body_bytes,
        head_timeout,
        idle_timeout,
    } = draft.limits;
    let fields = vec![
        ("largest head", debug(head_bytes)),
        ("largest body", debug(body_bytes)),
        ("header timeout", debug(head_timeout)),
        ("idle timeout", debug(idle_timeout)),
    ];
    Entries::from([("callers".into(), fields)])
}

fn debug(value: impl fmt::Debug) -> Box<str> {
    format!("{value:?}").into()
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Route => "route",
            Self::Service => "service",
            Self::Customer => "customer",
            Self::Limits => "limits of",
        })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { section, name, .. } = self;
        match &self.kind {
            ChangeKind::Added => write!(f, "+ {section} {name}"),
            ChangeKind::Removed => write!(f, "- {section} {name}"),
            ChangeKind::Changed(fields) => {
                write!(f, "~ {section} {name}:")?;
                for FieldChange {
                    field,
                    before,
                    after,
                } in fields
                {
                    write!(f, " {field} {before} -> {after};")?;
                }
                Ok(())
            }
        }
    }
}
