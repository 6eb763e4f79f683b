//! Tests the engine client against the stand-in.

use std::time::Duration;

use futures::StreamExt;
use jayhall::core::explain::Record;
use jayhall::core::request::{AcceptedRequest, ChatMessage};
use jayhall::sources::engine::{EngineAttempt, EngineClient, EngineEvent};
use jayhall_standins::engine::{self, EngineSettings};

fn request() -> AcceptedRequest {
    AcceptedRequest {
        id: "exported-request".into(),
        customer: "bekele".into(),
        rank: "quick".into(),
        model: "bucket-assistant".into(),
        messages: vec![ChatMessage {
            role: "user".into(),
            content: "Which hoop fits? len=400".into(),
        }],
        max_tokens: 400,
        prompt_tokens: 4,
        accepted_at: 0,
        record: Record::default(),
    }
}

#[tokio::test]
async fn the_end_of_an_exported_stream_is_not_the_end_of_the_answer() {
    let settings = EngineSettings {
        models: vec!["bucket-assistant".into()],
        decode_base: Duration::from_millis(2),
        ..EngineSettings::default()
    };
    let engine = engine::spawn(settings).await.unwrap();
    let client = EngineClient::new(reqwest::Client::new());
    let request = request();
    let attempt = EngineAttempt {
        request: &request,
        attempt: 1,
        priority: 0,
        prior_tokens: &[],
        kv_blob: None,
    };
    let mut events = client.start(engine.address, attempt).await.unwrap();
    assert!(matches!(
        events.next().await,
        Some(Ok(EngineEvent::Token { .. }))
    ));
    client.export_kv(engine.address, &request.id).await.unwrap();
    let rest: Vec<_> = events.collect().await;
    let has_end = rest
        .iter()
        .any(|event| matches!(event, Ok(EngineEvent::Finished(_))));
    assert!(
        !has_end,
        "the end of an exported stream was taken for the end of the answer"
    );
}
