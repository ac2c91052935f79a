use std::sync::Arc;

use dw_log::{Event, Field, Kind, Trace};
use dw_request::{Arrival, Death, Fingerprint, MAX_POISON_SUSPECTS, Reason, Refusal};
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use super::{
    Proxy, answer,
    body::{Ended, Payload, Tracked},
    call::trace_of,
    error::SendFault,
    events::{self, Saying},
    headers,
    hop_context::Leg,
    local_target::{Beside, Slot},
    target_notice::Notice,
};
use crate::{clock, counters::Step};

impl Proxy {
    /// Runs a request at a target on this host.
    pub(super) async fn beside(&self, mut request: Request<Payload>) -> Response<Payload> {
        let map = request.headers();
        let Some(leg) = headers::read::<Leg>(map, &headers::LEG) else {
            return answer::refuse(&Refusal::new(Reason::ProtocolError));
        };
        let fingerprint = headers::read::<String>(map, &headers::PRINT).and_then(|t| print_of(&t));
        let arrival = Arrival { fingerprint, ..leg.arrival(Instant::now()) };
        let deadline = arrival.deadline;
        let service = map.get(headers::SERVICE).map(HeaderValue::as_bytes);
        let right = |target: &Arc<Beside>| {
            service.is_none_or(|service| service == target.service.as_bytes())
        };
        let Some(target) = self.target(leg.target).filter(right) else {
            return answer::refuse(&Refusal::new(Reason::UnknownTarget));
        };
        let target = &target;
        let trace = trace_of(&self.log, map.get(self.dialect.id_header()));
        let asked = Instant::now();
        let slot = match target.admit(arrival).await {
            Ok(slot) => slot,
            Err(refusal) => {
                let load = target.load();
                trace.end(|| {
                    let expected = target.expected(&arrival);
                    events::turned_away(&target.label(), refusal.reason, load, expected)
                });
                return answer::with_load(answer::refuse(&refusal), load);
            }
        };
        self.counters.observe_step(Step::Queue, asked.elapsed());
        trace.record(|| events::admitted(&target.label(), asked.elapsed(), target.load()));
        let name = self.prepare(&mut request, &leg, deadline, target);
        let handed = Instant::now();
        let not_run = |reason: Reason, detail: Option<String>| {
            trace.end(|| events::not_run(&target.label(), reason, handed, detail));
            answer::refuse(&Refusal::new(reason))
        };
        self.counters.handed_over(target.index);
        let sent = timeout_at(deadline, target.pool.send(request, name.as_ref(), deadline)).await;
        if let Ok(Ok(response)) = &sent {
            self.hear(target, response, handed);
        }
        let response = match sent {
            // Whatever it says, also that a request was not run, it says of another one.
            Ok(Ok(response)) if self.is_foreign(&response, name.as_ref()) => {
                not_run(Reason::ProtocolError, Some("a response to another request".to_owned()))
            }
            Ok(Ok(response)) if self.is_refusal(&response) => {
                slot.refused();
                let reason = match response.status() {
                    StatusCode::MISDIRECTED_REQUEST => Reason::UnknownTarget,
                    _ => Reason::TargetRefused,
                };
                // The rest of the response is read, so that its connection can be kept.
                self.tasks.spawn(async move { response.into_body().collect().await.is_ok() });
                not_run(reason, None)
            }
            Ok(Ok(response)) if !self.answers(&response, name.as_ref()) => {
                not_run(Reason::ProtocolError, Some("a response that names no request".to_owned()))
            }
            Ok(Ok(response)) if !self.dialect.close_delimited && !delimited(&response) => {
                not_run(Reason::ProtocolError, Some("a body without a length".to_owned()))
            }
            Ok(Ok(response)) => self.pass_on(response, target, slot, trace, handed),
            Ok(Err(fault @ SendFault::NotSent { .. })) => {
                slot.not_started();
                not_run(Reason::ConnectFailed, Some(fault.to_string()))
            }
            Ok(Err(fault)) => {
                let response = self.lost(target, slot, arrival.fingerprint).await;
                let reason = answer::reason_of(&response);
                let detail = Some(fault.to_string());
                trace.end(|| events::not_run(&target.label(), reason, handed, detail));
                response
            }
            Err(_) => not_run(Reason::TimedOut, None),
        };
        answer::with_load(response, target.load())
    }

    /// The connection failed under a request: says whether the target died with it.
    async fn lost(
        &self,
        target: &Arc<Beside>,
        slot: Slot,
        print: Option<Fingerprint>,
    ) -> Response<Payload> {
        let Some((start, mut prints)) = target.find_death().await else {
            return answer::refuse(&Refusal::new(Reason::ConnectionLost));
        };
        drop(slot);
        prints.extend(print);
        prints.sort_unstable();
        prints.dedup();
        let mut response = answer::refuse(&Refusal::new(Reason::TargetDied));
        // With more suspects the death proves nothing about any of them.
        if prints.len() <= MAX_POISON_SUSPECTS {
            headers::set(response.headers_mut(), headers::DEATH, start);
        }
        let died = Event::new(Kind::TargetDied)
            .with(Field::Service, &target.service)
            .with(Field::Index, target.index)
            .with(Field::Count, prints.len());
        self.log.write(&died);
        response
    }

