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
    access::CallAccess,
    body::{BodyError, Payload, VerifiedBody, chain, empty, full},
    headers,
    hop_context::HopContext,
};
use crate::{Dialect, clock};

/// The authority used for a request without a host.
const DEFAULT_AUTHORITY: &str = "damaskwick";

/// A request on its way through one daemon.
pub(crate) struct Call {
    pub(super) head: Parts,
    host: String,
    body: CallBody,
    body_hash: Option<[u8; 32]>,
    /// The id of the request; `None` if callers are expected to send one and this one didn't.
    pub(crate) id: Option<HeaderValue>,
    /// Collects the events of the request for the log.
    pub(crate) trace: Trace,
    /// What the check of the request's key found.
    pub(super) access: CallAccess,
    /// After this moment the response counts as late.
    pub(crate) late_at: Option<Instant>,
    /// The route, once an attempt has been made.
    pub(crate) route: Option<Name>,
    /// The caller's idempotency key.
    pub(crate) key: Option<Name>,
    /// The home failure domain of the key, if the caller states it.
    pub(crate) home: Option<Name>,
    /// When the caller first sent it.
    pub(crate) first_sent: Option<Instant>,
    first_sent_ms: Option<u64>,
    /// When the caller stops waiting.
    pub(crate) deadline: Option<Instant>,
    /// The timeout that the caller stated.
    stated_timeout: Option<Duration>,
    depth: u8,
    retried: bool,
}

/// The body of a call.
enum CallBody {
    /// The whole body, which can be sent again.
    Buffered(Bytes),
    /// A body too large to be buffered; `None` once it has been taken.
    Stream(Option<Payload>),
}

impl Call {
    /// Parses the head of a request; [`Self::buffer_body`] buffers the body.
    pub(crate) fn new(request: Request<Incoming>, dialect: &Dialect, log: &Log) -> Self {
        let version = request.version();
        let (mut head, body) = request.into_parts();
        let host = host_of(&head).unwrap_or_else(|| DEFAULT_AUTHORITY.to_owned());
        let map = &mut head.headers;
        headers::strip_hop_by_hop(map);
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
        headers::mark_unindexed(map, dialect.id_header());
        let id = map.get(dialect.id_header()).cloned();
        if let Some((name, value)) = &dialect.origin {
            map.insert(name, value.clone());
        }
        let key = headers::read::<String>(map, &headers::KEY).map(Name::from);
        let home = headers::read::<String>(map, &headers::HOME).map(Name::from);
        let first_sent_ms = headers::read(map, &headers::FIRST_SENT);
        let depth = headers::read(map, &headers::DEPTH).unwrap_or(0);
        let retried = headers::read::<u8>(map, &headers::RETRIED) == Some(1);
        // Other headers with our prefix would be mistaken for those of a daemon.
        headers::strip_own(map);
        Self {
            trace: start_trace(log, id.as_ref()),
            id,
            access: CallAccess::new(dialect.workspace.clone()),
            late_at: None,
            route: None,
            key,
            home,
            first_sent_ms,
            first_sent: first_sent_ms.and_then(clock::from_unix_ms),
            deadline: timeout.map(|left| Instant::now() + left),
            stated_timeout: timeout,
            depth,
            retried,
            body_hash: None,
            body: CallBody::Stream(Some(VerifiedBody::new(body, version).boxed_unsync())),
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

    /// Whether a target makes this call while it serves another request.
    pub(crate) fn is_nested(headers: &HeaderMap) -> bool {
        headers::read::<u8>(headers, &headers::DEPTH).is_some_and(|depth| depth > 0)
    }

    /// Number of calls above this one in the call chain.
    pub(crate) const fn depth(&self) -> u8 {
        self.depth
    }

    /// The key under which the keeper stores the record. It includes the method and the path, so that
    /// two services that receive the same key don't share a record, and the workspace or else the
    /// credentials, so that no caller receives the response to another caller's request. A workspace
    /// keeps its records when its keys change.
    pub(crate) fn record_key(&self) -> Option<Name> {
        let key = self.key.as_ref()?;
        let short_hash = |data: &[u8]| {
            let digest: [u8; 32] = Sha256::digest(data).into();
            u64::from_be_bytes(digest[..8].try_into().unwrap_or_default())
        };
        let credentials = self.head.headers.get(header::AUTHORIZATION);
        let caller = match (self.access.workspace(), credentials) {
            // A header contains no NUL, so that no credentials have the hash of a workspace.
            (Some(workspace), _) => short_hash(format!("\0{}", workspace.name).as_bytes()),
            (None, Some(credentials)) => short_hash(credentials.as_bytes()),
            (None, None) => 0,
        };
        Some(Name::from(format!("{key} {caller:x} {} {}", self.method(), self.path())))
    }

    /// Buffers a body of at most `limit` bytes, so that it can be sent again and fingerprinted. A
    /// larger body is streamed.
    pub(crate) async fn buffer_body(&mut self, limit: usize) -> Result<(), BodyError> {
        let CallBody::Stream(Some(body)) = &mut self.body else { return Ok(()) };
        if body.size_hint().lower() > limit as u64 {
            return Ok(());
        }
        let mut buffered = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            buffered.extend_from_slice(&data);
            if buffered.len() > limit {
                self.body.prepend(buffered.freeze());
                return Ok(());
            }
        }
        let buffered = buffered.freeze();
        self.body_hash = Some(Sha256::digest(&buffered).into());
        self.body = CallBody::Buffered(buffered);
        Ok(())
    }

    /// The properties of the request that the dispatcher uses.
    pub(crate) fn info(&self) -> RequestInfo<'_> {
        RequestInfo {
            host: &self.host,
            path: self.path(),
            method: self.method(),
            key: self.key.as_ref(),
            first_sent: self.first_sent,
            body_hash: self.body_hash.as_ref(),
            depth: self.depth,
            timeout: self.deadline.map(|at| at.saturating_duration_since(Instant::now())),
            stated_timeout: self.stated_timeout,
            retried: self.retried,
            priority: self.access.workspace().and_then(|workspace| workspace.priority),
        }
    }

