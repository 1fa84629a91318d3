//! Holds the watch on the configuration.

use std::sync;
use std::time::Duration;

use model::config;
use model::store;
use node::event;
use objects::client;
use tokio::sync::mpsc;

use crate::driver;

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after a watch call that failed.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Watches the configuration until the task is dropped.
pub(crate) async fn run(
    platform: client::PlatformClient,
    after: config::ConfigVersion,
    inputs: mpsc::Sender<driver::DriverInput>,
) {
    let mut after = store::ObjectVersion(after.0);
    loop {
        let event = match platform
            .watch(config::CONFIG_OBJECT, after, WATCH_WAIT)
            .await
        {
            Ok(Some(object)) => {
                after = object.version;
                parse(&object)
            }
            Ok(None) => Some(event::NodeEvent::WatchAnswered),
            Err(_) => {
                tokio::time::sleep(WATCH_PAUSE).await;
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

/// Reads a configuration; one that cannot be read is passed over, and the last one stays.
pub(crate) fn parse(object: &client::StoredObject) -> Option<event::NodeEvent> {
    match serde_json::from_str::<config::ConfigObject>(&object.value) {
        Ok(parsed) => Some(event::NodeEvent::ConfigReceived {
            version: config::ConfigVersion(object.version.0),
            config: sync::Arc::new(parsed.config),
        }),
        Err(error) => {
            log::error!(target: "sardinepaddle", "config: version {} is unreadable: {error}", object.version.0);
            None
        }
    }
}
