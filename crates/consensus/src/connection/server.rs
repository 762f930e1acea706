//! The responding side of connections.

use super::client::TrafficCounters;
use super::{
    read, write, ConnectionError, Handshake, HandshakeMismatch, PeerRequest, PeerResponse,
    FRAME_TIMEOUT, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES,
};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Open connections at most: each member has one or two, each voter some more.
pub const MAX_CONNECTIONS: usize = 2000;
/// A connection without a request for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and responds to their requests, for ever. `mismatch` checks handshakes, `respond` handles
/// requests.
pub async fn serve<M, R, F>(
    listener: TcpListener,
    mismatch: M,
    traffic: Arc<TrafficCounters>,
    respond: R,
) where
    M: Fn(&Handshake) -> Option<HandshakeMismatch> + Clone + Send + 'static,
    R: Fn(PeerRequest) -> F + Clone + Send + 'static,
    F: Future<Output = PeerResponse> + Send,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let mismatch = mismatch.clone();
        let traffic = traffic.clone();
        let respond = respond.clone();
        tokio::spawn(async move {
            match serve_connection(stream, mismatch, &traffic, respond).await {
                // Peers come and go.
                Ok(()) | Err(ConnectionError::Io(_)) => {}
                Err(error) => {
                    tracing::warn!(target: "fleet", %from, %error, "connection rejected");
                }
            }
            drop(permit);
        });
    }
}

async fn serve_connection<R, F>(
    mut stream: TcpStream,
    mismatch: impl Fn(&Handshake) -> Option<HandshakeMismatch>,
    traffic: &TrafficCounters,
    respond: R,
) -> Result<(), ConnectionError>
where
    R: Fn(PeerRequest) -> F,
    F: Future<Output = PeerResponse> + Send,
{
    stream.set_nodelay(true)?;
    accept_handshake(&mut stream, mismatch).await?;
    loop {
        let request = read::<PeerRequest>(&mut stream, MAX_FRAME_BYTES);
        let Ok(request) = timeout(IDLE_TIMEOUT, request).await else {
            return Ok(());
        };
        let (request, bytes) = request?;
        traffic.add_read(bytes);
        let bytes = write(&mut stream, &respond(request).await).await?;
        traffic.add_written(bytes);
    }
}

async fn accept_handshake(
    stream: &mut TcpStream,
    mismatch: impl Fn(&Handshake) -> Option<HandshakeMismatch>,
) -> Result<(), ConnectionError> {
    let handshake = timeout(FRAME_TIMEOUT, read(stream, MAX_HANDSHAKE_BYTES)).await;
    let (handshake, _): (Handshake, _) = handshake.map_err(|_| ConnectionError::Timeout)??;
    let Some(mismatch) = mismatch(&handshake) else {
        write(stream, &Ok::<(), String>(())).await?;
        return Ok(());
    };
    write(stream, &Err::<(), String>(mismatch.to_string())).await?;
    let reason = format!("{} {mismatch}", handshake.member);
    Err(ConnectionError::HandshakeRejected(reason))
}
