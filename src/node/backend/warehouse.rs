//! Warehouses: their connections, the lines spoken on them, and what each end proves.

use super::roster::Roster;
use super::Cx;
use crate::node::bulletin::Listing;
use crate::node::deadlines::Wake;
use crate::node::exchange::{Answer, AttemptRef, Ended, Heard, Start};
use crate::node::reactor::{Link, Owner, ReadEnd};
use crate::node::slots::{Key, Slots};
use crate::{settings, EngineId, ListKind, LoadReport, Micros, Note, Outcome, TrueCost};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

const LOOK_MS: f64 = 500.0; // between looks at a connection: as often as notes come
const QUIET_MS: f64 = 1200.0; // without a byte while attempts are out; then `there` asks whether it works
const SUSPECT_MS: f64 = 1500.0; // without an answer to that, nothing new goes onto it; longer than any pause
const DEAD_MS: f64 = 8000.0; // and after this the machine is taken for gone; a short cut mends before
const IDLE_PART: f64 = 0.6; // of the time after which warehouses close: no `want` may cross their close
const LINE_MOST: usize = 4096; // longer without an end, the framing is lost
const BODY_MOST: usize = 64 * 1024; // a page has 6,000 bytes at most
const PAGES_MOST: usize = 1024; // likewise: a result has 48,000 bytes at most
const RESULT_MOST: usize = 256 * 1024; // likewise, with room
const SPENT_MOST: usize = 512; // names given up on one connection; beyond, it is left to run dry
const LINKS_MOST: usize = 8; // connections to one warehouse

#[derive(Debug)]
struct Attempt {
    at: AttemptRef,
    /// Pages in order; empty until the first has come.
    pages: Vec<Option<Vec<u8>>>,
    cost: Option<TrueCost>,
    report: Option<LoadReport>,
}

#[derive(Debug)]
struct Want {
    at: AttemptRef,
    name: Arc<str>,
    bytes: Vec<u8>,
}

#[derive(Debug)]
struct Conn {
    engine: EngineId,
    link: Link,
    up: bool,
    since: f64,
    heard: f64,
    /// When `there` was asked, while it is not answered.
    asked: Option<f64>,
    /// Not one byte of these has been written: whatever ends them, they never ran.
    wants: VecDeque<Want>,
    open: HashMap<Arc<str>, Attempt>,
    /// Names given up here, of which a late line may still come.
    spent: HashSet<Arc<str>>,
}

impl Conn {
    fn load(&self) -> usize {
        self.wants.len() + self.open.len()
    }
}

/// The pool of warehouse connections.
#[derive(Debug)]
pub struct Warehouses {
    classes: Vec<String>,
    dial_ms: f64,
    idle_ms: f64,
    streams: usize,
    sockets: usize,
    roster: Roster,
    conns: Slots<Conn>,
    placed: HashMap<AttemptRef, (Key, Arc<str>)>,
}

/// One answer line: its words, and how many bytes of body follow.
struct Line<'a> {
    id: &'a str,
    word: &'a str,
    fields: Vec<(&'a str, &'a str)>,
    body: Option<&'a [u8]>,
}

/// A line that can't be: the framing is lost.
struct Lost;

