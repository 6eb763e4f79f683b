//! `jayhall publish`

use jayhall::operators::OperatorClient;
use jayhall::operators::wire::PublishBody;

use super::check::parse_document;
use super::show::split_revision;
use super::{print_body, read_file};
use crate::failure::Failure;
use crate::options::CommandLine;

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [path] = command_line.arguments()?;
    let file = read_file(path)?;
    // Checks the file with its revision line, so that line numbers in messages are those of the file.
    parse_document(path, &file)?;
    let (file_revision, text) = split_revision(&file);
    let client = command_line.client()?;
    let base_revision = resolve_base_revision(command_line, file_revision, &client).await?;
    let body = PublishBody {
        text: text.into(),
        base_revision,
        author: command_line.author().into(),
    };
    eprintln!("publishing {path}, made from revision {base_revision} ...");
    let published = client.publish(&body).await?;
    print_body(command_line, &published, |published| {
        format!("published as revision {}\n", published.revision)
    })
}

async fn resolve_base_revision(
    command_line: &CommandLine,
    file_revision: Option<u64>,
    client: &OperatorClient,
) -> Result<u64, Failure> {
    match command_line.text_option("base").as_deref() {
        Some("latest") => return Ok(client.config(None).await?.revision),
        Some(text) => {
            let invalid =
                |_| Failure::usage(format!("--base takes a number or `latest`, not {text:?}"));
            return text.parse().map_err(invalid);
        }
        None => {}
    }
    if let Some(revision) = file_revision {
        return Ok(revision);
    }
    match client.config(None).await?.revision {
        0 => Ok(0),
        current => Err(Failure::usage(format!(
            "revision {current} is in force; say which one you have changed: make the file with \
             `jayhall show`, or give --base"
        ))),
    }
}
