//! Carries out the steps of a scenario.

use std::net;
use std::time::Duration;

use model::config;
use model::ids;
use model::millis;
use tokio::time;

use crate::caller;
use crate::process;
use crate::proxy;
use crate::scenario::names;
use crate::scenario::run;
use crate::scenario::spec;

type StepResult = Result<(), String>;

/// Carries out one step.
pub(super) async fn carry_out(run: &mut run::ScenarioRun, step: &spec::ScenarioStep) -> StepResult {
    match step {
        spec::ScenarioStep::Kill(name) => kill(run, *name),
        spec::ScenarioStep::Start(name) => start(run, *name).await,
        spec::ScenarioStep::Freeze(name) => process(run, *name).map(|process| process.freeze()),
        spec::ScenarioStep::Thaw(name) => process(run, *name).map(|process| process.thaw()),
        spec::ScenarioStep::Terminate(name) => {
            process(run, *name).map(|process| process.terminate())
        }
        spec::ScenarioStep::Link(step) => set_link(run, step),
        spec::ScenarioStep::Store(faults) => {
            let taken = run.fleet.set_store_faults(faults).await;
            taken.then_some(()).ok_or("store faults not set".to_owned())
        }
        spec::ScenarioStep::Order(order) => give_order(run, order).await,
        spec::ScenarioStep::TurnCold(name) => tell_engine(run, *name, "/fake/cold").await,
        spec::ScenarioStep::Leave(name) => tell_engine(run, *name, "/fake/leaving").await,
        spec::ScenarioStep::Prompts(load) => {
            let addresses = addresses(run, &load.daemons)?;
            run.calls.ask(load, &addresses);
            join_foreground(run, load.background, &load.name).await;
            Ok(())
        }
        spec::ScenarioStep::Calls(load) => {
            let addresses = addresses(run, &load.daemons)?;
            run.calls.call(load, &addresses);
            join_foreground(run, load.background, &load.name).await;
            Ok(())
        }
        spec::ScenarioStep::Join(load) => {
            run.calls.join(load).await;
            Ok(())
        }
        spec::ScenarioStep::Abandon(load) => {
            run.calls.abandon(load);
            Ok(())
        }
        spec::ScenarioStep::Mark(name) => {
            run.marks.insert(name.clone(), millis::since_epoch());
            Ok(())
        }
        spec::ScenarioStep::Await(step) => {
            let limit = Duration::from_millis(step.within_ms);
            run.wait_for(&step.that, limit).await
        }
        spec::ScenarioStep::Wait(millis) => {
            time::sleep(Duration::from_millis(*millis)).await;
            Ok(())
        }
    }
}

async fn join_foreground(run: &mut run::ScenarioRun, background: bool, load: &str) {
    if !background {
        run.calls.join(load).await;
    }
}

fn addresses(run: &run::ScenarioRun, daemons: &[usize]) -> Result<Vec<net::SocketAddr>, String> {
    let known = run.fleet.daemons.len();
    if let Some(unknown) = daemons.iter().find(|index| **index >= known) {
        return Err(format!("there is no daemon-{unknown}"));
    }
    Ok(daemons
        .iter()
        .map(|index| run.fleet.callers(*index))
        .collect())
}

/// The place of a process, empty after a kill.
fn place(
    run: &mut run::ScenarioRun,
    name: names::UnitName,
) -> Result<&mut Option<process::TestProcess>, String> {
    let missing = || format!("there is no {name:?}");
    match name {
        names::UnitName::Daemon(index) => {
            let unit = run.fleet.daemons.get_mut(index).ok_or_else(missing)?;
            Ok(&mut unit.process)
        }
        names::UnitName::Engine(index) => {
            let unit = run.fleet.engines.get_mut(index).ok_or_else(missing)?;
            Ok(&mut unit.process)
        }
        names::UnitName::Plain(index) => {
            let unit = run.fleet.plains.get_mut(index).ok_or_else(missing)?;
            Ok(&mut unit.process)
        }
        names::UnitName::Store | names::UnitName::Hosts => {
            Err(format!("{name:?} cannot be killed or started"))
        }
    }
}

