//! `jayhall check`

use jayhall::core::document::Document;
use serde_json::json;

use super::{print_body, read_file};
use crate::failure::Failure;
use crate::options::CommandLine;

pub(super) fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [path] = command_line.arguments()?;
    if command_line.text_option("in-force").is_some() {
        return Err(Failure::usage("--in-force needs --gateway"));
    }
    let document = parse_document(path, &read_file(path)?)?;
    let body = json!({
        "ranks": document.ranks.len(),
        "models": document.models.len(),
        "services": document.services.len(),
        "customers": document.customers.len(),
    });
    print_body(command_line, &body, |_| {
        format!(
            "{path}: no mistakes; {} ranks, {} models, {} services, {} customers\n",
            document.ranks.len(),
            document.models.len(),
            document.services.len(),
            document.customers.len()
        )
    })
}

pub(super) fn parse_document(path: &str, text: &str) -> Result<Document, Failure> {
    Document::parse(text).map_err(|problems| Failure::Invalid(path.into(), problems))
}
