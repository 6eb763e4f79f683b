//! Console sessions of this node.
//!
//! Sessions are kept in memory only: nodes persist no state, and an operator can simply sign in again on
//! another node.

use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio::time::Instant;

use crate::operators::Operator;
use crate::util::value::Hash;

/// Time without a request after which a session expires.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60 * 60);
/// Maximum lifetime of a session.
const MAX_LIFETIME: Duration = Duration::from_secs(12 * 60 * 60);
/// Maximum number of sessions on a node; a new session evicts the oldest.
const MAX_SESSIONS: usize = 256;
/// Length of a random token, in bytes.
const TOKEN_BYTES: usize = 32;

/// Session of a signed-in operator.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) operator: Operator,
    /// CSRF token that every form must submit.
    pub(super) csrf: Box<str>,
    /// SHA-256 of the session token in the cookie.
    id: Hash,
    started: Instant,
    last_seen: Instant,
}

impl Session {
    /// Returns whether a form submitted the CSRF token of this session.
    pub(super) fn matches_csrf(&self, csrf: &str) -> bool {
        self.csrf.as_bytes().ct_eq(csrf.as_bytes()).into()
    }

    fn is_expired(&self, now: Instant) -> bool {
        now - self.last_seen > IDLE_TIMEOUT || now - self.started > MAX_LIFETIME
    }
}

/// Sessions of this node.
#[derive(Debug, Default)]
pub(super) struct Sessions(Mutex<Vec<Session>>);

impl Sessions {
    /// Creates a session and returns the token for its cookie.
    pub(super) fn begin(&self, operator: Operator) -> String {
        let token = random_token();
        let now = Instant::now();
        let session = Session {
            operator,
            csrf: random_token().into(),
            id: Sha256::digest(token.as_bytes()).into(),
            started: now,
            last_seen: now,
        };
        let mut sessions = self.0.lock();
        sessions.retain(|session| !session.is_expired(now));
        if sessions.len() == MAX_SESSIONS {
            sessions.remove(0);
        }
        sessions.push(session);
        token
    }

    /// Returns the unexpired session of a token and resets its idle timeout.
    pub(super) fn find(&self, token: &str) -> Option<Session> {
        let id: Hash = Sha256::digest(token.as_bytes()).into();
        let now = Instant::now();
        let mut sessions = self.0.lock();
        sessions.retain(|session| !session.is_expired(now));
        let session = sessions.iter_mut().find(|session| session.id == id)?;
        session.last_seen = now;
        Some(session.clone())
    }

    /// Removes a session.
    pub(super) fn end(&self, session: &Session) {
        self.0.lock().retain(|other| other.id != session.id);
    }
}

fn random_token() -> String {
    hex::encode(rand::rng().random::<[u8; TOKEN_BYTES]>())
}
