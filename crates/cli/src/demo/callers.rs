use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

use bytes::Bytes;
use dw_fakes::unix_ms;
use http::Request;
use http_body_util::Full;
use rand::Rng;
use tokio::{
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval_at, sleep},
};

use super::{Deployment, client::Client, deployment::RequestKind, fleet::Fleet};

/// Number of callers of each daemon.
const CALLERS_PER_HOST: usize = 2;

/// Percentage of keyless requests, which carry no idempotency key, among the requests that may run
/// at most once.
const KEYLESS_PERCENT: u32 = 20;
/// Percentage of the requests with a key that are sent twice at the same time, through different
/// daemons.
const PARALLEL_PERCENT: u32 = 10;
/// Percentage of the requests with a key that are sent again after their outcome, through another
/// daemon.
const RESEND_PERCENT: u32 = 10;

/// How often a caller retries a request that was not run, or a request with a key whose outcome is
/// unknown.
const MAX_RETRIES: u32 = 3;
/// The pause before a retry if the response names no time.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause before a retry. It is bounded because a waiting caller sends no other request.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What a caller received for one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The complete and correct answer of a target.
    Answered,
    /// A complete response that is not the correct answer to this request.
    Wrong {
        /// What is wrong with it.
        fault: String,
    },
    /// The target ran the request and answered with a status other than 200.
    Failed {
        /// The status.
        status: u16,
    },
    /// A refusal that says that the request was not run.
    NotRun {
        /// The reason of the refusal.
        reason: String,
        /// The seconds to wait before a retry, if the response names them.
        retry: Option<u64>,
    },
    /// The caller cannot tell whether the request was run.
    Unknown {
        /// Why the outcome is unknown.
        reason: String,
    },
}

impl Reply {
    pub(super) fn unknown(reason: &str) -> Self {
        Self::Unknown { reason: reason.to_owned() }
    }
}

/// One attempt of a request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of the request, shared by all its attempts.
    pub request: Arc<str>,
    /// Whether the request may run at most once.
    pub once: bool,
    /// When the attempt was sent.
    pub sent: Instant,
    /// When the reply was complete.
    pub ended: Instant,
    /// What the caller received.
    pub reply: Reply,
}

/// State shared by all callers.
#[derive(Clone)]
pub(super) struct Shared {
    deployment: Deployment,
    addrs: Arc<[SocketAddr]>,
    stop: Arc<AtomicBool>,
    urgent: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

/// The running callers.
pub(super) struct Callers {
    shared: Shared,
    tasks: JoinSet<()>,
}

/// One caller, which uses the daemon of its host.
struct Caller {
    shared: Shared,
    host: usize,
    home: &'static str,
    own_client: Client,
    other_client: Client,
    name: String,
}

/// A request, the same for each of its attempts.
#[derive(Clone)]
struct Call {
    id: Arc<str>,
    kind: RequestKind,
    keyed: bool,
    first_sent: u64,
    home: &'static str,
}

impl Callers {
    /// Starts callers that together send `rate` requests a second.
    pub(super) fn start(deployment: Deployment, fleet: &Fleet, rate: u32) -> Self {
        let shared = Shared {
            deployment,
            addrs: fleet.caller_addrs().into(),
            stop: Arc::default(),
            urgent: Arc::default(),
            attempts: Arc::default(),
        };
        let count = u32::try_from(fleet.hosts.len() * CALLERS_PER_HOST).unwrap_or(u32::MAX);
        let period = Duration::from_secs(1) * count / rate.max(1);
        let mut tasks = JoinSet::new();
        for index in 0..fleet.hosts.len() * CALLERS_PER_HOST {
            let host = index / CALLERS_PER_HOST;
            let caller = Caller {
                shared: shared.clone(),
                host,
                home: fleet.hosts[host].domain,
                own_client: Client::default(),
                other_client: Client::default(),
                name: format!("caller-{index}"),
            };
            tasks.spawn(caller.run(period));
        }
        Self { shared, tasks }
    }

    /// Makes the callers also send the request that only the edited tables have a route for.
    pub(super) fn call_edited_route(&self) {
        self.shared.urgent.store(true, Relaxed);
    }

    /// Stops the callers once their requests in flight are done, and returns all attempts.
    pub(super) async fn stop(mut self) -> Vec<Attempt> {
        self.shared.stop.store(true, Relaxed);
        while self.tasks.join_next().await.is_some() {}
        let mut attempts = self.shared.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut attempts)
    }
}

