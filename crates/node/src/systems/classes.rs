//! What the size classes may take of an endpoint.

use model::request;

use crate::tables::ledger;

/// One in this many slots of an engine may be taken by long prompts.
const LONG_SLOT_DIVISOR: u32 = 4;
/// Percentage of an engine's memory that several long prompts may take together.
pub(crate) const LONG_MEMORY_PERCENT: u64 = 75;
/// One in this many slots of an engine is kept for short prompts.
const SHORT_SLOT_DIVISOR: u32 = 4;

/// Cuts the free space of an endpoint down to what a size class may take of it.
///
/// A long prompt that would be alone may take all memory that is free; otherwise a prompt larger
/// than the share of its class would never find room.
pub(crate) fn limit(
    account: &ledger::EndpointLedger,
    class: request::SizeClass,
    memory: u64,
    free: ledger::ResourceAmount,
) -> ledger::ResourceAmount {
    match class {
        request::SizeClass::Short => free,
        request::SizeClass::Medium => leave_short(account, free),
        request::SizeClass::Long => limit_long(account, memory, leave_short(account, free)),
    }
}

fn leave_short(
    account: &ledger::EndpointLedger,
    free: ledger::ResourceAmount,
) -> ledger::ResourceAmount {
    let kept = account.concurrency_limit / SHORT_SLOT_DIVISOR;
    ledger::ResourceAmount {
        slots: free.slots.saturating_sub(kept),
        tokens: free.tokens,
    }
}

fn limit_long(
    account: &ledger::EndpointLedger,
    memory: u64,
    free: ledger::ResourceAmount,
) -> ledger::ResourceAmount {
    let long = account.long_request_usage();
    let most_slots = (account.concurrency_limit / LONG_SLOT_DIVISOR).max(1);
    let slots = free.slots.min(most_slots.saturating_sub(long.slots));
    if long.slots == 0 {
        let tokens = free.tokens;
        return ledger::ResourceAmount { slots, tokens };
    }
    let most_tokens = memory * LONG_MEMORY_PERCENT / 100;
    let tokens = free.tokens.min(most_tokens.saturating_sub(long.tokens));
    ledger::ResourceAmount { slots, tokens }
}
