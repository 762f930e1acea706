//! State of a client session: schema, prepared statements and bound parameter values.

use super::*;
use std::collections::BTreeMap;

/// Memory of a prepared statement without its text, types and long values, in bytes.
const STATEMENT_OVERHEAD_BYTES: usize = 256;
/// Memory of a long value without its data, in bytes.
const LONG_VALUE_OVERHEAD_BYTES: usize = 64;
/// Longest name of a database, in characters, as in MySQL.
const MAX_NAME_CHARS: usize = 64;

/// A prepared statement of a session.
#[derive(Debug)]
pub(super) struct Statement {
    pub(super) text: Vec<u8>,
    /// Default schema of the session when the statement was prepared; unqualified names in the statement belong to it.
    pub(super) schema: Option<String>,
    parameter_count: usize,
    types: Vec<u8>,
    long_data: BTreeMap<u16, Vec<u8>>,
    /// Memory of `long_data`, in bytes.
    long_data_bytes: usize,
}

impl Session {
    /// Memory of the session's buffers, names and statements, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let buffers = self.socket.unsent_bytes() + self.socket.input.capacity();
        buffers + self.user.len() + self.statement_bytes()
    }

    fn statement_bytes(&self) -> usize {
        self.statements.values().map(Statement::memory_bytes).sum()
    }

    pub(super) fn max_input_bytes(&self) -> usize {
        match self.phase {
            Phase::Greeted | Phase::AuthSwitched => MAX_LOGIN_BYTES,
            Phase::Ready | Phase::Busy(_) => MAX_INPUT_BYTES,
        }
    }

    /// Whether the next command can be handled: none is in flight, and the client reads its output.
    pub(super) fn takes_commands(&self) -> bool {
        !matches!(self.phase, Phase::Busy(_)) && self.socket.unsent_bytes() <= MAX_UNWRITTEN_BYTES
    }

    pub(super) fn reply(&mut self, after: u8, body: &[u8]) {
        let mut out = Vec::new();
        mysql_packets::append_packet(&mut out, after.wrapping_add(1), body);
        self.socket.queue_write(&out);
    }

    pub(super) fn send_error(&mut self, after: u8, (code, state, message): (u16, &str, &str)) {
        self.reply(after, &error(code, state, message));
    }

    pub(super) fn send_unsupported(&mut self, sequence: u8, what: &str) {
        let message = format!("beamgap does not support {what}: it would not move from box to box");
        self.send_error(sequence, (UNSUPPORTED.0, UNSUPPORTED.1, &message));
    }

    pub(super) fn choose_schema(&mut self, sequence: u8, name: &[u8]) {
        match std::str::from_utf8(name) {
            Ok(name) if is_name_too_long(name) => self.send_error(sequence, NAME_TOO_LONG),
            Ok(name) if !name.is_empty() => {
                self.schema = Some(name.to_owned());
                self.reply(sequence, &mysql_packets::ok());
            }
            _ => self.send_error(sequence, (1049, "42000", "Unknown database")),
        }
    }

    /// Stores a prepared statement and replies with its parameter count.
    /// The reply declares no result columns: they are unknown until an engine executes the statement.
    pub(super) fn prepare(&mut self, sequence: u8, text: &[u8]) {
        let words = statement::words(text);
        if let Err(feature) = statement::check_session_independent(&words) {
            return self.send_unsupported(sequence, feature.0);
        }
        let parameter_count = statement::count_parameters(&words);
        if self.statements.len() >= MAX_STATEMENTS
            || self.statement_bytes() + text.len() > MAX_STATEMENT_BYTES
            || parameter_count > MAX_PARAMETERS
        {
            return self.send_error(sequence, TOO_MANY_STATEMENTS);
        }
        let handle = self.next_statement;
        self.next_statement = self.next_statement.wrapping_add(1).max(1);
        let statement = Statement {
            text: text.to_vec(),
            schema: self.schema.clone(),
            parameter_count,
            types: Vec::new(),
            long_data: BTreeMap::new(),
            long_data_bytes: 0,
        };
        self.statements.insert(handle, statement);
        let mut body = vec![0];
        body.extend(handle.to_le_bytes());
        body.extend(0u16.to_le_bytes());
        body.extend((parameter_count as u16).to_le_bytes());
        body.extend([0, 0, 0]);
        let (mut out, mut sequence) = (Vec::new(), sequence.wrapping_add(1));
        mysql_packets::append_packet(&mut out, sequence, &body);
        if parameter_count > 0 {
            let parameter = parameter_definition();
            for _ in 0..parameter_count {
                sequence = sequence.wrapping_add(1);
                mysql_packets::append_packet(&mut out, sequence, &parameter);
            }
            mysql_packets::append_packet(&mut out, sequence.wrapping_add(1), &mysql_packets::eof());
        }
        self.socket.queue_write(&out);
    }

    /// Appends data to a long parameter value. The command has no reply, so the next execution reports any error.
    pub(super) fn append_long_data(&mut self, rest: &[u8]) {
        let room = MAX_STATEMENT_BYTES.saturating_sub(self.statement_bytes());
        let Some((handle, rest)) = rest.split_first_chunk::<4>() else { return };
        let Some((index, data)) = rest.split_first_chunk::<2>() else { return };
        let Some(statement) = self.statements.get_mut(&u32::from_le_bytes(*handle)) else { return };
        statement.append_long_data(u16::from_le_bytes(*index), data, room);
    }
}

