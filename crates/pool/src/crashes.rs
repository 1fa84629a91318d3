//! Finds what crashes endpoints: a part of prompts on which each endpoint crashes that begins to
//! write an answer on it, or a request that crashes each endpoint in each of its repeats.
//!
//! When an endpoint ends, all its requests break, so the features of many sound requests are seen
//! in a crash too. A feature is suspected for each crash that it was seen in, and for one crash less
//! with each answer to a request with it. Once it is suspected for several crashes, and for more
//! than all others, requests with it are quarantined. Parts of prompts that can't be told apart so
//! far are quarantined together: only prompts that have all of them are declined, so that those
//! with some of them show which one it is. A request is a narrower cause than the parts of its
//! prompt, and quarantined first if both are equally suspected.

use std::collections;

use model::ids;
use model::map;
use serde::{Deserialize, Serialize};

use crate::quarantine::CrashCause;
use crate::quarantine::RequestFeature;
use crate::quarantine::RequestFeatures;

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
/// Number of crashes for which a cause is quarantined.
const MIN_CRASHES: usize = 3;
/// The same if two prompts without a part in common are equally suspected.
const MIN_AMBIGUOUS_CRASHES: usize = 5;
/// Maximum number of equally suspected requests that are quarantined together.
const MAX_AMBIGUOUS_REQUESTS: usize = 4;
/// Maximum number of crashes that the answers of the last minute before them take off a request: one
/// that was never answered is suspected before one that ran beside it.
const MAX_SOUND_CREDIT: usize = 3;
/// Time after the first of its crashes in which a request that was answered in the last minute is
/// no suspect, ms: endpoints that were lost at once are back by then, and answer sound requests.
const OUTAGE_MS: f64 = 5_000.0;
/// Time for which a crash is remembered, ms.
const EVIDENCE_MS: f64 = 120_000.0;
/// Number of sound answers in the last minute that a decision on parts needs; without them, a part
/// that all prompts share can't be told from one that crashes endpoints.
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

/// A change of the quarantined causes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// Requests that a cause concerns are declined from now on.
    Start {
        /// The cause.
        cause: CrashCause,
        /// Endpoints that crashed on it.
        endpoints: Vec<ids::EndpointId>,
        /// Whether the cause may be sound all the same.
        doubtful: bool,
    },
    /// They no longer are.
    Release {
        /// The cause.
        cause: CrashCause,
    },
}

/// An incarnation of an endpoint: its id and start time, Unix ms.
pub type EndpointIncarnation = (ids::EndpointId, u64);

/// A crash and the requests that are suspected for it, for the placers that follow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The endpoints that ended.
    pub incarnations: Vec<EndpointIncarnation>,
    /// Digests of the requests.
    pub digests: Vec<ids::RequestDigest>,
}

/// Endpoints that crashed at about the same time.
#[derive(Clone, Debug)]
struct CrashRecord {
    number: u64,
    at: f64,
    incarnations: Vec<EndpointIncarnation>,
    /// The requests that may have caused it.
    suspects: Vec<RequestFeatures>,
    settled: bool,
    /// Whether an endpoint was unreachable or gone afterwards.
    confirmed: bool,
    /// Suspected requests in the latest report on it.
    reported: Vec<ids::RequestDigest>,
}

