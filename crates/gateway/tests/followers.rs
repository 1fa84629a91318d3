//! Which connection of a daemon is current.

use sardinepaddle_gateway::followers;
use tokio::sync::mpsc;

const INCARNATION: u64 = 7;

// A daemon may reconnect before its old connection is detected as dead. The end of the old
// connection must not disconnect the new one, nor release the daemon's running requests.
#[test]
fn closing_a_replaced_connection_keeps_the_new_one() {
    let mut table = followers::FollowerTable::default();
    let (old, _old_outbox) = mpsc::unbounded_channel();
    let (new, mut new_outbox) = mpsc::unbounded_channel();
    table.connect(INCARNATION, old.clone());
    table.connect(INCARNATION, new.clone());
    assert!(!table.disconnect(INCARNATION, &old));
    assert!(table.send(INCARNATION, "verdict"));
    assert_eq!(new_outbox.try_recv(), Ok("verdict"));
    assert!(table.disconnect(INCARNATION, &new));
    assert!(table.is_empty());
    assert!(!table.send(INCARNATION, "verdict"));
}
