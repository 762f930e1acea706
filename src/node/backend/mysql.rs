//! Boxes that speak MySQL: logging in, preparing a statement on whichever box runs its next execution, and what
//! each end proves. A connection carries one attempt at a time.

use super::roster::Roster;
use super::Cx;
use crate::node::bulletin::Listing;
use crate::node::config::MysqlSettings;
use crate::node::deadlines::Wake;
use crate::node::exchange::{Answer, AttemptRef, Bound, Ended, Heard, Payload, Start};
use crate::node::packets::{self, Course, Step, PACKET_MOST};
use crate::node::reactor::{Link, Owner, ReadEnd};
use crate::node::slots::{Key, Slots};
use crate::{EngineId, ListKind, Outcome};
use mysql_common::constants::Command;
use mysql_common::io::ParseBuf;
use mysql_common::packets::{AuthPlugin, HandshakePacket, HandshakeResponse};
use mysql_common::proto::MySerialize;
use mysql_common::scramble::{scramble_native, scramble_sha256};
use std::collections::HashMap;
use std::rc::Rc;

const LOGIN_MS: f64 = 1500.0; // from connecting to the end of the login; a standing box needs some hundred
const LOOK_MS: f64 = 1000.0; // between looks at a connection
const IDLE_PART: f64 = 0.6; // of the time after which boxes close: nothing may cross their close
const RESULT_MOST: usize = 4 << 20; // a larger result is not kept in memory
const PREPARED_MOST: usize = 64; // statements kept prepared on one connection
const NATIVE: &[u8] = b"mysql_native_password";
const SHA2: &[u8] = b"caching_sha2_password";

/// Errors that say no more than that the box had no place for us: nothing ran.
const NO_PLACE: &[u16] = &[1040, 1203, 1226];
/// Errors of a box in trouble, or of an attempt cut short: it may have run.
const BOX_TROUBLE: &[u16] = &[1053, 1077, 1079, 1152, 1158, 1159, 1160, 1161, 1317, 2006, 2013, 3024, 3169];
/// The box does not know the statement any more: it did not run.
const NOT_PREPARED: u16 = 1243;

/// A statement as it is prepared: under a schema, with a text.
type Text = (Option<String>, Vec<u8>);

#[derive(Debug)]
struct Job {
    at: AttemptRef,
    payload: Rc<Payload>,
    /// The execution or the query is written, at least in part: from here on it may run.
    sent: bool,
    /// The statement was prepared anew for this job, so that it can't have been lost again.
    renewed: bool,
}

#[derive(Debug)]
enum Phase {
    Dialling,
    Greeting,
    /// The login is sent; what the plugin in use needs is kept for a switch.
    Login,
    Idle,
    /// The schema is being chosen.
    Schema,
    /// The statement is being prepared; so many packets of definitions are still to come.
    Preparing(Option<(u32, u64)>),
    /// The answer is coming.
    Running(Course),
    /// A kill was sent for another connection; its answer is of no use.
    Killing,
}

#[derive(Debug)]
struct Conn {
    engine: EngineId,
    link: Link,
    phase: Phase,
    since: f64,
    used: f64,
    /// The box's own number of the connection, for a kill.
    number: u32,
    nonce: Vec<u8>,
    schema: Option<String>,
    prepared: HashMap<Text, u32>,
    order: Vec<Text>,
    job: Option<Job>,
    kill: Option<u32>,
    answer: Vec<u8>,
}

fn text_of(payload: &Payload) -> Text {
    (payload.schema.clone(), payload.statement.clone())
}

/// The pool of connections to boxes.
pub struct MysqlBoxes {
    settings: MysqlSettings,
    dial_ms: f64,
    idle_ms: f64,
    sockets: usize,
    answers_most: usize,
    roster: Roster,
    conns: Slots<Conn>,
    placed: HashMap<AttemptRef, Key>,
}

/// What becomes of a connection after a packet.
enum Next {
    Go,
    Lose,
}

