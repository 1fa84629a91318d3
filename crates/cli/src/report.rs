//! What a run of calls came to, as a table or as JSON.

use std::collections;
use std::time::Duration;

use fakes::caller;
use model::request;
use serde::Serialize;

use crate::error;

/// Least and greatest time recorded, in milliseconds.
const TIME_RANGE_MS: (u64, u64) = (1, 3_600_000);
/// Significant digits kept of times.
const TIME_DIGITS: u8 = 3;

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct TimePercentiles {
    pub count: u64,
    pub p50: u64,
    pub p95: u64,
    pub p99: u64,
}

impl TimePercentiles {
    /// Percentiles of some times.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let (low, high) = TIME_RANGE_MS;
        let Ok(mut histogram) =
            hdrhistogram::Histogram::<u64>::new_with_bounds(low, high, TIME_DIGITS)
        else {
            return Self::default();
        };
        for time in times {
            histogram.saturating_record(u64::try_from(time.as_millis()).unwrap_or(high).max(low));
        }
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.50),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

/// Counts and times of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RunReport {
    pub requests: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    /// Operations that ran more than once.
    pub doubled: u64,
    /// Requests without a final answer, and answered operations that never ran.
    pub lost: u64,
    /// Answers that were not the caller's own, or not whole.
    pub mixed_up: u64,
    pub first_token_ms: collections::BTreeMap<request::SizeClass, TimePercentiles>,
}

impl RunReport {
    /// Counts what the callers saw.
    pub fn of(records: &[caller::CallRecord]) -> Self {
        let mut report = Self {
            requests: records.len() as u64,
            ..Self::default()
        };
        for record in records {
            match record.outcome {
                caller::CallOutcome::Answered => report.answered += 1,
                caller::CallOutcome::NotRun => report.refused += 1,
                caller::CallOutcome::Failed | caller::CallOutcome::Unknown => report.failed += 1,
                caller::CallOutcome::Wrong => report.mixed_up += 1,
                caller::CallOutcome::Lost => report.lost += 1,
            }
        }
        for class in [
            request::SizeClass::Short,
            request::SizeClass::Medium,
            request::SizeClass::Long,
        ] {
            let own = records.iter().filter(|record| record.class == class);
            let times = TimePercentiles::of(own.filter_map(|record| record.first_token));
            report.first_token_ms.insert(class, times);
        }
        report
    }
}

/// Prints a report on standard output.
pub(crate) fn print(report: &RunReport, json: bool) -> error::Result<()> {
    if json {
        println!("{}", serde_json::to_string(report)?);
        return Ok(());
    }
    println!("{}", counts_table(report));
    println!("{}", times_table(report));
    Ok(())
}

fn counts_table(report: &RunReport) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.set_header([
        "requests", "answered", "refused", "failed", "doubled", "lost", "mixed up",
    ]);
    table.add_row([
        report.requests,
        report.answered,
        report.refused,
        report.failed,
        report.doubled,
        report.lost,
        report.mixed_up,
    ]);
    table
}

fn times_table(report: &RunReport) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.set_header([
        "time to first token",
        "answers",
        "p50 ms",
        "p95 ms",
        "p99 ms",
    ]);
    for (class, times) in &report.first_token_ms {
        table.add_row([
            class.to_string(),
            times.count.to_string(),
            times.p50.to_string(),
            times.p95.to_string(),
            times.p99.to_string(),
        ]);
    }
    table
}
