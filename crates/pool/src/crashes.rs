//! Finds the part of prompts that crashes each endpoint that begins to write an answer on it.
//!
//! When an endpoint ends, all its requests break, so the parts of many sound prompts are seen in a
//! crash too. A part is suspected for each crash that it was seen in, and for one crash less with
//! each answer on it that is complete. Once a part is suspected for several crashes, and for more
//! than all others, prompts with it are quarantined. Parts that can't be told apart so far are
//! quarantined together: only prompts that have all of them are declined, so that those with some
//! of them show which one it is.

use std::collections;

use model::ids;
use model::map;

use crate::quarantine;

/// Time in which all daemons report the requests that a crash broke, ms.
const SETTLE_MS: f64 = 150.0;
/// Time within which crashes count as one, ms; a rack or data centre that fails ends many endpoints
/// at once.
const SAME_CAUSE_MS: f64 = 50.0;
/// Time after the first event of an answer in which its prompt can be the cause of a crash, ms; an
/// answer that is written for longer shows that its parts are sound.
pub const BEGIN_MS: f64 = 400.0;
/// Time after a crash in which a response shows that the endpoint only lost connections, ms; a
/// crashed endpoint takes longer to start.
const ALIVE_MS: f64 = 1_000.0;
/// Number of crashes for which a part is quarantined.
const MIN_CRASHES: usize = 3;
/// The same if two prompts without a part in common are equally suspected.
const MIN_AMBIGUOUS_CRASHES: usize = 5;
/// Time for which a crash is remembered, ms.
const EVIDENCE_MS: f64 = 120_000.0;
/// Number of sound answers in the last minute that a decision needs; without them, a part that all
/// prompts share can't be told from one that crashes endpoints.
const MIN_SOUND: usize = 4;
/// Number of the latest sound answers that are remembered, time for which they are, ms, and share of
/// them from which a part is taken for sound. Such a part is in nearly every crash too.
const MAX_SOUND: usize = 512;
const SOUND_MS: f64 = 60_000.0;
const POPULAR_SHARE: f64 = 0.25;
/// Maximum number of remembered crashes, of prompts of a crash, and of quarantines.
const MAX_CRASHES: usize = 64;
const MAX_SUSPECTS: usize = 64;
const MAX_QUARANTINES: usize = 64;

/// A change of the quarantined parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// Prompts that have all these parts are declined from now on.
    Start {
        /// The parts, sorted.
        parts: Vec<ids::PartId>,
        /// Endpoints that crashed on them.
        endpoints: Vec<ids::EndpointId>,
        /// Whether a prompt with all of them was answered in the last minute, so that they may be
        /// sound all the same.
        doubtful: bool,
    },
    /// They no longer are.
    Release {
        /// The parts, sorted.
        parts: Vec<ids::PartId>,
    },
}

/// An incarnation of an endpoint: its id and start time, Unix ms.
pub type EndpointIncarnation = (ids::EndpointId, u64);

/// Endpoints that crashed at about the same time.
#[derive(Clone, Debug)]
struct CrashRecord {
    number: u64,
    at: f64,
    incarnations: Vec<EndpointIncarnation>,
    /// Shared parts of the prompts that may have caused it.
    suspects: Vec<Vec<ids::PartId>>,
    settled: bool,
}

impl CrashRecord {
    fn is_explained_by(&self, parts: &[ids::PartId]) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|prompt| quarantine::contains_all(prompt, parts))
    }

    /// Returns the combinations of some parts in which its prompts had them.
    fn causes_among(&self, parts: &[ids::PartId]) -> Vec<Vec<ids::PartId>> {
        let mut causes: Vec<Vec<ids::PartId>> = Vec::new();
        for prompt in &self.suspects {
            let common = parts.iter().filter(|part| prompt.contains(part));
            let common: Vec<_> = common.copied().collect();
            if !common.is_empty() && !causes.contains(&common) {
                causes.push(common);
            }
        }
        causes
    }
}

/// Collects crashes and sound answers, and decides which parts are quarantined.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: collections::VecDeque<CrashRecord>,
    last_number: u64,
    /// Numbers of the crashes for which a part is suspected, oldest first.
    suspected: map::HashMap<ids::PartId, Vec<u64>>,
    /// Times and parts of the latest sound answers, oldest first.
    sound: collections::VecDeque<(f64, Vec<ids::PartId>)>,
    quarantined: Vec<Vec<ids::PartId>>,
    /// Those of them that were quarantined as one of two possible causes.
    ambiguous: Vec<Vec<ids::PartId>>,
    changes: Vec<QuarantineChange>,
}

impl CrashTracker {
    /// Replaces the parts that are quarantined.
    pub fn set_quarantined(&mut self, quarantined: Vec<Vec<ids::PartId>>) {
        self.quarantined = quarantined;
        for index in 0..self.quarantined.len() {
            let parts = self.quarantined[index].clone();
            self.drop_suspicions_explained_by(&parts);
        }
    }

