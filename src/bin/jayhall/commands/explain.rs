//! `jayhall explain`

use jayhall::operators::wire::ExplanationBody;
use jayhall::util::time::format_utc;

use super::print;
use crate::failure::Failure;
use crate::options::CommandLine;

pub(super) async fn run(line: &CommandLine) -> Result<(), Failure> {
    let [request] = line.arguments()?;
    let body = line.client()?.explain(request).await?;
    print(line, &body, text)
}

fn text(body: &ExplanationBody) -> String {
    let mut text = format!("Request {}\n", body.request_id);
    if let Some(first) = body.record.entries.first() {
        text += &format!("Begun {}\n", format_utc(first.at));
    }
    for sentence in &body.sentences {
        text += &format!("- {sentence}\n");
    }
    text
}
