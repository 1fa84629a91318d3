//! Finding the part of prompts on which endpoints crash.

use std::collections;

use model::ids;
use model::map;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use sardinepaddle_pool::crashes;
use sardinepaddle_pool::crashes::QuarantineChange;
use sardinepaddle_pool::quarantine;
use sardinepaddle_pool::quarantine::CrashCause;
use sardinepaddle_pool::quarantine::RequestFeatures;

/// Time from the first event on a crashing part to the crash, ms.
const CRASH_AFTER_MS: f64 = 60.0;
/// Interval at which the simulation advances, ms.
const STEP_MS: f64 = 10.0;

fn part(number: u64) -> ids::PartId {
    ids::PartId::from_name(&format!("{number:x}"))
}

/// Returns the features of a prompt with some parts.
fn with_parts(parts: &[ids::PartId]) -> RequestFeatures {
    RequestFeatures {
        parts: parts.to_vec(),
        digest: None,
    }
}

fn digest(number: u64) -> ids::RequestDigest {
    ids::RequestDigest::of(&[&number.to_le_bytes()])
}

/// Returns the features of a call, which has no prompt.
fn call(number: u64) -> RequestFeatures {
    RequestFeatures {
        parts: Vec::new(),
        digest: Some(digest(number)),
    }
}

fn incarnation(number: u64) -> crashes::EndpointIncarnation {
    (ids::EndpointId::new(&format!("e{number}")), 0)
}

fn quarantined_causes(tracker: &mut crashes::CrashTracker) -> Vec<CrashCause> {
    let changes = tracker.take_changes().into_iter();
    let started = changes.filter_map(|change| match change {
        QuarantineChange::Start { cause, .. } => Some(cause),
        QuarantineChange::Release { .. } => None,
    });
    started.collect()
}

fn quarantined(tracker: &mut crashes::CrashTracker) -> Vec<Vec<ids::PartId>> {
    let causes = quarantined_causes(tracker).into_iter();
    let parts = causes.map(|cause| match cause {
        CrashCause::Parts(parts) => parts,
        CrashCause::Request(digest) => panic!("request {digest} quarantined"),
    });
    parts.collect()
}

/// Returns a tracker that has seen answers on prompts without a common part.
fn tracker_with_answers() -> crashes::CrashTracker {
    let mut tracker = crashes::CrashTracker::default();
    for number in 0..16 {
        tracker.record_sound(500.0, &with_parts(&[part(0x500 + number)]));
    }
    tracker
}

/// Crashes endpoint after endpoint, each with the given prompts.
fn crash_on(tracker: &mut crashes::CrashTracker, crashes: &[&[&[ids::PartId]]]) {
    for (number, prompts) in crashes.iter().enumerate() {
        let now = 1_000.0 * (number as f64 + 1.0);
        for parts in *prompts {
            tracker.record_break(
                now,
                &incarnation(number as u64),
                now - 100.0,
                Some(now),
                &with_parts(parts),
            );
        }
        tracker.tick(now + 500.0, map::HashSet::default);
    }
}

#[test]
fn part_of_three_crashes_is_quarantined() {
    let mut tracker = tracker_with_answers();
    let prompts: [&[&[ids::PartId]]; 3] = [
        &[&[part(1), part(9)], &[part(1), part(2)]],
        &[&[part(9), part(3)]],
        &[&[part(4)], &[part(9)]],
    ];
    crash_on(&mut tracker, &prompts[..2]);
    assert!(quarantined(&mut tracker).is_empty());
    let mut tracker = tracker_with_answers();
    crash_on(&mut tracker, &prompts);
    assert_eq!(quarantined(&mut tracker), [[part(9)]]);
}

