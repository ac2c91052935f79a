use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    future::pending,
    sync::Arc,
    time::Duration,
};

use dw_log::{Event, Field, Kind, Log};
use dw_mesh::{Member, MemberState, MemberTable};
use dw_platform::{Entry, Platform};
use dw_request::{
    RolloutAction, RolloutInput, RolloutLeader, RolloutOrder, RolloutPolicy, Succession,
    VersionHistory, VersionShare,
};
use dw_tables::Name;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use super::{
    ORDER_PREFIX, RolloutHandle, RolloutPoll, RolloutReply,
    orders::{RolloutStore, StoreOutcome},
};
use crate::{clock::unix_ms, counters::Counters, proxy::Proxy, tasks::Tasks};

/// Something that the task learns.
pub(crate) enum Input {
    /// Another daemon announced shares of these services.
    Heard {
        /// Its host.
        from: Name,
        /// The services.
        services: Vec<Name>,
    },
    /// All orders were read from the store, at the start of a watch.
    Orders(Vec<Entry>),
    /// An order was written.
    Order(Entry),
    /// A watch on the orders failed or could not be opened.
    StoreFailed,
    /// A call for the state of a service ended.
    Stored {
        /// The service.
        service: Name,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// A daemon replied to an announcement, or did not.
    Polled {
        /// Its host.
        host: Name,
        /// The incarnation with which its process started.
        started: u64,
        /// The reply.
        reply: Option<RolloutReply>,
    },
}

/// The task that leads rollouts where this daemon is in charge.
pub(crate) struct RolloutTask<P> {
    /// The client of the store; without one, this daemon only follows the shares of others.
    pub(crate) client: Option<P>,
    /// Applies shares, collects evidence, and sends announcements.
    pub(crate) proxy: Arc<Proxy>,
    /// The handle that the proxy uses.
    pub(crate) handle: RolloutHandle,
    /// This host.
    pub(crate) host: Name,
    /// Bounds and times of rollouts.
    pub(crate) policy: RolloutPolicy,
    /// Counts calls and announcements.
    pub(crate) counters: Counters,
    /// The log.
    pub(crate) log: Log,
    /// Runs a task for each call and each announcement.
    pub(crate) tasks: Tasks,
}

/// A rollout that this daemon leads.
struct LedRollout {
    leader: RolloutLeader,
    /// The share announced last.
    share: Option<VersionShare>,
    /// Whether the share has to be announced now.
    due: bool,
    /// When the leader needs a tick, in ms since the Unix epoch.
    tick: Option<u64>,
    /// The incarnation of each daemon that follows the share of an epoch, and the epoch.
    followers: HashMap<Name, (u64, u64)>,
}

/// An order, and when this daemon first read it.
struct KnownOrder {
    order: RolloutOrder,
    since: Instant,
}

/// What the task knows.
struct State<P> {
    task: RolloutTask<P>,
    store: Option<RolloutStore<P>>,
    succession: Succession,
    members: Arc<MemberTable>,
    history: VersionHistory,
    /// Ends the watch on the orders; `None` while there is none.
    watch: Option<CancellationToken>,
    orders: BTreeMap<Name, KnownOrder>,
    led: BTreeMap<Name, LedRollout>,
    /// The daemons that have not replied to the last announcement yet. They get no other one meanwhile, so that slow
    /// daemons do not accumulate them.
    polled: HashSet<Name>,
    /// When this daemon's own evidence is tested next.
    check_at: Instant,
}

impl<P: Platform> RolloutTask<P> {
    /// Runs until the daemon is closed.
    pub(crate) async fn run(self, mut inbox: mpsc::Receiver<Input>) {
        let mut view = self.proxy.watch_members();
        let tx = self.handle.0.tx.clone();
        let store = self.client.clone().map(|client| RolloutStore {
            client,
            tx,
            counters: self.counters.clone(),
            pause: self.policy.store_retry,
        });
        let mut state = State {
            store,
            succession: Succession::new(self.host.clone()),
            members: Arc::default(),
            history: VersionHistory::new(Instant::now()),
            watch: None,
            orders: BTreeMap::new(),
            led: BTreeMap::new(),
            polled: HashSet::new(),
            check_at: Instant::now(),
            task: self,
        };
        let members = view.borrow_and_update().clone();
        state.set_members(members);
        loop {
            tokio::select! {
                input = inbox.recv() => match input {
                    Some(input) => state.handle(input),
                    None => return,
                },
                Ok(()) = view.changed() => {
                    let members = view.borrow_and_update().clone();
                    state.set_members(members);
                }
                () = sleep_or_wait(state.deadline()) => {}
            }
            state.advance();
        }
    }
}

impl<P: Platform> State<P> {
    fn set_members(&mut self, members: Arc<MemberTable>) {
        self.members = members;
        let live = self.members.iter().filter(|member| member.state.is_live());
        let targets = live.flat_map(|member| &member.targets);
        let versions = targets.map(|target| (target.service.clone(), target.version.clone()));
        self.history.set_live(versions, Instant::now());
        // A leaving daemon still forwards requests but is about to end.
        let lasting =
            |m: &&Arc<Member>| matches!(m.state, MemberState::Alive | MemberState::Suspect);
        let hosts = self.members.iter().filter(lasting).map(|m| (m.host.clone(), m.link));
        self.succession.set_members(hosts);
        match (&self.watch, self.succession.is_candidate()) {
            (None, true) => {
                if let Some(store) = self.store.clone() {
                    let token = CancellationToken::new();
                    let follow = store.follow_orders();
                    self.watch = Some(token.clone());
                    self.task.tasks.spawn(token.run_until_cancelled_owned(follow));
                }
            }
            (Some(token), false) => {
                token.cancel();
                self.watch = None;
                self.orders.clear();
            }
            _ => {}
        }
        for service in self.led.keys().cloned().collect::<Vec<_>>() {
            let input = self.members_of(&service);
            self.feed(&service, input);
        }
    }

