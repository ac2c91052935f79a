//! MIXED: consumers of two services send the same value in a header of their own.

use std::{sync::Arc, thread, time::Duration};

use super::{message, new_id, send, stamp_of};
use crate::{
    fleet::{config, Fleet, Result, Route, TENANTS},
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
        name: "r-order",
        prefix: "/order/",
        kind: "unsafe",
        service: "ufleba",
        timeout_ms: 2000,
        target_ms: 300,
        max_attempts: 2,
        public: true,
    }];
    let places = [
        ("tbs-a", "ufleba"),
        ("tbs-b", "ufleba"),
        ("tbs-a", "katalogi"),
        ("tbs-b", "gamosaxuleba"),
    ];
    let first = config(7, &["katalogi", "ufleba", "gamosaxuleba"], &routes, TENANTS);
    let work = Duration::from_millis(5);
    let fleet = Fleet::start(&places, &first, record.clone(), |_, _| sound(work))?;
    thread::sleep(WARM_UP);
    let (mut foreign, mut lost) = (0, 0);
    for number in 0..5 {
        for machine in &fleet.machines[2..] {
            let id = new_id("order");
            let document = format!("document-{number}");
            let more = [("Idempotency-Key", document.as_str())];
            let more = if trouble { &more[..] } else { &[] };
            let body = format!("order of {}, document {number}", machine.service);
            let data = message("POST", "/order/print", &id, "2000", more, body.as_bytes());
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
