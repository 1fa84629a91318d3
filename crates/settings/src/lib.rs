//! Settings of one daemon, read from a YAML file.

pub mod daemon;
pub mod load;
pub mod networks;
