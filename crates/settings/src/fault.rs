//! Faults of a file, each with its place.

use std::ops;

/// One fault of a file.
#[derive(Clone, Debug, miette::Diagnostic, thiserror::Error)]
#[error("{message}")]
pub struct FileFault {
    /// What is wrong.
    pub message: String,
    /// What would be right, if that can be guessed.
    #[help]
    pub help: Option<String>,
    /// Where.
    #[label("here")]
    pub place: miette::SourceSpan,
}

impl FileFault {
    /// A fault at some bytes of the file.
    pub(crate) fn new(place: ops::Range<usize>, message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            help: None,
            place: place.into(),
        }
    }

    /// Adds what would be right.
    pub(crate) fn help(mut self, help: Option<String>) -> Self {
        self.help = help;
        self
    }
}

/// All faults of a file.
#[derive(Clone, Debug, miette::Diagnostic, thiserror::Error)]
#[error("{name} has {} fault(s)", faults.len())]
pub struct FaultReport {
    /// The file.
    pub name: String,
    /// Its text.
    #[source_code]
    pub text: miette::NamedSource<String>,
    /// Its faults, in the order of their places.
    #[related]
    pub faults: Vec<FileFault>,
}

impl FaultReport {
    pub(crate) fn new(name: &str, text: &str, mut faults: Vec<FileFault>) -> Self {
        faults.sort_by_key(|fault| fault.place.offset());
        Self {
            name: name.to_owned(),
            text: miette::NamedSource::new(name, text.to_owned()),
            faults,
        }
    }
}

/// The nearest of some names, if it is near enough to be a slip.
pub(crate) fn nearest<'a>(given: &str, names: impl Iterator<Item = &'a str>) -> Option<String> {
    const LEAST_LIKENESS: f64 = 0.7;
    let rated = names.map(|name| (strsim::jaro_winkler(given, name), name));
    let near = rated.filter(|(likeness, _)| *likeness >= LEAST_LIKENESS);
    let best = near.max_by(|one, other| one.0.total_cmp(&other.0));
    best.map(|(_, name)| format!("did you mean {name}?"))
}
