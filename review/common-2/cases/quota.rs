//! QUOTA: all processes are killed while a tenant sends more than its allotment.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use super::{message, new_id, CLIENT_WAIT};
use crate::{
    fleet::{config, Fleet, Result, Route, KEY},
    http::Client,
    record::Record,
    upstream::sound,
    Outcome,
};

const TENANTS: &str = r#"[{"name":"press","api_keys":["k-press-4711"],"rate_per_s":20,"burst":1}]"#;

/// `quota_window_s`, and (20 x 5 + 1) x 1.1 + 20.
const WINDOW_S: f64 = 5.0;
const MOST: usize = 131;

/// Each of 28 consumers sends a request in this time: 9.3 times the allotment.
const INTERVAL: Duration = Duration::from_millis(150);

pub fn run(trouble: bool, record: Arc<Record>) -> Result<Outcome> {
    let routes = [Route {
        name: "r-order",
        prefix: "/order/",
        kind: "unsafe",
        service: "ufleba",
        timeout_ms: 2000,
        target_ms: 300,
        max_attempts: 1,
        public: false,
    }];
    let zones = ["tbs-a", "tbs-b", "tbs-c"];
    let service = |idx| if idx < 4 { "ufleba" } else { "katalogi" };
    let places: Vec<_> = (0..14).map(|idx| (zones[idx % 3], service(idx))).collect();
    let first = config(7, &["katalogi", "ufleba"], &routes, TENANTS);
    let work = Duration::from_millis(5);
    let mut fleet = Fleet::start(&places, &first, record.clone(), |_, _| sound(work))?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for machine in fleet.machines.iter().chain(&fleet.machines) {
        let (addr, stop) = (machine.outbound(), stop.clone());
        consumers.push(thread::spawn(move || {
            let mut client = Client::connect(addr).ok();
            while !stop.load(Ordering::SeqCst) {
                let id = new_id("order");
                let key = [KEY];
                let data = message("POST", "/order/1", &id, "2000", &key, b"one print");
                let answer = client.as_mut().and_then(|c| c.ask(&data, CLIENT_WAIT).ok());
                if answer.is_none() {
                    client = Client::connect(addr).ok();
                }
                thread::sleep(INTERVAL);
            }
        }));
    }
    thread::sleep(Duration::from_secs(8));
    if trouble {
        record.line("all processes are killed");
        fleet.machines.iter_mut().for_each(|machine| machine.kill());
        thread::sleep(Duration::from_secs(1));
        fleet.machines.iter_mut().try_for_each(|machine| machine.start())?;
        record.line("all processes are started again");
    }
    thread::sleep(Duration::from_secs(12));
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        consumer.join().map_err(|_| "a consumer failed")?;
    }
    let times = fleet.runs().into_iter().map(|run| run.at.duration_since(record.started));
    let times: Vec<f64> = times.map(|at| at.as_secs_f64()).collect();
    let within =
        |from: f64| times.iter().filter(|at| (from..from + WINDOW_S).contains(*at)).count();
    let most = times.iter().map(|from| within(*from)).max().unwrap_or(0);
    record
        .say(&format!("in the fullest 5 s, {most} requests of the tenant ran, at most {MOST} may"));
    Ok(Outcome { broken: most > MOST })
}