impl CrashRecord {
    fn is_explained_by(&self, cause: &CrashCause) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|request| cause.concerns(request))
    }

    fn has_incarnation(&self, incarnations: &[EndpointIncarnation]) -> bool {
        let mut own = self.incarnations.iter();
        own.any(|incarnation| incarnations.contains(incarnation))
    }

    fn add_suspect(&mut self, request: RequestFeatures) {
        if self.suspects.len() < MAX_SUSPECTS {
            self.suspects.push(request);
        }
    }

    /// Returns the combinations of some features in which its requests had them.
    fn causes_among(&self, features: &[RequestFeature]) -> Vec<CrashCause> {
        let mut causes = Vec::new();
        for request in &self.suspects {
            let common = request.iter().filter(|feature| features.contains(feature));
            let mut common: Vec<RequestFeature> = common.collect();
            common.sort_unstable();
            let digest = request.digest.map(RequestFeature::Digest);
            let is_request = digest.is_some_and(|digest| common.contains(&digest));
            let cause = match request.digest.filter(|_| is_request) {
                Some(digest) => CrashCause::Request(digest),
                None => CrashCause::Parts(common.into_iter().filter_map(part_of).collect()),
            };
            if cause != CrashCause::Parts(Vec::new()) && !causes.contains(&cause) {
                causes.push(cause);
            }
        }
        causes
    }
}

fn part_of(feature: RequestFeature) -> Option<ids::PartId> {
    match feature {
        RequestFeature::Part(part) => Some(part),
        RequestFeature::Digest(_) => None,
    }
}

/// Counts of the latest sound answers.
#[derive(Clone, Debug, Default)]
struct SoundCounts {
    answers: usize,
    by_feature: map::HashMap<RequestFeature, usize>,
}

impl SoundCounts {
    fn of(&self, feature: &RequestFeature) -> usize {
        self.by_feature.get(feature).copied().unwrap_or(0)
    }

    /// Whether so many of the answers were to requests with a feature that it is sound.
    fn is_popular(&self, feature: &RequestFeature) -> bool {
        let count = self.of(feature);
        count > 0 && count as f64 >= POPULAR_SHARE * self.answers as f64
    }
}

/// Collects crashes and sound answers, and decides which causes are quarantined.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: collections::VecDeque<CrashRecord>,
    last_number: u64,
    /// Numbers of the crashes for which a feature is suspected, oldest first.
    suspected: map::HashMap<RequestFeature, Vec<u64>>,
    /// Times and features of the latest sound answers, oldest first.
    sound: collections::VecDeque<(f64, RequestFeatures)>,
    quarantined: Vec<CrashCause>,
    /// Those of them that were quarantined as one of several possible causes.
    ambiguous: Vec<CrashCause>,
    /// Quarantined requests whose crashes are not confirmed yet.
    unconfirmed: Vec<CrashCause>,
    /// Requests whose quarantine has ended; one more crash puts them into quarantine again.
    ended: Vec<CrashCause>,
    /// Those of the quarantined requests that were quarantined before.
    relapsed: Vec<CrashCause>,
    changes: Vec<QuarantineChange>,
}

impl CrashTracker {
    /// Replaces the causes that are quarantined, and the requests that were until their quarantine
    /// ended.
    pub fn set_quarantined(&mut self, quarantined: Vec<CrashCause>, ended: Vec<CrashCause>) {
        self.quarantined = quarantined;
        self.ended = ended;
        let quarantined = &self.quarantined;
        self.unconfirmed.retain(|cause| quarantined.contains(cause));
        self.relapsed.retain(|cause| quarantined.contains(cause));
        for index in 0..self.quarantined.len() {
            let cause = self.quarantined[index].clone();
            self.drop_suspicions_explained_by(&cause);
        }
    }

    /// Whether a request may have caused a crash, and hasn't been answered since.
    pub fn is_suspected(&self, digest: ids::RequestDigest) -> bool {
        self.suspected.contains_key(&RequestFeature::Digest(digest))
    }

    /// Whether a request may have caused a crash on which [`Self::tick`] has yet to decide.
    pub fn is_in_unsettled_crash(&self, digest: ids::RequestDigest) -> bool {
        let unsettled = self.crashes.iter().rev().take_while(|crash| !crash.settled);
        let mut suspects = unsettled.flat_map(|crash| &crash.suspects);
        suspects.any(|request| request.digest == Some(digest))
    }