    /// Records that a request broke off on an incarnation of an endpoint. `started_at` is the time
    /// of the first event, if there was one, `placed_at` that of the placement, ms.
    pub fn record_break(
        &mut self,
        now: f64,
        incarnation: &EndpointIncarnation,
        placed_at: f64,
        started_at: Option<f64>,
        parts: &[ids::PartId],
    ) {
        if parts.is_empty() {
            return;
        }
        if started_at.is_some_and(|started_at| now - started_at > BEGIN_MS) {
            self.record_sound(now, parts);
            return;
        }
        let mut crashes = self.crashes.iter_mut().rev();
        let known = crashes.find(|crash| crash.incarnations.contains(incarnation));
        if let Some(crash) = known {
            let is_part_of_it = !crash.settled && placed_at <= crash.at;
            if is_part_of_it && crash.suspects.len() < MAX_SUSPECTS {
                crash.suspects.push(parts.to_vec());
            }
            return;
        }
        let last = self.crashes.back_mut();
        match last.filter(|crash| !crash.settled && now - crash.at < SAME_CAUSE_MS) {
            Some(crash) => {
                crash.incarnations.push(incarnation.clone());
                if crash.suspects.len() < MAX_SUSPECTS {
                    crash.suspects.push(parts.to_vec());
                }
            }
            None => self.add_crash(now, incarnation.clone(), parts.to_vec()),
        }
    }

    fn add_crash(&mut self, now: f64, incarnation: EndpointIncarnation, parts: Vec<ids::PartId>) {
        if self.crashes.len() >= MAX_CRASHES {
            self.remove_crash(0);
        }
        self.last_number += 1;
        self.crashes.push_back(CrashRecord {
            number: self.last_number,
            at: now,
            incarnations: vec![incarnation],
            suspects: vec![parts],
            settled: false,
        });
    }

    /// Records that an incarnation responded to a request that was placed at `placed_at`. If that
    /// was right after a supposed crash, there was none.
    pub fn record_response(&mut self, now: f64, incarnation: &EndpointIncarnation, placed_at: f64) {
        let crashes = self.crashes.iter();
        let recent = crashes.rev().take_while(|crash| now - crash.at <= ALIVE_MS);
        let mut refuted = recent.filter(|crash| placed_at > crash.at);
        let refuted = refuted.find(|crash| crash.incarnations.contains(incarnation));
        let Some(number) = refuted.map(|crash| crash.number) else {
            return;
        };
        let index = self.crashes.partition_point(|crash| crash.number < number);
        let incarnations = &mut self.crashes[index].incarnations;
        incarnations.retain(|other| other != incarnation);
        if incarnations.is_empty() {
            self.remove_crash(index);
        }
    }

    /// Records that an answer on a prompt is complete, or was written for a while.
    pub fn record_sound(&mut self, now: f64, parts: &[ids::PartId]) {
        if parts.is_empty() {
            return;
        }
        while let Some((at, _)) = self.sound.front()
            && (self.sound.len() >= MAX_SOUND || now - at > SOUND_MS)
        {
            self.sound.pop_front();
        }
        self.sound.push_back((now, parts.to_vec()));
        for part in parts {
            let Some(numbers) = self.suspected.get_mut(part) else {
                continue;
            };
            numbers.remove(0);
            if numbers.is_empty() {
                self.suspected.remove(part);
            }
        }
        let quarantined = self.quarantined.iter();
        let refuted =
            quarantined.filter(|quarantined| quarantine::contains_all(parts, quarantined));
        let refuted = refuted.cloned().collect();
        self.release(refuted);
    }

    /// Whether there are crashes on which [`Self::tick`] has yet to decide.
    pub fn has_unsettled(&self) -> bool {
        self.crashes.back().is_some_and(|crash| !crash.settled)
    }

    /// Decides on the crashes that all daemons have reported by now. `written_parts` returns the
    /// parts on which answers have been written for a while.
    pub fn tick(&mut self, now: f64, written_parts: impl Fn() -> map::HashSet<ids::PartId>) {
        while let Some(crash) = self.crashes.front()
            && now - crash.at > EVIDENCE_MS
        {
            self.remove_crash(0);
        }
        let due = |crash: &CrashRecord| !crash.settled && now - crash.at >= SETTLE_MS;
        while let Some(index) = self.crashes.iter().position(due) {
            self.crashes[index].settled = true;
            self.decide(index, &written_parts());
        }
    }

