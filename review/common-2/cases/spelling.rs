//! CONFIG: the operator adds a virtual host whose name has a capital letter.

use std::{sync::Arc, thread, time::Duration};

use super::{message, new_id, send, CONFIG_APPLY};
use crate::{
    fleet::{config, Fleet, Result, Route, SMALL},
    http::Client,
    record::Record,
    upstream::sound,
    Outcome,
};

pub fn run(trouble: bool, record: Arc<Record>) -> Result<Outcome> {
    let routes = |service| {
        [Route {
            name: "r-credit",
            prefix: "/credit/",
            kind: "unsafe",
            service,
            timeout_ms: 1500,
            target_ms: 250,
            max_attempts: 2,
        }]
    };
    let services = ["ledger", "clearing"];
    let places = [
        ("zone-a", "ledger"),
        ("zone-b", "ledger"),
        ("zone-a", "clearing"),
        ("zone-b", "clearing"),
    ];
    let first = config(7, &services, &routes("ledger"), None);
    let work = Duration::from_millis(5);
    let fleet = Fleet::start(&places, SMALL, &first, record.clone(), |_, _| sound(work))?;
    let host = if trouble { "Desk2.example" } else { "desk2.example" };
    let added = format!(
        r#"{{"host":"{host}","paths":[{{"name":"r-desk","path_prefix":"/desk/","kind":"safe","timeout_ms":1200,"target_latency_ms":200,"priority":1,"service":"ledger","max_attempts":2}}]}}"#
    );
    for version in [9, 12] {
        let text = config(version, &services, &routes("clearing"), None);
        let hosts = text.strip_suffix("]}").ok_or("the configuration has another shape")?;
        fleet.store.put("op/config", &format!("{hosts},{added}]}}"));
        record.line(&format!(
            "version r{version} is acknowledged: /credit/ moves to clearing, and host {host} is added"
        ));
        thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    }
    let mut ids = Vec::new();
    for machine in fleet.machines.iter().cycle().take(20) {
        let id = new_id("credit");
        let data = message("POST", "/credit/post", &id, "1500", &[], b"3 copies");
        let mut client = Client::connect(machine.outbound())?;
        send(&mut client, &record, &machine.name, &id, &data)?;
        ids.push(id);
    }
    let old = fleet.upstreams.iter().filter(|upstream| upstream.service == "ledger");
    let old: Vec<_> = old.flat_map(|upstream| upstream.runs.lock().unwrap().clone()).collect();
    let old = old.iter().filter(|run| ids.contains(&run.id)).count();
    record.say(&format!(
        "of 20 requests sent later than config_apply_ms after the ack of r12, {old} were run by the service of r7"
    ));
    Ok(Outcome { broken: old > 0 })
}