impl MysqlBoxes {
    /// A pool with no boxes yet. `sockets` is how many descriptors it may take, `answers_most` how many bytes the
    /// answers that are coming in may take together.
    pub fn new(
        settings: MysqlSettings,
        dial_ms: f64,
        idle_ms: f64,
        sockets: usize,
        answers_most: usize,
    ) -> MysqlBoxes {
        MysqlBoxes {
            settings,
            dial_ms,
            idle_ms: idle_ms * IDLE_PART,
            sockets,
            answers_most,
            roster: Roster::default(),
            conns: Slots::default(),
            placed: HashMap::new(),
        }
    }

    /// News of the list. What a box that takes no new work has not been sent yet is taken back.
    pub fn members(&mut self, kind: ListKind, listings: &[Listing], cx: &mut Cx) {
        for key in self.roster.apply(kind, listings) {
            self.lose(key, Outcome::Reset, cx);
        }
        for key in self.conns.keys() {
            let Some(conn) = self.conns.get_mut(key) else { continue };
            if self.roster.serving(&conn.engine).is_some() || conn.kill.is_some() {
                continue;
            }
            if !conn.job.as_ref().is_some_and(|job| job.sent) {
                if let Some(job) = conn.job.take() {
                    self.placed.remove(&job.at);
                    cx.heard.push(Heard::Ended(Ended::bare(job.at, Outcome::Full)));
                }
                self.lose(key, Outcome::Reset, cx);
            }
        }
    }

    /// Begins an attempt.
    pub fn start(&mut self, start: Start, cx: &mut Cx) {
        let at = start.attempt;
        let job = Job { at, payload: start.payload, sent: false, renewed: false };
        let outcome = if self.roster.serving(&start.engine).is_none() {
            Outcome::Full // The list changed between the decision and now.
        } else if let Some(key) = self.idle(&start.engine, &job) {
            return self.take(key, job, cx);
        } else if self.roster.links(&start.engine).len() >= self.settings.box_connections {
            Outcome::Full
        } else {
            match self.dial(&start.engine, cx) {
                Some(key) => return self.take(key, job, cx),
                None => Outcome::ConnectFailed,
            }
        };
        cx.heard.push(Heard::Ended(Ended::bare(at, outcome)));
    }

    /// An idle connection, best one on which the statement is prepared already.
    fn idle(&self, engine: &EngineId, job: &Job) -> Option<Key> {
        let text = text_of(&job.payload);
        let idle = |key: &&Key| self.conns.get(**key).is_some_and(|conn| matches!(conn.phase, Phase::Idle));
        let known = |key: &&Key| self.conns.get(**key).is_some_and(|conn| conn.prepared.contains_key(&text));
        self.roster.links(engine).iter().filter(idle).max_by_key(known).copied()
    }

    fn take(&mut self, key: Key, job: Job, cx: &mut Cx) {
        self.placed.insert(job.at, key);
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.job = Some(job);
        if matches!(conn.phase, Phase::Idle) {
            conn.advance(cx.now);
            self.flush(key, cx);
        }
    }

    fn dial(&mut self, id: &EngineId, cx: &mut Cx) -> Option<Key> {
        if self.conns.len() >= self.sockets {
            let idle = self.conns.iter().find(|(_, conn)| matches!(conn.phase, Phase::Idle));
            let idle = idle.map(|(key, _)| key)?;
            self.lose(idle, Outcome::Reset, cx);
        }
        let engine = self.roster.get_mut(id)?;
        let link = Link::dial(engine.address)
            .map_err(|e| cx.log.push(format!("dial: engine={} error={e}", id.0)))
            .ok()?;
        let key = self.conns.insert(Conn {
            engine: id.clone(),
            link,
            phase: Phase::Dialling,
            since: cx.now,
            used: cx.now,
            number: 0,
            nonce: Vec::new(),
            schema: None,
            prepared: HashMap::new(),
            order: Vec::new(),
            job: None,
            kill: None,
            answer: Vec::new(),
        });
        engine.links.push(key);
        if self.conns.get_mut(key)?.link.watch(cx.registry, Owner::MysqlBox(key)).is_err() {
            self.lose(key, Outcome::ConnectFailed, cx);
            return None;
        }
        cx.deadlines.set(cx.now + self.dial_ms, Wake::MysqlBox(key));
        Some(key)
    }

    /// Whether an attempt is here.
    pub fn carries(&self, at: AttemptRef) -> bool {
        self.placed.contains_key(&at)
    }

