//! A caller that reads a large response slowly, over a connection whose buffers hold little of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use jayhall::platform::headers;
use tokio::net::TcpSocket;
use tokio::time::Instant;

use crate::bodies::{plain_body, signature};
use crate::caller::{Call, record, verify};
use crate::config::HOST;
use crate::history::Outcome;
use crate::world::World;

/// Rate at which the response is read, in bytes a second.
const READ_RATE: f64 = 1.5e6;
/// Size of the receive buffer, in bytes.
const BUFFER_BYTES: u32 = 64 * 1024;
/// Time that the caller waits beyond its deadline, to observe late responses.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(1500);

/// Sends a call, reads its response slowly and records its end.
pub(crate) async fn run(world: Arc<World>, call: Call) {
    let address = world.nodes[call.node].caller_link.address();
    let sent = world.history.now();
    let wait = call.deadline() + LATE_RESPONSE_WAIT;
    let outcome = tokio::time::timeout(wait, read_answer(address, &call)).await;
    record(&world, call, sent, outcome.unwrap_or(Outcome::Silence));
}

async fn read_answer(address: SocketAddr, call: &Call) -> Outcome {
    let Ok(res) = send(address, call).await else {
        return Outcome::NoAnswer;
    };
    let status = res.status().as_u16();
    let signed = res.headers().get(headers::SIGNATURE);
    let signed = signed.map(|value| *value == *signature(&call.id));
    match read_body(res.into_body()).await {
        Ok(body) => verify(status, signed, &body, call.route.kind, &call.id),
        Err(_) => Outcome::BrokenOff,
    }
}

async fn send(address: SocketAddr, call: &Call) -> Result<Response<Incoming>> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    let stream = TokioIo::new(socket.connect(address).await?);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
    tokio::spawn(connection);
    let req = Request::post(format!("{}{}", call.route.prefix, call.id))
        .header("host", HOST)
        .header("authorization", format!("Bearer {}", call.customer.key))
        .header(headers::ATTEMPT, &*call.id)
        .header(headers::DEADLINE, call.deadline().as_millis().to_string())
        .body(Full::new(Bytes::from(plain_body(&call.id))))?;
    Ok(sender.send_request(req).await?)
}

async fn read_body(mut body: Incoming) -> hyper::Result<Vec<u8>> {
    let start = Instant::now();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        let due = Duration::from_secs_f64(bytes.len() as f64 / READ_RATE);
        tokio::time::sleep_until(start + due).await;
    }
    Ok(bytes)
}
