//! Test double of the cloud's API for duty holders: accepts and records every call.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use eyre::{Result, eyre};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use jayhall::platform::headers;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::history::{DutyCall, History};

/// A running cloud server.
#[derive(Debug)]
pub(crate) struct Cloud {
    pub(crate) address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Cloud {
    pub(crate) async fn spawn(ip: IpAddr, history: History) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let accept_task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let history = history.clone();
                let service = service_fn(move |req| {
                    let history = history.clone();
                    async move { Ok::<_, Infallible>(handle(req, &history).await) }
                });
                let io = TokioIo::new(stream);
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new().serve_connection(io, service),
                );
            }
        });
        Ok(Self {
            address,
            accept_task,
        })
    }
}

impl Drop for Cloud {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn handle(req: Request<Incoming>, history: &History) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    match parse_duty_call(req, history).await {
        Ok(call) => history.lock().duty_calls.push(call),
        Err(e) => {
            *res.status_mut() = hyper::StatusCode::BAD_REQUEST;
            let what = format!("malformed duty call: {e:#}");
            history.lock().unexpected_calls.push(what.into());
        }
    }
    res
}

async fn parse_duty_call(req: Request<Incoming>, history: &History) -> Result<DutyCall> {
    let header = |name: HeaderName| -> Result<String> {
        let value = req
            .headers()
            .get(&name)
            .ok_or_else(|| eyre!("missing header {name}"))?;
        Ok(value.to_str()?.to_owned())
    };
    let holder = header(headers::DUTY_HOLDER)?.into();
    let fence = header(headers::FENCE)?.parse()?;
    let path = req.uri().path().to_owned();
    let body = req.into_body().collect().await?.to_bytes();
    let body: Value = serde_json::from_slice(&body)?;
    let (subject, usage) = match &*path {
        "/usage" => ("usage".into(), Some(parse_usage(&body)?)),
        "/scale" => (
            format!("{} in {}", body["service"], body["zone"]).into(),
            None,
        ),
        other => return Err(eyre!("unknown path {other}")),
    };
    Ok(DutyCall {
        at: history.now(),
        holder,
        fence,
        subject,
        usage,
    })
}

fn parse_usage(body: &Value) -> Result<(u64, BTreeMap<Box<str>, u32>)> {
    let window = body["window"]
        .as_u64()
        .ok_or_else(|| eyre!("missing usage window"))?;
    let counts = body["counts"]
        .as_object()
        .ok_or_else(|| eyre!("missing usage counts"))?;
    let counts = counts
        .iter()
        .map(|(customer, count)| {
            let count = count
                .as_u64()
                .ok_or_else(|| eyre!("usage count is not an unsigned integer"))?;
            Ok((customer.as_str().into(), u32::try_from(count)?))
        })
        .collect::<Result<_>>()?;
    Ok((window, counts))
}
