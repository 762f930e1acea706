//! The server side of connections, which accepts them and responds to requests.

use super::client::TrafficCounters;
use super::frame::{read_frame_within, FrameMemory};
use super::{
    read_frame, write_frame, ConnectionError, Handshake, HandshakeMismatch, PeerRequest,
    PeerResponse, FRAME_TIMEOUT, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES,
};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Maximum number of open connections. Each member opens one or two to a voter, and each other voter a few more.
pub const MAX_CONNECTIONS: usize = 2000;
/// Time without a request after which the server closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and responds to their requests, until the task is cancelled.
///
/// `mismatch` returns the reason for rejecting a handshake, if there is one. `respond` handles a request.
/// Closes a new connection at once if [`MAX_CONNECTIONS`] are open.
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
    let memory = Arc::new(FrameMemory::new());
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
        let memory = memory.clone();
        tokio::spawn(async move {
            match serve_connection(stream, mismatch, &traffic, &memory, respond).await {
                // Connections end with I/O errors in normal operation, when peers stop or restart.
                Ok(()) | Err(ConnectionError::Io(_)) => {}
                Err(error) => {
                    tracing::warn!(target: "fleet", %from, %error, "connection rejected");
                }
            }
            drop(permit);
        });
    }
}

/// Performs the handshake, then responds to requests until the connection is closed or idle for [`IDLE_TIMEOUT`].
async fn serve_connection<R, F>(
    mut stream: TcpStream,
    mismatch: impl Fn(&Handshake) -> Option<HandshakeMismatch>,
    traffic: &TrafficCounters,
    memory: &FrameMemory,
    respond: R,
) -> Result<(), ConnectionError>
where
    R: Fn(PeerRequest) -> F,
    F: Future<Output = PeerResponse> + Send,
{
    stream.set_nodelay(true)?;
    accept_handshake(&mut stream, mismatch).await?;
    loop {
        let request = read_frame_within::<PeerRequest>(&mut stream, MAX_FRAME_BYTES, memory);
        let Ok(request) = timeout(IDLE_TIMEOUT, request).await else {
            return Ok(());
        };
        let (request, bytes) = request?;
        traffic.add_read(bytes);
        let bytes = write_frame(&mut stream, &respond(request).await).await?;
        traffic.add_written(bytes);
    }
}

/// Reads the handshake of a new connection and sends back whether it is accepted or why it is rejected.
async fn accept_handshake(
    stream: &mut TcpStream,
    mismatch: impl Fn(&Handshake) -> Option<HandshakeMismatch>,
) -> Result<(), ConnectionError> {
    let handshake = timeout(FRAME_TIMEOUT, read_frame(stream, MAX_HANDSHAKE_BYTES)).await;
    let (handshake, _): (Handshake, _) = handshake.map_err(|_| ConnectionError::Timeout)??;
    let Some(mismatch) = mismatch(&handshake) else {
        write_frame(stream, &Ok::<(), String>(())).await?;
        return Ok(());
    };
    write_frame(stream, &Err::<(), String>(mismatch.to_string())).await?;
    let reason = format!("{} {mismatch}", handshake.member);
    Err(ConnectionError::HandshakeRejected(reason))
}
