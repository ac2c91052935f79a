use std::{collections::HashMap, time::Duration};

use dw_tables::Name;
use tokio::time::Instant;

use super::Allotment;

/// Time after it became the owner in which a daemon leases nothing, so that credit leased by its
/// predecessor is not issued again. It is longer than the longest lease.
pub(super) const WARM_UP: Duration = Duration::from_millis(1500);

/// Lifetime of a lease of several tokens. A holder asks for what it expects to need in this time.
pub(super) const LEASE_TTL: Duration = Duration::from_millis(400);

/// Lifetime of a single token. The request that waits for it takes it within one round trip.
const SINGLE_TTL: Duration = Duration::from_millis(100);

/// Part of the expected need that is granted while the bucket is less than half full: 100 ms of the
/// 400 ms. Longer leases then would leave tokens unused at some daemons that others need.
const SCARCE_PART: u32 = 4;

/// Shortest time for which a denial holds. Shorter ones would cost a message per request under a flood:
/// with 82 daemons, one workspace over its limit causes 820 credit requests per second at this value.
const MIN_DENIAL: Duration = Duration::from_millis(100);

/// Longest time that a denial states.
const MAX_DENIAL: Duration = Duration::from_secs(3600);

/// Tokens above the burst that the bucket may hold, out of the 20 that the bound allows above rate and
/// burst. Without them the tokens on their way to holders would reduce the bursts of small workspaces.
const EXTRA_TOKENS: f64 = 4.0;

/// Smallest size of the bucket in seconds of the rate and in tokens, so that leases for the expected need
/// are possible with a burst of one.
const MIN_SIZE: (f64, f64) = (0.25, 2.0);

/// Time constant of the shares of the holders.
const SHARE_TIME: f64 = 2.0;

/// Interval at which expired leases are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Largest debt from requests that holders admitted on their own, in seconds of the rate.
const MAX_DEBT: f64 = 1.0;

/// Time without a credit request after which a holder is forgotten.
const HOLDER_MEMORY: Duration = Duration::from_secs(20);

/// A daemon's request for credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditAsk {
    /// Identifies the request; ids of a daemon grow, also over restarts. A second attempt has the same.
    pub id: u64,
    /// Tokens that the daemon expects to need in the next 400 ms, at least one.
    pub want: u32,
    /// Requests that the daemon has admitted since its start, without those refunded.
    pub spent: u64,
}

/// The answer to a [`CreditAsk`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lease {
    /// Tokens were taken from the bucket for the holder.
    Granted {
        /// Their number.
        tokens: u32,
        /// Time after the first attempt of the credit request in which they may be spent.
        ttl: Duration,
        /// The holder's share of the rate in requests per second.
        share: f64,
    },
    /// The bucket is empty.
    Denied {
        /// Time after which tokens will be available.
        wait: Duration,
        /// The holder's share of the rate in requests per second.
        share: f64,
    },
    /// The owner does not lease yet.
    WarmingUp,
    /// A newer credit request of the holder was answered before.
    Stale,
}

/// What the owner knows about a daemon that asked for credit.
#[derive(Debug)]
struct Account {
    id: u64,
    answer: Lease,
    spent: u64,
    /// Tokens leased and not reported as spent.
    unreported: f64,
    /// The part of them that is not expired.
    outstanding: f64,
    expires: Instant,
    /// Decaying number of tokens granted, at `asked`.
    recent: f64,
    asked: Instant,
}

/// The token bucket of one workspace, at the daemon that owns the workspace.
///
/// It addresses a workspace whose requests arrive at all daemons, many times its rate in total or far
/// fewer than one per daemon and second. Tokens are taken when they are leased. Tokens that are leased
/// and possibly not spent yet count as if they were still in the bucket when it is refilled, so that the
/// tokens spent in any period are at most the size of the bucket and the rate times the period.
#[derive(Debug)]
pub struct CreditOwner {
    allotment: Allotment,
    ready: Instant,
    fraction: f64,
    level: f64,
    refilled: Instant,
    swept: Instant,
    outstanding: f64,
    accounts: HashMap<Name, Account>,
}

impl CreditOwner {
    /// The bucket of a daemon that may lease from `ready` on, when the bucket is empty; see
    /// [`super::Electorate::leases_from`].
    #[must_use]
    pub fn new(allotment: Allotment, ready: Instant) -> Self {
        Self {
            allotment,
            ready,
            fraction: 1.0,
            level: 0.0,
            refilled: ready,
            swept: ready,
            outstanding: 0.0,
            accounts: HashMap::new(),
        }
    }

    /// Replaces the quota; a lower one is applied to the bucket at once.
    pub fn set_allotment(&mut self, allotment: Allotment, now: Instant) {
        if allotment != self.allotment {
            self.refill(now);
            self.allotment = allotment;
            self.level = self.level.min((self.size() - self.outstanding).max(0.0));
        }
    }

    /// Sets the part of the rate that this owner may lease; see [`super::Electorate::fraction`].
    pub fn set_members(&mut self, fraction: f64, now: Instant) {
        self.refill(now);
        self.fraction = fraction;
    }

