//! Text of faults in the history of a run.

use std::fmt::{self, Display, Formatter};

use super::{Fault, Services};

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silence {
                services,
                share,
                time,
                ..
            } => {
                let of = match services {
                    Services::All => "all services",
                    Services::Streams => "streams",
                };
                let percent = share * 100.0;
                write!(
                    f,
                    "{percent:.0}% of the back ends of {of} are silent for {time:?}"
                )
            }
            Self::SlowReaders { node, readers } => {
                write!(
                    f,
                    "{readers} callers read large responses of n{node} slowly"
                )
            }
            Self::KillMany { first, count, down } => {
                write!(
                    f,
                    "{count} nodes from n{first} on are killed, down for {down:?}"
                )
            }
            Self::FreezeMany { first, count, time } => {
                write!(
                    f,
                    "{count} nodes from n{first} on are suspended for {time:?}"
                )
            }
            Self::PeerDelay { delay, time } => {
                write!(
                    f,
                    "links between nodes are delayed by {delay:?} for {time:?}"
                )
            }
            Self::PeerSplit { first_part, time } => {
                write!(
                    f,
                    "nodes below n{first_part} are cut off from the others for {time:?}"
                )
            }
            Self::Stop { node, down } => {
                write!(f, "n{node} is stopped by SIGTERM, then down for {down:?}")
            }
            Self::Kill { node, down } => write!(f, "n{node} is killed, down for {down:?}"),
            Self::Freeze { node, time } => write!(f, "n{node} is suspended for {time:?}"),
            Self::Configure => write!(f, "the configuration changes"),
            other => write!(f, "{other:?}"),
        }
    }
}
