//! `sardinepaddle check`

use std::path;

use settings::check;
use settings::load;

use crate::error;
use crate::output;

/// Check a settings, configuration or answers file and show every fault with its place.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Exit codes: 0 no fault, 1 faults or unreadable, 2 misuse.\n\nExamples:\n  sardinepaddle check fleet.yaml\n  sardinepaddle check --as daemon a1.yaml"
)]
pub(crate) struct CheckArgs {
    /// File to check (YAML).
    file: path::PathBuf,
    /// What the file is for; told by its keys if not given.
    #[arg(long = "as", value_name = "KIND")]
    kind: Option<FileChoice>,
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum FileChoice {
    Answers,
    Config,
    Daemon,
    Operator,
}

impl FileChoice {
    fn kind(self) -> check::FileKind {
        match self {
            Self::Answers => check::FileKind::Answers,
            Self::Config => check::FileKind::Config,
            Self::Daemon => check::FileKind::Daemon,
            Self::Operator => check::FileKind::Operator,
        }
    }
}

impl CheckArgs {
    pub fn run(self) -> error::Result<()> {
        let text = load::read_text(&self.file)?;
        let guess = || check::FileKind::guess(&text);
        let kind = self.kind.map_or_else(guess, FileChoice::kind);
        let name = self.file.display().to_string();
        check::file(&name, &text, kind)?;
        output::say(&format!("{name}: no fault"))
    }
}