#[test]
fn nothing_is_quarantined_without_answers_to_compare_with() {
    let mut tracker = crashes::CrashTracker::default();
    let prompt: &[&[ids::PartId]] = &[&[part(1)]];
    crash_on(&mut tracker, &[prompt; 10]);
    assert!(tracker.take_changes().is_empty());
    for number in 0..16 {
        tracker.record_sound(20_000.0, &with_parts(&[part(0x500 + number)]));
    }
    tracker.record_break(
        20_000.0,
        &incarnation(10),
        19_900.0,
        None,
        &with_parts(&[part(1)]),
    );
    tracker.tick(20_500.0, map::HashSet::default);
    assert_eq!(quarantined(&mut tracker), [[part(1)]]);
}

#[test]
fn parts_that_always_come_together_are_quarantined_together_until_one_crashes_alone() {
    let mut tracker = tracker_with_answers();
    let prompt: &[&[ids::PartId]] = &[&[part(1), part(9)]];
    crash_on(&mut tracker, &[prompt; 3]);
    assert_eq!(quarantined(&mut tracker), [[part(1), part(9)]]);
    tracker.record_sound(9_000.0, &with_parts(&[part(1)]));
    assert!(tracker.take_changes().is_empty());
    tracker.record_break(
        10_000.0,
        &incarnation(10),
        9_900.0,
        None,
        &with_parts(&[part(2), part(9)]),
    );
    tracker.tick(10_500.0, map::HashSet::default);
    let start = QuarantineChange::Start {
        cause: CrashCause::Parts(vec![part(9)]),
        endpoints: (0..3)
            .chain([10])
            .map(|number| incarnation(number).0)
            .collect(),
        doubtful: false,
    };
    let release = QuarantineChange::Release {
        cause: CrashCause::Parts(vec![part(1), part(9)]),
    };
    assert_eq!(tracker.take_changes(), [release, start]);
}

#[test]
fn answer_on_a_prompt_with_all_quarantined_parts_ends_their_quarantine() {
    let mut tracker = tracker_with_answers();
    let prompt: &[&[ids::PartId]] = &[&[part(1), part(9)]];
    crash_on(&mut tracker, &[prompt; 3]);
    assert_eq!(quarantined(&mut tracker), [[part(1), part(9)]]);
    tracker.record_sound(9_000.0, &with_parts(&[part(1), part(2), part(9)]));
    let release = QuarantineChange::Release {
        cause: CrashCause::Parts(vec![part(1), part(9)]),
    };
    assert_eq!(tracker.take_changes(), [release]);
}

#[test]
fn part_that_is_answered_as_often_as_it_is_in_crashes_is_not_quarantined() {
    let mut tracker = tracker_with_answers();
    for number in 0..20 {
        let now = 1_000.0 * (number as f64 + 1.0);
        let endpoint = incarnation(number);
        tracker.record_break(now, &endpoint, now - 100.0, None, &with_parts(&[part(1)]));
        tracker.tick(now + 500.0, map::HashSet::default);
        tracker.record_sound(now + 600.0, &with_parts(&[part(1)]));
    }
    assert!(tracker.take_changes().is_empty());
}

#[test]
fn endpoints_that_end_at_the_same_moment_are_one_crash() {
    let mut tracker = tracker_with_answers();
    for number in 0..16 {
        let now = 1_000.0 + number as f64;
        tracker.record_break(
            now,
            &incarnation(number),
            900.0,
            None,
            &with_parts(&[part(1)]),
        );
    }
    tracker.tick(2_000.0, map::HashSet::default);
    assert!(tracker.take_changes().is_empty());
}

#[test]
fn endpoint_that_only_loses_connections_does_not_count() {
    let mut tracker = tracker_with_answers();
    for number in 0..10 {
        let now = 1_000.0 * (number as f64 + 1.0);
        let endpoint = incarnation(number);
        tracker.record_break(now, &endpoint, now - 100.0, None, &with_parts(&[part(1)]));
        tracker.tick(now + 300.0, map::HashSet::default);
        tracker.record_response(now + 400.0, &endpoint, now + 350.0);
    }
    assert!(tracker.take_changes().is_empty());
}

