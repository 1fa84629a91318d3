//! Which connection speaks for a daemon.

use sardinepaddle_gateway::followers;
use tokio::sync::mpsc;

const LIFE: u64 = 7;

// A daemon connected again before its old connection was found dead: the end of the old one cut the
// new one off, and gave its running requests back.
#[test]
fn the_end_of_an_old_connection_leaves_the_new_one() {
    let mut table = followers::FollowerTable::default();
    let (old, _old_outbox) = mpsc::unbounded_channel();
    let (new, mut new_outbox) = mpsc::unbounded_channel();
    table.connect(LIFE, old.clone());
    table.connect(LIFE, new.clone());
    assert!(!table.disconnect(LIFE, &old));
    assert!(table.send(LIFE, "verdict"));
    assert_eq!(new_outbox.try_recv(), Ok("verdict"));
    assert!(table.disconnect(LIFE, &new));
    assert!(table.is_empty());
    assert!(!table.send(LIFE, "verdict"));
}
