//! Checks that the demo runs against the fleet.

use std::time::Duration;

use eyre::{Result, bail, ensure, eyre};
use futures::future::join_all;
use jayhall_harness::{Answer, Ask, Caller, Fleet};
use jayhall_standins::engine::{Message, expected_answer};
use serde_json::json;

/// Counts of passed and failed checks.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    passed: u32,
    failed: u32,
}

/// Time between the notice and the reclaim of an entry VM.
const ENTRY_RECLAIM_NOTICE: Duration = Duration::from_secs(12);

impl Checks {
    /// Runs all checks in sequence.
    pub(crate) async fn run_all(&mut self, fleet: &mut Fleet) {
        let streamed = check_streamed_answer(fleet).await;
        self.record("a streamed answer is complete, token for token", streamed);
        let batch = check_batch_of_all_ranks(fleet).await;
        self.record(
            "a batch of all three ranks from five customers is answered",
            batch,
        );
        let refused = check_invalid_input(fleet).await;
        self.record(
            "invalid input is rejected with a clear error before it runs",
            refused,
        );
        let lookup = check_idempotent_call(fleet).await;
        self.record("a call of an idempotent service is answered", lookup);
        let booking = check_repeated_booking(fleet).await;
        self.record("a booking sent twice with one key has one effect", booking);
        let engine = check_engine_reclaim(fleet).await;
        self.record(
            "an engine is reclaimed in mid-stream; the answer is complete",
            engine,
        );
        let entry = check_entry_reclaim(fleet).await;
        self.record(
            "an entry VM is reclaimed in mid-stream; the answer is complete",
            entry,
        );
    }

    fn record(&mut self, name: &str, outcome: Result<()>) {
        match outcome {
            Ok(()) => {
                self.passed += 1;
                println!("ok      {name}\n");
            }
            Err(e) => {
                self.failed += 1;
                println!("FAILED  {name}: {e:#}\n");
            }
        }
    }

    /// Prints the summary.
    ///
    /// # Errors
    ///
    /// Fails if a check has failed.
    pub(crate) fn finish(self) -> Result<()> {
        println!(
            "demo: {} checks passed, {} failed",
            self.passed, self.failed
        );
        if self.failed > 0 {
            bail!("{} checks failed", self.failed);
        }
        Ok(())
    }
}

fn chat_request(text: &str, rank: &str, max_tokens: u32, is_stream: bool) -> Ask {
    Ask {
        model: "bucket-assistant".into(),
        text: text.into(),
        rank: rank.into(),
        max_tokens,
        is_stream,
    }
}

/// Checks that an answer is complete and equals the deterministic answer of the engine stand-ins.
fn ensure_complete(answer: &Answer, request: &Ask) -> Result<()> {
    if let Some(problem) = &answer.problem {
        bail!("refused: {problem}");
    }
    ensure!(answer.is_whole, "the end of the answer is missing");
    let messages = [Message {
        role: "user".into(),
        content: request.text.as_str().into(),
    }];
    let expected = expected_answer(&request.model, &messages, request.max_tokens).concat();
    ensure!(
        answer.text == expected,
        "the answer differs: {:?} instead of {:?}",
        answer.text,
        expected
    );
    Ok(())
}

/// Prints the output of `jayhall explain` for a request, queried at the last node of the fleet.
async fn print_explanation(fleet: &Fleet, id: &str) -> Result<()> {
    let node = fleet
        .nodes
        .last()
        .ok_or_else(|| eyre!("there is no node"))?;
    let text = fleet.command(node, &["explain", id]).await?;
    ensure!(
        !text.trim().is_empty(),
        "jayhall explain {id} printed nothing"
    );
    for line in text.lines() {
        println!("        {line}");
    }
    Ok(())
}

async fn check_streamed_answer(fleet: &Fleet) -> Result<()> {
    let caller = fleet.caller("bekele");
    let request = chat_request(
        "Which hoop fits a bucket of twelve litres? len=40",
        "urgent",
        100,
        true,
    );
    let answer = caller.ask(&request).await?;
    ensure_complete(&answer, &request)?;
    print_explanation(fleet, &answer.id).await
}

async fn check_batch_of_all_ranks(fleet: &Fleet) -> Result<()> {
    let customers = [
        "bekele",
        "hawassa-hoops",
        "selam",
        "grand-hotel",
        "kiln-club",
    ];
    let ranks = ["urgent", "quick", "bulk"];
    let mut requests = Vec::new();
    for (i, customer) in customers.iter().enumerate() {
        for (j, rank) in ranks.iter().enumerate() {
            let text = format!("Question {i} of {customer} about staves, rank {rank}. len=30");
            requests.push((
                fleet.caller(customer),
                chat_request(&text, rank, 60, j % 2 == 0),
            ));
        }
    }
    let answers = join_all(requests.iter().map(|(caller, request)| caller.ask(request))).await;
    for ((_, request), answer) in requests.iter().zip(answers) {
        ensure_complete(&answer?, request)?;
    }
    println!("        {} requests answered", requests.len());
    Ok(())
}

