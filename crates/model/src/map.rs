//! The aliases of hash maps and sets used throughout the workspace.

use std::collections;

/// A hash map with a fast hasher and a fixed seed, so that the iteration order is reproducible.
pub type HashMap<K, V> = collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// A hash set with the same hasher.
pub type HashSet<T> = collections::HashSet<T, rustc_hash::FxBuildHasher>;
