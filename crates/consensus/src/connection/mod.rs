//! Links between members: frames over TCP, a question and its answer at a time on each connection. Bounded in size, count
//! and time; the fleet's name and the form of the messages are checked before anything else is read.

pub mod client;
pub mod server;

use crate::log_entry::Types;
use crate::store::Marker;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The form of the messages. A member of another form is turned away, and told which forms met.
pub const FORM: u16 = 1;
/// Longest frame, in bytes: a snapshot comes in parts.
pub const FRAME_MOST: usize = 2 << 20;
/// Longest first frame of a connection: of a stranger nothing long is read.
pub const HELLO_MOST: usize = 1024;
/// Time for a whole frame once it has begun, and for the first.
pub const FRAME_TIME: Duration = Duration::from_secs(2);
const MAGIC: [u8; 4] = *b"bgc\x01";

/// Why a link is of no use.
#[derive(Debug)]
pub enum LinkError {
    /// It can't be reached, or broke.
    Io(io::Error),
    /// A frame is longer than any may be.
    Long(usize),
    /// A frame can't be read.
    Noise,
    /// The other side turned this one away.
    Away(String),
    /// There was no answer in time.
    Late,
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LinkError::Io(e) => write!(f, "{e}"),
            LinkError::Long(bytes) => write!(f, "a frame of {bytes} bytes, more than {FRAME_MOST}"),
            LinkError::Noise => write!(f, "a frame that can't be read"),
            LinkError::Away(why) => write!(f, "turned away: {why}"),
            LinkError::Late => write!(f, "no answer in time"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<io::Error> for LinkError {
    fn from(e: io::Error) -> LinkError {
        LinkError::Io(e)
    }
}

/// The first thing that is said on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    magic: [u8; 4],
    /// The form of the messages to come.
    pub form: u16,
    /// The fleet.
    pub fleet: String,
    /// Who speaks.
    pub member: String,
    /// The founding that a decider belongs to: two fleets of one name must not mix their logs.
    pub founding: Option<u64>,
}

impl Hello {
    /// A greeting in this program's form.
    pub fn new(fleet: &str, member: &str) -> Hello {
        let (fleet, member) = (fleet.to_owned(), member.to_owned());
        Hello { magic: MAGIC, form: FORM, fleet, member, founding: None }
    }

    /// Why whoever says this is turned away, if so.
    pub fn stranger(&self, fleet: &str, founding: Option<u64>) -> Option<String> {
        if self.magic != MAGIC {
            return Some("does not speak between members of a fleet".to_owned());
        }
        if self.form != FORM {
            return Some(format!(
                "speaks form {}, this member form {FORM}; update the older program",
                self.form
            ));
        }
        if self.fleet != fleet {
            return Some(format!("is of fleet {}, this member of {fleet}", self.fleet));
        }
        let other = matches!((self.founding, founding), (Some(a), Some(b)) if a != b);
        other.then(|| format!("is of another fleet that has the name {fleet} too"))
    }
}

/// What a member asks another.
#[derive(Debug, Serialize, Deserialize)]
pub enum Question {
    /// Of consensus, to the decider of this id: whoever sits in its seat under another one must not answer for it.
    Append(u64, AppendEntriesRequest<Types>),
    /// Likewise.
    Vote(u64, VoteRequest<u64>),
    /// Likewise.
    Snapshot(u64, InstallSnapshotRequest<Types>),
    /// Whether a leader is heard, from one whose log ends at this term and index.
    Word {
        /// The term of its last entry.
        term: u64,
        /// The index of its last entry.
        index: u64,
    },
    /// To the leader's machine.
    Machine(Vec<u8>),
    /// How the decider is.
    Status,
    /// Take this marker, to be part of a fleet from now on.
    Mark(Marker),
    /// Found the fleet, with this decider as the one that says so.
    Found,
    /// Give a blank decider at a seat a new place, as it lost its disk.
    Readmit(u64),
    /// Take the decider at a seat out of those that decide.
    Remove(u64),
}

/// What it is answered.
#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    /// Of consensus.
    Append(AppendEntriesResponse<u64>),
    /// Of consensus.
    Vote(VoteResponse<u64>),
    /// Of consensus.
    Snapshot(InstallSnapshotResponse<u64>),
    /// Whether it gives its word.
    Word(bool),
    /// Of the machine.
    Machine(Vec<u8>),
    /// This one does not lead; that one may, by its seat.
    Elsewhere(Option<u64>),
    /// How it is.
    Status(Box<Status>),
    /// Done.
    Done,
    /// It can't be done, and why.
    No(String),
}

/// How a decider is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub member: String,
    /// Its seat.
    pub seat: u64,
    /// Its id in the consensus; none while its folder is blank.
    pub id: Option<u64>,
    /// `leader`, `follower`, `candidate`, `blank`, `broken`.
    pub role: String,
    /// The term.
    pub term: u64,
    /// Who leads, by id.
    pub leader: Option<u64>,
    /// What its disk does, in words.
    pub disk: String,
    /// Whether its disk takes writes.
    pub disk_ok: bool,
    /// The last index of its log, and the last applied.
    pub log: (u64, u64),
    /// Fsyncs since it opened its disk.
    pub writes: u64,
    /// The deciders that count, by id.
    pub voters: Vec<u64>,
    /// How long ago a majority followed it, if it leads, in milliseconds.
    pub quorum_ms: Option<u64>,
    /// Bytes that its links have read and written.
    pub bytes: (u64, u64),
}

/// Reads a frame.
pub async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
    most: usize,
) -> Result<(T, usize), LinkError> {
    let length = stream.read_u32().await? as usize;
    if length > most {
        return Err(LinkError::Long(length));
    }
    let mut bytes = vec![0; length];
    let whole = tokio::time::timeout(FRAME_TIME, stream.read_exact(&mut bytes)).await;
    whole.map_err(|_| LinkError::Late)??;
    let value = postcard::from_bytes(&bytes).map_err(|_| LinkError::Noise)?;
    Ok((value, length + 4))
}

/// Writes a frame; gives how long it was.
pub async fn write<T: Serialize>(
    stream: &mut (impl AsyncWriteExt + Unpin),
    value: &T,
) -> Result<usize, LinkError> {
    let mut bytes = vec![0; 4];
    bytes.append(&mut postcard::to_stdvec(value).map_err(|_| LinkError::Noise)?);
    let length = bytes.len() - 4;
    if length > FRAME_MOST {
        return Err(LinkError::Long(length));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    let whole = tokio::time::timeout(FRAME_TIME, stream.write_all(&bytes)).await;
    whole.map_err(|_| LinkError::Late)??;
    Ok(bytes.len())
}