    /// The fingerprint, if the key or the whole body is known.
    pub(crate) fn fingerprint(&self) -> Option<Fingerprint> {
        self.info().fingerprint()
    }

    /// Whether the body is still available.
    pub(crate) const fn is_sendable(&self) -> bool {
        matches!(self.body, CallBody::Buffered(_) | CallBody::Stream(Some(_)))
    }

    /// The request to the daemon on the target's host for an attempt.
    pub(crate) fn target_request(
        &mut self,
        attempt: &Attempt,
        deadline: Instant,
    ) -> Request<Payload> {
        let fingerprint = self.fingerprint();
        let mut request = self.build_request();
        let map = request.headers_mut();
        headers::set(map, headers::SERVICE, &attempt.endpoint.service);
        // Not marked as unindexed: its values repeat, so that HPACK sends a short reference instead.
        if let Some((header, name)) = self.access.target_header() {
            headers::set(map, header, name);
        }
        headers::set_unindexed(
            map,
            headers::HOP_CONTEXT,
            HopContext::new(attempt, deadline, Instant::now()),
        );
        if let Some(fingerprint) = fingerprint {
            headers::set_unindexed(map, headers::FINGERPRINT, fingerprint);
        }
        request
    }

    /// The request to the keeper of its key.
    pub(crate) fn keeper_request(&mut self, deadline: Instant) -> Request<Payload> {
        let mut request = self.daemon_request("keeper", deadline);
        if let Some(workspace) = self.access.workspace() {
            headers::set(request.headers_mut(), headers::WORKSPACE, &workspace.name);
        }
        request
    }

    /// Moves the call out for a task that outlives the caller; `self` is left without a body.
    pub(crate) fn take(&mut self) -> Self {
        Self {
            head: self.head.clone(),
            host: self.host.clone(),
            body: std::mem::replace(&mut self.body, CallBody::Stream(None)),
            id: self.id.clone(),
            access: self.access.clone(),
            trace: self.trace.clone(),
            route: self.route.clone(),
            key: self.key.clone(),
            home: self.home.clone(),
            ..*self
        }
    }

    /// Restores the body from a request of which nothing was sent.
    pub(crate) fn restore(&mut self, request: Request<Payload>) {
        if let CallBody::Stream(body) = &mut self.body {
            *body = Some(request.into_body());
        }
    }

    /// The request as the caller sent it, without hop-by-hop and internal headers.
    fn build_request(&mut self) -> Request<Payload> {
        let mut request = Request::new(self.body.take());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.uri();
        *request.headers_mut() = self.head.headers.clone();
        request
    }

    fn daemon_request(&mut self, step: &str, deadline: Instant) -> Request<Payload> {
        let mut request = self.build_request();
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
            .unwrap_or_else(|_| Authority::from_static(DEFAULT_AUTHORITY));
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = Uri::builder().scheme("http").authority(authority).path_and_query(path);
        uri.build().unwrap_or_default()
    }
}

impl CallBody {
    fn take(&mut self) -> Payload {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => empty(),
            Self::Buffered(bytes) => full(bytes.clone()),
            Self::Stream(body) => body.take().unwrap_or_else(empty),
        }
    }

    /// Puts the bytes that were read back in front of the stream.
    fn prepend(&mut self, read: Bytes) {
        if let Self::Stream(body) = self {
            *body = body.take().map(|rest| chain(read, rest));
        }
    }
}

/// Starts the trace of the request with this id.
pub(crate) fn start_trace(log: &Log, id: Option<&HeaderValue>) -> Trace {
    id.and_then(|id| id.to_str().ok()).map(|id| log.trace(id)).unwrap_or_default()
}

fn host_of(head: &Parts) -> Option<String> {
    if let Some(authority) = head.uri.authority() {
        return Some(authority.as_str().to_owned());
    }
    let host = head.headers.get(header::HOST)?;
    str::from_utf8(host.as_bytes()).ok().map(str::to_owned)
}
