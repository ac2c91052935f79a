use bytes::Bytes;
use dw_request::{Load, Outcome, Reason, Refusal, StoredAnswer};
use http::{HeaderValue, Response, StatusCode, header};

use super::{
    body::{Payload, full},
    headers,
};
use crate::Dialect;

/// The response to a refused request, in the dialect of this daemon's callers.
pub(crate) fn refuse_for_caller(refusal: &Refusal, dialect: &Dialect) -> Response<Payload> {
    match dialect.fractional_seconds {
        true => refuse_after(refusal, format!("{:.3}", refusal.retry_after.as_secs_f64())),
        false => refuse(refusal),
    }
}

/// The response to a refused request: the reason, and the time after which to retry.
pub(crate) fn refuse(refusal: &Refusal) -> Response<Payload> {
    // Whole seconds, rounded up: an earlier retry would be refused for the same reason.
    refuse_after(refusal, refusal.retry_after.as_millis().div_ceil(1000))
}

fn refuse_after(refusal: &Refusal, after: impl Into<headers::Text>) -> Response<Payload> {
    // A request without a valid key is refused whenever it is repeated.
    let unauthorized = refusal.status == StatusCode::UNAUTHORIZED.as_u16();
    let retry = match unauthorized {
        true => String::new(),
        false => format!(",\"retry_after_ms\":{}", refusal.retry_after.as_millis()),
    };
    let body = format!(
        "{{\"outcome\":\"{}\",\"reason\":\"{}\"{retry}}}\n",
        refusal.outcome, refusal.reason
    );
    let mut response = Response::new(full(body));
    *response.status_mut() =
        StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let map = response.headers_mut();
    map.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    map.insert(headers::OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
    map.insert(headers::REASON, HeaderValue::from_static(refusal.reason.as_str()));
    match unauthorized {
        true => {
            map.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        false => headers::set(map, header::RETRY_AFTER, after),
    }
    response
}

/// Adds the load of the target to a response between daemons.
pub(crate) fn with_load(mut response: Response<Payload>, load: Load) -> Response<Payload> {
    headers::set_unindexed(response.headers_mut(), headers::LOAD, load);
    response
}

/// Marks a response as coming from a target that ran the request.
pub(crate) fn mark_run(response: &mut Response<Payload>) {
    let run = HeaderValue::from_static(Outcome::Run.as_str());
    response.headers_mut().insert(headers::OUTCOME, run);
}

/// Whether a request may end with a response of this status: an HTTP library accepts any from 100 to 999, of which those
/// below 200 are interim and those above 599 have no meaning (RFC 9110, section 15). 101 ends a request only if it
/// asked for an upgrade, which is not forwarded.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// The outcome that a response states. A response without the header doesn't come from a daemon, and one whose status is
/// not final doesn't come from one of this release.
pub(crate) fn outcome_of(response: &Response<Payload>) -> Outcome {
    match response.headers().get(headers::OUTCOME).map(HeaderValue::as_bytes) {
        Some(b"run") if !is_final(response.status()) => Outcome::Unknown,
        Some(b"run") => Outcome::Run,
        Some(b"not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

/// The status of a target's response as reported to the dispatcher and the gate, which treat 503 as
/// load shedding.
///
/// A target that sheds load sends `Retry-After`. A 503 without it is a failure, often of a call that
/// the target made itself. Treating it as shedding lowered the limit of every target along a call
/// chain until they refused calls of that same chain.
pub(crate) fn status_of(response: &Response<Payload>) -> u16 {
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE
            if !response.headers().contains_key(header::RETRY_AFTER) =>
        {
            StatusCode::BAD_GATEWAY.as_u16()
        }
        status => status.as_u16(),
    }
}

/// The reason for refusal that another daemon sent.
pub(crate) fn reason_of(response: &Response<Payload>) -> Reason {
    headers::read(response.headers(), &headers::REASON).unwrap_or(Reason::ProtocolError)
}

/// Rebuilds a response from its record.
pub(crate) fn replay(answer: &StoredAnswer) -> Response<Payload> {
    let mut response = Response::new(full(answer.body.clone()));
    let status = StatusCode::from_u16(answer.status).ok().filter(|status| is_final(*status));
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = answer.headers.clone();
    mark_run(&mut response);
    response
}

/// The record of a response whose whole body has been read.
pub(crate) fn record(response: &Response<Payload>, body: Bytes) -> StoredAnswer {
    let status = response.status().as_u16();
    StoredAnswer { status, headers: response.headers().clone(), body }
}
