//! Errors of a file with their source spans.

use std::ops;

/// An error in a file.
#[derive(Clone, Debug, miette::Diagnostic, thiserror::Error)]
#[error("{message}")]
pub struct FileDiagnostic {
    /// Error message.
    pub message: String,
    /// Suggested correction.
    #[help]
    pub help: Option<String>,
    /// Byte range that the error refers to.
    #[label("here")]
    pub span: miette::SourceSpan,
}

impl FileDiagnostic {
    /// Creates an error for a byte range of the file.
    pub(crate) fn new(span: ops::Range<usize>, message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            help: None,
            span: span.into(),
        }
    }

    /// Sets the suggested correction.
    pub(crate) fn with_help(mut self, help: Option<String>) -> Self {
        self.help = help;
        self
    }
}

/// All errors of a file.
#[derive(Clone, Debug, miette::Diagnostic, thiserror::Error)]
#[error("{name} has {} error(s)", diagnostics.len())]
pub struct DiagnosticReport {
    /// Name of the file.
    pub name: String,
    /// Text of the file.
    #[source_code]
    pub text: miette::NamedSource<String>,
    /// The errors, ordered by their offset in the file.
    #[related]
    pub diagnostics: Vec<FileDiagnostic>,
}

impl DiagnosticReport {
    pub(crate) fn new(name: &str, text: &str, mut diagnostics: Vec<FileDiagnostic>) -> Self {
        diagnostics.sort_by_key(|diagnostic| diagnostic.span.offset());
        Self {
            name: name.to_owned(),
            text: miette::NamedSource::new(name, text.to_owned()),
            diagnostics,
        }
    }
}

/// Suggests the most similar of `names` if it is similar enough for `given` to be a typo of it.
pub(crate) fn suggest<'a>(given: &str, names: impl Iterator<Item = &'a str>) -> Option<String> {
    const MIN_SIMILARITY: f64 = 0.7;
    let scored = names.map(|name| (strsim::jaro_winkler(given, name), name));
    let similar = scored.filter(|(similarity, _)| *similarity >= MIN_SIMILARITY);
    let best = similar.max_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, name)| format!("did you mean {name}?"))
}
