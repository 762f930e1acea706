//! State of a client session: schema, prepared statements and bound parameter values.

use super::*;

impl Session {
    pub(super) fn send_unsupported(&mut self, sequence: u8, what: &str) {
        let message = format!("beamgap does not support {what}: it would not move from box to box");
        self.send_error(sequence, (UNSUPPORTED.0, UNSUPPORTED.1, &message));
    }

    pub(super) fn choose_schema(&mut self, sequence: u8, name: &[u8]) {
        match std::str::from_utf8(name) {
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
        let (types, long_data) = (Vec::new(), BTreeMap::new());
        let (text, schema) = (text.to_vec(), self.schema.clone());
        self.statements.insert(handle, Statement { text, schema, parameter_count, types, long_data });
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
        let index = u16::from_le_bytes(*index);
        if usize::from(index) >= statement.parameter_count || data.len() > room {
            statement.long_data.insert(u16::MAX, Vec::new()); // `bind` rejects this invalid parameter index.
            return;
        }
        statement.long_data.entry(index).or_default().extend_from_slice(data);
    }
}

impl Statement {
    /// Parses the body of `COM_STMT_EXECUTE`: flags, null bitmap, optional types and values. Fails with an error code.
    pub(super) fn bind(&mut self, rest: &[u8]) -> Result<BoundParameters, u16> {
        let long: Vec<(u16, Vec<u8>)> = std::mem::take(&mut self.long_data).into_iter().collect();
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