#[test]
fn part_on_which_answers_are_being_written_is_not_quarantined() {
    let mut tracker = tracker_with_answers();
    for number in 0..10 {
        let now = 1_000.0 * (number as f64 + 1.0);
        tracker.record_break(
            now,
            &incarnation(number),
            now - 100.0,
            None,
            &with_parts(&[part(1)]),
        );
        tracker.tick(now + 500.0, || with_parts(&[part(1)]).iter().collect());
    }
    assert!(tracker.take_changes().is_empty());
}

#[test]
fn quarantine_of_a_sound_part_ends_once_another_one_explains_its_crashes() {
    let mut tracker = tracker_with_answers();
    // Two prompts travel together from crash to crash, so that either may be the cause.
    let both: &[&[ids::PartId]] = &[&[part(1)], &[part(9)]];
    crash_on(&mut tracker, &[both; 5]);
    assert_eq!(quarantined(&mut tracker), [[part(1)], [part(9)]]);
    let mut tracker = tracker_with_answers();
    let second: &[&[ids::PartId]] = &[&[part(9)]];
    crash_on(&mut tracker, &[both, both, both, second]);
    assert_eq!(quarantined(&mut tracker), [[part(9)]]);
}

#[test]
fn quarantine_of_a_part_that_was_answered_lately_is_doubtful() {
    for (is_answered, parts) in [(true, [part(9), part(10)]), (false, [part(1), part(10)])] {
        let mut tracker = tracker_with_answers();
        for number in 0..20 {
            tracker.record_sound(500.0, &with_parts(&[part(100 + number)]));
        }
        tracker.record_sound(500.0, &with_parts(&parts));
        let prompt: &[&[ids::PartId]] = &[&[part(9)]];
        crash_on(&mut tracker, &[prompt; 4]);
        let changes = tracker.take_changes();
        let [QuarantineChange::Start { doubtful, .. }] = changes.as_slice() else {
            panic!("{changes:?}");
        };
        assert_eq!(*doubtful, is_answered);
    }
}

#[test]
fn part_that_was_sound_before_it_crashes_endpoints_is_quarantined_in_the_end() {
    let mut tracker = tracker_with_answers();
    for number in 0..400 {
        tracker.record_sound(100.0, &with_parts(&[part(1), part(10 + number % 40)]));
    }
    for number in 0..30 {
        let now = 1_000.0 * (number as f64 + 1.0);
        let prompt = [part(1), part(10), part(100 + number)];
        tracker.record_break(
            now,
            &incarnation(number),
            now - 100.0,
            None,
            &with_parts(&prompt),
        );
        tracker.tick(now + 500.0, map::HashSet::default);
    }
    assert_eq!(quarantined(&mut tracker), [[part(10)]]);
}

/// Crashes endpoint after endpoint, one a second, each with the given requests, from a time on.
fn crash_requests(tracker: &mut crashes::CrashTracker, from: f64, crashes: &[&[RequestFeatures]]) {
    for (number, requests) in crashes.iter().enumerate() {
        let now = from + 1_000.0 * number as f64;
        let crashed = incarnation(now as u64);
        for request in *requests {
            tracker.record_break(now, &crashed, now - 100.0, None, request);
        }
        tracker.tick(now + 500.0, map::HashSet::default);
        tracker.record_end(&crashed);
    }
}

#[test]
fn repeated_request_is_quarantined_after_three_crashes_without_other_answers() {
    let mut tracker = crashes::CrashTracker::default();
    crash_requests(&mut tracker, 1_000.0, &[&[call(1), call(2)], &[call(1)]]);
    assert!(tracker.take_changes().is_empty());
    crash_requests(&mut tracker, 3_000.0, &[&[call(3), call(1)]]);
    let causes = quarantined_causes(&mut tracker);
    assert_eq!(causes, [CrashCause::Request(digest(1))]);
}

#[test]
fn repeated_request_that_is_answered_between_crashes_is_not_quarantined() {
    let mut tracker = tracker_with_answers();
    for number in 0..20 {
        let now = 1_000.0 * (number as f64 + 1.0);
        crash_requests(&mut tracker, now, &[&[call(1)]]);
        tracker.record_sound(now + 600.0, &call(1));
    }
    assert!(tracker.take_changes().is_empty());
}

