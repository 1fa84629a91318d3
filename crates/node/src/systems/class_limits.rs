//! What the size classes may take of an endpoint.

use model::request;

use crate::tables::ledger;

/// One in this many slots of an engine may be taken by long prompts.
const LONG_SLOT_DIVISOR: u32 = 4;
/// Percentage of an engine's memory that several long prompts may take together.
pub(crate) const MAX_LONG_MEMORY_PERCENT: u64 = 75;
/// One in this many slots of an engine is kept for short prompts.
const SHORT_SLOT_DIVISOR: u32 = 4;

/// Cuts the free space of an endpoint down to what a size class may take of it.
///
/// A long prompt that would be alone may take all memory that is free; otherwise a prompt larger
/// than the share of its class would never find room.
pub(crate) fn limit_space(
    account: &ledger::EndpointLedger,
    class: request::SizeClass,
    memory: u64,
    free: ledger::SpaceUse,
) -> ledger::SpaceUse {
    match class {
        request::SizeClass::Short => free,
        request::SizeClass::Medium => reserve_short_slots(account, free),
        request::SizeClass::Long => limit_long(account, memory, reserve_short_slots(account, free)),
    }
}

fn reserve_short_slots(
    account: &ledger::EndpointLedger,
    free: ledger::SpaceUse,
) -> ledger::SpaceUse {
    let kept = account.carry / SHORT_SLOT_DIVISOR;
    ledger::SpaceUse {
        slots: free.slots.saturating_sub(kept),
        tokens: free.tokens,
    }
}

fn limit_long(
    account: &ledger::EndpointLedger,
    memory: u64,
    free: ledger::SpaceUse,
) -> ledger::SpaceUse {
    let long = account.long_use();
    let most_slots = (account.carry / LONG_SLOT_DIVISOR).max(1);
    let slots = free.slots.min(most_slots.saturating_sub(long.slots));
    if long.slots == 0 {
        let tokens = free.tokens;
        return ledger::SpaceUse { slots, tokens };
    }
    let most_tokens = memory * MAX_LONG_MEMORY_PERCENT / 100;
    let tokens = free.tokens.min(most_tokens.saturating_sub(long.tokens));
    ledger::SpaceUse { slots, tokens }
}