impl Caller {
    async fn run(mut self, period: Duration) {
        let offset = period.mul_f64(rand::random());
        let mut ticks = interval_at(Instant::now() + offset, period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut number = 0u64;
        loop {
            ticks.tick().await;
            if self.shared.stop.load(Relaxed) {
                return;
            }
            number += 1;
            let call = self.call(number);
            self.send_call(&call).await;
        }
    }

    fn call(&self, number: u64) -> Call {
        let mut random = rand::rng();
        let urgent = self.shared.urgent.load(Relaxed) && random.random_range(0..10) == 0;
        let kind = match urgent {
            true => self.shared.deployment.urgent(),
            false => {
                pick_by_share(self.shared.deployment.request_kinds(), random.random_range(0..10))
            }
        };
        Call {
            id: format!("{}-{number}", self.name).into(),
            kind: *kind,
            keyed: kind.once && random.random_range(0..100) >= KEYLESS_PERCENT,
            first_sent: unix_ms(Instant::now()),
            home: self.home,
        }
    }

    async fn send_call(&mut self, call: &Call) {
        let chance = rand::rng().random_range(0..100);
        let next = self.next_addr(1);
        if call.keyed && chance < PARALLEL_PERCENT {
            let (own_client, other_client) = (&mut self.own_client, &mut self.other_client);
            let own = self.shared.addrs[self.host];
            tokio::join!(
                send(&self.shared, own_client, own, call),
                send(&self.shared, other_client, next, call),
            );
            return;
        }
        self.send_until_known(call).await;
        if call.keyed && chance < PARALLEL_PERCENT + RESEND_PERCENT {
            send(&self.shared, &mut self.other_client, next, call).await;
        }
    }

    /// Sends a request and retries it while that is safe, through another daemon if the own one is
    /// unreachable or draining.
    async fn send_until_known(&mut self, call: &Call) {
        let mut addr = self.shared.addrs[self.host];
        for retry_count in 0..=MAX_RETRIES {
            let reply = send(&self.shared, &mut self.own_client, addr, call).await;
            let pause = match reply {
                None => {
                    addr = self.next_addr(retry_count as usize + 1);
                    Duration::ZERO
                }
                Some(Reply::NotRun { reason, .. }) if reason == "draining" => {
                    addr = self.next_addr(retry_count as usize + 1);
                    Duration::ZERO
                }
                Some(Reply::NotRun { retry, .. }) => {
                    retry.map_or(RETRY_PAUSE, |s| Duration::from_secs(s).min(MAX_RETRY_PAUSE))
                }
                Some(Reply::Unknown { .. }) if call.keyed => RETRY_PAUSE,
                Some(_) => return,
            };
            if self.shared.stop.load(Relaxed) {
                return;
            }
            sleep(pause).await;
        }
    }

    fn next_addr(&self, step: usize) -> SocketAddr {
        self.shared.addrs[(self.host + step) % self.shared.addrs.len()]
    }
}

/// Sends a request once and records the attempt. Returns `None` if nothing was sent.
async fn send(
    shared: &Shared,
    client: &mut Client,
    addr: SocketAddr,
    call: &Call,
) -> Option<Reply> {
    let sent = Instant::now();
    let reply = client.send(addr, &call.id, call.request()?).await?;
    let attempt = Attempt {
        request: call.id.clone(),
        once: call.kind.once,
        sent,
        ended: Instant::now(),
        reply: reply.clone(),
    };
    shared.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
    Some(reply)
}

impl Call {
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.kind.method)
            .uri(self.kind.path)
            .header("host", "demo.example")
            .header("x-request-id", &*self.id);
        if self.keyed {
            // All callers have the same address, so a retry through a daemon of another domain must
            // name the domain that keeps the record of the key.
            request = request
                .header("idempotency-key", &*self.id)
                .header("damaskwick-first-sent", self.first_sent.to_string())
                .header("damaskwick-home", self.home);
        }
        let body = if self.kind.once { Bytes::from(self.id.to_string()) } else { Bytes::new() };
        request.body(Full::new(body)).ok()
    }
}

/// Picks the kind of request for a number below ten, according to the shares.
fn pick_by_share(request_kinds: &'static [RequestKind], mut number: u32) -> &'static RequestKind {
    for kind in request_kinds {
        if number < kind.share {
            return kind;
        }
        number -= kind.share;
    }
    &request_kinds[0]
}