#[test]
fn request_that_was_answered_lately_is_not_quarantined_for_an_outage_of_its_endpoints() {
    let mut tracker = tracker_with_answers();
    tracker.record_sound(900.0, &call(1));
    for number in 0..4 {
        let now = 1_000.0 + 200.0 * number as f64;
        tracker.record_break(now, &incarnation(number), now - 30.0, None, &call(1));
        tracker.tick(now + 190.0, map::HashSet::default);
    }
    assert!(tracker.take_changes().is_empty());
}

#[test]
fn request_that_was_sound_and_begins_to_crash_endpoints_is_quarantined() {
    let mut tracker = tracker_with_answers();
    for number in 0..4 {
        tracker.record_sound(10.0 * number as f64, &call(1));
    }
    let request: &[RequestFeatures] = &[call(1)];
    crash_requests(&mut tracker, 1_000.0, &[request; 7]);
    let causes = quarantined_causes(&mut tracker);
    assert_eq!(causes, [CrashCause::Request(digest(1))]);
}

#[test]
fn request_that_is_often_answered_is_not_quarantined_for_the_crashes_of_another_one() {
    let mut tracker = tracker_with_answers();
    for number in 0..4 {
        tracker.record_sound(800.0 + number as f64, &call(1));
    }
    let both: &[RequestFeatures] = &[call(1), call(2)];
    crash_requests(&mut tracker, 1_000.0, &[both; 3]);
    let causes = quarantined_causes(&mut tracker);
    assert_eq!(causes, [CrashCause::Request(digest(2))]);
    // One that a quarter of the answers were to is no suspect, however long it isn't answered.
    let mut tracker = tracker_with_answers();
    for number in 0..6 {
        tracker.record_sound(800.0 + number as f64, &call(1));
    }
    let popular: &[RequestFeatures] = &[call(1)];
    crash_requests(&mut tracker, 1_000.0, &[popular; 20]);
    assert!(tracker.take_changes().is_empty());
}

#[test]
fn sound_request_that_travels_with_a_crashing_one_is_quarantined_shortly_at_most() {
    let mut tracker = tracker_with_answers();
    let both: &[RequestFeatures] = &[call(1), call(2)];
    crash_requests(&mut tracker, 1_000.0, &[both; 3]);
    let changes = tracker.take_changes();
    assert_eq!(changes.len(), 2, "{changes:?}");
    let is_doubtful = |change: &QuarantineChange| {
        matches!(change, QuarantineChange::Start { doubtful: true, .. })
    };
    assert!(changes.iter().all(is_doubtful), "{changes:?}");
    // After the end of both quarantines, the sound one is answered and the other one crashes.
    let ended = [1, 2].map(|number| CrashCause::Request(digest(number)));
    tracker.set_quarantined(Vec::new(), ended.to_vec());
    tracker.record_sound(30_000.0, &call(2));
    let cause = CrashCause::Request(digest(2));
    assert_eq!(
        tracker.take_changes(),
        [QuarantineChange::Release { cause }]
    );
    crash_requests(&mut tracker, 31_000.0, &[&[call(1), call(2)]]);
    let changes = tracker.take_changes();
    let [
        QuarantineChange::Start {
            cause, doubtful, ..
        },
    ] = changes.as_slice()
    else {
        panic!("{changes:?}");
    };
    assert_eq!((cause, *doubtful), (&CrashCause::Request(digest(1)), false));
}

#[test]
fn quarantine_of_a_request_without_confirmed_crashes_is_doubtful() {
    for is_confirmed in [false, true] {
        let mut tracker = tracker_with_answers();
        for number in 0..3 {
            let now = 1_000.0 * (number as f64 + 1.0);
            tracker.record_break(now, &incarnation(number), now - 100.0, None, &call(1));
            tracker.tick(now + 200.0, map::HashSet::default);
            if is_confirmed {
                tracker.record_end(&incarnation(number));
            }
        }
        let changes = tracker.take_changes();
        let [QuarantineChange::Start { doubtful, .. }] = changes.as_slice() else {
            panic!("{changes:?}");
        };
        assert_eq!(*doubtful, !is_confirmed);
    }
}

