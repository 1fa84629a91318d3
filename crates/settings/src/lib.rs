//! Settings files and the configuration: parsing, checking, defaults, and generation from a
//! questionnaire's answers.

pub mod answers;
pub mod check;
pub mod daemon;
pub mod fault;
pub mod gateway;
pub mod generate;
pub mod load;
pub mod networks;
pub mod operator;

mod cross;
mod document;
mod shape;
mod shapes;
mod walk;