    /// Records that a request broke off on an incarnation of an endpoint. `started_at` is the time
    /// of the first event, if there was one, `placed_at` that of the placement, ms.
    pub fn record_break(
        &mut self,
        now: f64,
        incarnation: &EndpointIncarnation,
        placed_at: f64,
        started_at: Option<f64>,
        request: &RequestFeatures,
    ) {
        if request.is_empty() {
            return;
        }
        if started_at.is_some_and(|started_at| now - started_at > BEGIN_MS) {
            self.record_sound(now, request);
            return;
        }
        let mut crashes = self.crashes.iter_mut().rev();
        let known = crashes.find(|crash| crash.incarnations.contains(incarnation));
        if let Some(crash) = known {
            if !crash.settled && placed_at <= crash.at {
                crash.add_suspect(request.clone());
            }
            return;
        }
        let last = self.crashes.back_mut();
        match last.filter(|crash| !crash.settled && now - crash.at < SAME_CAUSE_MS) {
            Some(crash) => {
                crash.incarnations.push(incarnation.clone());
                crash.add_suspect(request.clone());
            }
            None => {
                let crash = self.add_crash(now, vec![incarnation.clone()]);
                crash.add_suspect(request.clone());
            }
        }
    }

    fn add_crash(&mut self, now: f64, incarnations: Vec<EndpointIncarnation>) -> &mut CrashRecord {
        if self.crashes.len() >= MAX_CRASHES {
            self.remove_crash(0);
        }
        self.last_number += 1;
        self.crashes.push_back(CrashRecord {
            number: self.last_number,
            at: now,
            incarnations,
            suspects: Vec::new(),
            settled: false,
            confirmed: false,
            reported: Vec::new(),
        });
        let last = self.crashes.len() - 1;
        &mut self.crashes[last]
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

    /// Records that an incarnation is unreachable or no longer listed, which confirms its crash.
    pub fn record_end(&mut self, incarnation: &EndpointIncarnation) {
        let mut crashes = self.crashes.iter_mut().rev();
        let crash = crashes.find(|crash| crash.incarnations.contains(incarnation));
        let Some(crash) = crash.filter(|crash| !crash.confirmed) else {
            return;
        };
        crash.confirmed = true;
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        for cause in unconfirmed {
            if self.is_doubtful(&cause) {
                self.unconfirmed.push(cause);
            } else {
                self.start(cause, false);
            }
        }
    }

    /// Records that a request was answered completely, or that its answer was written for a while.
    pub fn record_sound(&mut self, now: f64, request: &RequestFeatures) {
        if request.is_empty() {
            return;
        }
        while let Some((at, _)) = self.sound.front()
            && (self.sound.len() >= MAX_SOUND || now - at > SOUND_MS)
        {
            self.sound.pop_front();
        }
        self.sound.push_back((now, request.clone()));
        for feature in request.iter() {
            let Some(numbers) = self.suspected.get_mut(&feature) else {
                continue;
            };
            numbers.remove(0);
            if numbers.is_empty() {
                self.suspected.remove(&feature);
            }
        }
        let quarantined = self.quarantined.iter().chain(&self.ended);
        let refuted = quarantined.filter(|cause| cause.concerns(request));
        let refuted = refuted.cloned().collect();
        self.release(refuted);
    }

    /// Whether there are crashes on which [`Self::tick`] has yet to decide.
    pub fn has_unsettled(&self) -> bool {
        self.crashes.back().is_some_and(|crash| !crash.settled)
    }

    /// Decides on the crashes that all daemons have reported by now. `written_features` returns the
    /// features of the requests whose answers have been written for a while.
    pub fn tick(&mut self, now: f64, written_features: impl Fn() -> map::HashSet<RequestFeature>) {
        while let Some(crash) = self.crashes.front()
            && now - crash.at > EVIDENCE_MS
        {
            self.remove_crash(0);
        }
        let due = |crash: &CrashRecord| !crash.settled && now - crash.at >= SETTLE_MS;
        while let Some(index) = self.crashes.iter().position(due) {
            self.crashes[index].settled = true;
            self.decide(index, &written_features());
        }
    }

    /// Whether there are changes that have not been taken.
    pub fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns and clears the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the crashes of which other requests are suspected than the last report on them said,
    /// each with its age, ms.
    pub fn take_reports(&mut self, now: f64) -> Vec<(f64, CrashReport)> {
        let mut reports = Vec::new();
        let suspected = &self.suspected;
        for crash in self.crashes.iter_mut().filter(|crash| crash.settled) {
            let is_suspected = |digest: &ids::RequestDigest| {
                let numbers = suspected.get(&RequestFeature::Digest(*digest));
                numbers.is_some_and(|numbers| numbers.contains(&crash.number))
            };
            let digests = crash.suspects.iter().filter_map(|request| request.digest);
            let mut digests: Vec<_> = digests.filter(is_suspected).collect();
            digests.sort_unstable();
            digests.dedup();
            if digests != crash.reported {
                crash.reported.clone_from(&digests);
                let report = CrashReport {
                    incarnations: crash.incarnations.clone(),
                    digests,
                };
                reports.push((now - crash.at, report));
            }
        }
        reports
    }

    /// Adds what another placer reported on a crash that was `age_ms` ago.
    pub fn merge_report(&mut self, now: f64, age_ms: f64, report: &CrashReport) {
        let crashes = self.crashes.iter();
        let known = crashes
            .rev()
            .find(|crash| crash.has_incarnation(&report.incarnations));
        let number = match known {
            Some(crash) => crash.number,
            None if age_ms > EVIDENCE_MS => return,
            None => {
                let crash = self.add_crash(now - age_ms, report.incarnations.clone());
                crash.settled = true;
                crash.number
            }
        };
        let index = self.crashes.partition_point(|crash| crash.number < number);
        let crash = &mut self.crashes[index];
        for digest in &report.digests {
            let digest = Some(*digest);
            if crash
                .suspects
                .iter()
                .all(|request| request.digest != digest)
            {
                crash.add_suspect(RequestFeatures {
                    parts: Vec::new(),
                    digest,
                });
            }
        }
        let reported = std::mem::replace(&mut crash.reported, report.digests.clone());
        for digest in reported {
            if !report.digests.contains(&digest) {
                self.clear_suspicion(RequestFeature::Digest(digest), number);
            }
        }
        for digest in &report.digests {
            self.suspect(RequestFeature::Digest(*digest), number);
        }
    }

    fn suspect(&mut self, feature: RequestFeature, crash: u64) {
        let numbers = self.suspected.entry(feature).or_default();
        if let Err(index) = numbers.binary_search(&crash) {
            numbers.insert(index, crash);
        }
    }

    fn clear_suspicion(&mut self, feature: RequestFeature, crash: u64) {
        let Some(numbers) = self.suspected.get_mut(&feature) else {
            return;
        };
        numbers.retain(|number| *number != crash);
        if numbers.is_empty() {
            self.suspected.remove(&feature);
        }
    }

    /// Suspects the features of a crash's requests, and quarantines the cause that is suspected
    /// most if that is clear.
    fn decide(&mut self, index: usize, written_features: &map::HashSet<RequestFeature>) {
        let crash = self.crashes[index].clone();
        let mut quarantined = self.quarantined.iter();
        if quarantined.any(|cause| crash.is_explained_by(cause)) {
            return;
        }
        let relapsed = self.ended.iter();
        let relapsed = relapsed.filter(|cause| crash.is_explained_by(cause));
        let relapsed: Vec<CrashCause> = relapsed.cloned().collect();
        if !relapsed.is_empty() {
            self.relapsed.extend(relapsed.iter().cloned());
            self.quarantine_all(relapsed);
            return;
        }
        let counts = self.sound_counts(crash.at);
        let features = crash.suspects.iter().flat_map(RequestFeatures::iter);
        let mut features: Vec<RequestFeature> = features.collect();
        features.sort_unstable();
        features.dedup();
        features
            .retain(|feature| !written_features.contains(feature) && !counts.is_popular(feature));
        for feature in &features {
            self.suspect(*feature, crash.number);
        }
        if counts.answers < MIN_SOUND {
            features.retain(|feature| matches!(feature, RequestFeature::Digest(_)));
        }
        let suspicion = |feature: &RequestFeature| self.suspicion(&crash, feature, &counts);
        let highest = features.iter().map(suspicion).max().unwrap_or(0);
        if highest < MIN_CRASHES {
            return;
        }
        features.retain(|feature| suspicion(feature) == highest);
        let causes = crash.causes_among(&features);
        let is_request = |cause: &&CrashCause| matches!(cause, CrashCause::Request(_));
        let requests: Vec<CrashCause> = causes.iter().filter(is_request).cloned().collect();
        match (requests.len(), causes.len()) {
            (0, 1) => self.quarantine_all(causes),
            (0, 2) if highest >= MIN_AMBIGUOUS_CRASHES => self.quarantine_all(causes),
            (1..=MAX_AMBIGUOUS_REQUESTS, _) => self.quarantine_all(requests),
            _ => {}
        }
    }

    /// Returns for how many crashes a feature is suspected, as of a crash.
    fn suspicion(
        &self,
        crash: &CrashRecord,
        feature: &RequestFeature,
        counts: &SoundCounts,
    ) -> usize {
        let numbers = self.suspected.get(feature).map_or(&[][..], Vec::as_slice);
        match feature {
            RequestFeature::Part(_) => numbers.len().saturating_sub(counts.of(feature)),
            RequestFeature::Digest(_) => {
                let crashes = self.crashes.iter();
                let mut own = crashes.filter(|other| numbers.contains(&other.number));
                let first_at = own.next().map_or(crash.at, |first| first.at);
                let is_outage = counts.of(feature) > 0 && crash.at - first_at < OUTAGE_MS;
                let sound = counts.of(feature).min(MAX_SOUND_CREDIT);
                if is_outage {
                    0
                } else {
                    numbers.len().saturating_sub(sound)
                }
            }
        }
    }

    /// Counts the latest sound answers.
    fn sound_counts(&self, now: f64) -> SoundCounts {
        let mut counts = SoundCounts::default();
        for (_, request) in self.sound.iter().filter(|(at, _)| now - at <= SOUND_MS) {
            counts.answers += 1;
            for feature in request.iter() {
                *counts.by_feature.entry(feature).or_default() += 1;
            }
        }
        counts
    }

    /// Whether a cause may be sound: a request that it concerns was answered lately, or it is a
    /// request whose crashes may have been something else.
    fn is_doubtful(&self, cause: &CrashCause) -> bool {
        let mut sound = self.sound.iter();
        if sound.any(|(_, request)| cause.concerns(request)) {
            return true;
        }
        let crashes = self.crashes.iter();
        let confirmed = crashes.filter(|crash| crash.confirmed && crash.is_explained_by(cause));
        // The latest crash can't be confirmed yet; earlier ones of a relapse may be forgotten.
        let needed = if self.relapsed.contains(cause) {
            1
        } else {
            MIN_CRASHES - 1
        };
        let is_confirmed = confirmed.count() >= needed;
        matches!(cause, CrashCause::Request(_)) && (!is_confirmed || self.sound.len() < MIN_SOUND)
    }

    /// Quarantines causes of which each may be the one, and releases those for which another reason
    /// is known now.
    fn quarantine_all(&mut self, causes: Vec<CrashCause>) {
        let is_ambiguous = causes.len() > 1;
        let outdated = self.quarantined.iter();
        let outdated = outdated.filter(|other| self.is_outdated_by(other, &causes));
        self.release(outdated.cloned().collect());
        self.ended.retain(|other| !causes.contains(other));
        for cause in causes {
            let doubtful = self.is_doubtful(&cause) || is_ambiguous && is_request(&cause);
            self.drop_suspicions_explained_by(&cause);
            if self.quarantined.len() >= MAX_QUARANTINES {
                return;
            }
            self.quarantined.push(cause.clone());
            if is_ambiguous {
                self.ambiguous.push(cause.clone());
            } else if doubtful && is_request(&cause) {
                self.unconfirmed.push(cause.clone());
            }
            self.start(cause, doubtful);
        }
    }

    fn start(&mut self, cause: CrashCause, doubtful: bool) {
        self.changes.push(QuarantineChange::Start {
            endpoints: self.endpoints_crashed_on(&cause),
            cause,
            doubtful,
        });
    }

    /// Whether causes that are about to be quarantined make the quarantine of another one needless.
    fn is_outdated_by(&self, other: &CrashCause, causes: &[CrashCause]) -> bool {
        if causes.iter().any(|cause| other.is_narrower_than(cause)) {
            return true;
        }
        let crashes = self.crashes.iter();
        let own: Vec<_> = crashes
            .filter(|crash| crash.is_explained_by(other))
            .collect();
        let unexplained = own.iter().filter(|crash| {
            let mut causes = causes.iter();
            !causes.any(|cause| crash.is_explained_by(cause))
        });
        // Another placer may have seen the crashes of a cause of which fewer are known here.
        let is_explained = own.len() >= MIN_CRASHES && unexplained.count() < MIN_CRASHES;
        is_explained && (self.ambiguous.contains(other) || self.is_doubtful(other))
    }

    fn endpoints_crashed_on(&self, cause: &CrashCause) -> Vec<ids::EndpointId> {
        let crashes = self.crashes.iter();
        let explained = crashes.filter(|crash| crash.is_explained_by(cause));
        let incarnations = explained.flat_map(|crash| &crash.incarnations);
        let mut endpoints: Vec<_> = incarnations.map(|(id, _)| id.clone()).collect();
        endpoints.dedup();
        endpoints
    }

    fn release(&mut self, mut released: Vec<CrashCause>) {
        released.dedup();
        self.quarantined.retain(|cause| !released.contains(cause));
        self.ambiguous.retain(|cause| !released.contains(cause));
        self.ended.retain(|cause| !released.contains(cause));
        let changes = released.into_iter();
        self.changes
            .extend(changes.map(|cause| QuarantineChange::Release { cause }));
    }

    /// Drops the suspicions for crashes that a quarantined cause explains. Those that parts explain
    /// only together are kept, for the crash that tells them apart, and so are those of the parts of
    /// a quarantined request, for other prompts with them.
    fn drop_suspicions_explained_by(&mut self, cause: &CrashCause) {
        if matches!(cause, CrashCause::Parts(parts) if parts.len() > 1) {
            return;
        }
        let crashes = self.crashes.iter();
        let explained = crashes.filter(|crash| crash.is_explained_by(cause));
        let numbers: Vec<u64> = explained.clone().map(|crash| crash.number).collect();
        let suspects = explained.flat_map(|crash| &crash.suspects);
        let own = suspects.filter(|request| is_request(cause) && cause.concerns(request));
        let own_parts: map::HashSet<ids::PartId> = own
            .flat_map(|request| request.parts.iter().copied())
            .collect();
        self.suspected.retain(|feature, suspected| {
            let is_kept = part_of(*feature).is_some_and(|part| own_parts.contains(&part));
            suspected.retain(|number| is_kept || !numbers.contains(number));
            !suspected.is_empty()
        });
    }

    fn remove_crash(&mut self, index: usize) {
        if let Some(crash) = self.crashes.remove(index) {
            self.suspected.retain(|_, numbers| {
                numbers.retain(|number| *number != crash.number);
                !numbers.is_empty()
            });
        }
    }
}

fn is_request(cause: &CrashCause) -> bool {
    matches!(cause, CrashCause::Request(_))
}
