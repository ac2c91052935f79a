use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use dw_log::{Event, Field, Kind};
use dw_request::{
    CedeReply, Claim, HandOver, KEEPER_HOLD, KeyOutcome, MAX_STORED_ANSWER_BYTES, Outcome, Reason,
    Refusal,
};
use dw_tables::Name;
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
    error::SendFault,
    headers, lock, records,
};
use crate::clock;

/// Times that a keeper is looked for while the views of the daemons differ.
const KEEPER_TRIES: u32 = 3;

/// The wait between two of them; membership events reach a domain in well under a second.
const KEEPER_PAUSE: Duration = Duration::from_millis(50);

/// Times that records are divided among the members before the daemon leaves without.
const HAND_OVER_TRIES: u32 = 3;

/// The wait between two of them, in which the members may change.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(200);

/// The longest wait for an earlier keeper or a successor.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body with records, in bytes.
const RECORDS_LIMIT: usize = 64 << 20;

impl Proxy {
    /// Sends a request that runs at most once through the keeper of its key.
    pub(super) async fn through_keeper(
        self: &Arc<Self>,
        call: &mut Call,
        key: &Name,
        from: SocketAddr,
        deadline: Instant,
    ) -> Result<Response<Payload>, Refusal> {
        let mut last = Refusal::new(Reason::KeeperMoved);
        for attempt in 0..KEEPER_TRIES {
            if attempt > 0 {
                sleep(KEEPER_PAUSE).await;
            }
            let local = from.ip() == self.callers.ip();
            let keeper = lock(&self.fleet).keeper(key, call.home.as_ref(), local);
            let Some(keeper) = keeper else {
                return Err(Refusal::new(Reason::KeeperUnreachable));
            };
            if keeper.host == self.host {
                match self.keep(call, key).await {
                    Err(refusal) if refusal.reason == Reason::KeeperMoved => last = refusal,
                    result => return result,
                }
                continue;
            }
            call.trace.record(|| Event::new(Kind::KeeperAsked).with(Field::Target, &keeper.host));
            let request = call.for_keeper(deadline);
            match timeout_at(deadline, self.hops.send(keeper.data, request, deadline)).await {
                Ok(Ok(response)) => {
                    let again = answer::outcome_of(&response) == Outcome::NotRun
                        && answer::reason_of(&response) == Reason::KeeperMoved;
                    if !again || !call.sendable() {
                        return Ok(response);
                    }
                    last = Refusal::new(Reason::KeeperMoved);
                }
                // The keeper may just have left. An earlier request with this key may have been
                // run, so this does not end as `not-run`.
                Ok(Err(SendFault::NotSent { request, .. })) => {
                    last = Refusal::new(Reason::KeeperUnreachable);
                    if let Some(request) = request {
                        call.restore(*request);
                    }
                    if !call.sendable() {
                        return Err(last);
                    }
                }
                Ok(Err(SendFault::Unknown { .. })) => {
                    return Err(Refusal::new(Reason::ConnectionLost));
                }
                Err(_) => return Err(Refusal::new(Reason::TimedOut)),
            }
        }
        Err(last)
    }

    /// Runs a request whose key this daemon keeps, unless it was run before.
    pub(super) async fn keep(
        self: &Arc<Self>,
        call: &mut Call,
        key: &Name,
    ) -> Result<Response<Payload>, Refusal> {
        let claim = self.keeper().claim(key, call.first_sent, Instant::now());
        match claim {
            Claim::New | Claim::Ask(_) => {}
            claim => return decided(&claim),
        }
        // The claim is settled even if the caller goes away, so that a repeat gets the response.
        let (reply, answer) = oneshot::channel();
        let (proxy, mut call, key) = (self.clone(), call.take(), key.clone());
        self.tasks.spawn(async move {
            let _flight = proxy.in_flight.token();
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
            let held = self.ask(host, key, call.first_sent).await;
            claim = self.keeper().resume(key, held, Instant::now());
        }
        if claim != Claim::New {
            return decided(&claim);
        }
        let claimed = Claimed { proxy: self.clone(), key: key.clone(), open: true };
        let result = self.forward(call).await;
        let deadline = call.deadline.unwrap_or_else(|| Instant::now() + KEEPER_HOLD);
        claimed.end(result, deadline).await
    }

    /// Asks an earlier keeper for its record.
    async fn ask(&self, host: &Name, key: &Name, first: Option<Instant>) -> Option<CedeReply> {
        let addr = self.members().iter().find(|m| m.host == *host)?.data;
        let mut request = Request::new(full(key.to_string()));
        *request.uri_mut() = http::Uri::from_static("http://damaskwick/");
        let map = request.headers_mut();
        headers::set(map, headers::STEP, "cede");
        headers::set(map, headers::FROM, &self.host);
        headers::set(map, headers::AGE, self.started.elapsed().as_millis());
        for asked in self.keeper().asked(key) {
            if let Ok(value) = HeaderValue::try_from(asked.as_str()) {
                map.append(headers::ASKED, value);
            }
        }
        if let Some(first) = first {
            let age = u64::try_from(first.elapsed().as_millis()).unwrap_or(u64::MAX);
            headers::set(map, headers::FIRST_SENT, clock::unix_ms().saturating_sub(age));
        }
        let body = self.exchange(addr, request).await?;
        records::decode_held(&body)
    }

    /// Answers a newer keeper.
    pub(super) async fn cede(&self, request: Request<Payload>) -> Response<Payload> {
        let (head, body) = request.into_parts();
        let from = headers::read::<String>(&head.headers, &headers::FROM).map(Name::from);
        let first = headers::read(&head.headers, &headers::FIRST_SENT);
        let key = collect(body).await.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok());
        let (Some(from), Some(key)) = (from, key) else { return status(StatusCode::BAD_REQUEST) };
        let first = first.and_then(clock::from_unix_ms);
        let age = headers::read(&head.headers, &headers::AGE).unwrap_or(0);
        let age = Duration::from_millis(age);
        let asked = head.headers.get_all(headers::ASKED).iter();
        let asked: Vec<Name> =
            asked.filter_map(|value| value.to_str().ok()).map(Name::from).collect();
        let now = Instant::now();
        let held = self.keeper().cede(&Name::from(key), first, &from, &asked, age, now);
        Response::new(full(records::encode_held(&held)))
    }

