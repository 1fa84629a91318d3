//! `sardinepaddle diff`

use std::path;

use model::audit;
use objects::writer;
use serde::Serialize;
use settings::check;
use settings::load;

use crate::connect;
use crate::error;
use crate::output;

/// Show what `apply` would change.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle diff fleet.yaml --settings operator.yaml\n  sardinepaddle diff fleet.yaml --json | jq '.changes[].path'"
)]
pub(crate) struct DiffArgs {
    /// Configuration (YAML).
    file: path::PathBuf,
    #[command(flatten)]
    output: output::OutputArgs,
    #[command(flatten)]
    connect: connect::ConnectArgs,
}

#[derive(Serialize)]
struct DiffReport {
    version: u64,
    changes: Vec<audit::AuditChange>,
}

impl DiffArgs {
    pub fn run(self) -> error::Result<()> {
        let name = self.file.display().to_string();
        let wanted = check::config(&name, &load::read_text(&self.file)?)?;
        let access = self.connect.open()?;
        let current = connect::block_on(async { Ok(access.writer.read().await?) })?;
        let report = DiffReport {
            version: current.version.0,
            changes: writer::differences(&current.object.config, &wanted),
        };
        self.output
            .print(&report, |report| match report.changes.is_empty() {
                true => format!("no difference from version {}", report.version),
                false => output::changes(&report.changes),
            })
    }
}
