use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicI64, AtomicU64},
    },
    time::Duration,
};

use dw_log::LogLosses;
use dw_mesh::{MemberState, MemberTable};
use dw_platform::PlatformError;
use dw_request::{Outcome, Rate, Reason};
use dw_tables::{Name, Tables, VersionId};
use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{clock, quota::QuotaCounters, rollout::RolloutCounters, scheduling::Plane};

type Label = [(&'static str, &'static str); 1];
type NameLabel = [(&'static str, String); 1];
type ByLabel = Family<Label, Counter>;
type RateGauge = Gauge<f64, AtomicU64>;
type Histograms<L> = Family<L, Histogram, fn() -> Histogram>;

/// The kinds of control messages, whose counters are created at the start.
pub(crate) const MESSAGE_KINDS: [&str; 19] = [
    "ping",
    "ping-req",
    "ack",
    "hello",
    "join",
    "join-reply",
    "offer",
    "pull",
    "delta",
    "snapshot",
    "applied",
    "broadcast",
    "summary",
    "sync-members",
    "sync-reply",
    "busy",
    "status-pull",
    "status-reply",
    "credit",
];

/// The calls to the platform, whose counters are created at the start.
pub(crate) const PLATFORM_CALLS: [&str; 7] =
    ["get", "range", "commit", "grant", "renew", "revoke", "watch"];

/// The states of members and their labels.
const MEMBER_STATES: [(MemberState, &str); 5] = [
    (MemberState::Alive, "alive"),
    (MemberState::Leaving, "leaving"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Dead, "dead"),
    (MemberState::Left, "left"),
];

/// A step of a request whose time is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The wait for a slot of a target on this host.
    Queue,
    /// From sending the request to a target on this host to the end of its response.
    Target,
    /// From sending an attempt to another daemon to the head of its response.
    Hop,
}

impl Step {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Target => "target",
            Self::Hop => "hop",
        }
    }
}

/// Why a report of a target was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoreReason {
    /// A newer report was already applied.
    Stale,
    /// The report cannot be parsed.
    Unreadable,
    /// It names another service than that of the targets on this host.
    Foreign,
    /// Another target that goes on reporting has the name or the address.
    Held,
}

impl IgnoreReason {
    const ALL: [Self; 4] = [Self::Stale, Self::Unreadable, Self::Foreign, Self::Held];

    /// The text for the log and the metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stale => "stale",
            Self::Unreadable => "unreadable",
            Self::Foreign => "foreign",
            Self::Held => "held",
        }
    }
}

/// The counters of one daemon. Clones share their values.
#[derive(Clone)]
pub(crate) struct Counters(Arc<Inner>);

struct Inner {
    registry: Registry,
    sent: ByLabel,
    received: ByLabel,
    dropped: Counter,
    calls: ByLabel,
    failed_calls: ByLabel,
    events: Family<NameLabel, Counter>,
    refusals: ByLabel,
    retries: ByLabel,
    not_retried: ByLabel,
    requests: ByLabel,
    latency: Histogram,
    routes: Histograms<NameLabel>,
    /// The routes that have a series.
    seen_routes: Mutex<BTreeSet<Name>>,
    steps: Histograms<Label>,
    load_ages: Histogram,
    delays: Histograms<Label>,
    members: Family<Label, Gauge>,
    ignored: ByLabel,
    config_findings: ByLabel,
    target_requests: Family<NameLabel, Counter>,
    target_limits: Family<NameLabel, RateGauge>,
    unreadable_limits: Counter,
    lost_lines: Gauge,
    left_out: Gauge,
    held: Gauge,
    served: Gauge,
    served_at: Gauge,
    answered_at: Gauge,
    in_flight: Gauge<i64, AtomicI64>,
    quota: QuotaCounters,
    rollout: RolloutCounters,
}

/// The values of the counters at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CounterValues {
    /// Bytes of control messages sent, including framing, by kind.
    pub sent: BTreeMap<&'static str, u64>,
    /// Bytes of control messages received, including framing, by kind.
    pub received: BTreeMap<&'static str, u64>,
    /// Calls to the platform, by kind.
    pub calls: BTreeMap<&'static str, u64>,
    /// Requests of callers, by outcome.
    pub requests: BTreeMap<&'static str, u64>,
}

impl CounterValues {
    /// Bytes of control messages in both directions.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        self.sent.values().chain(self.received.values()).sum()
    }

    /// Calls to the platform of all kinds.
    #[must_use]
    pub fn platform_calls(&self) -> u64 {
        self.calls.values().sum()
    }
}