#[test]
fn quarantine_of_a_request_is_prolonged_once_its_crashes_are_confirmed() {
    let mut tracker = tracker_with_answers();
    for number in 0..3 {
        let now = 1_000.0 + 200.0 * number as f64;
        tracker.record_break(now, &incarnation(number), now - 100.0, None, &call(1));
        tracker.tick(now + 190.0, map::HashSet::default);
    }
    assert_eq!(tracker.take_changes().len(), 1);
    tracker.record_end(&incarnation(0));
    assert!(tracker.take_changes().is_empty());
    tracker.record_end(&incarnation(2));
    let changes = tracker.take_changes();
    let [
        QuarantineChange::Start {
            doubtful: false, ..
        },
    ] = changes.as_slice()
    else {
        panic!("{changes:?}");
    };
}

#[test]
fn part_is_found_behind_repeated_requests_that_are_quarantined_before_it() {
    let mut tracker = tracker_with_answers();
    let request = |number| RequestFeatures {
        parts: vec![part(9)],
        digest: Some(digest(number)),
    };
    let repeated: &[RequestFeatures] = &[request(1)];
    crash_requests(&mut tracker, 1_000.0, &[repeated; 3]);
    let causes = quarantined_causes(&mut tracker);
    assert_eq!(causes, [CrashCause::Request(digest(1))]);
    crash_requests(&mut tracker, 5_000.0, &[&[request(2)]]);
    let causes = quarantined_causes(&mut tracker);
    assert_eq!(causes, [CrashCause::Parts(vec![part(9)])]);
}

#[test]
fn quarantine_whose_crashes_another_placer_saw_is_not_ended_by_another_cause() {
    let mut tracker = tracker_with_answers();
    let [other, relapsed] = [1, 2].map(|number| CrashCause::Request(digest(number)));
    tracker.set_quarantined(vec![other], vec![relapsed.clone()]);
    crash_requests(&mut tracker, 1_000.0, &[&[call(2)]]);
    let changes = tracker.take_changes();
    let started = |doubtful| QuarantineChange::Start {
        cause: relapsed.clone(),
        endpoints: vec![incarnation(1_000).0],
        doubtful,
    };
    // The relapse is confirmed by the end of its endpoint.
    assert_eq!(changes, [started(true), started(false)]);
}

#[test]
fn crashes_reported_by_another_placer_count() {
    let mut first = crashes::CrashTracker::default();
    crash_requests(&mut first, 1_000.0, &[&[call(1), call(2)], &[call(1)]]);
    first.record_sound(3_000.0, &call(2));
    let mut second = crashes::CrashTracker::default();
    for (age_ms, report) in first.take_reports(3_000.0) {
        second.merge_report(50_000.0, age_ms, &report);
    }
    assert!(second.is_suspected(digest(1)));
    assert!(!second.is_suspected(digest(2)));
    assert!(second.take_reports(50_000.0).is_empty());
    crash_requests(&mut second, 51_000.0, &[&[call(1)]]);
    let causes = quarantined_causes(&mut second);
    assert_eq!(causes, [CrashCause::Request(digest(1))]);
}

#[test]
fn answer_withdraws_a_reported_suspicion() {
    let mut first = crashes::CrashTracker::default();
    let mut second = crashes::CrashTracker::default();
    crash_requests(&mut first, 1_000.0, &[&[call(1)]]);
    let mut merge = |first: &mut crashes::CrashTracker, now| {
        for (age_ms, report) in first.take_reports(now) {
            second.merge_report(now, age_ms, &report);
        }
        second.is_suspected(digest(1))
    };
    assert!(merge(&mut first, 2_000.0));
    first.record_sound(2_100.0, &call(1));
    assert!(!merge(&mut first, 2_200.0));
}

