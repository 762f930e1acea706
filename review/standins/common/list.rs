//! Service discovery.

use super::*;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// One entry of the list of engines.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    pub zone: u8,
    /// The Unix millisecond of a late start, or 0.
    pub started: u64,
}

/// Service discovery: numbered events, sent as frames.
#[derive(Clone)]
pub struct Bulletin {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<Vec<Listed>>>>,
}

impl Bulletin {
    /// Starts with one event, the whole list.
    pub fn start(first: Vec<Listed>) -> Bulletin {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let bulletin = Bulletin { address, events: Arc::new(Mutex::new(vec![first])) };
        let shared = bulletin.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        bulletin
    }

    pub fn tell(&self, changed: Vec<Listed>) {
        record(&format!("list: event told: {changed:?}"));
        self.events.lock().unwrap().push(changed);
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut last = [0; 8];
        if stream.read_exact(&mut last).is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(last) as usize;
        let mut said = Instant::now() - Duration::from_secs(1);
        loop {
            let news: Vec<(usize, Vec<Listed>)> = {
                let events = self.events.lock().unwrap();
                events.iter().cloned().enumerate().skip(last).collect()
            };
            for (index, listed) in news {
                last = index + 1;
                said = Instant::now();
                if stream.write_all(&frame(last as u64, 1 + u8::from(index > 0), &listed)).is_err() {
                    return;
                }
            }
            if said.elapsed() >= Duration::from_secs(1) {
                said = Instant::now();
                if stream.write_all(&frame(last as u64, 0, &[])).is_err() {
                    return;
                }
            }
            sleep(5);
        }
    }

    /// The `known` section of a configuration: the first event.
    pub fn known(&self, zones: &[&str], kind: &str) -> String {
        let events = self.events.lock().unwrap();
        let target = |l: &Listed| {
            format!(
                r#"{{"uid":"s-{:08x}","endpoint":"{}","az":"{}","model":"{kind}","pod_group":{},"state":"in_service","capacity_hint":1,"boot_ms":0}}"#,
                l.id,
                l.address,
                zones[usize::from(l.zone)],
                l.zone
            )
        };
        let targets: Vec<String> = events[0].iter().map(target).collect();
        format!(
            r#"{{"no":1,"items":[{{"no":1,"roster":{{"rev":1,"all":true,"targets":[{}]}}}}]}}"#,
            targets.join(",")
        )
    }
}

fn frame(number: u64, kind: u8, listed: &[Listed]) -> Vec<u8> {
    let mut body = number.to_be_bytes().to_vec();
    body.push(kind);
    for l in listed {
        let SocketAddr::V4(address) = l.address else { unreachable!("only IPv4 is used") };
        body.extend(l.id.to_be_bytes());
        body.extend(address.ip().octets());
        body.extend(address.port().to_be_bytes());
        body.extend([l.state, l.zone, 0]);
        body.extend(u16::from(l.zone).to_be_bytes());
        body.extend(1000u32.to_be_bytes());
        body.extend(l.started.to_be_bytes());
    }
    [(body.len() as u32).to_be_bytes().to_vec(), body].concat()
}
