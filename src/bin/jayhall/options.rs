//! Parses the command line.

use std::fs;

use getopts::{Matches, Options};
use jayhall::core::id::Address;
use jayhall::operators::OperatorClient;

use crate::failure::Failure;
use crate::help::{self, COMMANDS, CommandSpec};

/// Environment variable that is used where `--node` is missing.
pub(crate) const NODE_VARIABLE: &str = "JAYHALL_NODE";
/// Environment variable that is used where `--key-file` is missing.
pub(crate) const KEY_FILE_VARIABLE: &str = "JAYHALL_KEY_FILE";

/// Result of parsing the command line.
pub(crate) enum Invocation {
    /// Print this help text.
    Help(String),
    /// Run a command.
    Run(CommandLine),
}

/// A parsed command line.
pub(crate) struct CommandLine {
    pub(crate) command: &'static CommandSpec,
    matches: Matches,
}

/// Returns the definitions of all options; `check_options` limits some of them to certain commands.
pub(crate) fn option_definitions() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "node", "operators' address of any node", "ADDRESS")
        .optopt("", "key-file", "file with your operator's key", "FILE")
        .optopt("", "author", "your name for the history", "NAME")
        .optopt(
            "",
            "base",
            "revision that you have changed, or `latest`",
            "REVISION",
        )
        .optopt("", "revision", "revision to show", "REVISION")
        .optopt(
            "",
            "in-force",
            "configuration of gateways to compare with",
            "FILE",
        )
        .optflag("", "gateway", "the file is a configuration of gateways")
        .optopt("", "count", "number of times to show", "NUMBER")
        .optflag("", "wait", "wait until the node has left")
        .optflag("", "json", "print JSON")
        .optflag("h", "help", "show this help");
    options
}

/// Parses the arguments that follow the program name.
pub(crate) fn parse_args(args: &[String]) -> Result<Invocation, Failure> {
    let matches = option_definitions()
        .parse(args)
        .map_err(|e| Failure::usage(e.to_string()))?;
    let name = matches.free.first().map(String::as_str);
    let command = COMMANDS.iter().find(|spec| Some(spec.name) == name);
    match (name, command) {
        (None, _) if !matches.opt_present("help") => Err(Failure::usage("no command was given")),
        (None | Some("help"), _) => Ok(Invocation::Help(help::overview(&option_definitions()))),
        (_, Some(spec)) if matches.opt_present("help") => {
            Ok(Invocation::Help(help::command_help(spec)))
        }
        (_, Some(command)) => {
            check_options(command, &matches)?;
            Ok(Invocation::Run(CommandLine { command, matches }))
        }
        (Some(name), None) => Err(Failure::usage(format!("there is no command `{name}`"))),
    }
}

/// Rejects options that the command does not accept.
fn check_options(command: &CommandSpec, matches: &Matches) -> Result<(), Failure> {
    for option in help::COMMAND_OPTIONS {
        if matches.opt_present(option) && !command.options.contains(&option) {
            let text = format!("`{}` takes no --{option}", command.name);
            return Err(Failure::usage(text));
        }
    }
    Ok(())
}

impl CommandLine {
    /// Returns the positional arguments that follow the command; fails unless there are exactly `N`.
    pub(crate) fn arguments<const N: usize>(&self) -> Result<[&str; N], Failure> {
        let arguments: Vec<&str> = self.matches.free[1..].iter().map(String::as_str).collect();
        <[&str; N]>::try_from(arguments).map_err(|_| self.usage_error())
    }

    /// Returns all positional arguments that follow the command.
    pub(crate) fn all_arguments(&self) -> Vec<&str> {
        self.matches.free[1..].iter().map(String::as_str).collect()
    }

    pub(crate) fn usage_error(&self) -> Failure {
        let CommandSpec {
            name, arguments, ..
        } = self.command;
        Failure::usage(format!("write `jayhall {name} {arguments}`"))
    }

    pub(crate) fn is_json(&self) -> bool {
        self.matches.opt_present("json")
    }

    pub(crate) fn is_gateway(&self) -> bool {
        self.matches.opt_present("gateway")
    }

    pub(crate) fn should_wait(&self) -> bool {
        self.matches.opt_present("wait")
    }

    pub(crate) fn author(&self) -> String {
        let user = || std::env::var("USER").unwrap_or_default();
        self.matches.opt_str("author").unwrap_or_else(user)
    }

    pub(crate) fn text_option(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    pub(crate) fn number_option(&self, name: &str) -> Result<Option<u64>, Failure> {
        let number = |text: String| {
            text.parse()
                .map_err(|_| Failure::usage(format!("--{name} takes a number, not {text:?}")))
        };
        self.matches.opt_str(name).map(number).transpose()
    }

    /// Creates a client for the node and the key that the options or the environment name.
    pub(crate) fn client(&self) -> Result<OperatorClient, Failure> {
        let address = self.option_or_env("node", NODE_VARIABLE)?;
        let address: Address = address.parse().map_err(|_| {
            Failure::usage(format!(
                "{address:?} is not an IP number with a port, such as 10.0.0.3:8081"
            ))
        })?;
        let path = self.option_or_env("key-file", KEY_FILE_VARIABLE)?;
        let key = fs::read_to_string(&path)
            .map_err(|e| Failure::usage(format!("{path} cannot be read: {e}")))?;
        Ok(OperatorClient::open(address, key.trim())?)
    }

    fn option_or_env(&self, option: &str, variable: &str) -> Result<String, Failure> {
        self.matches
            .opt_str(option)
            .or_else(|| std::env::var(variable).ok())
            .ok_or_else(|| Failure::usage(format!("give --{option} or set {variable}")))
    }
}