    /// Gives an attempt up: takes it back if it is not sent, else has the box kill it. The connection goes with it,
    /// so that a late answer finds nobody.
    pub fn give_up(&mut self, at: AttemptRef, again: bool, cx: &mut Cx) {
        if again {
            cx.heard.push(Heard::Ended(Ended::bare(at, Outcome::Cancelled)));
        }
        let Some(key) = self.placed.remove(&at) else { return };
        let Some(conn) = self.conns.get_mut(key) else { return };
        let sent = conn.job.take().is_some_and(|job| job.sent);
        if !sent {
            // A login under way may serve the next; anything else stands between two commands.
            if !matches!(conn.phase, Phase::Dialling | Phase::Greeting | Phase::Login) {
                self.lose(key, Outcome::Cancelled, cx);
            }
            return;
        }
        let (engine, number) = (conn.engine.clone(), conn.number);
        self.lose(key, Outcome::Cancelled, cx);
        let idle = self.roster.links(&engine).iter().copied();
        let mut idle = idle.filter(|k| self.conns.get(*k).is_some_and(|c| matches!(c.phase, Phase::Idle)));
        let Some(by) = idle.next().or_else(|| self.dial(&engine, cx)) else {
            cx.log.push(format!("kill: engine={} connection={number} not sent", engine.0));
            return;
        };
        if let Some(conn) = self.conns.get_mut(by) {
            conn.kill = Some(number);
            if matches!(conn.phase, Phase::Idle) {
                conn.advance(cx.now);
                self.flush(by, cx);
            }
        }
    }

    /// Takes an attempt back if it is not sent.
    pub fn withdraw(&mut self, at: AttemptRef, cx: &mut Cx) {
        let Some(key) = self.placed.get(&at) else { return };
        if self.conns.get(*key).and_then(|conn| conn.job.as_ref()).is_some_and(|job| !job.sent) {
            self.give_up(at, false, cx);
            cx.heard.push(Heard::Ended(Ended::bare(at, Outcome::Moot)));
        }
    }

    /// Closes a box's idle connections.
    pub fn close_idle(&mut self, id: &EngineId, cx: &mut Cx) {
        for key in self.roster.links(id).to_vec() {
            if self.conns.get(key).is_some_and(|conn| matches!(conn.phase, Phase::Idle)) {
                self.lose(key, Outcome::Reset, cx);
            }
        }
    }

    fn flush(&mut self, key: Key, cx: &mut Cx) {
        let broken = self.conns.get_mut(key).is_some_and(|conn| conn.link.flush().is_err());
        if broken {
            self.lose(key, Outcome::Reset, cx);
        }
    }

