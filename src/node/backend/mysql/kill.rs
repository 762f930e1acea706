//! Kills the statement of a connection that was closed, over another connection to the same server process.
//!
//! A server counts its connections from its start, so in another process at the same address the number of the closed
//! connection may be that of somebody else's. A statement is therefore killed only in a process that was already running
//! when the closed connection was dialled.

use super::*;

/// Asks a server for the seconds since its start.
const UPTIME_QUERY: &[u8] = b"SHOW GLOBAL STATUS LIKE 'Uptime'";
/// Name of the row with the server's uptime.
const UPTIME_ROW: &[u8] = b"Uptime";

/// A statement that is to be killed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kill {
    /// The server's id of the connection that ran the statement.
    pub(super) connection_id: u32,
    /// When that connection was dialled, in milliseconds.
    pub(super) dialed_at: f64,
}

impl Kill {
    pub(super) fn log_not_sent(self, engine: &EngineId, context: &mut BackendContext) {
        context.log.push(format!("kill: engine={} connection={} not sent", engine.0, self.connection_id));
    }

    /// Whether a server with this uptime at time `now` was running when the connection was dialled. The server tells
    /// whole seconds, rounded down.
    fn is_same_process(self, uptime_seconds: u64, now: f64) -> bool {
        now - uptime_seconds as f64 * 1000.0 <= self.dialed_at
    }
}

/// The result of [`UPTIME_QUERY`] as far as it has been received.
#[derive(Debug, Default)]
pub(super) struct UptimeResult {
    response: ResponseState,
    seconds: Option<u64>,
}

impl UptimeResult {
    fn advance(&mut self, body: &[u8]) -> PacketEffect {
        if self.response == ResponseState::Rows {
            self.seconds = self.seconds.or_else(|| uptime_of_row(body));
        }
        self.response.advance(body)
    }
}

/// The value of a row with the name and the value of a status variable, if the row is that of the uptime.
fn uptime_of_row(row: &[u8]) -> Option<u64> {
    let (name, rest) = mysql_packets::length_encoded_text(row)?;
    let (value, _) = mysql_packets::length_encoded_text(rest)?;
    let value = std::str::from_utf8(value).ok()?;
    if name.eq_ignore_ascii_case(UPTIME_ROW) {
        value.parse().ok()
    } else {
        None
    }
}

impl Connection {
    /// Sends the kill, or first the question whether the server is the right process. A connection that was dialled
    /// before the other one needs no answer: it leads to the same process, or to an earlier one, which is gone.
    pub(super) fn advance_kill(&mut self, kill: Kill) {
        if self.dialed_at <= kill.dialed_at {
            return self.command_kill(kill);
        }
        self.phase = Phase::CheckingUptime(UptimeResult::default());
        self.command(Command::COM_QUERY, UPTIME_QUERY);
    }

    fn command_kill(&mut self, kill: Kill) {
        self.phase = Phase::Killing;
        self.command(Command::COM_QUERY, format!("KILL QUERY {}", kill.connection_id).as_bytes());
    }
}

impl MysqlBackend {
    /// Kills a statement over an idle connection to its server, or over a new one. Prefers the oldest connection.
    pub(super) fn send_kill(&mut self, engine: &EngineId, kill: Kill, context: &mut BackendContext) {
        let idle = |key: &SlotKey| {
            let conn = self.connections.get(*key).filter(|conn| matches!(conn.phase, Phase::Idle))?;
            Some((conn.dialed_at, *key))
        };
        let idle = self.engines.connections(engine).iter().filter_map(idle);
        let oldest = idle.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key);
        let Some(key) = oldest.or_else(|| self.dial(engine, context)) else {
            return kill.log_not_sent(engine, context);
        };
        let Some(conn) = self.connections.get_mut(key) else { return };
        conn.kill = Some(kill);
        if matches!(conn.phase, Phase::Idle) {
            conn.advance(context.now);
            self.flush(key, context);
        }
    }

    /// Handles a packet of the response to [`UPTIME_QUERY`]. After the last one, sends the kill if the server is the
    /// right process, and drops it otherwise.
    pub(super) fn handle_uptime(
        &mut self,
        key: SlotKey,
        body: &[u8],
        context: &mut BackendContext,
    ) -> AfterPacket {
        let Some(conn) = self.connections.get_mut(key) else { return AfterPacket::Close };
        let Phase::CheckingUptime(uptime) = &mut conn.phase else { return AfterPacket::Close };
        match uptime.advance(body) {
            PacketEffect::More => return AfterPacket::KeepOpen,
            PacketEffect::Broken => return AfterPacket::Close,
            PacketEffect::Done | PacketEffect::Error => {}
        }
        let seconds = uptime.seconds;
        let Some(kill) = conn.kill else { return AfterPacket::Close };
        if seconds.is_some_and(|seconds| kill.is_same_process(seconds, context.now)) {
            conn.command_kill(kill);
        } else {
            conn.kill = None;
            kill.log_not_sent(&conn.engine.clone(), context);
            conn.advance(context.now);
        }
        AfterPacket::KeepOpen
    }
}