    /// Takes over the records of a daemon that leaves.
    pub(super) async fn accept(&self, request: Request<Payload>) -> Response<Payload> {
        let (head, body) = request.into_parts();
        let from = headers::read::<String>(&head.headers, &headers::FROM).map(Name::from);
        let list = collect(body).await.and_then(|bytes| records::decode_list(&bytes));
        let heirs = headers::read(&head.headers, &headers::HEIRS);
        let (Some(from), Some(records), Some(heirs)) = (from, list, heirs) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let last = headers::read::<u8>(&head.headers, &headers::LAST) == Some(1);
        let part = HandOver { to: self.host.clone(), records, last, successor_digest: heirs };
        if self.keeper().take_over(&from, part, Instant::now()) {
            return status(StatusCode::NO_CONTENT);
        }
        status(StatusCode::INSUFFICIENT_STORAGE)
    }

    /// Hands the records over to the daemons that keep the keys next. A part that is not taken
    /// starts the division again, among the members as they are then.
    pub(crate) async fn hand_over(&self) {
        for _ in 0..HAND_OVER_TRIES {
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
                    sleep(HAND_OVER_PAUSE).await;
                }
            }
        }
    }

    /// Sends the parts with records in order, and then, side by side, those that end the transfer; the host
    /// that did not take one with records, if any.
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
        headers::set(map, headers::HEIRS, part.successor_digest);
        self.exchange(addr, request).await
    }

    async fn exchange(&self, addr: SocketAddr, request: Request<Payload>) -> Option<Bytes> {
        let work = async {
            let response =
                self.hops.send(addr, request, Instant::now() + RECORD_TIMEOUT).await.ok()?;
            let good = response.status().is_success();
            collect(response.into_body()).await.filter(|_| good)
        };
        timeout(RECORD_TIMEOUT, work).await.ok().flatten()
    }
}

/// A claim that must be settled; a daemon that is aborted meanwhile cannot know the outcome.
struct Claimed {
    proxy: Arc<Proxy>,
    key: Name,
    open: bool,
}

impl Claimed {
    fn settle(&mut self, outcome: KeyOutcome) {
        self.open = false;
        self.proxy.keeper().settle(&self.key, outcome, Instant::now());
    }

    fn unknown(&mut self, reason: Reason) -> Refusal {
        self.settle(KeyOutcome::Unknown);
        Refusal::new(reason)
    }

    /// Records the response and returns it with a whole body, or a streamed one above the limit.
    async fn end(
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
        let mut kept = BytesMut::new();
        loop {
            // Without the deadline a target that stops in the middle would keep the key in progress
            // for as long as its connection lasts.
            let frame = match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Ok(Some(Err(_))) => return Err(self.unknown(Reason::ResponseTruncated)),
                Err(_) => return Err(self.unknown(Reason::TimedOut)),
            };
            if let Ok(data) = frame.into_data() {
                kept.extend_from_slice(&data);
            }
            if kept.len() > MAX_STORED_ANSWER_BYTES {
                self.settle(KeyOutcome::NotKept);
                let body = super::body::chain(kept.freeze(), body);
                return Ok(Response::from_parts(head, body));
            }
        }
        let kept = kept.freeze();
        let response = Response::from_parts(head, full(kept.clone()));
        self.settle(KeyOutcome::Answered(answer::record(&response, kept)));
        Ok(response)
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if self.open {
            self.settle(KeyOutcome::Unknown);
        }
    }
}

/// The response to a claim that needs no run.
fn decided(claim: &Claim) -> Result<Response<Payload>, Refusal> {
    match claim {
        Claim::Answered(stored) => Ok(answer::replay(stored)),
        claim => Err(claim.refusal().unwrap_or(Refusal::new(Reason::RecordUnknown))),
    }
}

async fn collect(body: Payload) -> Option<Bytes> {
    let collect = Limited::new(body, RECORDS_LIMIT).collect();
    let collected = timeout(RECORD_TIMEOUT, collect).await.ok()?;
    collected.ok().map(http_body_util::Collected::to_bytes)
}

fn status(status: StatusCode) -> Response<Payload> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
