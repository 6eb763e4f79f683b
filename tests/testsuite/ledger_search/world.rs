//! Model of two shard owners, a store and a service, with a state space small enough for an
//! exhaustive search.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jayhall::core::ledger::{
    Arrival, BodyDigest, CommitResult, EntryKey, IdempotencyKey, NextStoreCall, Outcome, Refusal,
    Settlement, Shard, Snapshot, Step,
};
use jayhall::core::verdict::Verdict;

use super::store_model::{Call, CommitModel, StoreModel};

const NOW: u64 = 1_700_000_000_000;
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Limits of the numbers of events, and switches for the mechanisms under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Bounds {
    pub(super) keys: u8,
    pub(super) requests: u8,
    pub(super) store_faults: u8,
    pub(super) crashes: u8,
    pub(super) compare_and_swap: bool,
    pub(super) unique_writer_names: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    RanTwice,
    RanAfterNotRun,
    NotRunAfterRun,
    ReplayWithoutRun,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    key: EntryKey,
    number: u32,
    is_sent: bool,
}

#[derive(Clone, Debug, Hash)]
struct Owner {
    shard: Shard,
    call: Call,
    attempts: Vec<Attempt>,
    /// Waiting requests, by key.
    waiting: BTreeMap<EntryKey, BTreeSet<u8>>,
}

#[derive(Clone, Debug, Hash)]
pub(super) struct World {
    bounds: Bounds,
    initial_requests: u8,
    incarnations: u8,
    store: StoreModel,
    owners: [Owner; 2],
    /// Writes without a reply, after a timeout or a crash of the owner, that may still take effect.
    delayed_writes: Vec<CommitModel>,
    effects: BTreeMap<EntryKey, u8>,
    reported_not_run: BTreeSet<u8>,
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    Arrive(usize, u8),
    StartCall(usize),
    Execute(usize),
    FailCall(usize),
    DelayWrite(usize),
    LoseReply(usize),
    Deliver(usize),
    ApplyDelayedWrite(usize),
    Cancel(usize, EntryKey),
    Send(usize, usize),
    Finish(usize, usize, Settlement),
    Crash(usize),
}

type Checked = Result<(), Violation>;

fn key(number: u8) -> EntryKey {
    EntryKey {
        customer: "bekele".into(),
        key: IdempotencyKey::issue(NOW, &[number; 10]),
    }
}

fn outcome() -> Outcome {
    Outcome {
        status: 200,
        content_type: "".into(),
        body: None,
    }
}

impl Owner {
    fn new(name: &str) -> Self {
        Self {
            shard: Shard::new(name.into()),
            call: Call::None,
            attempts: Vec::new(),
            waiting: BTreeMap::new(),
        }
    }
}

