//! LOST: consumers that stop reading their answers keep those of others from arriving.

use std::{
    collections::HashSet,
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use super::{message, new_id, send};
use crate::{
    fleet::{config, Fleet, Result, Route, KEY, TENANTS},
    http::{read_body, Client},
    record::Record,
    upstream::{AnyBehaviour, Flow},
    Outcome,
};

/// The size of a print proof. It exceeds what the sockets between a daemon and a consumer hold, and takes a third of
/// a second on a link of the site.
const PROOF_BYTES: usize = 8 << 20;

/// Consumers on one machine that ask for proofs, a quarter of those there.
const READERS: usize = 10;

/// Time from one request of such a consumer to the next.
const PROOF_PAUSE: Duration = Duration::from_secs(4);

/// The others there, which send orders on kept connections.
const OTHERS: usize = 30;

/// Time limit of a request for a proof.
const PROOF_LIMIT: Duration = Duration::from_millis(3000);

const LENGTH: Duration = Duration::from_secs(20);

const WORK: Duration = Duration::from_millis(20);

/// Connections that may be closed without an answer.
const MAX_CLOSED: usize = 3;

/// An order that a consumer sent.
struct Order {
    id: String,
    /// The status of the answer, 0 without one.
    status: u16,
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
        service: "katalogi",
        timeout_ms,
        target_ms: 300,
        max_attempts: 2,
        public: false,
    };
    let routes =
        [route("r-proof", "/proof/", "safe", 3000), route("r-order", "/order/", "unsafe", 2000)];
    let zones = ["tbs-a", "tbs-b", "tbs-c"];
    let places: Vec<_> = (0..6).map(|idx| (zones[idx % 3], "katalogi")).collect();
    let first = config(7, &["katalogi"], &routes, TENANTS);
    let proof: Arc<str> = "r".repeat(PROOF_BYTES).into();
    let fleet = Fleet::start(&places, &first, record.clone(), |_, _| prints(proof.clone()))?;
    let machine = &fleet.machines[0];
    let stop = Arc::new(AtomicBool::new(false));
    for _ in 0..READERS {
        let (addr, name) = (machine.outbound(), machine.name.clone());
        let (record, stop) = (record.clone(), stop.clone());
        thread::spawn(move || -> io::Result<()> {
            while !stop.load(Ordering::SeqCst) {
                let id = new_id("proof");
                let path = format!("/proof/{id}");
                let data = message("GET", &path, &id, "3000", &[KEY], b"");
                let next = Instant::now() + PROOF_PAUSE;
                let mut client = Client::connect(addr)?;
                if trouble {
                    // It stops before it reads, and leaves at its time limit.
                    record.line(&format!("request {id} sent to {name}: GET {path}; not read"));
                    client.send(&data)?;
                    thread::sleep(PROOF_LIMIT);
                } else {
                    let _ = send(&mut client, &record, &name, &id, &data);
                }
                drop(client);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            Ok(())
        });
    }
    thread::sleep(Duration::from_secs(1));
    let others: Vec<_> = (0..OTHERS)
        .map(|_| {
            let (addr, name) = (machine.outbound(), machine.name.clone());
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || -> io::Result<Vec<Order>> {
                let mut client = Client::connect(addr)?;
                let mut answers = Vec::new();
                let mut kept = false;
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id("order");
                    let path = format!("/order/{id}");
                    let data = message("POST", &path, &id, "2000", &[KEY], b"one print");
                    let answer = send(&mut client, &record, &name, &id, &data);
                    let (status, whole) =
                        answer.map_or((0, false), |answer| (answer.head.status(), answer.whole));
                    answers.push(Order { id, status, whole, kept });
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
    let lost = |order: &&Order| !order.whole && ran.contains(&order.id);
    let lost: Vec<_> = answers.iter().filter(lost).collect();
    let closed = lost.iter().filter(|order| order.kept).count();
    let served = answers.iter().filter(|order| order.whole && order.status == 200).count();
    record.say(&format!(
        "of {} orders, {served} were served; {} ran at a sound upstream and got no whole answer, {closed} of them on a kept connection that was closed, at most {MAX_CLOSED} may",
        answers.len(),
        lost.len()
    ));
    Ok(Outcome { broken: closed > MAX_CLOSED })
}

/// Answers each request after the same work, a GET with a proof.
fn prints(proof: Arc<str>) -> AnyBehaviour {
    Box::new(move |upstream, conn, head| {
        let body = read_body(&mut conn.input, head)?;
        let stamp = upstream.run(head, &body);
        thread::sleep(WORK);
        let text = if head.method() == "GET" { &proof } else { "ordered" };
        upstream.answer(conn, head, &stamp, text)?;
        Ok(Flow::Next)
    })
}
