//! Claims stay single while shards grow, are moved to segments, and change owners.

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

/// An object in memory.
struct MemoryObject {
    version: store::ObjectVersion,
    value: String,
}

/// An object API in memory.
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

    fn segments(&self) -> usize {
        self.objects
            .keys()
            .filter(|name| name.starts_with("claims/0/"))
            .count()
    }
}

/// A call under way.
struct OwnerCall {
    call: store::CallId,
    body: store::StoreCall,
}

/// A verdict that an owner gave.
#[derive(Debug, PartialEq)]
struct GivenVerdict {
    key: ids::ClaimKey,
    request: ids::RequestId,
    verdict: peer::ClaimVerdict,
}

/// One owner with its calls under way and the verdicts that it gave.
struct OwnerDriver {
    machine: machine::NodeMachine,
    calls: collections::VecDeque<OwnerCall>,
    verdicts: Vec<GivenVerdict>,
}

const ASKER: &str = "asker";
const ASKER_LIFE: ids::NodeIncarnation = ids::NodeIncarnation(9);

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
        let asker = peer::HostEntry {
            host: ids::HostId::new(ASKER),
            data_centre: centre,
            peer_address: address(2),
            admin_address: address(3),
            leaving: false,
        };
        let listed = event::NodeEvent::HostsListed {
            hosts: vec![asker],
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
                        self.verdicts.push(GivenVerdict {
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

    fn hear(&mut self, now: time::MonoTime, message: peer::PeerMessage) {
        let envelope = peer::PeerEnvelope {
            from: ids::HostId::new(ASKER),
            incarnation: ASKER_LIFE,
            reply_to: address(2),
            message,
        };
        self.step(now, event::NodeEvent::PeerReceived { envelope });
    }

    fn ask(&mut self, now: time::MonoTime, number: u64, count: u64) {
        self.hear(
            now,
            peer::PeerMessage::ClaimRequest {
                key: key(number),
                request: request(count),
                digest: 0,
            },
        );
    }

    /// Lets the store answer the next call, or lose the answer after the effect.
    fn answer(&mut self, now: time::MonoTime, store: &mut MemoryStore, lost: bool) {
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

    /// Lets time pass until all that waits is written.
    fn settle(&mut self, start: time::MonoTime, store: &mut MemoryStore) -> time::MonoTime {
        let mut now = start;
        for _ in 0..60 {
            now = now + Duration::from_millis(50);
            self.step(now, event::NodeEvent::Tick);
            self.answer(now, store, false);
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
        node: ASKER_LIFE,
        count,
    }
}

/// What two owners of one shard did.
struct RaceResult {
    owners: Vec<OwnerDriver>,
    store: MemoryStore,
}

/// Two owners at once, calls answered at any time, some answers lost.
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
            0..=4 => owner.ask(now, rng.random_range(0..keys), step),
            5 => owner.step(now, event::NodeEvent::Tick),
            _ => {
                let lost = rng.random_range(0..200) == 0;
                owner.answer(now, &mut store, lost);
            }
        }
    }
    for owner in &mut owners {
        now = owner.settle(now, &mut store);
    }
    RaceResult { owners, store }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4, ..ProptestConfig::default() })]

    #[test]
    fn one_request_at_most_holds_each_key(seed in any::<u64>()) {
        let result = race(seed, 1_200, 8_000);
        let mut holders = collections::BTreeMap::new();
        for given in result.owners.iter().flat_map(|owner| &owner.verdicts) {
            if given.verdict == peer::ClaimVerdict::Recorded {
                let holder = holders.entry(given.key.clone()).or_insert(given.request);
                prop_assert_eq!(*holder, given.request);
            }
        }
        prop_assert!(holders.len() > 500, "only {} keys were claimed", holders.len());
        prop_assert!(result.store.segments() > 1, "no segment was written");
    }
}

#[test]
fn a_settled_claim_answers_from_a_segment() {
    let mut store = MemoryStore::default();
    let mut owner = OwnerDriver::new("one", 1);
    let mut now = time::MonoTime::default();
    for number in 0..1_000 {
        owner.ask(now, number, number);
    }
    now = owner.settle(now, &mut store);
    let answer = model::outcome::RecordedAnswer {
        status: 200,
        body: Some("done".to_owned()),
    };
    let settlement = peer::ClaimSettlement::Answered(answer.clone());
    owner.hear(
        now,
        peer::PeerMessage::ClaimSettle {
            key: key(7),
            request: request(7),
            settlement,
        },
    );
    for number in 1_000..2_000 {
        owner.ask(now, number, number);
    }
    owner.settle(now, &mut store);
    assert!(store.segments() >= 1);

    let mut heir = OwnerDriver::new("two", 2);
    let now = time::MonoTime::default();
    heir.ask(now, 7, 5_000);
    heir.ask(now, 8, 5_001);
    heir.settle(now, &mut store);
    let verdict = peer::ClaimVerdict::Answered(answer);
    let answered = GivenVerdict {
        key: key(7),
        request: request(5_000),
        verdict,
    };
    assert!(heir.verdicts.contains(&answered), "{:?}", heir.verdicts);
    let verdict = peer::ClaimVerdict::Taken;
    let taken = GivenVerdict {
        key: key(8),
        request: request(5_001),
        verdict,
    };
    assert!(heir.verdicts.contains(&taken), "{:?}", heir.verdicts);
}
