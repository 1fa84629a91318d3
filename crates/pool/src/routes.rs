//! Finds the route, service and customer of a request.

use std::sync;

use model::ids;
use model::map;
use model::serving;

/// Why a request is rejected before its placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires an API key, and the request has none or an unknown one.
    BadKey,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, RouteError>;

/// A request's route, service and customer.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route.
    pub route: sync::Arc<serving::RouteEntry>,
    /// The service chosen among the targets of the route.
    pub service: ids::ServiceId,
    /// The customer; `None` on public routes and if no customers are configured.
    pub customer: Option<ids::CustomerId>,
    /// Priority of the request; zero is the highest.
    pub priority: u8,
}

/// A configuration with an index of its routes.
#[derive(Debug, Default)]
pub struct RouteIndex {
    config: serving::ServingConfig,
    /// Routes by host, those with longer path prefixes first.
    by_host: map::HashMap<String, Vec<sync::Arc<serving::RouteEntry>>>,
}

impl RouteIndex {
    /// Creates the index of a configuration.
    pub fn new(config: serving::ServingConfig) -> Self {
        let mut by_host: map::HashMap<String, Vec<_>> = map::HashMap::default();
        for route in &config.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(route.clone());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { config, by_host }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &serving::ServingConfig {
        &self.config
    }

    /// Finds the route of a request and chooses a service by weight; `random` decides which.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        random: u64,
    ) -> Result<RouteMatch> {
        let host_header = host.to_ascii_lowercase();
        // The `Host` header may contain a port.
        let host_name = host_header
            .rsplit_once(':')
            .map_or(host_header.as_str(), |(host_name, _)| host_name);
        let routes = self
            .by_host
            .get(&host_header)
            .or_else(|| self.by_host.get(host_name));
        let route = routes
            .into_iter()
            .flatten()
            .find(|route| path.starts_with(&route.path_prefix))
            .ok_or(RouteError::NoRoute)?;
        let profile = self.authenticate(route, key)?;
        Ok(RouteMatch {
            route: route.clone(),
            service: pick_target(&route.targets, random),
            customer: profile.map(|profile| profile.customer.clone()),
            priority: profile
                .and_then(|profile| profile.priority)
                .unwrap_or(route.priority),
        })
    }

    fn authenticate(
        &self,
        route: &serving::RouteEntry,
        key: Option<&str>,
    ) -> Result<Option<&serving::CustomerProfile>> {
        let Some(customers) = &self.config.customers else {
            return Ok(None);
        };
        if route.public {
            return Ok(None);
        }
        let profile = key.and_then(|key| customers.get(key));
        profile.map(Some).ok_or(RouteError::BadKey)
    }
}

fn pick_target(targets: &[serving::RouteTarget], random: u64) -> ids::ServiceId {
    let total_weight: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut offset = random.checked_rem(total_weight).unwrap_or_default();
    for target in targets {
        let weight = u64::from(target.weight);
        if offset < weight {
            return target.service.clone();
        }
        offset -= weight;
    }
    // All weights are zero, so the first target is used.
    let first = targets.first().map(|target| target.service.clone());
    first.unwrap_or_else(|| ids::ServiceId::new(""))
}
