//! Extracts from a SQL statement the group of tables that the statement reads or writes. The group is the number after
//! the last underscore of a schema name, such as 17 in `sales_17.orders`.

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Token<'a> {
    /// A keyword or an unquoted identifier.
    Word(&'a [u8]),
    /// A quoted identifier, without its quotation marks.
    QuotedName(&'a [u8]),
    /// A punctuation character; the quotation mark stands for a whole string literal.
    Symbol(u8),
}

impl<'a> Token<'a> {
    /// Returns the identifier, or `None` for a symbol. An unquoted word counts as an identifier.
    fn name(self) -> Option<&'a [u8]> {
        match self {
            Token::Word(name) | Token::QuotedName(name) => Some(name),
            Token::Symbol(_) => None,
        }
    }
    fn is_one_of(self, words: &[&str]) -> bool {
        matches!(self, Token::Word(word) if words.iter().any(|w| word.eq_ignore_ascii_case(w.as_bytes())))
    }
}

/// Splits a statement into tokens. A string literal becomes a single symbol, and comments are skipped.
fn tokenize(sql: &[u8]) -> Vec<Token<'_>> {
    let mut out = Vec::new();
    let mut i = 0;
    let is_word = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b == b'$' || b >= 0x80;
    let find_end = |from: usize, terminator: &[u8]| {
        let rest = sql.get(from..).unwrap_or_default();
        let at = rest.windows(terminator.len()).position(|w| w == terminator);
        at.map_or(sql.len(), |at| from + at + terminator.len())
    };
    while i < sql.len() {
        match (sql[i], sql.get(i + 1)) {
            (b'-', Some(b'-')) | (b'#', _) => i = find_end(i, b"\n"),
            (b'/', Some(b'*')) => i = find_end(i + 2, b"*/"),
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
                        end += 1; // A doubled quotation mark is an escaped one.
                    }
                    end += 1;
                }
                let inner = &sql[i + 1..end.min(sql.len())];
                out.push(if quote == b'\'' { Token::Symbol(b'\'') } else { Token::QuotedName(inner) });
                i = end + 1;
            }
            (b, _) if is_word(b) => {
                let end = sql[i..].iter().position(|b| !is_word(*b)).map_or(sql.len(), |n| i + n);
                out.push(Token::Word(&sql[i..end]));
                i = end;
            }
            (b, _) if b.is_ascii_whitespace() => i += 1,
            (b, _) => {
                out.push(Token::Symbol(b));
                i += 1;
            }
        }
    }
    out
}

/// Returns the table group of a schema name. The schema `staging` and names without a numeric suffix have no group.
fn group_of(schema: &[u8]) -> Option<u64> {
    if schema.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    let at = schema.iter().rposition(|b| *b == b'_')?;
    let digits = &schema[at + 1..];
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
}

/// Returns the table group of a statement without a default schema, see [`table_group_in`].
pub fn table_group(sql: &[u8]) -> Option<u64> {
    table_group_in(sql, None)
}

/// Returns the table group of a statement. Table names are the names that follow a keyword such as FROM; unqualified
/// ones belong to the default schema. If none of them has a group, the first qualified name elsewhere that has one
/// counts; it may be a column of a table alias.
pub fn table_group_in(sql: &[u8], default_schema: Option<&str>) -> Option<u64> {
    // Keywords that a table name follows, and keywords that end a list of table names.
    const BEFORE: &[&str] = &["from", "join", "into", "update", "table", "using", "only", "call"];
    const AFTER: &[&str] = &["where", "set", "on", "group", "order", "having", "limit", "values", "select"];
    let default_group = default_schema.and_then(|schema| group_of(schema.as_bytes()));
    let tokens = tokenize(sql);
    let mut fallback = None;
    let (mut i, mut in_table_list, mut expects_table) = (0, false, false);
    while i < tokens.len() {
        let token = tokens[i];
        if token.is_one_of(BEFORE) {
            (in_table_list, expects_table) = (true, true);
        } else if token.is_one_of(AFTER) {
            (in_table_list, expects_table) = (false, false);
        } else if token == Token::Symbol(b',') {
            expects_table = in_table_list;
        } else if let Some(first) = token.name() {
            // A name behind a parenthesis may be a column, as in `USING (id)`.
            let is_behind_parenthesis = i > 0 && tokens[i - 1] == Token::Symbol(b'(');
            let mut parts = vec![first];
            while let (Some(Token::Symbol(b'.')), Some(next)) =
                (tokens.get(i + 1), tokens.get(i + 2).and_then(|t| t.name()))
            {
                parts.push(next);
                i += 2;
            }
            let group = match parts.len().checked_sub(2) {
                Some(schema) => group_of(parts[schema]),
                None => default_group.filter(|_| expects_table && !is_behind_parenthesis),
            };
            match group {
                Some(group) if expects_table => return Some(group),
                Some(group) => fallback = fallback.or(Some(group)),
                None => {}
            }
            expects_table = false;
        }
        i += 1;
    }
    fallback
}