    /// The live daemons and the versions of a service, as its leader needs them.
    fn members_of(&self, service: &Name) -> RolloutInput {
        let live = || self.members.iter().filter(|member| member.state.is_live());
        let targets = live().flat_map(|member| &member.targets);
        let own = targets.filter(|target| target.service == *service);
        RolloutInput::Members {
            hosts: live().map(|member| member.host.clone()).collect(),
            versions: own.map(|target| target.version.clone()).collect::<BTreeSet<_>>(),
            recent: self.history.recent(service, Instant::now()),
        }
    }

    fn handle(&mut self, input: Input) {
        let now = Instant::now();
        match input {
            Input::Heard { from, services } => {
                services.iter().for_each(|service| self.succession.hear(service, &from, now));
            }
            Input::Orders(entries) => {
                self.succession.record_store(true, now);
                entries.iter().for_each(|entry| self.read_order(entry, now));
                // The watch ends when the store is away, and it may come back from an older copy.
                for service in self.led.keys().cloned().collect::<Vec<_>>() {
                    self.feed(&service, RolloutInput::StoreReset);
                }
            }
            Input::Order(entry) => {
                self.succession.record_store(true, now);
                self.read_order(&entry, now);
            }
            Input::StoreFailed => self.succession.record_store(false, now),
            Input::Stored { service, outcome } => self.stored(&service, outcome, now),
            Input::Polled { host, started, reply } => self.replied(&host, started, reply, now),
        }
    }

    fn read_order(&mut self, entry: &Entry, now: Instant) {
        let Some(service) = entry.key.strip_prefix(ORDER_PREFIX).map(Name::from) else { return };
        let order = match serde_json::from_slice::<RolloutOrder>(&entry.value) {
            Ok(order) => order,
            Err(error) => {
                let refused = Event::new(Kind::RolloutRefused)
                    .with(Field::Service, &service)
                    .with(Field::Detail, error.to_string());
                return self.task.log.write(&refused);
            }
        };
        let known = self.orders.get(&service).filter(|known| known.order.id == order.id);
        let since = known.map_or(now, |known| known.since);
        self.orders.insert(service.clone(), KnownOrder { order: order.clone(), since });
        self.feed(&service, RolloutInput::Order(order));
    }

