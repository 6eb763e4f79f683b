//! `jayhall completion`

use crate::failure::Failure;
use crate::help::{COMMANDS, SPECIAL_OPTIONS};
use crate::options::CommandLine;

/// Options that every command accepts.
const COMMON_OPTIONS: [&str; 4] = ["node", "key-file", "json", "help"];

pub(super) fn run(line: &CommandLine) -> Result<(), Failure> {
    let [shell] = line.arguments()?;
    match shell {
        "bash" => print!("{}", bash()),
        "fish" => print!("{}", fish()),
        _ => return Err(line.wrong_arguments()),
    }
    Ok(())
}

fn bash() -> String {
    let names: Vec<_> = COMMANDS.iter().map(|spec| spec.name).collect();
    let options: Vec<_> = COMMON_OPTIONS
        .iter()
        .chain(&SPECIAL_OPTIONS)
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
    let options = COMMON_OPTIONS
        .iter()
        .chain(&SPECIAL_OPTIONS)
        .map(|option| format!("complete -c jayhall -l {option}\n"));
    commands.chain(options).collect()
}