impl Default for Counters {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("damaskwick");
        let inner = Inner {
            sent: by_label(&mut registry, "control_sent_bytes", "Control bytes sent"),
            received: by_label(&mut registry, "control_received_bytes", "Control bytes received"),
            dropped: register(
                &mut registry,
                "control_dropped",
                "Control messages dropped, queue full",
            ),
            calls: by_label(&mut registry, "platform_calls", "Calls to the platform"),
            failed_calls: by_label(&mut registry, "platform_failures", "Failed platform calls"),
            events: register(&mut registry, "control_events", "Events of the control plane"),
            refusals: by_label(&mut registry, "refusals", "Requests refused, by reason"),
            retries: by_label(&mut registry, "retries", "Requests sent again, by reason"),
            not_retried: by_label(&mut registry, "not_retried", "Failures not retried, by reason"),
            requests: by_label(&mut registry, "requests", "Requests of callers, by outcome"),
            latency: seconds_histogram(),
            routes: Family::new_with_constructor(seconds_histogram),
            seen_routes: Mutex::default(),
            steps: Family::new_with_constructor(seconds_histogram),
            load_ages: seconds_histogram(),
            delays: Family::new_with_constructor(seconds_histogram),
            members: register(&mut registry, "members", "Members of the fleet, by state"),
            ignored: by_label(&mut registry, "reports_ignored", "Reports of targets not used"),
            config_findings: by_label(
                &mut registry,
                "config_findings",
                "Findings about configurations of the operator",
            ),
            target_requests: register(
                &mut registry,
                "target_requests",
                "Requests handed to a target of this host",
            ),
            target_limits: register(
                &mut registry,
                "target_limit",
                "Requests a second that a target names",
            ),
            unreadable_limits: register(
                &mut registry,
                "limits_unreadable",
                "Responses of targets whose limit cannot be read",
            ),
            lost_lines: register(
                &mut registry,
                "log_lines_lost",
                "Log lines that the output did not take",
            ),
            left_out: register(
                &mut registry,
                "log_requests_left_out",
                "Requests left out of the log",
            ),
            served_at: register(
                &mut registry,
                "version_served_timestamp_seconds",
                "When the version served came into use",
            ),
            answered_at: register(
                &mut registry,
                "platform_answered_timestamp_seconds",
                "When the platform last answered a call",
            ),
            held: register(&mut registry, "version_held", "Number of the newest version held"),
            served: register(&mut registry, "version_served", "Number of the version served"),
            in_flight: register(&mut registry, "in_flight", "Requests in flight"),
            quota: QuotaCounters::new(&mut registry),
            rollout: RolloutCounters::new(&mut registry),
            registry,
        };
        let mut inner = inner;
        let histograms = &mut inner.registry;
        histograms.register("request_seconds", "Time to the response head", inner.latency.clone());
        histograms.register("route_seconds", "Time to the response end", inner.routes.clone());
        histograms.register("step_seconds", "Time of one step of a request", inner.steps.clone());
        let help = "Age of what was known of a target's load when it was chosen";
        histograms.register("load_age_seconds", help, inner.load_ages.clone());
        let help = "How late tasks run that are due, by plane";
        histograms.register("scheduling_delay_seconds", help, inner.delays.clone());
        inner.create_series();
        Self(Arc::new(inner))
    }
}

impl fmt::Debug for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Counters")
    }
}

impl Inner {
    /// Creates every series, so that a scrape shows 0 where nothing was counted yet.
    fn create_series(&self) {
        for kind in MESSAGE_KINDS {
            drop(self.sent.get_or_create(&[("kind", kind)]));
            drop(self.received.get_or_create(&[("kind", kind)]));
        }
        for call in PLATFORM_CALLS {
            drop(self.calls.get_or_create(&[("call", call)]));
            drop(self.failed_calls.get_or_create(&[("call", call)]));
        }
        for reason in Reason::ALL {
            let label = [("reason", reason.as_str())];
            drop(self.refusals.get_or_create(&label));
            drop(self.retries.get_or_create(&label));
            drop(self.not_retried.get_or_create(&label));
        }
        for step in [Step::Queue, Step::Target, Step::Hop] {
            drop(self.steps.get_or_create(&[("step", step.as_str())]));
        }
        for plane in [Plane::Requests, Plane::Control] {
            drop(self.delays.get_or_create(&[("plane", plane.as_str())]));
        }
        for state in MEMBER_STATES {
            drop(self.members.get_or_create(&[("state", state.1)]));
        }
        for reason in IgnoreReason::ALL {
            drop(self.ignored.get_or_create(&[("reason", reason.as_str())]));
        }
        for effect in ["adjusted", "refused"] {
            drop(self.config_findings.get_or_create(&[("effect", effect)]));
        }
        for outcome in [Outcome::Run, Outcome::NotRun, Outcome::Unknown] {
            drop(self.requests.get_or_create(&[("outcome", outcome.as_str())]));
        }
    }
}