    fn stored(&mut self, service: &Name, outcome: StoreOutcome, now: Instant) {
        self.succession.record_store(!matches!(outcome, StoreOutcome::Failed(_)), now);
        let input = match outcome {
            StoreOutcome::Read(state, revision) => RolloutInput::State { state, revision },
            StoreOutcome::Relays(hosts) => RolloutInput::Relays(hosts),
            StoreOutcome::Written(revision) => RolloutInput::Stored { revision },
            StoreOutcome::Conflict => RolloutInput::Conflict,
            StoreOutcome::Failed(detail) => {
                let failed = Event::new(Kind::RolloutStoreFailed)
                    .with(Field::Service, service)
                    .with(Field::Detail, detail);
                self.task.log.write(&failed);
                RolloutInput::StoreFailed
            }
        };
        self.feed(service, input);
    }

    /// Takes in the reply of a daemon.
    fn replied(&mut self, host: &Name, started: u64, reply: Option<RolloutReply>, now: Instant) {
        self.polled.remove(host);
        self.task.counters.rollout().polled(reply.is_some());
        let Some(reply) = reply else { return };
        if reply.reaches_store && *host != self.task.host {
            self.succession.peer_reaches_store(now);
        }
        for (service, epoch) in reply.epochs {
            if let Some(led) = self.led.get_mut(&service) {
                led.followers.insert(host.clone(), (started, epoch));
            }
        }
        for share in reply.newer {
            let service = share.service.clone();
            self.feed(&service, RolloutInput::Followed(share));
        }
        for report in reply.reports {
            let service = report.service.clone();
            self.feed(&service, RolloutInput::Report(report));
        }
    }

    /// Passes an input to the leader of a service, if this daemon is it, and performs its actions.
    fn feed(&mut self, service: &Name, input: RolloutInput) {
        let now = unix_ms();
        let Some(led) = self.led.get_mut(service) else { return };
        let before = led.leader.state().cloned();
        let actions = led.leader.handle(input, now);
        led.tick = led.leader.deadline(now);
        let writes = actions.iter().any(|action| matches!(action, RolloutAction::Write { .. }));
        if writes && led.leader.is_restoring() {
            let restored = Event::new(Kind::RolloutRestored).with(Field::Service, service);
            self.task.log.write(&restored);
        }
        if let Some(state) = led.leader.state().filter(|state| Some(*state) != before.as_ref()) {
            let stored = Event::new(Kind::RolloutStored)
                .with(Field::Service, service)
                .with(Field::State, state.step.as_str())
                .with(Field::Detail, state.version.to_string());
            self.task.log.write(&stored);
        }
        for action in actions {
            match action {
                RolloutAction::Announce(share) => {
                    led.share = Some(share);
                    led.due = true;
                }
                RolloutAction::Read => {
                    if let Some(store) = self.store.clone() {
                        self.task.tasks.spawn(store.read(service.clone()));
                    }
                }
                RolloutAction::ReadRelays => {
                    if let Some(store) = self.store.clone() {
                        self.task.tasks.spawn(store.read_relays(service.clone()));
                    }
                }
                RolloutAction::Write { state, revision } => {
                    if let Some(store) = self.store.clone() {
                        self.task.tasks.spawn(store.write(service.clone(), state, revision));
                    }
                }
            }
        }
    }

