//! Prints results, for people or as JSON.

use std::io;
use std::io::Write;
use std::time;

use model::audit;

use crate::error;

/// How results are printed.
#[derive(Clone, Copy, Debug, clap::Args)]
pub(crate) struct OutputArgs {
    /// Print one JSON value and nothing else on standard output.
    #[arg(long)]
    pub json: bool,
}

impl OutputArgs {
    /// Prints a value as JSON, or what `lines` makes of it.
    pub fn print<T: serde::Serialize>(
        self,
        value: &T,
        lines: impl FnOnce(&T) -> String,
    ) -> error::Result<()> {
        if self.json {
            return say(&serde_json::to_string_pretty(value)?);
        }
        let text = lines(value);
        match text.is_empty() {
            true => Ok(()),
            false => say(&text),
        }
    }
}

/// Writes a line to standard output.
pub(crate) fn say(line: &str) -> error::Result<()> {
    write(&format!("{line}\n"))
}

/// Writes text to standard output. A reader that has seen enough is no fault.
pub(crate) fn write(text: &str) -> error::Result<()> {
    let mut stdout = io::stdout().lock();
    let written = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
    match written {
        Err(source) if source.kind() != io::ErrorKind::BrokenPipe => {
            Err(error::CliError::WriteFile {
                path: "standard output".to_owned(),
                source,
            })
        }
        _ => Ok(()),
    }
}

/// A table with a head.
pub(crate) fn table<const N: usize>(
    head: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(head);
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}

/// The value of a field as it is written in YAML and JSON.
pub(crate) fn word<T: serde::Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        Ok(other) => other.to_string(),
        Err(_) => String::new(),
    }
}

/// One line for each change.
pub(crate) fn changes(changes: &[audit::AuditChange]) -> String {
    let lines = changes.iter().map(change).collect::<Vec<_>>();
    lines.join("\n")
}

fn change(change: &audit::AuditChange) -> String {
    let path = &change.path;
    match (&change.before, &change.after) {
        (None, Some(after)) => format!("+ {path}: {after}"),
        (Some(before), None) => format!("- {path}: {before}"),
        (Some(before), Some(after)) => format!("~ {path}: {before} -> {after}"),
        (None, None) => format!("  {path}"),
    }
}

/// An entry of the audit trail with its changes.
pub(crate) fn entry(entry: &audit::AuditEntry) -> String {
    let at = time::UNIX_EPOCH + time::Duration::from_millis(entry.at_ms);
    let at = humantime::format_rfc3339_seconds(at);
    let head = format!(
        "#{} {at} {} ({}) write {}",
        entry.number, entry.who, entry.what, entry.write_id
    );
    match entry.changes.is_empty() {
        true => head,
        false => format!("{head}\n{}", changes(&entry.changes)),
    }
}
