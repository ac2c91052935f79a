use std::{collections::VecDeque, time::Duration};

use dw_wire::PoisonLeft;
use tokio::time::Instant;

use crate::{Action, Fingerprint, node::Node, timer::Timer};

/// How long a poison request is refused after it was found.
const POISON_TIME: Duration = Duration::from_secs(600);

/// Fingerprints with less time left are not told, so that two nodes do not renew them for each other.
const MIN_LEFT: Duration = Duration::from_secs(1);

/// How long a withdrawn fingerprint is not taken for poison again on the word of members that have not heard of it.
const WITHDRAWN_TIME: Duration = Duration::from_secs(60);

/// Longest delay of a withdrawal. Many members may have seen the answers that contradict a broadcast, and those that hear
/// of the withdrawal meanwhile do not repeat it.
const WITHDRAWAL_SPREAD: Duration = Duration::from_secs(1);

/// Maximum number of fingerprints that are kept and told.
const POISON_LIMIT: usize = 64;

/// The poison requests that a node knows of, for members that joined, or could be reached again, after the broadcast.
#[derive(Debug, Default)]
pub(crate) struct KnownPoison {
    /// Each with the time until which it is refused, oldest first.
    list: VecDeque<(u64, Instant)>,
    /// Fingerprints that were withdrawn, each with the time until which that holds, oldest first.
    withdrawn: VecDeque<(u64, Instant)>,
}

impl KnownPoison {
    /// Adds a fingerprint; returns `false` if it is known or was withdrawn.
    fn add(&mut self, fingerprint: u64, until: Instant, now: Instant) -> bool {
        self.list.retain(|(_, until)| now < *until);
        let known = self.list.iter().any(|(known, _)| *known == fingerprint);
        if known || self.is_withdrawn(fingerprint, now) {
            return false;
        }
        if self.list.len() >= POISON_LIMIT {
            self.list.pop_front();
        }
        self.list.push_back((fingerprint, until));
        true
    }

    fn is_withdrawn(&self, fingerprint: u64, now: Instant) -> bool {
        self.withdrawn.iter().any(|(known, until)| *known == fingerprint && now < *until)
    }

    /// Withdraws a fingerprint; returns `false` if it already is.
    fn withdraw(&mut self, fingerprint: u64, now: Instant) -> bool {
        self.list.retain(|(known, _)| *known != fingerprint);
        if self.is_withdrawn(fingerprint, now) {
            return false;
        }
        self.withdrawn.retain(|(known, until)| now < *until && *known != fingerprint);
        if self.withdrawn.len() >= POISON_LIMIT {
            self.withdrawn.pop_front();
        }
        self.withdrawn.push_back((fingerprint, now + WITHDRAWN_TIME));
        true
    }

    /// The fingerprints and the time that each is still refused.
    pub(crate) fn to_wire(&self, now: Instant) -> Vec<PoisonLeft> {
        let left = self.list.iter().map(|(fingerprint, until)| (fingerprint, *until - now));
        left.filter(|(_, left)| *left >= MIN_LEFT)
            .map(|(fingerprint, left)| PoisonLeft {
                fingerprint: *fingerprint,
                left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            })
            .collect()
    }
}

impl Node {
    /// Keeps a fingerprint that was found or broadcast now.
    pub(crate) fn keep_poison(&mut self, fingerprint: Fingerprint) {
        self.poison.add(fingerprint.0, self.now + POISON_TIME, self.now);
    }

    /// Refuses the requests that another member told of; returns those that are new here.
    pub(crate) fn learn_poison(&mut self, list: &[PoisonLeft]) -> Vec<PoisonLeft> {
        let mut new = Vec::new();
        for told @ PoisonLeft { fingerprint, left_ms } in list.iter().take(POISON_LIMIT) {
            let left = Duration::from_millis(u64::from(*left_ms)).min(POISON_TIME);
            if left >= MIN_LEFT && self.poison.add(*fingerprint, self.now + left, self.now) {
                self.out.push(Action::Poison { fingerprint: Fingerprint(*fingerprint), left });
                new.push(*told);
            }
        }
        new
    }

    /// Broadcasts what a member told that could not be reached before, for those that it does not tell itself.
    pub(crate) fn spread_poison(&mut self, list: &[PoisonLeft]) {
        let new = self.learn_poison(list);
        if !new.is_empty() {
            self.broadcasts.earlier_poison.extend(new);
            self.timers.set_no_later(Timer::Broadcast, self.now + self.cfg.preset.batch_delay);
        }
    }

    /// Refuses a request that was broadcast, unless it was withdrawn.
    pub(crate) fn learn_broadcast_poison(&mut self, fingerprint: Fingerprint) {
        self.keep_poison(fingerprint);
        if !self.poison.is_withdrawn(fingerprint.0, self.now) {
            self.out.push(Action::Poison { fingerprint, left: POISON_TIME });
        }
    }

    /// Tells all members that a target has answered a request that is refused.
    pub(crate) fn withdraw_poison(&mut self, fingerprint: Fingerprint) {
        let room = self.broadcasts.withdrawn_poison.len() < POISON_LIMIT;
        if self.poison.withdraw(fingerprint.0, self.now) && room {
            self.broadcasts.withdrawn_poison.push(fingerprint.0);
            let delay = self.jitter(WITHDRAWAL_SPREAD);
            self.timers.set_no_later(Timer::Broadcast, self.now + delay);
        }
        self.out.push(Action::WithdrawPoison(fingerprint));
    }

    /// Accepts a request again that another member has seen answered.
    pub(crate) fn learn_withdrawn_poison(&mut self, fingerprint: Fingerprint) {
        self.broadcasts.withdrawn_poison.retain(|queued| *queued != fingerprint.0);
        self.poison.withdraw(fingerprint.0, self.now);
        self.out.push(Action::WithdrawPoison(fingerprint));
    }
}