    /// From when on the daemon may lease.
    #[must_use]
    pub const fn ready(&self) -> Instant {
        self.ready
    }

    /// The quota.
    #[must_use]
    pub const fn allotment(&self) -> Allotment {
        self.allotment
    }

    /// Answers a credit request.
    pub fn lease(&mut self, holder: &Name, ask: CreditAsk, now: Instant) -> Lease {
        let ready = now >= self.ready;
        self.refill(now);
        let rate = self.allotment.per_second();
        let account = self.accounts.entry(holder.clone()).or_insert_with(|| Account {
            id: 0,
            answer: Lease::Stale,
            spent: ask.spent,
            unreported: 0.0,
            outstanding: 0.0,
            expires: now,
            recent: 0.0,
            asked: now,
        });
        if ask.id < account.id {
            return Lease::Stale;
        }
        if ask.id == account.id {
            return account.answer;
        }
        let spent = whole(ask.spent.saturating_sub(account.spent));
        // The count is lower after refunds, whose tokens are spent again, and after a restart.
        let refunded = whole(account.spent.saturating_sub(ask.spent));
        (account.id, account.spent) = (ask.id, ask.spent);
        let reported = spent.min(account.outstanding);
        account.outstanding -= reported;
        self.outstanding = (self.outstanding - reported).max(0.0);
        // What exceeds the leases was admitted while the owner seemed not to answer.
        let unleased = (spent - account.unreported).max(0.0);
        account.unreported = match account.expires <= now {
            true => 0.0,
            false => (account.unreported - spent).max(0.0),
        } + refunded.min(rate * LEASE_TTL.as_secs_f64());
        let elapsed = now.saturating_duration_since(account.asked).as_secs_f64();
        account.recent *= (-elapsed / SHARE_TIME).exp();
        account.asked = now;
        if !ready {
            account.answer = Lease::WarmingUp;
            return Lease::WarmingUp;
        }
        self.level = (self.level - unleased).max(self.level.min(-rate * MAX_DEBT));
        let want = ask.want.max(1);
        let scarce = self.level < self.allotment.size() / 2.0;
        let cut = if scarce { want.div_ceil(SCARCE_PART) } else { want };
        let tokens = floor(self.level).min(cut);
        self.level -= f64::from(tokens);
        account.recent += f64::from(tokens);
        let recent = account.recent;
        let total: f64 = self
            .accounts
            .values()
            .map(|a| {
                a.recent
                    * (-now.saturating_duration_since(a.asked).as_secs_f64() / SHARE_TIME).exp()
            })
            .sum();
        let share = if total > 0.0 { rate * recent / total } else { 0.0 };
        let answer = if tokens == 0 {
            let wait = (1.0 - self.level) / (rate * self.fraction).max(f64::MIN_POSITIVE);
            let wait = Duration::from_secs_f64(wait.min(MAX_DENIAL.as_secs_f64()));
            Lease::Denied { wait: wait.max(MIN_DENIAL), share }
        } else {
            let ttl = if tokens == 1 { SINGLE_TTL } else { LEASE_TTL };
            Lease::Granted { tokens, ttl, share }
        };
        if let Some(account) = self.accounts.get_mut(holder) {
            account.answer = answer;
            if let Lease::Granted { tokens, ttl, .. } = answer {
                account.unreported += f64::from(tokens);
                account.outstanding += f64::from(tokens);
                account.expires = account.expires.max(now + ttl);
                self.outstanding += f64::from(tokens);
            }
        }
        answer
    }

    /// Number of daemons that asked for credit in the last 20 s.
    #[must_use]
    pub fn holders(&self) -> usize {
        self.accounts.len()
    }

    /// Tokens in the bucket.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// The most tokens in the bucket and leased together.
    fn size(&self) -> f64 {
        let (seconds, tokens) = MIN_SIZE;
        let min = self.allotment.per_second().mul_add(seconds, tokens);
        (self.allotment.size() + EXTRA_TOKENS).max(min)
    }

    fn refill(&mut self, now: Instant) {
        if now <= self.refilled {
            return;
        }
        if now >= self.swept + SWEEP_INTERVAL {
            self.sweep(now);
        }
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let gained = self.allotment.per_second() * self.fraction * elapsed;
        let room = (self.size() - self.outstanding - self.level).max(0.0);
        self.level += gained.min(room);
    }

    /// Counts expired leases as spent, and forgets holders that stopped asking.
    fn sweep(&mut self, now: Instant) {
        self.swept = now;
        let mut outstanding = 0.0;
        self.accounts.retain(|_, account| {
            if account.expires <= now {
                account.outstanding = 0.0;
            }
            outstanding += account.outstanding;
            now.saturating_duration_since(account.asked) < HOLDER_MEMORY
        });
        self.outstanding = outstanding;
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a few seconds are small")]
const fn whole(count: u64) -> f64 {
    count as f64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
fn floor(tokens: f64) -> u32 {
    tokens.clamp(0.0, f64::from(u32::MAX)) as u32
}
