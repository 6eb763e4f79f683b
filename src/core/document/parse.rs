//! Parser of the operators' document.

use crate::core::document::check::check;
use crate::core::document::schema::{
    CUSTOMER, MACHINE_CLASS, MODEL, RANK, RULES, SECTIONS, SERVICE,
};
use crate::core::document::{
    CustomerRule, Document, MachineClassRule, ModelRule, RankRule, Rules, ServiceRule,
};
use crate::util::fields::Fields;
use crate::util::ini::{self, IniSection};
use crate::util::problem::{Problem, Problems};
use crate::util::schema::{SectionSpec, heading};

/// The module's result.
pub type Result<T> = std::result::Result<T, Problems>;

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the text, each with line, section, key and remedy.
    pub fn parse(text: &str) -> Result<Self> {
        let (sections, errors) = ini::parse_all(text);
        let mut problems: Vec<Problem> = errors.iter().map(Problem::from).collect();
        report_duplicates(&sections, &mut problems);
        let mut document = Self::default();
        for section in &sections {
            document.parse_section(section, &mut problems);
        }
        document.ranks.sort_by_key(|rule| rule.level);
        check(&document, &sections, &mut problems);
        if problems.is_empty() {
            return Ok(document);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(Problems(problems))
    }

    fn parse_section(&mut self, section: &IniSection, problems: &mut Vec<Problem>) {
        match &*section.kind {
            "rank" => self.ranks.push(parse_rank(section, problems)),
            "model" => self.models.push(parse_model(section, problems)),
            "service" => self.services.push(parse_service(section, problems)),
            "customer" => self.customers.push(parse_customer(section, problems)),
            "machine-class" => self
                .machine_classes
                .push(parse_machine_class(section, problems)),
            "rules" => self.rules = parse_rules(section, problems),
            _ => problems.push(unknown_section(section)),
        }
    }
}

fn parse_rank(section: &IniSection, problems: &mut Vec<Problem>) -> RankRule {
    let mut fields = Fields::open(section, &RANK, problems);
    RankRule {
        name: section.name.clone(),
        level: fields.number("level"),
        first_token_target: fields.duration("first_token_target"),
        token_interval_target: fields.duration("token_interval_target"),
        deadline: fields.duration("deadline"),
        floor_percent: fields.number("floor_percent"),
    }
}

fn parse_model(section: &IniSection, problems: &mut Vec<Problem>) -> ModelRule {
    let mut fields = Fields::open(section, &MODEL, problems);
    ModelRule {
        name: section.name.clone(),
        weights: fields.text("weights"),
        slots_per_engine: fields.number("slots_per_engine"),
        max_prompt_tokens: fields.number("max_prompt_tokens"),
        max_answer_tokens: fields.number("max_answer_tokens"),
        min_engines: fields.number("min_engines"),
        max_engines: fields.number("max_engines"),
    }
}

fn parse_service(section: &IniSection, problems: &mut Vec<Problem>) -> ServiceRule {
    let mut fields = Fields::open(section, &SERVICE, problems);
    ServiceRule {
        name: section.name.clone(),
        is_idempotent: fields.yes_no("idempotent"),
        rank: fields.name("rank"),
        timeout: fields.duration("timeout"),
        slots_per_backend: fields.number("slots_per_backend"),
    }
}

fn parse_customer(section: &IniSection, problems: &mut Vec<Problem>) -> CustomerRule {
    let mut fields = Fields::open(section, &CUSTOMER, problems);
    CustomerRule {
        name: section.name.clone(),
        key_hashes: fields.hashes("keys"),
        weight: fields.number("weight"),
        tokens_per_second: fields.number("tokens_per_second"),
        burst_tokens: fields.number("burst_tokens"),
        max_in_flight: fields.number("max_in_flight"),
        ranks: fields.names("ranks"),
    }
}

fn parse_machine_class(section: &IniSection, problems: &mut Vec<Problem>) -> MachineClassRule {
    let mut fields = Fields::open(section, &MACHINE_CLASS, problems);
    MachineClassRule {
        name: section.name.clone(),
        checks_fencing: fields.yes_no("checks_fencing"),
        accelerators: fields.number("accelerators"),
    }
}

fn parse_rules(section: &IniSection, problems: &mut Vec<Problem>) -> Rules {
    let mut fields = Fields::open(section, &RULES, problems);
    Rules {
        ledger_retention: fields.duration("ledger_retention"),
        zones: fields.names("zones"),
        retry_percent: fields.number("retry_percent"),
        region_link_megabits: fields.number("region_link_megabits"),
        directory_lifetime: fields.duration("directory_lifetime"),
    }
}

fn report_duplicates(sections: &[IniSection], problems: &mut Vec<Problem>) {
    for (index, section) in sections.iter().enumerate() {
        let first = sections[..index]
            .iter()
            .find(|earlier| (&earlier.kind, &earlier.name) == (&section.kind, &section.name));
        let Some(first) = first else { continue };
        problems.push(Problem {
            line: section.line,
            section: heading(&section.kind, &section.name),
            key: "".into(),
            what: format!("is there already in line {}", first.line).into(),
            remedy: "give it another name or merge the two".into(),
        });
    }
}

fn unknown_section(section: &IniSection) -> Problem {
    if let Some(entry) = section.entries.first().filter(|_| section.kind.is_empty()) {
        return Problem::above_headings(entry);
    }
    let known: Vec<_> = SECTIONS.iter().map(|spec| heading_example(spec)).collect();
    Problem {
        line: section.line,
        section: heading(&section.kind, &section.name),
        key: "".into(),
        what: "is not a known section".into(),
        remedy: format!("use one of: {}", known.join(", ")).into(),
    }
}

fn heading_example(spec: &SectionSpec) -> String {
    match spec.is_named {
        true => format!("[{} NAME]", spec.kind),
        false => format!("[{}]", spec.kind),
    }
}