/// Whether a name is longer than that of any database.
pub(super) fn is_name_too_long(name: &str) -> bool {
    name.chars().count() > MAX_NAME_CHARS
}

impl Statement {
    /// Memory of the statement, in bytes.
    fn memory_bytes(&self) -> usize {
        let schema = self.schema.as_ref().map_or(0, String::len);
        STATEMENT_OVERHEAD_BYTES + self.text.len() + schema + self.types.len() + self.long_data_bytes
    }

    pub(super) fn has_long_data(&self) -> bool {
        !self.long_data.is_empty()
    }

    /// Drops the long values that were received for the next execution.
    pub(super) fn clear_long_data(&mut self) {
        self.long_data.clear();
        self.long_data_bytes = 0;
    }

    /// Appends data to a long value. Data beyond `room` bytes of memory, or for a parameter that the statement does not
    /// have, makes the next execution fail.
    fn append_long_data(&mut self, index: u16, data: &[u8], room: usize) {
        let is_new = !self.long_data.contains_key(&index);
        let bytes = data.len() + if is_new { LONG_VALUE_OVERHEAD_BYTES } else { 0 };
        if usize::from(index) >= self.parameter_count || bytes > room {
            self.clear_long_data();
            self.long_data.insert(u16::MAX, Vec::new()); // `bind` rejects this invalid parameter index.
            return;
        }
        self.long_data_bytes += bytes;
        self.long_data.entry(index).or_default().extend_from_slice(data);
    }

    /// Parses the body of `COM_STMT_EXECUTE`: flags, null bitmap, optional types and values. Fails with an error code.
    pub(super) fn bind(&mut self, rest: &[u8]) -> Result<BoundParameters, u16> {
        let long: Vec<(u16, Vec<u8>)> = std::mem::take(&mut self.long_data).into_iter().collect();
        self.long_data_bytes = 0;
        if long.iter().any(|(index, _)| usize::from(*index) >= self.parameter_count) {
            return Err(WRONG_ARGUMENTS.0);
        }
        let (flags, rest) = rest.split_first_chunk::<5>().ok_or(MALFORMED.0)?;
        if flags[0] != 0 {
            return Err(UNSUPPORTED.0);
        }
        let count = self.parameter_count;
        if count == 0 {
            return Ok(BoundParameters::default());
        }
        let (nulls, rest) = rest.split_at_checked(count.div_ceil(8)).ok_or(MALFORMED.0)?;
        let (new, mut values) = rest.split_first().ok_or(MALFORMED.0)?;
        if *new == 1 {
            let (types, rest) = values.split_at_checked(2 * count).ok_or(MALFORMED.0)?;
            (self.types, values) = (types.to_vec(), rest);
        }
        if self.types.len() != 2 * count {
            return Err(WRONG_ARGUMENTS.0);
        }
        let (types, nulls, values) = (self.types.clone(), nulls.to_vec(), values.to_vec());
        Ok(BoundParameters { count, types, nulls, values, long })
    }
}

/// The definition packet of a parameter: an unnamed string of maximum width, as MySQL servers send it.
fn parameter_definition() -> Vec<u8> {
    let mut body = Vec::new();
    for text in [&b"def"[..], b"", b"", b"", b"?", b""] {
        body.push(text.len() as u8);
        body.extend_from_slice(text);
    }
    body.extend([0x0c, 63, 0, 0, 0, 0, 0, 0xfd, 0x80, 0, 0, 0, 0]);
    body
}
