//! Daemons whose requests this one places, and their current connections.

use model::map;
use tokio::sync::mpsc;

/// Connected daemons by incarnation. `M` is the type of the messages sent to them.
#[derive(Debug)]
pub struct FollowerTable<M> {
    outboxes: map::HashMap<u64, mpsc::UnboundedSender<M>>,
}

impl<M> Default for FollowerTable<M> {
    fn default() -> Self {
        Self {
            outboxes: map::HashMap::default(),
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
        self.outboxes.insert(incarnation, outbox);
    }

    /// Removes a connection. Returns `false` if a newer one of the same incarnation has replaced
    /// it.
    pub fn disconnect(&mut self, incarnation: u64, outbox: &mpsc::UnboundedSender<M>) -> bool {
        let current = self.outboxes.get(&incarnation);
        let was_current = current.is_some_and(|current| current.same_channel(outbox));
        if was_current {
            self.outboxes.remove(&incarnation);
        }
        was_current
    }

    /// Sends a message to a daemon; returns `false` if it is not connected.
    pub fn send(&self, incarnation: u64, message: M) -> bool {
        let outbox = self.outboxes.get(&incarnation);
        outbox.is_some_and(|outbox| outbox.send(message).is_ok())
    }

    /// Sends a message to all connected daemons.
    pub fn send_all(&self, message: &M)
    where
        M: Clone,
    {
        for outbox in self.outboxes.values() {
            // A daemon that has just disconnected needs no message.
            let _ = outbox.send(message.clone());
        }
    }

    /// Whether no daemon is connected.
    pub fn is_empty(&self) -> bool {
        self.outboxes.is_empty()
    }
}