fn process(
    run: &mut run::ScenarioRun,
    name: names::UnitName,
) -> Result<&mut process::TestProcess, String> {
    match name {
        names::UnitName::Store => Ok(run.fleet.store_process()),
        names::UnitName::Hosts => Ok(run.fleet.hosts_process()),
        _ => place(run, name)?
            .as_mut()
            .ok_or_else(|| format!("{name:?} does not run")),
    }
}

fn kill(run: &mut run::ScenarioRun, name: names::UnitName) -> StepResult {
    let process = place(run, name)?.take();
    let mut process = process.ok_or_else(|| format!("{name:?} does not run"))?;
    process.kill();
    Ok(())
}

async fn start(run: &mut run::ScenarioRun, name: names::UnitName) -> StepResult {
    if place(run, name)?.is_some() {
        return Err(format!("{name:?} runs already"));
    }
    let started = match name {
        names::UnitName::Daemon(index) => {
            run.fleet.start_daemon(index).map_err(text)?;
            run.fleet.wait_ready(index).await
        }
        names::UnitName::Engine(index) => run.fleet.start_engine(index),
        names::UnitName::Plain(index) => run.fleet.start_plain(index),
        names::UnitName::Store | names::UnitName::Hosts => Ok(()),
    };
    started.map_err(text)
}

fn text(error: std::io::Error) -> String {
    error.to_string()
}

fn set_link(run: &run::ScenarioRun, step: &spec::LinkStep) -> StepResult {
    let fleet = &run.fleet;
    let control = match step.name {
        names::LinkName::DaemonStore(index) => fleet
            .daemons
            .get(index)
            .map(|unit| unit.store_link.control()),
        names::LinkName::DaemonPeers(index) => fleet
            .daemons
            .get(index)
            .map(|unit| unit.peer_link.control()),
        names::LinkName::Engine(index) => fleet.engines.get(index).map(|unit| unit.link.control()),
        names::LinkName::Plain(index) => fleet.plains.get(index).map(|unit| unit.link.control()),
    };
    let control: &proxy::ProxyControl =
        control.ok_or_else(|| format!("there is no link {:?}", step.name))?;
    control.set(step.fault);
    Ok(())
}

async fn give_order(run: &mut run::ScenarioRun, order: &spec::OperatorOrder) -> StepResult {
    let mut known = true;
    let changed = run
        .fleet
        .change_config(|config| known = apply_order(config, order))
        .await;
    run.accepted = changed.map_err(text)?;
    known
        .then_some(())
        .ok_or_else(|| format!("nothing is called so: {order:?}"))
}

/// Changes a configuration; returns whether what the order names exists.
fn apply_order(config: &mut config::FleetConfig, order: &spec::OperatorOrder) -> bool {
    let (in_service, taken_out) = (
        config::ServiceState::InService,
        config::ServiceState::TakenOut,
    );
    match order {
        spec::OperatorOrder::TakeOutCentre(name) => set_centre(config, name, taken_out),
        spec::OperatorOrder::BringBackCentre(name) => set_centre(config, name, in_service),
        spec::OperatorOrder::TakeOutEndpoint(name) => set_endpoint(config, name, taken_out),
        spec::OperatorOrder::BringBackEndpoint(name) => set_endpoint(config, name, in_service),
        spec::OperatorOrder::Placement(policy) => {
            config.policy.placement = *policy;
            true
        }
    }
}

fn set_centre(config: &mut config::FleetConfig, name: &str, state: config::ServiceState) -> bool {
    let entry = config.data_centres.get_mut(&ids::CentreId::new(name));
    entry.map(|entry| entry.state = state).is_some()
}

fn set_endpoint(config: &mut config::FleetConfig, name: &str, state: config::ServiceState) -> bool {
    let entry = config.endpoints.get_mut(&ids::EndpointId::new(name));
    entry.map(|entry| entry.state = state).is_some()
}

async fn tell_engine(run: &run::ScenarioRun, name: names::UnitName, path: &str) -> StepResult {
    let names::UnitName::Engine(index) = name else {
        return Err(format!("{name:?} is no engine"));
    };
    let unit = run.fleet.engines.get(index);
    let address = unit.ok_or_else(|| format!("there is no {name:?}"))?.address;
    let told = caller::send_json(address, http::Method::POST, path, &()).await;
    told.then_some(())
        .ok_or_else(|| format!("{name:?} did not answer"))
}
