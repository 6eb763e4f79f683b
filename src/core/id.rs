//! Type aliases of identifiers.

use std::net::SocketAddr;

/// Identifies one process of jayhall, unique over time: `n3-018f...`.
///
/// A restarted process gets a new id, so an id never stands for two incarnations of a process.
pub type NodeId = Box<str>;
/// Names a region, such as `addis`.
pub type RegionId = Box<str>;
/// Names an availability zone, such as `addis-1`.
pub type ZoneId = Box<str>;
/// Names a VM in the platform's list.
pub type VmId = Box<str>;
/// Names a customer in the operators' document.
pub type CustomerId = Box<str>;
/// Names a model in the operators' document.
pub type ModelName = Box<str>;
/// Names a service other than a model in the operators' document.
pub type ServiceName = Box<str>;
/// Names a rank of work in the operators' document.
pub type RankName = Box<str>;
/// Names a class of VM in the operators' document and in the cloud's price list.
pub type MachineClass = Box<str>;
/// Identifies an accepted request: a UUID of version 7.
pub type RequestId = Box<str>;
/// Priority of a rank; 0 is the most urgent.
pub type RankLevel = u8;
/// Revision of the operators' document, counted from 1.
pub type ConfigRevision = u64;
/// Number of an attempt of one request, counted from 1. Data from older attempts is dropped.
pub type AttemptNumber = u32;
/// Offset of a token in an answer, counted from 0.
pub type TokenOffset = u32;
/// Term of the node that serves a request; increases with every takeover by another node.
///
/// A serving node yields to a node that serves the same request in a later term.
pub type Term = u64;
/// Fencing token of a lease; a larger number belongs to a later holder.
pub type FencingNumber = u64;
/// Socket address of a listener.
pub type Address = SocketAddr;
