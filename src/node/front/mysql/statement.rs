//! What a statement is, as far as the front must know: its parameters, whether it moves between boxes, and
//! whether it only reads.

/// Why a statement can't be taken: it would leave state in a session that the next statement may not meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound(pub &'static str);

/// Words and marks of a statement, upper case; strings, quoted names and comments are left out.
pub fn words(sql: &[u8]) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut i = 0;
    while i < sql.len() {
        let (byte, next) = (sql[i], sql.get(i + 1).copied());
        let behind = |what: &[u8], from: usize| {
            let rest = sql.get(from..).unwrap_or_default();
            let at = rest.windows(what.len()).position(|w| w == what);
            at.map_or(sql.len(), |at| from + at + what.len())
        };
        if byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80 {
            word.push(byte.to_ascii_uppercase() as char);
            i += 1;
            continue;
        }
        if !word.is_empty() {
            words.push(std::mem::take(&mut word));
        }
        match (byte, next) {
            // What follows `/*!` is run by the box, so it counts.
            (b'/', Some(b'*')) if sql.get(i + 2) == Some(&b'!') => {
                let version = sql[i + 3..].iter().take_while(|b| b.is_ascii_digit()).count();
                i += 3 + version;
            }
            (b'/', Some(b'*')) => i = behind(b"*/", i + 2),
            (b'-', Some(b'-')) if sql.get(i + 2).is_none_or(u8::is_ascii_whitespace) => i = behind(b"\n", i),
            (b'#', _) => i = behind(b"\n", i),
            (b'\'' | b'"' | b'`', _) => {
                i += 1;
                while i < sql.len() && sql[i] != byte {
                    i += if sql[i] == b'\\' && byte != b'`' { 2 } else { 1 };
                }
                i += 1; // A doubled quote opens the next string, which ends where this one does.
            }
            _ => {
                if !byte.is_ascii_whitespace() {
                    words.push((byte as char).to_string());
                }
                i += 1;
            }
        }
    }
    words.extend((!word.is_empty()).then_some(word));
    words
}

/// How many parameters a statement has.
pub fn parameters(words: &[String]) -> usize {
    words.iter().filter(|w| *w == "?").count()
}

/// Whether a statement can run on any box, with nothing left behind that the next would need.
pub fn movable(words: &[String]) -> Result<(), Bound> {
    let word = |i: usize| words.get(i).map_or("", String::as_str);
    let first = words.iter().position(|w| w != "(" && w != ";").unwrap_or(0);
    match (word(first), word(first + 1)) {
        ("BEGIN" | "COMMIT" | "ROLLBACK" | "SAVEPOINT" | "RELEASE" | "XA", _) | ("START", "TRANSACTION") => {
            return Err(Bound("transactions"));
        }
        ("SET", _) => return Err(Bound("SET")),
        ("LOCK" | "UNLOCK", _) => return Err(Bound("table locks")),
        ("PREPARE" | "EXECUTE" | "DEALLOCATE", _) => return Err(Bound("PREPARE as a statement")),
        ("HANDLER", _) => return Err(Bound("HANDLER")),
        ("LOAD", _) => return Err(Bound("LOAD")),
        ("CREATE" | "DROP", "TEMPORARY") => return Err(Bound("temporary tables")),
        ("KILL", _) => return Err(Bound("KILL")),
        _ => {}
    }
    let pair = |a: &str, b: &str| words.windows(2).any(|w| w[0] == a && w[1] == b);
    // `@x` belongs to a session; `@@x` is the box's own and may be read anywhere.
    let at = |i: usize| words.get(i).is_some_and(|w| w == "@");
    if (0..words.len()).any(|i| at(i) && !at(i + 1) && (i == 0 || !at(i - 1))) {
        return Err(Bound("user variables"));
    }
    if pair("GET_LOCK", "(") || pair("RELEASE_LOCK", "(") || pair("RELEASE_ALL_LOCKS", "(") {
        return Err(Bound("named locks"));
    }
    if pair("LAST_INSERT_ID", "(") || pair("FOUND_ROWS", "(") || pair("ROW_COUNT", "(") {
        return Err(Bound("what the statement before has left"));
    }
    if words.iter().rev().skip_while(|w| *w == ";").any(|w| w == ";") {
        return Err(Bound("several statements in one"));
    }
    Ok(())
}

/// Whether a statement does nothing but read, so that running it again is harmless.
pub fn only_reads(words: &[String]) -> bool {
    const OPENS: &[&str] = &["SELECT", "SHOW", "EXPLAIN", "DESCRIBE", "DESC", "VALUES", "TABLE", "WITH"];
    const WRITES: &[&str] =
        &["INSERT", "UPDATE", "DELETE", "REPLACE", "INTO", "CALL", "LOCK", "NEXTVAL", "SETVAL", "ANALYZE"];
    let first = words.iter().find(|w| *w != "(").map_or("", String::as_str);
    let assigns = words.windows(2).any(|w| w[0] == ":" && w[1] == "=");
    OPENS.contains(&first) && !assigns && !words.iter().any(|w| WRITES.contains(&w.as_str()))
}
