use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Response, StatusCode, Uri};

use crate::{
    server::{Answer, Limits, Server, full_body},
    standin::Inner,
};

/// Connection limits of a control endpoint.
pub(crate) const CONTROL_LIMITS: Limits = Limits { connections: 64, delay: Duration::ZERO };

/// The parameters of a control request's query.
pub(crate) struct Query(HashMap<String, String>);

impl Query {
    pub(crate) fn of(uri: &Uri) -> Self {
        let pairs = uri.query().unwrap_or_default().split('&');
        let pairs = pairs.filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect())
    }

    /// The parameter's value, if it is present and can be parsed.
    pub(crate) fn get<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.0.get(name)?.parse().ok()
    }

    pub(crate) fn millis(&self, name: &str) -> Option<Duration> {
        self.get(name).map(Duration::from_millis)
    }
}

/// Builds the answer to a control request.
pub(crate) fn reply(status: StatusCode, text: String) -> Answer {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    Ok(response)
}

/// Serves the control endpoint of a platform's stand-in over HTTP.
///
/// Paths: `/counts`, `/down`, `/up`, `/reset`, `/slow?ms=`, `/pause`, `/resume`, `/silence`,
/// `/limit?reads=&writes=`, `/lose?answers=`, `/lapse?lease=` (all leases if omitted),
/// `/snapshot`, `/restore`, `/compact`.
pub(crate) fn start(addr: SocketAddr, inner: Inner) -> io::Result<Server> {
    let handler = Arc::new(move |request: hyper::Request<hyper::body::Incoming>, _| {
        Box::pin(handle(inner.clone(), request.into_parts().0.uri)) as _
    });
    Server::start(addr, CONTROL_LIMITS, handler)
}

async fn handle(inner: Inner, uri: Uri) -> Answer {
    let query = Query::of(&uri);
    let shared = &inner.shared;
    match uri.path() {
        "/counts" => {
            let counts = shared.lock().counts;
            let text = serde_json::to_string(&counts).unwrap_or_default();
            return reply(StatusCode::OK, text);
        }
        "/down" => inner.down().await,
        "/up" | "/reset" => inner.up().await,
        "/slow" => shared.lock().delay = query.millis("ms").unwrap_or_default(),
        "/pause" => inner.gateway.pause(true),
        "/resume" => inner.gateway.pause(false),
        "/silence" => inner.gateway.silence(),
        "/limit" => shared.lock().limit(query.get("reads"), query.get("writes")),
        "/lose" => shared.lock().losses_left = query.get("answers").unwrap_or(1),
        "/lapse" => lapse(&inner, query.get("lease")),
        "/snapshot" => shared.lock().save_snapshot(),
        "/restore" => {
            let Some(saved) = shared.lock().saved.clone() else {
                return reply(StatusCode::CONFLICT, "no snapshot was taken\n".to_owned());
            };
            inner.restore(saved).await;
        }
        "/compact" => shared.lock().store.compact(),
        other => return reply(StatusCode::NOT_FOUND, format!("unknown switch {other}\n")),
    }
    reply(StatusCode::OK, "ok\n".to_owned())
}

fn lapse(inner: &Inner, lease: Option<i64>) {
    let leases = lease.map_or_else(|| inner.shared.lock().store.leases(), |one| vec![one]);
    for lease in leases {
        inner.shared.expire_lease(lease);
    }
}