    /// Does what is due.
    fn advance(&mut self) {
        let now = Instant::now();
        self.task.handle.set_reaches_store(self.succession.reaches_store());
        self.update_led(now);
        let ms = unix_ms();
        let ticks = self.led.iter().filter(|(_, led)| led.tick.is_some_and(|tick| tick <= ms));
        for service in ticks.map(|(service, _)| service.clone()).collect::<Vec<_>>() {
            // What was live in the last seconds changes with time.
            let members = self.members_of(&service);
            self.feed(&service, members);
        }
        self.announce();
        if self.check_at <= now && self.task.proxy.follows_rollouts() {
            self.check_at = now + self.task.policy.period;
            self.task.proxy.check_rollouts();
        }
    }

    /// Starts or ceases to lead rollouts.
    fn update_led(&mut self, now: Instant) {
        let count = self.led.len();
        let leads =
            |service: &Name, known: &KnownOrder| self.succession.leads(service, known.since, now);
        self.led.retain(|service, _| {
            self.orders.get(service).is_some_and(|known| leads(service, known))
        });
        let begins = self
            .orders
            .iter()
            .filter(|(service, known)| !self.led.contains_key(*service) && leads(service, known));
        let begins: Vec<_> =
            begins.map(|(service, known)| (service.clone(), known.order.clone())).collect();
        for (service, order) in begins {
            let led = LedRollout {
                leader: RolloutLeader::new(service.clone(), self.task.policy),
                share: None,
                due: false,
                tick: None,
                followers: HashMap::new(),
            };
            self.led.insert(service.clone(), led);
            let leading = Event::new(Kind::RolloutLed)
                .with(Field::Service, &service)
                .with(Field::Detail, order.version.to_string());
            self.task.log.write(&leading);
            let members = self.members_of(&service);
            self.feed(&service, members);
            if let Some(share) = self.task.proxy.followed_share(&service) {
                self.feed(&service, RolloutInput::Followed(share));
            }
            self.feed(&service, RolloutInput::Order(order));
        }
        if self.led.len() != count {
            self.task.counters.rollout().set_leading(self.led.len());
        }
    }

    /// Sends the shares that are due to the daemons that need them: all of them while the rollout runs, for
    /// their reports, and those that do not follow the share afterwards.
    fn announce(&mut self) {
        if !self.led.values().any(|led| led.due) {
            return;
        }
        let members = self.members.clone();
        for member in members.iter().filter(|member| member.state.is_live()) {
            if self.polled.contains(&member.host) {
                continue;
            }
            let due = self.led.values().filter(|led| led.due);
            let needed = due.filter_map(|led| {
                let share = led.share.as_ref()?;
                let follows =
                    led.followers.get(&member.host) == Some(&(member.started, share.epoch));
                (share.step.is_running() || !follows).then(|| share.clone())
            });
            let shares: Vec<_> = needed.collect();
            if shares.is_empty() {
                continue;
            }
            let poll = RolloutPoll { from: self.task.host.clone(), shares };
            self.polled.insert(member.host.clone());
            let (host, started) = (member.host.clone(), member.started);
            let (proxy, tx, own) =
                (self.task.proxy.clone(), self.task.handle.0.tx.clone(), host == self.task.host);
            let addr = member.data;
            self.task.tasks.spawn(async move {
                let reply = match own {
                    true => Some(proxy.follow_rollouts(poll)),
                    false => proxy.send_rollout_poll(addr, &poll).await,
                };
                // The task has ended only if the daemon is closing.
                let _ = tx.send(Input::Polled { host, started, reply }).await;
            });
        }
        self.led.values_mut().for_each(|led| led.due = false);
    }

    /// When to do something without an input.
    fn deadline(&self) -> Option<Instant> {
        let (now, ms) = (Instant::now(), unix_ms());
        let after = |at: u64| now + Duration::from_millis(at.saturating_sub(ms));
        let ticks = self.led.values().filter_map(|led| led.tick).min().map(after);
        // A candidate that does not lead a known order has to notice that the leader is silent.
        let waits = self.orders.len() > self.led.len();
        let takeover = waits.then(|| now + self.task.policy.period);
        let check = self.task.proxy.follows_rollouts().then_some(self.check_at);
        [ticks, takeover, check].into_iter().flatten().min()
    }
}

async fn sleep_or_wait(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
