//! Whether the process at a back end's address is the one that its registry entry describes.
//!
//! A back end may crash and start again under its name and address, with other software, before its new entry is
//! listed. Its answers do not identify the process, but a report that it gives on request does. A connection ends with
//! its process, so that a report identifies the process for all later calls on the same connection.
//!
//! A connection that breaks may be the sign of a crash. From then on the process is in doubt, until a report that was
//! requested later comes from the listed process.

use std::time::Duration;

use crate::core::time::Moment;

/// Start of a process in milliseconds since 1970.
pub type ProcessStart = u64;

/// Time after a request without a usable report during which new streams do not request another one.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The process at the other end of a connection, compared with the listed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcess {
    /// The listed process, according to its report on this connection.
    Confirmed,
    /// The listed process: nothing indicates that it has ended.
    Presumed,
    /// Either the listed process or one that has started since.
    Doubtful,
    /// Another process, whose software is not known.
    Replaced,
}

/// What a report has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportChange {
    /// Nothing new.
    None,
    /// The listed process still runs, which was in doubt.
    Confirmed,
    /// Another process runs in place of the listed one.
    Replaced,
}

/// What a node knows of the process that a registry entry describes. A new entry starts with the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedProcess {
    /// Nothing indicates that it has ended.
    #[default]
    Presumed,
    /// A connection to it broke.
    Doubtful {
        /// When the last one broke.
        since: Moment,
        /// When a report was last requested in vain.
        no_report_at: Option<Moment>,
    },
    /// Another process has its address.
    Replaced,
}

impl ListedProcess {
    /// Records that a connection to the back end broke, or could not be made.
    pub fn record_break(&mut self, now: Moment) {
        *self = match *self {
            Self::Presumed => Self::Doubtful {
                since: now,
                no_report_at: None,
            },
            Self::Doubtful { no_report_at, .. } => Self::Doubtful {
                since: now,
                no_report_at,
            },
            Self::Replaced => Self::Replaced,
        };
    }

    /// Records a report that was requested at `requested_at`: that it is from the process that started at `reported`.
    /// The registry lists the one that started at `listed`.
    pub fn record_report(
        &mut self,
        listed: ProcessStart,
        reported: ProcessStart,
        requested_at: Moment,
    ) -> ReportChange {
        match *self {
            Self::Replaced => ReportChange::None,
            _ if reported != listed => {
                *self = Self::Replaced;
                ReportChange::Replaced
            }
            // A report that was requested before the break may be older than a crash.
            Self::Doubtful { since, .. } if requested_at >= since => {
                *self = Self::Presumed;
                ReportChange::Confirmed
            }
            Self::Presumed | Self::Doubtful { .. } => ReportChange::None,
        }
    }

    /// Records that a report was requested in vain.
    pub fn record_no_report(&mut self, now: Moment) {
        if let Self::Doubtful { no_report_at, .. } = self {
            *no_report_at = Some(now);
        }
    }

    /// Returns whether a new stream should request a report.
    pub fn needs_report(&self, now: Moment) -> bool {
        match self {
            Self::Doubtful { no_report_at, .. } => {
                no_report_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_RETRY_INTERVAL)
            }
            Self::Presumed | Self::Replaced => false,
        }
    }

    /// Returns which process is at the other end of a connection on which the process that started at `reported` has
    /// given a report, if any has.
    pub fn behind(&self, listed: ProcessStart, reported: Option<ProcessStart>) -> PeerProcess {
        match (reported, self) {
            (Some(reported), _) if reported == listed => PeerProcess::Confirmed,
            (Some(_), _) | (None, Self::Replaced) => PeerProcess::Replaced,
            (None, Self::Doubtful { .. }) => PeerProcess::Doubtful,
            (None, Self::Presumed) => PeerProcess::Presumed,
        }
    }
}