    /// Returns and clears the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Suspects the parts of a crash's prompts, and quarantines the part that is suspected most if
    /// that is clear.
    fn decide(&mut self, index: usize, written_parts: &map::HashSet<ids::PartId>) {
        let crash = self.crashes[index].clone();
        let mut quarantined = self.quarantined.iter();
        if quarantined.any(|parts| crash.is_explained_by(parts)) {
            return;
        }
        let (answers, sound_counts) = self.sound_counts(crash.at);
        let sound_count = |part: &ids::PartId| sound_counts.get(part).copied().unwrap_or(0);
        let is_popular = |part: &ids::PartId| {
            let count = sound_count(part);
            count > 0 && count as f64 >= POPULAR_SHARE * answers as f64
        };
        let mut parts: Vec<_> = crash.suspects.iter().flatten().copied().collect();
        parts.sort_unstable();
        parts.dedup();
        parts.retain(|part| !written_parts.contains(part) && !is_popular(part));
        for part in &parts {
            self.suspected.entry(*part).or_default().push(crash.number);
        }
        let count = |part: &ids::PartId| {
            let crashes = self.suspected.get(part).map_or(0, Vec::len);
            crashes.saturating_sub(sound_count(part))
        };
        let highest = parts.iter().map(count).max().unwrap_or(0);
        if highest < MIN_CRASHES || answers < MIN_SOUND {
            return;
        }
        parts.retain(|part| count(part) == highest);
        let causes = crash.causes_among(&parts);
        match causes.as_slice() {
            [cause] => self.quarantine(cause.clone()),
            [_, _] if highest >= MIN_AMBIGUOUS_CRASHES => {
                for cause in &causes {
                    self.quarantine(cause.clone());
                }
                self.ambiguous.extend(causes);
            }
            _ => {}
        }
    }

    /// Returns the number of the latest sound answers, and how many of them each part was in.
    fn sound_counts(&self, now: f64) -> (usize, map::HashMap<ids::PartId, usize>) {
        let mut counts = map::HashMap::default();
        let mut answers = 0;
        for (_, parts) in self.sound.iter().filter(|(at, _)| now - at <= SOUND_MS) {
            answers += 1;
            for part in parts {
                *counts.entry(*part).or_default() += 1;
            }
        }
        (answers, counts)
    }

    /// Whether a prompt with all of some parts is among the latest sound answers.
    fn is_doubtful(&self, parts: &[ids::PartId]) -> bool {
        let mut sound = self.sound.iter();
        sound.any(|(_, prompt)| quarantine::contains_all(prompt, parts))
    }

    /// Quarantines parts, and releases those for which another reason is known now.
    fn quarantine(&mut self, parts: Vec<ids::PartId>) {
        let explained = |crash: &&CrashRecord| crash.is_explained_by(&parts);
        let crashes = self.crashes.iter().filter(explained);
        let mut endpoints: Vec<_> = crashes
            .flat_map(|crash| crash.incarnations.iter().map(|(id, _)| id.clone()))
            .collect();
        endpoints.dedup();
        let is_outdated = |other: &Vec<ids::PartId>| {
            let crashes = self.crashes.iter();
            let mut unexplained = crashes
                .filter(|crash| crash.is_explained_by(other) && !crash.is_explained_by(&parts));
            unexplained.nth(MIN_CRASHES - 1).is_none()
        };
        let doubtful = self.quarantined.iter();
        let doubtful =
            doubtful.filter(|other| self.ambiguous.contains(other) || self.is_doubtful(other));
        let outdated = doubtful.filter(|other| is_outdated(other));
        let narrower = self.quarantined.iter();
        let narrower = narrower.filter(|other| quarantine::contains_all(other, &parts));
        let released = outdated.chain(narrower).cloned().collect();
        self.release(released);
        self.drop_suspicions_explained_by(&parts);
        if self.quarantined.len() >= MAX_QUARANTINES {
            return;
        }
        self.quarantined.push(parts.clone());
        let doubtful = self.is_doubtful(&parts);
        self.changes.push(QuarantineChange::Start {
            parts,
            endpoints,
            doubtful,
        });
    }

    fn release(&mut self, mut released: Vec<Vec<ids::PartId>>) {
        released.dedup();
        self.quarantined.retain(|parts| !released.contains(parts));
        self.ambiguous.retain(|parts| !released.contains(parts));
        let changes = released.into_iter();
        self.changes
            .extend(changes.map(|parts| QuarantineChange::Release { parts }));
    }

    /// Drops the suspicions for crashes that a quarantined part explains. Those that parts explain
    /// only together are kept, for the crash that tells them apart.
    fn drop_suspicions_explained_by(&mut self, parts: &[ids::PartId]) {
        if parts.len() > 1 {
            return;
        }
        let crashes = self.crashes.iter();
        let explained = crashes.filter(|crash| crash.is_explained_by(parts));
        let numbers: Vec<u64> = explained.map(|crash| crash.number).collect();
        self.drop_suspicions(&numbers);
    }

    fn drop_suspicions(&mut self, crashes: &[u64]) {
        self.suspected.retain(|_, numbers| {
            numbers.retain(|number| !crashes.contains(number));
            !numbers.is_empty()
        });
    }

    fn remove_crash(&mut self, index: usize) {
        if let Some(crash) = self.crashes.remove(index) {
            self.drop_suspicions(&[crash.number]);
        }
    }
}
