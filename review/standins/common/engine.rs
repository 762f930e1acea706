//! An engine that speaks the line protocol.

use super::*;
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// An engine that runs each attempt for the milliseconds that its statement names (`work=N`), sends a progress note
/// every 500 ms, and then answers with one page. It gives an attempt up on `never_mind`, at its `max`, and when its
/// connection ends.
#[derive(Clone)]
pub struct Engine {
    pub name: &'static str,
    pub address: SocketAddr,
    /// Attempts that came whole: request id, statement.
    pub came: Arc<Mutex<Vec<(String, String)>>>,
}

impl Engine {
    pub fn start(name: &'static str) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let engine = Engine { name, address, came: Arc::default() };
        let shared = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        engine
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
        let given_up: Arc<Mutex<HashSet<String>>> = Arc::default();
        let closed = Arc::new(AtomicBool::new(false));
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                closed.store(true, Ordering::SeqCst);
                return;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["want", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                    if reader.read_exact(&mut body).is_err() {
                        closed.store(true, Ordering::SeqCst);
                        return;
                    }
                    body.truncate(body.len() - 2);
                    let statement = String::from_utf8_lossy(&body).into_owned();
                    record(&format!("engine {}: came id={id} {fields} statement={statement}", self.name));
                    self.came.lock().unwrap().push((id.to_owned(), statement.clone()));
                    let max = number_after(fields, "max=").unwrap_or(60_000);
                    let (engine, id) = (self.clone(), id.to_owned());
                    let (writer, given_up, closed) = (writer.clone(), given_up.clone(), closed.clone());
                    std::thread::spawn(move || engine.run(id, statement, max, writer, given_up, closed));
                }
                ["never_mind", id] => {
                    record(&format!("engine {}: never_mind id={id}", self.name));
                    given_up.lock().unwrap().insert(id.to_owned());
                }
                ["there", tag] | ["busy", tag] => {
                    let _ = writer.lock().unwrap().write_all(format!("{tag} green - 0\r\n\r\n").as_bytes());
                }
                ["hurry", ..] | ["shut", _] => {}
                _ => record(&format!("engine {}: unknown line {line:?}", self.name)),
            }
        }
    }

    fn run(
        &self,
        id: String,
        statement: String,
        max: u64,
        writer: Arc<Mutex<TcpStream>>,
        given_up: Arc<Mutex<HashSet<String>>>,
        closed: Arc<AtomicBool>,
    ) {
        let work = number_after(&statement, "work=").unwrap_or(20);
        let started = Instant::now();
        let mut noted = 0;
        loop {
            let ms = started.elapsed().as_millis() as u64;
            let end = if given_up.lock().unwrap().contains(&id) {
                "given up by the front end"
            } else if closed.load(Ordering::SeqCst) {
                "given up, as its connection has ended"
            } else if ms >= work {
                "ran to its end, served"
            } else if ms >= max {
                "its time is over"
            } else {
                ""
            };
            if !end.is_empty() {
                if ms >= work && end.starts_with("ran") {
                    let page = format!("{id}\t{}\tok\n", self.name);
                    let fields = format!("pages=1,cost={work}.0,need=20");
                    let answer = format!("{id} served {fields} {}\r\n{page}\r\n", page.len());
                    let _ = writer.lock().unwrap().write_all(answer.as_bytes());
                }
                return record(&format!("engine {}: end id={id} after {ms} ms: {end}", self.name));
            }
            if ms >= noted + 500 {
                noted = ms;
                let note = format!("{id} update remark=so_far,v={:.3} 0\r\n\r\n", ms as f64 / work as f64);
                let _ = writer.lock().unwrap().write_all(note.as_bytes());
            }
            sleep(5);
        }
    }
}