/// Reads a line with its body from the front; the number of bytes that it takes. An empty line counts alone.
fn line(bytes: &[u8]) -> Result<Option<(usize, Option<Line<'_>>)>, Lost> {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return if bytes.len() > LINE_MOST { Err(Lost) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| Lost)?.trim_end_matches('\r');
    let words: Vec<&str> = text.split(' ').filter(|w| !w.is_empty()).collect();
    let (id, word, fields, length) = match words[..] {
        [] => return Ok(Some((end + 1, None))),
        [id, word] => (id, word, "-", None),
        [id, word, length] if length.parse::<usize>().is_ok() => (id, word, "-", Some(length)),
        [id, word, fields] => (id, word, fields, None),
        [id, word, fields, length] => (id, word, fields, Some(length)),
        _ => return Err(Lost),
    };
    let length =
        length.map(|l| l.parse::<usize>().ok().filter(|l| *l <= BODY_MOST).ok_or(Lost)).transpose()?;
    let (body, used) = match length {
        None | Some(0) => (None, end + 1), // The empty line that ends an empty body is read as one.
        Some(length) => {
            let Some(body) = bytes.get(end + 1..end + 1 + length) else { return Ok(None) };
            (Some(body), end + 1 + length)
        }
    };
    let fields = fields.split(',').filter_map(|f| f.split_once('=')).collect();
    Ok(Some((used, Some(Line { id, word, fields, body }))))
}

impl Line<'_> {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }
    fn number(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse::<f64>().ok().filter(|v| v.is_finite())
    }
    fn note(&self) -> Option<Note> {
        let value = self.number("v").unwrap_or(0.0);
        match self.field("remark")? {
            "so_far" => Some(Note::Progress(value)),
            "lacking" => Some(Note::Spilling(value)),
            "waiting" if value < 1.5 => Some(Note::WaitsForMemory),
            "waiting" => Some(Note::WaitsForHolder),
            _ => None,
        }
    }
    fn cost(&self) -> Option<TrueCost> {
        let work = self.number("cost").filter(|ms| *ms > 0.0)?;
        let memory_mb = self.number("need").unwrap_or(0.0);
        Some(TrueCost { work: Micros((work * 1000.0) as u64), memory_mb })
    }
    fn report(&self) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for (name, value) in self.field("report")?.split(';').filter_map(|pair| pair.split_once(':')) {
            let value = value.parse::<f64>().ok().filter(|v| v.is_finite());
            value.into_iter().for_each(|value| settings::report_field(&mut report, name, value));
        }
        Some(report)
    }
}

impl Warehouses {
    /// A pool with no warehouses yet. `sockets` is how many descriptors it may take.
    pub fn new(
        classes: Vec<String>,
        dial_ms: f64,
        idle_ms: f64,
        streams: usize,
        sockets: usize,
    ) -> Warehouses {
        Warehouses {
            classes,
            dial_ms,
            idle_ms: idle_ms * IDLE_PART,
            streams,
            sockets,
            roster: Roster::default(),
            conns: Slots::default(),
            placed: HashMap::new(),
        }
    }

    /// News of the list. What waits behind a dial to a warehouse that takes no new work is taken back.
    pub fn members(&mut self, kind: ListKind, listings: &[Listing], cx: &mut Cx) {
        for key in self.roster.apply(kind, listings) {
            self.lose(key, Outcome::Reset, cx);
        }
        for key in self.conns.keys() {
            let Some(conn) = self.conns.get(key) else { continue };
            if self.roster.serving(&conn.engine).is_none() {
                self.take_back(key, cx);
                if self.conns.get(key).is_some_and(|conn| conn.open.is_empty()) {
                    self.lose(key, Outcome::Reset, cx);
                }
            }
        }
    }

    /// Where an engine listens.
    pub fn address(&self, id: &EngineId) -> Option<SocketAddr> {
        self.roster.address(id)
    }

    /// Ends what waits unwritten on a connection: turned away unseen.
    fn take_back(&mut self, key: Key, cx: &mut Cx) {
        let wants = self.conns.get_mut(key).map(|conn| std::mem::take(&mut conn.wants));
        for want in wants.into_iter().flatten() {
            self.placed.remove(&want.at);
            cx.heard.push(Heard::Ended(Ended::bare(want.at, Outcome::Full)));
        }
    }

    /// Begins an attempt.
    pub fn start(&mut self, start: Start, cx: &mut Cx) {
        let at = start.attempt;
        let outcome = match self.roster.serving(&start.engine) {
            Some(_) => match self.choose(&start.engine, &start.name, cx) {
                Some(key) => return self.queue(key, start, cx),
                None => Outcome::ConnectFailed,
            },
            // The list changed between the decision and now.
            None => Outcome::Full,
        };
        cx.heard.push(Heard::Ended(Ended::bare(at, outcome)));
    }

