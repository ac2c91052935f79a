//! TWICE: an upstream sends a second answer late, where the answer to the next request is due.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use super::{message, new_id, send, stamp_of};
use crate::{
    fleet::{config, Fleet, Result, Route, KEY, TENANTS},
    http::{read_body, Client},
    record::Record,
    upstream::{sound, AnyBehaviour, Flow},
    Outcome,
};

/// How long the upstreams are faulty.
const DURATION: Duration = Duration::from_secs(5);

/// Answers of a faulty upstream for each one that it follows by a second: 3 in 100.
const ANSWERS_PER_EXTRA: u64 = 34;

const WORK: Duration = Duration::from_millis(20);

/// A refusal as the page on messages shows it. It bears no request id.
const SECOND_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Damaskwick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

#[derive(Default)]
struct Faults {
    active: AtomicBool,
    extras: AtomicU64,
}

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
    let places = [
        ("tbs-a", "ufleba"),
        ("tbs-a", "ufleba"),
        ("tbs-b", "ufleba"),
        ("tbs-b", "ufleba"),
        ("tbs-c", "ufleba"),
        ("tbs-a", "katalogi"),
        ("tbs-b", "katalogi"),
    ];
    let faults: Arc<Faults> = Arc::default();
    let shared = faults.clone();
    let fleet = Fleet::start(
        &places,
        &config(7, &["katalogi", "ufleba"], &routes, TENANTS),
        record.clone(),
        // Three of the five upstreams of the service, a share of 0.6.
        move |idx, _| if idx < 3 { faulty(shared.clone()) } else { sound(WORK) },
    )?;
    faults.active.store(trouble, Ordering::SeqCst);
    let answers: Arc<Mutex<HashMap<String, (u16, String)>>> = Arc::default();
    let until = Instant::now() + DURATION;
    let mut consumers = Vec::new();
    for idx in 0..7 {
        let machine = &fleet.machines[idx];
        let (addr, name): (SocketAddr, String) = (machine.outbound(), machine.name.clone());
        let (record, answers) = (record.clone(), answers.clone());
        consumers.push(thread::spawn(move || -> io::Result<()> {
            let mut client = Client::connect(addr)?;
            while Instant::now() < until {
                let id = new_id("order");
                let path = format!("/order/{id}");
                let data = message("POST", &path, &id, "2000", &[KEY], b"one print");
                match send(&mut client, &record, &name, &id, &data) {
                    Ok(answer) => {
                        let result = (answer.head.status(), stamp_of(&answer).to_owned());
                        answers.lock().unwrap().insert(id, result);
                    }
                    Err(_) => client = Client::connect(addr)?,
                }
            }
            Ok(())
        }));
    }
    for consumer in consumers {
        consumer.join().map_err(|_| "a consumer failed")??;
    }
    // Longer than the time limit of the requests, so that no run is missed.
    thread::sleep(Duration::from_millis(2500));
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for run in fleet.runs() {
        runs.entry(run.id).or_default().push(run.instance);
    }
    let answers = answers.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    for (id, at) in &twice {
        let (status, stamp) = answers.get(*id).cloned().unwrap_or_default();
        record.line(&format!(
            "request {id}, unsafe, ran at {}; its consumer got {status} with stamp {stamp}",
            at.join(" and ")
        ));
    }
    let refused = |(id, (status, _)): &(&String, &(u16, String))| {
        matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(*id)
    };
    let refused = answers.iter().filter(refused).count();
    record.say(&format!(
        "{} unsafe requests sent, {} second answers; {} requests ran twice, {refused} were refused as not run and ran",
        answers.len(),
        faults.extras.load(Ordering::SeqCst),
        twice.len()
    ));
    Ok(Outcome { broken: !twice.is_empty() || refused > 0 })
}

/// Runs and answers each request. After 3 answers in 100 it sends a second one, once the next request has
/// arrived on the connection.
fn faulty(faults: Arc<Faults>) -> AnyBehaviour {
    let answered = AtomicU64::new(0);
    Box::new(move |upstream, conn, head| {
        let body = read_body(&mut conn.input, head)?;
        if !conn.stray.is_empty() {
            let second = std::mem::take(&mut conn.stray);
            let id = head.get("x-damaskwick-request-id").unwrap_or("-");
            faults.extras.fetch_add(1, Ordering::SeqCst);
            upstream.record.line(&format!(
                "upstream {} sends a second answer to its last request; request {id} is next on the connection",
                upstream.id()
            ));
            conn.out.write_all(&second)?;
        }
        let stamp = upstream.run(head, &body);
        thread::sleep(WORK);
        upstream.answer(conn, head, &stamp, "done")?;
        let count = answered.fetch_add(1, Ordering::SeqCst) + 1;
        if count % ANSWERS_PER_EXTRA == 0 && faults.active.load(Ordering::SeqCst) {
            conn.stray = SECOND_ANSWER.to_vec();
        }
        Ok(Flow::Next)
    })
}
