//! BUDGET: a request that crashes its upstreams comes again at other machines.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::{message, new_id, send, STABLE_WINDOW};
use crate::{
    fleet::{config, Fleet, Result, Route, KEY, TENANTS},
    http::{read_body, Client},
    record::Record,
    upstream::{AnyBehaviour, Flow},
    Outcome,
};

/// Time after a crash until the upstream is back.
const DOWN: Duration = Duration::from_secs(2);

/// Time until the request comes again.
const PAUSE: Duration = Duration::from_secs(4);

const WORK: Duration = Duration::from_millis(60);

/// Retries that may reach an upstream later than `stable_window_ms` after the third crash.
const MAX_LATE: usize = 3;

pub fn run(trouble: bool, record: Arc<Record>) -> Result<Outcome> {
    let routes = [Route {
        name: "r-order",
        prefix: "/order/",
        kind: "unsafe",
        service: "ufleba",
        timeout_ms: 2000,
        target_ms: 300,
        max_attempts: 2,
        public: false,
    }];
    let zones = ["tbs-a", "tbs-b", "tbs-c"];
    let mut places: Vec<_> = zones.iter().map(|zone| (*zone, "ufleba")).collect();
    places.extend((0..7).map(|idx| (zones[idx % 3], "katalogi")));
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let fleet = Fleet::start(
        &places,
        &config(7, &["ufleba", "katalogi"], &routes, TENANTS),
        record.clone(),
        |_, _| certification(crashes.clone()),
    )?;
    // The certifications of others, which run at the same upstreams.
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = fleet.machines[3..]
        .iter()
        .map(|machine| {
            let (addr, name) = (machine.outbound(), machine.name.clone());
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || -> io::Result<Vec<(String, u16)>> {
                let mut client = Client::connect(addr)?;
                let mut answers = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id("other");
                    let path = format!("/order/{id}");
                    let data = message("POST", &path, &id, "2000", &[KEY], b"batch");
                    let answer = send(&mut client, &record, &name, &id, &data);
                    answers.push((id, answer.map_or(0, |answer| answer.head.status())));
                    thread::sleep(Duration::from_millis(40));
                }
                Ok(answers)
            })
        })
        .collect();
    let body: &[u8] = if trouble { b"crash" } else { b"batch" };
    let callers = &fleet.machines[3..];
    let mut sent = Vec::new();
    // The same path, caller and body, each time at another machine of the same service.
    for machine in callers.iter().chain(&callers[..2]) {
        let id = new_id("crasher");
        let data = message("POST", "/order/batch-17", &id, "2000", &[KEY], body);
        let mut client = Client::connect(machine.outbound())?;
        sent.push((id.clone(), Instant::now()));
        // It is expected to fail where it crashes the upstream.
        let _ = send(&mut client, &record, &machine.name, &id, &data);
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    let runs = fleet.runs();
    let mut lost = 0;
    for other in others {
        let answers = other.join().map_err(|_| "a consumer failed")??;
        let ran = |id: &str| runs.iter().any(|run| run.id == id);
        lost += answers.iter().filter(|(id, status)| *status != 200 && ran(id)).count();
    }
    let crashes = crashes.lock().unwrap().clone();
    record.say(&format!(
        "{} crashes; {lost} requests of others had begun to run and got no answer of their upstream",
        crashes.len()
    ));
    let Some(third) = crashes.get(2) else { return Ok(Outcome { broken: false }) };
    let late: Vec<_> = sent.iter().filter(|(_, at)| *at > *third + STABLE_WINDOW).collect();
    let reached = late.iter().filter(|(id, _)| runs.iter().any(|run| run.id == *id)).count();
    record.say(&format!(
        "{} retries were sent later than stable_window_ms after the third crash; {reached} reached an upstream, at most {MAX_LATE} may",
        late.len()
    ));
    Ok(Outcome { broken: reached > MAX_LATE })
}

/// Crashes on the body `crash`.
fn certification(crashes: Arc<Mutex<Vec<Instant>>>) -> AnyBehaviour {
    Box::new(move |upstream, conn, head| {
        let body = read_body(&mut conn.input, head)?;
        let stamp = upstream.run(head, &body);
        if body == b"crash" {
            crashes.lock().unwrap().push(Instant::now());
            upstream.crash(DOWN);
            // The connection ends with the process.
            thread::sleep(DOWN);
            return Ok(Flow::Close);
        }
        thread::sleep(WORK);
        upstream.answer(conn, head, &stamp, "done")?;
        Ok(Flow::Next)
    })
}
