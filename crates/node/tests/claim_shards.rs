//! Each claim has one holder while shards grow, are moved to segments, and change owners.

use std::collections;
use std::time::Duration;

use model::ids;
use model::peer;
use model::store;
use model::time;
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use sardinepaddle_node::action;
use sardinepaddle_node::event;
use sardinepaddle_node::machine;
use sardinepaddle_node::settings;

/// An object of a [`MemoryStore`].
struct MemoryObject {
    version: store::ObjectVersion,
    value: String,
}

/// An in-memory object API.
#[derive(Default)]
struct MemoryStore {
    objects: collections::BTreeMap<String, MemoryObject>,
    revision: u64,
}

impl MemoryStore {
    fn call(&mut self, call: &store::StoreCall) -> store::StoreReply {
        match call {
            store::StoreCall::Read { name } => match self.objects.get(name) {
                Some(object) => store::StoreReply::Found {
                    version: object.version,
                    value: object.value.clone(),
                },
                None => store::StoreReply::Absent,
            },
            store::StoreCall::Write {
                name,
                expected,
                value,
            } => {
                let current = self
                    .objects
                    .get(name)
                    .map_or(store::ObjectVersion::ABSENT, |object| object.version);
                if current != *expected {
                    return store::StoreReply::Conflict;
                }
                self.revision += 1;
                let version = store::ObjectVersion(self.revision);
                self.objects.insert(
                    name.clone(),
                    MemoryObject {
                        version,
                        value: value.clone(),
                    },
                );
                store::StoreReply::Written { version }
            }
            store::StoreCall::Remove { name } => {
                self.objects.remove(name);
                store::StoreReply::Absent
            }
        }
    }

    fn segment_count(&self) -> usize {
        self.objects
            .keys()
            .filter(|name| name.starts_with("claims/0/"))
            .count()
    }
}

/// A call to the object API that has no reply yet.
struct OwnerCall {
    call: store::CallId,
    body: store::StoreCall,
}

/// A verdict sent by a shard's owner.
#[derive(Debug, PartialEq)]
struct SentVerdict {
    key: ids::ClaimKey,
    request: ids::RequestId,
    verdict: peer::ClaimVerdict,
}

/// An owner of the shard with its unanswered calls and the verdicts that it sent.
struct OwnerDriver {
    machine: machine::NodeMachine,
    calls: collections::VecDeque<OwnerCall>,
    verdicts: Vec<SentVerdict>,
}

const REQUESTER: &str = "asker";
const REQUESTER_INCARNATION: ids::NodeIncarnation = ids::NodeIncarnation(9);

