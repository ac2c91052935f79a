use std::{io, net::SocketAddr, sync::Arc};

use hyper::{Request, StatusCode, Uri, body::Incoming};

use crate::{
    Report,
    control::{CONTROL_LIMITS, Query, reply},
    server::{Answer, Server},
    target::Inner,
};

/// Serves the control endpoint of a target over HTTP.
///
/// Paths: `/counts`, `/ledger` (one JSON object per line), `/crash`, `/restart`, `/pause`,
/// `/resume`, `/silence`, `/drain`, `/undrain`, `/health?says=` (`true` or `false`; the actual
/// state if omitted), `/load?says=` (a number; the actual load if omitted), `/limit?says=` (the
/// limit in requests per second that answers announce; none if omitted), `/leaving` (answers
/// announce that the target is leaving).
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
