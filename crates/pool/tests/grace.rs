//! Which requests are sent during a shutdown.

use model::serving::RetrySafety;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use sardinepaddle_pool::grace;

/// Time after SIGTERM within which requests may still come from the load balancer, ms; set by the
/// users' rules.
const NOTICE_MS: f64 = 3_000.0;

fn terms() -> impl Strategy<Value = grace::SendingTerms> {
    let kinds = proptest::sample::select(vec![
        RetrySafety::Idempotent,
        RetrySafety::AtMostOnce,
        RetrySafety::ResumableStream,
        RetrySafety::AtMostOnceStream,
    ]);
    let terms = (kinds, 0.0..20_000.0, 0.0..9_000.0);
    terms.prop_map(
        |(retry_safety, deadline, expected_ms)| grace::SendingTerms {
            retry_safety,
            may_have_run: false,
            deadline,
            expected_ms,
        },
    )
}

proptest! {
    #[test]
    fn request_that_is_sent_late_ends_before_the_exit(
        terms in terms(), started_at in 0.0..5_000.0, grace_ms in 0.0..12_000.0, sent_after in 0.0..12_000.0,
    ) {
        let period = grace::GracePeriod::new(started_at, grace_ms);
        let sent_at = started_at + sent_after;
        prop_assert!(period.last_response_at() <= period.exit_at());
        prop_assert!(period.exit_at() <= started_at + grace_ms);
        if sent_at > period.send_until(&terms) {
            return Ok(());
        }
        prop_assert!(sent_at + terms.expected_ms <= period.exit_at());
        if sent_after > NOTICE_MS && terms.retry_safety != RetrySafety::Idempotent {
            prop_assert!(terms.deadline <= period.exit_at());
        }
    }

    #[test]
    fn request_that_may_have_run_is_tried_until_its_last_response(
        terms in terms(), grace_ms in 0.0..12_000.0,
    ) {
        let period = grace::GracePeriod::new(0.0, grace_ms);
        let terms = grace::SendingTerms { may_have_run: true, ..terms };
        prop_assert_eq!(period.send_until(&terms), period.last_response_at());
    }
}
