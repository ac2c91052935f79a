//! MIXED: consumers of two services send the same value in a header of their own.

use std::{sync::Arc, thread, time::Duration};

use super::{message, new_id, send, stamp_of};
use crate::{
    fleet::{config, Fleet, Result, Route, SMALL},
    http::Client,
    record::Record,
    upstream::sound,
    Outcome,
};

/// The deployment has run for this long when the requests are sent. Before, all requests with the header
/// get 502.
const WARM_UP: Duration = Duration::from_secs(32);

pub fn run(trouble: bool, record: Arc<Record>) -> Result<Outcome> {
    let routes = [Route {
        name: "r-credit",
        prefix: "/credit/",
        kind: "unsafe",
        service: "ledger",
        timeout_ms: 1500,
        target_ms: 250,
        max_attempts: 2,
    }];
    let places =
        [("zone-a", "ledger"), ("zone-b", "ledger"), ("zone-a", "tally"), ("zone-b", "clearing")];
    let first = config(7, &["tally", "ledger", "clearing"], &routes, None);
    let work = Duration::from_millis(5);
    let fleet = Fleet::start(&places, SMALL, &first, record.clone(), |_, _| sound(work))?;
    thread::sleep(WARM_UP);
    let (mut foreign, mut lost) = (0, 0);
    for number in 0..5 {
        for machine in &fleet.machines[2..] {
            let id = new_id("credit");
            let document = format!("document-{number}");
            let more = [("Idempotency-Key", document.as_str())];
            let more = if trouble { &more[..] } else { &[] };
            let body = format!("credit of {}, document {number}", machine.service);
            let data = message("POST", "/credit/post", &id, "1500", more, body.as_bytes());
            let mut client = Client::connect(machine.outbound())?;
            let answer = send(&mut client, &record, &machine.name, &id, &data)?;
            let runs = fleet.runs();
            let ran = runs.iter().any(|run| run.id == id);
            let status = answer.head.status();
            if status == 200 && !ran {
                lost += 1;
            }
            let origin = runs.iter().find(|run| run.stamp == stamp_of(&answer) && run.id != id);
            if let Some(origin) = origin {
                foreign += 1;
                record.line(&format!(
                    "request {id} of service {} got {status} with the stamp and the body {:?} of request {}, whose body was {:?}; it ran: {ran}",
                    machine.service,
                    String::from_utf8_lossy(&answer.body),
                    origin.id,
                    String::from_utf8_lossy(&origin.body),
                ));
            }
        }
    }
    record.say(&format!(
        "of 10 answers, {foreign} belong to the request of another consumer; {lost} requests got 200 and never ran"
    ));
    Ok(Outcome { broken: foreign > 0 || lost > 0 })
}
