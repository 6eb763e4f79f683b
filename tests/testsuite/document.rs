//! The operators' document: canonical form and section-wise deltas.

use std::time::Duration;

use jayhall::core::document::sections::{ApplyError, apply, delta, digest};
use jayhall::core::document::{
    CustomerRule, Document, MachineClassRule, ModelRule, RankRule, Rules, ServiceRule, render,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn cfg() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    }
}

fn millis(max: u64) -> impl Strategy<Value = Duration> {
    (1..=max).prop_map(Duration::from_millis)
}

fn name() -> impl Strategy<Value = Box<str>> {
    "[a-z0-9][a-z0-9._-]{0,9}".prop_map(Into::into)
}

/// Appends an index to each name, so that the names are unique.
fn indexed(names: Vec<Box<str>>) -> impl Iterator<Item = Box<str>> {
    let names = names.into_iter().enumerate();
    names.map(|(index, name)| format!("{name}-{index}").into())
}

prop_compose! {
    fn ranks()(parts in vec((name(), millis(3_600_000), millis(60_000), millis(1_000_000), 0..=12u8), 1..=8))
        -> Vec<RankRule> {
        let names = indexed(parts.iter().map(|part| part.0.clone()).collect());
        names.zip(parts.iter()).enumerate().map(|(level, (name, part))| RankRule {
            name,
            level: level as u8,
            first_token_target: part.1,
            token_interval_target: part.2,
            deadline: part.1 + part.3,
            floor_percent: part.4,
        }).collect()
    }
}

prop_compose! {
    fn customers(ranks: Vec<Box<str>>)(
        parts in vec((name(), vec(any::<u64>(), 0..3), 1..1_000_000u32, 1..1_000_000_000u32, 1..=ranks.len()), 1..6),
        ranks in Just(ranks),
    ) -> Vec<CustomerRule> {
        let names = indexed(parts.iter().map(|part| part.0.clone()).collect());
        names.zip(parts.iter()).enumerate().map(|(index, (name, part))| CustomerRule {
            name,
            key_hashes: (0..part.1.len()).map(|key| digest(&format!("{index} {key}"))).collect(),
            weight: part.2,
            tokens_per_second: part.3,
            burst_tokens: part.3,
            max_in_flight: part.2,
            ranks: ranks[..part.4].iter().cloned().collect(),
        }).collect()
    }
}

prop_compose! {
    fn document()(ranks in ranks())(
        customers in customers(ranks.iter().map(|rule| rule.name.clone()).collect()),
        models in vec((name(), 1..100u16, 0..50u16), 0..4),
        services in vec((name(), any::<bool>(), millis(3_600_000)), 0..4),
        classes in vec((name(), any::<bool>(), 0..9u16), 0..3),
        zones in vec(name(), 0..4),
        retention in 60_000..1_000_000_000u64,
        ranks in Just(ranks),
    ) -> Document {
        let model_names = indexed(models.iter().map(|part| part.0.clone()).collect());
        let service_names = indexed(services.iter().map(|part| part.0.clone()).collect());
        let class_names = indexed(classes.iter().map(|part| part.0.clone()).collect());
        Document {
            models: model_names.zip(&models).map(|(name, part)| ModelRule {
                weights: name.clone(),
                name,
                slots_per_engine: part.1,
                max_prompt_tokens: u32::from(part.1) * 100,
                max_answer_tokens: u32::from(part.1),
                min_engines: part.2,
                max_engines: part.2 + 1,
            }).collect(),
            services: service_names.zip(&services).map(|(name, part)| ServiceRule {
                name,
                is_idempotent: part.1,
                rank: ranks[0].name.clone(),
                timeout: part.2,
                slots_per_backend: 4,
            }).collect(),
            machine_classes: class_names.zip(&classes).map(|(name, part)| MachineClassRule {
                name,
                checks_fencing: part.1,
                accelerators: part.2,
            }).collect(),
            rules: Rules {
                ledger_retention: Duration::from_millis(retention),
                zones: indexed(zones).collect(),
                ..Rules::default()
            },
            ranks,
            customers,
        }
    }
}

proptest! {
    #![proptest_config(cfg())]

    #[test]
    fn the_canonical_form_round_trips(document in document()) {
        let text = render(&document);
        let parsed = Document::parse(&text);
        prop_assert!(parsed.is_ok(), "{}\n{text}", parsed.unwrap_err());
        prop_assert_eq!(parsed.unwrap(), document);
    }

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in "(\\[|\\]|=|;|#|\n|rank|level| |,|[a-z0-9é]){0,60}") {
        let _ = Document::parse(&text);
    }

    #[test]
    fn a_delta_between_documents_gives_the_new_text(old in document(), new in document()) {
        let (old, new) = (render(&old), render(&new));
        if let Some(changes) = delta(&old, &new) {
            prop_assert_eq!(apply(&old, &changes, &digest(&new)).unwrap(), new);
        }
    }

    #[test]
    fn a_delta_between_arbitrary_texts_gives_the_new_text(old in "(\\[a\\]\n|\\[b\\]\n|\\[a c\\]\n|x=1\n|\n|y){0,8}", new in "(\\[a\\]\n|\\[b\\]\n|\\[a c\\]\n|x=1\n|\n|y){0,8}") {
        if let Some(changes) = delta(&old, &new) {
            prop_assert_eq!(apply(&old, &changes, &digest(&new)).unwrap(), new);
        }
    }
}

const BASE_TEXT: &str = "[a one]\nx = 1\n\n[a two]\nx = 2\n\n[b]\ny = 1\n\n";

#[test]
fn a_delta_has_only_the_changed_section() {
    let new = BASE_TEXT.replace("x = 2", "x = 3");
    let changes = delta(BASE_TEXT, &new).unwrap();
    assert_eq!(changes.len(), 1);
    assert_eq!(&*changes[0].heading, "a two");
    assert_eq!(changes[0].text.as_deref(), Some("[a two]\nx = 3\n\n"));
}

#[test]
fn a_new_section_is_inserted_after_the_last_of_its_kind() {
    let new = BASE_TEXT.replace("[b]", "[a three]\nx = 3\n\n[b]");
    let changes = delta(BASE_TEXT, &new).unwrap();
    assert_eq!(changes.len(), 1);
    assert_eq!(apply(BASE_TEXT, &changes, &digest(&new)).unwrap(), new);
}

#[test]
fn a_delta_for_another_base_is_rejected() {
    let new = BASE_TEXT.replace("x = 2", "x = 3");
    let changes = delta(BASE_TEXT, &new).unwrap();
    let other = BASE_TEXT.replace("y = 1", "y = 2");
    assert_eq!(
        apply(&other, &changes, &digest(&new)),
        Err(ApplyError::Digest)
    );
}

#[test]
fn reordered_sections_have_no_delta() {
    let new = "[b]\ny = 1\n\n[a one]\nx = 1\n\n[a two]\nx = 2\n\n";
    assert_eq!(delta(BASE_TEXT, new), None);
}
