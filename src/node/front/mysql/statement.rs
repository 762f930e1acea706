//! Statement analysis for the MySQL front: parameter count, use of session state, and read-only statements.

/// The feature for which a statement is refused: it depends on session state, which is not shared between engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsupported(pub &'static str);

/// The refusal of a statement that reads what the statement before it has left in the session, such as its warnings. A
/// pooled connection has run statements of other sessions since.
const EARLIER_STATEMENT: Unsupported = Unsupported("what the statement before has left");

/// Marks a quoted name among the words of a statement, so that it can't be taken for a keyword.
const QUOTED_NAME: char = '`';
/// Longest identifier of MySQL, in characters. A longer quoted text is a string, which is cut at this length.
const MAX_NAME_CHARS: usize = 64;

/// First words of statements that read.
const READS: &[&str] = &["SELECT", "SHOW", "EXPLAIN", "DESCRIBE", "DESC", "VALUES", "TABLE", "WITH"];
/// System variables that hold what an earlier statement of the session has left.
const VARIABLES_OF_EARLIER_STATEMENTS: &[&str] =
    &["WARNING_COUNT", "ERROR_COUNT", "IDENTITY", "LAST_INSERT_ID", "LAST_GTID", "IN_TRANSACTION"];
/// Functions that return what an earlier statement of the session has left.
const FUNCTIONS_OF_EARLIER_STATEMENTS: &[&str] = &["LAST_INSERT_ID", "FOUND_ROWS", "ROW_COUNT"];
/// Functions that acquire or release a lock that belongs to the session.
const LOCK_FUNCTIONS: &[&str] = &["GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS"];

