//! Names of things, as type aliases.

use std::net::SocketAddr;

/// Names one process of jayhall, unique among all that ever ran: `n3-018f...`.
///
/// A restarted process gets a new name, so a name never stands for two lives of a process.
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
/// Names a plain service in the operators' document.
pub type ServiceName = Box<str>;
/// Names a rank of work in the operators' document.
pub type RankName = Box<str>;
/// Names a class of VM in the operators' document and in the cloud's price list.
pub type MachineClass = Box<str>;
/// Names an accepted request: a UUID of version 7.
pub type RequestId = Box<str>;
/// Orders ranks: 0 is the most urgent.
pub type RankLevel = u8;
/// Counts accepted versions of the operators' document, from 1.
pub type ConfigRevision = u64;
/// Counts attempts of one request, from 1. What an older attempt sends is dropped.
pub type AttemptNumber = u32;
/// Counts tokens of an answer, from 0.
pub type TokenOffset = u32;
/// Counts the nodes that took up the serving of one request, one after another.
///
/// A node yields to another that serves the same request in a later term.
pub type Term = u64;
/// Orders holders of a lease; a larger number belongs to a later holder.
pub type FencingNumber = u64;
/// Where a listener can be reached.
pub type Address = SocketAddr;