impl World {
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            initial_requests: bounds.requests,
            incarnations: 2,
            store: StoreModel::default(),
            owners: [Owner::new("n0"), Owner::new("n1")],
            delayed_writes: Vec::new(),
            effects: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
        }
    }

    /// Returns all possible next events.
    pub(super) fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = (0..self.delayed_writes.len())
            .map(Event::ApplyDelayedWrite)
            .collect();
        for (at, owner) in self.owners.iter().enumerate() {
            self.add_store_events(at, owner, &mut events);
            self.add_call_events(at, owner, &mut events);
        }
        events
    }

    fn add_store_events(&self, at: usize, owner: &Owner, events: &mut Vec<Event>) {
        let may_fail = self.bounds.store_faults > 0;
        match &owner.call {
            Call::None => events.push(Event::StartCall(at)),
            Call::Load(_) => {
                events.push(Event::Execute(at));
                if may_fail {
                    events.push(Event::FailCall(at));
                }
            }
            Call::Commit(_) => {
                events.push(Event::Execute(at));
                if may_fail {
                    events.extend([
                        Event::FailCall(at),
                        Event::DelayWrite(at),
                        Event::LoseReply(at),
                    ]);
                }
            }
            Call::Loaded(..) | Call::LoadFailed | Call::Committed(_) => {
                events.push(Event::Deliver(at));
            }
        }
    }

    fn add_call_events(&self, at: usize, owner: &Owner, events: &mut Vec<Event>) {
        // The owners are symmetric, so it suffices to send the first request to the first owner.
        let is_first = self.bounds.requests == self.initial_requests;
        if self.bounds.requests > 0 && (at == 0 || !is_first) {
            events.extend((0..self.bounds.keys).map(|number| Event::Arrive(at, number)));
        }
        if self.bounds.crashes > 0 {
            events.push(Event::Crash(at));
        }
        let waiting = owner.waiting.keys().cloned();
        events.extend(waiting.map(|key| Event::Cancel(at, key)));
        for (index, attempt) in owner.attempts.iter().enumerate() {
            if attempt.is_sent {
                let ends = [Settlement::Answered(outcome()), Settlement::MayHaveRun];
                events.extend(ends.map(|end| Event::Finish(at, index, end)));
            } else {
                events.push(Event::Send(at, index));
                events.push(Event::Finish(at, index, Settlement::NotRun));
            }
        }
    }

    pub(super) fn apply(&mut self, event: &Event) -> Checked {
        match event {
            Event::Arrive(at, number) => self.arrive(*at, key(*number)),
            Event::StartCall(at) => self.start_call(*at),
            Event::Execute(at) => self.execute(*at),
            Event::FailCall(at) => self.fail(*at, CommitResult::NotApplied),
            Event::DelayWrite(at) => self.delay_write(*at),
            Event::LoseReply(at) => {
                self.execute(*at)?;
                self.fail(*at, CommitResult::Unknown)
            }
            Event::Deliver(at) => self.deliver(*at),
            Event::ApplyDelayedWrite(index) => {
                let commit = self.delayed_writes.remove(*index);
                self.store.write(&commit, self.bounds.compare_and_swap);
                Ok(())
            }
            Event::Cancel(at, key) => self.cancel(*at, key),
            Event::Send(at, index) => self.send(*at, *index),
            Event::Finish(at, index, end) => self.finish(*at, *index, end),
            Event::Crash(at) => self.crash(*at),
        }
    }

    fn arrive(&mut self, at: usize, key: EntryKey) -> Checked {
        self.bounds.requests -= 1;
        let request = self.bounds.requests;
        let digest = BodyDigest([7; 16]);
        match self.owners[at].shard.arrive(NOW, RETENTION, &key, digest) {
            Arrival::Queued | Arrival::Joined => {
                self.owners[at]
                    .waiting
                    .entry(key)
                    .or_default()
                    .insert(request);
                Ok(())
            }
            Arrival::Replay(_) => self.check_replay(&key),
            Arrival::Refused(refusal) => {
                self.check_refusal(&key, &BTreeSet::from([request]), &refusal)
            }
        }
    }

    fn start_call(&mut self, at: usize) -> Checked {
        self.owners[at].call = match self.owners[at].shard.next(NOW, RETENTION) {
            NextStoreCall::Idle | NextStoreCall::Wait => Call::None,
            NextStoreCall::Load(epochs) => Call::Load(epochs),
            NextStoreCall::Commit(commit) => Call::Commit(Box::new(commit.into())),
        };
        Ok(())
    }

    fn execute(&mut self, at: usize) -> Checked {
        let call = std::mem::replace(&mut self.owners[at].call, Call::None);
        self.owners[at].call = match call {
            Call::Load(epochs) => self.store.read(&epochs),
            Call::Commit(commit) => {
                Call::Committed(self.store.write(&commit, self.bounds.compare_and_swap))
            }
            other => other,
        };
        Ok(())
    }

    fn fail(&mut self, at: usize, result: CommitResult) -> Checked {
        self.bounds.store_faults -= 1;
        self.owners[at].call = match self.owners[at].call {
            Call::Load(_) => Call::LoadFailed,
            _ => Call::Committed(result),
        };
        Ok(())
    }

    fn delay_write(&mut self, at: usize) -> Checked {
        if let Call::Commit(commit) = &self.owners[at].call {
            self.delayed_writes.push((**commit).clone());
        }
        self.fail(at, CommitResult::Unknown)
    }

    fn deliver(&mut self, at: usize) -> Checked {
        let owner = &mut self.owners[at];
        let steps = match std::mem::replace(&mut owner.call, Call::None) {
            Call::Loaded(revision, head, pages) => owner.shard.handle_load(
                NOW,
                Snapshot {
                    revision,
                    head,
                    pages,
                },
            ),
            Call::LoadFailed => owner.shard.handle_load_failure(),
            Call::Committed(result) => owner.shard.handle_commit(NOW, result),
            Call::None | Call::Load(_) | Call::Commit(_) => Vec::new(),
        };
        steps
            .into_iter()
            .try_for_each(|step| self.apply_step(at, step))
    }

    fn apply_step(&mut self, at: usize, step: Step) -> Checked {
        match step {
            Step::Dispatch(key, number) => {
                self.owners[at].attempts.push(Attempt {
                    key,
                    number,
                    is_sent: false,
                });
                Ok(())
            }
            Step::Replay(key, _) => {
                self.owners[at].waiting.remove(&key);
                self.check_replay(&key)
            }
            Step::Refuse(key, refusal) => {
                let requests = self.owners[at].waiting.remove(&key).unwrap_or_default();
                self.check_refusal(&key, &requests, &refusal)
            }
        }
    }

    /// Cancels a call whose timeout ends before it is dispatched.
    fn cancel(&mut self, at: usize, key: &EntryKey) -> Checked {
        if !self.owners[at].shard.cancel(key) {
            return Ok(());
        }
        let requests = self.owners[at].waiting.remove(key).unwrap_or_default();
        self.check_refusal(key, &requests, &Refusal::NotDispatched)
    }

    fn send(&mut self, at: usize, index: usize) -> Checked {
        let attempt = &mut self.owners[at].attempts[index];
        attempt.is_sent = true;
        let key = attempt.key.clone();
        let effects = self.effects.entry(key.clone()).or_default();
        *effects += 1;
        if *effects > 1 {
            return Err(Violation::RanTwice);
        }
        let requests = self.owners[at].waiting.get(&key);
        match requests.is_some_and(|requests| !requests.is_disjoint(&self.reported_not_run)) {
            true => Err(Violation::RanAfterNotRun),
            false => Ok(()),
        }
    }

    fn finish(&mut self, at: usize, index: usize, end: &Settlement) -> Checked {
        let owner = &mut self.owners[at];
        let attempt = owner.attempts.remove(index);
        owner
            .shard
            .finish(&attempt.key, attempt.number, end.clone());
        let requests = owner.waiting.remove(&attempt.key).unwrap_or_default();
        if *end != Settlement::NotRun {
            return Ok(());
        }
        self.reported_not_run.extend(requests);
        Ok(())
    }

    fn crash(&mut self, at: usize) -> Checked {
        self.bounds.crashes -= 1;
        let name = match self.bounds.unique_writer_names {
            true => self.incarnations as usize,
            false => at,
        };
        self.incarnations += 1;
        let old = std::mem::replace(&mut self.owners[at], Owner::new(&format!("n{name}")));
        if let Call::Commit(commit) = old.call {
            self.delayed_writes.push(*commit);
        }
        Ok(())
    }

    fn check_replay(&self, key: &EntryKey) -> Checked {
        match self.effects.get(key) {
            Some(_) => Ok(()),
            None => Err(Violation::ReplayWithoutRun),
        }
    }

    /// Checks that a call that is refused as not run does not run: no owner may have a dispatched
    /// attempt of the key for one of the refused requests.
    fn check_refusal(
        &mut self,
        key: &EntryKey,
        requests: &BTreeSet<u8>,
        refusal: &Refusal,
    ) -> Checked {
        if refusal.verdict() != Verdict::NotRun {
            return Ok(());
        }
        self.reported_not_run.extend(requests);
        let may_still_run = |owner: &Owner| {
            let waits = owner
                .waiting
                .get(key)
                .is_some_and(|w| !w.is_disjoint(requests));
            waits && owner.attempts.iter().any(|a| a.key == *key)
        };
        match self.owners.iter().any(may_still_run) {
            true => Err(Violation::NotRunAfterRun),
            false => Ok(()),
        }
    }
}
