//! A stand-in of an upstream: serves requests, and reports to the daemon on its machine.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{ask, read_body, read_head, request, Head, Server},
    record::Record,
};

/// A request that an upstream began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub instance: String,
    pub id: String,
    pub head: Head,
    pub body: Vec<u8>,
    pub stamp: String,
}

/// One start of the upstream.
#[derive(Clone, Debug)]
pub struct Lifetime {
    pub id: String,
    pub born: u64,
    pub seq: u64,
    pub up: bool,
    pub reporting: bool,
}

/// What a behaviour does with a connection after a request.
pub enum Flow {
    Next,
    Close,
}

/// The connection on which a request arrived.
pub struct Conn {
    pub input: BufReader<TcpStream>,
    pub out: TcpStream,
    /// Bytes that are sent before the next answer.
    pub stray: Vec<u8>,
}

type Behaviour = dyn Fn(&Arc<Upstream>, &mut Conn, &Head) -> io::Result<Flow> + Send + Sync;

pub struct Upstream {
    pub machine: String,
    pub service: String,
    zone: String,
    slots: u32,
    control: SocketAddr,
    heartbeat: Duration,
    server: Server,
    pub life: Mutex<Lifetime>,
    pub runs: Mutex<Vec<Run>>,
    pub record: Arc<Record>,
    behaviour: Box<Behaviour>,
}

static STARTS: AtomicU64 = AtomicU64::new(1);
static STAMPS: AtomicU64 = AtomicU64::new(1);

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn new_life(machine: &str) -> Lifetime {
    let count = STARTS.fetch_add(1, Ordering::SeqCst);
    let id = format!("i-{machine}-{count}");
    Lifetime { id, born: unix_ms(), seq: 0, up: true, reporting: true }
}

pub struct Place {
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub control: SocketAddr,
}

impl Upstream {
    pub fn start(
        place: Place,
        slots: u32,
        heartbeat: Duration,
        record: Arc<Record>,
        behaviour: Box<Behaviour>,
    ) -> io::Result<Arc<Self>> {
        let upstream = Arc::new(Self {
            life: Mutex::new(new_life(&place.machine)),
            machine: place.machine,
            service: place.service,
            zone: place.zone,
            slots,
            control: place.control,
            heartbeat,
            server: Server::new(place.addr),
            runs: Mutex::default(),
            record,
            behaviour,
        });
        upstream.open()?;
        let reporter = upstream.clone();
        thread::spawn(move || loop {
            let reports = {
                let life = reporter.life.lock().unwrap();
                life.up && life.reporting
            };
            if reports {
                reporter.report("ready");
            }
            thread::sleep(reporter.heartbeat);
        });
        Ok(upstream)
    }

    fn open(self: &Arc<Self>) -> io::Result<()> {
        let upstream = self.clone();
        self.server.open(move |stream| upstream.serve(stream))
    }

    pub fn id(&self) -> String {
        self.life.lock().unwrap().id.clone()
    }

    /// Sends one report; returns the status of the answer, 0 without one.
    pub fn report(&self, state: &str) -> u16 {
        let (path, body) = {
            let mut life = self.life.lock().unwrap();
            life.seq += 1;
            let body = format!(
                r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"{state}","seq":{},"cold_left_ms":0}}}}"#,
                self.server.addr, life.born, self.service, self.zone, self.slots, life.seq
            );
            (format!("/-/instances/{}", life.id), body)
        };
        let host = self.control.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let data = request("PUT", &path, &headers, body.as_bytes());
        ask(self.control, &data, Duration::from_secs(1)).map_or(0, |a| a.head.status())
    }

    /// Ends at once, and starts again after `pause` under a new id.
    pub fn crash(self: &Arc<Self>, pause: Duration) {
        let old = {
            let mut life = self.life.lock().unwrap();
            if !life.up {
                return;
            }
            life.up = false;
            life.id.clone()
        };
        self.record.line(&format!("upstream {old} on {} crashes", self.machine));
        let upstream = self.clone();
        thread::spawn(move || {
            upstream.server.close();
            thread::sleep(pause);
            *upstream.life.lock().unwrap() = new_life(&upstream.machine);
            let id = upstream.id();
            upstream.record.line(&format!("upstream {id} on {} starts", upstream.machine));
            if upstream.open().is_err() {
                upstream.record.line(&format!("upstream {id} cannot listen"));
            }
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let Ok(out) = stream.try_clone() else { return };
        let mut conn = Conn { input: BufReader::new(stream), out, stray: Vec::new() };
        while let Ok(head) = read_head(&mut conn.input) {
            let id = self.id();
            if head.get("x-damaskwick-target-instance").is_some_and(|wanted| wanted != id) {
                let _ = read_body(&mut conn.input, &head);
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Damaskwick-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                if conn.out.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            match (self.behaviour)(self, &mut conn, &head) {
                Ok(Flow::Next) => {}
                _ => break,
            }
        }
        let _ = conn.out.shutdown(std::net::Shutdown::Both);
    }

    /// Records that a request is run; returns the stamp of its answer.
    pub fn run(&self, head: &Head, body: &[u8]) -> String {
        let instance = self.id();
        let id = head.get("x-damaskwick-request-id").unwrap_or("-").to_owned();
        let stamp = format!("{instance}.{}", STAMPS.fetch_add(1, Ordering::SeqCst));
        let text = format!(
            "upstream {instance} ({}) runs request {id}: {} (caller service {}, {} bytes) stamp {stamp}",
            self.service,
            head.first,
            head.get("x-damaskwick-caller-service").unwrap_or("-"),
            body.len()
        );
        self.record.line(&text);
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            instance,
            id,
            head: head.clone(),
            body: body.to_vec(),
            stamp: stamp.clone(),
        });
        stamp
    }

    /// The usual answer to a request that was run.
    pub fn answer(&self, conn: &mut Conn, head: &Head, stamp: &str, body: &str) -> io::Result<()> {
        let id = head.get("x-damaskwick-request-id").unwrap_or("-");
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Damaskwick-Request-Id: {id}\r\nX-Damaskwick-Response-Stamp: {stamp}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        conn.out.write_all(text.as_bytes())
    }
}

/// Runs each request for `work` and answers it.
pub fn sound(work: Duration) -> Box<Behaviour> {
    Box::new(move |upstream, conn, head| {
        let body = read_body(&mut conn.input, head)?;
        let stamp = upstream.run(head, &body);
        thread::sleep(work);
        let text = format!("done {}", head.get("x-damaskwick-request-id").unwrap_or("-"));
        upstream.answer(conn, head, &stamp, &text)?;
        Ok(Flow::Next)
    })
}

pub type AnyBehaviour = Box<Behaviour>;
