//! `sardinepaddle apply`

use std::path;

use settings::check;
use settings::load;

use crate::change;
use crate::connect;
use crate::error;

/// Put a configuration file in force, after checking it.
#[derive(Clone, Debug, clap::Args)]
#[command(after_help = "Examples:\n  sardinepaddle apply fleet.yaml --settings operator.yaml")]
pub(crate) struct ApplyArgs {
    /// Configuration (YAML).
    file: path::PathBuf,
    #[command(flatten)]
    connect: connect::ConnectArgs,
}

impl ApplyArgs {
    pub fn run(self) -> error::Result<()> {
        let name = self.file.display().to_string();
        let wanted = check::config(&name, &load::read_text(&self.file)?)?;
        let access = self.connect.open()?;
        connect::block_on(change::run(&access, &format!("apply {name}"), |config| {
            *config = wanted;
            Ok(())
        }))
    }
}
