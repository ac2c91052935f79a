use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use dw_log::{Event, Field, Kind};
use dw_request::{
    CedeReply, Claim, HandOver, KEEPER_HOLD, KeyOutcome, MAX_STORED_ANSWER_BYTES, Outcome, Reason,
    Refusal,
};
use dw_tables::Name;
use dw_wire::MAX_FRAME_BYTES;
use futures_util::future::join_all;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    Proxy, answer,
    body::{Payload, empty, full},
    call::Call,
    error::SendError,
    headers, lock, records,
};
use crate::clock;

/// Maximum number of attempts to find the keeper of a key while membership differs between daemons.
const KEEPER_ATTEMPTS: u32 = 3;

/// Delay between two attempts to find the keeper of a key. Membership events reach a domain in well
/// under a second.
const KEEPER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of attempts to hand the records over before the daemon leaves without doing so.
const HAND_OVER_ATTEMPTS: u32 = 3;

/// Delay between two attempts to hand the records over, during which the members may change.
const HAND_OVER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout for a request to an earlier keeper or to a successor.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

impl Proxy {
    /// Sends a request that runs at most once to the keeper of its key.
    pub(super) async fn forward_to_keeper(
        self: &Arc<Self>,
        call: &mut Call,
        key: &Name,
        from: SocketAddr,
        deadline: Instant,
    ) -> Result<Response<Payload>, Refusal> {
        let mut last = Refusal::new(Reason::KeeperMoved);
        for attempt in 0..KEEPER_ATTEMPTS {
            if attempt > 0 {
                sleep(KEEPER_RETRY_DELAY).await;
            }
            let local = from.ip() == self.caller_addr.ip();
            let keeper = lock(&self.fleet).keeper(key, call.home.as_ref(), local);
            let Some(keeper) = keeper else {
                return Err(Refusal::new(Reason::KeeperUnreachable));
            };
            if keeper.host == self.host {
                match self.run_once(call, key).await {
                    Err(refusal) if refusal.reason == Reason::KeeperMoved => last = refusal,
                    result => return result,
                }
                continue;
            }
            call.trace.record(|| Event::new(Kind::KeeperAsked).with(Field::Target, &keeper.host));
            let request = call.keeper_request(deadline);
            match timeout_at(deadline, self.daemons.send(keeper.data, request, deadline)).await {
                Ok(Ok(response)) => {
                    let again = answer::outcome_of(&response) == Outcome::NotRun
                        && answer::reason_of(&response) == Reason::KeeperMoved;
                    if !again || !call.is_sendable() {
                        return Ok(response);
                    }
                    last = Refusal::new(Reason::KeeperMoved);
                }
                // The keeper may just have left. An earlier request with this key may have been
                // run, so the outcome is not `not-run`.
                Ok(Err(SendError::NotSent { request, .. })) => {
                    last = Refusal::new(Reason::KeeperUnreachable);
                    if let Some(request) = request {
                        call.restore(*request);
                    }
                    if !call.is_sendable() {
                        return Err(last);
                    }
                }
                Ok(Err(SendError::Unknown { .. })) => {
                    return Err(Refusal::new(Reason::ConnectionLost));
                }
                Err(_) => return Err(Refusal::new(Reason::TimedOut)),
            }
        }
        Err(last)
    }

    /// Runs a request as the keeper of its key, unless it has been run before.
    pub(super) async fn run_once(
        self: &Arc<Self>,
        call: &mut Call,
        key: &Name,
    ) -> Result<Response<Payload>, Refusal> {
        let claim = self.keeper().claim(key, call.first_sent, Instant::now());
        match claim {
            Claim::New | Claim::Ask(_) => {}
            claim => return response_to_claim(&claim),
        }
        // Runs in a task, so that the claim is settled even if the caller disconnects, and a repeat
        // gets the response.
        let (reply, answer) = oneshot::channel();
        let (proxy, mut call, key) = (self.clone(), call.take(), key.clone());
        self.tasks.spawn(async move {
            let _in_flight = proxy.in_flight.token();
            let _ = reply.send(proxy.run_claimed(&mut call, &key, claim).await);
        });
        answer.await.unwrap_or_else(|_| Err(Refusal::new(Reason::RecordUnknown)))
    }

