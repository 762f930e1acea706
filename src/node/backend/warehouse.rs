//! Warehouses: their connections, the lines spoken on them, and what each end proves.

use super::roster::Roster;
use super::Cx;
use crate::node::bulletin::Listing;
use crate::node::deadlines::{Deadlines, Handle, Wake};
use crate::node::exchange::{Answer, AttemptRef, Ended, Heard, Start, ACCOUNT};
use crate::node::reactor::{Link, Owner, ReadEnd};
use crate::node::slots::{Key, Slots};
use crate::{settings, EngineId, ListKind, LoadReport, Micros, Note, Outcome, TrueCost};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::trace;

const LOOK_MS: f64 = 250.0; // between looks at a connection: twice as often as notes come
const QUIET_MS: f64 = 700.0; // without a byte while attempts are out; then `there` asks whether it works
const SUSPECT_MS: f64 = 500.0; // without an answer to that, nothing new goes onto it; longer than any pause
const STALL_MS: f64 = 500.0; // in the middle of an answer without a further byte; then the framing is lost
const DEAD_MS: f64 = 8000.0; // and after this the machine is taken for gone; a short cut mends before
const IDLE_PART: f64 = 0.6; // of the time after which warehouses close: no `want` may cross their close
const LINE_MOST: usize = 1024; // longer without an end, the framing is lost
const BODY_MOST: usize = 6000; // of a page, as the platform promises; more is a length that does not fit
const PAGES_MOST: usize = 64; // likewise: eight full pages, more where rows are long
const RESULT_MOST: usize = 48_000; // likewise
const KEEPS_PART: f64 = 0.8; // of the quiet after which a connection was found dead, others are trusted
const KEEPS_LEAST: f64 = 50.0; // after less, a reset is no sign that quiet connections die
const KEEPS_FOR: f64 = 10_000.0; // that this is believed: then one more reset shows whether it still holds
const SPENT_MOST: usize = 512; // names given up on one connection; beyond, it is left to run dry
const LINKS_MOST: usize = 12; // connections to one warehouse: as many as a node has attempts there, as a rule
const CONFIRM_MS: f64 = 100.0; // that a cancel waits for its confirmation: a machine that is cut off gives none
const MOVES_MOST: u8 = 2; // connections that a `want` may lose before a byte of it is written

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
    once: bool,
    moves: u8,
}

#[derive(Debug)]
struct Conn {
    engine: EngineId,
    link: Link,
    up: bool,
    since: f64,
    heard: f64,
    next_look: Option<Handle>,
    /// When it last carried a byte, and how long it had been quiet before the last request, till that is answered.
    used: f64,
    quiet: f64,
    /// When `there` was asked, while it is not answered.
    asked: Option<f64>,
    /// Not one byte of these has been written: whatever ends them, they never ran.
    wants: VecDeque<Want>,
    /// The last of which bytes were written; its end may wait in the buffer still.
    writing: Option<AttemptRef>,
    open: HashMap<Arc<str>, Attempt>,
    /// Attempts called off, with the tag whose `green` tells that the engine has read so, and since when.
    called_off: VecDeque<(String, AttemptRef, f64)>,
    /// Names given up here, of which a late line may still come.
    spent: HashSet<Arc<str>>,
}

impl Conn {
    fn load(&self) -> usize {
        self.wants.len() + self.open.len()
    }

    /// Sets the one look to come.
    fn look_at(&mut self, at: f64, key: Key, deadlines: &mut Deadlines) {
        self.next_look.take().into_iter().for_each(|before| deadlines.clear(before));
        self.next_look = Some(deadlines.set(at, Wake::Backend(key)));
    }
}

/// What giving an attempt up came to.
#[derive(Clone, Copy)]
enum CalledOff {
    /// Not a byte of it was written.
    TakenBack,
    /// The engine is told on this connection.
    Told(Key),
    /// A part of it waits to be written, alone on this connection.
    Stuck(Key),
    /// It is not known any more.
    Gone,
}

/// The pool of warehouse connections.
#[derive(Debug)]
pub struct Warehouses {
    classes: Vec<(String, bool)>,
    dial_ms: f64,
    idle_ms: f64,
    streams: usize,
    sockets: usize,
    tags: u64,
    roster: Roster,
    conns: Slots<Conn>,
    placed: HashMap<AttemptRef, (Key, Arc<str>)>,
}

/// One answer: its words and its body.
struct Line<'a> {
    id: &'a str,
    word: &'a str,
    fields: Vec<(&'a str, &'a str)>,
    body: &'a [u8],
}

/// An answer that can't be: the framing is lost, and with it all that the connection carries.
struct Lost;

