//! Settings files and the configuration: parsing, checking, defaults, and generation of a
//! configuration from the answers to a questionnaire.

pub mod answers;
pub mod check;
pub mod daemon;
pub mod diagnostic;
pub mod gateway;
pub mod generate;
pub mod load;
pub mod networks;
pub mod operator;

mod consistency;
mod document;
mod file_schemas;
mod schema;
mod validator;
