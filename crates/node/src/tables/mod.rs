//! Tables of the entities that make up the machine's state.

pub(crate) mod claim;
pub(crate) mod endpoint;
pub(crate) mod ledger;
pub(crate) mod member;
pub(crate) mod queue;
pub(crate) mod request;
