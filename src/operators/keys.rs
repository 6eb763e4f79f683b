//! Adds and revokes customer keys by editing and publishing the document.

use crate::core::document::CustomerRule;
use crate::core::document::edit::set_value;
use crate::operators::problem::{OperatorProblem, Result};
use crate::operators::wire::{AddKeyBody, KeysBody, PublishBody};
use crate::operators::{Operator, OperatorContext};
use crate::util::value::{Hash, format_hash, parse_hash};

/// Attempts to publish a change of keys when concurrent publishes conflict with it.
const MAX_PUBLISH_ATTEMPTS: u32 = 5;
/// Minimum length of a hash prefix that identifies a key, in hexadecimal digits.
const MIN_PREFIX_DIGITS: usize = 8;

impl OperatorContext {
    /// Returns the key hashes of a customer.
    pub(super) async fn keys(&self, customer: &str) -> Result<KeysBody> {
        let stored = self.latest_stored().await?;
        let rule = customer_of(&stored.text, customer)?;
        Ok(keys_body(&rule, stored.revision))
    }

    /// Adds a key hash to a customer.
    pub(super) async fn add_key(
        &self,
        operator: &Operator,
        customer: &str,
        body: AddKeyBody,
    ) -> Result<KeysBody> {
        let hash = parse_hash(&body.hash).ok_or_else(|| {
            OperatorProblem::invalid_call("`hash` must be sha256: and 64 hexadecimal digits")
        })?;
        let add = |rule: &mut CustomerRule| {
            if !rule.key_hashes.contains(&hash) {
                rule.key_hashes.push(hash);
            }
            Ok(())
        };
        self.change_keys(operator, customer, &body.author, add)
            .await
    }

    /// Revokes the key whose hash starts with the digits.
    pub(super) async fn revoke_key(
        &self,
        operator: &Operator,
        customer: &str,
        digits: &str,
        author: &str,
    ) -> Result<KeysBody> {
        let digits = digits.trim_start_matches("sha256:");
        if digits.len() < MIN_PREFIX_DIGITS {
            let detail = format!("name the key by at least {MIN_PREFIX_DIGITS} digits of its hash");
            return Err(OperatorProblem::invalid_call(detail));
        }
        let revoke = |rule: &mut CustomerRule| {
            let is_named = |hash: &Hash| hex::encode(hash).starts_with(digits);
            let before = rule.key_hashes.len();
            rule.key_hashes.retain(|hash| !is_named(hash));
            match before - rule.key_hashes.len() {
                0 => Err(OperatorProblem::not_found(format!(
                    "{customer} has no key whose hash starts with {digits}"
                ))),
                1 => Ok(()),
                _ => Err(OperatorProblem::invalid_call(
                    "several keys start so; give more digits",
                )),
            }
        };
        self.change_keys(operator, customer, author, revoke).await
    }

    async fn change_keys(
        &self,
        operator: &Operator,
        customer: &str,
        author: &str,
        change: impl Fn(&mut CustomerRule) -> Result<()>,
    ) -> Result<KeysBody> {
        let mut attempt = 1;
        loop {
            let stored = self.latest_stored().await?;
            let mut rule = customer_of(&stored.text, customer)?;
            change(&mut rule)?;
            let body = PublishBody {
                text: text_with_keys(&stored.text, &rule)?,
                base_revision: stored.revision,
                author: author.into(),
            };
            match self.publish(operator, body).await {
                Ok(revision) => return Ok(keys_body(&rule, revision)),
                Err(problem)
                    if problem.current_revision.is_some() && attempt < MAX_PUBLISH_ATTEMPTS =>
                {
                    attempt += 1;
                }
                Err(problem) => return Err(problem),
            }
        }
    }
}

fn customer_of(text: &str, customer: &str) -> Result<CustomerRule> {
    let document =
        OperatorContext::check(text).map_err(|problems| OperatorProblem::invalid(&problems))?;
    document
        .customer(customer)
        .cloned()
        .ok_or_else(|| OperatorProblem::not_found(format!("there is no customer {customer}")))
}

fn text_with_keys(text: &str, rule: &CustomerRule) -> Result<Box<str>> {
    let hashes: Vec<_> = rule.key_hashes.iter().map(format_hash).collect();
    let heading = format!("customer {}", rule.name);
    set_value(text, &heading, "keys", &hashes.join(", "))
        .map(Into::into)
        .ok_or_else(|| OperatorProblem::not_found(format!("there is no section [{heading}]")))
}

fn keys_body(rule: &CustomerRule, revision: u64) -> KeysBody {
    KeysBody {
        customer: rule.name.clone(),
        keys: rule
            .key_hashes
            .iter()
            .map(|hash| format_hash(hash).into())
            .collect(),
        revision,
    }
}
