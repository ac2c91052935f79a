use std::sync::Arc;

use dw_tables::{Name, Pool};

use crate::{
    Endpoint, Limiter, RetryBudget, balancer::Balancer, locality::Locality, shed::ShedMeter,
};

/// Lower end of the adaptive limit at the caller's side. A daemon has about 3 calls in flight at
/// target scale (150 calls/s of 20 ms), so that only bursts are cut while a pool sheds load. With 4,
/// 30 random schedules refused 760 of 12,000 requests at this limit.
const MIN_LIMIT: u32 = 16;

/// What one daemon knows of one pool on the caller's side.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) pool: Arc<Pool>,
    pub(crate) balancer: Balancer,
    pub(crate) budget: RetryBudget,
    pub(crate) limiter: Limiter,
    pub(crate) shed: ShedMeter,
    pub(crate) in_flight: u32,
    /// Whether the current version has the pool. A pool that it does not have serves the retries of
    /// requests that began with it.
    pub(crate) current: bool,
}

impl Upstream {
    pub(crate) fn new(pool: Pool, locality: Locality) -> Self {
        Self {
            limiter: Limiter::new(MIN_LIMIT, pool.limits.in_flight),
            pool: Arc::new(pool),
            balancer: Balancer::new(locality),
            budget: RetryBudget::default(),
            shed: ShedMeter::default(),
            in_flight: 0,
            current: true,
        }
    }

    /// Whether this is the pool of the row, so that its state carries over to a new version.
    pub(crate) fn is_same_pool(&self, pool: &Pool) -> bool {
        self.pool.name == pool.name && self.pool.service == pool.service
    }

    /// Takes over the limits and policies of a new version.
    pub(crate) fn set_pool(&mut self, pool: &Pool) {
        self.limiter.set_max(pool.limits.in_flight);
        self.current = true;
        if *self.pool != *pool {
            self.pool = Arc::new(pool.clone());
        }
    }

    /// Takes over the targets of the pool's service.
    pub(crate) fn set_endpoints(&mut self, endpoints: &[Arc<Endpoint>]) {
        self.balancer.update(endpoints, &self.pool.ejection);
    }

    /// The service that the targets announce.
    pub(crate) fn service(&self) -> &Name {
        &self.pool.service
    }
}
