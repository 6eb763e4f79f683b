//! Event queue of a discrete-event simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use jayhall::core::time::Moment;

/// Future events in time order. Events with the same time are returned in insertion order.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<Entry<E>>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: (Moment, u64),
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Moment, event: E) {
        let at = (at, self.next_sequence);
        self.next_sequence += 1;
        self.events.push(Reverse(Entry { at, event }));
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(Moment, E)> {
        let Reverse(entry) = self.events.pop()?;
        Some((entry.at.0, entry.event))
    }
}
