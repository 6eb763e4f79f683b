//! Checks what has to hold after a case.

use std::collections::HashSet;
use std::time::Duration;

use eyre::{Result, bail, ensure};
use jayhall_harness::{Answer, Ask, Fleet};
use jayhall_standins::engine::{Message, expected_answer};
use tokio::time::{Instant, sleep};

use crate::case::Case;

/// Longest wait for a node that was asked to stop.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Checks the answers of a case, the nodes' ends and the engines' records.
pub(crate) async fn check(fleet: &mut Fleet, case: &Case, asked: &[(Ask, Answer)]) -> Result<()> {
    if case.is_whole {
        for (ask, answer) in asked {
            check_whole(ask, answer)?;
        }
    }
    if case.not_run_holds {
        check_not_run(fleet, asked).await?;
    }
    for n in &case.clean_exits {
        check_clean_exit(fleet, *n).await?;
    }
    Ok(())
}

fn check_whole(ask: &Ask, answer: &Answer) -> Result<()> {
    if let Some(problem) = &answer.problem {
        bail!("request {} was refused: {problem}", answer.id);
    }
    let messages = [Message {
        role: "user".into(),
        content: ask.text.as_str().into(),
    }];
    let expected = expected_answer(&ask.model, &messages, ask.max_tokens).concat();
    ensure!(
        answer.is_whole && answer.text == expected,
        "request {} got {} words instead of {}: {:?}",
        answer.id,
        answer.text.split_whitespace().count(),
        expected.split_whitespace().count(),
        answer.text
    );
    Ok(())
}

/// Checks that no engine has a record of a request whose refusal says that it did not run.
async fn check_not_run(fleet: &Fleet, asked: &[(Ask, Answer)]) -> Result<()> {
    let started = started_requests(fleet).await?;
    let mut refused = 0;
    for (_, answer) in asked {
        let Some(problem) = &answer.problem else {
            continue;
        };
        refused += 1;
        let says_not_run = problem["verdict"] == "not_run";
        ensure!(
            !(says_not_run && started.contains(&answer.id)),
            "request {} ran on an engine, but its refusal says {problem}",
            answer.id
        );
    }
    ensure!(refused > 0, "the case refuses nothing, so it shows nothing");
    Ok(())
}

async fn started_requests(fleet: &Fleet) -> Result<HashSet<String>> {
    let mut started = HashSet::new();
    for (backend, process) in &fleet.backends {
        if backend.kind != "engine" {
            continue;
        }
        let records = fleet.get(process, "/v1/records").await?;
        for record in records.as_array().into_iter().flatten() {
            if let Some(id) = record["request_id"].as_str() {
                started.insert(id.to_owned());
            }
        }
    }
    Ok(started)
}

async fn check_clean_exit(fleet: &mut Fleet, n: usize) -> Result<()> {
    let until = Instant::now() + EXIT_TIMEOUT;
    let node = &mut fleet.nodes[n];
    while Instant::now() < until {
        if let Some(is_success) = node.process.ended() {
            ensure!(is_success, "{} did not leave cleanly", node.vm);
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    bail!("{} did not stop", node.vm)
}
