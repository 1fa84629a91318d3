//! A link between daemons and the platform's store, beside the stand-ins of `review/rig`.

pub mod link;
