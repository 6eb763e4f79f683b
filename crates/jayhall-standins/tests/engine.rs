//! The engine's contract.

use std::time::Duration;

use futures::StreamExt;
use jayhall_standins::CommonFaults;
use jayhall_standins::engine::{
    self, Engine, EngineFaults, EngineSettings, JobState, Message, expected_answer,
};
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};

const MODEL: &str = "assistant";

async fn engine(change: impl FnOnce(&mut EngineSettings)) -> Engine {
    let mut settings = EngineSettings {
        decode_base: Duration::from_millis(2),
        decode_slope: Duration::ZERO,
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        ..EngineSettings::default()
    };
    change(&mut settings);
    engine::spawn(settings).await.expect("free port")
}

fn body(id: &str, text: &str) -> Value {
    json!({
        "model": MODEL, "messages": [Message::user(text)], "max_tokens": 500,
        "request_id": id, "attempt": 1,
    })
}

fn expected(text: &str) -> Vec<String> {
    expected_answer(MODEL, &[Message::user(text)], 500)
}

async fn post(engine: &Engine, path: &str, body: &Value) -> Response {
    let url = format!("http://{}{path}", engine.address);
    Client::new()
        .post(url)
        .json(body)
        .send()
        .await
        .expect("answer")
}

async fn get(engine: &Engine, path: &str) -> Value {
    let url = format!("http://{}{path}", engine.address);
    Client::new()
        .get(url)
        .send()
        .await
        .expect("answer")
        .json()
        .await
        .expect("JSON")
}

async fn chat(engine: &Engine, mut body: Value, stream: bool) -> Response {
    body["stream"] = stream.into();
    post(engine, "/v1/chat/completions", &body).await
}

/// Reads events as (offset, text) until the stream ends or `limit` tokens were read.
async fn read(res: Response, limit: usize) -> (Vec<(u32, String)>, String) {
    let mut chunks = res.bytes_stream();
    let mut text = String::new();
    while let Some(Ok(chunk)) = chunks.next().await {
        text.push_str(std::str::from_utf8(&chunk).expect("UTF-8"));
        if text.matches("id: ").count() >= limit {
            break;
        }
    }
    let tokens = text.split("\n\n").filter_map(|event| {
        let (id, data) = event.strip_prefix("id: ")?.split_once("\ndata: ")?;
        let data: Value = serde_json::from_str(data).ok()?;
        let content = data["choices"][0]["delta"]["content"].as_str()?;
        Some((id.parse().ok()?, content.to_owned()))
    });
    (tokens.collect(), text)
}

fn words(tokens: &[(u32, String)]) -> Vec<String> {
    tokens.iter().map(|(_, word)| word.clone()).collect()
}

