//! Daemons whose requests this one places, and their current connections.

use model::map;
use tokio::sync::mpsc;

/// Connected daemons by incarnation. `M` is the type of the messages sent to them.
#[derive(Debug)]
pub struct FollowerTable<M> {
    followers: map::HashMap<u64, FollowerEntry<M>>,
}

#[derive(Debug)]
struct FollowerEntry<M> {
    outbox: mpsc::UnboundedSender<M>,
    /// Time of its last message, ms.
    heard_at: f64,
}

impl<M> Default for FollowerTable<M> {
    fn default() -> Self {
        Self {
            followers: map::HashMap::default(),
        }
    }
}

impl<M> FollowerTable<M> {
    /// Adds a connection, which replaces an older one of the same incarnation.
    ///
    /// ```
    /// let mut table = sardinepaddle_gateway::followers::FollowerTable::default();
    /// let (sender, mut outbox) = tokio::sync::mpsc::unbounded_channel();
    /// table.connect(7, sender);
    /// assert!(table.send(7, "placed"));
    /// assert_eq!(outbox.try_recv(), Ok("placed"));
    /// ```
    pub fn connect(&mut self, incarnation: u64, outbox: mpsc::UnboundedSender<M>) {
        let heard_at = f64::NEG_INFINITY;
        let entry = FollowerEntry { outbox, heard_at };
        self.followers.insert(incarnation, entry);
    }

    /// Records the time of a message from a daemon, ms.
    pub fn record_message(&mut self, incarnation: u64, now: f64) {
        if let Some(entry) = self.followers.get_mut(&incarnation) {
            entry.heard_at = now;
        }
    }

    /// Returns the number of daemons that have sent a message since a time, ms.
    ///
    /// ```
    /// let mut table = sardinepaddle_gateway::followers::FollowerTable::<()>::default();
    /// let (sender, _outbox) = tokio::sync::mpsc::unbounded_channel();
    /// table.connect(7, sender);
    /// table.record_message(7, 100.0);
    /// assert_eq!(table.heard_since(100.0), 1);
    /// assert_eq!(table.heard_since(100.5), 0);
    /// ```
    pub fn heard_since(&self, since: f64) -> usize {
        let entries = self.followers.values();
        entries.filter(|entry| entry.heard_at >= since).count()
    }

    /// Removes a connection. Returns `false` if a newer one of the same incarnation has replaced
    /// it.
    pub fn disconnect(&mut self, incarnation: u64, outbox: &mpsc::UnboundedSender<M>) -> bool {
        let current = self.followers.get(&incarnation);
        let was_current = current.is_some_and(|current| current.outbox.same_channel(outbox));
        if was_current {
            self.followers.remove(&incarnation);
        }
        was_current
    }

    /// Sends a message to a daemon; returns `false` if it is not connected.
    pub fn send(&self, incarnation: u64, message: M) -> bool {
        let entry = self.followers.get(&incarnation);
        entry.is_some_and(|entry| entry.outbox.send(message).is_ok())
    }

    /// Sends a message to all connected daemons.
    pub fn send_all(&self, message: &M)
    where
        M: Clone,
    {
        for entry in self.followers.values() {
            // A daemon that has just disconnected needs no message.
            let _ = entry.outbox.send(message.clone());
        }
    }

    /// Whether no daemon is connected.
    pub fn is_empty(&self) -> bool {
        self.followers.is_empty()
    }
}
