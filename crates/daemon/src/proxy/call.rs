use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dw_log::{Log, Trace};
use dw_request::{Attempt, Fingerprint, RequestInfo};
use dw_tables::Name;
use http::{HeaderMap, HeaderValue, Request, Uri, header, request::Parts, uri::Authority};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use super::{
    body::{BodyFault, Checked, Payload, chain, empty, full},
    headers,
    hop_context::Leg,
};
use crate::{Dialect, clock};

/// The authority of a request that names no host.
const NO_HOST: &str = "damaskwick";

/// A request on its way through one daemon.
pub(crate) struct Call {
    head: Parts,
    host: String,
    body: CallBody,
    digest: Option<[u8; 32]>,
    /// The name of the request; `None` if callers give one and this one did not.
    pub(crate) id: Option<HeaderValue>,
    /// What happens to the request, for the log.
    pub(crate) trace: Trace,
    /// After this moment its answer is worth less.
    pub(crate) late_at: Option<Instant>,
    /// The route it takes, once an attempt was made.
    pub(crate) route: Option<Name>,
    /// The caller's key.
    pub(crate) key: Option<Name>,
    /// The home failure domain, if the caller states it.
    pub(crate) home: Option<Name>,
    /// When the caller first sent it.
    pub(crate) first_sent: Option<Instant>,
    first_sent_ms: Option<u64>,
    /// When the caller stops waiting.
    pub(crate) deadline: Option<Instant>,
    /// Time that the caller stated.
    stated: Option<Duration>,
    depth: u8,
    retried: bool,
}

/// The body of a call.
enum CallBody {
    /// All of it; it can be sent again.
    Kept(Bytes),
    /// It was too large to be kept; `None` once it was handed over.
    Stream(Option<Payload>),
}

impl Call {
    /// Takes the head of a request; `read` takes the body.
    pub(crate) fn new(request: Request<Incoming>, dialect: &Dialect, log: &Log) -> Self {
        let version = request.version();
        let (mut head, body) = request.into_parts();
        let host = host_of(&head).unwrap_or_else(|| NO_HOST.to_owned());
        let map = &mut head.headers;
        headers::strip_hop(map);
        map.remove(header::HOST);
        let timeout = headers::read(map, &dialect.timeout).map(Duration::from_millis);
        map.remove(&dialect.timeout);
        if dialect.request_id.is_none() && !map.contains_key(dialect.id_header()) {
            headers::set(
                map,
                dialect.id_header().clone(),
                format!("{:016x}", rand::random::<u64>()),
            );
        }
        headers::mark_unique(map, dialect.id_header());
        let id = map.get(dialect.id_header()).cloned();
        if let Some((name, value)) = &dialect.origin {
            map.insert(name, value.clone());
        }
        let key = headers::read::<String>(map, &headers::KEY).map(Name::from);
        let home = headers::read::<String>(map, &headers::HOME).map(Name::from);
        let first_sent_ms = headers::read(map, &headers::FIRST_SENT);
        let depth = headers::read(map, &headers::DEPTH).unwrap_or(0);
        let retried = headers::read::<u8>(map, &headers::RETRIED) == Some(1);
        // What else a caller sends under these names would be taken for a daemon's own.
        headers::strip_own(map);
        Self {
            trace: trace_of(log, id.as_ref()),
            id,
            late_at: None,
            route: None,
            key,
            home,
            first_sent_ms,
            first_sent: first_sent_ms.and_then(clock::from_unix_ms),
            deadline: timeout.map(|left| Instant::now() + left),
            stated: timeout,
            depth,
            retried,
            digest: None,
            body: CallBody::Stream(Some(Checked::new(body, version).boxed_unsync())),
            head,
            host,
        }
    }

    /// The host that the request names.
    pub(crate) fn host(&self) -> &str {
        &self.host
    }

    /// The path.
    pub(crate) fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// The method.
    pub(crate) fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Whether a target makes the call for a request of its own.
    pub(crate) fn is_nested(headers: &HeaderMap) -> bool {
        headers::read::<u8>(headers, &headers::DEPTH).is_some_and(|depth| depth > 0)
    }

    /// Calls above this one in the chain.
    pub(crate) const fn depth(&self) -> u8 {
        self.depth
    }

    /// The name under which the keeper records the key. Method and path are part of it, so that two
    /// services that get the same key do not share a record, and so are the credentials, so that
    /// no caller gets the response to another's request.
    pub(crate) fn record_key(&self) -> Option<Name> {
        let key = self.key.as_ref()?;
        let caller = self.head.headers.get(header::AUTHORIZATION).map(|credentials| {
            let digest: [u8; 32] = Sha256::digest(credentials).into();
            u64::from_be_bytes(digest[..8].try_into().unwrap_or_default())
        });
        let caller = caller.unwrap_or_default();
        Some(Name::from(format!("{key} {caller:x} {} {}", self.method(), self.path())))
    }