const WORDS: [&str; 8] = ["served", "rows", "update", "overload", "nobody", "crashed", "green", "red"];

/// Reads an answer from the front; the number of bytes that it takes. Whatever is not wholly as it should be is lost:
/// behind a length that does not fit, every byte may pass for something that it is not.
fn line(bytes: &[u8]) -> Result<Option<(usize, Line<'_>)>, Lost> {
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
fn page(body: &[u8]) -> Result<Vec<u8>, Lost> {
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
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }
    fn number(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse::<f64>().ok().filter(|v| v.is_finite())
    }
    /// A whole number from 1 to `most`.
    fn count(&self, name: &str, most: usize) -> Result<usize, Lost> {
        let value = self.field(name).and_then(|value| value.parse::<usize>().ok());
        value.filter(|value| (1..=most).contains(value)).ok_or(Lost)
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
    /// A pool with no warehouses yet. Classes by name, and whether they must not run twice; `sockets` is how many
    /// descriptors it may take.
    pub fn new(
        classes: Vec<(String, bool)>,
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
            tags: 0,
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
        let once = self.classes.get(start.class.0).is_some_and(|(_, once)| *once);
        let outcome = match self.roster.serving(&start.engine) {
            Some(_) => match self.choose(&start.engine, &start.name, once, cx) {
                Some(key) => return self.queue(key, start, once, cx),
                None => Outcome::ConnectFailed,
            },
            // The list changed between the decision and now.
            None => Outcome::Full,
        };
        cx.heard.push(Heard::Ended(Ended::bare(at, outcome)));
    }

    fn queue(&mut self, key: Key, start: Start, once: bool, cx: &mut Cx) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let class = self.classes.get(start.class.0).map_or("", |(name, _)| name);
        let mut head = format!("want {} profile={class},max={}", start.name, start.max_ms.floor().max(1.0));
        if start.memory_mb > 0 {
            head.push_str(&format!(",mem={}", start.memory_mb));
        }
        let statement = &start.payload.statement;
        head.push_str(&format!(",prio={} {}\r\n", start.priority.min(3), statement.len()));
        let bytes = [head.as_bytes(), statement, b"\r\n"].concat();
        self.placed.insert(start.attempt, (key, start.name.clone()));
        conn.wants.push_back(Want { at: start.attempt, name: start.name, bytes, once, moves: 0 });
        self.flush(key, cx);
    }

    /// An idle connection that never carried this name before, else a new one, else the least loaded: a connection
    /// that is spoilt or cut off takes all that is open on it along, so each is to carry little. What must not run
    /// twice goes by a new one where it can: one that was idle may be reset as the request comes, and nobody can tell
    /// whether it was read.
    fn choose(&mut self, id: &EngineId, name: &Arc<str>, once: bool, cx: &mut Cx) -> Option<Key> {
        let keeps = self.roster.keeps(id, cx.now);
        let fits = |conn: &Conn| {
            let quiet = cx.now - conn.used > keeps;
            let suspect = conn.asked.is_some_and(|at| cx.now - at > SUSPECT_MS);
            // A late line of an attempt given up must not pass for the answer of the next.
            let clean = !conn.spent.contains(name) && !conn.open.contains_key(name);
            !suspect && !quiet && clean && conn.load() < self.streams && conn.spent.len() < SPENT_MOST
        };
        let fitting =
            self.roster.links(id).iter().copied().filter(|key| self.conns.get(*key).is_some_and(fits));
        let load = |key: &Key| self.conns.get(*key).map_or(0, Conn::load);
        let least = fitting.min_by_key(load);
        let spare = self.conns.len() < self.sockets;
        match least {
            Some(key) if !spare || (load(&key) == 0 && !once) => Some(key),
            least => self.dial(id, cx).or(least),
        }
    }

    fn dial(&mut self, id: &EngineId, cx: &mut Cx) -> Option<Key> {
        if self.conns.len() >= self.sockets {
            let idle = self.conns.iter().find(|(_, conn)| conn.load() == 0).map(|(key, _)| key)?;
            self.lose(idle, Outcome::Reset, cx);
        }
        if self.roster.links(id).len() >= LINKS_MOST {
            let idle = |key: &Key| self.conns.get(*key).is_some_and(|conn| conn.load() == 0);
            let idle = self.roster.links(id).iter().copied().find(idle)?;
            self.lose(idle, Outcome::Reset, cx);
        }
        let engine = self.roster.get_mut(id)?;
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
            next_look: None,
            used: cx.now,
            quiet: 0.0,
            asked: None,
            wants: VecDeque::new(),
            writing: None,
            open: HashMap::new(),
            called_off: VecDeque::new(),
            spent: HashSet::new(),
        });
        engine.links.push(key);
        trace!(target: ACCOUNT, "dial: engine={} links={} all={}", id.0, engine.links.len(), self.conns.len());
        let watched = self.conns.get_mut(key)?.link.watch(cx.registry, Owner::Warehouse(key));
        if watched.is_err() {
            self.lose(key, Outcome::ConnectFailed, cx);
            return None;
        }
        self.conns.get_mut(key)?.look_at(cx.now + self.dial_ms, key, cx.deadlines);
        Some(key)
    }

    /// Gives an attempt up: takes it back if no byte of it is written, else calls it off. If something waits for its
    /// end (a further attempt, or the next of its key), it ends when the engine confirms that it has read so: what
    /// waits goes by another connection, and may be there before the cancel is.
    pub fn give_up(&mut self, at: AttemptRef, again: bool, cx: &mut Cx) {
        let called_off = self.call_off(at, again, cx);
        match called_off {
            CalledOff::Told(key) => self.flush(key, cx),
            // It has not come whole, and on a connection that takes nothing nobody reads that it is over.
            CalledOff::Stuck(key) => self.lose(key, Outcome::Reset, cx),
            CalledOff::TakenBack | CalledOff::Gone => {}
        }
        let outcome = match called_off {
            CalledOff::Told(_) => return,
            CalledOff::TakenBack => Outcome::Moot,
            CalledOff::Stuck(_) | CalledOff::Gone => Outcome::Cancelled,
        };
        if again {
            cx.heard.push(Heard::Ended(Ended::bare(at, outcome)));
        }
    }

    fn call_off(&mut self, at: AttemptRef, again: bool, cx: &mut Cx) -> CalledOff {
        let Some((key, name)) = self.placed.remove(&at) else { return CalledOff::Gone };
        let Some(conn) = self.conns.get_mut(key) else { return CalledOff::Gone };
        if let Some(place) = conn.wants.iter().position(|want| want.at == at) {
            conn.wants.remove(place);
            return CalledOff::TakenBack;
        }
        if conn.open.remove(&name).is_none() {
            return CalledOff::Gone;
        }
        if conn.writing == Some(at) && conn.link.waiting() > 0 && conn.open.is_empty() {
            return CalledOff::Stuck(key);
        }
        conn.link.put(format!("never_mind {name}\r\n").as_bytes());
        conn.spent.insert(name);
        if again {
            self.tags += 1;
            let tag = format!("g{}", self.tags);
            conn.link.put(format!("there {tag}\r\n").as_bytes());
            conn.called_off.push_back((tag, at, cx.now));
            conn.look_at(cx.now + CONFIRM_MS, key, cx.deadlines);
        }
        CalledOff::Told(key)
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
                Some(Err(e)) => {
                    // It was up if it was reset: that proves no failure to connect.
                    conn.up = e.kind() == ErrorKind::ConnectionReset;
                    return self.lose(key, Outcome::ConnectFailed, cx);
                }
                Some(Ok(())) => {
                    trace!(target: ACCOUNT, "up: engine={} ms={:.1}", conn.engine.0, cx.now - conn.since);
                    (conn.up, conn.heard) = (true, cx.now);
                    conn.look_at(cx.now + LOOK_MS, key, cx.deadlines);
                }
            }
        }
        if self.read(key, cx).is_err() {
            self.learn_keeps(key, cx);
            if let Some(conn) = self.conns.get(key).filter(|conn| conn.load() > 0) {
                cx.log.push(format!("lost: engine={} attempts={}", conn.engine.0, conn.load()));
            }
            return self.lose(key, Outcome::Reset, cx);
        }
        self.flush(key, cx);
    }

    /// Guards against connections that die unseen while they are quiet, as behind a box that forgets them: the next
    /// request on such a one is reset at once, read or not. What one showed holds for the engine's others.
    fn learn_keeps(&mut self, key: Key, cx: &mut Cx) {
        let Some(conn) = self.conns.get(key).filter(|conn| !conn.open.is_empty()) else { return };
        let known = self.roster.keeps(&conn.engine, cx.now);
        let Some(engine) = self.roster.get_mut(&conn.engine) else { return };
        if conn.quiet >= KEEPS_LEAST {
            engine.keeps = Some((known.min(conn.quiet * KEEPS_PART), cx.now + KEEPS_FOR));
        }
    }

    fn read(&mut self, key: Key, cx: &mut Cx) -> Result<(), Lost> {
        loop {
            let Some(conn) = self.conns.get_mut(key) else { return Ok(()) };
            let before = conn.link.input.len();
            let end = conn.link.read(BODY_MOST + 2 * LINE_MOST);
            if conn.link.input.len() > before {
                (conn.heard, conn.used, conn.quiet, conn.asked) = (cx.now, cx.now, 0.0, None);
            }
            let input = std::mem::take(&mut conn.link.input);
            let mut used = 0;
            let mut result = Ok(());
            while result.is_ok() {
                match line(&input[used..]) {
                    Ok(None) => break,
                    Ok(Some((bytes, line))) => {
                        used += bytes;
                        result = self.line(key, line, cx);
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
        if matches!(line.word, "green" | "red") {
            // Either tells that the connection works; how the engine is, the list and the answers tell.
            // Answers come in any order, but a cancel written before `there` has been read before its answer.
            if let Some(place) = conn.called_off.iter().position(|(tag, ..)| tag == line.id) {
                let read = conn.called_off.drain(..=place).map(|(_, at, _)| at);
                cx.heard.extend(read.map(|at| Heard::Ended(Ended::bare(at, Outcome::Cancelled))));
            }
            return Ok(());
        }
        // A late line of an attempt that was given up tells nothing.
        let Some(attempt) = conn.open.get_mut(line.id) else { return Ok(()) };
        let at = attempt.at;
        let outcome = match line.word {
            "update" => {
                line.note().into_iter().for_each(|note| cx.heard.push(Heard::Noted(at, note)));
                return Ok(());
            }
            "served" if attempt.pages.is_empty() => {
                let pages = line.count("pages", PAGES_MOST)?;
                attempt.pages = vec![None; pages];
                attempt.pages[0] = Some(page(line.body)?);
                (attempt.cost, attempt.report) = (line.cost(), line.report());
                for page in 1..pages {
                    conn.link.put(format!("turn {} {page}\r\n", line.id).as_bytes());
                }
                Outcome::Served
            }
            "rows" => {
                // Page 0 comes with `served`; a second copy of any changes nothing.
                let place = line.count("page", PAGES_MOST)?;
                let rows = page(line.body)?;
                match attempt.pages.get_mut(place) {
                    Some(page) if page.is_none() => *page = Some(rows),
                    _ => return Ok(()),
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
            (conn.quiet, conn.used) = (cx.now - conn.used, cx.now);
            conn.link.put(&want.bytes);
            conn.writing = Some(want.at);
            let attempt = Attempt { at: want.at, pages: Vec::new(), cost: None, report: None };
            conn.open.insert(want.name, attempt);
        }
    }

    /// Drops a connection. What was sent on it ends as `outcome` says. What was not never ran: it goes on by another
    /// connection, since one that breaks says nothing of the warehouse, or ends so if there was none in time.
    fn lose(&mut self, key: Key, outcome: Outcome, cx: &mut Cx) {
        let Some(conn) = self.conns.remove(key) else { return };
        let (id, up, ms) = (&conn.engine.0, conn.up, cx.now - conn.since);
        trace!(target: ACCOUNT, "close: engine={id} up={up} ms={ms:.1} load={}", conn.load());
        self.roster.unlink(&conn.engine, key);
        conn.next_look.into_iter().for_each(|look| cx.deadlines.clear(look));
        let called_off = conn.called_off.into_iter().map(|(_, at, _)| (at, Outcome::Cancelled));
        let mut ends: Vec<_> = conn.open.into_values().map(|a| (a.at, outcome)).chain(called_off).collect();
        for mut want in conn.wants {
            want.moves += 1;
            let serves = conn.up && want.moves <= MOVES_MOST && self.roster.serving(&conn.engine).is_some();
            let to = if serves { self.choose(&conn.engine, &want.name, want.once, cx) } else { None };
            match to.and_then(|key| Some((key, self.conns.get_mut(key)?))) {
                Some((key, next)) => {
                    self.placed.insert(want.at, (key, want.name.clone()));
                    next.wants.push_back(want);
                    self.flush(key, cx);
                }
                None => ends.push((want.at, Outcome::ConnectFailed)),
            }
        }
        for (at, outcome) in ends {
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
        while let Some((_, at, _)) = conn.called_off.pop_front_if(|(.., since)| cx.now - *since >= CONFIRM_MS)
        {
            cx.heard.push(Heard::Ended(Ended::bare(at, Outcome::Cancelled)));
        }
        let idle = cx.now - conn.heard;
        if !conn.link.input.is_empty() && idle >= STALL_MS {
            cx.log.push(format!("lost: engine={} attempts={} in mid-answer", conn.engine.0, conn.load()));
            return self.lose(key, Outcome::Reset, cx);
        }
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
        if let Some(conn) = self.conns.get_mut(key) {
            conn.look_at(cx.now + LOOK_MS, key, cx.deadlines);
        }
    }
}
