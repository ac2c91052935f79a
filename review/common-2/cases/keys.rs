//! ROUTE, UNASKED, CONFIG: the operator takes away the keys of the only tenant.

use std::{collections::HashMap, sync::Arc, thread, time::Duration};

use super::{message, new_id, send};
use crate::{
    fleet::{config, Fleet, Result, Route, TENANTS},
    http::Client,
    record::Record,
    upstream::sound,
    Outcome,
};

/// `revoke_ms` of the settings, which is longer than `config_apply_ms`.
const REVOKE: Duration = Duration::from_millis(5000);

const HELD: &str = "k-press-4711";
const NEVER_HELD: &str = "k-never-held";

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
    let services = ["katalogi", "ufleba"];
    let places = [("tbs-a", "katalogi"), ("tbs-b", "ufleba"), ("tbs-c", "ufleba")];
    let first = config(7, &services, &routes, TENANTS);
    let work = Duration::from_millis(5);
    let fleet = Fleet::start(&places, &first, record.clone(), |_, _| sound(work))?;
    let mut labels: HashMap<String, &str> = HashMap::new();
    let mut order = |client: &mut Client, machine: &str, label: &'static str, key: Option<&str>| {
        let id = new_id(label);
        let bearer = key.map(|key| format!("Bearer {key}"));
        let more: Vec<_> = bearer.iter().map(|value| ("Authorization", value.as_str())).collect();
        let data = message("POST", "/order/1", &id, "2000", &more, b"one print");
        labels.insert(id.clone(), label);
        send(client, &record, machine, &id, &data).map(|answer| answer.head.status())
    };
    // The connections stay open over the change.
    let mut clients = Vec::new();
    for machine in &fleet.machines {
        let mut client = Client::connect(machine.outbound())?;
        if order(&mut client, &machine.name, "before", Some(HELD))? != 200 {
            return Err("a valid key is refused before the change".into());
        }
        if order(&mut client, &machine.name, "before", Some(NEVER_HELD))? != 401 {
            return Err("an unknown key is accepted before the change".into());
        }
        clients.push(client);
    }
    let tenants = if trouble { "[]" } else { TENANTS };
    fleet.store.put("op/config", &config(9, &services, &routes, tenants));
    record.line(&format!("version r9 is acknowledged, with tenants {tenants}"));
    thread::sleep(REVOKE + Duration::from_secs(1));
    for _ in 0..5 {
        for (machine, client) in fleet.machines.iter().zip(&mut clients) {
            order(client, &machine.name, "first-key", Some(HELD))?;
            order(client, &machine.name, "never-held", Some(NEVER_HELD))?;
            order(client, &machine.name, "no-key", None)?;
        }
    }
    let runs = fleet.runs();
    let count = |label: &str| {
        runs.iter().filter(|run| labels.get(&run.id).is_some_and(|own| *own == label)).count()
    };
    let passed_on = runs.iter().filter(|run| run.head.get("authorization").is_some()).count();
    let (first_key, never_held, no_key) =
        (count("first-key"), count("never-held"), count("no-key"));
    record.say(&format!(
        "sent 6 s after the ack, of 15 each: {first_key} ran with the key of the first version, {never_held} with a key that no version held, {no_key} without a key; {passed_on} keys were passed on to upstreams"
    ));
    // Without the change the key of the first version stays valid.
    let dropped = trouble && first_key > 0;
    Ok(Outcome { broken: dropped || never_held > 0 || passed_on > 0 })
}
