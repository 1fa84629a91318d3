//! Ids, units, configuration and messages shared by every part of sardinepaddle.

pub mod audit;
pub mod config;
pub mod delta;
pub mod ids;
pub mod load;
pub mod map;
pub mod millis;
pub mod outcome;
pub mod peer;
pub mod request;
pub mod serving;
pub mod store;
pub mod time;
