//! The cases, and what they share.

mod crasher;
mod idempotency;
mod keys;
mod popular;
mod quota;
mod second_answer;
mod spelling;
mod unread;

use std::{
    io,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use crate::{
    fleet::{Result, HOST},
    http::{request, Answer, Client},
    record::Record,
    Outcome,
};

/// `config_apply_ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2500);

/// `stable_window_ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// The longest wait of a client, beyond all time limits of the cases.
const CLIENT_WAIT: Duration = Duration::from_secs(4);

/// Runs the case of this name.
pub fn run(name: &str, trouble: bool, record: Arc<Record>) -> Result<Outcome> {
    match name {
        "second-answer" => second_answer::run(trouble, record),
        "keys" => keys::run(trouble, record),
        "spelling" => spelling::run(trouble, record),
        "idempotency" => idempotency::run(trouble, record),
        "crasher" => crasher::run(trouble, record),
        "unread" => unread::run(trouble, record),
        "popular" => popular::run(trouble, record),
        "quota" => quota::run(trouble, record),
        _ => Err(format!("unknown case {name}").into()),
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A request id that no other request of the run has.
fn new_id(label: &str) -> String {
    format!("{label}-{:05}", IDS.fetch_add(1, Ordering::SeqCst))
}

/// The bytes of a request with an id and a time limit, and further headers.
fn message(
    method: &str,
    path: &str,
    id: &str,
    limit_ms: &str,
    more: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut headers = vec![
        ("Host", HOST),
        ("X-Damaskwick-Request-Id", id),
        ("X-Damaskwick-Deadline-Ms", limit_ms),
    ];
    headers.extend_from_slice(more);
    request(method, path, &headers, body)
}

/// Sends a request on an open connection; records it and its answer.
fn send(
    client: &mut Client,
    record: &Record,
    machine: &str,
    id: &str,
    data: &[u8],
) -> io::Result<Answer> {
    let first = String::from_utf8_lossy(data).lines().next().unwrap_or_default().to_owned();
    record.line(&format!("request {id} sent to {machine}: {first}"));
    let answer = client.ask(data, CLIENT_WAIT);
    match &answer {
        Ok(answer) => record.line(&format!(
            "request {id} answered {} with stamp {}{}",
            answer.head.status(),
            stamp_of(answer),
            if answer.whole { "" } else { ", body broken off" },
        )),
        Err(error) => record.line(&format!("request {id} not answered: {error}")),
    }
    answer
}

fn stamp_of(answer: &Answer) -> &str {
    answer.head.get("x-damaskwick-response-stamp").unwrap_or("none")
}
