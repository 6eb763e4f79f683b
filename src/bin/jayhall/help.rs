//! Help texts.

use std::fmt::Write;

use getopts::Options;

use crate::failure::EXIT_CODES;

/// Name, arguments and help of one command.
pub(crate) struct CommandSpec {
    pub(crate) name: &'static str,
    pub(crate) arguments: &'static str,
    pub(crate) summary: &'static str,
    /// Names from `COMMAND_OPTIONS` that the command accepts.
    pub(crate) options: &'static [&'static str],
    pub(crate) example: &'static str,
}

/// Options that only some commands accept.
pub(crate) const COMMAND_OPTIONS: [&str; 7] = [
    "base", "revision", "count", "wait", "author", "gateway", "in-force",
];

/// All commands.
pub(crate) const COMMANDS: [CommandSpec; 11] = [
    CommandSpec {
        name: "check",
        arguments: "FILE",
        summary: "Checks a document without a node and names every mistake.",
        options: &["gateway", "in-force"],
        example: "jayhall check services.ini; jayhall check --gateway next.json --in-force now.json",
    },
    CommandSpec {
        name: "publish",
        arguments: "FILE",
        summary: "Publishes a document; refused if somebody else has published since.",
        options: &["base", "author"],
        example: "jayhall show > services.ini; vi services.ini; jayhall publish services.ini",
    },
    CommandSpec {
        name: "show",
        arguments: "",
        summary: "Shows the document in force with its revision in the first line.",
        options: &["revision"],
        example: "jayhall show --revision 7",
    },
    CommandSpec {
        name: "history",
        arguments: "",
        summary: "Lists who published what and when.",
        options: &[],
        example: "jayhall history",
    },
    CommandSpec {
        name: "diff",
        arguments: "REVISION REVISION",
        summary: "Shows the difference between two revisions.",
        options: &[],
        example: "jayhall diff 6 7",
    },
    CommandSpec {
        name: "status",
        arguments: "",
        summary: "Shows nodes, back ends and queues.",
        options: &[],
        example: "jayhall status --json",
    },
    CommandSpec {
        name: "explain",
        arguments: "REQUEST",
        summary: "Says in plain sentences what happened to a request and why.",
        options: &[],
        example: "jayhall explain 019a3f0e-5d1c-7cc2-8f4e-6d1f0a9b2c3d",
    },
    CommandSpec {
        name: "drain",
        arguments: "NODE",
        summary: "Lets a node hand over its work and leave; names a node or its VM.",
        options: &["wait"],
        example: "jayhall drain vm-3 --wait",
    },
    CommandSpec {
        name: "keys",
        arguments: "new | list CUSTOMER | add CUSTOMER | revoke CUSTOMER HASH",
        summary: "Makes, lists, adds and revokes keys; a key is shown once, only its hash is sent.",
        options: &["author"],
        example: "jayhall keys add bekele",
    },
    CommandSpec {
        name: "top",
        arguments: "",
        summary: "Shows the queues again every 2 s.",
        options: &["count"],
        example: "jayhall top --count 30",
    },
    CommandSpec {
        name: "completion",
        arguments: "bash | fish",
        summary: "Prints a completion script for a shell.",
        options: &[],
        example: "jayhall completion bash > /etc/bash_completion.d/jayhall",
    },
];

/// Returns the general help: all commands, options and exit codes.
pub(crate) fn overview(options: &Options) -> String {
    let mut text = String::from("Usage: jayhall COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n");
    for spec in &COMMANDS {
        let _ = writeln!(text, "    {:<12}{}", spec.name, spec.summary);
    }
    text += &options.usage("");
    text += "\nInstead of --node and --key-file you can set JAYHALL_NODE and JAYHALL_KEY_FILE.\n";
    text += "\nExit codes:\n";
    for (code, meaning) in EXIT_CODES {
        let _ = writeln!(text, "    {code}  {meaning}");
    }
    text += "\nExamples:\n";
    for spec in &COMMANDS {
        let _ = writeln!(text, "    {}", spec.example);
    }
    text
}

/// Returns the help of one command.
pub(crate) fn command_help(spec: &CommandSpec) -> String {
    let mut text = format!(
        "Usage: jayhall {} {}\n\n{}\n",
        spec.name, spec.arguments, spec.summary
    );
    if !spec.options.is_empty() {
        let options: Vec<_> = spec
            .options
            .iter()
            .map(|option| format!("--{option}"))
            .collect();
        let _ = writeln!(text, "\nTakes also: {}", options.join(", "));
    }
    let _ = writeln!(text, "\nExample:\n    {}", spec.example);
    text
}