    /// A socket has something to say.
    pub fn ready(&mut self, key: Key, cx: &mut Cx) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if matches!(conn.phase, Phase::Dialling) {
            match conn.link.connected() {
                None => return,
                Some(Err(_)) => return self.lose(key, Outcome::ConnectFailed, cx),
                Some(Ok(())) => {
                    conn.phase = Phase::Greeting;
                    cx.deadlines.set(conn.since + LOGIN_MS, Wake::MysqlBox(key));
                }
            }
        }
        loop {
            let Some(conn) = self.conns.get_mut(key) else { return };
            let end = conn.link.read(PACKET_MOST + 8);
            let input = std::mem::take(&mut conn.link.input);
            let mut used = 0;
            let mut lost = false;
            while let Ok(Some((number, body))) = packets::packet(&input[used..]) {
                used += 4 + body.len();
                if matches!(self.packet(key, number, body, cx), Next::Lose) {
                    lost = true;
                    break;
                }
            }
            lost |= packets::packet(&input[used..]).is_err();
            let Some(conn) = self.conns.get_mut(key) else { return };
            conn.link.input = input;
            conn.link.used(used);
            let more = conn.link.has_more();
            if lost || !matches!(end, Ok(ReadEnd::Open)) {
                return self.lose(key, Outcome::Reset, cx);
            }
            if !more {
                return self.flush(key, cx);
            }
        }
    }

    fn packet(&mut self, key: Key, number: u8, body: &[u8], cx: &mut Cx) -> Next {
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        match &mut conn.phase {
            Phase::Dialling | Phase::Idle => Next::Lose, // Nothing was asked.
            Phase::Greeting => self.greeting(key, number, body, cx),
            Phase::Login => self.login(key, number, body, cx),
            Phase::Schema if body.first() == Some(&0) => {
                conn.schema = conn.job.as_ref().and_then(|job| job.payload.schema.clone());
                conn.advance(cx.now);
                Next::Go
            }
            Phase::Schema => self.end(key, Outcome::Moot, Some(Answer::Error(body.to_vec())), cx),
            Phase::Preparing(state) => match state {
                None if body.first() == Some(&0xff) => self.error(key, body, cx),
                None => {
                    let (Some(id), Some(counts)) = (body.get(1..5), body.get(5..9)) else {
                        return Next::Lose;
                    };
                    let id = id.iter().rev().fold(0, |sum, b| sum << 8 | u32::from(*b));
                    let count = |b: &[u8]| u64::from(b[0]) | u64::from(b[1]) << 8;
                    let lines = |n: u64| n + u64::from(n > 0); // An end-of-file packet closes each list.
                    *state = Some((id, lines(count(&counts[..2])) + lines(count(&counts[2..]))));
                    conn.keep_prepared();
                    conn.advance_prepared(cx.now);
                    Next::Go
                }
                Some((_, left)) => {
                    *left = left.saturating_sub(1);
                    conn.advance_prepared(cx.now);
                    Next::Go
                }
            },
            Phase::Running(course) => {
                let step = course.step(body);
                packets::push(&mut conn.answer, 0, body);
                let size = conn.answer.len();
                match step {
                    Step::More if size <= RESULT_MOST => {
                        let all: usize = self.conns.iter().map(|(_, conn)| conn.answer.len()).sum();
                        if all > self.answers_most {
                            cx.log.push(format!("result: dropped, answers={all}"));
                            return Next::Lose;
                        }
                        Next::Go
                    }
                    Step::More => {
                        cx.log.push(format!("result: dropped, bytes={size}"));
                        let text = "the result is larger than beamgap keeps; it has run";
                        let body = packets::error(1105, "HY000", text);
                        // The rest of the result is still to come: the connection goes.
                        self.end(key, Outcome::Moot, Some(Answer::Error(body)), cx);
                        Next::Lose
                    }
                    Step::Done => {
                        let answer = std::mem::take(&mut conn.answer);
                        self.end(key, Outcome::Served, Some(Answer::Served(answer)), cx)
                    }
                    Step::Error => self.error(key, body, cx),
                    Step::Broken => Next::Lose,
                }
            }
            Phase::Killing => {
                conn.kill = None;
                conn.advance(cx.now);
                Next::Go
            }
        }
    }

    fn greeting(&mut self, key: Key, number: u8, body: &[u8], cx: &mut Cx) -> Next {
        if body.first() == Some(&0xff) {
            return self.error(key, body, cx);
        }
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        let Ok(greeting) = ParseBuf(body).parse::<HandshakePacket>(()) else { return Next::Lose };
        conn.number = greeting.connection_id();
        conn.nonce = greeting.nonce();
        conn.nonce.truncate(20);
        let plugin = greeting.auth_plugin_name_ref().unwrap_or(NATIVE);
        let plugin = if plugin == SHA2 { SHA2 } else { NATIVE };
        let scramble = scramble(plugin, &conn.nonce, &self.settings.box_password);
        let name =
            if plugin == SHA2 { AuthPlugin::CachingSha2Password } else { AuthPlugin::MysqlNativePassword };
        let response = HandshakeResponse::new(
            Some(scramble),
            (8, 0, 36),
            Some(self.settings.box_user.as_bytes()),
            None::<Vec<u8>>,
            Some(name),
            packets::capabilities(),
            None,
            PACKET_MOST as u32,
        );
        let (mut out, mut reply) = (Vec::new(), Vec::new());
        response.serialize(&mut reply);
        packets::push(&mut out, number.wrapping_add(1), &reply);
        conn.link.put(&out);
        conn.phase = Phase::Login;
        Next::Go
    }

    fn login(&mut self, key: Key, number: u8, body: &[u8], cx: &mut Cx) -> Next {
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        match body {
            [0, ..] => {
                cx.deadlines.set(cx.now + LOOK_MS, Wake::MysqlBox(key));
                conn.phase = Phase::Idle;
                conn.advance(cx.now);
                Next::Go
            }
            [1, 3] => Next::Go, // The box knows the password already; its OK follows.
            [0xfe, switch @ ..] => {
                let Some(end) = switch.iter().position(|b| *b == 0) else { return Next::Lose };
                let nonce = switch[end + 1..].strip_suffix(&[0]).unwrap_or(&switch[end + 1..]);
                conn.nonce = nonce.to_vec();
                let mut out = Vec::new();
                let scramble = scramble(&switch[..end], nonce, &self.settings.box_password);
                packets::push(&mut out, number.wrapping_add(1), &scramble);
                conn.link.put(&out);
                Next::Go
            }
            [0xff, ..] => self.error(key, body, cx),
            _ => {
                cx.log.push(format!(
                    "login: engine={} wants a way to log in that is not spoken",
                    conn.engine.0
                ));
                Next::Lose
            }
        }
    }

    /// An error of the box: what it proves, and whether it is the client's to know.
    fn error(&mut self, key: Key, body: &[u8], cx: &mut Cx) -> Next {
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        let code = packets::error_code(body).unwrap_or(0);
        let logged_in = !matches!(conn.phase, Phase::Greeting | Phase::Login);
        if !logged_in {
            cx.log.push(format!("login: engine={} error={code}", conn.engine.0));
            let outcome = if NO_PLACE.contains(&code) { Outcome::Full } else { Outcome::ConnectFailed };
            self.end(key, outcome, None, cx);
            return Next::Lose;
        }
        let running = matches!(conn.phase, Phase::Running(_));
        if code == NOT_PREPARED && running {
            if let Some(job) = conn.job.as_mut().filter(|job| !job.renewed) {
                (job.sent, job.renewed) = (false, true);
                let text = text_of(&job.payload);
                conn.prepared.remove(&text);
                conn.order.retain(|t| *t != text);
                conn.answer.clear();
                conn.advance(cx.now);
                return Next::Go;
            }
        }
        if NO_PLACE.contains(&code) {
            self.end(key, Outcome::Full, None, cx);
        } else if BOX_TROUBLE.contains(&code) {
            // What was only prepared has not run, whatever the trouble.
            self.end(key, if running { Outcome::Error } else { Outcome::Full }, None, cx);
        } else {
            // The statement's own error; the box is well, and running it elsewhere would say the same.
            return self.end(key, Outcome::Moot, Some(Answer::Error(body.to_vec())), cx);
        }
        Next::Lose
    }

    /// Ends the attempt on a connection, which is free again.
    fn end(&mut self, key: Key, outcome: Outcome, answer: Option<Answer>, cx: &mut Cx) -> Next {
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        conn.answer = Vec::new();
        if let Some(job) = conn.job.take() {
            self.placed.remove(&job.at);
            let ended = Ended { answer, ..Ended::bare(job.at, outcome) };
            cx.heard.push(Heard::Ended(ended));
        }
        conn.advance(cx.now);
        let serving = self.roster.serving(&conn.engine).is_some();
        if serving || conn.kill.is_some() {
            Next::Go
        } else {
            Next::Lose
        }
    }

    /// Drops a connection. An attempt that was sent on it ends as `outcome` says; one that was not never ran.
    fn lose(&mut self, key: Key, outcome: Outcome, cx: &mut Cx) {
        let Some(conn) = self.conns.remove(key) else { return };
        self.roster.unlink(&conn.engine, key);
        if let Some(number) = conn.kill {
            cx.log.push(format!("kill: engine={} connection={number} not sent", conn.engine.0));
        }
        if let Some(job) = conn.job {
            self.placed.remove(&job.at);
            let outcome = if job.sent { outcome } else { Outcome::ConnectFailed };
            cx.heard.push(Heard::Ended(Ended::bare(job.at, outcome)));
        }
    }

    /// Looks after a connection: did it come up in time, has it long been idle?
    pub fn look(&mut self, key: Key, cx: &mut Cx) {
        let Some(conn) = self.conns.get(key) else { return };
        let age = cx.now - conn.since;
        match conn.phase {
            Phase::Dialling if age >= self.dial_ms => self.lose(key, Outcome::ConnectFailed, cx),
            Phase::Greeting | Phase::Login if age >= LOGIN_MS => self.lose(key, Outcome::ConnectFailed, cx),
            Phase::Dialling | Phase::Greeting | Phase::Login => {}
            Phase::Idle if cx.now - conn.used >= self.idle_ms => self.lose(key, Outcome::Reset, cx),
            _ => {
                cx.deadlines.set(cx.now + LOOK_MS, Wake::MysqlBox(key));
            }
        }
    }
}

