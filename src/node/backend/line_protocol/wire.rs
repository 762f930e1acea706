//! The lines of the wire: what may stand in an answer.

use super::*;

/// One answer: its words and its body.
pub(super) struct Line<'a> {
    pub(super) id: &'a str,
    pub(super) word: &'a str,
    pub(super) fields: Vec<(&'a str, &'a str)>,
    pub(super) body: &'a [u8],
}

/// An answer that can't be: the framing is lost, and with it all that the connection carries.
pub(super) struct Lost;

const WORDS: [&str; 8] = ["served", "rows", "update", "overload", "nobody", "crashed", "green", "red"];

/// Reads an answer from the front; the number of bytes that it takes. Whatever is not wholly as it should be is lost:
/// behind a length that does not fit, every byte may pass for something that it is not.
pub(super) fn line(bytes: &[u8]) -> Result<Option<(usize, Line<'_>)>, Lost> {
    let Some(end) = bytes.iter().take(LINE_MOST).position(|b| *b == b'\n') else {
        return if bytes.len() >= LINE_MOST { Err(Lost) } else { Ok(None) };
    };
    let text = bytes[..end].strip_suffix(b"\r").filter(|text| text.iter().all(|b| matches!(b, b' '..=b'~')));
    let words = std::str::from_utf8(text.ok_or(Lost)?).map_err(|_| Lost)?.split(' ').collect::<Vec<_>>();
    let [id, word, fields, length] = words[..] else { return Err(Lost) };
    let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
    let length = length.parse::<usize>().ok().filter(|l| digits && *l <= BODY_MOST).ok_or(Lost)?;
    if id.is_empty() || !WORDS.contains(&word) {
        return Err(Lost);
    }
    let pairs = fields.split(',').filter(|_| fields != "-");
    let fields = pairs.map(|f| f.split_once('=').ok_or(Lost)).collect::<Result<Vec<_>, _>>()?;
    let whole = end + 1 + length;
    match bytes.get(whole..whole + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some((whole + 2, Line { id, word, fields, body: &bytes[end + 1..whole] }))),
        Some(_) => Err(Lost),
    }
}

/// A page as the platform promises it: whole rows of three columns, as text.
pub(super) fn page(body: &[u8]) -> Result<Vec<u8>, Lost> {
    let text = std::str::from_utf8(body).map_err(|_| Lost)?;
    let whole = text.is_empty() || text.ends_with('\n');
    let columns = text.lines().all(|row| row.matches('\t').count() == 2);
    if whole && columns {
        Ok(body.to_vec())
    } else {
        Err(Lost)
    }
}

impl Line<'_> {
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }
    pub(super) fn number(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse::<f64>().ok().filter(|v| v.is_finite())
    }
    /// A whole number from 1 to `most`.
    pub(super) fn count(&self, name: &str, most: usize) -> Result<usize, Lost> {
        let value = self.field(name).and_then(|value| value.parse::<usize>().ok());
        value.filter(|value| (1..=most).contains(value)).ok_or(Lost)
    }
    pub(super) fn note(&self) -> Option<Progress> {
        let value = self.number("v").unwrap_or(0.0);
        match self.field("remark")? {
            "so_far" => Some(Progress::ShareDone(value)),
            "lacking" => Some(Progress::Spilling(value)),
            "waiting" if value < 1.5 => Some(Progress::WaitsForMemory),
            "waiting" => Some(Progress::WaitsForHolder),
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
