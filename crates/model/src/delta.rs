//! Differences between two versions of the configuration.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::ids;

/// Changes to one section of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionDelta<K: Ord, V> {
    /// Added or changed entries.
    #[serde(default = "collections::BTreeMap::new")]
    pub put: collections::BTreeMap<K, V>,
    /// Keys of removed entries.
    #[serde(default = "Vec::new")]
    pub gone: Vec<K>,
}

/// The changes from one accepted configuration to a later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// Version that the changes apply to.
    pub base: config::ConfigVersion,
    /// Version that results from the changes.
    pub version: config::ConfigVersion,
    /// The changes.
    pub changes: ConfigChanges,
}

/// Changes to all sections of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigChanges {
    data_centres: SectionDelta<ids::CentreId, config::CentreEntry>,
    customers: SectionDelta<ids::CustomerId, config::CustomerEntry>,
    services: SectionDelta<ids::ServiceId, config::ServiceEntry>,
    endpoints: SectionDelta<ids::EndpointId, config::EndpointEntry>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    policy: Option<config::PolicyEntry>,
}

impl<K: Clone + Ord, V: Clone + PartialEq> SectionDelta<K, V> {
    fn between(old: &collections::BTreeMap<K, V>, new: &collections::BTreeMap<K, V>) -> Self {
        let put = new
            .iter()
            .filter(|(key, entry)| old.get(key) != Some(entry));
        let gone = old.keys().filter(|key| !new.contains_key(key));
        Self {
            put: put
                .map(|(key, entry)| (key.clone(), entry.clone()))
                .collect(),
            gone: gone.cloned().collect(),
        }
    }

    fn apply(&self, section: &mut collections::BTreeMap<K, V>) {
        for key in &self.gone {
            section.remove(key);
        }
        for (key, entry) in &self.put {
            section.insert(key.clone(), entry.clone());
        }
    }
}

impl ConfigChanges {
    /// Computes the changes from `old` to `new`.
    ///
    /// ```
    /// use sardinepaddle_model::{config, delta, ids};
    /// let old = config::FleetConfig::default();
    /// let mut new = old.clone();
    /// new.customers.insert(ids::CustomerId::new("school-1"), Default::default());
    /// let changes = delta::ConfigChanges::between(&old, &new);
    /// assert_eq!(changes.apply(&old), new);
    /// ```
    pub fn between(old: &config::FleetConfig, new: &config::FleetConfig) -> Self {
        // An exhaustive pattern, so that the compiler reports a new section that is missing here.
        let config::FleetConfig {
            data_centres,
            customers,
            services,
            endpoints,
            policy,
        } = new;
        Self {
            data_centres: SectionDelta::between(&old.data_centres, data_centres),
            customers: SectionDelta::between(&old.customers, customers),
            services: SectionDelta::between(&old.services, services),
            endpoints: SectionDelta::between(&old.endpoints, endpoints),
            policy: (old.policy != *policy).then(|| policy.clone()),
        }
    }

    /// Returns the configuration that results from applying the changes to `old`.
    pub fn apply(&self, old: &config::FleetConfig) -> config::FleetConfig {
        let mut new = old.clone();
        self.data_centres.apply(&mut new.data_centres);
        self.customers.apply(&mut new.customers);
        self.services.apply(&mut new.services);
        self.endpoints.apply(&mut new.endpoints);
        if let Some(policy) = &self.policy {
            new.policy = policy.clone();
        }
        new
    }
}
