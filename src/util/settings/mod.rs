//! Settings of a node: its identity, its listen addresses and the URLs of the platform.

mod gateway;
mod schema;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use smallvec::SmallVec;
use thiserror::Error;
use tracing_subscriber::EnvFilter;

use crate::util::fields::Fields;
use crate::util::ini::{self, IniSection};
use crate::util::problem::{Problem, Problems};
use crate::util::schema::SectionSpec;
use crate::util::value::Hash;

pub use gateway::{
    BOUNDS, GATEWAY, GATEWAY_SECTIONS, GatewayBounds, GatewayListen, GatewaySettings,
};
pub use schema::{FLEET, LISTEN, LOG, NODE, OPERATORS, PLATFORM, SECTIONS, TLS};

/// An error of loading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// I/O error.
        source: std::io::Error,
    },
    /// The text has problems.
    #[error("{}", prefix_with_path(path, problems))]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// All problems.
        problems: Problems,
    },
}

/// The module's result.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Identity of the node.
    pub node: NodeSettings,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// URLs of the platform.
    pub platform: PlatformSettings,
    /// TLS files for connections between nodes; without them, nodes may connect over loopback only.
    pub tls: Option<TlsSettings>,
    /// SHA-256 hashes of the operators' keys; if empty, no operator can sign in.
    pub operator_keys: SmallVec<[Hash; 2]>,
    /// Management of back ends.
    pub fleet: FleetSettings,
    /// Log output.
    pub log: LogSettings,
}

/// Identity of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Display name; defaults to the name of the VM.
    pub name: Option<Box<str>>,
    /// VM on which the node runs, as named in the platform's list.
    pub vm: Box<str>,
    /// Region of the VM.
    pub region: Box<str>,
    /// Availability zone of the VM.
    pub zone: Box<str>,
}

/// Addresses at which the node listens and others reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// URLs of the platform, without a trailing slash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Key-value store.
    pub store: Box<str>,
    /// Cloud API.
    pub cloud: Box<str>,
    /// List of VMs.
    pub list: Box<str>,
    /// Weight store.
    pub weights: Box<str>,
}

/// Management of back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Whether the node may start and stop VMs and send orders to engines.
    pub manages_fleet: bool,
}

/// TLS files, in PEM format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificate of the node.
    pub certificate: PathBuf,
    /// Private key of the node.
    pub key: PathBuf,
    /// Certificate of the authority that signs the certificates of all nodes.
    pub authority: PathBuf,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Filter directives of `tracing`, such as `info,jayhall::peers=debug`.
    pub filter: Box<str>,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Loads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, its text has problems or a file that it names cannot be opened;
    /// reports all problems.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        let path = path.as_ref();
        let text = read_file(path)?;
        let settings = Self::parse(&text).map_err(|problems| invalid_settings(path, problems))?;
        let missing = settings.missing_files(&text);
        if missing.0.is_empty() {
            Ok(settings)
        } else {
            Err(invalid_settings(path, missing))
        }
    }

    /// Parses and validates settings without accessing the files that they name.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the text.
    pub fn parse(text: &str) -> std::result::Result<Self, Problems> {
        let mut reader = Reader::new(text, &SECTIONS);
        let settings = reader.read();
        reader.check(&settings);
        reader.finish(settings)
    }

    fn missing_files(&self, text: &str) -> Problems {
        let Some(tls) = &self.tls else {
            return Problems::default();
        };
        let mut reader = Reader::new(text, &SECTIONS);
        let files = [
            ("certificate", &tls.certificate),
            ("key", &tls.key),
            ("authority", &tls.authority),
        ];
        for (key, path) in files {
            if let Err(e) = fs::File::open(path) {
                let what = format!("{} cannot be read: {e}", path.display());
                reader.report("tls", key, what, "name a file that the node may read");
            }
        }
        Problems(reader.problems)
    }
}

struct Reader {
    known_sections: &'static [&'static SectionSpec],
    sections: Vec<IniSection>,
    problems: Vec<Problem>,
}

