//! Lists of networks that may connect to a port.

use std::net;

use serde::{Deserialize, Serialize};

/// List of networks in CIDR notation. The default is loopback and private networks.
///
/// ```
/// use sardinepaddle_settings::networks::NetworkList;
/// let list = NetworkList::default();
/// assert!(list.contains("10.1.2.3".parse().unwrap()));
/// assert!(!list.contains("203.0.113.9".parse().unwrap()));
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct NetworkList(Vec<ipnet::IpNet>);

/// Loopback, the private IPv4 ranges (RFC 1918) and the unique local IPv6 addresses (RFC 4193).
const PRIVATE_NETWORKS: [ipnet::IpNet; 6] = [
    v4([127, 0, 0, 0], 8),
    v4([10, 0, 0, 0], 8),
    v4([172, 16, 0, 0], 12),
    v4([192, 168, 0, 0], 16),
    v6(net::Ipv6Addr::LOCALHOST, 128),
    v6(net::Ipv6Addr::new(0xfc00, 0, 0, 0, 0, 0, 0, 0), 7),
];

const fn v4(octets: [u8; 4], prefix: u8) -> ipnet::IpNet {
    let address = net::Ipv4Addr::new(octets[0], octets[1], octets[2], octets[3]);
    ipnet::IpNet::V4(ipnet::Ipv4Net::new_assert(address, prefix))
}

const fn v6(address: net::Ipv6Addr, prefix: u8) -> ipnet::IpNet {
    ipnet::IpNet::V6(ipnet::Ipv6Net::new_assert(address, prefix))
}

impl Default for NetworkList {
    fn default() -> Self {
        Self(PRIVATE_NETWORKS.to_vec())
    }
}

impl NetworkList {
    /// Creates a list of the given networks.
    pub fn new(networks: Vec<ipnet::IpNet>) -> Self {
        Self(networks)
    }

    /// Returns whether an address is in one of the networks. IPv4-mapped IPv6 addresses count as
    /// IPv4.
    pub fn contains(&self, address: net::IpAddr) -> bool {
        let address = address.to_canonical();
        self.0.iter().any(|network| network.contains(&address))
    }
}
