//! Parts common to all daemon processes: listeners and metrics.

pub mod listen;
pub mod scrape;
