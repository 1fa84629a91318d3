//! Finding the part of prompts on which endpoints crash.

use std::collections;

use model::ids;
use model::map;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use sardinepaddle_pool::crashes;
use sardinepaddle_pool::crashes::QuarantineChange;

/// Time from the first event on a crashing part to the crash, ms.
const CRASH_AFTER_MS: f64 = 60.0;
/// Interval at which the simulation advances, ms.
const STEP_MS: f64 = 10.0;

fn part(number: u64) -> ids::PartId {
    ids::PartId::from_name(&format!("{number:x}"))
}

fn incarnation(number: u64) -> crashes::EndpointIncarnation {
    (ids::EndpointId::new(&format!("e{number}")), 0)
}

fn quarantined(tracker: &mut crashes::CrashTracker) -> Vec<Vec<ids::PartId>> {
    let changes = tracker.take_changes().into_iter();
    let started = changes.filter_map(|change| match change {
        QuarantineChange::Start { parts, .. } => Some(parts),
        QuarantineChange::Release { .. } => None,
    });
    started.collect()
}

/// Returns a tracker that has seen answers on prompts without a common part.
fn tracker_with_answers() -> crashes::CrashTracker {
    let mut tracker = crashes::CrashTracker::default();
    for number in 0..16 {
        tracker.record_sound(500.0, &[part(0x500 + number)]);
    }
    tracker
}

/// Crashes endpoint after endpoint, each with the given prompts.
fn crash_on(tracker: &mut crashes::CrashTracker, crashes: &[&[&[ids::PartId]]]) {
    for (number, prompts) in crashes.iter().enumerate() {
        let now = 1_000.0 * (number as f64 + 1.0);
        for prompt in *prompts {
            tracker.record_break(
                now,
                &incarnation(number as u64),
                now - 100.0,
                Some(now),
                prompt,
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
        tracker.record_sound(20_000.0, &[part(0x500 + number)]);
    }
    tracker.record_break(20_000.0, &incarnation(10), 19_900.0, None, &[part(1)]);
    tracker.tick(20_500.0, map::HashSet::default);
    assert_eq!(quarantined(&mut tracker), [[part(1)]]);
}

#[test]
fn parts_that_always_come_together_are_quarantined_together_until_one_crashes_alone() {
    let mut tracker = tracker_with_answers();
    let prompt: &[&[ids::PartId]] = &[&[part(1), part(9)]];
    crash_on(&mut tracker, &[prompt; 3]);
    assert_eq!(quarantined(&mut tracker), [[part(1), part(9)]]);
    tracker.record_sound(9_000.0, &[part(1)]);
    assert!(tracker.take_changes().is_empty());
    tracker.record_break(
        10_000.0,
        &incarnation(10),
        9_900.0,
        None,
        &[part(2), part(9)],
    );
    tracker.tick(10_500.0, map::HashSet::default);
    let start = QuarantineChange::Start {
        parts: vec![part(9)],
        endpoints: (0..3)
            .chain([10])
            .map(|number| incarnation(number).0)
            .collect(),
        doubtful: false,
    };
    let release = QuarantineChange::Release {
        parts: vec![part(1), part(9)],
    };
    assert_eq!(tracker.take_changes(), [release, start]);
}

#[test]
fn answer_on_a_prompt_with_all_quarantined_parts_ends_their_quarantine() {
    let mut tracker = tracker_with_answers();
    let prompt: &[&[ids::PartId]] = &[&[part(1), part(9)]];
    crash_on(&mut tracker, &[prompt; 3]);
    assert_eq!(quarantined(&mut tracker), [[part(1), part(9)]]);
    tracker.record_sound(9_000.0, &[part(1), part(2), part(9)]);
    let release = QuarantineChange::Release {
        parts: vec![part(1), part(9)],
    };
    assert_eq!(tracker.take_changes(), [release]);
}

#[test]
fn part_that_is_answered_as_often_as_it_is_in_crashes_is_not_quarantined() {
    let mut tracker = tracker_with_answers();
    for number in 0..20 {
        let now = 1_000.0 * (number as f64 + 1.0);
        let endpoint = incarnation(number);
        tracker.record_break(now, &endpoint, now - 100.0, None, &[part(1)]);
        tracker.tick(now + 500.0, map::HashSet::default);
        tracker.record_sound(now + 600.0, &[part(1)]);
    }
    assert!(tracker.take_changes().is_empty());
}

#[test]
fn endpoints_that_end_at_the_same_moment_are_one_crash() {
    let mut tracker = tracker_with_answers();
    for number in 0..16 {
        let now = 1_000.0 + number as f64;
        tracker.record_break(now, &incarnation(number), 900.0, None, &[part(1)]);
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
        tracker.record_break(now, &endpoint, now - 100.0, None, &[part(1)]);
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
        tracker.record_break(now, &incarnation(number), now - 100.0, None, &[part(1)]);
        tracker.tick(now + 500.0, || [part(1)].into_iter().collect());
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
            tracker.record_sound(500.0, &[part(100 + number)]);
        }
        tracker.record_sound(500.0, &parts);
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
        tracker.record_sound(100.0, &[part(1), part(10 + number % 40)]);
    }
    for number in 0..30 {
        let now = 1_000.0 * (number as f64 + 1.0);
        let prompt = [part(1), part(10), part(100 + number)];
        tracker.record_break(now, &incarnation(number), now - 100.0, None, &prompt);
        tracker.tick(now + 500.0, map::HashSet::default);
    }
    assert_eq!(quarantined(&mut tracker), [[part(10)]]);
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
            tracker.record_break(now, &incarnation(number), now, None, &parts);
        }
        tracker.tick(now, map::HashSet::default);
        tracker.record_sound(now, &[part(number)]);
    }
    // 64 crashes with 64 prompts of 16 parts, and what the formatting adds.
    assert!(format!("{tracker:?}").len() < 64 * 64 * 16 * 120);
}