impl Conn {
    fn command(&mut self, command: Command, body: &[u8]) {
        let mut out = Vec::new();
        packets::push(&mut out, 0, &[&[command as u8], body].concat());
        self.link.put(&out);
    }

    /// Goes on to the next thing that there is to do: a kill first, then what the job needs.
    fn advance(&mut self, now: f64) {
        self.used = now;
        self.phase = Phase::Idle;
        if let Some(number) = self.kill {
            self.command(Command::COM_QUERY, format!("KILL QUERY {number}").as_bytes());
            self.phase = Phase::Killing;
            return;
        }
        let Some(job) = &mut self.job else { return };
        let payload = job.payload.clone();
        if let Some(schema) = payload.schema.as_ref().filter(|schema| self.schema.as_ref() != Some(schema)) {
            self.phase = Phase::Schema;
            return self.command(Command::COM_INIT_DB, schema.as_bytes());
        }
        let Some(bound) = &payload.bound else {
            job.sent = true;
            self.phase = Phase::Running(Course::default());
            return self.command(Command::COM_QUERY, &payload.statement);
        };
        match self.prepared.get(&text_of(&payload)).copied() {
            Some(id) => self.execute(id, bound),
            None => {
                self.phase = Phase::Preparing(None);
                self.command(Command::COM_STMT_PREPARE, &payload.statement);
            }
        }
    }

