//! Names of processes and links in a scenario.

use serde::Deserialize;

/// Names a process of the fleet: `daemon-0`, `engine-1`, `plain-0`, `store` or `hosts`.
///
/// ```
/// use sardinepaddle_fakes::scenario::names::UnitName;
/// let name = UnitName::try_from("engine-1".to_owned()).unwrap();
/// assert_eq!(name, UnitName::Engine(1));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(try_from = "String")]
pub enum UnitName {
    /// A daemon.
    Daemon(usize),
    /// An engine.
    Engine(usize),
    /// A plain endpoint.
    Plain(usize),
    /// The object API.
    Store,
    /// The host list.
    Hosts,
}

/// Names a link: `daemon-0 store`, `daemon-0 peers`, `engine-1` or `plain-0`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(try_from = "String")]
pub enum LinkName {
    /// From a daemon to the object API.
    DaemonStore(usize),
    /// From a daemon's peers to it.
    DaemonPeers(usize),
    /// From all daemons to an engine.
    Engine(usize),
    /// From all daemons to a plain endpoint.
    Plain(usize),
}

impl TryFrom<String> for UnitName {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        match text.as_str() {
            "store" => return Ok(Self::Store),
            "hosts" => return Ok(Self::Hosts),
            _ => {}
        }
        let (kind, number) = numbered(&text)?;
        match kind {
            "daemon" => Ok(Self::Daemon(number)),
            "engine" => Ok(Self::Engine(number)),
            "plain" => Ok(Self::Plain(number)),
            _ => Err(format!("no process is called {text:?}")),
        }
    }
}

impl TryFrom<String> for LinkName {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (unit, end) = text.split_once(' ').unwrap_or((&text, ""));
        let (kind, number) = numbered(unit)?;
        match (kind, end) {
            ("daemon", "store") => Ok(Self::DaemonStore(number)),
            ("daemon", "peers") => Ok(Self::DaemonPeers(number)),
            ("engine", "") => Ok(Self::Engine(number)),
            ("plain", "") => Ok(Self::Plain(number)),
            _ => Err(format!("no link is called {text:?}")),
        }
    }
}

fn numbered(text: &str) -> Result<(&str, usize), String> {
    let parts = text.rsplit_once('-');
    let parts = parts.and_then(|(kind, number)| Some((kind, number.parse().ok()?)));
    parts.ok_or_else(|| format!("{text:?} has no number"))
}
