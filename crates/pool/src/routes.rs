//! Finds the route and the customer of a request.

use std::sync;

use model::ids;
use model::map;
use model::serving;

/// Why a request is turned away before it is placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// No route has this host and path.
    NoRoute,
    /// The route needs a key, and none or an unknown one came.
    BadKey,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, RouteError>;

/// A request's route, service and customer.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route.
    pub route: sync::Arc<serving::RouteEntry>,
    /// The service picked among its targets.
    pub service: ids::ServiceId,
    /// The customer; `None` on public routes and where there are no customers.
    pub customer: Option<ids::CustomerId>,
    /// Rank of the request; zero goes first.
    pub priority: u8,
}

/// A configuration, indexed for requests.
#[derive(Debug, Default)]
pub struct RouteIndex {
    config: serving::ServingConfig,
    /// Routes by host, those with longer prefixes first.
    by_host: map::HashMap<String, Vec<sync::Arc<serving::RouteEntry>>>,
}

impl RouteIndex {
    /// Indexes a configuration.
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

    /// The configuration.
    pub fn config(&self) -> &serving::ServingConfig {
        &self.config
    }

    /// Finds the route of a request; `draw` picks among weighted services.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>, draw: u64) -> Result<RouteMatch> {
        let host = host.to_ascii_lowercase();
        // A port in the header is no part of the name.
        let name = host
            .rsplit_once(':')
            .map_or(host.as_str(), |(name, _)| name);
        let routes = self.by_host.get(&host).or_else(|| self.by_host.get(name));
        let route = routes
            .into_iter()
            .flatten()
            .find(|route| path.starts_with(&route.path_prefix))
            .ok_or(RouteError::NoRoute)?;
        let grant = self.grant(route, key)?;
        Ok(RouteMatch {
            route: route.clone(),
            service: pick(&route.targets, draw),
            customer: grant.map(|grant| grant.customer.clone()),
            priority: grant
                .and_then(|grant| grant.priority)
                .unwrap_or(route.priority),
        })
    }

    fn grant(
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
        let grant = key.and_then(|key| customers.get(key));
        grant.map(Some).ok_or(RouteError::BadKey)
    }
}

fn pick(targets: &[serving::RouteTarget], draw: u64) -> ids::ServiceId {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut point = draw.checked_rem(total).unwrap_or_default();
    for target in targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return target.service.clone();
        }
        point -= weight;
    }
    // All weights are zero: the first is as good as any.
    let first = targets.first().map(|target| target.service.clone());
    first.unwrap_or_else(|| ids::ServiceId::new(""))
}
