//! Answers to the questionnaire from which a first configuration is generated.

use std::net;

use model::config;
use serde::{Deserialize, Serialize};

/// Everything that the questionnaire asks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetAnswers {
    /// Region of the data centres.
    pub region: String,
    /// The data centres.
    pub data_centres: Vec<CentreAnswer>,
    /// The customers.
    pub customers: Vec<CustomerAnswer>,
    /// The services.
    pub services: Vec<ServiceAnswer>,
}

/// One data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreAnswer {
    /// Its name.
    pub name: String,
    /// Address of its first runner; the others follow.
    pub first_address: net::IpAddr,
}

/// One customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerAnswer {
    /// Its name.
    pub name: String,
    /// How large a share it needs.
    #[serde(default)]
    pub size: CustomerSize,
}

/// How large a share a customer needs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CustomerSize {
    /// The usual share.
    #[default]
    Usual,
    /// Several usual shares.
    Large,
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceAnswer {
    /// Its name.
    pub name: String,
    /// A model or a plain service.
    pub kind: config::ServiceKind,
    /// Runners, dealt to the data centres in turn.
    pub runners: u32,
    /// Port that each runner listens on.
    pub port: u16,
    /// Time that a request may take, in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Requests that may not run twice, as method and path prefix.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}
