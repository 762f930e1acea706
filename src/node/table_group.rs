//! Which group of tables a statement reads or writes: the number after the underscore in the name of its schema.

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Token<'a> {
    Word(&'a [u8]),
    Quoted(&'a [u8]),
    Mark(u8),
}

impl<'a> Token<'a> {
    fn name(self) -> Option<&'a [u8]> {
        match self {
            Token::Word(name) | Token::Quoted(name) => Some(name),
            Token::Mark(_) => None,
        }
    }
    fn is_one_of(self, words: &[&str]) -> bool {
        matches!(self, Token::Word(word) if words.iter().any(|w| word.eq_ignore_ascii_case(w.as_bytes())))
    }
}

/// Splits a statement; strings and comments leave nothing but a mark.
fn tokens(sql: &[u8]) -> Vec<Token<'_>> {
    let mut out = Vec::new();
    let mut i = 0;
    let word = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b == b'$' || b >= 0x80;
    let find = |from: usize, what: &[u8]| {
        let rest = sql.get(from..).unwrap_or_default();
        rest.windows(what.len()).position(|w| w == what).map_or(sql.len(), |at| from + at + what.len())
    };
    while i < sql.len() {
        match (sql[i], sql.get(i + 1)) {
            (b'-', Some(b'-')) | (b'#', _) => i = find(i, b"\n"),
            (b'/', Some(b'*')) => i = find(i + 2, b"*/"),
            (quote @ (b'\'' | b'"' | b'`' | b'['), _) => {
                let close = if quote == b'[' { b']' } else { quote };
                let mut end = i + 1;
                while end < sql.len() {
                    if sql[end] == b'\\' && quote == b'\'' {
                        end += 1;
                    } else if sql[end] == close {
                        if sql.get(end + 1) != Some(&close) {
                            break;
                        }
                        end += 1; // Doubled, it stands for itself.
                    }
                    end += 1;
                }
                let inner = &sql[i + 1..end.min(sql.len())];
                out.push(if quote == b'\'' { Token::Mark(b'\'') } else { Token::Quoted(inner) });
                i = end + 1;
            }
            (b, _) if word(b) => {
                let end = sql[i..].iter().position(|b| !word(*b)).map_or(sql.len(), |n| i + n);
                out.push(Token::Word(&sql[i..end]));
                i = end;
            }
            (b, _) if b.is_ascii_whitespace() => i += 1,
            (b, _) => {
                out.push(Token::Mark(b));
                i += 1;
            }
        }
    }
    out
}

fn group_of(schema: &[u8]) -> Option<u64> {
    if schema.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    let at = schema.iter().rposition(|b| *b == b'_')?;
    let digits = &schema[at + 1..];
    let all = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| all)?.parse().ok()
}

/// The group of tables of a statement. Names of tables stand behind words such as FROM; only where none of these
/// tells, a qualified name elsewhere does (it may be a column of an alias).
pub fn table_group(sql: &[u8]) -> Option<u64> {
    const BEFORE: &[&str] = &["from", "join", "into", "update", "table", "using", "only", "call"];
    const AFTER: &[&str] = &["where", "set", "on", "group", "order", "having", "limit", "values", "select"];
    let tokens = tokens(sql);
    let mut elsewhere = None;
    let (mut i, mut in_list, mut named) = (0, false, false);
    while i < tokens.len() {
        let token = tokens[i];
        if token.is_one_of(BEFORE) {
            (in_list, named) = (true, true);
        } else if token.is_one_of(AFTER) {
            (in_list, named) = (false, false);
        } else if token == Token::Mark(b',') {
            named = in_list;
        } else if let Some(first) = token.name() {
            let mut parts = vec![first];
            while let (Some(Token::Mark(b'.')), Some(next)) =
                (tokens.get(i + 1), tokens.get(i + 2).and_then(|t| t.name()))
            {
                parts.push(next);
                i += 2;
            }
            let schema = parts.len().checked_sub(2).and_then(|at| group_of(parts[at]));
            match schema {
                Some(group) if named => return Some(group),
                Some(group) => elsewhere = elsewhere.or(Some(group)),
                None => {}
            }
            named = false;
        }
        i += 1;
    }
    elsewhere
}
