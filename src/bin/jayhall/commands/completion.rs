//! `jayhall completion`

use crate::failure::Failure;
use crate::help::{COMMAND_OPTIONS, COMMANDS};
use crate::options::CommandLine;

/// Options that every command accepts.
const GLOBAL_OPTIONS: [&str; 4] = ["node", "key-file", "json", "help"];

pub(super) fn run(command_line: &CommandLine) -> Result<(), Failure> {
    let [shell] = command_line.arguments()?;
    match shell {
        "bash" => print!("{}", bash()),
        "fish" => print!("{}", fish()),
        _ => return Err(command_line.usage_error()),
    }
    Ok(())
}

fn bash() -> String {
    let names: Vec<_> = COMMANDS.iter().map(|spec| spec.name).collect();
    let options: Vec<_> = GLOBAL_OPTIONS
        .iter()
        .chain(&COMMAND_OPTIONS)
        .map(|option| format!("--{option}"))
        .collect();
    format!(
        "_jayhall() {{\n    local word=\"${{COMP_WORDS[COMP_CWORD]}}\"\n    \
         if [[ $word == -* ]]; then\n        \
         COMPREPLY=($(compgen -W \"{}\" -- \"$word\"))\n    \
         elif [[ $COMP_CWORD -eq 1 ]]; then\n        \
         COMPREPLY=($(compgen -W \"{}\" -- \"$word\"))\n    \
         else\n        COMPREPLY=($(compgen -f -- \"$word\"))\n    fi\n}}\n\
         complete -F _jayhall jayhall\n",
        options.join(" "),
        names.join(" ")
    )
}

fn fish() -> String {
    let commands = COMMANDS.iter().map(|spec| {
        format!(
            "complete -c jayhall -n __fish_use_subcommand -f -a {} -d '{}'\n",
            spec.name,
            spec.summary.replace('\'', "\\'")
        )
    });
    let options = GLOBAL_OPTIONS
        .iter()
        .chain(&COMMAND_OPTIONS)
        .map(|option| format!("complete -c jayhall -l {option}\n"));
    commands.chain(options).collect()
}
