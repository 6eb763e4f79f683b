//! The HTTP side that all stand-ins share: calls, answers, faults and the running handle.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::{self, BoxStream};
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{HeaderMap, Method, ResBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::faults::{FaultBoard, FaultSet};

/// Longest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Paths that answer whatever the faults are, so that tests can look and switch faults off.
const CONTROL_PATHS: [&str; 5] = ["/faults", "/test/", "/counters", "/effects", "/v1/records"];

/// Says why a stand-in did not start.
pub type SpawnError = io::Error;
/// The crate's result.
pub type Result<T> = std::result::Result<T, SpawnError>;
/// Chunks of a streamed answer; an error closes the connection in mid-stream.
pub(crate) type Chunks = BoxStream<'static, io::Result<String>>;

/// One request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) query: Vec<(Box<str>, Box<str>)>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
}

impl Call {
    /// Returns the segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Returns a value of the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| &**key == name);
        found.map(|(_, value)| &**value)
    }

    /// Reads the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|e| Answer::error(StatusCode::BAD_REQUEST, &e.to_string()))
    }
}

/// What a stand-in does with one request.
pub(crate) enum Answer {
    Json(StatusCode, Value),
    /// 429 with `Retry-After` in seconds.
    RetryAfter(u64, Value),
    Stream(&'static str, Chunks),
    /// Closes the connection without an answer.
    Close,
}

impl Answer {
    pub(crate) fn ok<T: Serialize>(value: &T) -> Self {
        match serde_json::to_value(value) {
            Ok(value) => Self::Json(StatusCode::OK, value),
            Err(e) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }

    pub(crate) fn error(status: StatusCode, message: &str) -> Self {
        let code = status.as_u16();
        Self::Json(status, json!({"error": {"code": code, "message": message}}))
    }

    pub(crate) fn not_found() -> Self {
        Self::error(StatusCode::NOT_FOUND, "no such call")
    }
}

/// What one kind of stand-in answers.
pub(crate) trait Standin: Send + Sync + 'static {
    type Faults: FaultSet;

    fn faults(&self) -> &FaultBoard<Self::Faults>;
    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Answer>;
}

struct Front<S>(Arc<S>);

impl<S: Standin> Front<S> {
    async fn reply(&self, call: Call) -> Answer {
        if call.path.as_ref() == "/faults" {
            return self.change_faults(&call);
        }
        if CONTROL_PATHS.iter().any(|path| call.path.starts_with(path)) {
            return self.0.clone().answer(call).await;
        }
        let board = self.0.faults();
        board.unfrozen().await;
        let faults = board.get();
        if faults.common().refuse {
            return Answer::error(StatusCode::SERVICE_UNAVAILABLE, "refused by a fault");
        }
        if faults.common().delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.common().delay_ms)).await;
        }
        let answer = self.0.clone().answer(call).await;
        board.unfrozen().await;
        if board.loses_answer() {
            return Answer::Close;
        }
        answer
    }

    fn change_faults(&self, call: &Call) -> Answer {
        let board = self.0.faults();
        if call.method == Method::DELETE {
            board.set(S::Faults::default());
        } else if call.method == Method::POST {
            let merged = call.json::<Value>().map(|patch| board.merge(&patch));
            match merged {
                Ok(Ok(_)) => {}
                Ok(Err(e)) => return Answer::error(StatusCode::BAD_REQUEST, &e.to_string()),
                Err(answer) => return answer,
            }
        }
        Answer::ok(&board.get())
    }

    /// Applies the faults of streams: freezing holds chunks back, a silent drop holds them for ever.
    fn faulty(&self, chunks: Chunks) -> Chunks {
        let standin = self.0.clone();
        chunks
            .then(move |chunk| {
                let standin = standin.clone();
                async move {
                    standin.faults().unfrozen().await;
                    if standin.faults().get().common().drop_silently {
                        std::future::pending::<()>().await;
                    }
                    chunk
                }
            })
            .boxed()
    }

    fn write(&self, answer: Answer, res: &mut Response) {
        match answer {
            Answer::Json(status, value) => write_json(status, &value, res),
            Answer::RetryAfter(seconds, value) => {
                write_json(StatusCode::TOO_MANY_REQUESTS, &value, res);
                set_header(res, "retry-after", &seconds.to_string());
            }
            Answer::Stream(content_type, chunks) => {
                res.status_code(StatusCode::OK);
                set_header(res, "content-type", content_type);
                res.stream(self.faulty(chunks));
            }
            Answer::Close => {
                // An error before the first byte of the body closes the connection before the head of
                // the answer is flushed.
                let error = io::Error::from(io::ErrorKind::ConnectionAborted);
                res.status_code(StatusCode::OK);
                res.body(ResBody::stream(stream::iter([Err::<String, _>(error)])));
            }
        }
    }
}

fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}

fn write_json(status: StatusCode, value: &Value, res: &mut Response) {
    res.status_code(status);
    set_header(res, "content-type", "application/json");
    res.body(ResBody::Once(value.to_string().into()));
}

#[async_trait]
impl<S: Standin> Handler for Front<S> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let query = req.queries().iter();
        let call = Call {
            method: req.method().clone(),
            path: req.uri().path().into(),
            query: query
                .map(|(k, v)| (k.as_str().into(), v.as_str().into()))
                .collect(),
            headers: req.headers().clone(),
            body: match req.payload_with_max_size(MAX_BODY_BYTES).await {
                Ok(bytes) => bytes.to_vec(),
                Err(_) => Vec::new(),
            },
        };
        let answer = self.reply(call).await;
        self.write(answer, res);
    }
}

/// A running HTTP server; stops when dropped.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) address: SocketAddr,
    handle: salvo::server::ServerHandle,
    task: JoinHandle<()>,
}

impl Running {
    /// Binds the address and serves the stand-in.
    pub(crate) async fn spawn<S: Standin>(listen: SocketAddr, standin: Arc<S>) -> Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        // Accepted connections inherit the option; a token must not wait for an acknowledgement.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let server = Server::new(TcpAcceptor::try_from(listener)?);
        let handle = server.handle();
        let router = Router::with_path("{**rest}").goal(Front(standin));
        let task = tokio::spawn(async move {
            if let Err(e) = server.try_serve(router).await {
                tracing::error!(error = %e, "stand-in stopped");
            }
        });
        Ok(Self {
            address,
            handle,
            task,
        })
    }

    /// Returns what stops the server from elsewhere.
    pub(crate) fn stopper(&self) -> salvo::server::ServerHandle {
        self.handle.clone()
    }

    /// Waits until the server has stopped.
    pub(crate) async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.handle.stop_forcible();
    }
}