#[test]
fn memory_is_bounded() {
    let mut tracker = tracker_with_answers();
    for number in 0..300 {
        let now = 100.0 * number as f64;
        for prompt in 0..100 {
            let parts: Vec<_> = (0..16)
                .map(|index| part(number * 2_000 + prompt * 16 + index))
                .collect();
            tracker.record_break(now, &incarnation(number), now, None, &with_parts(&parts));
        }
        tracker.tick(now, map::HashSet::default);
        tracker.record_sound(now, &with_parts(&[part(number)]));
    }
    // 64 crashes with 64 prompts of 16 parts, and what the formatting adds.
    assert!(format!("{tracker:?}").len() < 64 * 64 * 16 * 120);
}

/// A request of the simulated load.
#[derive(Clone)]
struct SimulatedRequest {
    features: RequestFeatures,
    placed_at: f64,
    started_at: Option<f64>,
    ends_at: f64,
    crashes: bool,
    retried: bool,
}

/// Outcome of a simulated load.
#[derive(Debug, Default)]
struct LoadOutcome {
    /// Times of crashes on the part.
    crashes: Vec<f64>,
    /// Times at which requests with it were placed.
    arrivals: Vec<f64>,
    sound_declined: usize,
    sound_sent: usize,
}

/// A load with crashes.
#[derive(Clone, Copy, Debug)]
struct CrashLoad {
    endpoints: usize,
    /// Number of crashing parts, which come at the same time.
    crashing_parts: u64,
    /// Mean time between two prompts with a crashing part, ms; zero for none.
    crash_gap_ms: f64,
    /// Mean time between two other crashes, ms; zero for none.
    other_gap_ms: f64,
    /// Whether the crashing prompts are one request that is repeated.
    repeated: bool,
}

const LOAD: CrashLoad = CrashLoad {
    endpoints: 16,
    crashing_parts: 1,
    crash_gap_ms: 0.0,
    other_gap_ms: 0.0,
    repeated: false,
};