    fn queue(&mut self, key: Key, start: Start, cx: &mut Cx) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let class = self.classes.get(start.class.0).map_or("", String::as_str);
        let mut head = format!("want {} profile={class},max={}", start.name, start.max_ms.floor().max(1.0));
        if start.memory_mb > 0 {
            head.push_str(&format!(",mem={}", start.memory_mb));
        }
        let statement = &start.payload.statement;
        head.push_str(&format!(",prio={} {}\r\n", start.priority.min(3), statement.len()));
        let bytes = [head.as_bytes(), statement, b"\r\n"].concat();
        self.placed.insert(start.attempt, (key, start.name.clone()));
        conn.wants.push_back(Want { at: start.attempt, name: start.name, bytes });
        self.flush(key, cx);
    }

    /// A connection with room that never carried this name before, or a new one.
    fn choose(&mut self, id: &EngineId, name: &Arc<str>, cx: &mut Cx) -> Option<Key> {
        let fits = |conn: &Conn| {
            let suspect = conn.asked.is_some_and(|at| cx.now - at > SUSPECT_MS);
            // A late line of an attempt given up must not pass for the answer of the next.
            let clean = !conn.spent.contains(name) && !conn.open.contains_key(name);
            !suspect && clean && conn.load() < self.streams && conn.spent.len() < SPENT_MOST
        };
        let fitting =
            self.roster.links(id).iter().copied().filter(|key| self.conns.get(*key).is_some_and(fits));
        let least = fitting.min_by_key(|key| self.conns.get(*key).map_or(0, Conn::load));
        least.or_else(|| self.dial(id, cx))
    }

    fn dial(&mut self, id: &EngineId, cx: &mut Cx) -> Option<Key> {
        if self.conns.len() >= self.sockets {
            let idle = self.conns.iter().find(|(_, conn)| conn.load() == 0).map(|(key, _)| key)?;
            self.lose(idle, Outcome::Reset, cx);
        }
        let engine = self.roster.get_mut(id)?;
        if engine.links.len() >= LINKS_MOST {
            return None;
        }
        let link = Link::dial(engine.address)
            .map_err(|e| cx.log.push(format!("dial: engine={} error={e}", id.0)))
            .ok()?;
        let (since, heard) = (cx.now, cx.now);
        let key = self.conns.insert(Conn {
            engine: id.clone(),
            link,
            up: false,
            since,
            heard,
            asked: None,
            wants: VecDeque::new(),
            open: HashMap::new(),
            spent: HashSet::new(),
        });
        engine.links.push(key);
        let watched = self.conns.get_mut(key)?.link.watch(cx.registry, Owner::Warehouse(key));
        if watched.is_err() {
            self.lose(key, Outcome::ConnectFailed, cx);
            return None;
        }
        cx.deadlines.set(cx.now + self.dial_ms, Wake::Backend(key));
        Some(key)
    }

    /// Gives an attempt up: takes it back if no byte of it is written, else calls it off.
    pub fn give_up(&mut self, at: AttemptRef, cx: &mut Cx) {
        let Some((key, name)) = self.placed.remove(&at) else { return };
        let Some(conn) = self.conns.get_mut(key) else { return };
        if let Some(place) = conn.wants.iter().position(|want| want.at == at) {
            conn.wants.remove(place);
        } else if conn.open.remove(&name).is_some() {
            conn.link.put(format!("never_mind {name}\r\n").as_bytes());
            conn.spent.insert(name);
            self.flush(key, cx);
        }
    }

    /// Tells a new priority.
    pub fn hurry(&mut self, at: AttemptRef, priority: u8, cx: &mut Cx) {
        let Some((key, name)) = self.placed.get(&at).cloned() else { return };
        let Some(conn) = self.conns.get_mut(key) else { return };
        if conn.open.get(&name).is_some_and(|attempt| attempt.pages.is_empty()) {
            conn.link.put(format!("hurry {name} {}\r\n", priority.min(3)).as_bytes());
            self.flush(key, cx);
        }
    }

    /// Closes a warehouse's idle connections.
    pub fn close_idle(&mut self, id: &EngineId, cx: &mut Cx) {
        for key in self.roster.links(id).to_vec() {
            if self.conns.get(key).is_some_and(|conn| conn.load() == 0) {
                self.lose(key, Outcome::Reset, cx);
            }
        }
    }

    /// A socket has something to say.
    pub fn ready(&mut self, key: Key, cx: &mut Cx) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if !conn.up {
            match conn.link.connected() {
                None => return,
                Some(Err(_)) => return self.lose(key, Outcome::ConnectFailed, cx),
                Some(Ok(())) => {
                    (conn.up, conn.heard) = (true, cx.now);
                    cx.deadlines.set(cx.now + LOOK_MS, Wake::Backend(key));
                }
            }
        }
        if self.read(key, cx).is_err() {
            return self.lose(key, Outcome::Reset, cx);
        }
        self.flush(key, cx);
    }

    fn read(&mut self, key: Key, cx: &mut Cx) -> Result<(), Lost> {
        loop {
            let Some(conn) = self.conns.get_mut(key) else { return Ok(()) };
            let before = conn.link.input.len();
            let end = conn.link.read(BODY_MOST + 2 * LINE_MOST);
            if conn.link.input.len() > before {
                (conn.heard, conn.asked) = (cx.now, None);
            }
            let input = std::mem::take(&mut conn.link.input);
            let mut used = 0;
            let mut result = Ok(());
            while result.is_ok() {
                match line(&input[used..]) {
                    Ok(None) => break,
                    Ok(Some((bytes, line))) => {
                        used += bytes;
                        result = line.map_or(Ok(()), |line| self.line(key, line, cx));
                    }
                    Err(lost) => result = Err(lost),
                }
            }
            let Some(conn) = self.conns.get_mut(key) else { return Ok(()) };
            conn.link.input = input;
            conn.link.used(used);
            result?;
            match end {
                Ok(ReadEnd::Open) if conn.link.has_more() => {}
                Ok(ReadEnd::Open) => return Ok(()),
                Ok(ReadEnd::Closed) | Err(_) => return Err(Lost),
            }
        }
    }

    fn line(&mut self, key: Key, line: Line<'_>, cx: &mut Cx) -> Result<(), Lost> {
        let Some(conn) = self.conns.get_mut(key) else { return Ok(()) };
        // A late line of an attempt that was given up, or a `green`: it tells only that the connection works.
        let Some(attempt) = conn.open.get_mut(line.id) else { return Ok(()) };
        let at = attempt.at;
        let outcome = match line.word {
            "update" => {
                line.note().into_iter().for_each(|note| cx.heard.push(Heard::Noted(at, note)));
                return Ok(());
            }
            "served" if attempt.pages.is_empty() => {
                let pages = line.number("pages").unwrap_or(1.0).max(1.0) as usize;
                if pages > PAGES_MOST {
                    return Err(Lost);
                }
                attempt.pages = vec![None; pages];
                attempt.pages[0] = Some(line.body.unwrap_or_default().to_vec());
                (attempt.cost, attempt.report) = (line.cost(), line.report());
                for page in 1..pages {
                    conn.link.put(format!("turn {} {page}\r\n", line.id).as_bytes());
                }
                Outcome::Served
            }
            "rows" => {
                let place = line.number("page").map(|page| page as usize);
                match place.and_then(|page| attempt.pages.get_mut(page)) {
                    Some(page) => *page = Some(line.body.unwrap_or_default().to_vec()),
                    None => return Ok(()),
                }
                Outcome::Served
            }
            "overload" => Outcome::Full,
            "nobody" => Outcome::Moot,
            "crashed" => Outcome::Error,
            _ => return Ok(()),
        };
        // Once served, it has run, whatever is said of its pages.
        let outcome = if outcome.never_ran() && !attempt.pages.is_empty() { Outcome::Error } else { outcome };
        if outcome == Outcome::Served {
            let size: usize = attempt.pages.iter().flatten().map(Vec::len).sum();
            if size > RESULT_MOST {
                return Err(Lost);
            }
            if attempt.pages.iter().any(Option::is_none) {
                return Ok(());
            }
        }
        let Some(attempt) = conn.open.remove(line.id) else { return Ok(()) };
        self.placed.remove(&at);
        let (answer, report) = match outcome {
            Outcome::Served => {
                if attempt.pages.len() > 1 {
                    conn.link.put(format!("shut {}\r\n", line.id).as_bytes());
                }
                (
                    Some(Answer::Served(attempt.pages.into_iter().flatten().flatten().collect())),
                    attempt.report,
                )
            }
            _ => (None, line.report()),
        };
        cx.heard.push(Heard::Ended(Ended { attempt: at, outcome, answer, cost: attempt.cost, report }));
        Ok(())
    }

    /// Writes what the socket takes. The next `want` goes out only when all before it is written, so that a
    /// drain still finds it unsent.
    fn flush(&mut self, key: Key, cx: &mut Cx) {
        let Some(conn) = self.conns.get_mut(key).filter(|conn| conn.up) else { return };
        loop {
            if conn.link.flush().is_err() {
                return self.lose(key, Outcome::Reset, cx);
            }
            if conn.link.waiting() > 0 {
                return;
            }
            let Some(want) = conn.wants.pop_front() else { return };
            if conn.open.is_empty() {
                conn.heard = cx.now; // Silence counts from the first thing asked.
            }
            conn.link.put(&want.bytes);
            let attempt = Attempt { at: want.at, pages: Vec::new(), cost: None, report: None };
            conn.open.insert(want.name, attempt);
        }
    }

    /// Drops a connection. What was sent on it ends as `outcome` says; what was not never ran.
    fn lose(&mut self, key: Key, outcome: Outcome, cx: &mut Cx) {
        let Some(conn) = self.conns.remove(key) else { return };
        self.roster.unlink(&conn.engine, key);
        let unsent = conn.wants.into_iter().map(|want| (want.at, Outcome::ConnectFailed));
        for (at, outcome) in conn.open.into_values().map(|a| (a.at, outcome)).chain(unsent) {
            self.placed.remove(&at);
            cx.heard.push(Heard::Ended(Ended::bare(at, outcome)));
        }
    }

    /// Looks after a connection: is it up in time, does it still answer, has it long been idle?
    pub fn look(&mut self, key: Key, cx: &mut Cx) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if !conn.up {
            if cx.now - conn.since >= self.dial_ms {
                self.lose(key, Outcome::ConnectFailed, cx);
            }
            return;
        }
        let idle = cx.now - conn.heard;
        if conn.load() == 0 {
            if idle >= self.idle_ms {
                return self.lose(key, Outcome::Reset, cx);
            }
        } else if conn.asked.is_some_and(|at| cx.now - at >= DEAD_MS) {
            cx.log.push(format!("silent: engine={} attempts={}", conn.engine.0, conn.load()));
            return self.lose(key, Outcome::Reset, cx);
        } else if idle >= QUIET_MS && conn.asked.is_none() {
            conn.asked = Some(cx.now);
            conn.link.put(format!("there k{}\r\n", key.slot).as_bytes());
            self.flush(key, cx);
        }
        cx.deadlines.set(cx.now + LOOK_MS, Wake::Backend(key));
    }
}
