//! Measures what daemons spend on control: starts fleets of several sizes, reads counters of
//! the daemons, their processes, the object API and the links, and fits straight lines.

use std::io;
use std::time::Duration;

use tokio::time;

use crate::fleet;

mod fit;
mod load;
mod sample;

/// Data centres over which daemons are spread.
const CENTRES: [&str; 3] = ["amman-abdali", "amman-sweifieh", "amman-marka"];

/// Settings of a measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct ControlArgs {
    /// Sizes of fleets, in daemons.
    #[arg(long, value_delimiter = ',', default_value = "3,6,9")]
    daemons: Vec<usize>,
    /// Engines of each fleet.
    #[arg(long, default_value_t = 3)]
    engines: usize,
    /// Time measured for each size, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Time before the measurement begins, in seconds.
    #[arg(long, default_value_t = 8)]
    settle: u64,
    /// Prompts a second for each daemon.
    #[arg(long, default_value_t = 0.0)]
    rate: f64,
    /// Orders with an idempotency key a second for each daemon.
    #[arg(long, default_value_t = 0.0)]
    orders: f64,
    /// Whether the host list tags its listings, so that only news is sent.
    #[arg(long, default_value_t = true, action = clap::ArgAction::Set)]
    tagged: bool,
    /// Entries added to the host list that no daemon answers for; they cost probes too.
    #[arg(long, default_value_t = 0)]
    strangers: usize,
    /// Write one line of JSON for each size instead of a table.
    #[arg(long)]
    json: bool,
}

/// Runs a measurement and prints it.
pub async fn run(args: &ControlArgs) -> io::Result<()> {
    let mut rows = Vec::new();
    for size in &args.daemons {
        let row = measure(args, *size).await?;
        if args.json {
            println!("{}", serde_json::to_string(&row)?);
        } else {
            sample::print_row(&row, rows.is_empty());
        }
        rows.push(row);
    }
    if rows.len() >= 3 {
        print_fits(&rows);
    }
    Ok(())
}

/// Prints the line through each column, over daemons for idle fleets.
fn print_fits(rows: &[sample::ControlRow]) {
    println!("fit over daemons: value = at zero + slope * daemons");
    for column in sample::COLUMNS {
        let points = rows
            .iter()
            .map(|row| (row.daemons as f64, (column.value)(row)))
            .collect::<Vec<_>>();
        let line = fit::line(&points);
        println!(
            "{:<18} {:>10.3} + {:>9.4} * n   r2 {:.3}",
            column.name, line.start, line.slope, line.fit
        );
    }
}

async fn measure(args: &ControlArgs, size: usize) -> io::Result<sample::ControlRow> {
    let mut plan = fleet::FleetPlan::three_centres(0);
    let spread = |count: usize| {
        let centres = CENTRES.iter().cycle().take(count);
        centres.map(|centre| (*centre).to_owned()).collect()
    };
    plan.daemons = spread(size);
    plan.engines = spread(args.engines);
    plan.engine_model.starts_warm = true;
    plan.engine_model.slots = 64;
    plan.engine_model.memory_tokens = 4_000_000;
    plan.log_level = "info".to_owned();
    let fleet = fleet::ProcessFleet::start(&plan).await?;
    fleet.set_hosts_tagged(args.tagged).await;
    fleet.list_strangers(args.strangers).await;
    let callers = load::start(&fleet, args.rate, args.orders);
    time::sleep(Duration::from_secs(args.settle)).await;
    let before = sample::read(&fleet).await?;
    time::sleep(Duration::from_secs(args.seconds)).await;
    let after = sample::read(&fleet).await?;
    let row = sample::difference(&before, &after);
    drop(callers);
    Ok(row)
}