/// Splits a statement into words, names and punctuation, in upper case, without strings and comments. A quoted name
/// begins with a backtick; so does a text in double quotes, which is a name in the SQL mode `ANSI_QUOTES`.
pub fn words(sql: &[u8]) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut i = 0;
    while i < sql.len() {
        let (byte, next) = (sql[i], sql.get(i + 1).copied());
        let after = |what: &[u8], from: usize| {
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
            // MySQL executes the content of `/*! ... */`, so it is not skipped like a comment.
            (b'/', Some(b'*')) if conditional_comment_start(&sql[i..]).is_some() => {
                let start = conditional_comment_start(&sql[i..]).unwrap_or_default();
                let version = sql[i + start..].iter().take_while(|b| b.is_ascii_digit()).count();
                i += start + version;
            }
            (b'/', Some(b'*')) => i = after(b"*/", i + 2),
            // The end of a conditional comment; `*/` occurs nowhere else outside strings.
            (b'*', Some(b'/')) => i += 2,
            (b'-', Some(b'-')) if sql.get(i + 2).is_none_or(u8::is_ascii_whitespace) => i = after(b"\n", i),
            (b'#', _) => i = after(b"\n", i),
            (b'\'' | b'"' | b'`', _) => {
                let start = i + 1;
                i = start;
                while i < sql.len() && sql[i] != byte {
                    i += if sql[i] == b'\\' && byte != b'`' { 2 } else { 1 };
                }
                if byte != b'\'' {
                    words.push(quoted_name(&sql[start..i.min(sql.len())]));
                }
                i += 1; // A doubled quote is handled as the end of one string and the start of the next.
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

/// The length of the start of a conditional comment, `/*!` or MariaDB's `/*M!`, whose content the server executes.
fn conditional_comment_start(sql: &[u8]) -> Option<usize> {
    match sql {
        [b'/', b'*', b'!', ..] => Some(3),
        [b'/', b'*', b'M', b'!', ..] => Some(4),
        _ => None,
    }
}

/// The word that stands for a quoted name.
fn quoted_name(name: &[u8]) -> String {
    let mut word = String::from(QUOTED_NAME);
    let name = name.iter().take(MAX_NAME_CHARS).map(|byte| byte.to_ascii_uppercase() as char);
    word.extend(name);
    word
}

/// The name that a word stands for, quoted or not.
fn name_of(word: &str) -> &str {
    word.strip_prefix(QUOTED_NAME).unwrap_or(word)
}

/// The schema that a plain `USE` statement selects. `None` for other statements, and for `USE` in a conditional comment
/// or with further words.
pub fn schema_of_use(sql: &[u8]) -> Option<Vec<u8>> {
    let (verb, rest) = skip_blanks(sql).split_first_chunk::<3>()?;
    if !verb.eq_ignore_ascii_case(b"USE") || rest.first().is_some_and(|byte| is_name_byte(*byte)) {
        return None;
    }
    let rest = skip_blanks(rest);
    let (name, end) = match rest.strip_prefix(b"`") {
        Some(quoted) => quoted.split_at_checked(quoted.iter().position(|byte| *byte == b'`')?)?,
        None => rest.split_at(rest.iter().position(|byte| !is_name_byte(*byte)).unwrap_or(rest.len())),
    };
    let mut end = end.strip_prefix(b"`").unwrap_or(end);
    while let Some(after) = skip_blanks(end).strip_prefix(b";") {
        end = after;
    }
    (!name.is_empty() && skip_blanks(end).is_empty()).then(|| name.to_vec())
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}

/// Skips white space and comments, but not conditional comments `/*! ... */`, whose content MySQL executes.
fn skip_blanks(sql: &[u8]) -> &[u8] {
    let mut rest = sql.trim_ascii_start();
    loop {
        let (start, end): (usize, &[u8]) = match rest {
            [b'/', b'*', ..] if conditional_comment_start(rest).is_some() => return rest,
            [b'/', b'*', ..] => (2, b"*/"),
            [b'#', ..] => (1, b"\n"),
            [b'-', b'-', after, ..] if after.is_ascii_whitespace() => (2, b"\n"),
            _ => return rest,
        };
        let length = rest[start..].windows(end.len()).position(|window| window == end);
        let after = length.map_or(rest.len(), |length| start + length + end.len());
        rest = rest[after..].trim_ascii_start();
    }
}

/// Counts the parameter markers (`?`) of a statement.
pub fn count_parameters(words: &[String]) -> usize {
    words.iter().filter(|w| *w == "?").count()
}

/// Checks that a statement can run on any engine because it neither reads nor changes session state.
pub fn check_session_independent(words: &[String]) -> Result<(), Unsupported> {
    let word = |i: usize| words.get(i).map_or("", String::as_str);
    let first = words.iter().position(|w| w != "(" && w != ";").unwrap_or(0);
    match (word(first), word(first + 1)) {
        ("BEGIN" | "COMMIT" | "ROLLBACK" | "SAVEPOINT" | "RELEASE" | "XA", _) | ("START", "TRANSACTION") => {
            return Err(Unsupported("transactions"));
        }
        ("SET", _) => return Err(Unsupported("SET")),
        ("USE", _) => return Err(Unsupported("USE other than as a plain statement")),
        ("LOCK" | "UNLOCK", _) => return Err(Unsupported("table locks")),
        ("PREPARE" | "EXECUTE" | "DEALLOCATE", _) => return Err(Unsupported("PREPARE as a statement")),
        ("HANDLER", _) => return Err(Unsupported("HANDLER")),
        ("LOAD", _) => return Err(Unsupported("LOAD")),
        ("CREATE" | "DROP", "TEMPORARY") => return Err(Unsupported("temporary tables")),
        ("KILL", _) => return Err(Unsupported("KILL")),
        ("SHOW", "WARNINGS" | "ERRORS") | ("GET", _) => return Err(EARLIER_STATEMENT),
        ("SHOW", "COUNT") if word(first + 2) == "(" => return Err(EARLIER_STATEMENT),
        _ => {}
    }
    // A user variable `@x` is session state; a system variable `@@x` can be read on any engine.
    let at = |i: usize| words.get(i).is_some_and(|w| w == "@");
    if (0..words.len()).any(|i| at(i) && !at(i + 1) && (i == 0 || !at(i - 1))) {
        return Err(Unsupported("user variables"));
    }
    if calls_one_of(words, LOCK_FUNCTIONS) {
        return Err(Unsupported("named locks"));
    }
    if calls_one_of(words, FUNCTIONS_OF_EARLIER_STATEMENTS) || reads_variable_of_earlier_statement(words) {
        return Err(EARLIER_STATEMENT);
    }
    if words.iter().rev().skip_while(|w| *w == ";").any(|w| w == ";") {
        return Err(Unsupported("several statements in one"));
    }
    Ok(())
}

/// Whether a statement calls one of these functions.
fn calls_one_of(words: &[String], functions: &[&str]) -> bool {
    words.windows(2).any(|pair| pair[1] == "(" && functions.contains(&name_of(&pair[0])))
}

/// Whether a statement reads a system variable that an earlier statement of the session has set, such as
/// `@@warning_count` or `@@session.identity`.
fn reads_variable_of_earlier_statement(words: &[String]) -> bool {
    words.windows(3).enumerate().any(|(index, start)| {
        let is_system_variable = start[0] == "@" && start[1] == "@";
        let is_scope = matches!(name_of(&start[2]), "SESSION" | "LOCAL" | "GLOBAL");
        let name = match words.get(index + 3) {
            Some(point) if is_scope && point == "." => words.get(index + 4),
            _ => Some(&start[2]),
        };
        is_system_variable
            && name.is_some_and(|name| VARIABLES_OF_EARLIER_STATEMENTS.contains(&name_of(name)))
    })
}

/// Whether a statement may change the session in which a server runs it, beyond what its response tells: a procedure can
/// set variables, take locks, create temporary tables or leave a transaction open, and dropping a schema unsets the
/// default schema. Only statements that are known not to are excepted.
pub fn may_change_session(words: &[String]) -> bool {
    const WRITES: &[&str] = &["INSERT", "UPDATE", "DELETE", "REPLACE", "ALTER", "TRUNCATE"];
    let first = words.iter().find(|word| *word != "(" && *word != ";").map_or("", String::as_str);
    !READS.contains(&first) && !WRITES.contains(&first)
}

/// Whether a statement is read-only, so that it can safely run again.
pub fn is_read_only(words: &[String]) -> bool {
    const WRITES: &[&str] =
        &["INSERT", "UPDATE", "DELETE", "REPLACE", "INTO", "CALL", "LOCK", "NEXTVAL", "SETVAL", "ANALYZE"];
    let first = words.iter().find(|w| *w != "(").map_or("", String::as_str);
    let assigns = words.windows(2).any(|w| w[0] == ":" && w[1] == "=");
    READS.contains(&first) && !assigns && !words.iter().any(|w| WRITES.contains(&w.as_str()))
}
