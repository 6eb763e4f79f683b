//! A case as its file states it.

use std::time::Duration;

use eyre::{Result, bail, eyre};
use jayhall::util::ini::{self, IniSection};

/// Load, failures and what has to hold.
#[derive(Debug)]
pub(crate) struct Case {
    /// Requests that are asked at once.
    pub(crate) requests: usize,
    /// Tokens of each answer.
    pub(crate) tokens: u32,
    /// Node that all requests enter at; any where `None`.
    pub(crate) entry: Option<usize>,
    /// Whether all answers are streamed; every third one is not otherwise.
    pub(crate) all_streams: bool,
    /// Time between two requests.
    pub(crate) spacing: Duration,
    /// Options of the engine stand-ins.
    pub(crate) engine_args: Vec<String>,
    /// Failures, in the order of their times.
    pub(crate) events: Vec<Event>,
    /// Whether every answer must be whole, token for token.
    pub(crate) is_whole: bool,
    /// Nodes that must end with success.
    pub(crate) clean_exits: Vec<usize>,
    /// Whether every refusal that says `not_run` must hold against the engines' records.
    pub(crate) not_run_holds: bool,
    /// Engine that must start nothing later than this after the first event.
    pub(crate) quiet_engine: Option<(usize, Duration)>,
}

/// A failure at a time.
#[derive(Debug)]
pub(crate) struct Event {
    /// Time since the first request.
    pub(crate) at: Duration,
    /// What happens.
    pub(crate) action: Action,
    /// To whom.
    pub(crate) target: Target,
}

/// What happens to a target.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// The cloud announces that the VM is taken back, and takes it back then.
    Notice(Duration),
    Kill,
    Freeze,
    Thaw,
    Terminate,
    /// Faults of a stand-in, as JSON.
    Fault(serde_json::Value),
    /// Another node is started in the zone.
    StartNode,
}

/// Whom an event concerns.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// A node, by its number.
    Node(usize),
    /// The node that keeps the copies of a running request.
    Replica,
    /// An engine, by its number.
    Engine(usize),
    /// The engine that runs a request.
    RunningEngine,
    /// All VMs of a zone.
    Zone(String),
    /// The platform's store.
    Store,
}

impl Case {
    /// Reads a case.
    pub(crate) fn parse(text: &str) -> Result<Self> {
        let sections = ini::parse(text)?;
        let load = section(&sections, "load")?;
        let expect = section(&sections, "expect")?;
        let events = events(&sections)?;
        let list = |value: Option<&str>| -> Vec<String> {
            value
                .unwrap_or_default()
                .split_whitespace()
                .map(str::to_owned)
                .collect()
        };
        Ok(Self {
            requests: value(load, "requests").unwrap_or("8").parse()?,
            tokens: value(load, "tokens").unwrap_or("150").parse()?,
            entry: value(load, "entry").map(str::parse).transpose()?,
            all_streams: value(load, "streams") == Some("all"),
            spacing: millis(value(load, "spacing_ms").unwrap_or("10"))?,
            engine_args: list(value(load, "engine_args")),
            events,
            is_whole: value(expect, "whole") == Some("yes"),
            clean_exits: list(value(expect, "clean_exits"))
                .iter()
                .map(|n| n.parse().map_err(Into::into))
                .collect::<Result<_>>()?,
            not_run_holds: value(expect, "not_run_holds") == Some("yes"),
            quiet_engine: quiet_engine(expect)?,
        })
    }
}

/// Reads the failures of a case, in the order of their times.
pub(crate) fn events(sections: &[IniSection]) -> Result<Vec<Event>> {
    let mut events = sections
        .iter()
        .filter(|section| &*section.kind == "event")
        .map(Event::parse)
        .collect::<Result<Vec<_>>>()?;
    events.sort_by_key(|event| event.at);
    Ok(events)
}

fn quiet_engine(expect: &IniSection) -> Result<Option<(usize, Duration)>> {
    let Some(engine) = value(expect, "quiet_engine") else {
        return Ok(None);
    };
    let after =
        value(expect, "quiet_after_ms").ok_or_else(|| eyre!("quiet_after_ms is missing"))?;
    Ok(Some((engine.parse()?, millis(after)?)))
}

impl Event {
    fn parse(section: &IniSection) -> Result<Self> {
        let need = |key: &str| value(section, key).ok_or_else(|| eyre!("{key} is missing"));
        let action = match need("do")? {
            "notice" => Action::Notice(millis(need("within_ms")?)?),
            "kill" => Action::Kill,
            "freeze" => Action::Freeze,
            "thaw" => Action::Thaw,
            "terminate" => Action::Terminate,
            "fault" => Action::Fault(serde_json::from_str(need("set")?)?),
            "start-node" => Action::StartNode,
            other => bail!("there is no action {other}"),
        };
        let target = need("target")?;
        let (kind, rest) = target.split_once(' ').unwrap_or((target, ""));
        let target = match kind {
            "node" => Target::Node(rest.parse()?),
            "replica" => Target::Replica,
            "engine" => Target::Engine(rest.parse()?),
            "running-engine" => Target::RunningEngine,
            "zone" => Target::Zone(rest.to_owned()),
            "store" => Target::Store,
            other => bail!("there is no target {other}"),
        };
        Ok(Self {
            at: millis(need("at_ms")?)?,
            action,
            target,
        })
    }
}

pub(crate) fn section<'a>(sections: &'a [IniSection], kind: &str) -> Result<&'a IniSection> {
    sections
        .iter()
        .find(|section| &*section.kind == kind)
        .ok_or_else(|| eyre!("[{kind}] is missing"))
}

pub(crate) fn value<'a>(section: &'a IniSection, key: &str) -> Option<&'a str> {
    section.entry(key).map(|entry| &*entry.value)
}

pub(crate) fn millis(text: &str) -> Result<Duration> {
    Ok(Duration::from_millis(text.parse()?))
}
