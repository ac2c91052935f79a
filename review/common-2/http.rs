//! HTTP/1.1 over blocking sockets, for the stand-ins and the clients.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// The path with the query.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }
}

pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(head);
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length, or in chunks. Without either it is empty.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// A listener with a thread for each connection; it can be closed and opened again, like a process that
/// ends and starts again.
pub struct Server {
    pub addr: SocketAddr,
    open: Mutex<Option<Running>>,
}

struct Running {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, open: Mutex::new(None) }
    }

    pub fn open(&self, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<()> {
        let listener = TcpListener::bind(self.addr)?;
        listener.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, known, serve) = (stop.clone(), streams.clone(), Arc::new(serve));
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                        if let Ok(copy) = stream.try_clone() {
                            known.lock().unwrap().push(copy);
                        }
                        let serve = serve.clone();
                        thread::spawn(move || serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        *self.open.lock().unwrap() = Some(Running { stop, thread, streams });
        Ok(())
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        let Some(running) = self.open.lock().unwrap().take() else { return };
        running.stop.store(true, Ordering::SeqCst);
        let _ = running.thread.join();
        for stream in running.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// What a client got for a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub whole: bool,
}

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(data)
    }

    /// Reads one answer; an error if none arrives in time.
    pub fn receive(&mut self, wait: Duration) -> io::Result<Answer> {
        self.stream.get_mut().set_read_timeout(Some(wait))?;
        let head = read_head(&mut self.stream)?;
        let framed =
            head.get("content-length").is_some() || head.get("transfer-encoding").is_some();
        let body = match framed {
            true => read_body(&mut self.stream, &head),
            false => Ok(Vec::new()),
        };
        let whole = body.is_ok();
        Ok(Answer { head, body: body.unwrap_or_default(), whole })
    }

    /// Sends one request and reads its answer.
    pub fn ask(&mut self, data: &[u8], wait: Duration) -> io::Result<Answer> {
        self.send(data)?;
        self.receive(wait)
    }
}

/// Sends one request on a connection of its own.
pub fn ask(addr: SocketAddr, data: &[u8], wait: Duration) -> io::Result<Answer> {
    Client::connect(addr)?.ask(data, wait)
}

/// The bytes of a request with a body of known length.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}
