//! LOST: consumers that stop reading their answers keep those of others from arriving.

use std::{
    collections::HashSet,
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use super::{message, new_id, send};
use crate::{
    fleet::{config, Fleet, Result, Route, SMALL},
    http::{read_body, Client},
    record::Record,
    upstream::{AnyBehaviour, Flow},
    Outcome,
};

/// The size of an archived report. It exceeds what the sockets between a daemon and a consumer hold.
const REPORT_BYTES: usize = 16 << 20;

/// Consumers on one machine that ask for reports, a quarter of those there.
const READERS: usize = 8;

/// The others there, which file batches on kept connections.
const OTHERS: usize = 24;

/// Time limit of a request for a report.
const REPORT_LIMIT: Duration = Duration::from_millis(3000);

const LENGTH: Duration = Duration::from_secs(20);

const WORK: Duration = Duration::from_millis(20);

/// Connections that may be closed without an answer.
const MAX_CLOSED: usize = 3;

/// A batch that a consumer filed.
struct Filed {
    id: String,
    /// Whether the answer was whole.
    whole: bool,
    /// Whether an earlier request on the connection got a whole answer.
    kept: bool,
}

pub fn run(trouble: bool, record: Arc<Record>) -> Result<Outcome> {
    let route = |name, prefix, kind, timeout_ms| Route {
        name,
        prefix,
        kind,
        service: "inspections",
        timeout_ms,
        target_ms: 500,
        max_attempts: 2,
    };
    let routes =
        [route("r-archive", "/archive/", "safe", 3000), route("r-file", "/file/", "unsafe", 2000)];
    let places = [
        ("zone-a", "inspections"),
        ("zone-b", "inspections"),
        ("zone-a", "licensing"),
        ("zone-b", "licensing"),
    ];
    let first = config(7, &["inspections", "licensing"], &routes, None);
    let report: Arc<str> = "r".repeat(REPORT_BYTES).into();
    let fleet =
        Fleet::start(&places, SMALL, &first, record.clone(), |_, _| archive(report.clone()))?;
    let machine = &fleet.machines[2];
    let stop = Arc::new(AtomicBool::new(false));
    for _ in 0..READERS {
        let (addr, name) = (machine.outbound(), machine.name.clone());
        let (record, stop) = (record.clone(), stop.clone());
        thread::spawn(move || -> io::Result<()> {
            while !stop.load(Ordering::SeqCst) {
                let id = new_id("report");
                let path = format!("/archive/{id}");
                let data = message("GET", &path, &id, "3000", &[], b"");
                let mut client = Client::connect(addr)?;
                if trouble {
                    // It stops before it reads, and leaves at its time limit.
                    record.line(&format!("request {id} sent to {name}: GET {path}; not read"));
                    client.send(&data)?;
                    thread::sleep(REPORT_LIMIT);
                } else {
                    let _ = send(&mut client, &record, &name, &id, &data);
                    thread::sleep(REPORT_LIMIT / 2);
                }
            }
            Ok(())
        });
    }
    thread::sleep(Duration::from_secs(1));
    let others: Vec<_> = (0..OTHERS)
        .map(|_| {
            let (addr, name) = (machine.outbound(), machine.name.clone());
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || -> io::Result<Vec<Filed>> {
                let mut client = Client::connect(addr)?;
                let mut answers = Vec::new();
                let mut kept = false;
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id("file");
                    let path = format!("/file/{id}");
                    let data = message("POST", &path, &id, "2000", &[], b"a batch");
                    let answer = send(&mut client, &record, &name, &id, &data);
                    let whole = answer.is_ok_and(|answer| answer.whole);
                    answers.push(Filed { id, whole, kept });
                    if !whole {
                        client = Client::connect(addr)?;
                    }
                    kept = whole;
                    thread::sleep(Duration::from_millis(50));
                }
                Ok(answers)
            })
        })
        .collect();
    thread::sleep(LENGTH);
    stop.store(true, Ordering::SeqCst);
    let mut answers = Vec::new();
    for other in others {
        answers.extend(other.join().map_err(|_| "a consumer failed")??);
    }
    let ran: HashSet<String> = fleet.runs().into_iter().map(|run| run.id).collect();
    let lost = |filed: &&Filed| !filed.whole && ran.contains(&filed.id);
    let lost: Vec<_> = answers.iter().filter(lost).collect();
    let closed = lost.iter().filter(|filed| filed.kept).count();
    let whole = answers.iter().filter(|filed| filed.whole).count();
    record.say(&format!(
        "of {} filed batches, {whole} got a whole answer; {} ran at a sound upstream and got none, {closed} of them on a kept connection that was closed, at most {MAX_CLOSED} may",
        answers.len(),
        lost.len()
    ));
    Ok(Outcome { broken: closed > MAX_CLOSED })
}

/// Answers each request after the same work, a GET with a report.
fn archive(report: Arc<str>) -> AnyBehaviour {
    Box::new(move |upstream, conn, head| {
        let body = read_body(&mut conn.input, head)?;
        let stamp = upstream.run(head, &body);
        thread::sleep(WORK);
        let text = if head.method() == "GET" { &report } else { "filed" };
        upstream.answer(conn, head, &stamp, text)?;
        Ok(Flow::Next)
    })
}
