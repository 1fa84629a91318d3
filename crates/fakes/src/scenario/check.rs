//! Holds expectations against the witnesses.

use std::collections;
use std::time::Duration;

use crate::caller;
use crate::plain;
use crate::scenario::load;
use crate::scenario::names;
use crate::scenario::run;
use crate::scenario::spec;

type CheckResult = Result<(), String>;

/// Longest wait for the end of a process within one look.
const END_LIMIT: Duration = Duration::from_millis(50);

/// Whether the witnesses show what they should now.
pub(super) async fn hold(run: &mut run::ScenarioRun, check: &spec::WitnessCheck) -> CheckResult {
    match check {
        spec::WitnessCheck::Records(check) => records(&run.calls.entries(), check),
        spec::WitnessCheck::Runs(check) => runs(&run.fleet.plain_runs(), check),
        spec::WitnessCheck::TrueOutcomes(loads) => {
            true_outcomes(&run.calls.entries(), loads, &run.fleet.plain_runs())
        }
        spec::WitnessCheck::Engine(check) => engine(run, check).await,
        spec::WitnessCheck::NoWorkAfter(check) => no_work_after(run, check).await,
        spec::WitnessCheck::ConfigInForce(daemons) => config_in_force(run, daemons).await,
        spec::WitnessCheck::StoreCalls(most) => store_calls(run, most).await,
        spec::WitnessCheck::EndedWell(name) => ended_well(run, *name).await,
        spec::WitnessCheck::Idle(daemons) => idle(run, daemons).await,
    }
}

fn ensure(holds: bool, text: impl FnOnce() -> String) -> CheckResult {
    if holds { Ok(()) } else { Err(text()) }
}

fn records(entries: &[load::CallEntry], check: &spec::RecordCheck) -> CheckResult {
    let of_load = entries
        .iter()
        .filter(|entry| entry.load == check.load)
        .collect::<Vec<_>>();
    ensure(!of_load.is_empty(), || {
        format!("there is no load {:?}", check.load)
    })?;
    let ended = of_load
        .iter()
        .filter_map(|entry| entry.record.as_ref())
        .collect::<Vec<_>>();
    let least = check.least.unwrap_or(of_load.len());
    ensure(ended.len() >= least, || {
        format!(
            "{}: {} calls of {} have ended",
            check.load,
            ended.len(),
            of_load.len()
        )
    })?;
    ended
        .iter()
        .try_for_each(|record| one_record(record, check))
}

fn one_record(record: &caller::CallRecord, check: &spec::RecordCheck) -> CheckResult {
    let tell = || format!("{}: {record:?}", check.load);
    ensure(check.outcomes.contains(&record.outcome), tell)?;
    let error = !matches!(record.outcome, caller::CallOutcome::Answered);
    if error && let Some(reason) = &check.reason {
        ensure(record.detail == *reason, tell)?;
    }
    if let Some(most) = check.most_ms {
        ensure(record.total <= Duration::from_millis(most), tell)?;
    }
    ensure(
        !check.retry_after || !error || record.retry_after.is_some(),
        tell,
    )
}

type RunCounts = collections::BTreeMap<String, u64>;

fn runs(counts: &RunCounts, check: &spec::RunCheck) -> CheckResult {
    let count = counts.get(&check.operation).copied().unwrap_or(0);
    ensure((check.least..=check.most).contains(&count), || {
        format!("{} ran {count} times", check.operation)
    })
}

/// What all callers of one operation were told.
#[derive(Debug, Default)]
struct OperationView {
    keyed: bool,
    calls: u64,
    not_run: u64,
    answered: u64,
}

fn true_outcomes(entries: &[load::CallEntry], loads: &[String], counts: &RunCounts) -> CheckResult {
    let mut views = collections::BTreeMap::<&str, OperationView>::new();
    for entry in entries.iter().filter(|entry| loads.contains(&entry.load)) {
        let Some(operation) = &entry.operation else {
            continue;
        };
        let view = views.entry(&operation.name).or_default();
        let outcome = entry.record.as_ref().map(|record| record.outcome);
        view.keyed = operation.keyed;
        view.calls += 1;
        view.not_run += u64::from(outcome == Some(caller::CallOutcome::NotRun));
        view.answered += u64::from(outcome == Some(caller::CallOutcome::Answered));
    }
    ensure(!views.is_empty(), || format!("no calls in {loads:?}"))?;
    for (operation, view) in views {
        let ran = counts.get(operation).copied().unwrap_or(0);
        let most = if view.keyed {
            (view.calls - view.not_run).min(1)
        } else {
            view.calls - view.not_run
        };
        let least = u64::from(view.answered > 0);
        ensure((least..=most).contains(&ran), || {
            format!("{operation} ran {ran} times: {view:?}")
        })?;
    }
    Ok(())
}

