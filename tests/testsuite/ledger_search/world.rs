//! Two owners, a store and a service, small enough to visit every state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jayhall::core::ledger::{
    Arrival, BodyDigest, CommitResult, EntryKey, IdempotencyKey, Next, Outcome, Refusal,
    Settlement, Shard, Snapshot, Step,
};
use jayhall::core::verdict::Verdict;

use super::store_model::{Call, CommitModel, StoreModel};

const NOW: u64 = 1_700_000_000_000;
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// What may happen, and which mechanisms are in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Bounds {
    pub(super) keys: u8,
    pub(super) asks: u8,
    pub(super) store_faults: u8,
    pub(super) crashes: u8,
    pub(super) compares: bool,
    pub(super) names_each_life: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    RanTwice,
    RanAfterNotRun,
    NotRunAfterRun,
    ReplayOfNothing,
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
    /// Asks that wait, by key.
    waiting: BTreeMap<EntryKey, BTreeSet<u8>>,
}

#[derive(Clone, Debug, Hash)]
pub(super) struct World {
    bounds: Bounds,
    first_ask: u8,
    lives: u8,
    store: StoreModel,
    owners: [Owner; 2],
    /// Writes that were given up on and may still take effect.
    late: Vec<CommitModel>,
    effects: BTreeMap<EntryKey, u8>,
    told_not_run: BTreeSet<u8>,
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    Ask(usize, u8),
    Begin(usize),
    Serve(usize),
    FailBefore(usize),
    LoseBefore(usize),
    LoseAfter(usize),
    Deliver(usize),
    LateWrite(usize),
    Withdraw(usize, EntryKey),
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
            first_ask: bounds.asks,
            lives: 2,
            store: StoreModel::default(),
            owners: [Owner::new("n0"), Owner::new("n1")],
            late: Vec::new(),
            effects: BTreeMap::new(),
            told_not_run: BTreeSet::new(),
        }
    }

    /// Returns all that may happen next.
    pub(super) fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = (0..self.late.len()).map(Event::LateWrite).collect();
        for (at, owner) in self.owners.iter().enumerate() {
            self.add_store_events(at, owner, &mut events);
            self.add_call_events(at, owner, &mut events);
        }
        events
    }

    fn add_store_events(&self, at: usize, owner: &Owner, events: &mut Vec<Event>) {
        let may_fail = self.bounds.store_faults > 0;
        match &owner.call {
            Call::None => events.push(Event::Begin(at)),
            Call::Load(_) => {
                events.push(Event::Serve(at));
                if may_fail {
                    events.push(Event::FailBefore(at));
                }
            }
            Call::Commit(_) => {
                events.push(Event::Serve(at));
                if may_fail {
                    events.extend([
                        Event::FailBefore(at),
                        Event::LoseBefore(at),
                        Event::LoseAfter(at),
                    ]);
                }
            }
            Call::Loaded(..) | Call::LoadFailed | Call::Committed(_) => {
                events.push(Event::Deliver(at));
            }
        }
    }

    fn add_call_events(&self, at: usize, owner: &Owner, events: &mut Vec<Event>) {
        // The owners are alike, so that the first ask may always go to the first one.
        let is_first = self.bounds.asks == self.first_ask;
        if self.bounds.asks > 0 && (at == 0 || !is_first) {
            events.extend((0..self.bounds.keys).map(|number| Event::Ask(at, number)));
        }
        if self.bounds.crashes > 0 {
            events.push(Event::Crash(at));
        }
        let waiting = owner.waiting.keys().cloned();
        events.extend(waiting.map(|key| Event::Withdraw(at, key)));
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
            Event::Ask(at, number) => self.ask(*at, key(*number)),
            Event::Begin(at) => self.begin(*at),
            Event::Serve(at) => self.serve(*at),
            Event::FailBefore(at) => self.fail(*at, CommitResult::NotApplied),
            Event::LoseBefore(at) => self.lose_before(*at),
            Event::LoseAfter(at) => {
                self.serve(*at)?;
                self.fail(*at, CommitResult::Unknown)
            }
            Event::Deliver(at) => self.deliver(*at),
            Event::LateWrite(index) => {
                let commit = self.late.remove(*index);
                self.store.write(&commit, self.bounds.compares);
                Ok(())
            }
            Event::Withdraw(at, key) => self.withdraw(*at, key),
            Event::Send(at, index) => self.send(*at, *index),
            Event::Finish(at, index, end) => self.finish(*at, *index, end),
            Event::Crash(at) => self.crash(*at),
        }
    }

    fn ask(&mut self, at: usize, key: EntryKey) -> Checked {
        self.bounds.asks -= 1;
        let ask = self.bounds.asks;
        let digest = BodyDigest([7; 16]);
        match self.owners[at].shard.arrive(NOW, RETENTION, &key, digest) {
            Arrival::Queued | Arrival::Joined => {
                self.owners[at].waiting.entry(key).or_default().insert(ask);
                Ok(())
            }
            Arrival::Replay(_) => self.told_ran(&key),
            Arrival::Refused(refusal) => self.told_refusal(&key, &BTreeSet::from([ask]), &refusal),
        }
    }

    fn begin(&mut self, at: usize) -> Checked {
        self.owners[at].call = match self.owners[at].shard.next(NOW, RETENTION) {
            Next::Idle | Next::Wait => Call::None,
            Next::Load(epochs) => Call::Load(epochs),
            Next::Commit(commit) => Call::Commit(Box::new(commit.into())),
        };
        Ok(())
    }

    fn serve(&mut self, at: usize) -> Checked {
        let call = std::mem::replace(&mut self.owners[at].call, Call::None);
        self.owners[at].call = match call {
            Call::Load(epochs) => self.store.read(&epochs),
            Call::Commit(commit) => {
                Call::Committed(self.store.write(&commit, self.bounds.compares))
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

    fn lose_before(&mut self, at: usize) -> Checked {
        if let Call::Commit(commit) = &self.owners[at].call {
            self.late.push((**commit).clone());
        }
        self.fail(at, CommitResult::Unknown)
    }

    fn deliver(&mut self, at: usize) -> Checked {
        let owner = &mut self.owners[at];
        let steps = match std::mem::replace(&mut owner.call, Call::None) {
            Call::Loaded(revision, head, pages) => owner.shard.loaded(
                NOW,
                Snapshot {
                    revision,
                    head,
                    pages,
                },
            ),
            Call::LoadFailed => owner.shard.load_failed(),
            Call::Committed(result) => owner.shard.committed(NOW, result),
            Call::None | Call::Load(_) | Call::Commit(_) => Vec::new(),
        };
        steps.into_iter().try_for_each(|step| self.take(at, step))
    }

    fn take(&mut self, at: usize, step: Step) -> Checked {
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
                self.told_ran(&key)
            }
            Step::Refuse(key, refusal) => {
                let asks = self.owners[at].waiting.remove(&key).unwrap_or_default();
                self.told_refusal(&key, &asks, &refusal)
            }
        }
    }

    /// A call whose time is over before it is dispatched.
    fn withdraw(&mut self, at: usize, key: &EntryKey) -> Checked {
        if !self.owners[at].shard.withdraw(key) {
            return Ok(());
        }
        let asks = self.owners[at].waiting.remove(key).unwrap_or_default();
        self.told_refusal(key, &asks, &Refusal::NotDispatched)
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
        let asks = self.owners[at].waiting.get(&key);
        match asks.is_some_and(|asks| !asks.is_disjoint(&self.told_not_run)) {
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
        let asks = owner.waiting.remove(&attempt.key).unwrap_or_default();
        if *end != Settlement::NotRun {
            return Ok(());
        }
        self.told_not_run.extend(asks);
        Ok(())
    }

    fn crash(&mut self, at: usize) -> Checked {
        self.bounds.crashes -= 1;
        let name = match self.bounds.names_each_life {
            true => self.lives as usize,
            false => at,
        };
        self.lives += 1;
        let old = std::mem::replace(&mut self.owners[at], Owner::new(&format!("n{name}")));
        if let Call::Commit(commit) = old.call {
            self.late.push(*commit);
        }
        Ok(())
    }

    fn told_ran(&self, key: &EntryKey) -> Checked {
        match self.effects.get(key) {
            Some(_) => Ok(()),
            None => Err(Violation::ReplayOfNothing),
        }
    }

    /// A refusal as not run must hold for the asks that it answers: none of them is or will be what
    /// an attempt of this owner was dispatched for.
    fn told_refusal(&mut self, key: &EntryKey, asks: &BTreeSet<u8>, refusal: &Refusal) -> Checked {
        if refusal.verdict() != Verdict::NotRun {
            return Ok(());
        }
        self.told_not_run.extend(asks);
        let is_at_it = |owner: &Owner| {
            let waits = owner.waiting.get(key).is_some_and(|w| !w.is_disjoint(asks));
            waits && owner.attempts.iter().any(|a| a.key == *key)
        };
        match self.owners.iter().any(is_at_it) {
            true => Err(Violation::NotRunAfterRun),
            false => Ok(()),
        }
    }
}