    /// Notes what was just prepared, and lets the oldest go where there are too many.
    fn keep_prepared(&mut self) {
        let Phase::Preparing(Some((id, _))) = self.phase else { return };
        let Some(job) = &self.job else { return };
        let text = text_of(&job.payload);
        self.prepared.insert(text.clone(), id);
        self.order.push(text);
        if self.order.len() > PREPARED_MOST {
            let oldest = self.order.remove(0);
            if let Some(id) = self.prepared.remove(&oldest) {
                self.command(Command::COM_STMT_CLOSE, &id.to_le_bytes());
            }
        }
    }

    /// Executes when the last definition has come.
    fn advance_prepared(&mut self, now: f64) {
        if matches!(self.phase, Phase::Preparing(Some((_, 0)))) {
            self.advance(now);
        }
    }

    fn execute(&mut self, id: u32, bound: &Bound) {
        if let Some(job) = &mut self.job {
            job.sent = true;
        }
        for (place, value) in &bound.long {
            let body = [&id.to_le_bytes()[..], &place.to_le_bytes(), value].concat();
            self.command(Command::COM_STMT_SEND_LONG_DATA, &body);
        }
        let mut body = id.to_le_bytes().to_vec();
        body.extend([0, 1, 0, 0, 0]);
        if bound.count > 0 {
            body.extend_from_slice(&bound.nulls);
            body.push(1); // The types always go along: this box may not have seen them.
            body.extend_from_slice(&bound.types);
            body.extend_from_slice(&bound.values);
        }
        self.phase = Phase::Running(Course::default());
        self.command(Command::COM_STMT_EXECUTE, &body);
    }
}

/// The answer to a box's challenge under a plugin; empty for an empty password.
fn scramble(plugin: &[u8], nonce: &[u8], password: &str) -> Vec<u8> {
    let password = password.as_bytes();
    let of = |scramble: Option<&[u8]>| scramble.map(<[u8]>::to_vec).unwrap_or_default();
    if plugin == SHA2 {
        of(scramble_sha256(nonce, password).as_ref().map(|s| &s[..]))
    } else {
        of(scramble_native(nonce, password).as_ref().map(|s| &s[..]))
    }
}