async fn engine(run: &run::ScenarioRun, check: &spec::EngineCheck) -> CheckResult {
    let missing = || format!("engine-{} does not answer", check.engine);
    ensure(check.engine < run.fleet.engines.len(), missing)?;
    let witness = run.fleet.engine_witness(check.engine).await;
    let witness = witness.ok_or_else(missing)?;
    let streams = check
        .streams
        .is_none_or(|count| count == witness.streams.len());
    let tokens = check
        .used_tokens
        .is_none_or(|tokens| tokens == witness.used_tokens);
    let most_admitted = check
        .most_admitted
        .is_none_or(|most| witness.admitted <= most);
    let overruns = check
        .most_overruns
        .is_none_or(|most| witness.overruns <= most);
    let cold = check
        .most_while_cold
        .is_none_or(|most| witness.most_while_cold <= most);
    let admitted = witness.admitted >= check.least_admitted;
    let finished = witness.finished >= check.least_finished;
    let holds = streams && tokens && most_admitted && overruns && cold && admitted && finished;
    ensure(holds, || format!("engine-{}: {witness:?}", check.engine))
}

async fn no_work_after(run: &run::ScenarioRun, check: &spec::WorkCheck) -> CheckResult {
    let mark = run.marks.get(&check.mark);
    let mark = mark.ok_or_else(|| format!("there is no mark {:?}", check.mark))?;
    let missing = || format!("{:?} does not answer", check.endpoint);
    let last = match check.endpoint {
        names::UnitName::Engine(index) if index < run.fleet.engines.len() => {
            let witness = run.fleet.engine_witness(index).await;
            witness.ok_or_else(missing)?.last_admitted_ms
        }
        names::UnitName::Plain(index) if index < run.fleet.plains.len() => {
            let address = run.fleet.plains[index].address;
            let witness = caller::get_json::<plain::PlainWitness>(address, "/fake/witness").await;
            witness.ok_or_else(missing)?.last_call_ms
        }
        _ => return Err(format!("{:?} is no endpoint", check.endpoint)),
    };
    ensure(last <= mark + check.ms, || {
        let late = last.saturating_sub(*mark);
        format!(
            "{:?} got work {late} ms after {}",
            check.endpoint, check.mark
        )
    })
}

async fn config_in_force(run: &run::ScenarioRun, daemons: &[usize]) -> CheckResult {
    for index in daemons {
        let status = run.fleet.status(*index).await;
        let version = status.and_then(|status| status["version"].as_u64());
        ensure(
            version.is_some_and(|version| version >= run.accepted.0),
            || {
                format!(
                    "daemon-{index} has {version:?}, accepted is {:?}",
                    run.accepted
                )
            },
        )?;
    }
    Ok(())
}

async fn store_calls(run: &run::ScenarioRun, most: &crate::store::StoreWitness) -> CheckResult {
    let seen = run.fleet.store_witness().await;
    let holds = seen.reads <= most.reads
        && seen.writes <= most.writes
        && seen.conflicts <= most.conflicts
        && seen.removes <= most.removes
        && seen.lists <= most.lists
        && seen.watches <= most.watches;
    ensure(holds, || format!("calls to the object API: {seen:?}"))
}

async fn ended_well(run: &mut run::ScenarioRun, name: names::UnitName) -> CheckResult {
    let names::UnitName::Daemon(index) = name else {
        return Err(format!("{name:?} is no daemon"));
    };
    if !run.ended.contains_key(&index) {
        let unit = run.fleet.daemons.get_mut(index);
        let process = unit.and_then(|unit| unit.process.as_mut());
        let process = process.ok_or_else(|| format!("{name:?} does not run"))?;
        let status = process.wait(END_LIMIT).await;
        let status = status.ok_or_else(|| format!("{name:?} has not ended"))?;
        run.ended.insert(index, status);
    }
    let status = run.ended[&index];
    ensure(status.success(), || format!("{name:?} ended with {status}"))
}

async fn idle(run: &run::ScenarioRun, daemons: &[usize]) -> CheckResult {
    for index in daemons {
        let status = run.fleet.status(*index).await;
        let in_flight = status.and_then(|status| status["in_flight"].as_u64());
        ensure(in_flight == Some(0), || {
            format!("daemon-{index} has {in_flight:?} requests in flight")
        })?;
    }
    Ok(())
}
