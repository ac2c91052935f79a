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
    link::{Disturbance, Link},
    net::{self, Place},
    recorder::Recorder,
};

/// Requests that a target runs at once.
pub(crate) const SLOTS: u32 = 12;

/// Time that a run takes.
const WORK: Duration = Duration::from_millis(20);

/// Time between two reports of a target.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(500);

type Reply = Response<Full<Bytes>>;

/// The target on one host, one incarnation after the other.
#[derive(Clone, Debug)]
pub(crate) struct Target(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    place: Place,
    service: &'static str,
    recorder: Recorder,
    state: Mutex<State>,
    /// What is done to the link between the daemon and the target.
    link: watch::Sender<Disturbance>,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Name of the incarnation; empty while there is none.
    name: String,
    born: u128,
    lives: u32,
    reports: u64,
    limit: Option<f64>,
    leaving: bool,
    busy: u32,
}

/// An incarnation that serves.
#[derive(Debug)]
pub(crate) struct Life {
    tasks: JoinSet<()>,
}

impl Life {
    /// Ends it with all its connections.
    pub(crate) async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}

impl Target {
    /// A target that does not serve yet.
    pub(crate) fn new(place: Place, service: &'static str, recorder: Recorder) -> Self {
        let (state, link) = (Mutex::default(), watch::Sender::default());
        Self(Arc::new(Inner { place, service, recorder, state, link }))
    }

    /// Starts an incarnation.
    ///
    /// # Errors
    /// Its address cannot be bound.
    pub(crate) async fn start(&self) -> io::Result<Life> {
        let place = self.0.place;
        let listener = TcpListener::bind(place.behind()).await?;
        let link = Link::new(place.target(), place.behind(), self.0.link.subscribe()).await?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let mut state = self.lock();
        let lives = state.lives + 1;
        let name = format!("i-{}-{lives}", self.0.place.idx);
        *state = State { name, born, lives, ..State::default() };
        drop(state);
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().serve(listener));
        tasks.spawn(link.run());
        tasks.spawn(self.clone().report());
        Ok(Life { tasks })
    }

    /// The name of the incarnation.
    pub(crate) fn name(&self) -> String {
        self.lock().name.clone()
    }

    /// Names a limit from now on, or none.
    pub(crate) fn set_limit(&self, limit: Option<f64>) {
        self.lock().limit = limit;
    }

    /// Disturbs the link between the daemon and the target.
    pub(crate) fn disturb(&self, change: impl FnOnce(&mut Disturbance)) {
        self.0.link.send_modify(change);
    }

    /// Says from now on that it leaves.
    pub(crate) fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Tells the daemon beside it that it ends.
    pub(crate) async fn say_goodbye(&self) {
        let path = format!("/-/instances/{}", self.name());
        let request = Request::builder().method(Method::DELETE).uri(path);
        // A daemon that is down hears it from the silence.
        let _ = net::send(self.0.place.reports(), request, String::new()).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn report(self) {
        let mut tick = interval(HEARTBEAT);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let State { name, born, reports, leaving, .. } = {
                let mut state = self.lock();
                state.reports += 1;
                state.clone()
            };
            let state = if leaving { "draining" } else { "ready" };
            let (addr, service) = (self.0.place.target(), self.0.service);
            let body = format!(
                r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","slots":{SLOTS}}},
                    "status":{{"state":"{state}","seq":{reports},"cold_left_ms":0}}}}"#
            );
            let request =
                Request::builder().method(Method::PUT).uri(format!("/-/instances/{name}"));
            // The next report tells it if the daemon is down now.
            let _ = net::send(self.0.place.reports(), request, body).await;
        }
    }

    async fn serve(self, listener: TcpListener) {
        let mut conns = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            // Small answers are only slower without it.
            let _ = stream.set_nodelay(true);
            let target = self.clone();
            let service = service_fn(move |request| {
                let target = target.clone();
                async move { Ok::<_, Infallible>(target.answer(&request).await) }
            });
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A failed connection concerns the daemon, which sees it too.
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
            let run = state.name == wanted && state.busy < SLOTS;
            state.busy += u32::from(run);
            (state.name.clone(), run)
        };
        let at = self.0.recorder.now();
        let number = u64::from_str_radix(&id, 16).unwrap_or_default();
        let visit = Visit { at, target: name.clone(), id: number, ran: run };
        self.0.recorder.history().visits.push(visit);
        let mut reply = if run {
            let _busy = Busy(self.clone());
            sleep(WORK).await;
            let mut reply = Response::new(Full::from(body_of(&id)));
            set(reply.headers_mut(), "x-damaskwick-response-stamp", &name);
            reply
        } else {
            let mut reply = Response::new(Full::default());
            *reply.status_mut() = match wanted == name {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::MISDIRECTED_REQUEST,
            };
            set(reply.headers_mut(), "x-damaskwick-not-executed", "1");
            reply
        };
        let map = reply.headers_mut();
        set(map, "x-damaskwick-request-id", &id);
        let State { limit, leaving, .. } = self.lock().clone();
        if let Some(limit) = limit {
            set(map, "server-limit", &limit.to_string());
        }
        if leaving {
            set(map, "server-leaving", "1");
        }
        reply
    }
}

/// A run in progress; it ends with its connection at the latest.
struct Busy(Target);

impl Drop for Busy {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.busy = state.busy.saturating_sub(1);
    }
}

/// The whole body of the answer to a request.
pub(crate) fn body_of(id: &str) -> String {
    format!("answer to {id}\n").repeat(20)
}

fn set(map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        map.insert(name, value);
    }
}