/// Plays a load for 30 s: short prompts and long-running ones, of which each has a part that all
/// share, one of its subject and one of its document.
fn play(seed: u64, load: CrashLoad) -> LoadOutcome {
    const CRASHING: u64 = 0xdead_0000;
    let CrashLoad {
        endpoints: endpoint_count,
        crash_gap_ms,
        other_gap_ms,
        ..
    } = load;
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut tracker = crashes::CrashTracker::default();
    let mut listed: Vec<(CrashCause, f64)> = Vec::new();
    let mut quarantines = quarantine::QuarantineList::default();
    let mut endpoints: Vec<(u64, f64, Vec<SimulatedRequest>)> = (0..endpoint_count as u64)
        .map(|id| (id, 0.0, Vec::new()))
        .collect();
    let mut next_id = endpoint_count as u64;
    let mut outcome = LoadOutcome::default();
    let mut arrivals: collections::VecDeque<SimulatedRequest> = collections::VecDeque::new();
    let mut now = 0.0;
    while now < 30_000.0 {
        now += STEP_MS;
        if rng.random_bool(0.4) {
            arrivals.push_back(random_request(&mut rng, false));
        }
        if now > 5_000.0 && crash_gap_ms > 0.0 && rng.random_bool(STEP_MS / crash_gap_ms) {
            let mut request = random_request(&mut rng, true);
            let crashing = CRASHING + rng.random_range(0..load.crashing_parts);
            let parts = &mut request.features.parts;
            if load.repeated {
                parts.truncate(1);
                request.features.digest = Some(digest(crashing));
            } else {
                parts.insert(rng.random_range(1..3), part(crashing));
            }
            arrivals.push_back(request);
        }
        for mut request in std::mem::take(&mut arrivals) {
            let is_declined = quarantines.remaining_ms(now, &request.features).is_some();
            if !request.crashes {
                outcome.sound_sent += 1;
                outcome.sound_declined += usize::from(is_declined);
            }
            if is_declined {
                continue;
            }
            let up: Vec<usize> = (0..endpoint_count)
                .filter(|at| endpoints[*at].1 <= now)
                .collect();
            if up.is_empty() {
                continue;
            }
            let running = endpoints.iter().flat_map(|(_, _, requests)| requests);
            let mut repeats =
                running.filter(|other| other.features.digest == request.features.digest);
            let is_undecided =
                |other: &SimulatedRequest| other.started_at.unwrap() + crashes::BEGIN_MS > now;
            let digest = request.features.digest.unwrap();
            let is_suspected = tracker.is_suspected(digest) || quarantines.has_ended(now, digest);
            let is_undecided = tracker.is_in_unsettled_crash(digest) || repeats.any(is_undecided);
            if is_suspected && is_undecided {
                // The placer runs one at a time.
                arrivals.push_back(request);
                continue;
            }
            if request.crashes {
                outcome.arrivals.push(now);
            }
            let first_event_ms = rng.random_range(80.0..400.0);
            request.placed_at = now;
            request.ends_at += now + first_event_ms;
            request.started_at = Some(now + first_event_ms);
            endpoints[up[rng.random_range(0..up.len())]].2.push(request);
        }
        for (id, up_at, requests) in &mut endpoints {
            let is_crash = requests.iter().any(|request| {
                request.crashes && request.started_at.unwrap() + CRASH_AFTER_MS <= now
            });
            let is_other = other_gap_ms > 0.0
                && rng.random_bool(STEP_MS / other_gap_ms / endpoint_count as f64);
            if is_crash || (is_other && *up_at <= now) {
                if is_crash {
                    outcome.crashes.push(now);
                }
                for mut request in std::mem::take(requests) {
                    let started_at = request.started_at.filter(|at| *at <= now);
                    let key = incarnation(*id);
                    tracker.record_break(
                        now,
                        &key,
                        request.placed_at,
                        started_at,
                        &request.features,
                    );
                    // The stream is resumed once on another endpoint.
                    if !request.retried {
                        request.retried = true;
                        request.ends_at = (request.ends_at - now).max(50.0);
                        arrivals.push_back(request);
                    }
                }
                tracker.record_end(&incarnation(*id));
                (*id, *up_at) = (next_id, now + rng.random_range(3_000.0..5_000.0));
                next_id += 1;
                continue;
            }
            requests.retain(|request| {
                let is_complete = request.ends_at <= now && !request.crashes;
                if is_complete {
                    tracker.record_sound(now, &request.features);
                }
                !is_complete
            });
        }
        let written_features = || {
            let requests = endpoints.iter().flat_map(|(_, _, requests)| requests);
            let written =
                requests.filter(|request| request.started_at.unwrap() + crashes::BEGIN_MS <= now);
            written
                .flat_map(|request| request.features.iter())
                .collect()
        };
        tracker.tick(now, written_features);
        for change in tracker.take_changes() {
            match change {
                QuarantineChange::Start {
                    cause, doubtful, ..
                } => {
                    listed.retain(|(other, _)| *other != cause);
                    let period_ms = match doubtful {
                        true => quarantine::DOUBTFUL_QUARANTINE_MS,
                        false => quarantine::QUARANTINE_MS,
                    };
                    listed.push((cause, now + period_ms));
                }
                QuarantineChange::Release { cause } => listed.retain(|(other, _)| *other != cause),
            }
        }
        let left = listed.iter();
        let left = left.map(|(cause, until)| (cause.clone(), (until - now).max(0.0)));
        quarantines = quarantine::QuarantineList::new(now, &left.collect::<Vec<_>>());
        tracker.set_quarantined(quarantines.causes(), quarantines.ended().to_vec());
    }
    outcome
}

