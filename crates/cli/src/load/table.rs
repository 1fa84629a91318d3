//! Prints the result of an experiment.

use crate::error;
use crate::load::summary;

/// Prints a report on standard output.
pub(crate) fn print(report: &summary::LoadReport, json: bool) -> error::Result<()> {
    if json {
        println!("{}", serde_json::to_string(report)?);
        return Ok(());
    }
    println!("{} with seeds {:?}", report.experiment, report.seeds);
    println!("{}", figures_table(report));
    if report.runs.iter().any(|run| !run.windows.is_empty()) {
        println!("{}", windows_table(report));
    }
    Ok(())
}

/// One row for each figure, one column for each variant: median (least to most).
fn figures_table(report: &summary::LoadReport) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    let names = report
        .summary
        .iter()
        .map(|variant| variant.variant.as_str());
    table.set_header(std::iter::once("figure").chain(names));
    let Some(first) = report.summary.first() else {
        return table;
    };
    for name in first.figures.keys() {
        let cells = report.summary.iter().map(|variant| {
            let figure = variant.figures.get(name).copied().unwrap_or_default();
            format!(
                "{:.2} ({:.2} to {:.2})",
                figure.median, figure.least, figure.most
            )
        });
        table.add_row(std::iter::once((*name).to_owned()).chain(cells));
    }
    table
}

fn windows_table(report: &summary::LoadReport) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.set_header([
        "variant",
        "seed",
        "event",
        "from ms",
        "to ms",
        "requests",
        "answered %",
        "refused",
        "failed",
        "short slowdown p95",
    ]);
    for run in &report.runs {
        for window in &run.windows {
            table.add_row([
                run.variant.clone(),
                run.seed.to_string(),
                format!("{:?}", window.event),
                window.from_ms.to_string(),
                window.to_ms.to_string(),
                window.requests.to_string(),
                format!("{:.1}", 100.0 * window.answered_share),
                window.refused.to_string(),
                window.failed.to_string(),
                format!("{:.2}", window.short_slowdown.p95),
            ]);
        }
    }
    table
}
