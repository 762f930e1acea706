//! The answering side of links.

use super::client::Traffic;
use super::{read, write, Answer, Hello, LinkError, Question, FRAME_MOST, FRAME_TIME, HELLO_MOST};
use std::future::Future;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Connections at most: each member has one or two, each decider some more.
pub const CONNECTIONS_MOST: usize = 2000;
const IDLE: Duration = Duration::from_secs(60); // without a question, a connection is let go

/// Accepts connections and answers on them, for ever.
pub async fn serve<S, F, A>(listener: TcpListener, stranger: S, traffic: Arc<Traffic>, answer: F)
where
    S: Fn(&Hello) -> Option<String> + Clone + Send + 'static,
    F: Fn(Question) -> A + Clone + Send + 'static,
    A: Future<Output = Answer> + Send,
{
    let room = Arc::new(Semaphore::new(CONNECTIONS_MOST));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // Out of descriptors: those that wait stay in the system's line.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(place) = room.clone().try_acquire_owned() else { continue };
        let (stranger, traffic, answer) = (stranger.clone(), traffic.clone(), answer.clone());
        tokio::spawn(async move {
            if let Err(e) = converse(stream, stranger, &traffic, answer).await {
                if !matches!(e, LinkError::Io(_)) {
                    tracing::warn!(target: "fleet", "link: from={from} {e}");
                }
            }
            drop(place);
        });
    }
}

async fn converse<F, A>(
    mut stream: TcpStream,
    stranger: impl Fn(&Hello) -> Option<String>,
    traffic: &Traffic,
    answer: F,
) -> Result<(), LinkError>
where
    F: Fn(Question) -> A,
    A: Future<Output = Answer>,
{
    stream.set_nodelay(true)?;
    let hello = timeout(FRAME_TIME, read::<Hello>(&mut stream, HELLO_MOST)).await;
    let (hello, _) = hello.map_err(|_| LinkError::Late)??;
    let away = stranger(&hello);
    write(&mut stream, &away.clone().map_or(Ok(()), Err)).await?;
    if let Some(why) = away {
        return Err(LinkError::Away(format!("{} {why}", hello.member)));
    }
    loop {
        let question = timeout(IDLE, read::<Question>(&mut stream, FRAME_MOST)).await;
        let Ok(question) = question else { return Ok(()) };
        let (question, bytes) = question?;
        traffic.read.fetch_add(bytes as u64, Relaxed);
        let bytes = write(&mut stream, &answer(question).await).await?;
        traffic.written.fetch_add(bytes as u64, Relaxed);
    }
}
