//! The test's end of a TCP connection, and the mapping between request names in scenarios and request ids.

use super::*;

/// The test's end of a TCP connection, with the received bytes that have not been parsed yet.
pub struct Peer {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    pub closed: bool,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_nonblocking(true).unwrap();
        // Without TCP_NODELAY the kernel can delay small writes by real milliseconds, which are seconds of the test's
        // simulated clock.
        stream.set_nodelay(true).unwrap();
        Peer { stream, input: Vec::new(), closed: false }
    }
    pub fn pull(&mut self) {
        let mut chunk = [0; 65_536];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return self.closed = true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.closed = true,
            }
        }
    }
    pub fn push(&mut self, bytes: &[u8]) {
        self.push_while(bytes, || {});
    }
    /// Writes all bytes. Calls `work` whenever the send buffer is full, so that the other end can read. Bytes for a
    /// closed connection are dropped.
    pub fn push_while(&mut self, mut bytes: &[u8], mut work: impl FnMut()) {
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => work(),
                Err(_) => return,
            }
        }
    }
    /// Parses the next line of the line protocol. The last word of a `want` line is the length of its body; in the
    /// returned text, the body replaces that word.
    pub fn line(&mut self) -> Option<String> {
        let end = self.input.windows(2).position(|w| w == b"\r\n")?;
        let line = String::from_utf8(self.input[..end].to_vec()).unwrap();
        let (head, length) = line.rsplit_once(' ').unwrap_or((&line, ""));
        let body = if line.starts_with("want ") { length.parse::<usize>().ok() } else { None };
        let Some(length) = body else {
            self.input.drain(..end + 2);
            return Some(line);
        };
        let body = self.input.get(end + 2..end + 2 + length)?;
        let whole = format!("{head} {}", String::from_utf8_lossy(body));
        self.input.drain(..end + 4 + length);
        Some(whole)
    }
    /// Parses the next JSON-RPC message. Returns `ID served TEXT` for a served request, `ID error CODE [backoff]` for
    /// an error, and the JSON text of any other message.
    pub fn message(&mut self) -> Option<String> {
        let end = self.input.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8(self.input[..end].to_vec()).unwrap();
        let length: usize = head.strip_prefix("Content-Length: ").unwrap().parse().unwrap();
        let body = self.input.get(end + 4..end + 4 + length)?.to_vec();
        self.input.drain(..end + 4 + length);
        let text = String::from_utf8(body.clone()).unwrap();
        let value = json::read(body).expect("the message is valid JSON");
        let id = value.get("id").and_then(|id| id.as_u64()).map_or("null".into(), |id| id.to_string());
        if let Some(error) = value.get("error") {
            let backoff = error.get("data").and_then(|d| d.get("backoff")).and_then(json::number);
            let backoff = if backoff.is_some_and(|ms| ms > 0.0) { " backoff" } else { "" };
            return Some(format!("{id} error {}{backoff}", error.get("code").unwrap().as_i64().unwrap()));
        }
        match value.get("result").and_then(|r| r.get("doc")).and_then(|doc| doc.as_str()) {
            Some(doc) => {
                let body = BASE64_STANDARD.decode(doc).unwrap();
                Some(format!("{id} served {}", String::from_utf8(body).unwrap()))
            }
            None => Some(text),
        }
    }
}

/// Converts a request name used in scenarios, such as `c1-2`, to a request id: the name's bytes in hexadecimal, padded
/// with zeros to 16 digits.
pub fn rid(name: &str) -> String {
    let digits: String = name.bytes().map(|b| format!("{b:02x}")).collect();
    format!("{digits:0<16}")
}

/// Replaces the request ids in a line by the request names that scenarios use, such as `c1-2`.
pub fn named(line: &str) -> String {
    let name = |word: &str| {
        let digits = word.len() == 16 && word.bytes().all(|b| b.is_ascii_hexdigit());
        let bytes = (0..8).map_while(|i| u8::from_str_radix(word.get(2 * i..2 * i + 2)?, 16).ok());
        let text = bytes.take_while(|b| *b != 0).map(char::from).collect();
        if digits {
            text
        } else {
            word.to_owned()
        }
    };
    line.split(' ').map(name).collect::<Vec<String>>().join(" ")
}

/// Whether a text matches a pattern, in which `*` matches any number of characters.
pub fn fits(pattern: &str, text: &str) -> bool {
    match pattern.split_once('*') {
        None => pattern == text,
        Some((head, rest)) => text.strip_prefix(head).is_some_and(|text| {
            rest.is_empty() || (0..=text.len()).any(|i| text.is_char_boundary(i) && fits(rest, &text[i..]))
        }),
    }
}

pub struct House {
    pub listener: TcpListener,
    pub conns: Vec<Peer>,
}

impl House {
    pub fn new() -> House {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        House { listener, conns: Vec::new() }
    }
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
    pub fn pull(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            self.conns.push(Peer::new(stream));
        }
        self.conns.iter_mut().for_each(Peer::pull);
    }
}

impl Peer {
    pub fn address(&self) -> SocketAddr {
        self.stream.peer_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}