    async fn run_claimed(
        self: &Arc<Self>,
        call: &mut Call,
        key: &Name,
        mut claim: Claim,
    ) -> Result<Response<Payload>, Refusal> {
        while let Claim::Ask(host) = &claim {
            let reply = self.ask_keeper(host, key, call.first_sent).await;
            claim = self.keeper().resume(key, reply, Instant::now());
        }
        if claim != Claim::New {
            return response_to_claim(&claim);
        }
        let claimed = ClaimGuard { proxy: self.clone(), key: key.clone(), open: true };
        let result = self.forward(call).await;
        let deadline = call.deadline.unwrap_or_else(|| Instant::now() + KEEPER_HOLD);
        claimed.finish(result, deadline).await
    }

    /// Asks an earlier keeper for its record.
    async fn ask_keeper(
        &self,
        host: &Name,
        key: &Name,
        first_sent: Option<Instant>,
    ) -> Option<CedeReply> {
        let addr = self.members().iter().find(|m| m.host == *host)?.data;
        let mut request = Request::new(full(key.to_string()));
        *request.uri_mut() = http::Uri::from_static("http://damaskwick/");
        let map = request.headers_mut();
        headers::set(map, headers::STEP, "cede");
        headers::set(map, headers::FROM, &self.host);
        headers::set(map, headers::FROM_AGE, self.started.elapsed().as_millis());
        for asked in self.keeper().asked(key) {
            if let Ok(value) = HeaderValue::try_from(asked.as_str()) {
                map.append(headers::ASKED, value);
            }
        }
        if let Some(first) = first_sent {
            let age = u64::try_from(first.elapsed().as_millis()).unwrap_or(u64::MAX);
            headers::set(map, headers::FIRST_SENT, clock::unix_ms().saturating_sub(age));
        }
        let body = self.exchange(addr, request).await?;
        records::decode_reply(&body)
    }

