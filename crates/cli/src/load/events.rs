//! What happens to the fleet during a load.

use std::time::Duration;

use fakes::caller;
use model::config;
use model::ids;
use objects::client;
use tokio::time;

use crate::error;
use crate::load::experiment;
use crate::stand_ins;

/// Causes the events at their times.
pub(crate) async fn play(
    experiment: &experiment::LoadExperiment,
    mut fleet: Option<&mut stand_ins::StandInFleet>,
    started: time::Instant,
) -> error::Result<()> {
    let mut events = experiment.events.clone();
    events.sort_by_key(|event| event.at_ms);
    for event in events {
        time::sleep_until(started + Duration::from_millis(event.at_ms)).await;
        cause(experiment, fleet.as_deref_mut(), &event.event).await?;
    }
    Ok(())
}

async fn cause(
    experiment: &experiment::LoadExperiment,
    fleet: Option<&mut stand_ins::StandInFleet>,
    kind: &experiment::EventKind,
) -> error::Result<()> {
    match kind {
        experiment::EventKind::TakeOut { centre } => {
            let platform = platform(experiment, fleet.as_deref())?;
            set_centre(&platform, centre, config::ServiceState::TakenOut).await
        }
        experiment::EventKind::BringBack { centre } => {
            if let Some(fleet) = fleet.as_deref() {
                cool_centre(experiment, fleet, centre).await?;
            }
            let platform = platform(experiment, fleet.as_deref())?;
            set_centre(&platform, centre, config::ServiceState::InService).await
        }
        experiment::EventKind::KillEngine { engine } => {
            let fleet = fleet.ok_or_else(only_stand_ins)?;
            let slot = fleet.engines.get_mut(*engine).ok_or_else(no_engine)?;
            drop(slot.take());
            Ok(())
        }
        experiment::EventKind::Cold { engine } => {
            let fleet = fleet.ok_or_else(only_stand_ins)?;
            cool(fleet, *engine).await
        }
    }
}

/// Engines of a data centre that was out come back cold.
async fn cool_centre(
    experiment: &experiment::LoadExperiment,
    fleet: &stand_ins::StandInFleet,
    centre: &str,
) -> error::Result<()> {
    let centres = &experiment.fleet.centres;
    for index in 0..fleet.engines.len() {
        if centres[index % centres.len()] == centre {
            cool(fleet, index).await?;
        }
    }
    Ok(())
}

async fn cool(fleet: &stand_ins::StandInFleet, index: usize) -> error::Result<()> {
    let engine = fleet.engines.get(index).ok_or_else(no_engine)?;
    if let Some(engine) = engine {
        caller::send_json(engine.address(), http::Method::POST, "/fake/cold", &()).await;
    }
    Ok(())
}

async fn set_centre(
    platform: &client::PlatformClient,
    centre: &str,
    state: config::ServiceState,
) -> error::Result<()> {
    let name = ids::CentreId::new(centre);
    stand_ins::change_config(platform, |fleet| {
        if let Some(entry) = fleet.data_centres.get_mut(&name) {
            entry.state = state;
        }
    })
    .await
}

fn platform(
    experiment: &experiment::LoadExperiment,
    fleet: Option<&stand_ins::StandInFleet>,
) -> error::Result<client::PlatformClient> {
    if let Some(fleet) = fleet {
        return Ok(fleet.platform().clone());
    }
    let target = experiment.target.as_ref();
    let platform = target.and_then(|target| target.platform.as_ref());
    let platform = platform
        .ok_or_else(|| experiment::bad("an event of operators needs target.platform".to_owned()))?;
    Ok(client::PlatformClient::new(
        platform.object_api,
        platform.host_list,
    ))
}

fn only_stand_ins() -> error::CliError {
    experiment::bad("engines can be killed or cooled among stand-ins only".to_owned())
}

fn no_engine() -> error::CliError {
    experiment::bad("an event names an engine that does not exist".to_owned())
}
