//! The asking side of a link.

use super::{read, write, Answer, Hello, LinkError, Question, FRAME_MOST, HELLO_MOST};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes read and written over links.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Read.
    pub read: AtomicU64,
    /// Written.
    pub written: AtomicU64,
}

/// One connection, made when it is needed. A question without its answer in time costs the connection: its late answer
/// can't be taken for another's.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    hello: Hello,
    stream: Option<TcpStream>,
    traffic: Arc<Traffic>,
}

impl Link {
    /// A link that is not connected yet.
    pub fn new(address: SocketAddr, hello: Hello, traffic: Arc<Traffic>) -> Link {
        Link { address, hello, stream: None, traffic }
    }

    /// Asks, and waits for the answer so long.
    pub async fn ask(&mut self, question: &Question, most: Duration) -> Result<Answer, LinkError> {
        let done = timeout(most, self.exchange(question)).await;
        let done = done.unwrap_or(Err(LinkError::Late));
        if done.is_err() {
            self.stream = None;
        }
        done
    }

    async fn exchange(&mut self, question: &Question) -> Result<Answer, LinkError> {
        // Taken out, so that a question that is dropped half way takes its connection along.
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let written = write(&mut stream, question).await?;
        self.traffic.written.fetch_add(written as u64, Relaxed);
        let (answer, read) = read(&mut stream, FRAME_MOST).await?;
        self.traffic.read.fetch_add(read as u64, Relaxed);
        self.stream = Some(stream);
        Ok(answer)
    }

    async fn connect(&self) -> Result<TcpStream, LinkError> {
        let mut stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        write(&mut stream, &self.hello).await?;
        let (welcome, _): (Result<(), String>, _) = read(&mut stream, HELLO_MOST).await?;
        welcome.map_err(LinkError::Away)?;
        Ok(stream)
    }
}
