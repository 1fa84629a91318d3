//! Daemons whose requests this one places, and the connections that speak for them.

use model::map;
use tokio::sync::mpsc;

/// Connected daemons by their lives. `M` is what is sent to them.
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
    /// A daemon connected; an older connection of the same life speaks for it no more.
    ///
    /// ```
    /// let mut table = sardinepaddle_gateway::followers::FollowerTable::default();
    /// let (sender, mut outbox) = tokio::sync::mpsc::unbounded_channel();
    /// table.connect(7, sender);
    /// assert!(table.send(7, "placed"));
    /// assert_eq!(outbox.try_recv(), Ok("placed"));
    /// ```
    pub fn connect(&mut self, life: u64, outbox: mpsc::UnboundedSender<M>) {
        self.outboxes.insert(life, outbox);
    }

    /// A connection is over; says whether it spoke for the daemon, which is then gone.
    pub fn disconnect(&mut self, life: u64, outbox: &mpsc::UnboundedSender<M>) -> bool {
        let current = self.outboxes.get(&life);
        let was_current = current.is_some_and(|current| current.same_channel(outbox));
        if was_current {
            self.outboxes.remove(&life);
        }
        was_current
    }

    /// Sends to a daemon; `false` if it is not connected.
    pub fn send(&self, life: u64, message: M) -> bool {
        let outbox = self.outboxes.get(&life);
        outbox.is_some_and(|outbox| outbox.send(message).is_ok())
    }

    /// Sends to all connected daemons.
    pub fn send_all(&self, message: &M)
    where
        M: Clone,
    {
        for outbox in self.outboxes.values() {
            // One that has just gone needs no word.
            let _ = outbox.send(message.clone());
        }
    }

    /// Whether no daemon is connected.
    pub fn is_empty(&self) -> bool {
        self.outboxes.is_empty()
    }
}
