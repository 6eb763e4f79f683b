//! Operators who are signed in to this node.
//!
//! Sessions live in memory: a node keeps nothing, and signing in again on another one is harmless.

use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio::time::Instant;

use crate::operators::Operator;
use crate::util::value::Hash;

/// Longest time between two visits.
const IDLE_LIMIT: Duration = Duration::from_secs(60 * 60);
/// Longest life of a session.
const LIFETIME: Duration = Duration::from_secs(12 * 60 * 60);
/// Most sessions on a node; the oldest one ends for a new one.
const MAX_SESSIONS: usize = 256;
/// Random bytes of a token.
const TOKEN_BYTES: usize = 32;

/// An operator who is signed in.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) operator: Operator,
    /// Token that every form has to send back.
    pub(super) csrf: Box<str>,
    /// Hash of the token in the cookie.
    id: Hash,
    started: Instant,
    seen: Instant,
}

impl Session {
    /// Returns whether a form has sent the session's token back.
    pub(super) fn is_own_form(&self, csrf: &str) -> bool {
        self.csrf.as_bytes().ct_eq(csrf.as_bytes()).into()
    }

    fn is_over(&self, now: Instant) -> bool {
        now - self.seen > IDLE_LIMIT || now - self.started > LIFETIME
    }
}

/// Sessions of this node.
#[derive(Debug, Default)]
pub(super) struct Sessions(Mutex<Vec<Session>>);

impl Sessions {
    /// Begins a session. Returns the token for the cookie.
    pub(super) fn begin(&self, operator: Operator) -> String {
        let token = random_token();
        let now = Instant::now();
        let session = Session {
            operator,
            csrf: random_token().into(),
            id: Sha256::digest(token.as_bytes()).into(),
            started: now,
            seen: now,
        };
        let mut sessions = self.0.lock();
        sessions.retain(|session| !session.is_over(now));
        if sessions.len() == MAX_SESSIONS {
            sessions.remove(0);
        }
        sessions.push(session);
        token
    }

    /// Returns the session of a cookie's token.
    pub(super) fn find(&self, token: &str) -> Option<Session> {
        let id: Hash = Sha256::digest(token.as_bytes()).into();
        let now = Instant::now();
        let mut sessions = self.0.lock();
        sessions.retain(|session| !session.is_over(now));
        let session = sessions.iter_mut().find(|session| session.id == id)?;
        session.seen = now;
        Some(session.clone())
    }

    /// Ends a session.
    pub(super) fn end(&self, session: &Session) {
        self.0.lock().retain(|other| other.id != session.id);
    }
}

fn random_token() -> String {
    hex::encode(rand::rng().random::<[u8; TOKEN_BYTES]>())
}
