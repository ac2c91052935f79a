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

/// Delay after a failed accept, so that the task does not spin.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

type Reply = Response<Full<Bytes>>;

/// The admin API of one daemon.
#[derive(Clone)]
pub(crate) struct Admin {
    /// The version served and the members.
    pub(crate) view: watch::Receiver<View>,
    /// The node's task.
    pub(crate) node: mpsc::Sender<NodeMessage>,
    /// Reports the load of targets and drains them.
    pub(crate) proxy: Arc<Proxy>,
    /// Metrics.
    pub(crate) counters: Counters,
    /// Reports how many lines and requests it dropped.
    pub(crate) log: Log,
    /// Runs a task for each connection.
    pub(crate) tasks: Tasks,
}

impl Admin {
    /// Accepts connections until the daemon is closed.
    pub(crate) async fn run(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let admin = self.clone();
            self.tasks.spawn(async move {
                let service = service_fn(move |request| {
                    let admin = admin.clone();
                    async move { Ok::<_, Infallible>(admin.answer(&request).await) }
                });
                // An error on a connection affects only its client.
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
            return text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "only GET is allowed\n".to_owned(),
            );
        }
        match path {
            "/version" => self.version(),
            "/tables" => json_response(&self.view.borrow().version.tables),
            "/members" => self.members(),
            "/limits" => self.limits(),
            "/reasons" => self.reasons(),
            "/status" => match ask_status(&self.node).await {
                Some(status) => json_response(&status),
                None => text_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the daemon is closing\n".to_owned(),
                ),
            },
            "/metrics" => self.metrics(),
            "/healthz" => text_response(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => self.ready(),
            _ => text_response(StatusCode::NOT_FOUND, "no such resource\n".to_owned()),
        }
    }

    /// Drains a single target on PUT, and ends the drain on DELETE.
    async fn drain_target(&self, index: u32, method: &Method) -> Reply {
        let draining = match *method {
            Method::PUT => true,
            Method::DELETE => false,
            _ => {
                let body = "only PUT and DELETE are allowed\n".to_owned();
                return text_response(StatusCode::METHOD_NOT_ALLOWED, body);
            }
        };
        let Some(draining) = self.proxy.drain_target(index, draining) else {
            return text_response(StatusCode::NOT_FOUND, "no such target\n".to_owned());
        };
        let event = LocalEvent::TargetDraining { index, draining };
        // The node's task has ended only if the daemon is closing.
        let _ = self.node.send(NodeMessage::Input(Input::Local(event))).await;
        text_response(StatusCode::OK, format!("target {index}: draining {draining}\n"))
    }

    /// A version is validated before the node holds it and is served in the same step, so `held`
    /// and `served` are always the same.
    fn version(&self) -> Reply {
        let version_id = self.view.borrow().version.id();
        json_response(&json!({"held": version_id, "served": version_id}))
    }

    fn members(&self) -> Reply {
        let members = self.view.borrow().members.clone();
        let list: Vec<_> = members.iter().map(AsRef::as_ref).collect();
        json_response(&json!({ "members": list }))
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
        json_response(&json!({ "targets": targets, "pools": pools }))
    }

    fn reasons(&self) -> Reply {
        let row = |counts: [u64; 3]| {
            let [refused, retried, not_retried] = counts;
            json!({"refused": refused, "retried": retried, "not_retried": not_retried})
        };
        let reasons = self.counters.reasons();
        let all: serde_json::Map<_, _> =
            reasons.into_iter().map(|(reason, counts)| (reason.to_owned(), row(counts))).collect();
        json_response(&all)
    }

    fn metrics(&self) -> Reply {
        self.counters.set_log_losses(self.log.losses());
        let mut reply = text_response(StatusCode::OK, self.counters.text());
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        reply
    }

    /// Ready from the first version served until the daemon starts to drain.
    fn ready(&self) -> Reply {
        let not_ready =
            |reason: &str| text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"));
        if self.proxy.is_draining() {
            return not_ready("the daemon is leaving");
        }
        if self.view.borrow().version.number == 0 {
            return not_ready("no version is served yet");
        }
        text_response(StatusCode::OK, "ready\n".to_owned())
    }
}

/// The index in `/targets/<index>/drain`.
fn drain_path(path: &str) -> Option<u32> {
    path.strip_prefix("/targets/")?.strip_suffix("/drain")?.parse().ok()
}

fn json_response(value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut reply = Response::new(Full::from(body));
            let content_type = HeaderValue::from_static("application/json");
            reply.headers_mut().insert(header::CONTENT_TYPE, content_type);
            reply
        }
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn text_response(status: StatusCode, body: String) -> Reply {
    let mut reply = Response::new(Full::from(body));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    reply.headers_mut().insert(header::CONTENT_TYPE, content_type);
    reply
}
