//! A stand-in of the platform's metadata store, as PROTOCOL.md describes it, without faults.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_body, read_head, Head, Server},
    json::{base64, Json},
};

#[derive(Clone)]
struct Item {
    /// In base64, as on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

impl State {
    fn change(&mut self, key: &str, value: Option<(String, i64)>) {
        let revision = self.revision;
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(revision, |old| old.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push((revision, key.to_owned(), item));
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<i64> =
            self.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            self.leases.remove(id);
            self.remove_leased(*id);
        }
        !ended.is_empty()
    }

    fn remove_leased(&mut self, id: i64) {
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.change(&key, None);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let key = Json::Text(key.to_owned());
    format!(
        r#"{{"key":{key},"value":"{}","revision":{},"created_rev":{},"lease_id":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    server: Server,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Arc<Self>> {
        let state = State { revision: 1, next_lease: 100, ..State::default() };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            server: Server::new(addr),
        });
        let weak = Arc::downgrade(&store);
        store.server.open(move |stream| {
            if let Some(store) = weak.upgrade() {
                store.serve(stream);
            }
        })?;
        let weak = Arc::downgrade(&store);
        thread::spawn(move || {
            while let Some(store) = weak.upgrade() {
                if store.state.lock().unwrap().expire() {
                    store.changed.notify_all();
                }
                drop(store);
                thread::sleep(Duration::from_millis(20));
            }
        });
        Ok(store)
    }

    /// The operator writes a key.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.change(key, Some((base64(value.as_bytes()), 0)));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(head) = read_head(&mut input) {
            let Ok(body) = read_body(&mut input, &head) else { return };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let path = head.target().split('?').next().unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        state.expire();
        match (head.method(), path.as_str()) {
            ("GET", "/-/kv-key") => {
                let key = head.query("key").unwrap_or_default();
                match state.items.get(key) {
                    Some(item) => {
                        let text = item_json(key, item);
                        let at = format!(",\"at\":{}}}", state.revision);
                        (200, text.trim_end_matches('}').to_owned() + &at)
                    }
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/-/kv-range") => {
                let prefix = head.query("path_prefix").unwrap_or_default();
                let after = head.query("after").unwrap_or_default();
                let items = state.items.iter();
                let items = items.filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
                let items: Vec<_> = items.map(|(k, i)| item_json(k, i)).collect();
                let (at, items) = (state.revision, items.join(","));
                (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
            }
            ("GET", "/-/kv-watch") => {
                let prefix = head.query("path_prefix").unwrap_or_default().to_owned();
                let after = head.query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait = head.query("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events = state.history.iter();
                    let events: Vec<String> = events
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(
                                r#"{{"key":{},"revision":{revision},"deleted":true}}"#,
                                Json::Text(key.clone())
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (at, events) = (state.revision, events.join(","));
                        return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let Some(txn) = Json::parse(body) else { return (400, "{}".into()) };
                let list = |name: &str| txn.get(name).map(Json::list).unwrap_or_default().to_vec();
                let mut conflict = false;
                let mut items = Vec::new();
                for row in list("expect") {
                    let key = row.get("key").and_then(Json::text).unwrap_or_default();
                    let wanted = row.get("revision").and_then(Json::num).unwrap_or(0.0) as u64;
                    let item = state.items.get(key);
                    conflict |= item.map_or(0, |item| item.revision) != wanted;
                    items.extend(item.map(|item| item_json(key, item)));
                }
                if conflict {
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let lease_of =
                    |row: &Json| row.get("lease_id").and_then(Json::num).unwrap_or(0.0) as i64;
                let sets = list("set_keys");
                let gone = |id: &i64| *id != 0 && !state.leases.contains_key(id);
                if sets.iter().map(lease_of).any(|id| gone(&id)) {
                    return (404, "{}".into());
                }
                let own = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
                if sets.iter().any(|r| r.get("key").and_then(Json::text).is_some_and(own)) {
                    return (403, "{}".into());
                }
                state.revision += 1;
                for row in &sets {
                    let key = row.get("key").and_then(Json::text).unwrap_or_default();
                    let value = row.get("value").and_then(Json::text).unwrap_or_default();
                    state.change(key, Some((value.to_owned(), lease_of(row))));
                }
                for key in list("remove") {
                    if let Some(key) = key.text().filter(|key| state.items.contains_key(*key)) {
                        state.change(key, None);
                    }
                }
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/-/kv-lease") => {
                let ttl = Json::parse(body).and_then(|b| b.get("ttl_ms")?.num()).unwrap_or(0.0);
                let ttl = Duration::from_millis(ttl.clamp(1000.0, 600_000.0) as u64);
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease_id\":{id},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            (method, path) => {
                let id = path.rsplit('/').next().and_then(|id| id.parse::<i64>().ok());
                let Some((id, lease)) =
                    id.and_then(|id| state.leases.get_mut(&id).map(|lease| (id, lease)))
                else {
                    return (404, "{}".into());
                };
                if method == "POST" && path.starts_with("/-/kv-keep/") {
                    lease.1 = Instant::now() + lease.0;
                    return (200, format!("{{\"ttl_ms\":{}}}", lease.0.as_millis()));
                }
                state.leases.remove(&id);
                state.remove_leased(id);
                self.changed.notify_all();
                (200, "{}".into())
            }
        }
    }
}
