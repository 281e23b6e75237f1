//! The `completions` command.

use clap::ArgMatches;
use clap_complete::{Shell, generate};
use errors::ExitStatus;

/// Prints the completion script of the shell that the arguments name.
pub fn completions(args: &ArgMatches) -> ExitStatus {
    let Some(shell) = args.get_one::<Shell>("shell").copied() else {
        return ExitStatus::BadSettings;
    };
    generate(
        shell,
        &mut crate::cli::command(),
        "parsleythread",
        &mut std::io::stdout(),
    );
    ExitStatus::Success
}
