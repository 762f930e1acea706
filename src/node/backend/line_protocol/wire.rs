//! Parser for the messages that engines send in the line protocol.

use super::*;

/// One message of an engine: header words and body.
pub(super) struct Line<'a> {
    pub(super) id: &'a str,
    pub(super) kind: &'a str,
    pub(super) fields: Vec<(&'a str, &'a str)>,
    pub(super) body: &'a [u8],
}

/// The connection is unusable: it was closed, or a message violates the protocol and the next boundary is unknown.
pub(super) struct ConnectionLost;

const KINDS: [&str; 8] = ["served", "rows", "update", "overload", "nobody", "crashed", "green", "red"];

/// Parses the first message in `bytes` and returns its length and content, or `None` if it is incomplete. Any deviation
/// from the format is an error: after a wrong body length, result data could be parsed as messages.
pub(super) fn parse_line(bytes: &[u8]) -> Result<Option<(usize, Line<'_>)>, ConnectionLost> {
    let Some(end) = bytes.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
        return if bytes.len() >= MAX_LINE_BYTES { Err(ConnectionLost) } else { Ok(None) };
    };
    let text = bytes[..end].strip_suffix(b"\r").filter(|text| text.iter().all(|b| matches!(b, b' '..=b'~')));
    let words = std::str::from_utf8(text.ok_or(ConnectionLost)?)
        .map_err(|_| ConnectionLost)?
        .split(' ')
        .collect::<Vec<_>>();
    let [id, kind, fields, length] = words[..] else { return Err(ConnectionLost) };
    let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
    let length =
        length.parse::<usize>().ok().filter(|l| digits && *l <= MAX_BODY_BYTES).ok_or(ConnectionLost)?;
    if id.is_empty() || !KINDS.contains(&kind) {
        return Err(ConnectionLost);
    }
    let pairs = fields.split(',').filter(|_| fields != "-");
    let fields = pairs.map(|f| f.split_once('=').ok_or(ConnectionLost)).collect::<Result<Vec<_>, _>>()?;
    let whole = end + 1 + length;
    match bytes.get(whole..whole + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some((whole + 2, Line { id, kind, fields, body: &bytes[end + 1..whole] }))),
        Some(_) => Err(ConnectionLost),
    }
}

/// Validates a result page: UTF-8 text of complete rows with three tab-separated columns.
pub(super) fn parse_page(body: &[u8]) -> Result<Vec<u8>, ConnectionLost> {
    let text = std::str::from_utf8(body).map_err(|_| ConnectionLost)?;
    let whole = text.is_empty() || text.ends_with('\n');
    let columns = text.lines().all(|row| row.matches('\t').count() == 2);
    if whole && columns {
        Ok(body.to_vec())
    } else {
        Err(ConnectionLost)
    }
}

impl Line<'_> {
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }
    pub(super) fn number(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse::<f64>().ok().filter(|v| v.is_finite())
    }
    /// An integer field in the range 1 to `max`.
    pub(super) fn count(&self, name: &str, max: usize) -> Result<usize, ConnectionLost> {
        let value = self.field(name).and_then(|value| value.parse::<usize>().ok());
        value.filter(|value| (1..=max).contains(value)).ok_or(ConnectionLost)
    }
    pub(super) fn progress(&self) -> Option<Progress> {
        let value = self.number("v").unwrap_or(0.0);
        match self.field("remark")? {
            "so_far" => Some(Progress::ShareDone(value)),
            "lacking" => Some(Progress::Spilling(value)),
            "waiting" if value < 1.5 => Some(Progress::WaitsForMemory),
            "waiting" => Some(Progress::WaitsForTableLock),
            _ => None,
        }
    }
    pub(super) fn cost(&self) -> Option<TrueCost> {
        let work = self.number("cost").filter(|ms| *ms > 0.0)?;
        let memory_mb = self.number("need").unwrap_or(0.0);
        Some(TrueCost { work: Micros((work * 1000.0) as u64), memory_mb })
    }
    pub(super) fn report(&self) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for (name, value) in self.field("report")?.split(';').filter_map(|pair| pair.split_once(':')) {
            let value = value.parse::<f64>().ok().filter(|v| v.is_finite());
            value.into_iter().for_each(|value| settings::report_field(&mut report, name, value));
        }
        Some(report)
    }
}
