//! `jayhall top`

use std::time::Duration;

use super::print_body;
use super::status::format_queues;
use crate::failure::Failure;
use crate::options::CommandLine;

/// Time between two refreshes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// ANSI escape codes that clear the terminal and move the cursor to its first line.
const CLEAR: &str = "\x1b[2J\x1b[H";

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [] = command_line.arguments()?;
    let client = command_line.client()?;
    let count = command_line.number_option("count")?.unwrap_or(u64::MAX);
    for round in 0..count {
        if round > 0 {
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
        let status = client.status().await?;
        print_body(command_line, &status, |status| {
            format!(
                "{CLEAR}{} is {}, revision {}, {} nodes, {} back ends\n\n{}",
                status.node,
                status.phase,
                status.revision,
                status.nodes.len(),
                status.backends.len(),
                format_queues(&status.queues)
            )
        })?;
    }
    Ok(())
}
