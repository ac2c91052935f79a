use std::{
    net::SocketAddr,
    sync::{
        Arc, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dw_fakes::answer_body;
use dw_tables::{Tables, parse_pools, parse_routes};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::{net::TcpListener, task::JoinSet, time::sleep};

use super::{
    account::Account,
    caller::{Caller, Shape},
    client::{HttpClient, Reply},
    forwarder::Forwarder,
    load::open_loop,
    testbed::{Entries, HOSTS, Side, Testbed},
};
use crate::fleet::BoxError;

/// Calls that one request causes, each made by the target of the previous one.
const CHAIN_DEPTH: usize = 8;
/// Share of calls that fail at their target.
const FAILURE_SHARE: f64 = 0.01;
/// Service time of each call.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Request rate of the callers.
const REQUESTS_PER_SECOND: f64 = 150.0;
/// Headers that a service copies to the calls it makes.
const FORWARDED_HEADERS: [&str; 5] = [
    "x-request-id",
    "damaskwick-depth",
    "damaskwick-timeout-ms",
    "damaskwick-retried",
    "damaskwick-home",
];

const ROUTES: &str = r#"{"routes": [
  {"name": "chain", "match": {"path": "/chain"}, "pool": "chain", "repeat": "idempotent",
   "deadline": "1s", "retries": 2}
]}"#;

const POOLS: &str = r#"{"pools": [{"name": "chain", "service": "chain"}]}"#;

/// Targets that call the next level of the chain through the proxy on their host.
struct ChainTargets {
    calls: AtomicUsize,
    failed: AtomicUsize,
    entries: RwLock<Entries>,
    client: HttpClient,
}

/// Runs call chains of depth 8 in which 1% of the calls at each level fail.
pub(crate) async fn run(side: Side, time: Duration) -> Result<Account, BoxError> {
    let chain = Arc::new(ChainTargets {
        calls: AtomicUsize::new(0),
        failed: AtomicUsize::new(0),
        entries: RwLock::default(),
        client: HttpClient::default(),
    });
    let mut tasks = JoinSet::new();
    let mut addrs = Vec::new();
    for index in 0..HOSTS {
        addrs.push(start_target(&chain, index, &mut tasks).await?);
    }
    let (testbed, forwarder, entries) = match side {
        Side::Damaskwick => {
            let tables = Tables {
                routes: parse_routes("routes", ROUTES)?,
                pools: parse_pools("pools", POOLS)?,
                ..Tables::default()
            };
            let testbed = Testbed::with_targets(tables, "chain", &addrs).await?;
            let entries = testbed.entries.clone();
            (Some(testbed), None, entries)
        }
        Side::Forwarder | Side::Direct => {
            let forwarder = Forwarder::start(addrs).await?;
            let entries = Entries::new(vec![forwarder.addr()]);
            (None, Some(forwarder), entries)
        }
    };
    *chain.entries.write().map_err(|_| "a task of the benchmark panicked")? = entries.clone();
    let shape = Shape { path: Some("/chain/8"), ..Shape::default() };
    let result = open_loop(&Caller::new(entries, shape), REQUESTS_PER_SECOND, time).await?;
    let mut account = Account::new("call-chain", side, &result, &dw_fakes::Ledger::default());
    account.runs = chain.calls.load(Ordering::Relaxed);
    let wanted = result.records.len() * CHAIN_DEPTH;
    account.note = format!(
        "calls {} for {wanted} wanted, amplification {:.3}, failed {}",
        account.runs,
        account.runs as f64 / wanted.max(1) as f64,
        chain.failed.load(Ordering::Relaxed),
    );
    if let Some(testbed) = testbed {
        testbed.close().await;
    }
    if let Some(forwarder) = forwarder {
        forwarder.close().await;
    }
    tasks.shutdown().await;
    Ok(account)
}

async fn start_target(
    chain: &Arc<ChainTargets>,
    index: usize,
    tasks: &mut JoinSet<()>,
) -> Result<SocketAddr, BoxError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let chain = chain.clone();
    tasks.spawn(async move {
        let mut conns = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            // Without TCP_NODELAY, small responses wait for the acknowledgement of earlier ones.
            let _ = stream.set_nodelay(true);
            let chain = chain.clone();
            let service = service_fn(move |request| {
                let chain = chain.clone();
                async move { Ok::<_, std::convert::Infallible>(chain.answer(index, request).await) }
            });
            conns.spawn(async move {
                // The client sees connection errors too.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(addr)
}

impl ChainTargets {
    async fn answer(&self, index: usize, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(SERVICE_TIME).await;
        if rand::rng().random_bool(FAILURE_SHARE) {
            self.failed.fetch_add(1, Ordering::Relaxed);
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let level = request.uri().path().rsplit('/').next().and_then(|text| text.parse().ok());
        if let Some(level @ 2..) = level
            && let Err(code) = self.call_next(index, level - 1, request.headers()).await
        {
            return empty_response(code);
        }
        let id = request.headers().get("x-request-id").and_then(|value| value.to_str().ok());
        Response::new(Full::new(answer_body(id.unwrap_or_default(), 256)))
    }

    /// Calls the next level.
    ///
    /// # Errors
    /// The call failed; the error is the status to respond with.
    async fn call_next(
        &self,
        index: usize,
        level: usize,
        headers: &HeaderMap,
    ) -> Result<(), StatusCode> {
        let entry = self.entries.read().ok().and_then(|entries| entries.at(index));
        let mut builder = Request::get(format!("/chain/{level}")).header("host", "kiosk.test");
        for name in FORWARDED_HEADERS {
            if let Some(value) = headers.get(name) {
                builder = builder.header(name, value);
            }
        }
        let request = builder.body(Full::default()).map_err(|_| StatusCode::BAD_REQUEST)?;
        let entry = entry.ok_or(StatusCode::BAD_GATEWAY)?;
        match self.client.send(entry, request).await {
            Reply::Complete(response) if response.status().is_success() => Ok(()),
            Reply::Complete(response) => Err(response.status()),
            Reply::NotSent | Reply::Lost => Err(StatusCode::BAD_GATEWAY),
        }
    }
}

fn empty_response(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
