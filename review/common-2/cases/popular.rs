//! Starved: two upstreams crash while many consumers ask for one path with different queries.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{message, new_id, CLIENT_WAIT};
use crate::{
    fleet::{config, Fleet, Result, Route, KEY, TENANTS},
    http::Client,
    record::Record,
    upstream::sound,
    Outcome,
};

const LENGTH: Duration = Duration::from_secs(30);
const CRASH_AT: Duration = Duration::from_secs(3);
/// Time after a crash until the upstream is back.
const DOWN: Duration = Duration::from_secs(4);
/// From here on, the upstreams have been back for long.
const JUDGED_FROM: Duration = Duration::from_secs(15);

pub fn run(trouble: bool, record: Arc<Record>) -> Result<Outcome> {
    let route = |name, prefix| Route {
        name,
        prefix,
        kind: "safe",
        service: "katalogi",
        timeout_ms: 3000,
        target_ms: 500,
        max_attempts: 2,
        public: false,
    };
    let routes = [route("r-search", "/search/"), route("r-copies", "/copies/")];
    let zones = ["tbs-a", "tbs-b", "tbs-c"];
    let mut places: Vec<_> = (0..13).map(|idx| (zones[idx % 3], "katalogi")).collect();
    places.push(("tbs-a", "ufleba"));
    let first = config(7, &["katalogi", "ufleba"], &routes, TENANTS);
    let work = Duration::from_millis(60);
    let fleet = Fleet::start(&places, &first, record.clone(), |_, _| sound(work))?;
    let start = Instant::now();
    let results: Arc<Mutex<Vec<(Duration, &str, u16)>>> = Arc::default();
    let mut consumers = Vec::new();
    for idx in 0..84 {
        let addr = fleet.machines[idx % fleet.machines.len()].outbound();
        let kind = if idx % 3 == 0 { "copies" } else { "search" };
        let results = results.clone();
        consumers.push(thread::spawn(move || {
            let mut client = Client::connect(addr).ok();
            while start.elapsed() < LENGTH {
                let id = new_id(kind);
                let path = match kind {
                    "search" => format!("/search/titles?q={id}"),
                    _ => format!("/copies/{id}"),
                };
                let data = message("GET", &path, &id, "3000", &[KEY], b"");
                let at = start.elapsed();
                let answer = client.as_mut().and_then(|c| c.ask(&data, CLIENT_WAIT).ok());
                let status = answer.map_or(0, |answer| answer.head.status());
                if status != 200 {
                    client = Client::connect(addr).ok();
                    thread::sleep(Duration::from_millis(50));
                }
                results.lock().unwrap().push((at, kind, status));
            }
        }));
    }
    thread::sleep(CRASH_AT);
    if trouble {
        // A share of 0.15 of the 13 upstreams, both in one zone.
        fleet.upstreams[0].crash(DOWN);
        fleet.upstreams[3].crash(DOWN);
    }
    for consumer in consumers {
        consumer.join().map_err(|_| "a consumer failed")?;
    }
    let results = results.lock().unwrap();
    for second in 0..LENGTH.as_secs() {
        let mut counts: HashMap<(&str, u16), usize> = HashMap::new();
        for (_, kind, status) in results.iter().filter(|(at, ..)| at.as_secs() == second) {
            *counts.entry((*kind, *status)).or_default() += 1;
        }
        record.line(&format!("second {second}: {counts:?}"));
    }
    let share = |kind: Option<&str>| {
        let late = results
            .iter()
            .filter(|(at, own, _)| *at >= JUDGED_FROM && kind.is_none_or(|kind| kind == *own));
        let (all, served) = late.fold((0.0, 0.0), |(all, served), (_, _, status)| {
            (all + 1.0, served + f64::from(u8::from(*status == 200)))
        });
        served / f64::max(all, 1.0)
    };
    let (search, all) = (share(Some("search")), share(None));
    record.say(&format!(
        "later than {} s, {:.3} of the searches were served and {all:.3} of all requests",
        JUDGED_FROM.as_secs(),
        search
    ));
    Ok(Outcome { broken: search < all / 4.0 })
}
