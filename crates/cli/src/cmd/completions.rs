//! `sardinepaddle completions`

use clap::CommandFactory;

use crate::cmd;
use crate::error;
use crate::output;

/// Print the completions for a shell.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle completions bash > ~/.local/share/bash-completion/completions/sardinepaddle"
)]
pub(crate) struct CompletionArgs {
    /// The shell.
    shell: clap_complete::Shell,
}

impl CompletionArgs {
    pub fn run(self) -> error::Result<()> {
        let mut command = cmd::CliArgs::command();
        let mut script = Vec::new();
        clap_complete::generate(self.shell, &mut command, "sardinepaddle", &mut script);
        output::write(&String::from_utf8_lossy(&script))
    }
}
