//! Limits on the share of an endpoint that each size class may take.

use model::request;

use crate::tables::ledger;

/// Long prompts may take one in this many slots of an engine.
const LONG_SLOT_DIVISOR: u32 = 4;
/// Percentage of an engine's memory that several long prompts may take together.
pub(crate) const MAX_LONG_MEMORY_PERCENT: u64 = 75;
/// One in this many slots of an engine is reserved for short prompts.
const SHORT_SLOT_DIVISOR: u32 = 4;

/// Limits the free space of an endpoint to what a size class may take.
///
/// A long prompt that would be the only one may take all free memory; otherwise a prompt larger
/// than the share of its class could never be placed.
pub(crate) fn limit_space(
    ledger: &ledger::EndpointLedger,
    class: request::SizeClass,
    memory: u64,
    free: ledger::ResourceAmount,
) -> ledger::ResourceAmount {
    match class {
        request::SizeClass::Short => free,
        request::SizeClass::Medium => reserve_short_slots(ledger, free),
        request::SizeClass::Long => limit_long(ledger, memory, reserve_short_slots(ledger, free)),
    }
}

fn reserve_short_slots(
    ledger: &ledger::EndpointLedger,
    free: ledger::ResourceAmount,
) -> ledger::ResourceAmount {
    let reserved = ledger.concurrency_limit / SHORT_SLOT_DIVISOR;
    ledger::ResourceAmount {
        slots: free.slots.saturating_sub(reserved),
        tokens: free.tokens,
    }
}

fn limit_long(
    ledger: &ledger::EndpointLedger,
    memory: u64,
    free: ledger::ResourceAmount,
) -> ledger::ResourceAmount {
    let long_use = ledger.long_request_usage();
    let max_slots = (ledger.concurrency_limit / LONG_SLOT_DIVISOR).max(1);
    let slots = free.slots.min(max_slots.saturating_sub(long_use.slots));
    if long_use.slots == 0 {
        let tokens = free.tokens;
        return ledger::ResourceAmount { slots, tokens };
    }
    let max_tokens = memory * MAX_LONG_MEMORY_PERCENT / 100;
    let tokens = free.tokens.min(max_tokens.saturating_sub(long_use.tokens));
    ledger::ResourceAmount { slots, tokens }
}
