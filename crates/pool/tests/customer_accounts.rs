//! What the placer counts as demand and use of each customer.

#[path = "support/placers.rs"]
mod placers;
#[path = "support/profiles.rs"]
mod profiles;

use model::ids;
use sardinepaddle_pool::customer_shares;
use sardinepaddle_pool::health;
use sardinepaddle_pool::job;
use sardinepaddle_pool::placer;

const NOW: f64 = 1_000.0;
/// Engines of all tests.
const ENGINES: usize = 8;
/// Customers beside the large one.
const USUAL: usize = 23;

fn job_id(number: u64) -> job::JobId {
    job::JobId {
        incarnation: 1,
        number,
    }
}

fn request_of(customer: &str, tokens: u64) -> job::PlacementRequest {
    job::PlacementRequest {
        customer: Some(ids::CustomerId::new(customer)),
        ..placers::prompt("chat", tokens, 300.0)
    }
}

fn figures_of(placer: &mut placer::JobPlacer, customer: &str) -> customer_shares::CustomerFigures {
    let customer = ids::CustomerId::new(customer);
    let listed = placer.customer_shares().figures(NOW, 100);
    let found = listed
        .into_iter()
        .find(|(name, _)| name.as_ref() == Some(&customer));
    found.map(|(_, figures)| figures).unwrap_or_default()
}

fn plan_of(placer: &mut placer::JobPlacer) -> job::PlacementPlan {
    match placer.take_decisions().pop() {
        Some((_, job::PlacementDecision::Placed(plan))) => plan,
        decision => panic!("not placed: {decision:?}"),
    }
}

#[test]
fn request_submitted_over_another_connection_counts_once() {
    let mut placer = placers::placer_with_engines(ENGINES, 0.0);
    placer.submit(NOW, job_id(1), request_of("a", 5_000));
    let once = figures_of(&mut placer, "a");
    placer.submit(NOW, job_id(1), request_of("a", 5_000));
    assert!(once.demand > 0.0 && once.used > 0.0);
    assert_eq!(figures_of(&mut placer, "a"), once);
}

#[test]
fn running_job_reported_twice_to_a_new_placer_counts_once() {
    let mut previous = placers::placer_with_engines(ENGINES, 0.0);
    previous.submit(NOW, job_id(1), request_of("a", 5_000));
    let running = job::RunningJob {
        job: job_id(1),
        request: request_of("a", 5_000),
        plan: plan_of(&mut previous),
        started: false,
    };
    let mut placer = placers::placer_with_engines(ENGINES, 0.0);
    placer.adopt(NOW, &running);
    placer.adopt(NOW, &running);
    let used = figures_of(&mut previous, "a");
    assert_eq!(figures_of(&mut placer, "a"), used);
}

#[test]
fn request_that_no_endpoint_worked_on_is_not_charged() {
    let mut placer = placers::placer_with_engines(ENGINES, 0.0);
    placer.submit(NOW, job_id(1), request_of("a", 5_000));
    placer.end(NOW, job_id(1), &health::HealthSignal::Unreachable.into());
    assert!(figures_of(&mut placer, "a").used.abs() < 1e-9);
}

/// Submits prompts of a large customer and of usual ones to a placer, and returns what it grants
/// to the large one and to one of the others.
fn granted(placer: &mut placer::JobPlacer) -> (f64, f64) {
    for number in 0..200 {
        placer.submit(NOW, job_id(number), request_of("large", 100_000));
    }
    for customer in 0..USUAL {
        let request = request_of(&format!("usual-{customer}"), 5_000);
        placer.submit(NOW, job_id(1_000 + customer as u64), request);
    }
    placer.submit(NOW + 20.0, job_id(2_000), request_of("usual-0", 5_000));
    let large = figures_of(placer, "large").share;
    (large, figures_of(placer, "usual-0").share)
}

// Two placers at once, or a cut between them: together they grant no more than the engines have, and
// each of the usual customers what it asks for.
#[test]
fn two_placers_together_grant_no_more_than_one() {
    let mut sides = [(); 2].map(|()| placers::placer_with_engines(ENGINES, 0.0));
    let mut large = 0.0;
    for placer in &mut sides {
        placer.set_capacity_share(0.5);
        let (granted_large, granted_usual) = granted(placer);
        assert!((granted_usual - figures_of(placer, "usual-0").demand).abs() < 1e-9);
        large += granted_large;
    }
    assert!(large > 0.0 && large < ENGINES as f64, "{large}");
}

// A customer on one of two equal sides gets at least half of its level with one placer.
#[test]
fn customer_on_one_of_two_sides_gets_at_least_half_of_its_level() {
    let mut whole = placers::placer_with_engines(ENGINES, 0.0);
    let mut side = placers::placer_with_engines(ENGINES, 0.0);
    side.set_capacity_share(0.5);
    let (whole_share, side_share) = (granted(&mut whole).0, granted(&mut side).0);
    // Usual customers of the other side ask here too, so that the least case is met.
    assert!(side_share > 0.0 && side_share <= whole_share);
    let usual: f64 = (0..USUAL)
        .map(|customer| figures_of(&mut side, &format!("usual-{customer}")).demand)
        .sum();
    assert!(side_share + usual >= (whole_share + usual) / 2.0);
}
