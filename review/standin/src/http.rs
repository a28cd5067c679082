//! A small HTTP/1.1 server and client on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// An answer; `None` stands for no answer at all: the connection stays open and silent.
pub type Answer = Option<(u16, &'static str, Vec<u8>)>;

/// Serves an address until it is closed. Closing resets all connections.
pub struct Server {
    pub address: SocketAddr,
    generation: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    handler: Arc<dyn Fn(&Request) -> Answer + Send + Sync>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: Arc<dyn Fn(&Request) -> Answer + Send + Sync>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            address: listener.local_addr()?,
            generation: Arc::new(AtomicU64::new(0)),
            open: Arc::default(),
            handler,
        };
        server.accept(listener);
        Ok(server)
    }

    fn accept(&self, listener: TcpListener) {
        let generation = self.generation.clone();
        let number = generation.load(Ordering::SeqCst);
        let (open, handler) = (self.open.clone(), self.handler.clone());
        listener.set_nonblocking(true).expect("listener");
        thread::spawn(move || {
            while generation.load(Ordering::SeqCst) == number {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, generation) = (handler.clone(), generation.clone());
                thread::spawn(move || {
                    let _ = serve(stream, &handler, &generation, number);
                });
            }
        });
    }

    /// Closes the listener and all connections, like a process that is killed.
    pub fn close(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Listens again at the same address.
    pub fn reopen(&self) {
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.accept(listener);
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("{} is taken", self.address);
    }
}

fn serve(
    stream: TcpStream,
    handler: &Arc<dyn Fn(&Request) -> Answer + Send + Sync>,
    generation: &AtomicU64,
    number: u64,
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let answer = handler(&request);
        if generation.load(Ordering::SeqCst) != number {
            return Ok(());
        }
        let Some((status, kind, body)) = answer else {
            // No answer: nothing more comes on this connection.
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest);
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            return Ok(Some(lines));
        }
        lines.push(line);
    }
}

fn fields(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    pairs
        .map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_string()))
        .collect()
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
) -> std::io::Result<Vec<u8>> {
    let mut lengths = headers.iter().filter(|(key, _)| key == "content-length");
    let length = lengths
        .next()
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let Some(lines) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = lines.first().map_or("", String::as_str).split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let headers = fields(&lines);
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        method: method.into(),
        target: target.into(),
        headers,
        body,
    }))
}

/// Sends one request on a connection of its own. Returns `None` if there was no whole answer.
pub fn call(
    peer: SocketAddr,
    method: &str,
    target: &str,
    host: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&peer, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Remaining: {}\r\nContent-Length: {}\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let lines = read_head(&mut reader).ok()??;
    let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
    let headers = fields(&lines);
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
