//! What a session keeps: its schema, its prepared statements and what is bound to them.

use super::*;

impl Session {
    pub(super) fn unsupported(&mut self, number: u8, what: &str) {
        let message = format!("beamgap does not support {what}: it would not move from box to box");
        self.wrong(number, (UNSUPPORTED.0, UNSUPPORTED.1, &message));
    }

    pub(super) fn choose_schema(&mut self, number: u8, name: &[u8]) {
        match std::str::from_utf8(name) {
            Ok(name) if !name.is_empty() => {
                self.schema = Some(name.to_owned());
                self.reply(number, &mysql_packets::ok());
            }
            _ => self.wrong(number, (1049, "42000", "Unknown database")),
        }
    }

    /// Keeps a statement. No box has seen it yet, so its columns are told only with the first result.
    pub(super) fn prepare(&mut self, number: u8, text: &[u8]) {
        let words = statement::words(text);
        if let Err(bound) = statement::movable(&words) {
            return self.unsupported(number, bound.0);
        }
        let parameters = statement::parameters(&words);
        if self.statements.len() >= STATEMENTS_MOST
            || self.bytes() + text.len() > SESSION_MOST
            || parameters > PARAMETERS_MOST
        {
            return self.wrong(number, TOO_MANY);
        }
        let handle = self.next_statement;
        self.next_statement = self.next_statement.wrapping_add(1).max(1);
        let (types, long) = (Vec::new(), BTreeMap::new());
        self.statements.insert(handle, Statement { text: text.to_vec(), parameters, types, long });
        let mut body = vec![0];
        body.extend(handle.to_le_bytes());
        body.extend(0u16.to_le_bytes());
        body.extend((parameters as u16).to_le_bytes());
        body.extend([0, 0, 0]);
        let (mut out, mut number) = (Vec::new(), number.wrapping_add(1));
        mysql_packets::push(&mut out, number, &body);
        if parameters > 0 {
            let parameter = parameter_definition();
            for _ in 0..parameters {
                number = number.wrapping_add(1);
                mysql_packets::push(&mut out, number, &parameter);
            }
            mysql_packets::push(&mut out, number.wrapping_add(1), &mysql_packets::eof());
        }
        self.link.put(&out);
    }

    /// Adds to a long value. Nothing is answered; what is wrong shows when the statement is executed.
    pub(super) fn long_data(&mut self, rest: &[u8]) {
        let room = SESSION_MOST.saturating_sub(self.bytes());
        let Some((handle, rest)) = rest.split_first_chunk::<4>() else { return };
        let Some((place, data)) = rest.split_first_chunk::<2>() else { return };
        let Some(statement) = self.statements.get_mut(&u32::from_le_bytes(*handle)) else { return };
        let place = u16::from_le_bytes(*place);
        if usize::from(place) >= statement.parameters || data.len() > room {
            statement.long.insert(u16::MAX, Vec::new()); // No parameter has this place: `bind` refuses it.
            return;
        }
        statement.long.entry(place).or_default().extend_from_slice(data);
    }
}

impl Statement {
    /// Reads what an execution binds: flags, null bits, types where they are new, values. Else an error's code.
    pub(super) fn bind(&mut self, rest: &[u8]) -> Result<Bound, u16> {
        let long: Vec<(u16, Vec<u8>)> = std::mem::take(&mut self.long).into_iter().collect();
        if long.iter().any(|(place, _)| usize::from(*place) >= self.parameters) {
            return Err(WRONG_ARGUMENTS.0);
        }
        let (flags, rest) = rest.split_first_chunk::<5>().ok_or(MALFORMED.0)?;
        if flags[0] != 0 {
            return Err(UNSUPPORTED.0);
        }
        let count = self.parameters;
        if count == 0 {
            return Ok(Bound::default());
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
        Ok(Bound { count, types, nulls, values, long })
    }
}

/// A parameter's definition: a nameless string of the widest kind, as servers tell it.
fn parameter_definition() -> Vec<u8> {
    let mut body = Vec::new();
    for text in [&b"def"[..], b"", b"", b"", b"?", b""] {
        body.push(text.len() as u8);
        body.extend_from_slice(text);
    }
    body.extend([0x0c, 63, 0, 0, 0, 0, 0, 0xfd, 0x80, 0, 0, 0, 0]);
    body
}