/// A request of the simulated load.
#[derive(Clone)]
struct SimulatedRequest {
    parts: Vec<ids::PartId>,
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
}

const LOAD: CrashLoad = CrashLoad {
    endpoints: 16,
    crashing_parts: 1,
    crash_gap_ms: 0.0,
    other_gap_ms: 0.0,
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
    let mut quarantines: Vec<Vec<ids::PartId>> = Vec::new();
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
            request.parts.insert(rng.random_range(1..3), part(crashing));
            arrivals.push_back(request);
        }
        for mut request in std::mem::take(&mut arrivals) {
            let is_declined = quarantines
                .iter()
                .any(|parts| parts.iter().all(|part| request.parts.contains(part)));
            if !request.crashes {
                outcome.sound_sent += 1;
                outcome.sound_declined += usize::from(is_declined);
            }
            if is_declined {
                continue;
            }
            if request.crashes {
                outcome.arrivals.push(now);
            }
            let up: Vec<usize> = (0..endpoint_count)
                .filter(|at| endpoints[*at].1 <= now)
                .collect();
            if up.is_empty() {
                continue;
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
                    tracker.record_break(now, &key, request.placed_at, started_at, &request.parts);
                    // The stream is resumed once on another endpoint.
                    if !request.retried {
                        request.retried = true;
                        request.ends_at = (request.ends_at - now).max(50.0);
                        arrivals.push_back(request);
                    }
                }
                (*id, *up_at) = (next_id, now + rng.random_range(3_000.0..5_000.0));
                next_id += 1;
                continue;
            }
            requests.retain(|request| {
                let is_complete = request.ends_at <= now && !request.crashes;
                if is_complete {
                    tracker.record_sound(now, &request.parts);
                }
                !is_complete
            });
        }
        let written_parts = || {
            let requests = endpoints.iter().flat_map(|(_, _, requests)| requests);
            let written =
                requests.filter(|request| request.started_at.unwrap() + crashes::BEGIN_MS <= now);
            written
                .flat_map(|request| request.parts.iter().copied())
                .collect()
        };
        tracker.tick(now, written_parts);
        for change in tracker.take_changes() {
            match change {
                QuarantineChange::Start { parts, .. } => quarantines.push(parts),
                QuarantineChange::Release { parts } => quarantines.retain(|other| *other != parts),
            }
        }
        tracker.set_quarantined(quarantines.clone());
    }
    outcome
}

fn random_request(rng: &mut rngs::SmallRng, crashes: bool) -> SimulatedRequest {
    let subject = (rng.random::<f64>().powi(2) * 20.0) as u64;
    let document = (rng.random::<f64>().powi(2) * 200.0) as u64;
    SimulatedRequest {
        parts: vec![part(1), part(100 + subject), part(1_000 + document)],
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
