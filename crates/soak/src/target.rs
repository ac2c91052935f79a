use std::{
    convert::Infallible,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    Visit,
    link::{Link, LinkFaults},
    net::{self, HostAddrs},
    recorder::Recorder,
};

/// Most requests that a target runs at a time.
pub(crate) const SLOTS: u32 = 12;

/// Time that a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(20);

/// Time between two reports of a target to its daemon.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

type Reply = Response<Full<Bytes>>;

/// The target of one host, which runs as a sequence of incarnations.
#[derive(Clone, Debug)]
pub(crate) struct Target(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    addrs: HostAddrs,
    service: &'static str,
    recorder: Recorder,
    state: Mutex<State>,
    /// Faults of the link between the daemon and the target.
    link: watch::Sender<LinkFaults>,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Name of the incarnation; empty before the first one starts.
    name: String,
    born: u128,
    incarnations: u32,
    reports: u64,
    limit: Option<f64>,
    leaving: bool,
    /// Whether it has told its daemon that it ends.
    departed: bool,
    busy_slots: u32,
}

/// A running incarnation of a target.
#[derive(Debug)]
pub(crate) struct Incarnation {
    tasks: JoinSet<()>,
}

impl Incarnation {
    /// Ends the incarnation and closes all its connections.
    pub(crate) async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}

impl Target {
    /// Creates a target that has not been started.
    pub(crate) fn new(addrs: HostAddrs, service: &'static str, recorder: Recorder) -> Self {
        let (state, link) = (Mutex::default(), watch::Sender::default());
        Self(Arc::new(Inner { addrs, service, recorder, state, link }))
    }

    /// Starts an incarnation.
    ///
    /// # Errors
    /// Its address cannot be bound.
    pub(crate) async fn start(&self) -> io::Result<Incarnation> {
        let addrs = self.0.addrs;
        let listener = TcpListener::bind(addrs.target_addr()).await?;
        let link =
            Link::new(addrs.link_addr(), addrs.target_addr(), self.0.link.subscribe()).await?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let mut state = self.lock();
        let incarnations = state.incarnations + 1;
        let name = format!("i-{}-{incarnations}", self.0.addrs.idx);
        *state = State { name, born, incarnations, ..State::default() };
        drop(state);
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().serve(listener));
        tasks.spawn(link.run());
        tasks.spawn(self.clone().report());
        Ok(Incarnation { tasks })
    }

    /// The name of the current incarnation.
    pub(crate) fn name(&self) -> String {
        self.lock().name.clone()
    }

    /// Sets the limit in requests per second that answers announce, if any.
    pub(crate) fn set_limit(&self, limit: Option<f64>) {
        self.lock().limit = limit;
    }

    /// Changes the faults of the link between the daemon and the target.
    pub(crate) fn update_link(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.0.link.send_modify(change);
    }

    /// Announces in all further answers and reports that the target is leaving.
    pub(crate) fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Tells the daemon on the same host that the incarnation ends; returns whether it acknowledged that. There are no
    /// further reports.
    pub(crate) async fn deregister(&self) -> bool {
        self.lock().departed = true;
        let path = format!("/-/instances/{}", self.name());
        let request = Request::builder().method(Method::DELETE).uri(path);
        // A daemon that is down learns of the end from the missing reports.
        let reply = net::send(self.0.addrs.control_addr(), request, String::new()).await;
        reply.is_ok_and(|reply| reply.status().is_success())
    }

    /// Sends the daemon a report that the incarnation made before it began to leave.
    pub(crate) async fn report_late(&self) {
        let State { name, born, .. } = self.lock().clone();
        self.send_report(&name, self.0.service, born, "ready", 1).await;
    }

    /// Sends the daemon a report of another writer, which names the address of this target, a later
    /// start and a service that nobody runs.
    pub(crate) async fn report_foreign(&self) {
        let State { name, born, .. } = self.lock().clone();
        self.send_report(&format!("{name}-other"), "another", born + 1, "ready", 1).await;
    }

    async fn send_report(&self, name: &str, service: &str, born: u128, state: &str, sequence: u64) {
        let addr = self.0.addrs.link_addr();
        let body = format!(
            r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","slots":{SLOTS}}},
                "status":{{"state":"{state}","seq":{sequence},"cold_left_ms":0}}}}"#
        );
        let request = Request::builder().method(Method::PUT).uri(format!("/-/instances/{name}"));
        // A failure is ignored: if the daemon is down, a later report reaches it.
        let _ = net::send(self.0.addrs.control_addr(), request, body).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn report(self) {
        let mut tick = interval(REPORT_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let State { name, born, reports, leaving, departed, .. } = {
                let mut state = self.lock();
                state.reports += 1;
                state.clone()
            };
            if departed {
                return;
            }
            let state = if leaving { "draining" } else { "ready" };
            self.send_report(&name, self.0.service, born, state, reports).await;
        }
    }

    async fn serve(self, listener: TcpListener) {
        let mut conns = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            // A failure is ignored, because it only delays small answers.
            let _ = stream.set_nodelay(true);
            let target = self.clone();
            let service = service_fn(move |request| {
                let target = target.clone();
                async move { Ok::<_, Infallible>(target.answer(&request).await) }
            });
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A failure of the connection needs no handling here, as the daemon detects it too.
            conns.spawn(async move { conn.await.is_ok() });
            while conns.try_join_next().is_some() {}
        }
    }

    async fn answer(&self, request: &Request<Incoming>) -> Reply {
        let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let id = text("x-damaskwick-request-id").unwrap_or_default().to_owned();
        let wanted = text("x-damaskwick-target-instance").unwrap_or_default().to_owned();
        let (name, run) = {
            let mut state = self.lock();
            let run = state.name == wanted && state.busy_slots < SLOTS;
            state.busy_slots += u32::from(run);
            (state.name.clone(), run)
        };
        let at = self.0.recorder.now();
        let number = u64::from_str_radix(&id, 16).unwrap_or_default();
        let visit = Visit { at, target: name.clone(), id: number, ran: run };
        self.0.recorder.history().visits.push(visit);
        let mut reply = if run {
            let _slot = SlotGuard(self.clone());
            sleep(WORK_TIME).await;
            let mut reply = Response::new(Full::from(answer_body(&id)));
            set_header(reply.headers_mut(), "x-damaskwick-response-stamp", &name);
            reply
        } else {
            let mut reply = Response::new(Full::default());
            *reply.status_mut() = match wanted == name {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::MISDIRECTED_REQUEST,
            };
            set_header(reply.headers_mut(), "x-damaskwick-not-executed", "1");
            reply
        };
        let map = reply.headers_mut();
        set_header(map, "x-damaskwick-request-id", &id);
        let State { limit, leaving, .. } = self.lock().clone();
        if let Some(limit) = limit {
            set_header(map, "server-limit", &limit.to_string());
        }
        if leaving {
            set_header(map, "server-leaving", "1");
        }
        reply
    }
}

/// A slot in use, which is released at the latest when the connection closes.
struct SlotGuard(Target);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.busy_slots = state.busy_slots.saturating_sub(1);
    }
}

/// The complete body of the answer to a request.
pub(crate) fn answer_body(id: &str) -> String {
    format!("answer to {id}\n").repeat(20)
}

fn set_header(map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        map.insert(name, value);
    }
}
