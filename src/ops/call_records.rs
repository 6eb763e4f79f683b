//! Decision records of calls to plain services, kept by the node that received them.

use std::collections::{HashMap, VecDeque};

use parking_lot::Mutex;

use crate::core::explain::{Decision, Record, RecordEntry};
use crate::core::id::{CustomerId, RequestId};
use crate::util::time::unix_now;

/// Limit of calls whose records a node keeps; the oldest are dropped first.
const MAX_CALLS: usize = 10_000;

/// Decision records of calls to plain services.
#[derive(Debug, Default)]
pub struct CallRecords {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    by_id: HashMap<RequestId, CallRecord>,
    by_age: VecDeque<RequestId>,
}

#[derive(Debug)]
struct CallRecord {
    customer: CustomerId,
    record: Record,
}

impl CallRecords {
    /// Creates the record of a call with its first decision.
    pub fn begin(&self, id: &RequestId, customer: &CustomerId, first: Decision) {
        let mut state = self.state.lock();
        if state.by_age.len() >= MAX_CALLS
            && let Some(oldest) = state.by_age.pop_front()
        {
            state.by_id.remove(&oldest);
        }
        let record = CallRecord {
            customer: customer.clone(),
            record: Record::default(),
        };
        state.by_id.insert(id.clone(), record);
        state.by_age.push_back(id.clone());
        drop(state);
        self.note(id, first);
    }

    /// Adds a decision to the record of a call.
    pub fn note(&self, id: &str, decision: Decision) {
        let at = unix_now();
        if let Some(call) = self.state.lock().by_id.get_mut(id) {
            call.record.push(RecordEntry { at, decision });
        }
    }

    /// Returns the record of a call, of any customer where `customer` is `None` (for operators).
    pub fn get(&self, id: &str, customer: Option<&str>) -> Option<Record> {
        let state = self.state.lock();
        let call = state.by_id.get(id)?;
        let is_allowed = customer.is_none_or(|customer| customer == &*call.customer);
        is_allowed.then(|| call.record.clone())
    }
}