impl Reader {
    fn new(text: &str, known_sections: &'static [&'static SectionSpec]) -> Self {
        let (sections, errors) = ini::parse_all(text);
        let mut reader = Self {
            known_sections,
            sections,
            problems: errors.iter().map(Problem::from).collect(),
        };
        reader.check_headings();
        reader
    }

    fn read(&mut self) -> Option<Settings> {
        let node = self.read_section(&NODE, |fields| NodeSettings {
            name: Some(fields.optional_name("name")).filter(|name| !name.is_empty()),
            vm: fields.name("vm"),
            region: fields.name("region"),
            zone: fields.name("zone"),
        });
        let listen = self.read_section(&LISTEN, |fields| {
            let addresses = (
                fields.address("callers"),
                fields.address("operators"),
                fields.address("peers"),
            );
            let (Some(callers), Some(operators), Some(peers)) = addresses else {
                return None;
            };
            Some(ListenSettings {
                callers,
                operators,
                peers,
            })
        });
        let platform = self.read_section(&PLATFORM, |fields| PlatformSettings {
            store: fields.url("store"),
            cloud: fields.url("cloud"),
            list: fields.url("list"),
            weights: fields.url("weights"),
        });
        let tls = self.section("tls").is_some().then(|| {
            self.read_section(&TLS, |fields| TlsSettings {
                certificate: PathBuf::from(&*fields.text("certificate")),
                key: PathBuf::from(&*fields.text("key")),
                authority: PathBuf::from(&*fields.text("authority")),
            })
        });
        let operator_keys = self.read_section(&OPERATORS, |fields| fields.hashes("key_hashes"));
        let fleet = self.read_section(&FLEET, |fields| FleetSettings {
            manages_fleet: fields.yes_no("keep"),
        });
        let log = self.read_log();
        Some(Settings {
            node,
            listen: listen?,
            platform,
            tls,
            operator_keys,
            fleet,
            log,
        })
    }

    fn check(&mut self, settings: &Option<Settings>) {
        let Some(settings) = settings else { return };
        if settings.tls.is_none() && !settings.listen.peers.ip().is_loopback() {
            let what = format!("{} is not a loopback address", settings.listen.peers);
            let remedy = "add a section [tls] or use 127.0.0.1";
            self.report("listen", "peers", what, remedy);
        }
        if let Err(e) = EnvFilter::try_new(&settings.log.filter) {
            let remedy = "write a level, such as info, or target=level";
            self.report("log", "filter", e.to_string(), remedy);
        }
    }

    fn check_headings(&mut self) {
        for (index, section) in self.sections.iter().enumerate() {
            if let Some(entry) = section.entries.first().filter(|_| section.kind.is_empty()) {
                self.problems.push(Problem::above_headings(entry));
                continue;
            }
            let is_known = self
                .known_sections
                .iter()
                .any(|spec| spec.kind == &*section.kind);
            let first = self.sections[..index]
                .iter()
                .find(|earlier| earlier.kind == section.kind);
            let (what, remedy) = match (is_known, first) {
                (false, _) => (
                    "is not a known section".into(),
                    known_headings(self.known_sections),
                ),
                (true, Some(first)) => (
                    format!("is there already in line {}", first.line),
                    "merge the two".into(),
                ),
                (true, None) => continue,
            };
            self.problems.push(Problem {
                line: section.line,
                section: section.kind.clone(),
                key: "".into(),
                what: what.into(),
                remedy: remedy.into(),
            });
        }
    }

    /// Returns the settings, or all problems ordered by line.
    fn finish<T>(self, settings: Option<T>) -> std::result::Result<T, Problems> {
        let mut problems = self.problems;
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => {
                problems.sort_by_key(|problem| problem.line);
                Err(Problems(problems))
            }
        }
    }

    fn section(&self, kind: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| &*section.kind == kind)
    }

    fn read_section<T>(
        &mut self,
        spec: &'static SectionSpec,
        read: impl FnOnce(&mut Fields<'_>) -> T,
    ) -> T {
        let absent = IniSection::absent(spec.kind);
        let section = self.sections.iter().find(|s| &*s.kind == spec.kind);
        let mut fields = Fields::open(section.unwrap_or(&absent), spec, &mut self.problems);
        read(&mut fields)
    }

    fn report(&mut self, kind: &str, key: &str, what: String, remedy: &str) {
        let section = self.section(kind);
        let entry = section.and_then(|section| section.entry(key));
        let line = entry.map_or(section.map_or(0, |section| section.line), |e| e.line);
        self.problems.push(Problem {
            line,
            section: kind.into(),
            key: key.into(),
            what: what.into(),
            remedy: remedy.into(),
        });
    }
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.into(),
        source,
    })
}

fn known_headings(known_sections: &[&SectionSpec]) -> String {
    let known_sections: Vec<_> = known_sections
        .iter()
        .map(|spec| format!("[{}]", spec.kind))
        .collect();
    format!("use one of: {}", known_sections.join(", "))
}

fn invalid_settings(path: &Path, problems: Problems) -> SettingsError {
    SettingsError::Invalid {
        path: path.into(),
        problems,
    }
}

fn prefix_with_path(path: &Path, problems: &Problems) -> String {
    let lines: Vec<_> = problems
        .0
        .iter()
        .map(|problem| format!("{}: {problem}", path.display()))
        .collect();
    lines.join("\n")
}
