//! A stand-in engine on the platform's wire: answers what it is asked after a while, and notes what came.

use crate::history::{History, What};
use crate::now;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its id in the list.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Every so many requests it answers with an error; 0: never.
    pub fails: Arc<AtomicU64>,
    /// How long it takes for a request, in milliseconds.
    pub takes: Arc<AtomicU64>,
    /// How long for a load.
    pub loads: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine that takes so long for a request.
    pub fn start(number: u32, takes: Duration, history: History) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (fails, ended) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let takes = Arc::new(AtomicU64::new(takes.as_millis() as u64));
        let (id, address) = (format!("s-{number:08x}"), listener.local_addr()?);
        let loads = Arc::new(AtomicU64::new(takes.load(Relaxed)));
        let engine = Engine { id, address, fails, takes, loads, ended };
        let of = engine.clone();
        std::thread::spawn(move || {
            while !of.ended.load(Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let (of, history) = (of.clone(), history.clone());
                    std::thread::spawn(move || of.serve(stream, &history));
                }
            }
        });
        Ok(engine)
    }

    /// Ends it.
    pub fn stop(&self) {
        self.ended.store(true, Relaxed);
        let _ = TcpStream::connect(self.address); // Ends its wait.
    }

    /// Reads requests until the connection ends.
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
                    // Whoever asked may be gone by now: the work was done all the same.
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
