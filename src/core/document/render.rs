//! Canonical text form of the operators' document.

use std::fmt::{self, Write};

use crate::core::document::{
    CustomerRule, Document, MachineClassRule, ModelRule, RankRule, Rules, ServiceRule,
};
use crate::util::value::{format_duration, format_hash, format_yes_no};

/// Returns the canonical text form: all keys, sections in fixed order, and a blank line after each
/// section, so that a new section does not change the text of any other.
pub fn render(document: &Document) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_document(&mut text, document);
    text
}

fn write_document(f: &mut String, document: &Document) -> fmt::Result {
    write_rules(f, &document.rules)?;
    writeln!(f)?;
    for rule in &document.ranks {
        write_rank(f, rule)?;
        writeln!(f)?;
    }
    for rule in &document.models {
        write_model(f, rule)?;
        writeln!(f)?;
    }
    for rule in &document.services {
        write_service(f, rule)?;
        writeln!(f)?;
    }
    for rule in &document.machine_classes {
        write_machine_class(f, rule)?;
        writeln!(f)?;
    }
    for rule in &document.customers {
        write_customer(f, rule)?;
        writeln!(f)?;
    }
    Ok(())
}

fn write_rules(f: &mut String, rules: &Rules) -> fmt::Result {
    writeln!(f, "[rules]")?;
    writeln!(
        f,
        "ledger_retention = {}",
        format_duration(rules.ledger_retention)
    )?;
    writeln!(f, "zones = {}", rules.zones.join(", "))?;
    writeln!(f, "retry_percent = {}", rules.retry_percent)?;
    writeln!(f, "region_link_megabits = {}", rules.region_link_megabits)?;
    writeln!(
        f,
        "directory_lifetime = {}",
        format_duration(rules.directory_lifetime)
    )
}

fn write_rank(f: &mut String, rule: &RankRule) -> fmt::Result {
    writeln!(f, "[rank {}]", rule.name)?;
    writeln!(f, "level = {}", rule.level)?;
    writeln!(
        f,
        "first_token_target = {}",
        format_duration(rule.first_token_target)
    )?;
    writeln!(
        f,
        "token_interval_target = {}",
        format_duration(rule.token_interval_target)
    )?;
    writeln!(f, "deadline = {}", format_duration(rule.deadline))?;
    writeln!(f, "floor_percent = {}", rule.floor_percent)
}

fn write_model(f: &mut String, rule: &ModelRule) -> fmt::Result {
    writeln!(f, "[model {}]", rule.name)?;
    writeln!(f, "weights = {}", rule.weights)?;
    writeln!(f, "slots_per_engine = {}", rule.slots_per_engine)?;
    writeln!(f, "max_prompt_tokens = {}", rule.max_prompt_tokens)?;
    writeln!(f, "max_answer_tokens = {}", rule.max_answer_tokens)?;
    writeln!(f, "min_engines = {}", rule.min_engines)?;
    writeln!(f, "max_engines = {}", rule.max_engines)
}

fn write_service(f: &mut String, rule: &ServiceRule) -> fmt::Result {
    writeln!(f, "[service {}]", rule.name)?;
    writeln!(f, "idempotent = {}", format_yes_no(rule.is_idempotent))?;
    writeln!(f, "rank = {}", rule.rank)?;
    writeln!(f, "timeout = {}", format_duration(rule.timeout))?;
    writeln!(f, "slots_per_backend = {}", rule.slots_per_backend)
}

fn write_machine_class(f: &mut String, rule: &MachineClassRule) -> fmt::Result {
    writeln!(f, "[machine-class {}]", rule.name)?;
    writeln!(f, "checks_fencing = {}", format_yes_no(rule.checks_fencing))?;
    writeln!(f, "accelerators = {}", rule.accelerators)
}

fn write_customer(f: &mut String, rule: &CustomerRule) -> fmt::Result {
    let keys: Vec<_> = rule.key_hashes.iter().map(format_hash).collect();
    writeln!(f, "[customer {}]", rule.name)?;
    writeln!(f, "keys = {}", keys.join(", "))?;
    writeln!(f, "weight = {}", rule.weight)?;
    writeln!(f, "tokens_per_second = {}", rule.tokens_per_second)?;
    writeln!(f, "burst_tokens = {}", rule.burst_tokens)?;
    writeln!(f, "max_in_flight = {}", rule.max_in_flight)?;
    writeln!(f, "ranks = {}", rule.ranks.join(", "))
}
