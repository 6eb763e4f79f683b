//! `jayhall diff`

use super::print;
use crate::failure::Failure;
use crate::options::CommandLine;

pub(super) async fn run(line: &CommandLine) -> Result<(), Failure> {
    let [from, to] = line.arguments()?;
    let number = |text: &str| {
        text.parse()
            .map_err(|_| Failure::usage(format!("{text:?} is not a revision")))
    };
    let body = line.client()?.diff(number(from)?, number(to)?).await?;
    print(line, &body, |body| body.difference.to_string())
}
