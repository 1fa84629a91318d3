//! Watches the configuration object.

use std::sync;
use std::time::Duration;

use model::config;
use model::store;
use node::event;
use objects::client;
use tokio::sync::mpsc;

use crate::driver;

/// Longest duration of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed watch call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Watches the configuration until the task is aborted or the driver ends.
pub(crate) async fn run(
    platform: client::PlatformClient,
    after: config::ConfigVersion,
    inputs: mpsc::Sender<driver::DriverInput>,
) {
    let mut after = store::ObjectVersion(after.0);
    loop {
        let event = match platform
            .watch(config::CONFIG_OBJECT, after, WATCH_TIMEOUT)
            .await
        {
            Ok(Some(object)) => {
                after = object.version;
                parse(&object)
            }
            Ok(None) => Some(event::NodeEvent::WatchAnswered),
            Err(_) => {
                tokio::time::sleep(RETRY_DELAY).await;
                None
            }
        };
        let Some(event) = event else {
            continue;
        };
        if inputs
            .send(driver::DriverInput::event(event))
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Parses a configuration. An invalid one is logged and ignored, so the last one stays in force.
pub(crate) fn parse(object: &client::StoredObject) -> Option<event::NodeEvent> {
    match serde_json::from_str::<config::ConfigObject>(&object.value) {
        Ok(parsed) => Some(event::NodeEvent::ConfigReceived {
            version: config::ConfigVersion(object.version.0),
            config: sync::Arc::new(parsed.config),
        }),
        Err(error) => {
            log::error!(target: "sardinepaddle", "config: version {} cannot be parsed: {error}", object.version.0);
            None
        }
    }
}
