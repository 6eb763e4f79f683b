//! What the gateway needs from the adapter of a platform: names on the wire, decoded into types.
//!
//! The gateway itself knows no header, key or field by name; `crate::platform` does.

use std::time::Duration;

use futures::future::BoxFuture;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use smallvec::SmallVec;

use crate::core::gateway::backends::Backend;
use crate::core::gateway::cache::Part;
use crate::core::gateway::members::NodeName;
use crate::core::gateway::routes::RouteTable;
use crate::core::gateway::scaling::Order;
use crate::core::gateway::usage::{Counts, Window};

/// Why something on the wire cannot be used.
pub type DecodeError = eyre::Report;
/// The module's result.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// What the head of a call says.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Names this attempt of the caller; empty where it has no name.
    pub attempt: Box<str>,
    /// Time for which the caller waits, where it says so.
    pub deadline: Option<Duration>,
    /// Key of the caller.
    pub key: Option<Box<str>>,
    /// Tokens of the prompt, and of the answer at most.
    pub tokens: Option<(u32, u32)>,
    /// Parts of the prompt, in order.
    pub parts: SmallVec<[Part; 4]>,
    /// The caller's estimate of the tokens of the answer.
    pub length_hint: Option<u32>,
    /// Event behind which a stream is to go on.
    pub last_event: Option<u64>,
}

/// What the gateway tells a back end beside what the caller sent.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// Back end that is to serve the call and no other.
    pub backend: &'a str,
    /// Time that is left.
    pub deadline: Duration,
    /// Customer that pays.
    pub customer: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Event behind which a stream is to go on.
    pub last_event: Option<u64>,
}

/// What the head of a back end's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Attempt that it answers, where it says so.
    pub attempt: Option<Box<str>>,
    /// Whether the back end says that it did not run the call.
    pub not_run: bool,
    /// Whether it is signed by the back end.
    pub is_signed: bool,
    /// Time after which the back end closes the connection when it is idle.
    pub idle_timeout: Option<Duration>,
    /// Whether the back end says that it is leaving.
    pub is_leaving: bool,
    /// Time for which a back end that turns a call away wants no other call from this node.
    pub stay_away: Option<Duration>,
}

/// Names on the wire of a platform.
pub trait Dialect: Send + Sync {
    /// Reads the head of a call.
    fn call_head(&self, headers: &HeaderMap) -> CallHead;

    /// Returns the head of a call as a back end gets it: without what concerns one connection, without
    /// the caller's key, and without what only the gateway may set.
    fn forward_head(&self, headers: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;

    /// Reads the head of a back end's answer.
    fn answer_head(&self, status: u16, headers: &HeaderMap) -> AnswerHead;

    /// Returns the head of an answer as the caller gets it.
    fn answer_for_caller(&self, headers: HeaderMap) -> HeaderMap;

    /// Returns the value of `Retry-After` for a time.
    fn retry_after(&self, after: Duration) -> HeaderValue;

    /// Key in the store of the operators' configuration.
    fn config_key(&self) -> &'static str;

    /// Start of the keys in the store under which back ends name themselves.
    fn backend_prefix(&self) -> &'static str;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Fails where the text has not the platform's form, naming the field.
    fn decode_table(&self, text: &[u8]) -> Result<RouteTable>;

    /// Decodes what a back end says of itself. `id` is the end of its key.
    ///
    /// # Errors
    ///
    /// Fails where the text has not the platform's form, naming the field.
    fn decode_backend(&self, id: &str, text: &[u8]) -> Result<Backend>;

    /// Reads a question for addresses: region and availability zone of the caller.
    fn directory_question(&self, query: &str) -> (Box<str>, Box<str>);

    /// Returns the answer to a question for addresses, as JSON.
    fn directory_answer(&self, addresses: &[std::net::SocketAddr], ttl: Duration) -> Vec<u8>;
}

/// Who makes a call that one node at a time may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub node: NodeName,
    /// Its fencing token.
    pub fence: u64,
}

/// What became of a duty's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyReply {
    /// It was taken.
    Taken,
    /// The platform has none of what was asked for at the moment.
    NoneThere,
    /// It was refused, with this status.
    Refused(u16),
    /// No answer came; the call may have been taken.
    NoAnswer,
}

/// Calls to the platform that one node at a time may make.
pub trait Duties: Send + Sync {
    /// Reports the calls of each customer in a window.
    fn report_usage(
        &self,
        holder: Holder,
        window: Window,
        counts: Counts,
    ) -> BoxFuture<'_, DutyReply>;

    /// Orders back ends.
    fn order(&self, holder: Holder, service: Box<str>, order: Order) -> BoxFuture<'_, DutyReply>;
}