impl Counters {
    /// Counts the bytes of a control message that is sent, including framing.
    pub(crate) fn sent(&self, kind: &'static str, bytes: usize) {
        self.0.sent.get_or_create(&[("kind", kind)]).inc_by(bytes as u64);
    }

    /// Counts the bytes of a control message that arrived, including framing.
    pub(crate) fn received(&self, kind: &'static str, bytes: usize) {
        self.0.received.get_or_create(&[("kind", kind)]).inc_by(bytes as u64);
    }

    /// The metrics of rollouts.
    pub(crate) fn rollout(&self) -> &RolloutCounters {
        &self.0.rollout
    }

    /// The counters of quotas.
    pub(crate) fn quota(&self) -> &QuotaCounters {
        &self.0.quota
    }

    /// Counts a control message that was dropped, usually because a queue is full.
    pub(crate) fn dropped(&self) {
        self.0.dropped.inc();
    }

    /// Counts a call to the platform by its result, which is passed on.
    pub(crate) fn count_call<T>(
        &self,
        call: &'static str,
        result: Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        self.platform_call(call, result.is_ok());
        result
    }

    /// Counts a call to the platform.
    fn platform_call(&self, call: &'static str, succeeded: bool) {
        self.0.calls.get_or_create(&[("call", call)]).inc();
        if succeeded {
            self.0.answered_at.set(now_seconds());
        } else {
            self.0.failed_calls.get_or_create(&[("call", call)]).inc();
        }
    }

    /// Observes the time of one step of a request.
    pub(crate) fn observe_step(&self, step: Step, time: Duration) {
        self.0.steps.get_or_create(&[("step", step.as_str())]).observe(time.as_secs_f64());
    }

    /// Observes the time to the end of a response on a route.
    pub(crate) fn observe_route(&self, route: &Name, time: Duration) {
        let label = [("route", route.to_string())];
        self.0.routes.get_or_create(&label).observe(time.as_secs_f64());
        let mut seen_routes = self.seen_routes();
        if !seen_routes.contains(route) {
            seen_routes.insert(route.clone());
        }
    }

    /// Drops the series of routes that a new version does not have.
    pub(crate) fn keep_routes(&self, tables: &Tables) {
        let kept: HashSet<_> = tables.routes.iter().map(|route| &route.name).collect();
        self.seen_routes().retain(|route| {
            let keep = kept.contains(route);
            if !keep {
                self.0.routes.remove(&[("route", route.to_string())]);
            }
            keep
        });
    }

    fn seen_routes(&self) -> MutexGuard<'_, BTreeSet<Name>> {
        self.0.seen_routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Observes the age of a target's last report when the target was chosen.
    pub(crate) fn observe_load_age(&self, age: Duration) {
        self.0.load_ages.observe(age.as_secs_f64());
    }

    /// Observes how late a task ran that was due.
    pub(crate) fn observe_delay(&self, plane: Plane, delay: Duration) {
        self.0.delays.get_or_create(&[("plane", plane.as_str())]).observe(delay.as_secs_f64());
    }

