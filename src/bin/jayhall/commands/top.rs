//! `jayhall top`

use std::time::Duration;

use super::print;
use super::status::queues;
use crate::failure::Failure;
use crate::options::CommandLine;

/// Time between two refreshes.
const INTERVAL: Duration = Duration::from_secs(2);
/// ANSI escape codes that clear the terminal and move the cursor to its first line.
const CLEAR: &str = "\x1b[2J\x1b[H";

pub(super) async fn run(line: &CommandLine) -> Result<(), Failure> {
    let [] = line.arguments()?;
    let client = line.client()?;
    let count = line.number_option("count")?.unwrap_or(u64::MAX);
    for round in 0..count {
        if round > 0 {
            tokio::time::sleep(INTERVAL).await;
        }
        let status = client.status().await?;
        print(line, &status, |status| {
            format!(
                "{CLEAR}{} is {}, revision {}, {} nodes, {} back ends\n\n{}",
                status.node,
                status.phase,
                status.revision,
                status.nodes.len(),
                status.backends.len(),
                queues(&status.queues)
            )
        })?;
    }
    Ok(())
}
