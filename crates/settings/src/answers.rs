//! Answers to the questionnaire from which `sardinepaddle init` generates a configuration.

use std::net;

use model::config;
use serde::{Deserialize, Serialize};

/// Answers to all questions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetAnswers {
    /// Region of all data centres.
    pub region: String,
    /// The data centres.
    pub data_centres: Vec<CentreAnswer>,
    /// The customers.
    pub customers: Vec<CustomerAnswer>,
    /// The services.
    pub services: Vec<ServiceAnswer>,
}

/// Answers about one data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreAnswer {
    /// Its name.
    pub name: String,
    /// IP address of its first runner; each further runner gets the next address.
    pub first_address: net::IpAddr,
}

/// Answers about one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerAnswer {
    /// Its name.
    pub name: String,
    /// Size of its share of the capacity.
    #[serde(default)]
    pub size: CustomerSize,
}

/// Size of a customer's share of the capacity.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CustomerSize {
    /// The default share.
    #[default]
    Usual,
    /// Several times the default share.
    Large,
}

/// Answers about one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceAnswer {
    /// Its name.
    pub name: String,
    /// Whether it serves a model or plain requests.
    pub kind: config::ServiceKind,
    /// Number of runners, distributed over the data centres round-robin.
    pub runners: u32,
    /// Port that each runner listens on.
    pub port: u16,
    /// Request timeout in milliseconds; the default depends on the kind of service.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Requests that must not run twice, each as `METHOD /path-prefix`.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}
