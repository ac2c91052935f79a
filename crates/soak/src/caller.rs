use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::{sleep, timeout};

use crate::{
    Answer, Sent,
    net::{self, HostAddrs},
    recorder::Recorder,
    target::answer_body,
};

/// Time within which a caller asks for the complete answer to a request.
const ANSWER_DEADLINE: Duration = Duration::from_millis(1_500);

/// Time after which a caller gives up and closes the connection.
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest pause between two requests of one caller; the average is half of it.
const MAX_THINK_TIME: Duration = Duration::from_millis(160);

/// Sends requests to a host repeatedly, over a connection that it keeps until the daemon closes it
/// or ends.
#[derive(Debug)]
pub(crate) struct Caller {
    addrs: HostAddrs,
    recorder: Recorder,
    next_id: Arc<AtomicU64>,
    rng: SmallRng,
}

impl Caller {
    /// Creates a caller of a host. All callers share `next_id`, which numbers their requests.
    pub(crate) fn new(
        addrs: HostAddrs,
        recorder: Recorder,
        next_id: Arc<AtomicU64>,
        seed: u64,
    ) -> Self {
        Self { addrs, recorder, next_id, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Sends requests until the task is aborted.
    pub(crate) async fn run(mut self) {
        let mut conn: Option<SendRequest<Full<Bytes>>> = None;
        loop {
            sleep(MAX_THINK_TIME.mul_f64(self.rng.random())).await;
            let mut sender = match conn.take().filter(|sender| !sender.is_closed()) {
                Some(sender) => sender,
                None => match net::connect(self.addrs.caller_addr()).await {
                    Ok(sender) => sender,
                    // The daemon is down; the caller tries again later.
                    Err(_) => continue,
                },
            };
            if sender.ready().await.is_ok() && self.call(&mut sender).await {
                conn = Some(sender);
            }
        }
    }

    /// Sends one request, and returns whether the connection can be reused.
    async fn call(&mut self, sender: &mut SendRequest<Full<Bytes>>) -> bool {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (id, once) = (format!("{number:x}"), self.rng.random_bool(0.4));
        let (method, path) = match once {
            true => (Method::POST, "/ledger/post"),
            false => (Method::GET, "/board/list"),
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "soak.example")
            .header("x-damaskwick-request-id", &id)
            .header("x-damaskwick-deadline-ms", ANSWER_DEADLINE.as_millis().to_string())
            .body(Full::from("twelve copies"));
        let Ok(request) = request else { return false };
        let sent = Sent { at: self.recorder.now(), host: self.addrs.idx, once };
        self.recorder.history().sent.insert(number, sent);
        let answer = timeout(GIVE_UP_TIMEOUT, async {
            let response = sender.send_request(request).await.ok()?;
            self.read(response, &id).await
        });
        let Ok(Some((answer, kept))) = answer.await else { return false };
        self.recorder.history().answers.insert(number, answer);
        kept
    }

    async fn read(&self, response: Response<Incoming>, id: &str) -> Option<(Answer, bool)> {
        let (head, body) = response.into_parts();
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let body = body.collect().await.ok()?.to_bytes();
        let whole = body == answer_body(id).as_bytes()
            && text("x-damaskwick-request-id").as_deref() == Some(id);
        let answer = Answer {
            at: self.recorder.now(),
            status: head.status.as_u16(),
            target: text("x-damaskwick-response-stamp"),
            whole,
            leaving: text("server-leaving").is_some(),
        };
        Some((answer, text("connection").as_deref() != Some("close")))
    }
}
