use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dw_fakes::check_answer;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use super::Reply;

/// How long to wait for a response. It exceeds all deadlines of the example tables, so it expires
/// only if a daemon does not answer at all.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// The reason of an unknown outcome if the connection broke during the request.
const CONNECTION_BROKE: &str = "connection broke at the caller";

/// An HTTP client of a caller that keeps one connection to a daemon open.
#[derive(Default)]
pub(super) struct Client {
    open: Option<(SocketAddr, http1::SendRequest<Full<Bytes>>)>,
}

impl Client {
    /// Sends a request and reads the whole response. Returns `None` if nothing was sent, because no
    /// connection was established.
    pub(super) async fn send(
        &mut self,
        addr: SocketAddr,
        id: &str,
        request: Request<Full<Bytes>>,
    ) -> Option<Reply> {
        let mut request = request;
        loop {
            let (mut sender, fresh) = self.connect(addr).await?;
            let exchanging = timeout(RESPONSE_TIMEOUT, exchange(&mut sender, id, request));
            let Ok(answered) = exchanging.await else {
                return Some(Reply::unknown("no response to the caller"));
            };
            match answered {
                Ok((reply, reusable)) => {
                    self.open = reusable.then_some((addr, sender));
                    return Some(reply);
                }
                // The daemon closed the idle connection before the request was written.
                Err(unsent) if !fresh => request = unsent,
                Err(_) => return None,
            }
        }
    }

    /// Returns a connection to `addr` and whether it is new.
    async fn connect(
        &mut self,
        addr: SocketAddr,
    ) -> Option<(http1::SendRequest<Full<Bytes>>, bool)> {
        if let Some((to, sender)) = self.open.take()
            && to == addr
            && !sender.is_closed()
        {
            return Some((sender, false));
        }
        let stream = TcpStream::connect(addr).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // The task ends with the connection.
        tokio::spawn(connection);
        Some((sender, true))
    }
}

/// Returns the reply and whether the connection can be reused, or the request itself if it was not
/// written.
async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    id: &str,
    request: Request<Full<Bytes>>,
) -> Result<(Reply, bool), Request<Full<Bytes>>> {
    match sender.try_send_request(request).await {
        Ok(response) => {
            let close = header(response.headers(), "connection") == Some("close");
            Ok((read_reply(id, response).await, !close))
        }
        Err(mut error) => match error.take_message() {
            Some(request) => Err(request),
            None => Ok((Reply::unknown(CONNECTION_BROKE), false)),
        },
    }
}

async fn read_reply(id: &str, response: Response<Incoming>) -> Reply {
    let (head, body) = response.into_parts();
    let reason = header(&head.headers, "damaskwick-reason").unwrap_or("no reason").to_owned();
    let Ok(body) = body.collect().await else { return Reply::unknown("response was reset") };
    match header(&head.headers, "damaskwick-outcome") {
        Some("run") if head.status == StatusCode::OK => match check_answer(id, &body.to_bytes()) {
            Ok(()) => Reply::Answered,
            Err(fault) => Reply::Wrong { fault: fault.to_string() },
        },
        Some("run") => Reply::Failed { status: head.status.as_u16() },
        Some("not-run") => {
            let retry = header(&head.headers, "retry-after").and_then(|text| text.parse().ok());
            Reply::NotRun { reason, retry }
        }
        Some("unknown") => Reply::Unknown { reason },
        _ => Reply::unknown("no outcome in the response"),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
