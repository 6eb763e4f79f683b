//! Errors of commands and their exit codes.

use std::fmt;
use std::process::ExitCode;

use jayhall::core::document::{Problem, Problems};
use jayhall::core::verdict::Verdict;
use jayhall::operators::{ClientError, OperatorProblem};

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line is invalid.
    Usage(String),
    /// The named file is not a valid document.
    Invalid(Box<str>, Problems),
    /// The named file is not a configuration of gateways.
    NotDecoded(Box<str>, Box<str>),
    /// The named configuration of gateways has this many errors, which were printed.
    InvalidConfig(Box<str>, usize),
    /// A request to a node failed.
    Call(ClientError),
    /// Any other error, such as an I/O error.
    Other(eyre::Report),
}

/// Exit codes with the meanings that the help prints.
pub(crate) const EXIT_CODES: [(u8, &str); 9] = [
    (0, "done"),
    (1, "failed otherwise"),
    (2, "the command was not written as it should be"),
    (3, "the document has mistakes; nothing was changed"),
    (4, "somebody else published first; nothing was changed"),
    (
        5,
        "the node or the store was not there; nothing was changed",
    ),
    (6, "the answer was lost; the change may have been made"),
    (7, "not found"),
    (8, "no valid key"),
];

impl Failure {
    pub(crate) fn usage(text: impl Into<String>) -> Self {
        Self::Usage(text.into())
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Other(_) => 1,
            Self::Usage(_) => 2,
            Self::Invalid(..) | Self::NotDecoded(..) | Self::InvalidConfig(..) => 3,
            Self::Call(ClientError::NotReached { .. }) => 5,
            Self::Call(ClientError::AnswerLost { .. }) => 6,
            Self::Call(ClientError::Setup(_)) => 1,
            Self::Call(ClientError::Refused(problem)) => refusal_exit_code(problem),
        })
    }
}

fn refusal_exit_code(problem: &OperatorProblem) -> u8 {
    match (problem.status, problem.verdict) {
        (_, Verdict::MayHaveRun) => 6,
        (401, _) => 8,
        (404, _) => 7,
        (409, _) => 4,
        (422, _) => 3,
        (503, _) => 5,
        _ => 1,
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => write!(f, "{text}\nTry `jayhall --help`."),
            Self::Invalid(file, problems) => write_problems(f, file, problems),
            Self::NotDecoded(file, cause) => write!(f, "{file}: {cause}"),
            Self::InvalidConfig(file, 1) => write!(f, "1 error in {file}"),
            Self::InvalidConfig(file, errors) => write!(f, "{errors} errors in {file}"),
            Self::Call(ClientError::Refused(problem)) => write_refusal(f, problem),
            Self::Call(e) => write!(f, "{e}"),
            Self::Other(e) => write!(f, "{e:#}"),
        }
    }
}

fn write_problems(f: &mut fmt::Formatter<'_>, file: &str, problems: &Problems) -> fmt::Result {
    let count = problems.0.len();
    let noun = if count == 1 { "mistake" } else { "mistakes" };
    write!(f, "{count} {noun} in {file}; nothing was changed")?;
    for problem in &problems.0 {
        write!(f, "\n{file}: {problem}")?;
    }
    Ok(())
}

fn write_refusal(f: &mut fmt::Formatter<'_>, problem: &OperatorProblem) -> fmt::Result {
    write!(f, "{}", problem.detail)?;
    for body in &problem.problems {
        write!(f, "\n{}", Problem::from(body.clone()))?;
    }
    if let Some(difference) = &problem.difference {
        write!(f, "\n{}", difference.trim_end())?;
    }
    if let Some(after) = problem.retry_after_s {
        write!(f, "\nCome back after {after} s.")?;
    }
    Ok(())
}

impl From<ClientError> for Failure {
    fn from(e: ClientError) -> Self {
        Self::Call(e)
    }
}

impl From<std::io::Error> for Failure {
    fn from(e: std::io::Error) -> Self {
        Self::Other(e.into())
    }
}

impl From<serde_json::Error> for Failure {
    fn from(e: serde_json::Error) -> Self {
        Self::Other(e.into())
    }
}
