//! Encoding of the messages by which nodes lend allowance and charge calls against it.

use std::time::Duration;

use prost::Message;

use crate::core::gateway::precedence::Priority;
use crate::core::gateway::quota::{Charge, Lend, LendAck, Reply, Shortage, Stamp, Work};
use crate::core::time::Moment;
use crate::util::time::as_millis_u64;

/// Message of a node that lends parts of its allowance.
#[derive(Clone, PartialEq, Message)]
pub struct LendWire {
    /// Name of the lender.
    #[prost(string, tag = "1")]
    pub lender: String,
    /// Incarnation of the lender's process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of the message.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Newest stamp of the receiver.
    #[prost(message, optional, tag = "4")]
    pub echo: Option<StampWire>,
    /// Parts that are lent, by fraction.
    #[prost(message, repeated, tag = "5")]
    pub parts: Vec<PartsWire>,
}

/// Customers of whose limits the same fraction is lent.
#[derive(Clone, PartialEq, Message)]
pub struct PartsWire {
    /// The fraction.
    #[prost(double, tag = "1")]
    pub fraction: f64,
    /// The customers.
    #[prost(string, repeated, tag = "2")]
    pub customers: Vec<String>,
}

/// Reading of a holder's clock.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StampWire {
    /// Incarnation of the holder's process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Its monotonic time in microseconds.
    #[prost(uint64, tag = "2")]
    pub at_us: u64,
}

/// Acknowledgement of a [`LendWire`].
#[derive(Clone, PartialEq, Message)]
pub struct LendAckWire {
    /// Name of the holder.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Incarnation of the lender's process.
    #[prost(fixed64, tag = "2")]
    pub lender_incarnation: u64,
    /// Number of the message.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The holder's clock.
    #[prost(message, optional, tag = "4")]
    pub stamp: Option<StampWire>,
    /// Time since the holder's process started, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// Request to charge a call, or to refund it.
#[derive(Clone, PartialEq, Message)]
pub struct ChargeWire {
    /// Identifies the charge.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Units.
    #[prost(double, tag = "3")]
    pub units: f64,
    /// Whether the work of the call was charged before.
    #[prost(bool, tag = "4")]
    pub is_continued: bool,
    /// Incarnation of the process that charged the call, if the charge is to be refunded.
    #[prost(fixed64, optional, tag = "5")]
    pub refunded_by: Option<u64>,
    /// Rank among the customer's calls. Without it, the call counts as most urgent.
    #[prost(uint32, optional, tag = "6")]
    pub rank: Option<u32>,
    /// Identity of the request over its attempts.
    #[prost(fixed64, optional, tag = "7")]
    pub request: Option<u64>,
    /// Longest retry delay that is of use to the caller, in milliseconds.
    #[prost(uint64, optional, tag = "8")]
    pub max_retry_after_ms: Option<u64>,
}

/// Answer to a [`ChargeWire`].
#[derive(Clone, PartialEq, Message)]
pub struct ChargeReplyWire {
    /// Identifies the charge.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Incarnation of the holder's process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Whether the call has been charged.
    #[prost(bool, tag = "3")]
    pub is_granted: bool,
    /// Why it has not; absent if nothing is lent to the node.
    #[prost(message, optional, tag = "4")]
    pub shortage: Option<ShortageWire>,
}

/// State of the limit at the refusal of a call.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ShortageWire {
    /// Delay after which the caller may retry, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
    /// Level of the holder's bucket, in units.
    #[prost(double, tag = "2")]
    pub level: f64,
    /// Its refill rate, in units a second.
    #[prost(double, tag = "3")]
    pub rate: f64,
    /// Fraction of the limit that is lent to the holder.
    #[prost(double, tag = "4")]
    pub fraction: f64,
    /// Part of the level that is reserved for calls that go before this one, in units.
    #[prost(double, optional, tag = "5")]
    pub reserve: Option<f64>,
    /// Whether the request came back as its caller was told.
    #[prost(bool, optional, tag = "6")]
    pub is_return: Option<bool>,
}

impl From<Stamp> for StampWire {
    fn from(stamp: Stamp) -> Self {
        Self {
            incarnation: stamp.incarnation,
            at_us: u64::try_from(stamp.at.as_micros()).unwrap_or(u64::MAX),
        }
    }
}

impl From<StampWire> for Stamp {
    fn from(wire: StampWire) -> Self {
        Self {
            incarnation: wire.incarnation,
            at: Moment::from_micros(wire.at_us),
        }
    }
}

