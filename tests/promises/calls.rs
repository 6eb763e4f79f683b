//! Cases of calls that may not be repeated, judged by the effect counters of the service.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, bail};
use futures::future::join_all;
use jayhall::core::ledger::IdempotencyKey;
use jayhall::util::ini;
use jayhall::util::time::unix_now;
use jayhall_harness::{Caller, Fleet, FleetOptions, NodeHandle, small};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::case::{Event, events, millis, section, value};
use crate::inject::{CUSTOMER, inject};
use crate::slots;

/// The service that is called.
const SERVICE: &str = "kiln";
/// Longest wait of a caller for one answer.
const PATIENCE: Duration = Duration::from_secs(12);
/// Time in which a healed fleet answers every repeat.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two repeats.
const REPEAT_PAUSE: Duration = Duration::from_millis(250);

/// A case as its file states it.
struct CallCase {
    /// Keys that are asked.
    count: usize,
    /// Time between two keys.
    spacing: Duration,
    /// Nodes that are asked at once with one key.
    asks: usize,
    events: Vec<Event>,
    /// Keys that have to have run in the end.
    at_least_ran: usize,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Ran,
    NotRun,
    /// Nothing that is certain.
    InDoubt,
}

/// Runs a case and checks that no call ran twice and that what callers were told holds.
pub(crate) fn case_holds(path: &Path) -> datatest_stable::Result<()> {
    let case = CallCase::parse(&std::fs::read_to_string(path)?)?;
    let _slot = slots::acquire();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(run(&case))?;
    Ok(())
}

impl CallCase {
    fn parse(text: &str) -> Result<Self> {
        let sections = ini::parse(text)?;
        let calls = section(&sections, "calls")?;
        let expect = section(&sections, "expect")?;
        Ok(Self {
            count: value(calls, "count").unwrap_or("40").parse()?,
            spacing: millis(value(calls, "spacing_ms").unwrap_or("100"))?,
            asks: value(calls, "asks").unwrap_or("2").parse()?,
            events: events(&sections)?,
            at_least_ran: value(expect, "at_least_ran").unwrap_or("0").parse()?,
        })
    }
}

async fn run(case: &CallCase) -> Result<()> {
    let mut fleet = Fleet::spawn(small(), FleetOptions::default()).await?;
    let nodes: Vec<_> = fleet.nodes.iter().map(NodeHandle::callers).collect();
    let caller = fleet.caller(CUSTOMER);
    let begun = Instant::now();
    let asked = (0..case.count).map(|n| {
        let (caller, nodes) = (&caller, &nodes);
        async move {
            sleep_until(begun + case.spacing * n as u32).await;
            let key = IdempotencyKey::issue(unix_now(), &rand::random()).to_string();
            let asks = (0..case.asks).map(|k| ask(caller, nodes[(n + k) % nodes.len()], &key));
            let told = join_all(asks).await;
            (key, told)
        }
    });
    let (told, injected) = tokio::join!(join_all(asked), inject(&mut fleet, &case.events, begun));
    injected?;
    check(&fleet, &told, "at once").await?;
    let repeated = repeat_all(&fleet, &caller, told).await;
    let ran = check(&fleet, &repeated, "after repeats").await?;
    match ran >= case.at_least_ran {
        true => Ok(()),
        false => bail!(
            "{ran} of {} calls ran, not {}",
            case.count,
            case.at_least_ran
        ),
    }
}

async fn ask(caller: &Caller, node: std::net::SocketAddr, key: &str) -> Told {
    let body = json!({"slot": key});
    let answer = timeout(PATIENCE, caller.call_at(node, SERVICE, key, &body)).await;
    let Ok(Ok(answer)) = answer else {
        return Told::InDoubt;
    };
    if answer.status == 200 {
        return Told::Ran;
    }
    let problem: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    match problem["verdict"].as_str() {
        Some("not_run") => Told::NotRun,
        _ => Told::InDoubt,
    }
}

/// Asks again with the same keys, as callers do, until each is answered or the time is over.
async fn repeat_all(
    fleet: &Fleet,
    caller: &Caller,
    told: Vec<(String, Vec<Told>)>,
) -> Vec<(String, Vec<Told>)> {
    let until = Instant::now() + SETTLE_TIMEOUT;
    let live: Vec<_> = fleet.nodes.iter().map(NodeHandle::callers).collect();
    join_all(told.into_iter().enumerate().map(|(n, (key, mut told))| {
        let live = &live;
        async move {
            let mut at = n;
            while !told.contains(&Told::Ran) && Instant::now() < until {
                told.push(ask(caller, live[at % live.len()], &key).await);
                at += 1;
                sleep(REPEAT_PAUSE).await;
            }
            (key, told)
        }
    }))
    .await
}

/// Returns how many keys took effect.
async fn check(fleet: &Fleet, told: &[(String, Vec<Told>)], when: &str) -> Result<usize> {
    let effects = effects(fleet).await?;
    for (key, told) in told {
        let count = effects.get(key).copied().unwrap_or(0);
        if count > 1 {
            bail!("{when}: {key} took effect {count} times; told {told:?}");
        }
        if count == 0 && told.contains(&Told::Ran) {
            bail!("{when}: {key} took no effect; told {told:?}");
        }
        if count == 1 && told.iter().all(|told| *told == Told::NotRun) {
            bail!("{when}: {key} took effect and was only told as not run");
        }
    }
    Ok(effects.len())
}

/// Returns how often each key took effect, over all back ends.
async fn effects(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let mut all = BTreeMap::new();
    for (backend, process) in &fleet.backends {
        if backend.kind != "service" {
            continue;
        }
        let counts: BTreeMap<String, u64> =
            serde_json::from_value(fleet.get(process, "/effects").await?)?;
        for (key, count) in counts {
            *all.entry(key).or_default() += count;
        }
    }
    Ok(all)
}
