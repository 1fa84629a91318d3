//! `sardinepaddle init`

use std::fs;
use std::io;
use std::io::IsTerminal;
use std::path;

use settings::answers;
use settings::check;
use settings::generate;
use settings::load;

use crate::error;
use crate::output;
use crate::questions;

/// Generate a first configuration from a questionnaire.
///
/// Asks about services, data centres, customers and which requests may not run twice.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle init --output fleet.yaml --save-answers answers.yaml\n  sardinepaddle init --answers examples/zaatar.answers.yaml"
)]
pub(crate) struct InitArgs {
    /// Answers (YAML), in place of asking.
    #[arg(long, value_name = "FILE")]
    answers: Option<path::PathBuf>,
    /// File for the configuration; standard output if not given.
    #[arg(long, value_name = "FILE")]
    output: Option<path::PathBuf>,
    /// File for the answers given, to start from another time.
    #[arg(long, value_name = "FILE", conflicts_with = "answers")]
    save_answers: Option<path::PathBuf>,
}

impl InitArgs {
    pub fn run(self) -> error::Result<()> {
        let answers = self.read_answers()?;
        let text = generate::yaml(&answers)?;
        check::config("generated configuration", &text)?;
        if let Some(path) = &self.save_answers {
            write(path, &serde_yaml_ng::to_string(&answers)?)?;
        }
        match &self.output {
            Some(path) => write(path, &text),
            None => output::write(&text),
        }
    }

    fn read_answers(&self) -> error::Result<answers::FleetAnswers> {
        if let Some(path) = &self.answers {
            let text = load::read_text(path)?;
            return Ok(check::answers(&path.display().to_string(), &text)?);
        }
        if !io::stdin().is_terminal() || !io::stderr().is_terminal() {
            let message = "not on a terminal: give --answers FILE".to_owned();
            return Err(error::CliError::Misuse { message });
        }
        let answers = questions::ask()?;
        let text = serde_yaml_ng::to_string(&answers)?;
        Ok(check::answers("answers", &text)?)
    }
}

fn write(path: &path::Path, text: &str) -> error::Result<()> {
    fs::write(path, text).map_err(|source| error::CliError::WriteFile {
        path: path.display().to_string(),
        source,
    })
}
