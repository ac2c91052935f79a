use std::{net::SocketAddr, sync::Arc, time::Duration};

use dw_log::Field;
use dw_request::{
    Allotment, Attempt, AttemptId, AttemptOutcome, Death, Decision, Next, Outcome, Reason, Refusal,
};
use dw_tables::{Repeat, Route};
use http::{Request, Response, header};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};

use super::{
    Proxy, access, answer,
    body::{Payload, discard},
    call::Call,
    error::SendError,
    events,
    events::Completion,
    headers,
};
use crate::{counters::Step, log_events::avoidance_event};

/// The result of an attempt.
struct AttemptResult {
    /// Reported to the dispatcher.
    outcome: AttemptOutcome,
    /// The response for the caller.
    response: Option<Response<Payload>>,
    /// The error of the connection, for the log.
    detail: Option<String>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        Self { outcome, response: None, detail: None }
    }
}

impl Proxy {
    /// Serves a request from a caller. Also returns the deadline of the whole response, and what is
    /// logged when its body ends.
    pub(super) async fn serve_call(
        self: &Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> (Response<Payload>, Option<Instant>, Completion) {
        let started = Instant::now();
        let mut call = Call::new(request, &self.dialect, &self.log);
        let result = self.route_call(&mut call, from).await;
        let mut response = match result {
            Ok(response) => {
                let outcome = answer::outcome_of(&response);
                if outcome != Outcome::Run {
                    // Refused by the keeper of the key, which is another daemon.
                    let reason = answer::reason_of(&response);
                    let status = response.status().as_u16();
                    let refusal = Refusal { outcome, status, ..Refusal::new(reason) };
                    call.trace.end(|| events::refused(&refusal, call.deadline));
                }
                response
            }
            Err(refusal) => {
                if let Some(reason) = refusal.no_retry {
                    self.counters.not_retried(reason);
                }
                call.trace.end(|| {
                    let version =
                        (refusal.reason == Reason::NoRoute).then(|| self.dispatcher().version());
                    events::refused(&refusal, call.deadline).with_some(Field::Version, version)
                });
                answer::refuse_for_caller(&refusal, &self.dialect)
            }
        };
        let outcome = answer::outcome_of(&response);
        if outcome != Outcome::Run {
            self.counters.refused(answer::reason_of(&response));
        }
        self.counters.observe_request(outcome, started.elapsed().as_secs_f64());
        let map = response.headers_mut();
        map.remove(headers::LOAD);
        map.remove(headers::DEATH);
        if let Some(id) = call.id {
            map.insert(self.dialect.id_header(), id);
        }
        if self.is_draining() {
            // Makes HTTP/1.1 callers open their next connection elsewhere; hyper drops the header
            // for HTTP/2.
            map.insert(header::CONNECTION, http::HeaderValue::from_static("close"));
        }
        let status = response.status().as_u16();
        let (trace, counters) = (call.trace, self.counters.clone());
        let (route, late_at) = (call.route, call.late_at);
        let completion = Completion { trace, counters, route, status, started, late_at };
        (response, call.deadline, completion)
    }

    async fn route_call(
        self: &Arc<Self>,
        call: &mut Call,
        from: SocketAddr,
    ) -> Result<Response<Payload>, Refusal> {
        self.check_draining(call)?;
        let Some(route) = self.check_key(call)? else {
            return self.forward(call).await;
        };
        // The body is read after this, so that a flood over a quota stays cheap.
        let workspace = call.access.workspace().cloned();
        let Some(workspace) = workspace.filter(|row| !row.rate.is_unlimited()) else {
            return self.route_admitted(call, &route, from).await;
        };
        let permit = self.quota.admit(&workspace.name, Allotment::new(&workspace)).await?;
        let result = self.route_admitted(call, &route, from).await;
        let outcome = result.as_ref().map_or_else(|refusal| refusal.outcome, answer::outcome_of);
        if outcome == Outcome::NotRun {
            permit.refund();
        }
        result
    }

    /// Refuses a request if the daemon is draining. A target on this host may need nested calls to
    /// complete a request in flight there.
    fn check_draining(&self, call: &Call) -> Result<(), Refusal> {
        if self.is_draining() && call.depth() == 0 {
            return Err(Refusal::new(Reason::Draining));
        }
        Ok(())
    }

    /// Forwards a request that is within its quota.
    async fn route_admitted(
        self: &Arc<Self>,
        call: &mut Call,
        route: &Route,
        from: SocketAddr,
    ) -> Result<Response<Payload>, Refusal> {
        let limit = Instant::now() + Duration::from(route.deadline);
        let deadline = call.deadline.map_or(limit, |at| at.min(limit));
        call.deadline = Some(deadline);
        match timeout_at(deadline, call.buffer_body(self.retry_body)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(Refusal::new(Reason::Cancelled)),
            // Nothing has been forwarded yet.
            Err(_) => return Err(Refusal::new(Reason::DeadlinePassed)),
        }
        // The daemon may have been told to stop while the body arrived.
        self.check_draining(call)?;
        Self::check_key_again(&self.dispatcher(), call)?;
        if call.fingerprint().is_some_and(|fingerprint| self.is_poisoned(fingerprint)) {
            return Err(Refusal::new(Reason::Poisoned));
        }
        match call.record_key() {
            Some(key) if route.repeat == Repeat::Once => {
                self.forward_to_keeper(call, &key, from, deadline).await
            }
            _ => self.forward(call).await,
        }
    }

    /// Sends a request to a target, and retries as far as the dispatcher allows.
    pub(super) async fn forward(
        self: &Arc<Self>,
        call: &mut Call,
    ) -> Result<Response<Payload>, Refusal> {
        let decision = {
            let mut dispatcher = self.dispatcher();
            Self::check_key_again(&dispatcher, call)?;
            dispatcher.begin(call.info(), Instant::now())
        };
        let mut attempt = match decision {
            Decision::Forward(attempt) => attempt,
            Decision::Refuse(refusal) => return Err(refusal),
        };
        call.late_at = Some(attempt.goal.late_at);
        call.route = Some(attempt.route.name.clone());
        let mut unknown = false;
        let mut last = None;
        loop {
            let pending = PendingAttempt { proxy: self.clone(), id: Some(attempt.id) };
            let sent = Instant::now();
            let limit = self.stop_limit();
            if !limit.admits(attempt.goal.objective, sent) {
                let refuse = |last| access::refuse_retry(last, Reason::Draining, unknown);
                return Err(last.map_or(Refusal::new(Reason::Draining), refuse));
            }
            call.deadline = call.deadline.map(|at| limit.limit(at));
            call.trace.record(|| events::placed(&attempt, sent));
            if let Some(age) = attempt.basis.load_age {
                self.counters.observe_load_age(age);
            }
            let AttemptResult { outcome, response, detail } =
                self.attempt(&attempt, call, sent).await;
            if let Some((reason, ran)) = failure_of(&outcome) {
                call.trace.record(|| events::failed(&attempt, reason, ran, sent, detail));
            }
            if let (AttemptOutcome::Answered { .. }, Some(fingerprint)) =
                (&outcome, call.fingerprint())
            {
                self.record_answer(fingerprint);
            }
            match pending.settle(&outcome) {
                Next::Deliver => {
                    return response.ok_or_else(|| Refusal::new(Reason::ProtocolError));
                }
                Next::Refuse(refusal) => return Err(refusal),
                Next::Retry { after, attempt: next } => {
                    // Settles the new attempt even if the caller disconnects during the delay.
                    let upcoming = PendingAttempt { proxy: self.clone(), id: Some(next.id) };
                    if !call.is_sendable() {
                        let no_retry = Some(Reason::RetryLimit);
                        return Err(Refusal { no_retry, ..refusal_of(&outcome) });
                    }
                    call.trace.record(|| events::next_attempt(&next, after));
                    sleep(after).await;
                    unknown |= !matches!(outcome, AttemptOutcome::NotRun { .. });
                    if Self::check_key_again(&self.dispatcher(), call).is_err() {
                        let last = refusal_of(&outcome);
                        return Err(access::refuse_retry(last, Reason::KeyUnknown, unknown));
                    }
                    last = Some(refusal_of(&outcome));
                    upcoming.disarm();
                    if let Some(cause) = next.cause {
                        self.counters.retried(cause);
                    }
                    attempt = next;
                }
            }
        }
    }

    /// Replaces the response of a target that may have run the request by one that promises nothing, as
    /// its caller would repeat the request otherwise.
    fn withhold(&self, response: Response<Payload>) -> Response<Payload> {
        self.tasks.spawn(discard(response.into_body()));
        answer::refuse_for_caller(&Refusal::new(Reason::ProtocolError), &self.dialect)
    }

    async fn attempt(
        self: &Arc<Self>,
        attempt: &Attempt,
        call: &mut Call,
        sent: Instant,
    ) -> AttemptResult {
        let deadline = self.stop_limit().limit(attempt.deadline);
        let request = call.target_request(attempt, deadline);
        let endpoint = &attempt.endpoint;
        let response = if endpoint.host == self.host {
            Ok(Ok(self.run_local(request).await))
        } else {
            timeout_at(deadline, self.daemons.send(endpoint.addr, request, deadline)).await
        };
        if matches!(response, Ok(Ok(_))) && endpoint.host != self.host {
            self.counters.observe_step(Step::Hop, sent.elapsed());
        }
        match response {
            Ok(Ok(response)) => self.read_response(attempt, call, response, sent),
            Ok(Err(SendError::NotSent { reason, request })) => {
                let detail = Some(reason);
                let reason = match request {
                    Some(request) => {
                        call.restore(*request);
                        Reason::ConnectFailed
                    }
                    None => Reason::StreamRefused,
                };
                let outcome = AttemptOutcome::NotRun { reason, retry_after: None, load: None };
                AttemptResult { detail, ..outcome.into() }
            }
            Ok(Err(SendError::Unknown { reason, unresponsive })) => {
                let detail = Some(reason);
                let reason = match unresponsive {
                    true => Reason::ConnectionUnresponsive,
                    false => Reason::ConnectionLost,
                };
                AttemptResult { detail, ..AttemptOutcome::Unknown { reason }.into() }
            }
            Err(_) => AttemptOutcome::Unknown { reason: Reason::TimedOut }.into(),
        }
    }

    fn read_response(
        &self,
        attempt: &Attempt,
        call: &Call,
        response: Response<Payload>,
        sent: Instant,
    ) -> AttemptResult {
        let map = response.headers();
        let load = headers::read(map, &headers::LOAD);
        match answer::outcome_of(&response) {
            Outcome::Run => {
                let status = answer::status_of(&response);
                let outcome = AttemptOutcome::Answered { status, load, latency: sent.elapsed() };
                let once = attempt.repeat == Repeat::Once;
                let response = match once && self.dialect.is_false_promise(response.status()) {
                    true => self.withhold(response),
                    false => response,
                };
                AttemptResult { response: Some(response), ..outcome.into() }
            }
            Outcome::NotRun => {
                let seconds = headers::read(map, &header::RETRY_AFTER);
                let seconds = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
                let reason = answer::reason_of(&response);
                AttemptOutcome::NotRun { reason, retry_after: seconds, load }.into()
            }
            Outcome::Unknown => {
                if let (Some(start), Some(fingerprint)) =
                    (headers::read(map, &headers::DEATH), call.fingerprint())
                {
                    let endpoint = &attempt.endpoint;
                    let host = endpoint.host.clone();
                    self.record_death(Death { host, target: endpoint.target, start }, fingerprint);
                }
                AttemptOutcome::Unknown { reason: answer::reason_of(&response) }.into()
            }
        }
    }
}

impl Proxy {
    /// Ends an attempt, and logs how it changed the dispatcher's view of the targets.
    fn settle(&self, id: AttemptId, outcome: AttemptOutcome) -> Next {
        let mut dispatcher = self.dispatcher();
        let next = dispatcher.settle(id, outcome, Instant::now());
        let changes = dispatcher.take_changes();
        drop(dispatcher);
        for change in changes {
            self.log.write(&avoidance_event(change));
        }
        next
    }
}

/// Why an attempt failed without a response, and whether the request may have been run.
const fn failure_of(outcome: &AttemptOutcome) -> Option<(Reason, Outcome)> {
    match *outcome {
        AttemptOutcome::NotRun { reason, .. } => Some((reason, Outcome::NotRun)),
        AttemptOutcome::Unknown { reason } => Some((reason, Outcome::Unknown)),
        AttemptOutcome::Answered { .. } | AttemptOutcome::Cancelled => None,
    }
}

/// The refusal that a single attempt leads to.
fn refusal_of(outcome: &AttemptOutcome) -> Refusal {
    match *outcome {
        AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown { reason } => {
            Refusal::new(reason)
        }
        AttemptOutcome::Answered { .. } => Refusal::new(Reason::ServerError),
        AttemptOutcome::Cancelled => Refusal::new(Reason::Cancelled),
    }
}

/// An attempt in flight; cancelled on drop, because the caller has disconnected then.
struct PendingAttempt {
    proxy: Arc<Proxy>,
    id: Option<AttemptId>,
}

impl PendingAttempt {
    fn settle(mut self, outcome: &AttemptOutcome) -> Next {
        match self.id.take() {
            Some(id) => self.proxy.settle(id, *outcome),
            None => Next::Deliver,
        }
    }

    /// Leaves the attempt in flight for the next owner of its id.
    fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.proxy.settle(id, AttemptOutcome::Cancelled);
        }
    }
}
