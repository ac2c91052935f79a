use std::sync::Arc;

use dw_log::{Event, Field, Kind, Trace};
use dw_request::{Arrival, Death, Fingerprint, MAX_POISON_SUSPECTS, Reason, Refusal};
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use super::{
    Proxy, answer,
    body::{BodyEnd, Payload, TrackedBody, discard},
    call::start_trace,
    error::SendError,
    events::{self, NoticeChange},
    headers,
    hop_context::HopContext,
    local_target::{LocalTarget, Slot},
    target_notice::TargetNotice,
};
use crate::{clock, counters::Step};

impl Proxy {
    /// Runs a request at a target on this host.
    pub(super) async fn run_local(&self, mut request: Request<Payload>) -> Response<Payload> {
        let map = request.headers();
        let Some(context) = headers::read::<HopContext>(map, &headers::HOP_CONTEXT) else {
            return answer::refuse(&Refusal::new(Reason::ProtocolError));
        };
        let fingerprint =
            headers::read::<String>(map, &headers::FINGERPRINT).and_then(|t| parse_fingerprint(&t));
        let arrival = Arrival { fingerprint, ..context.arrival(Instant::now()) };
        let deadline = arrival.deadline;
        let service = map.get(headers::SERVICE).map(HeaderValue::as_bytes);
        let runs_service = |target: &Arc<LocalTarget>| {
            service.is_none_or(|service| service == target.service.as_bytes())
        };
        let Some(target) = self.target(context.target).filter(runs_service) else {
            return answer::refuse(&Refusal::new(Reason::UnknownTarget));
        };
        let target = &target;
        let trace = start_trace(&self.log, map.get(self.dialect.id_header()));
        let queued_at = Instant::now();
        let admitted = match self.stop_limit().outlasts(deadline) {
            true => target.admit(arrival).await,
            // The peer sends the request to another target.
            false => Err(Refusal::new(Reason::Draining)),
        };
        let slot = match admitted {
            Ok(slot) => slot,
            Err(refusal) => {
                let load = target.load_for(&arrival);
                trace.end(|| {
                    let expected = target.expected(&arrival);
                    events::turned_away(&target.label(), refusal.reason, load, expected)
                });
                return answer::with_load(answer::refuse(&refusal), load);
            }
        };
        self.counters.observe_step(Step::Queue, queued_at.elapsed());
        trace.record(|| events::admitted(&target.label(), queued_at.elapsed(), target.load()));
        let request_id = self.prepare_for_target(&mut request, &context, deadline, target);
        let sent_at = Instant::now();
        let not_run = |reason: Reason, detail: Option<String>| {
            trace.end(|| events::not_run(&target.label(), reason, sent_at, detail));
            answer::refuse(&Refusal::new(reason))
        };
        self.counters.sent_to_target(target.index);
        let sent =
            timeout_at(deadline, target.pool.send(request, request_id.as_ref(), deadline)).await;
        if let Ok(Ok(response)) = &sent {
            self.apply_notice(target, response, sent_at);
        }
        let response = match sent {
            // Its status, and even a statement that the request was not run, belong to another request.
            Ok(Ok(response)) if self.has_other_request_id(&response, request_id.as_ref()) => {
                not_run(
                    Reason::ProtocolError,
                    Some("the response is for another request".to_owned()),
                )
            }
            Ok(Ok(response)) if !answer::is_final(response.status()) => {
                let status = response.status().as_u16();
                not_run(Reason::ProtocolError, Some(format!("{status} is not a final status")))
            }
            Ok(Ok(response)) if self.is_refusal(&response) => {
                slot.refused();
                let reason = match response.status() {
                    StatusCode::MISDIRECTED_REQUEST => Reason::UnknownTarget,
                    _ => Reason::TargetRefused,
                };
                // Lets the connection be reused without making the caller wait for the rest of the refusal.
                self.tasks.spawn(discard(response.into_body()));
                not_run(reason, None)
            }
            Ok(Ok(response)) if !self.has_request_id(&response, request_id.as_ref()) => {
                not_run(Reason::ProtocolError, Some("the response has no request id".to_owned()))
            }
            Ok(Ok(response)) if !self.dialect.close_delimited && !has_delimited_body(&response) => {
                not_run(Reason::ProtocolError, Some("the response body has no length".to_owned()))
            }
            Ok(Ok(response)) => self.relay_response(response, target, slot, trace, sent_at),
            Ok(Err(error @ SendError::NotSent { .. })) => {
                slot.not_started();
                not_run(Reason::ConnectFailed, Some(error.to_string()))
            }
            Ok(Err(error)) => {
                let response = self.connection_failed(target, slot, arrival.fingerprint).await;
                let reason = answer::reason_of(&response);
                let detail = Some(error.to_string());
                trace.end(|| events::not_run(&target.label(), reason, sent_at, detail));
                response
            }
            Err(_) => not_run(Reason::TimedOut, None),
        };
        answer::with_load(response, target.load_for(&arrival))
    }

    /// Builds the response after a connection failed during a request, and checks whether the target
    /// died.
    async fn connection_failed(
        &self,
        target: &Arc<LocalTarget>,
        slot: Slot,
        fingerprint: Option<Fingerprint>,
    ) -> Response<Payload> {
        let Some((start, mut fingerprints)) = target.detect_death().await else {
            return answer::refuse(&Refusal::new(Reason::ConnectionLost));
        };
        drop(slot);
        fingerprints.extend(fingerprint);
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let mut response = answer::refuse(&Refusal::new(Reason::TargetDied));
        // With more suspects, the death is no evidence against any one of them.
        if fingerprints.len() <= MAX_POISON_SUSPECTS {
            headers::set(response.headers_mut(), headers::DEATH, start);
        }
        let died = Event::new(Kind::TargetDied)
            .with(Field::Service, &target.service)
            .with(Field::Index, target.index)
            .with(Field::Count, fingerprints.len());
        self.log.write(&died);
        response
    }

