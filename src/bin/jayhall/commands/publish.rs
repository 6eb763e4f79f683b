//! `jayhall publish`

use jayhall::operators::OperatorClient;
use jayhall::operators::wire::PublishBody;

use super::check::parse;
use super::show::split_revision;
use super::{print, read_file};
use crate::failure::Failure;
use crate::options::CommandLine;

pub(super) async fn run(line: &CommandLine) -> Result<(), Failure> {
    let [path] = line.arguments()?;
    let file = read_file(path)?;
    // Checks the file with its revision line, so that line numbers in messages are those of the file.
    parse(path, &file)?;
    let (named, text) = split_revision(&file);
    let client = line.client()?;
    let base_revision = base(line, named, &client).await?;
    let body = PublishBody {
        text: text.into(),
        base_revision,
        author: line.author().into(),
    };
    eprintln!("publishing {path}, made from revision {base_revision} ...");
    let published = client.publish(&body).await?;
    print(line, &published, |published| {
        format!("published as revision {}\n", published.revision)
    })
}

async fn base(
    line: &CommandLine,
    named: Option<u64>,
    client: &OperatorClient,
) -> Result<u64, Failure> {
    match line.text_option("base").as_deref() {
        Some("latest") => return Ok(client.config(None).await?.revision),
        Some(text) => {
            let wrong =
                |_| Failure::usage(format!("--base takes a number or `latest`, not {text:?}"));
            return text.parse().map_err(wrong);
        }
        None => {}
    }
    if let Some(revision) = named {
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