fn address(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

impl OwnerDriver {
    fn new(name: &str, number: u64) -> Self {
        let centre = ids::CentreId::new("kgn-a");
        let settings =
            settings::NodeBuilder::new(ids::HostId::new(name), centre.clone(), address(1))
                .incarnation(ids::NodeIncarnation(number << 30))
                .claim_shards(1)
                .build();
        let now = time::MonoTime::default();
        let mut owner = Self {
            machine: machine::NodeMachine::new(settings, now),
            calls: collections::VecDeque::new(),
            verdicts: Vec::new(),
        };
        let requester = peer::HostEntry {
            host: ids::HostId::new(REQUESTER),
            data_centre: centre,
            peer_address: address(2),
            admin_address: address(3),
            leaving: false,
        };
        let listed = event::NodeEvent::HostsListed {
            hosts: vec![requester],
            leaving_endpoints: Vec::new(),
        };
        owner.step(now, listed);
        owner
    }

    fn step(&mut self, now: time::MonoTime, event: event::NodeEvent) {
        for action in self.machine.step(now, event) {
            match action {
                action::NodeAction::CallStore { call, body } => {
                    self.calls.push_back(OwnerCall { call, body })
                }
                action::NodeAction::SendPeer { envelope, .. } => {
                    if let peer::PeerMessage::ClaimReply {
                        key,
                        request,
                        verdict,
                    } = envelope.message
                    {
                        self.verdicts.push(SentVerdict {
                            key,
                            request,
                            verdict,
                        });
                    }
                }
                _ => {}
            }
        }
    }

    fn receive(&mut self, now: time::MonoTime, message: peer::PeerMessage) {
        let envelope = peer::PeerEnvelope {
            from: ids::HostId::new(REQUESTER),
            incarnation: REQUESTER_INCARNATION,
            reply_to: address(2),
            message,
        };
        self.step(now, event::NodeEvent::PeerReceived { envelope });
    }

    fn request_claim(&mut self, now: time::MonoTime, number: u64, count: u64) {
        self.receive(
            now,
            peer::PeerMessage::ClaimRequest {
                key: key(number),
                request: request(count),
                digest: 0,
            },
        );
    }

    /// Executes the next call and delivers its reply, or loses the reply after the effect.
    fn execute_call(&mut self, now: time::MonoTime, store: &mut MemoryStore, lost: bool) {
        let Some(call) = self.calls.pop_front() else {
            return;
        };
        let reply = store.call(&call.body);
        let reply = if lost { store::StoreReply::Lost } else { reply };
        self.step(
            now,
            event::NodeEvent::StoreReplied {
                call: call.call,
                reply,
            },
        );
    }

    /// Advances the time until all pending writes are done.
    fn finish_writes(&mut self, start: time::MonoTime, store: &mut MemoryStore) -> time::MonoTime {
        let mut now = start;
        for _ in 0..60 {
            now = now + Duration::from_millis(50);
            self.step(now, event::NodeEvent::Tick);
            self.execute_call(now, store, false);
        }
        now
    }
}

fn key(number: u64) -> ids::ClaimKey {
    let service = ids::ServiceId::new("stockdesk-app");
    ids::ClaimKey::digest(
        &service,
        &ids::CustomerId::new("depot"),
        &number.to_string(),
    )
}

fn request(count: u64) -> ids::RequestId {
    ids::RequestId {
        node: REQUESTER_INCARNATION,
        count,
    }
}

/// Owners and store after a [`race`].
struct RaceResult {
    owners: Vec<OwnerDriver>,
    store: MemoryStore,
}

/// Runs two owners of one shard at the same time, with calls executed at random times and some
/// replies lost.
fn race(seed: u64, keys: u64, steps: u64) -> RaceResult {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut store = MemoryStore::default();
    let mut owners = vec![OwnerDriver::new("one", 1), OwnerDriver::new("two", 2)];
    let mut now = time::MonoTime::default();
    for step in 0..steps {
        now = now + Duration::from_millis(rng.random_range(0..30));
        let index = rng.random_range(0..owners.len());
        let owner = &mut owners[index];
        match rng.random_range(0..10) {
            0..=4 => owner.request_claim(now, rng.random_range(0..keys), step),
            5 => owner.step(now, event::NodeEvent::Tick),
            _ => {
                let lost = rng.random_range(0..200) == 0;
                owner.execute_call(now, &mut store, lost);
            }
        }
    }
    for owner in &mut owners {
        now = owner.finish_writes(now, &mut store);
    }
    RaceResult { owners, store }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4, ..ProptestConfig::default() })]

    #[test]
    fn each_key_is_held_by_at_most_one_request(seed in any::<u64>()) {
        let result = race(seed, 1_200, 8_000);
        let mut holders = collections::BTreeMap::new();
        for sent in result.owners.iter().flat_map(|owner| &owner.verdicts) {
            if sent.verdict == peer::ClaimVerdict::Recorded {
                let holder = holders.entry(sent.key.clone()).or_insert(sent.request);
                prop_assert_eq!(*holder, sent.request);
            }
        }
        prop_assert!(holders.len() > 500, "only {} keys were claimed", holders.len());
        prop_assert!(result.store.segment_count() > 1, "no segment was written");
    }
}

#[test]
fn settled_claim_in_a_segment_answers_a_repeat() {
    let mut store = MemoryStore::default();
    let mut owner = OwnerDriver::new("one", 1);
    let mut now = time::MonoTime::default();
    for number in 0..1_000 {
        owner.request_claim(now, number, number);
    }
    now = owner.finish_writes(now, &mut store);
    let answer = model::outcome::RecordedAnswer {
        status: 200,
        body: Some("done".to_owned()),
    };
    let settlement = peer::ClaimSettlement::Answered(answer.clone());
    owner.receive(
        now,
        peer::PeerMessage::ClaimSettle {
            key: key(7),
            request: request(7),
            settlement,
        },
    );
    for number in 1_000..2_000 {
        owner.request_claim(now, number, number);
    }
    owner.finish_writes(now, &mut store);
    assert!(store.segment_count() >= 1);

    let mut successor = OwnerDriver::new("two", 2);
    let now = time::MonoTime::default();
    successor.request_claim(now, 7, 5_000);
    successor.request_claim(now, 8, 5_001);
    successor.finish_writes(now, &mut store);
    let verdict = peer::ClaimVerdict::Answered(answer);
    let answered = SentVerdict {
        key: key(7),
        request: request(5_000),
        verdict,
    };
    assert!(
        successor.verdicts.contains(&answered),
        "{:?}",
        successor.verdicts
    );
    let verdict = peer::ClaimVerdict::Taken;
    let taken = SentVerdict {
        key: key(8),
        request: request(5_001),
        verdict,
    };
    assert!(
        successor.verdicts.contains(&taken),
        "{:?}",
        successor.verdicts
    );
}