    /// Serves the request of a newer keeper for the record of a key.
    pub(super) async fn serve_record_request(
        &self,
        request: Request<Payload>,
    ) -> Response<Payload> {
        let (head, body) = request.into_parts();
        let from = headers::read::<String>(&head.headers, &headers::FROM).map(Name::from);
        let first_sent = headers::read(&head.headers, &headers::FIRST_SENT);
        let key = collect(body).await.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok());
        let (Some(from), Some(key)) = (from, key) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let first_sent = first_sent.and_then(clock::from_unix_ms);
        let age = headers::read(&head.headers, &headers::FROM_AGE).unwrap_or(0);
        let age = Duration::from_millis(age);
        let asked = head.headers.get_all(headers::ASKED).iter();
        let asked: Vec<Name> =
            asked.filter_map(|value| value.to_str().ok()).map(Name::from).collect();
        let now = Instant::now();
        let reply = self.keeper().cede(&Name::from(key), first_sent, &from, &asked, age, now);
        Response::new(full(records::encode_reply(&reply)))
    }

    /// Accepts the records of a leaving daemon.
    pub(super) async fn accept_records(&self, request: Request<Payload>) -> Response<Payload> {
        let (head, body) = request.into_parts();
        let from = headers::read::<String>(&head.headers, &headers::FROM).map(Name::from);
        let list = collect(body).await.and_then(|bytes| records::decode_list(&bytes));
        let digest = headers::read(&head.headers, &headers::SUCCESSORS);
        let (Some(from), Some(records), Some(digest)) = (from, list, digest) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let last = headers::read::<u8>(&head.headers, &headers::LAST) == Some(1);
        let part = HandOver { to: self.host.clone(), records, last, successor_digest: digest };
        if self.keeper().take_over(&from, part, Instant::now()) {
            return empty_response(StatusCode::NO_CONTENT);
        }
        empty_response(StatusCode::INSUFFICIENT_STORAGE)
    }

    /// Hands the records over to the successors of this daemon as keeper. If a part is not accepted,
    /// the records are divided again among the members at that time.
    pub(crate) async fn hand_over(&self) {
        for _ in 0..HAND_OVER_ATTEMPTS {
            let parts = self.keeper().hand_over(Instant::now());
            let count: usize = parts.iter().map(|part| part.records.len()).sum();
            match self.send_parts(parts).await {
                None => {
                    let moved = Event::new(Kind::RecordsMoved).with(Field::Count, count);
                    self.log.write(&moved);
                    return;
                }
                Some(host) => {
                    let refused = Event::new(Kind::RecordsRefused).with(Field::Target, host);
                    self.log.write(&refused);
                    sleep(HAND_OVER_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sends the parts with records one after the other, and then concurrently the empty ones that end
    /// the transfer. Returns the host that didn't accept a part with records, if any.
    async fn send_parts(&self, parts: Vec<HandOver>) -> Option<Name> {
        let (ends, full): (Vec<_>, Vec<_>) = parts.into_iter().partition(|p| p.records.is_empty());
        for part in full {
            let to = part.to.clone();
            if self.send_part(part).await.is_none() {
                return Some(to);
            }
        }
        join_all(ends.into_iter().map(|part| self.send_part(part))).await;
        None
    }

    async fn send_part(&self, part: HandOver) -> Option<Bytes> {
        let addr = self.members().iter().find(|m| m.host == part.to)?.data;
        let mut request = Request::new(full(records::encode_list(&part.records)));
        *request.uri_mut() = http::Uri::from_static("http://damaskwick/");
        let map = request.headers_mut();
        headers::set(map, headers::STEP, "hand-over");
        headers::set(map, headers::FROM, &self.host);
        headers::set(map, headers::LAST, u8::from(part.last));
        headers::set(map, headers::SUCCESSORS, part.successor_digest);
        self.exchange(addr, request).await
    }

    pub(super) async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Payload>,
    ) -> Option<Bytes> {
        let work = async {
            let response =
                self.daemons.send(addr, request, Instant::now() + RECORD_TIMEOUT).await.ok()?;
            let succeeded = response.status().is_success();
            collect(response.into_body()).await.filter(|_| succeeded)
        };
        timeout(RECORD_TIMEOUT, work).await.ok().flatten()
    }
}

/// A claim that must be settled. It is settled as unknown on drop, because a daemon that is aborted
/// can't know the outcome.
struct ClaimGuard {
    proxy: Arc<Proxy>,
    key: Name,
    open: bool,
}

impl ClaimGuard {
    fn settle(&mut self, outcome: KeyOutcome) {
        self.open = false;
        self.proxy.keeper().settle(&self.key, outcome, Instant::now());
    }

    fn unknown(&mut self, reason: Reason) -> Refusal {
        self.settle(KeyOutcome::Unknown);
        Refusal::new(reason)
    }

    /// Records the response and returns it. A body above the limit is streamed and not recorded.
    async fn finish(
        mut self,
        result: Result<Response<Payload>, Refusal>,
        deadline: Instant,
    ) -> Result<Response<Payload>, Refusal> {
        let response = match result {
            Ok(response) => response,
            Err(refusal) => {
                let not_run = refusal.outcome == Outcome::NotRun;
                self.settle(if not_run { KeyOutcome::NotRun } else { KeyOutcome::Unknown });
                return Err(refusal);
            }
        };
        let (mut head, mut body) = response.into_parts();
        head.headers.remove(headers::LOAD);
        let mut buffered = BytesMut::new();
        loop {
            // Without the deadline, a target that stalls in the middle of a body would keep the key
            // in progress for as long as its connection lasts.
            let frame = match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Ok(Some(Err(_))) => return Err(self.unknown(Reason::ResponseTruncated)),
                Err(_) => return Err(self.unknown(Reason::TimedOut)),
            };
            if let Ok(data) = frame.into_data() {
                buffered.extend_from_slice(&data);
            }
            if buffered.len() > MAX_STORED_ANSWER_BYTES {
                self.settle(KeyOutcome::NotKept);
                let body = super::body::chain(buffered.freeze(), body);
                return Ok(Response::from_parts(head, body));
            }
        }
        let buffered = buffered.freeze();
        let response = Response::from_parts(head, full(buffered.clone()));
        self.settle(KeyOutcome::Answered(answer::record(&response, buffered)));
        Ok(response)
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if self.open {
            self.settle(KeyOutcome::Unknown);
        }
    }
}

/// The response to a claim for which the request is not run.
fn response_to_claim(claim: &Claim) -> Result<Response<Payload>, Refusal> {
    match claim {
        Claim::Answered(stored) => Ok(answer::replay(stored)),
        claim => Err(claim.refusal().unwrap_or(Refusal::new(Reason::RecordUnknown))),
    }
}

/// Reads a message of another daemon; `None` if it is longer than any daemon sends, or does not end in time.
pub(super) async fn collect(body: Payload) -> Option<Bytes> {
    let collect = Limited::new(body, MAX_FRAME_BYTES).collect();
    let collected = timeout(RECORD_TIMEOUT, collect).await.ok()?;
    collected.ok().map(http_body_util::Collected::to_bytes)
}

pub(super) fn empty_response(status: StatusCode) -> Response<Payload> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