    /// Records the death of a target that its daemon reported in response to a request.
    pub(super) fn record_death(&self, death: Death, fingerprint: Fingerprint) {
        let now = Instant::now();
        let mut dispatcher = self.dispatcher();
        let mut fingerprints = dispatcher.target_died(&death.host, death.target, now);
        fingerprints.push(fingerprint);
        let poison = dispatcher.poison_mut();
        poison.report(death, fingerprints, now);
        if poison.refuses(fingerprint, now) {
            drop(dispatcher);
            self.broadcast_poison(fingerprint);
        }
    }
}

impl Proxy {
    /// Converts a request between daemons into one for the target; returns the id of the request.
    fn prepare_for_target(
        &self,
        request: &mut Request<Payload>,
        context: &HopContext,
        deadline: Instant,
        target: &LocalTarget,
    ) -> Option<HeaderValue> {
        let host = request.uri().authority().map(ToString::to_string);
        let path = request.uri().path_and_query().cloned();
        *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
        *request.version_mut() = http::Version::HTTP_11;
        let left = headers::ms_left(deadline);
        let map = request.headers_mut();
        if let Some(host) = host {
            headers::set(map, header::HOST, host);
        }
        if self.dialect.timeout == headers::TIMEOUT {
            for name in [headers::SERVICE, headers::HOP_CONTEXT, headers::FINGERPRINT] {
                map.remove(name);
            }
            headers::set(map, headers::DEPTH, context.depth);
            headers::set(map, headers::RETRIED, u8::from(context.retried));
            headers::set(map, headers::DEADLINE, u128::from(clock::unix_ms()) + left);
        } else {
            // Targets of another dialect don't know our own headers.
            headers::strip_own(map);
        }
        headers::set(map, self.dialect.timeout.clone(), left);
        if let Some(header) = &self.dialect.target_instance {
            headers::set(map, header.clone(), &target.instance);
        }
        self.dialect.request_id.as_ref().and_then(|header| map.get(header).cloned())
    }

    /// Relays the response of a target.
    fn relay_response(
        &self,
        response: Response<Payload>,
        target: &Arc<LocalTarget>,
        slot: Slot,
        trace: Trace,
        sent_at: Instant,
    ) -> Response<Payload> {
        target.responded();
        let (status, target) = (answer::status_of(&response), target.clone());
        let counters = self.counters.clone();
        let mut response = response.map(|body| {
            let tracked = TrackedBody::new(body, move |ended| {
                if status >= 500 {
                    trace.mark_failed();
                }
                counters.observe_step(Step::Target, sent_at.elapsed());
                trace.end(|| events::ran(&target.label(), status, sent_at, ended));
                match ended {
                    BodyEnd::Complete => slot.answered(status),
                    BodyEnd::Failed | BodyEnd::Dropped => drop(slot),
                }
            });
            tracked.boxed_unsync()
        });
        let map = response.headers_mut();
        headers::strip_hop_by_hop(map);
        headers::strip_own(map);
        map.remove(header::DATE);
        answer::mark_run(&mut response);
        response
    }

    /// Applies what a response says about its target.
    fn apply_notice(&self, target: &LocalTarget, response: &Response<Payload>, sent_at: Instant) {
        let notice = TargetNotice::read(response.headers(), &self.dialect);
        if notice.unreadable {
            self.counters.unreadable_limit();
        }
        for change in target.apply_notice(notice, sent_at) {
            match change {
                NoticeChange::Limited(rate) => {
                    self.counters.set_target_limit(target.index, Some(rate));
                }
                NoticeChange::Unlimited => self.counters.set_target_limit(target.index, None),
                NoticeChange::Leaving => self.announce_leaving(target.index),
                NoticeChange::Unreadable => {}
            }
            self.log.write(&events::target_changed(&target.label(), change));
        }
    }

    /// Whether the target states that it didn't run the request.
    fn is_refusal(&self, response: &Response<Payload>) -> bool {
        let refused = |name| response.headers().contains_key(name);
        self.dialect.refused.as_ref().is_some_and(refused)
            || (self.dialect.target_instance.is_some()
                && response.status() == StatusCode::MISDIRECTED_REQUEST)
    }

    /// Whether a response carries the id of another request.
    fn has_other_request_id(
        &self,
        response: &Response<Payload>,
        request_id: Option<&HeaderValue>,
    ) -> bool {
        let echoed = self.dialect.request_id.as_ref().and_then(|id| response.headers().get(id));
        request_id.is_some() && echoed.is_some() && echoed != request_id
    }

    /// Whether a response carries the id of this request, if it has one.
    fn has_request_id(
        &self,
        response: &Response<Payload>,
        request_id: Option<&HeaderValue>,
    ) -> bool {
        let echoed = |header| response.headers().get(header);
        request_id.is_none() || self.dialect.request_id.as_ref().and_then(echoed) == request_id
    }
}

/// Whether the end of the body can be told apart from a failed connection. A body that ends when its
/// connection closes can't be relayed as complete.
fn has_delimited_body(response: &Response<Payload>) -> bool {
    let map = response.headers();
    response.body().is_end_stream()
        || map.contains_key(header::CONTENT_LENGTH)
        || map.contains_key(header::TRANSFER_ENCODING)
}

fn parse_fingerprint(text: &str) -> Option<Fingerprint> {
    u128::from_str_radix(text, 16).ok().map(|value| Fingerprint::from_bytes(value.to_be_bytes()))
}
