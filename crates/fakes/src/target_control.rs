use std::{io, net::SocketAddr, sync::Arc};

use hyper::{Request, StatusCode, Uri, body::Incoming};

use crate::{
    Report,
    control::{CONTROL_LIMITS, Query, reply},
    server::{Answer, Server},
    target::Inner,
};

/// Serves the switches of a target over HTTP.
///
/// Paths: `/counts`, `/ledger` (one JSON object a line), `/crash`, `/restart`, `/pause`,
/// `/resume`, `/silence`, `/drain`, `/undrain`, `/health?says=` (`true`, `false`, honest without
/// it), `/load?says=` (a number, honest without it), `/limit?says=` (the requests a second that answers
/// name, none without it), `/leaving` (answers say that the target leaves).
pub(crate) fn start(addr: SocketAddr, inner: Inner) -> io::Result<Server> {
    let handler = Arc::new(move |request: Request<Incoming>, _| {
        Box::pin(handle(inner.clone(), request.into_parts().0.uri)) as _
    });
    Server::start(addr, CONTROL_LIMITS, handler)
}

async fn handle(inner: Inner, uri: Uri) -> Answer {
    let query = Query::of(&uri);
    match uri.path() {
        "/counts" => {
            let counts = inner.worker.lock().counts;
            return reply(StatusCode::OK, serde_json::to_string(&counts).unwrap_or_default());
        }
        "/ledger" => {
            let runs = inner.worker.ledger.runs();
            let lines = runs.iter().map(|run| format!("{}\n", run.to_json()));
            return reply(StatusCode::OK, lines.collect());
        }
        "/crash" => inner.crash().await,
        "/restart" => inner.restart().await,
        "/pause" => inner.server.pause(true),
        "/resume" => inner.server.pause(false),
        "/silence" => inner.server.silence(),
        "/drain" => inner.worker.lock().draining = true,
        "/undrain" => inner.worker.lock().draining = false,
        "/health" => inner.worker.lock().health = report(query.get("says")),
        "/load" => inner.worker.lock().load = report(query.get("says")),
        "/limit" => inner.worker.lock().limit = query.get("says"),
        "/leaving" => inner.worker.lock().leaving = true,
        other => return reply(StatusCode::NOT_FOUND, format!("unknown switch {other}\n")),
    }
    reply(StatusCode::OK, "ok\n".to_owned())
}

fn report<T>(says: Option<T>) -> Report<T> {
    says.map_or(Report::Actual, Report::Fixed)
}
