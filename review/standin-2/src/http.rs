//! HTTP/1.1 over blocking sockets: a server with one thread a connection, and a client.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// What the server does after a request.
pub enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection is closed without an answer.
    Close,
    /// The answer is lost: the connection stays open and returns nothing further.
    Silence,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// A listener. `is_up` is cleared to refuse connections and to close those that are open.
pub struct Server {
    pub address: SocketAddr,
    pub is_up: Arc<AtomicBool>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> Server {
        let listener = TcpListener::bind(address).expect("binding a listener");
        let address = listener.local_addr().expect("the address of a listener");
        let is_up = Arc::new(AtomicBool::new(true));
        let is_up_there = is_up.clone();
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        thread::spawn(move || {
            while is_up_there.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let handler = handler.clone();
                        let is_up = is_up_there.clone();
                        thread::spawn(move || serve(stream, &handler, &is_up));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1))
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Server { address, is_up }
    }

    pub fn stop(&self) {
        self.is_up.store(false, Ordering::Relaxed);
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, is_up: &AtomicBool) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut inbox = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut inbox, is_up) else {
            return;
        };
        let reply = handler(&request);
        if !is_up.load(Ordering::Relaxed) {
            return;
        }
        match reply {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Silence => {
                // Nothing further comes over this connection; it ends when the caller closes it.
                let mut buffer = [0; 1024];
                while is_up.load(Ordering::Relaxed) {
                    match stream.read(&mut buffer) {
                        Ok(0) => return,
                        Ok(_) => {}
                        Err(error) if is_timeout(&error) => {}
                        Err(_) => return,
                    }
                }
                return;
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

fn read_request(
    stream: &mut TcpStream,
    inbox: &mut Vec<u8>,
    is_up: &AtomicBool,
) -> Option<Request> {
    loop {
        if let Some((head, length)) = split_head(inbox) {
            let total = head.len() + 4 + length;
            if inbox.len() >= total {
                let body = inbox[head.len() + 4..total].to_vec();
                inbox.drain(..total);
                return parse_head(&head, body);
            }
        }
        if !is_up.load(Ordering::Relaxed) {
            return None;
        }
        let mut buffer = [0; 65_536];
        match stream.read(&mut buffer) {
            Ok(0) => return None,
            Ok(count) => inbox.extend_from_slice(&buffer[..count]),
            Err(error) if is_timeout(&error) => {}
            Err(_) => return None,
        }
    }
}

fn split_head(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut length = 0;
    for line in head.lines().skip(1) {
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    Some((head, length))
}

fn parse_head(head: &str, body: Vec<u8>) -> Option<Request> {
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    words.next()?;
    let target = words.next()?.to_string();
    let (path, query_text) = target.split_once('?').unwrap_or((&target, ""));
    let mut query = HashMap::new();
    for pair in query_text.split('&') {
        if let Some((key, value)) = pair.split_once('=') {
            query.insert(key.to_string(), unescape(value));
        }
    }
    let mut headers = HashMap::new();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    Some(Request {
        path: path.to_string(),
        query,
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What became of a client's request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Answer(u16, String),
    /// The connection could not be opened, or broke.
    Broken,
    /// The client left after its time.
    Left,
}

/// Sends one request over a connection of its own, and leaves after `patience`.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    patience: Duration,
    told: Duration,
) -> Outcome {
    let until = Instant::now() + patience;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, patience) else {
        return Outcome::Broken;
    };
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nDeadline-Remaining: {}\r\nContent-Length: {}\r\n\r\n{body}",
        told.as_millis(),
        body.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return Outcome::Broken;
    }
    let mut inbox = Vec::new();
    loop {
        if let Some((head, length)) = split_head(&inbox)
            && inbox.len() >= head.len() + 4 + length
        {
            let status = head
                .split(' ')
                .nth(1)
                .and_then(|word| word.parse().ok())
                .unwrap_or(0);
            let body = String::from_utf8_lossy(&inbox[head.len() + 4..]).into_owned();
            return Outcome::Answer(status, body);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Outcome::Left;
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut buffer = [0; 16_384];
        match stream.read(&mut buffer) {
            Ok(0) => return Outcome::Broken,
            Ok(count) => inbox.extend_from_slice(&buffer[..count]),
            Err(error) if is_timeout(&error) => {}
            Err(_) => return Outcome::Broken,
        }
    }
}
