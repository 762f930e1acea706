//! A fake engine that speaks the engines' line protocol and answers each request after a configured delay.
//! The engine records in the history when a request arrived and when its execution ended.

use crate::history::{History, What};
use crate::now;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// A fake engine; clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The engine's id in the configuration of the members.
    pub id: String,
    /// Address on which the engine accepts connections.
    pub address: SocketAddr,
    /// Every n-th request of a connection is answered with an error, where n is this number; 0 disables errors.
    pub fails: Arc<AtomicU64>,
    /// Execution time of a request that is not a load, in milliseconds.
    pub takes: Arc<AtomicU64>,
    /// Execution time of a `delivery-load` request, in milliseconds.
    pub loads: Arc<AtomicU64>,
    /// Set once the engine is to stop.
    ended: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine on a free loopback port; `takes` is its initial execution time for requests of both kinds.
    pub fn start(number: u32, takes: Duration, history: History) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (fails, ended) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let takes = Arc::new(AtomicU64::new(takes.as_millis() as u64));
        let (id, address) = (format!("s-{number:08x}"), listener.local_addr()?);
        let loads = Arc::new(AtomicU64::new(takes.load(Relaxed)));
        let engine = Engine { id, address, fails, takes, loads, ended };
        let server = engine.clone();
        std::thread::spawn(move || {
            while !server.ended.load(Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let (server, history) = (server.clone(), history.clone());
                    std::thread::spawn(move || server.serve(stream, &history));
                }
            }
        });
        Ok(engine)
    }

    /// Stops the engine: no further connection or request is accepted.
    pub fn stop(&self) {
        self.ended.store(true, Relaxed);
        let _ = TcpStream::connect(self.address); // Wakes the thread that blocks in `accept`.
    }

    /// Answers the requests of one connection, one after the other, until the connection closes or the engine stops.
    fn serve(&self, stream: TcpStream, history: &History) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(30))).ok()?;
        let mut write = stream.try_clone().ok()?;
        let mut read = BufReader::new(stream);
        let mut number = 0u64;
        while !self.ended.load(Relaxed) {
            let mut line = String::new();
            if read.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["want", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                    read.read_exact(&mut body).ok()?;
                    history.note(now(), What::Came { engine: self.id.clone(), id: id.to_owned() });
                    let load = fields.contains("profile=delivery-load");
                    let takes = if load { &self.loads } else { &self.takes };
                    std::thread::sleep(Duration::from_millis(takes.load(Relaxed)));
                    // Records the end even if the member has disconnected: the engine executed the request either way.
                    history.note(now(), What::Left { engine: self.id.clone(), id: id.to_owned() });
                    number += 1;
                    let fails = self.fails.load(Relaxed);
                    let text = if fails > 0 && number.is_multiple_of(fails) {
                        format!("{id} crashed - 0\r\n\r\n")
                    } else {
                        format!("{id} served pages=1 6\r\na\tb\tc\n\r\n")
                    };
                    write.write_all(text.as_bytes()).ok()?;
                }
                ["there", tag] => write.write_all(format!("{tag} green - 0\r\n\r\n").as_bytes()).ok()?,
                _ => {}
            }
        }
        None
    }
}