    /// Sets the number of members in each state.
    pub(crate) fn set_members(&self, members: &MemberTable) {
        for (state, name) in MEMBER_STATES {
            let count = members.iter().filter(|member| member.state == state).count();
            let gauge = self.0.members.get_or_create(&[("state", name)]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Counts a report of a target that was ignored.
    pub(crate) fn report_ignored(&self, reason: IgnoreReason) {
        self.0.ignored.get_or_create(&[("reason", reason.as_str())]).inc();
    }

    /// Counts a finding about a configuration of the operator, which is `used` otherwise or not at all.
    pub(crate) fn config_found(&self, used: bool) {
        let effect = if used { "adjusted" } else { "refused" };
        self.0.config_findings.get_or_create(&[("effect", effect)]).inc();
    }

    /// Counts a request that is sent to the target with this index.
    pub(crate) fn sent_to_target(&self, index: u16) {
        self.0.target_requests.get_or_create(&target_label(index)).inc();
    }

    /// Sets the rate limit that the target with this index advertises; `None` removes its series.
    pub(crate) fn set_target_limit(&self, index: u16, limit: Option<Rate>) {
        match limit {
            Some(rate) => {
                self.0.target_limits.get_or_create(&target_label(index)).set(rate.per_second());
            }
            None => {
                self.0.target_limits.remove(&target_label(index));
            }
        }
    }

    /// Counts a response of a target whose rate limit cannot be parsed.
    pub(crate) fn unreadable_limit(&self) {
        self.0.unreadable_limits.inc();
    }

    /// Drops the series of a target that is gone.
    pub(crate) fn forget_target(&self, index: u16) {
        self.0.target_requests.remove(&target_label(index));
        self.0.target_limits.remove(&target_label(index));
    }

    /// Sets the numbers of lines and requests that the log dropped.
    pub(crate) fn set_log_losses(&self, losses: LogLosses) {
        self.0.lost_lines.set(i64::try_from(losses.lines).unwrap_or(i64::MAX));
        self.0.left_out.set(i64::try_from(losses.requests).unwrap_or(i64::MAX));
    }

    /// Counts an event of the control plane.
    pub(crate) fn control_event(&self, event: dw_mesh::Counter) {
        self.0.events.get_or_create(&[("event", event.to_string())]).inc();
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, reason: Reason) {
        self.0.refusals.get_or_create(&[("reason", reason.as_str())]).inc();
    }

    /// Counts a request that is sent again because of `reason`.
    pub(crate) fn retried(&self, reason: Reason) {
        self.0.retries.get_or_create(&[("reason", reason.as_str())]).inc();
    }

    /// Counts a failure that was not retried because of `reason`.
    pub(crate) fn not_retried(&self, reason: Reason) {
        self.0.not_retried.get_or_create(&[("reason", reason.as_str())]).inc();
    }

    /// Counts a caller's request and the time to its response head.
    pub(crate) fn observe_request(&self, outcome: Outcome, seconds: f64) {
        self.0.requests.get_or_create(&[("outcome", outcome.as_str())]).inc();
        self.0.latency.observe(seconds);
    }

    /// Adds `change` to the number of requests in flight.
    pub(crate) fn add_in_flight(&self, change: i64) {
        self.0.in_flight.inc_by(change);
    }

    /// Sets the versions held and served.
    pub(crate) fn set_versions(&self, held: VersionId, served: VersionId) {
        self.0.held.set(i64::try_from(held.number).unwrap_or(i64::MAX));
        self.0.served.set(i64::try_from(served.number).unwrap_or(i64::MAX));
        self.0.served_at.set(now_seconds());
    }

    /// The numbers of refusals, retries and failures that were not retried so far, by reason.
    pub(crate) fn reasons(&self) -> BTreeMap<&'static str, [u64; 3]> {
        let count = |family: &ByLabel, reason: &Reason| {
            family.get_or_create(&[("reason", reason.as_str())]).get()
        };
        let all = |reason: &Reason| {
            let inner = &self.0;
            [&inner.refusals, &inner.retries, &inner.not_retried]
                .map(|family| count(family, reason))
        };
        Reason::ALL.iter().map(|reason| (reason.as_str(), all(reason))).collect()
    }

    /// The current values of the counters.
    pub(crate) fn counts(&self) -> CounterValues {
        let read = |family: &ByLabel, label: &'static str, names: &[&'static str]| {
            let value = |name: &'static str| family.get_or_create(&[(label, name)]).get();
            names.iter().map(|name| (*name, value(name))).collect()
        };
        let outcomes = [Outcome::Run, Outcome::NotRun, Outcome::Unknown].map(Outcome::as_str);
        CounterValues {
            sent: read(&self.0.sent, "kind", &MESSAGE_KINDS),
            received: read(&self.0.received, "kind", &MESSAGE_KINDS),
            calls: read(&self.0.calls, "call", &PLATFORM_CALLS),
            requests: read(&self.0.requests, "outcome", &outcomes),
        }
    }

    /// All metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.0.registry);
        text
    }
}

fn target_label(index: u16) -> NameLabel {
    [("index", index.to_string())]
}

/// Buckets from 0.25 ms to 8 s.
fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_25, 2.0, 16))
}

fn now_seconds() -> i64 {
    i64::try_from(clock::unix_ms() / 1_000).unwrap_or(i64::MAX)
}

fn by_label(registry: &mut Registry, name: &str, help: &str) -> ByLabel {
    register(registry, name, help)
}

fn register<M>(registry: &mut Registry, name: &str, help: &str) -> M
where
    M: prometheus_client::registry::Metric + Clone + Default,
{
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}
