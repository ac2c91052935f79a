//! CONFIG: the operator adds a virtual host whose name has a capital letter.

use std::{sync::Arc, thread, time::Duration};

use super::{message, new_id, send, CONFIG_APPLY};
use crate::{
    fleet::{config, Fleet, Result, Route, KEY, TENANTS},
    http::Client,
    record::Record,
    upstream::sound,
    Outcome,
};

pub fn run(trouble: bool, record: Arc<Record>) -> Result<Outcome> {
    let routes = |service| {
        [Route {
            name: "r-deposit",
            prefix: "/deposit/",
            kind: "unsafe",
            service,
            timeout_ms: 4000,
            target_ms: 1200,
            max_attempts: 2,
            public: false,
        }]
    };
    let services = ["shemosvla", "ufleba"];
    let places =
        [("tbs-a", "shemosvla"), ("tbs-b", "shemosvla"), ("tbs-a", "ufleba"), ("tbs-b", "ufleba")];
    let first = config(7, &services, &routes("shemosvla"), TENANTS);
    let work = Duration::from_millis(5);
    let fleet = Fleet::start(&places, &first, record.clone(), |_, _| sound(work))?;
    let host = if trouble { "Desk2.example" } else { "desk2.example" };
    let added = format!(
        r#"{{"host":"{host}","paths":[{{"name":"r-desk","path_prefix":"/desk/","kind":"safe","timeout_ms":1200,"target_latency_ms":200,"priority":1,"service":"shemosvla","max_attempts":2}}]}}"#
    );
    for version in [9, 12] {
        let text = config(version, &services, &routes("ufleba"), TENANTS);
        let end = r#"],"tenants""#;
        let (hosts, rest) = text.split_once(end).ok_or("the configuration has another shape")?;
        fleet.store.put("op/config", &format!("{hosts},{added}{end}{rest}"));
        record.line(&format!(
            "version r{version} is acknowledged: /deposit/ moves to ufleba, and host {host} is added"
        ));
        thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    }
    let mut ids = Vec::new();
    for machine in fleet.machines.iter().cycle().take(20) {
        let id = new_id("deposit");
        let data = message("POST", "/deposit/1", &id, "4000", &[KEY], b"a scan");
        let mut client = Client::connect(machine.outbound())?;
        send(&mut client, &record, &machine.name, &id, &data)?;
        ids.push(id);
    }
    let old = fleet.upstreams.iter().filter(|upstream| upstream.service == "shemosvla");
    let old: Vec<_> = old.flat_map(|upstream| upstream.runs.lock().unwrap().clone()).collect();
    let old = old.iter().filter(|run| ids.contains(&run.id)).count();
    record.say(&format!(
        "of 20 requests sent later than config_apply_ms after the ack of r12, {old} were run by the service of r7"
    ));
    Ok(Outcome { broken: old > 0 })
}