    /// Reads a body of at most `limit` bytes whole, so that it can be sent again and identified. A
    /// larger one is streamed.
    pub(crate) async fn read(&mut self, limit: usize) -> Result<(), BodyFault> {
        let CallBody::Stream(Some(body)) = &mut self.body else { return Ok(()) };
        if body.size_hint().lower() > limit as u64 {
            return Ok(());
        }
        let mut kept = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            kept.extend_from_slice(&data);
            if kept.len() > limit {
                self.body.prepend(kept.freeze());
                return Ok(());
            }
        }
        let kept = kept.freeze();
        self.digest = Some(Sha256::digest(&kept).into());
        self.body = CallBody::Kept(kept);
        Ok(())
    }

    /// What the dispatcher needs to know.
    pub(crate) fn info(&self) -> RequestInfo<'_> {
        RequestInfo {
            host: &self.host,
            path: self.path(),
            method: self.method(),
            key: self.key.as_ref(),
            first_sent: self.first_sent,
            body_hash: self.digest.as_ref(),
            depth: self.depth,
            timeout: self.deadline.map(|at| at.saturating_duration_since(Instant::now())),
            stated_timeout: self.stated,
            retried: self.retried,
        }
    }

    /// The fingerprint, if the key or the whole body is known.
    pub(crate) fn print(&self) -> Option<Fingerprint> {
        self.info().fingerprint()
    }

    /// Whether the body is still at hand.
    pub(crate) const fn sendable(&self) -> bool {
        matches!(self.body, CallBody::Kept(_) | CallBody::Stream(Some(_)))
    }

    /// The request for the daemon beside the target of an attempt.
    pub(crate) fn for_target(&mut self, attempt: &Attempt, deadline: Instant) -> Request<Payload> {
        let print = self.print();
        let mut request = self.copy();
        let map = request.headers_mut();
        headers::set(map, headers::SERVICE, &attempt.endpoint.service);
        headers::set_unique(map, headers::LEG, Leg::new(attempt, deadline, Instant::now()));
        if let Some(print) = print {
            headers::set_unique(map, headers::PRINT, print);
        }
        request
    }

    /// The request for the keeper of its key.
    pub(crate) fn for_keeper(&mut self, deadline: Instant) -> Request<Payload> {
        self.forward("keeper", deadline)
    }

    /// The call itself, for a task that outlives the caller; what stays has no body.
    pub(crate) fn take(&mut self) -> Self {
        Self {
            head: self.head.clone(),
            host: self.host.clone(),
            body: std::mem::replace(&mut self.body, CallBody::Stream(None)),
            id: self.id.clone(),
            trace: self.trace.clone(),
            route: self.route.clone(),
            key: self.key.clone(),
            home: self.home.clone(),
            ..*self
        }
    }

    /// Takes back the body of a request of which nothing was sent.
    pub(crate) fn restore(&mut self, request: Request<Payload>) {
        if let CallBody::Stream(body) = &mut self.body {
            *body = Some(request.into_body());
        }
    }

    /// The request as the caller sent it.
    fn copy(&mut self) -> Request<Payload> {
        let mut request = Request::new(self.body.take());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.uri();
        *request.headers_mut() = self.head.headers.clone();
        request
    }

    fn forward(&mut self, step: &str, deadline: Instant) -> Request<Payload> {
        let mut request = self.copy();
        let map = request.headers_mut();
        headers::set(map, headers::STEP, step);
        headers::set(map, headers::TIMEOUT, headers::ms_left(deadline));
        headers::set(map, headers::DEPTH, self.depth);
        headers::set(map, headers::RETRIED, u8::from(self.retried));
        if let Some(ms) = self.first_sent_ms {
            headers::set(map, headers::FIRST_SENT, ms);
        }
        request
    }

    fn uri(&self) -> Uri {
        let authority = Authority::try_from(self.host.as_str())
            .unwrap_or_else(|_| Authority::from_static(NO_HOST));
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = Uri::builder().scheme("http").authority(authority).path_and_query(path);
        uri.build().unwrap_or_default()
    }
}

impl CallBody {
    fn take(&mut self) -> Payload {
        match self {
            Self::Kept(bytes) if bytes.is_empty() => empty(),
            Self::Kept(bytes) => full(bytes.clone()),
            Self::Stream(body) => body.take().unwrap_or_else(empty),
        }
    }

    /// Puts back what was read from the stream.
    fn prepend(&mut self, read: Bytes) {
        if let Self::Stream(body) = self {
            *body = body.take().map(|rest| chain(read, rest));
        }
    }
}

/// Begins to collect what happens to the request of this name.
pub(crate) fn trace_of(log: &Log, id: Option<&HeaderValue>) -> Trace {
    id.and_then(|id| id.to_str().ok()).map(|id| log.trace(id)).unwrap_or_default()
}

fn host_of(head: &Parts) -> Option<String> {
    if let Some(authority) = head.uri.authority() {
        return Some(authority.as_str().to_owned());
    }
    head.headers.get(header::HOST)?.to_str().ok().map(str::to_owned)
}
