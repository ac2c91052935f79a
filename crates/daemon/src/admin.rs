use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use dw_log::Log;
use dw_mesh::{Input, LocalEvent};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{
    counters::Counters,
    node::{NodeMessage, View, ask_status},
    proxy::Proxy,
    tasks::Tasks,
};

/// The wait after a failed accept; without it the task could spin.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

type Reply = Response<Full<Bytes>>;

/// The admin API of one daemon.
#[derive(Clone)]
pub(crate) struct Admin {
    /// Versions and members.
    pub(crate) view: watch::Receiver<View>,
    /// The task of the node.
    pub(crate) node: mpsc::Sender<NodeMessage>,
    /// Loads and drain.
    pub(crate) proxy: Arc<Proxy>,
    /// Metrics.
    pub(crate) counters: Counters,
    /// Tells what it did not write.
    pub(crate) log: Log,
    /// Runs connections.
    pub(crate) tasks: Tasks,
}

impl Admin {
    /// Accepts readers until the daemon is closed.
    pub(crate) async fn run(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let admin = self.clone();
            self.tasks.spawn(async move {
                let service = service_fn(move |request| {
                    let admin = admin.clone();
                    async move { Ok::<_, Infallible>(admin.answer(&request).await) }
                });
                // A failed connection concerns its reader only.
                let _ = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn answer(&self, request: &Request<Incoming>) -> Reply {
        let path = request.uri().path();
        if let Some(index) = drain_path(path) {
            return self.drain_target(index, request.method()).await;
        }
        if !matches!(*request.method(), Method::GET | Method::HEAD) {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n".to_owned());
        }
        match path {
            "/version" => self.version(),
            "/tables" => reply(&self.view.borrow().version.tables),
            "/members" => self.members(),
            "/limits" => self.limits(),
            "/reasons" => self.reasons(),
            "/status" => match ask_status(&self.node).await {
                Some(status) => reply(&status),
                None => text(StatusCode::SERVICE_UNAVAILABLE, "the daemon is closing\n".to_owned()),
            },
            "/metrics" => self.metrics(),
            "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => self.ready(),
            _ => text(StatusCode::NOT_FOUND, "no such resource\n".to_owned()),
        }
    }

    /// Lets a target leave on its own: PUT to drain it, DELETE to take it back.
    async fn drain_target(&self, index: u32, method: &Method) -> Reply {
        let draining = match *method {
            Method::PUT => true,
            Method::DELETE => false,
            _ => {
                let body = "only PUT and DELETE are allowed\n".to_owned();
                return text(StatusCode::METHOD_NOT_ALLOWED, body);
            }
        };
        let Some(draining) = self.proxy.drain_target(index, draining) else {
            return text(StatusCode::NOT_FOUND, "no such target\n".to_owned());
        };
        let event = LocalEvent::TargetDraining { index, draining };
        // The node is gone only when the daemon is being closed.
        let _ = self.node.send(NodeMessage::Input(Input::Local(event))).await;
        text(StatusCode::OK, format!("target {index}: draining {draining}\n"))
    }

    /// A version is validated before the node holds it and served in the same step, so that both
    /// marks are the same.
    fn version(&self) -> Reply {
        let mark = self.view.borrow().version.mark();
        reply(&json!({"held": mark, "served": mark}))
    }

    fn members(&self) -> Reply {
        let members = self.view.borrow().members.clone();
        let list: Vec<_> = members.iter().map(AsRef::as_ref).collect();
        reply(&json!({ "members": list }))
    }

    fn limits(&self) -> Reply {
        let target = |(service, load): (dw_tables::Name, dw_request::Load)| {
            json!({
                "service": service,
                "slots": load.slots,
                "in_flight": load.in_flight,
                "queued": load.queued,
                "shedding": load.shedding,
                "leaving": load.leaving,
                "limit": load.limit.map(dw_request::Rate::per_second),
            })
        };
        let targets: Vec<Value> = self.proxy.loads().into_iter().map(target).collect();
        let version = self.view.borrow().version.clone();
        let pool = |pool: &dw_tables::Pool| json!({"pool": pool.name, "limits": pool.limits});
        let pools: Vec<Value> = version.tables.pools.iter().map(pool).collect();
        reply(&json!({ "targets": targets, "pools": pools }))
    }

    fn reasons(&self) -> Reply {
        let row = |counts: [u64; 3]| {
            let [refused, retried, not_retried] = counts;
            json!({"refused": refused, "retried": retried, "not_retried": not_retried})
        };
        let reasons = self.counters.reasons();
        let all: serde_json::Map<_, _> =
            reasons.into_iter().map(|(reason, counts)| (reason.to_owned(), row(counts))).collect();
        reply(&all)
    }

    fn metrics(&self) -> Reply {
        self.counters.set_log_losses(self.log.losses());
        let mut reply = text(StatusCode::OK, self.counters.text());
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        reply
    }

    /// Ready as soon as a version is served, and until the daemon starts to leave.
    fn ready(&self) -> Reply {
        let unready = |why: &str| text(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n"));
        if self.proxy.is_draining() {
            return unready("the daemon is leaving");
        }
        if self.view.borrow().version.number == 0 {
            return unready("no version is served yet");
        }
        text(StatusCode::OK, "ready\n".to_owned())
    }
}

/// The index in `/targets/<index>/drain`.
fn drain_path(path: &str) -> Option<u32> {
    path.strip_prefix("/targets/")?.strip_suffix("/drain")?.parse().ok()
}

fn reply(value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut reply = Response::new(Full::from(body));
            let kind = HeaderValue::from_static("application/json");
            reply.headers_mut().insert(header::CONTENT_TYPE, kind);
            reply
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn text(status: StatusCode, body: String) -> Reply {
    let mut reply = Response::new(Full::from(body));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}