    /// Takes note of a death that the daemon beside the target reported under a request.
    pub(super) fn note_death(&self, death: Death, print: Fingerprint) {
        let now = Instant::now();
        let mut dispatcher = self.dispatcher();
        let mut prints = dispatcher.target_died(&death.host, death.target, now);
        prints.push(print);
        let poison = dispatcher.poison_mut();
        poison.report(death, prints, now);
        if poison.refuses(print, now) {
            drop(dispatcher);
            self.announce_print(print);
        }
    }
}

impl Proxy {
    /// Turns a request between daemons into one for the target; returns the request's name.
    fn prepare(
        &self,
        request: &mut Request<Payload>,
        leg: &Leg,
        deadline: Instant,
        target: &Beside,
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
            for name in [headers::SERVICE, headers::LEG, headers::PRINT] {
                map.remove(name);
            }
            headers::set(map, headers::DEPTH, leg.depth);
            headers::set(map, headers::RETRIED, u8::from(leg.retried));
            headers::set(map, headers::DEADLINE, u128::from(clock::unix_ms()) + left);
        } else {
            // Its targets know none of the product's own headers.
            headers::strip_own(map);
        }
        headers::set(map, self.dialect.timeout.clone(), left);
        if let Some(header) = &self.dialect.target_instance {
            headers::set(map, header.clone(), &target.name);
        }
        self.dialect.request_id.as_ref().and_then(|header| map.get(header).cloned())
    }

    /// Passes the response of a target on.
    fn pass_on(
        &self,
        response: Response<Payload>,
        target: &Arc<Beside>,
        slot: Slot,
        trace: Trace,
        handed: Instant,
    ) -> Response<Payload> {
        target.responded();
        let (status, target) = (answer::status_of(&response), target.clone());
        let counters = self.counters.clone();
        let mut response = response.map(|body| {
            let tracked = Tracked::new(body, move |ended| {
                if status >= 500 {
                    trace.mark_failed();
                }
                counters.observe_step(Step::Target, handed.elapsed());
                trace.end(|| events::ran(&target.label(), status, handed, ended));
                match ended {
                    Ended::Complete => slot.answered(status),
                    Ended::Failed | Ended::Dropped => drop(slot),
                }
            });
            tracked.boxed_unsync()
        });
        let map = response.headers_mut();
        headers::strip_hop(map);
        headers::strip_own(map);
        map.remove(header::DATE);
        answer::mark_run(&mut response);
        response
    }

    /// Takes over what a response says about its target.
    fn hear(&self, target: &Beside, response: &Response<Payload>, handed: Instant) {
        let notice = Notice::read(response.headers(), &self.dialect);
        if notice.unreadable {
            self.counters.unreadable_limit();
        }
        for saying in target.hear(notice, handed) {
            match saying {
                Saying::Limited(rate) => self.counters.set_target_limit(target.index, Some(rate)),
                Saying::Unlimited => self.counters.set_target_limit(target.index, None),
                Saying::Leaving => self.announce_leaving(target.index),
                Saying::Unreadable => {}
            }
            self.log.write(&events::said(&target.label(), saying));
        }
    }

    /// Whether the target states that it did not run the request.
    fn is_refusal(&self, response: &Response<Payload>) -> bool {
        let refused = |name| response.headers().contains_key(name);
        self.dialect.refused.as_ref().is_some_and(refused)
            || (self.dialect.target_instance.is_some()
                && response.status() == StatusCode::MISDIRECTED_REQUEST)
    }

    /// Whether a response names another request than this one.
    fn is_foreign(&self, response: &Response<Payload>, name: Option<&HeaderValue>) -> bool {
        let named = self.dialect.request_id.as_ref().and_then(|id| response.headers().get(id));
        name.is_some() && named.is_some() && named != name
    }

    /// Whether a response is to the request of this name.
    fn answers(&self, response: &Response<Payload>, name: Option<&HeaderValue>) -> bool {
        let echoed = |header| response.headers().get(header);
        name.is_none() || self.dialect.request_id.as_ref().and_then(echoed) == name
    }
}

/// Whether the end of the body can be told from a failed connection. A body that ends with its
/// connection cannot be passed on as complete.
fn delimited(response: &Response<Payload>) -> bool {
    let map = response.headers();
    response.body().is_end_stream()
        || map.contains_key(header::CONTENT_LENGTH)
        || map.contains_key(header::TRANSFER_ENCODING)
}

fn print_of(text: &str) -> Option<Fingerprint> {
    u128::from_str_radix(text, 16).ok().map(|value| Fingerprint::from_bytes(value.to_be_bytes()))
}
