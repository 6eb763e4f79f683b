//! Runs one case.

use std::path::Path;
use std::time::Duration;

use eyre::{Result, eyre};
use futures::future::join_all;
use jayhall_harness::{Answer, Ask, Caller, Fleet, FleetOptions, small};
use tokio::time::{Instant, sleep, sleep_until};

use crate::case::Case;
use crate::expect;
use crate::inject::{CUSTOMER, engine_vm, inject};
use crate::slots;

/// Time between two looks at what an engine starts.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a case and checks that its promise holds.
pub(crate) fn case_holds(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let case = Case::parse(&text)?;
    let _slot = slots::acquire();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(run(&case))?;
    Ok(())
}

async fn run(case: &Case) -> Result<()> {
    let mut layout = small();
    layout.engine_args.clone_from(&case.engine_args);
    let mut fleet = Fleet::spawn(layout, FleetOptions::default()).await?;
    let asks = asks(case);
    let callers = callers(&fleet, case);
    let begun = Instant::now();
    let asked = asks
        .iter()
        .zip(&callers)
        .zip(0..)
        .map(|((ask, caller), n)| async move {
            sleep_until(begun + case.spacing * n).await;
            caller.ask(ask).await
        });
    let engine_address = match case.quiet_engine {
        Some((engine, _)) => Some(engine_url(&fleet, engine)?),
        None => None,
    };
    let quiet_caller = fleet.caller(CUSTOMER);
    let quiet = async {
        match (case.quiet_engine, &engine_address) {
            (Some((_, after)), Some(url)) => {
                let from = begun + case.events[0].at + after;
                check_quiet(&quiet_caller, url, from).await
            }
            _ => Ok(()),
        }
    };
    let (answers, injected, quiet) = tokio::join!(
        join_all(asked),
        inject(&mut fleet, &case.events, begun),
        quiet
    );
    injected?;
    quiet?;
    let answers = answers.into_iter().collect::<Result<Vec<Answer>>>()?;
    let asked: Vec<_> = asks.into_iter().zip(answers).collect();
    expect::check(&mut fleet, case, &asked).await
}

fn asks(case: &Case) -> Vec<Ask> {
    (0..case.requests)
        .map(|n| Ask {
            model: "bucket-assistant".into(),
            text: format!(
                "Contract {n}: which clauses bind the turner? len={}",
                case.tokens
            ),
            rank: "quick".into(),
            max_tokens: case.tokens,
            is_stream: case.all_streams || n % 3 != 2,
        })
        .collect()
}

fn callers(fleet: &Fleet, case: &Case) -> Vec<Caller> {
    (0..case.requests)
        .map(|n| {
            let caller = fleet.caller(CUSTOMER);
            match case.entry {
                // A caller asks one node, and any of them to resume.
                Some(entry) => caller.starting_at(fleet.nodes[entry].callers()),
                None => caller.starting_at(fleet.nodes[n % fleet.nodes.len()].callers()),
            }
        })
        .collect()
}

/// Checks that an engine starts nothing from a moment on, while requests keep coming.
async fn check_quiet(caller: &Caller, url: &str, from: Instant) -> Result<()> {
    sleep_until(from).await;
    let before = starts(url).await?;
    for n in 0..12 {
        let ask = Ask {
            model: "bucket-assistant".into(),
            text: format!("Question {n} after the notice. len=5"),
            rank: "quick".into(),
            max_tokens: 5,
            is_stream: false,
        };
        let answer = caller.ask(&ask).await?;
        if let Some(problem) = answer.problem {
            return Err(eyre!("a request after the notice was refused: {problem}"));
        }
        sleep(LOOK_INTERVAL).await;
    }
    let after = starts(url).await?;
    if after != before {
        return Err(eyre!(
            "the engine at {url} started {} attempts after its notice",
            after - before
        ));
    }
    Ok(())
}

fn engine_url(fleet: &Fleet, engine: usize) -> Result<String> {
    let vm = engine_vm(fleet, engine)?;
    Ok(format!("http://{}", fleet.backend(&vm)?.address("")))
}

/// Returns how many attempts an engine has started.
async fn starts(url: &str) -> Result<usize> {
    let res = reqwest::get(format!("{url}/v1/records")).await?;
    let records: Vec<serde_json::Value> = res.json().await?;
    Ok(records.len())
}