impl From<Lend> for LendWire {
    fn from(lend: Lend) -> Self {
        let mut parts: Vec<PartsWire> = Vec::new();
        for (customer, fraction) in lend.parts {
            match parts.iter_mut().find(|part| part.fraction == fraction) {
                Some(part) => part.customers.push(customer.into()),
                None => parts.push(PartsWire {
                    fraction,
                    customers: vec![customer.into()],
                }),
            }
        }
        Self {
            lender: lend.lender.into(),
            incarnation: lend.incarnation,
            number: lend.number,
            echo: lend.echo.map(Into::into),
            parts,
        }
    }
}

impl From<LendWire> for Lend {
    fn from(wire: LendWire) -> Self {
        let parts = wire.parts.into_iter().flat_map(|part| {
            let fraction = part.fraction;
            let customers = part.customers.into_iter();
            customers.map(move |customer| (customer.into(), fraction))
        });
        Self {
            parts: parts.collect(),
            lender: wire.lender.into(),
            incarnation: wire.incarnation,
            number: wire.number,
            echo: wire.echo.map(Into::into),
        }
    }
}

impl LendAckWire {
    /// Creates the message by which `holder` acknowledges.
    pub fn new(holder: &str, ack: &LendAck) -> Self {
        Self {
            holder: holder.into(),
            lender_incarnation: ack.lender_incarnation,
            number: ack.number,
            stamp: Some(ack.stamp.into()),
            age_ms: as_millis_u64(ack.age),
        }
    }

    /// Returns the acknowledgement, or `None` if it has no stamp.
    pub fn ack(&self) -> Option<LendAck> {
        Some(LendAck {
            lender_incarnation: self.lender_incarnation,
            number: self.number,
            stamp: self.stamp?.into(),
            age: Duration::from_millis(self.age_ms),
        })
    }
}

impl ChargeWire {
    /// Creates a request to charge a call.
    pub fn charge(charge: &Charge<'_>) -> Self {
        Self {
            id: charge.id,
            customer: charge.customer.into(),
            units: charge.units,
            is_continued: charge.work == Work::Continued,
            refunded_by: None,
            rank: Some(charge.priority.rank.into()),
            request: charge.priority.request,
            max_retry_after_ms: Some(as_millis_u64(charge.priority.max_retry_after)),
        }
    }

    /// Returns the charge.
    pub fn to_charge(&self) -> Charge<'_> {
        Charge {
            id: self.id,
            customer: &self.customer,
            units: self.units,
            work: match self.is_continued {
                true => Work::Continued,
                false => Work::New,
            },
            priority: self.priority(),
        }
    }

    fn priority(&self) -> Priority {
        let rank = self.rank.unwrap_or_default();
        let max_retry_after = self.max_retry_after_ms.map(Duration::from_millis);
        Priority {
            rank: u8::try_from(rank).unwrap_or(u8::MAX),
            request: self.request,
            max_retry_after: max_retry_after.unwrap_or(Duration::MAX),
        }
    }
}

impl ChargeReplyWire {
    /// Creates the answer of a holder's process to a charge.
    pub fn new(id: u64, incarnation: u64, reply: Reply) -> Self {
        Self {
            id,
            incarnation,
            is_granted: reply == Reply::Granted,
            shortage: match reply {
                Reply::Refused(shortage) => Some(shortage.into()),
                Reply::Granted | Reply::NotHolder => None,
            },
        }
    }

    /// Returns the answer.
    pub fn reply(&self) -> Reply {
        match self.shortage {
            _ if self.is_granted => Reply::Granted,
            Some(shortage) => Reply::Refused(shortage.into()),
            None => Reply::NotHolder,
        }
    }
}

impl From<Shortage> for ShortageWire {
    fn from(shortage: Shortage) -> Self {
        Self {
            retry_after_ms: as_millis_u64(shortage.retry_after),
            level: shortage.level,
            rate: shortage.rate,
            fraction: shortage.fraction,
            reserve: Some(shortage.reserve),
            is_return: Some(shortage.is_return),
        }
    }
}

impl From<ShortageWire> for Shortage {
    fn from(wire: ShortageWire) -> Self {
        Self {
            retry_after: Moment::from_millis(wire.retry_after_ms),
            level: wire.level,
            rate: wire.rate,
            fraction: wire.fraction,
            reserve: wire.reserve.unwrap_or_default(),
            is_return: wire.is_return.unwrap_or_default(),
        }
    }
}
