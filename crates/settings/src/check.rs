//! Checks files, and reports all errors of a file at once, each with its source span.

use model::config;
use serde::de;

use crate::answers;
use crate::consistency;
use crate::daemon;
use crate::diagnostic;
use crate::document;
use crate::file_schemas;
use crate::operator;
use crate::schema;
use crate::validator;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Box<diagnostic::DiagnosticReport>>;

/// Kind of file that the check accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileKind {
    /// Answers to the questionnaire of `sardinepaddle init`.
    Answers,
    /// The configuration of a fleet.
    Config,
    /// Settings of a daemon.
    Daemon,
    /// Settings of the `sardinepaddle` command.
    Operator,
}

impl FileKind {
    /// All kinds, in the order in which `guess` prefers them on a tie.
    const ALL: [Self; 4] = [Self::Config, Self::Daemon, Self::Operator, Self::Answers];

    fn fields(self) -> &'static [schema::FieldSchema] {
        match self {
            Self::Answers => file_schemas::ANSWERS,
            Self::Config => file_schemas::CONFIG,
            Self::Daemon => file_schemas::DAEMON,
            Self::Operator => file_schemas::OPERATOR,
        }
    }

    /// Guesses the kind of a file from the number of top-level keys that each kind accepts.
    /// Returns [`FileKind::Config`] for a file that is empty or not valid YAML.
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
        let matching_keys = |kind: &Self| {
            let entries = document::entries(root);
            entries
                .filter(|(key, _, value)| kind.accepts(key, value))
                .count()
        };
        let best = Self::ALL.into_iter().rev().max_by_key(matching_keys);
        best.unwrap_or(Self::Config)
    }

    fn accepts(self, key: &str, value: &document::Node<'_>) -> bool {
        let field = self.fields().iter().find(|field| field.name == key);
        field.is_some_and(|field| match field.schema {
            schema::ValueSchema::List(_) => value.data.is_sequence(),
            schema::ValueSchema::Map(_) | schema::ValueSchema::Record(_) => value.data.is_mapping(),
            _ => !value.data.is_sequence() && !value.data.is_mapping(),
        })
    }
}

/// Checks a file of the given kind.
pub fn file(name: &str, text: &str, kind: FileKind) -> Result<()> {
    match kind {
        FileKind::Answers => answers(name, text).map(drop),
        FileKind::Config => config(name, text).map(drop),
        FileKind::Daemon => daemon(name, text).map(drop),
        FileKind::Operator => operator(name, text).map(drop),
    }
}

/// Checks and parses a configuration. `name` is the name of the file in error messages.
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
/// assert_eq!(report.diagnostics[0].help.as_deref(), Some("did you mean state?"));
/// ```
pub fn config(name: &str, text: &str) -> Result<config::FleetConfig> {
    parse(name, text, FileKind::Config, consistency::check_config)
}

/// Checks and parses the settings of a daemon.
pub fn daemon(name: &str, text: &str) -> Result<daemon::DaemonSettings> {
    parse(name, text, FileKind::Daemon, consistency::check_daemon)
}

/// Checks and parses the settings of the `sardinepaddle` command.
pub fn operator(name: &str, text: &str) -> Result<operator::OperatorSettings> {
    parse(name, text, FileKind::Operator, |_| Vec::new())
}

/// Checks and parses answers to the questionnaire.
pub fn answers(name: &str, text: &str) -> Result<answers::FleetAnswers> {
    parse(name, text, FileKind::Answers, consistency::check_answers)
}

fn parse<T: de::DeserializeOwned>(
    name: &str,
    text: &str,
    kind: FileKind,
    check_consistency: fn(&document::MarkedDocument<'_>) -> Vec<diagnostic::FileDiagnostic>,
) -> Result<T> {
    let report = |diagnostics| Box::new(diagnostic::DiagnosticReport::new(name, text, diagnostics));
    let document =
        document::MarkedDocument::parse(text).map_err(|diagnostic| report(vec![diagnostic]))?;
    let mut diagnostics = validator::SchemaValidator::validate(&document, kind.fields());
    diagnostics.extend(check_consistency(&document));
    if !diagnostics.is_empty() {
        return Err(report(diagnostics));
    }
    serde_yaml_ng::from_str(text).map_err(|error| {
        let offset = error.location().map_or(0, |location| location.index());
        let diagnostic = diagnostic::FileDiagnostic::new(
            offset.min(text.len())..offset.min(text.len()),
            error.to_string(),
        );
        report(vec![diagnostic])
    })
}