#[tokio::test]
async fn a_stream_carries_the_expected_tokens_with_their_offsets() {
    let engine = engine(|_| {}).await;
    let res = chat(&engine, body("r", "plane the staves len=20"), true).await;
    let (tokens, text) = read(res, usize::MAX).await;
    assert_eq!(words(&tokens), expected("plane the staves len=20"));
    assert!(tokens.iter().map(|(id, _)| *id).eq(0..20));
    assert!(text.contains("\"finish_reason\":\"stop\""));
    assert!(text.ends_with("data: [DONE]\n\n"));
    let whole = chat(&engine, body("w", "plane the staves len=20"), false).await;
    let whole: Value = whole.json().await.unwrap();
    let content = whole["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(content, words(&tokens).concat());
}

#[tokio::test]
async fn a_second_engine_goes_on_behind_prior_tokens() {
    let engine = engine(|_| {}).await;
    let answer = expected("hoops len=30");
    let mut req = body("r", "hoops len=30");
    req["prior_tokens"] = json!(&answer[..12]);
    let (tokens, _) = read(chat(&engine, req, true).await, usize::MAX).await;
    assert_eq!(words(&tokens), answer[12..]);
    assert_eq!(tokens[0].0, 12);
    assert_eq!(engine.records()[0].tokens, 18);
}

#[tokio::test]
async fn a_lost_connection_is_attached_again() {
    let engine = engine(|_| {}).await;
    let (tokens, _) = read(chat(&engine, body("r", "x len=60"), true).await, 5).await;
    let from = tokens.len() as u32;
    let url = format!(
        "http://{}/v1/streams/r?attempt=1&from={from}",
        engine.address
    );
    let (rest, _) = read(Client::new().get(url).send().await.unwrap(), usize::MAX).await;
    assert_eq!(
        [words(&tokens), words(&rest)].concat(),
        expected("x len=60")
    );
    assert_eq!(engine.records().len(), 1);
}

#[tokio::test]
async fn an_attempt_without_a_reader_is_abandoned() {
    let engine = engine(|s| s.linger = Duration::from_millis(20)).await;
    drop(read(chat(&engine, body("r", "x len=500"), true).await, 3).await);
    while !engine.records()[0].state.is_final() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(engine.records()[0].state, JobState::Abandoned);
}

#[tokio::test]
async fn urgent_requests_leave_the_waiting_list_first_and_a_full_one_refuses() {
    let engine = engine(|s| (s.slots, s.waiting_places) = (1, 2)).await;
    let running = chat(&engine, body("a", "x len=400"), true).await;
    let mut later = body("b", "y len=1");
    later["priority"] = 2.into();
    let later = chat(&engine, later, true).await;
    let mut urgent = body("c", "z len=1");
    urgent["priority"] = 0.into();
    let urgent = chat(&engine, urgent, true).await;
    let full = chat(&engine, body("d", "z"), true).await;
    assert_eq!(full.status(), StatusCode::TOO_MANY_REQUESTS);
    assert!(full.headers().contains_key("retry-after"));
    let url = format!("http://{}/v1/streams/a", engine.address);
    let cancelled: Value = Client::new()
        .delete(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert!(cancelled["tokens"].as_u64().unwrap() < 400);
    read(urgent, usize::MAX).await;
    let states = |engine: &Engine| -> Vec<JobState> {
        engine.records().iter().map(|record| record.state).collect()
    };
    assert_eq!(states(&engine)[2], JobState::Finished);
    read(later, usize::MAX).await;
    drop(running);
    assert_eq!(
        states(&engine),
        [JobState::Cancelled, JobState::Finished, JobState::Finished]
    );
}

#[tokio::test]
async fn a_cached_prefix_is_not_computed_again_and_is_published() {
    let engine = engine(|_| {}).await;
    let text = "a b c d e f g h i j k l m n o p q r s t u v w x y z len=1";
    for id in ["r1", "r2"] {
        let res = chat(&engine, body(id, text), false).await;
        assert_eq!(res.status(), StatusCode::OK);
    }
    let records = engine.records();
    assert_eq!(
        (records[0].cached_tokens, records[1].cached_tokens),
        (0, 16)
    );
    let hashes = engine::block_hashes(MODEL, &engine::prompt_tokens(&[Message::user(text)]));
    let events = get(&engine, "/v1/cache/events?after=0").await;
    assert_eq!(events["events"][0]["kind"], "stored");
    assert_eq!(
        events["events"][0]["blocks"][0],
        format!("{:016x}", hashes[0])
    );
    let load = get(&engine, "/v1/load").await;
    assert_eq!(
        (&load["running"], &load["kv_used_tokens"]),
        (&json!(0), &json!(16))
    );
}

#[tokio::test]
async fn an_exported_kv_cache_spares_the_prompt_elsewhere() {
    let (from, to) = (engine(|_| {}).await, engine(|_| {}).await);
    let stream = chat(&from, body("r", "contract len=100"), true).await;
    let (tokens, _) = read(stream, 5).await;
    let blob: Value = post(&from, "/v1/kv/export", &json!({"request_id": "r"}))
        .await
        .json()
        .await
        .unwrap();
    let made = blob["tokens"].as_u64().unwrap() as usize;
    assert!(made >= tokens.len());
    let mut req = body("r", "contract len=100");
    req["kv_blob"] = blob["kv_blob"].clone();
    req["prior_tokens"] = json!(&expected("contract len=100")[..made]);
    let (rest, _) = read(chat(&to, req, true).await, usize::MAX).await;
    assert_eq!(words(&rest), expected("contract len=100")[made..]);
    let record = &to.records()[0];
    assert_eq!(record.cached_tokens, record.prompt_tokens - 1);
    let cannot = engine(|s| s.exports_kv = false).await;
    let res = post(&cannot, "/v1/kv/export", &json!({"request_id": "r"})).await;
    assert_eq!(res.status(), StatusCode::NOT_IMPLEMENTED);
}

#[tokio::test]
async fn orders_with_an_old_fencing_number_are_refused_where_they_are_checked() {
    for (checks, status) in [(true, StatusCode::CONFLICT), (false, StatusCode::OK)] {
        let engine = engine(|s| {
            s.checks_fencing = checks;
            s.load_time = Duration::ZERO;
        })
        .await;
        let order = |fence: u64, name: &str| json!({"fence": fence, "order": "load_model", "name": name, "version": "2"});
        let res = post(&engine, "/v1/orders", &order(7, "other")).await;
        assert_eq!(res.status(), StatusCode::OK);
        let res = post(&engine, "/v1/orders", &order(6, "late")).await;
        assert_eq!(res.status(), status);
        let models = get(&engine, "/v1/models").await;
        assert_eq!(
            models["data"].as_array().unwrap().len(),
            if checks { 2 } else { 3 }
        );
        assert_eq!(models["data"][1]["version"], "2");
    }
}

#[tokio::test]
async fn a_dying_engine_cuts_its_streams_and_stops() {
    let engine = engine(|_| {}).await;
    engine.set_faults(EngineFaults {
        stop_after_tokens: Some(10),
        ..EngineFaults::default()
    });
    let (tokens, text) = read(chat(&engine, body("r", "x len=60"), true).await, usize::MAX).await;
    assert!(tokens.len() <= 10 && !text.contains("[DONE]"));
    engine.wait().await;
}

#[tokio::test]
async fn faults_are_switched_over_http() {
    let engine = engine(|_| {}).await;
    let cases = [
        (
            json!({"refuse": true}),
            Some(StatusCode::SERVICE_UNAVAILABLE),
        ),
        (
            json!({"leaving": true}),
            Some(StatusCode::SERVICE_UNAVAILABLE),
        ),
        (json!({"freeze": true}), None),
        (json!({"lose_answer_next": 1}), None),
    ];
    for (fault, status) in cases {
        assert_eq!(
            post(&engine, "/faults", &fault).await.status(),
            StatusCode::OK
        );
        let url = format!("http://{}/v1/chat/completions", engine.address);
        let client = Client::builder()
            .timeout(Duration::from_millis(500))
            .build()
            .unwrap();
        let res = client.post(url).json(&body("r", "x len=1")).send().await;
        assert_eq!(res.ok().map(|res| res.status()), status, "{fault}");
        let url = format!("http://{}/faults", engine.address);
        let faults: Value = client
            .delete(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        assert_eq!(faults["freeze"], false);
    }
    assert_eq!(
        engine.records().len(),
        1,
        "only the lost answer had an effect"
    );
    let unknown = post(&engine, "/faults", &json!({"burn": true})).await;
    assert_eq!(unknown.status(), StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn tokens_are_repeated_or_out_of_order_by_faults() {
    let engine = engine(|s| s.decode_base = Duration::ZERO).await;
    engine.set_faults(EngineFaults {
        common: CommonFaults::default(),
        duplicate_tokens: true,
        reorder_tokens: true,
        ..EngineFaults::default()
    });
    let (mut tokens, _) = read(chat(&engine, body("r", "x len=40"), true).await, usize::MAX).await;
    assert_eq!(tokens.len(), 80);
    assert!(!tokens.is_sorted());
    tokens.sort();
    tokens.dedup();
    assert_eq!(words(&tokens), expected("x len=40"));
}
