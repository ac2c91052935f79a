use serde_json::{Value, json};

/// Services of the configuration, each with one route that callers use.
pub(crate) const SERVICES: usize = 7;

/// The service of the measured daemon's target.
pub(crate) const OWN_SERVICE: usize = 0;

/// The host of the routes that callers use.
pub(crate) const HOST: &str = "archive.example";

/// The name of a service.
pub(crate) fn service(idx: usize) -> String {
    format!("service{idx}")
}

/// The operator's configuration `number` with this many idle routes besides the used ones. Each number
/// changes one of the idle routes.
pub(crate) fn config(number: u64, idle: usize) -> Value {
    let services: Vec<_> =
        (0..SERVICES).map(|idx| json!({"name": service(idx), "health_path": "/health"})).collect();
    let used =
        (0..SERVICES).map(|idx| route(&format!("r-used{idx}"), &format!("/used{idx}/"), idx, 2000));
    let idle = (0..idle).map(|idx| {
        let changed = u64::try_from(idx).is_ok_and(|idx| idx == number % 700);
        let timeout = 1500 + if changed { number } else { 0 };
        (
            idx,
            route(
                &format!("r-idle{idx}"),
                &format!("/xapu{idx}/ny{}/", idx % 90),
                idx % SERVICES,
                timeout,
            ),
        )
    });
    let mut hosts = vec![json!({"host": HOST, "paths": used.collect::<Vec<_>>()})];
    let mut paths: Vec<Vec<Value>> = vec![Vec::new(); 40];
    for (idx, route) in idle {
        paths[idx % 40].push(route);
    }
    hosts.extend(
        paths
            .into_iter()
            .enumerate()
            .map(|(idx, paths)| json!({"host": format!("idle{idx}.example"), "paths": paths})),
    );
    json!({
        "version": format!("r{number}"),
        "services": services,
        "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
        "virtual_hosts": hosts,
    })
}

fn route(name: &str, prefix: &str, idx: usize, timeout: u64) -> Value {
    json!({
        "name": name, "path_prefix": prefix, "kind": "safe", "timeout_ms": timeout,
        "target_latency_ms": 250, "priority": 1, "service": service(idx), "max_attempts": 2,
    })
}