fn random_request(rng: &mut rngs::SmallRng, crashes: bool) -> SimulatedRequest {
    let subject = (rng.random::<f64>().powi(2) * 20.0) as u64;
    let document = (rng.random::<f64>().powi(2) * 200.0) as u64;
    SimulatedRequest {
        features: RequestFeatures {
            parts: vec![part(1), part(100 + subject), part(1_000 + document)],
            digest: Some(digest(rng.random())),
        },
        placed_at: 0.0,
        started_at: None,
        ends_at: 100.0 * 30.0_f64.powf(rng.random::<f64>()),
        crashes,
        retried: false,
    }
}

/// Asserts that hardly a request with the part arrived later than 3 s after the fifth crash on it,
/// or the last if there are fewer, and that hardly a sound one was declined.
fn assert_found(outcome: &LoadOutcome, seed: u64) {
    let text = format!("seed {seed}: {} crashes", outcome.crashes.len());
    let last = outcome.crashes.iter().take(5).next_back();
    let until = last.unwrap_or(&0.0) + 3_000.0;
    let late = outcome.arrivals.iter().filter(|at| **at > until);
    assert!(late.count() <= 3, "{text}");
    assert_sound_served(outcome, &text);
}

fn assert_sound_served(outcome: &LoadOutcome, text: &str) {
    let declined = outcome.sound_declined as f64 / outcome.sound_sent as f64;
    assert!(declined < 0.02, "{text}, {declined} of the sound declined");
}

#[test]
fn crashing_part_is_found_within_the_bound_and_sound_parts_are_not() {
    for seed in 1..=60 {
        let gap_ms = [80.0, 200.0, 500.0, 1_500.0][seed as usize % 4];
        assert_found(
            &play(
                seed,
                CrashLoad {
                    crash_gap_ms: gap_ms,
                    ..LOAD
                },
            ),
            seed,
        );
    }
}

/// Asserts that hardly a repeat of the request arrived later than 3 s after the third crash on it,
/// and that hardly a sound one was declined.
fn assert_request_found(outcome: &LoadOutcome, seed: u64) {
    let text = format!("seed {seed}: {} crashes", outcome.crashes.len());
    let until = outcome.crashes.get(2).unwrap_or(&f64::MAX) + 3_000.0;
    let late = outcome.arrivals.iter().filter(|at| **at > until).count();
    assert!(late <= 3, "{text}, {late} late");
    assert_sound_served(outcome, &text);
}

#[test]
fn repeated_request_is_found_within_the_bound_and_sound_ones_are_not() {
    for seed in 1..=120 {
        let load = CrashLoad {
            endpoints: [3, 6, 16][seed as usize % 3],
            crash_gap_ms: [200.0, 700.0, 2_000.0, 4_000.0][seed as usize % 4],
            other_gap_ms: [0.0, 1_500.0][seed as usize / 4 % 2],
            repeated: true,
            ..LOAD
        };
        assert_request_found(&play(seed, load), seed);
    }
}

#[test]
fn crashing_part_is_found_among_other_crashes() {
    for seed in 1..=40 {
        assert_found(
            &play(
                seed,
                CrashLoad {
                    crash_gap_ms: 300.0,
                    other_gap_ms: 1_000.0,
                    ..LOAD
                },
            ),
            seed,
        );
    }
}

#[test]
fn sound_parts_are_not_quarantined_when_several_parts_crash_endpoints_at_once() {
    for seed in 1..=60 {
        let load = CrashLoad {
            endpoints: [6, 16][seed as usize % 2],
            crashing_parts: 2 + seed % 3,
            crash_gap_ms: 150.0,
            ..LOAD
        };
        assert_sound_served(&play(seed, load), &format!("seed {seed}"));
    }
}

#[test]
fn crashes_without_a_common_part_quarantine_next_to_nothing() {
    for seed in 1..=40 {
        let gap_ms = [300.0, 1_000.0][seed as usize % 2];
        assert_sound_served(
            &play(
                seed,
                CrashLoad {
                    other_gap_ms: gap_ms,
                    ..LOAD
                },
            ),
            &format!("seed {seed}"),
        );
    }
}