async fn check_invalid_input(fleet: &Fleet) -> Result<()> {
    let caller = fleet.caller("bekele");
    let unknown = Ask {
        model: "no-such-model".into(),
        ..chat_request("Hello", "", 10, false)
    };
    let cases = [
        (caller.ask(&unknown).await?, 404),
        (
            caller
                .ask(&chat_request("Hello", "no-such-rank", 10, false))
                .await?,
            404,
        ),
        (caller.ask(&chat_request("", "", 10, false)).await?, 400),
        (
            fleet
                .caller("nobody")
                .ask(&chat_request("Hello", "", 10, true))
                .await?,
            401,
        ),
    ];
    for (answer, status) in cases {
        ensure!(
            answer.status == status,
            "status {} instead of {status}",
            answer.status
        );
        let problem = answer.problem.ok_or_else(|| eyre!("no problem document"))?;
        ensure_not_run(status, &problem)?;
    }
    check_invalid_calls(&caller).await
}

/// Checks that invalid calls of plain services are rejected before a back end runs them.
async fn check_invalid_calls(caller: &Caller) -> Result<()> {
    let body = json!({"slot": "none"});
    let malformed_key = "not-a-uuid";
    let cases = [
        ("no-such-service", "", 404),
        ("kiln", "", 400),
        ("kiln", malformed_key, 400),
    ];
    for (service, key, status) in cases {
        let answer = caller.call(service, key, &body).await?;
        ensure!(
            answer.status == status,
            "status {} instead of {status}",
            answer.status
        );
        ensure_not_run(status, &serde_json::from_str(&answer.body)?)?;
    }
    let key = uuid::Uuid::now_v7().to_string();
    let first = caller.call("kiln", &key, &json!({"slot": "first"})).await?;
    ensure!(first.status == 200, "{} {}", first.status, first.body);
    let other = caller.call("kiln", &key, &json!({"slot": "other"})).await?;
    ensure!(other.status == 422, "{} {}", other.status, other.body);
    println!("        422: {}", other.body);
    Ok(())
}

fn ensure_not_run(status: u16, problem: &serde_json::Value) -> Result<()> {
    ensure!(problem["verdict"] == "not_run", "{problem}");
    println!(
        "        {status}: {}",
        problem["detail"].as_str().unwrap_or_default()
    );
    Ok(())
}

async fn check_idempotent_call(fleet: &Fleet) -> Result<()> {
    let caller = fleet.caller("selam");
    let answer = caller.call("catalogue", "", &json!({"q": "hoops"})).await?;
    ensure!(answer.status == 200, "{} {}", answer.status, answer.body);
    print_explanation(fleet, &answer.id).await
}

async fn check_repeated_booking(fleet: &Fleet) -> Result<()> {
    let caller = fleet.caller("bekele");
    let key = uuid::Uuid::now_v7().to_string();
    let body = json!({"slot": "kiln 2, Friday 09:00"});
    let first = caller.call("kiln", &key, &body).await?;
    ensure!(first.status == 200, "{} {}", first.status, first.body);
    let second = caller.call("kiln", &key, &body).await?;
    ensure!(second.status == 200, "{} {}", second.status, second.body);
    ensure!(
        first.body == second.body,
        "the two responses to one key differ"
    );
    let mut effects = 0;
    for (backend, process) in &fleet.backends {
        if backend.vm.starts_with("kiln") {
            let counts = fleet.get(process, "/effects").await?;
            effects += counts[&key].as_u64().unwrap_or(0);
        }
    }
    println!("        effects of the key counted by the back ends of kiln: {effects}");
    ensure!(effects == 1, "the booking took effect {effects} times");
    print_explanation(fleet, &second.id).await
}

/// Waits until an engine has produced more than three tokens of a request, and returns the engine's VM.
async fn wait_for_running_engine(fleet: &Fleet) -> Result<String> {
    for _ in 0..200 {
        for (backend, process) in &fleet.backends {
            if backend.kind != "engine" {
                continue;
            }
            let records = fleet.get(process, "/v1/records").await?;
            let is_running = records.as_array().is_some_and(|records| {
                records
                    .iter()
                    .any(|r| r["state"] == "running" && r["tokens"].as_u64() > Some(3))
            });
            if is_running {
                return Ok(backend.vm.clone());
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("no engine ran the request in time")
}

async fn check_engine_reclaim(fleet: &Fleet) -> Result<()> {
    let caller = fleet.caller("grand-hotel");
    let request = chat_request(
        "Describe the lake for our guests. len=600",
        "quick",
        900,
        true,
    );
    let (answer, notice) = tokio::join!(caller.ask(&request), async {
        let vm = wait_for_running_engine(fleet).await?;
        println!("        the cloud reclaims {vm} in 4 s");
        fleet.notice(&vm, Duration::from_secs(4)).await
    });
    notice?;
    let answer = answer?;
    ensure_complete(&answer, &request)?;
    print_explanation(fleet, &answer.id).await
}

async fn check_entry_reclaim(fleet: &mut Fleet) -> Result<()> {
    let node = fleet.nodes.remove(0);
    let at_node = fleet.caller("kiln-club").with_nodes(vec![node.callers()]);
    let request = chat_request(
        "Read this contract and list its clauses. len=500",
        "bulk",
        900,
        true,
    );
    let notice = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        println!(
            "        the cloud reclaims {} in {ENTRY_RECLAIM_NOTICE:?}",
            node.vm
        );
        fleet.notice(&node.vm, ENTRY_RECLAIM_NOTICE).await
    };
    let (answer, notice) = tokio::join!(at_node.ask(&request), notice);
    notice?;
    let answer = answer?;
    ensure_complete(&answer, &request)?;
    ensure!(
        answer.resumes > 0,
        "the stream was never resumed at another node"
    );
    print_explanation(fleet, &answer.id).await
}
