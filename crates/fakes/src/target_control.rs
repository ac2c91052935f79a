use std::{io, net::SocketAddr, sync::Arc};

use hyper::{Request, StatusCode, Uri, body::Incoming};

use crate::{
    Report,
    control::{LIMITS, Query, reply},
    server::{Answer, Serve},
    target::Inner,
};

/// Serves the switches of a target over HTTP.
///
/// Paths: `/counts`, `/ledger` (one JSON object a line), `/crash`, `/restart`, `/pause`,
/// `/resume`, `/silence`, `/drain`, `/undrain`, `/health?says=` (`true`, `false`, honest without
/// it), `/load?says=` (a number, honest without it), `/limit?says=` (the requests a second that answers
/// name, none without it), `/leaving` (answers say that the target leaves).
pub(crate) fn start(addr: SocketAddr, inner: Inner) -> io::Result<Serve> {
    let handler = Arc::new(move |request: Request<Incoming>, _| {
        Box::pin(handle(inner.clone(), request.into_parts().0.uri)) as _
    });
    Serve::start(addr, LIMITS, handler)
}

async fn handle(inner: Inner, uri: Uri) -> Answer {
    let query = Query::of(&uri);
    match uri.path() {
        "/counts" => {
            let counts = inner.working.lock().counts;
            return reply(StatusCode::OK, serde_json::to_string(&counts).unwrap_or_default());
        }
        "/ledger" => {
            let runs = inner.working.ledger.runs();
            let lines = runs.iter().map(|run| format!("{}\n", run.json()));
            return reply(StatusCode::OK, lines.collect());
        }
        "/crash" => inner.crash().await,
        "/restart" => inner.restart().await,
        "/pause" => inner.serve.pause(true),
        "/resume" => inner.serve.pause(false),
        "/silence" => inner.serve.silence(),
        "/drain" => inner.working.lock().draining = true,
        "/undrain" => inner.working.lock().draining = false,
        "/health" => inner.working.lock().health = report(query.get("says")),
        "/load" => inner.working.lock().load = report(query.get("says")),
        "/limit" => inner.working.lock().limit = query.get("says"),
        "/leaving" => inner.working.lock().leaving = true,
        other => return reply(StatusCode::NOT_FOUND, format!("unknown switch {other}\n")),
    }
    reply(StatusCode::OK, "ok\n".to_owned())
}

fn report<T>(says: Option<T>) -> Report<T> {
    says.map_or(Report::Actual, Report::Fixed)
}
