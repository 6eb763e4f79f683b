//! Checks across keys and sections of the document.

use std::collections::HashMap;

use crate::core::document::{CustomerRule, Document, KeyHash, ModelRule, RankRule};
use crate::util::ini::IniSection;
use crate::util::problem::Problem;
use crate::util::schema::heading;

/// Reports dangling references, contradictory limits, duplicate API keys and missing sections.
pub(super) fn check(document: &Document, sections: &[IniSection], problems: &mut Vec<Problem>) {
    let mut checker = Checker { sections, problems };
    checker.check_ranks(&document.ranks);
    for rule in &document.models {
        checker.check_engines(rule);
    }
    for rule in &document.services {
        checker.check_rank_names(document, ("service", &rule.name), "rank", [&rule.rank]);
    }
    for rule in &document.customers {
        checker.check_customer(document, rule);
    }
    checker.check_keys(&document.customers);
    if document.customers.is_empty() {
        checker.report_missing_section("customer");
    }
}

struct Checker<'a> {
    sections: &'a [IniSection],
    problems: &'a mut Vec<Problem>,
}

/// Kind and name of a section.
type SectionName<'a> = (&'a str, &'a str);

impl Checker<'_> {
    fn check_ranks(&mut self, ranks: &[RankRule]) {
        if ranks.is_empty() {
            self.report_missing_section("rank");
        }
        for (index, rule) in ranks.iter().enumerate() {
            if usize::from(rule.level) != index {
                let remedy = format!(
                    "number the levels from 0 to {} without gaps",
                    ranks.len() - 1
                );
                let what = format!("{} leaves a gap or is used twice", rule.level);
                self.report(("rank", &rule.name), &["level"], what, &remedy);
            }
            if rule.first_token_target > rule.deadline {
                let keys = ["deadline", "first_token_target"];
                let what = "is shorter than first_token_target".into();
                self.report(
                    ("rank", &rule.name),
                    &keys,
                    what,
                    "make it at least as long",
                );
            }
        }
        let floors: u32 = ranks.iter().map(|rule| u32::from(rule.floor_percent)).sum();
        if let Some(last) = ranks.last().filter(|_| floors > 100) {
            let what = format!("the floors of all ranks come to {floors} percent");
            let remedy = "lower them to 100 percent in all";
            self.report(("rank", &last.name), &["floor_percent"], what, remedy);
        }
    }

    fn check_engines(&mut self, rule: &ModelRule) {
        if rule.min_engines > rule.max_engines {
            let what = format!("{} is more than max_engines", rule.min_engines);
            let keys = ["min_engines", "max_engines"];
            self.report(
                ("model", &rule.name),
                &keys,
                what,
                "lower it or raise max_engines",
            );
        }
    }

    fn check_customer(&mut self, document: &Document, rule: &CustomerRule) {
        let section_name = ("customer", &*rule.name);
        if rule.ranks.is_empty() {
            self.report(
                section_name,
                &["ranks"],
                "names no rank".into(),
                "name at least one rank",
            );
        }
        self.check_rank_names(document, section_name, "ranks", &rule.ranks);
    }

    fn check_rank_names<'n>(
        &mut self,
        document: &Document,
        section_name: SectionName<'_>,
        key: &str,
        names: impl IntoIterator<Item = &'n Box<str>>,
    ) {
        for name in names {
            if document.rank(name).is_none() {
                let mut known: Vec<_> = document.ranks.iter().map(|rule| &*rule.name).collect();
                known.dedup();
                let remedy = format!("add [rank {name}] or use one of: {}", known.join(", "));
                self.report(
                    section_name,
                    &[key],
                    format!("there is no rank {name}"),
                    &remedy,
                );
            }
        }
    }

    fn check_keys(&mut self, customers: &[CustomerRule]) {
        let mut customer_by_hash: HashMap<KeyHash, &str> = HashMap::new();
        for rule in customers {
            for hash in &rule.key_hashes {
                if let Some(holder) = customer_by_hash.insert(*hash, &rule.name) {
                    let what = format!("a key belongs to customer {holder} already");
                    let remedy = "give each customer keys of its own";
                    self.report(("customer", &rule.name), &["keys"], what, remedy);
                }
            }
        }
    }

    fn report_missing_section(&mut self, kind: &str) {
        self.problems.push(Problem {
            line: 0,
            section: "".into(),
            key: "".into(),
            what: format!("there is no {kind}").into(),
            remedy: format!("add a section [{kind} NAME]").into(),
        });
    }

    /// Reports a problem of the first key, unless one of the keys already has a reported problem.
    fn report(&mut self, section_name: SectionName<'_>, keys: &[&str], what: String, remedy: &str) {
        let section = heading(section_name.0, section_name.1);
        let is_reported = self
            .problems
            .iter()
            .any(|p| p.section == section && keys.contains(&&*p.key));
        if is_reported {
            return;
        }
        self.problems.push(Problem {
            line: self.line(section_name, keys[0]),
            section,
            key: keys[0].into(),
            what: what.into(),
            remedy: remedy.into(),
        });
    }

    fn line(&self, (kind, name): SectionName<'_>, key: &str) -> u32 {
        self.sections
            .iter()
            .find(|section| (&*section.kind, &*section.name) == (kind, name))
            .map_or(0, |section| {
                section.entry(key).map_or(section.line, |entry| entry.line)
            })
    }
}
