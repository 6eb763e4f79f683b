//! `jayhall explain`

use jayhall::operators::wire::ExplanationBody;
use jayhall::util::time::format_utc;

use super::print_body;
use crate::failure::Failure;
use crate::options::CommandLine;

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [request] = command_line.arguments()?;
    let body = command_line.client()?.explain(request).await?;
    print_body(command_line, &body, format_explanation)
}

fn format_explanation(body: &ExplanationBody) -> String {
    let mut text = format!("Request {}\n", body.request_id);
    if let Some(first) = body.record.entries.first() {
        text += &format!("Begun {}\n", format_utc(first.at));
    }
    for sentence in &body.sentences {
        text += &format!("- {sentence}\n");
    }
    text
}
