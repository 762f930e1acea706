//! A sound engine of the platform's line protocol: it serves each `want` after a fixed time with one row.

use crate::world::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Starts an engine on a free port, which it returns.
pub fn start(name: &'static str, work_ms: u64, record: Record) -> Result<u16, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let port = listener.local_addr().map_err(|e| e.to_string())?.port();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || serve(name, stream, work_ms, &record));
        }
    });
    Ok(port)
}

fn serve(name: &str, stream: TcpStream, work_ms: u64, record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let writer = Arc::new(Mutex::new(writer));
    let mut reader = BufReader::new(stream);
    let send = |writer: &Arc<Mutex<TcpStream>>, line: String| {
        if let Ok(mut writer) = writer.lock() {
            let _ = writer.write_all(line.as_bytes());
        }
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["want", id, _, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                record.line(format!("engine {name} got {id}"));
                let (writer, id, record, name) =
                    (writer.clone(), id.to_owned(), record.clone(), name.to_owned());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(work_ms));
                    let row = format!("{id}\tok\t1\n");
                    let head = format!(
                        "{id} served pages=1,cost={work_ms},need=1,report=inflight:1 {}\r\n",
                        row.len()
                    );
                    if let Ok(mut writer) = writer.lock() {
                        let _ = writer.write_all((head + &row + "\r\n").as_bytes());
                    }
                    record.line(format!("engine {name} served {id}"));
                });
            }
            ["there", tag] | ["busy", tag] => send(&writer, format!("{tag} green - 0\r\n\r\n")),
            _ => {}
        }
    }
}
