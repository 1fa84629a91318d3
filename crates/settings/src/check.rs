//! Checks files: every fault at once, each with its place.

use model::config;
use serde::de;

use crate::answers;
use crate::cross;
use crate::daemon;
use crate::document;
use crate::fault;
use crate::operator;
use crate::shape;
use crate::shapes;
use crate::walk;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Box<fault::FaultReport>>;

/// What a file is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileKind {
    /// Answers to the questionnaire.
    Answers,
    /// The configuration of a fleet.
    Config,
    /// Settings of a daemon.
    Daemon,
    /// Settings of the operators' command.
    Operator,
}

impl FileKind {
    /// Kinds of files, the likelier first.
    const ALL: [Self; 4] = [Self::Config, Self::Daemon, Self::Operator, Self::Answers];

    fn fields(self) -> &'static [shape::FieldShape] {
        match self {
            Self::Answers => shapes::ANSWERS,
            Self::Config => shapes::CONFIG,
            Self::Daemon => shapes::DAEMON,
            Self::Operator => shapes::OPERATOR,
        }
    }

    /// The kind that a file seems to be, by its outermost keys and their values.
    ///
    /// ```
    /// use sardinepaddle_settings::check::FileKind;
    /// assert_eq!(FileKind::guess("host: a1\nlisten: {}\n"), FileKind::Daemon);
    /// ```
    pub fn guess(text: &str) -> Self {
        let Ok(document) = document::MarkedDocument::parse(text) else {
            return Self::Config;
        };
        let Some(root) = document.root() else {
            return Self::Config;
        };
        let score = |kind: &Self| {
            let entries = document::entries(root);
            entries
                .filter(|(key, _, value)| kind.suits(key, value))
                .count()
        };
        let best = Self::ALL.into_iter().rev().max_by_key(score);
        best.unwrap_or(Self::Config)
    }

    fn suits(self, key: &str, value: &document::Node<'_>) -> bool {
        let field = self.fields().iter().find(|field| field.name == key);
        field.is_some_and(|field| match field.shape {
            shape::ValueShape::List(_) => value.data.is_sequence(),
            shape::ValueShape::Table(_) | shape::ValueShape::Record(_) => value.data.is_mapping(),
            _ => !value.data.is_sequence() && !value.data.is_mapping(),
        })
    }
}

/// Checks a file of some kind.
pub fn file(name: &str, text: &str, kind: FileKind) -> Result<()> {
    match kind {
        FileKind::Answers => answers(name, text).map(drop),
        FileKind::Config => config(name, text).map(drop),
        FileKind::Daemon => daemon(name, text).map(drop),
        FileKind::Operator => operator(name, text).map(drop),
    }
}

/// Checks and reads a configuration.
///
/// ```
/// use sardinepaddle_settings::check;
/// let text = "
/// data_centres: { kgn-a: { region: jm-south, stat: taken_out } }
/// customers: {}
/// services: {}
/// endpoints: {}
/// ";
/// let report = check::config("fleet.yaml", text).unwrap_err();
/// assert_eq!(report.faults[0].help.as_deref(), Some("did you mean state?"));
/// ```
pub fn config(name: &str, text: &str) -> Result<config::FleetConfig> {
    read(name, text, FileKind::Config, cross::config_faults)
}

/// Checks and reads a daemon's settings.
pub fn daemon(name: &str, text: &str) -> Result<daemon::DaemonSettings> {
    read(name, text, FileKind::Daemon, cross::daemon_faults)
}

/// Checks and reads settings of the operators' command.
pub fn operator(name: &str, text: &str) -> Result<operator::OperatorSettings> {
    read(name, text, FileKind::Operator, |_| Vec::new())
}

/// Checks and reads answers to the questionnaire.
pub fn answers(name: &str, text: &str) -> Result<answers::FleetAnswers> {
    read(name, text, FileKind::Answers, cross::answer_faults)
}

fn read<T: de::DeserializeOwned>(
    name: &str,
    text: &str,
    kind: FileKind,
    cross: fn(&document::MarkedDocument<'_>) -> Vec<fault::FileFault>,
) -> Result<T> {
    let report = |faults| Box::new(fault::FaultReport::new(name, text, faults));
    let document = document::MarkedDocument::parse(text).map_err(|fault| report(vec![fault]))?;
    let mut faults = walk::ShapeWalk::faults(&document, kind.fields());
    faults.extend(cross(&document));
    if !faults.is_empty() {
        return Err(report(faults));
    }
    serde_yaml_ng::from_str(text).map_err(|error| {
        let at = error.location().map_or(0, |location| location.index());
        let fault =
            fault::FileFault::new(at.min(text.len())..at.min(text.len()), error.to_string());
        report(vec![fault])
    })
}
