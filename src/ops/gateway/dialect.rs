//! Interface between the gateway and the adapter of a platform, which decodes the platform's wire
//! format into types.
//!
//! The gateway itself contains no names of headers, keys or fields; they are defined in
//! `crate::platform`.

use std::time::Duration;

use futures::future::BoxFuture;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use smallvec::SmallVec;

use crate::core::gateway::backends::Backend;
use crate::core::gateway::cache::Part;
use crate::core::gateway::listed_process::ProcessStart;
use crate::core::gateway::members::NodeName;
use crate::core::gateway::rollout::lifecycle::{PublishedRollout, RolloutOrder};
use crate::core::gateway::routes::RouteTable;
use crate::core::gateway::scaling::Order;
use crate::core::gateway::usage::{Counts, Window};

/// Why a value on the wire cannot be decoded.
pub type DecodeError = eyre::Report;
/// The module's result.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Decoded head of a call.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Identifies the caller's attempt; empty if the caller gave no identifier.
    pub attempt: Box<str>,
    /// Time that the caller is willing to wait, if given.
    pub deadline: Option<Duration>,
    /// API key of the caller.
    pub key: Option<Box<str>>,
    /// Tokens of the prompt, and upper bound on the tokens of the answer.
    pub tokens: Option<(u32, u32)>,
    /// Parts of the prompt in order, for cache affinity.
    pub parts: SmallVec<[Part; 4]>,
    /// The caller's estimate of the tokens of the answer.
    pub length_hint: Option<u32>,
    /// Id of the last event received; a resumed stream continues after it.
    pub last_event: Option<u64>,
    /// The caller's attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<Box<str>>,
}

/// What the gateway adds to a call for the back end.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// Back end that the call is meant for; any other refuses it.
    pub backend: &'a str,
    /// Time until the deadline.
    pub deadline: Duration,
    /// Customer that the call is charged to.
    pub customer: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Id of the last event received; a resumed stream continues after it.
    pub last_event: Option<u64>,
}

/// What a back end's response says about whether its call has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunStatement {
    /// The back end states that it did not run the call.
    NotRun,
    /// The back end states nothing, but callers read the status as a guarantee that the call has not run and never will.
    ImpliedByStatus,
    /// Nothing. The call may have run.
    #[default]
    None,
}

/// Decoded head of a back end's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Attempt that the response belongs to, if named.
    pub attempt: Option<Box<str>>,
    /// What the response says about whether the call has run.
    pub run_statement: RunStatement,
    /// Whether the response carries the back end's signature.
    pub is_signed: bool,
    /// Idle timeout of the connection at the back end, if named.
    pub idle_timeout: Option<Duration>,
    /// Whether the back end announces that it is leaving.
    pub is_leaving: bool,
    /// Calls a second that the back end takes from all nodes together, if it names a limit.
    pub call_limit: Option<f64>,
    /// Rejected calls a second above which the back end falls over, if it is brittle.
    pub bearable_rejections: Option<f64>,
    /// Time for which a back end that refuses the call asks this node to send it no other calls.
    pub pause_calls_for: Option<Duration>,
}

/// Wire format of a platform.
pub trait Dialect: Send + Sync {
    /// Decodes the head of a call.
    fn call_head(&self, headers: &HeaderMap) -> CallHead;

    /// Returns the headers of a call for a back end: without hop-by-hop headers, the caller's key, and
    /// headers that only the gateway may set.
    fn forward_head(&self, headers: &HeaderMap, send: &ForwardMetadata<'_>) -> HeaderMap;

    /// Returns the headers of a call that another node forwards to a back end: without hop-by-hop headers, with the
    /// time until the deadline and the id of the last event received.
    fn node_head(
        &self,
        headers: &HeaderMap,
        deadline: Duration,
        last_event: Option<u64>,
    ) -> HeaderMap;

    /// Decodes the head of a back end's response.
    fn response_head(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers of a response for the caller.
    fn response_for_caller(&self, headers: HeaderMap) -> HeaderMap;

    /// Returns the value of `Retry-After` for a delay.
    fn retry_after(&self, after: Duration) -> HeaderValue;

    /// Returns the store's key of the operators' configuration.
    fn config_key(&self) -> &'static str;

    /// Returns the prefix of the keys under which back ends register in the store.
    fn backend_prefix(&self) -> &'static str;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Fails if the text does not have the platform's format, naming the field.
    fn decode_table(&self, text: &[u8]) -> Result<RouteTable>;

    /// Decodes the registration of a back end. `id` is the part of its key after the prefix.
    ///
    /// # Errors
    ///
    /// Fails if the text does not have the platform's format, naming the field.
    fn decode_backend(&self, id: &str, text: &[u8]) -> Result<Backend>;

    /// Returns the prefix of the keys of operators' orders to move a service to another software version.
    fn rollout_prefix(&self) -> &'static str;

    /// Decodes such an order. `service` is the part of its key after the prefix.
    ///
    /// # Errors
    ///
    /// Fails if the text does not have the platform's format, naming the field.
    fn decode_rollout_order(&self, service: &str, text: &[u8]) -> Result<RolloutOrder>;

    /// Returns the store's key of what operators read of a service's rollout.
    fn rollout_status_key(&self, service: &str) -> String;

    /// Encodes what operators read of a rollout.
    fn encode_rollout_status(&self, status: &PublishedRollout) -> Vec<u8>;

    /// Decodes what operators read of a rollout.
    ///
    /// # Errors
    ///
    /// Fails if the text does not have the platform's format, naming the field.
    fn decode_rollout_status(&self, text: &[u8]) -> Result<PublishedRollout>;

    /// Returns the path at which a back end reports on itself.
    fn report_path(&self) -> &'static str;

    /// Decodes the start of the process from a report of a back end on itself.
    ///
    /// # Errors
    ///
    /// Fails if the text does not have the platform's format, naming the field.
    fn decode_report(&self, text: &[u8]) -> Result<ProcessStart>;

    /// Decodes a directory query: region and availability zone of the caller.
    fn decode_directory_query(&self, query: &str) -> (Box<str>, Box<str>);

    /// Returns the response to a directory query as JSON.
    fn encode_directory_response(
        &self,
        addresses: &[std::net::SocketAddr],
        ttl: Duration,
    ) -> Vec<u8>;
}

/// Identity of the node that holds the duties, sent with each of their calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub node: NodeName,
    /// Its fencing token.
    pub fence: u64,
}

/// Outcome of a call that a duty made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyReply {
    /// The platform accepted it.
    Taken,
    /// The platform has no capacity for it at the moment.
    NoneThere,
    /// The platform refused it with this status.
    Refused(u16),
    /// There was no response; the call may have taken effect.
    NoAnswer,
}

/// Calls to the platform that only the holder of the duties makes.
pub trait Duties: Send + Sync {
    /// Reports the number of calls of each customer in a window.
    fn report_usage(
        &self,
        holder: Holder,
        window: Window,
        counts: Counts,
    ) -> BoxFuture<'_, DutyReply>;

    /// Orders a number of back ends for a service.
    fn order(&self, holder: Holder, service: Box<str>, order: Order) -> BoxFuture<'_, DutyReply>;
}
