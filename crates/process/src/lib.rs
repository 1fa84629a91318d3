//! What each daemon process opens, whatever it serves: its ports and its metrics.

pub mod listen;
pub mod scrape;
