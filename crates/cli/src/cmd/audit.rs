//! `sardinepaddle audit`

use model::audit;
use objects::trail;

use crate::connect;
use crate::error;
use crate::output;

/// Show accepted changes: who, when, what, before and after.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle audit --last 5\n  sardinepaddle audit --write-id 0f3a... --json"
)]
pub(crate) struct AuditArgs {
    /// Most changes shown, the newest ones; all if not given.
    #[arg(long, value_name = "COUNT")]
    last: Option<usize>,
    /// Only the change of this write; fails if there is none.
    #[arg(long, value_name = "ID")]
    write_id: Option<String>,
    #[command(flatten)]
    output: output::OutputArgs,
    #[command(flatten)]
    connect: connect::ConnectArgs,
}

impl AuditArgs {
    pub fn run(self) -> error::Result<()> {
        let access = self.connect.open()?;
        let wanted = match self.write_id {
            Some(_) => usize::MAX,
            None => self.last.unwrap_or(usize::MAX),
        };
        let mut entries = connect::block_on(async {
            let current = access.writer.read().await?;
            Ok(trail::read(&access.client, &current.object, wanted).await?)
        })?;
        if let Some(write_id) = &self.write_id {
            entries.retain(|entry| entry.write_id == *write_id);
            if entries.is_empty() {
                let message = format!("no accepted change has write id {write_id}");
                return Err(error::CliError::Refused { message });
            }
        }
        let excess = entries
            .len()
            .saturating_sub(self.last.unwrap_or(usize::MAX));
        self.output
            .print(&&entries[excess..], |entries| lines(entries))
    }
}

fn lines(entries: &[audit::AuditEntry]) -> String {
    let lines = entries.iter().map(output::entry).collect::<Vec<_>>();
    lines.join("\n")
}
