//! A link between two members: it passes bytes both ways. The link can make the connections that are open fall quiet:
//! what is sent on them is held, as it is for a connection whose packets are lost, and arrives when the link is well
//! again. Connections that are opened meanwhile pass at once.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub struct Relay {
    pub port: u16,
    opened: Arc<AtomicU64>,
    /// Connections up to this number are quiet.
    quiet_up_to: Arc<AtomicU64>,
    is_quiet: Arc<AtomicBool>,
    /// Bytes from the client that were held while quiet.
    held: Arc<AtomicU64>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Result<Relay, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let port = listener.local_addr().map_err(|e| e.to_string())?.port();
        let relay = Relay {
            port,
            opened: Arc::default(),
            quiet_up_to: Arc::default(),
            is_quiet: Arc::default(),
            held: Arc::default(),
        };
        let own = relay.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let number = own.opened.fetch_add(1, SeqCst) + 1;
                let Ok(server) = TcpStream::connect(to) else { continue };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let (Ok(client_2), Ok(server_2)) = (client.try_clone(), server.try_clone()) else { continue };
                let (there, back) = (own.clone(), own.clone());
                std::thread::spawn(move || there.pump(number, client, server, true));
                std::thread::spawn(move || back.pump(number, server_2, client_2, false));
            }
        });
        Ok(relay)
    }

    fn quiet(&self, number: u64) -> bool {
        self.is_quiet.load(SeqCst) && number <= self.quiet_up_to.load(SeqCst)
    }

    fn pump(&self, number: u64, mut from: TcpStream, mut to: TcpStream, counts: bool) {
        let mut chunk = vec![0; 64 * 1024];
        loop {
            let got = from.read(&mut chunk).unwrap_or(0);
            if counts && self.quiet(number) {
                self.held.fetch_add(got as u64, SeqCst);
            }
            while self.quiet(number) {
                std::thread::sleep(Duration::from_millis(1));
            }
            if got == 0 || to.write_all(&chunk[..got]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }

    /// Makes the connections that are open now fall quiet.
    pub fn fall_quiet(&self) {
        self.quiet_up_to.store(self.opened.load(SeqCst), SeqCst);
        self.is_quiet.store(true, SeqCst);
    }

    /// Lets what was held arrive. Returns how many bytes of the client that were.
    pub fn recover(&self) -> u64 {
        self.is_quiet.store(false, SeqCst);
        self.held.load(SeqCst)
    }
}
