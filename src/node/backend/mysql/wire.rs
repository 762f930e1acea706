//! What a box says on a connection: its greeting, the end of the login, answers and errors.

use super::*;

impl MysqlBackend {
    pub(super) fn packet(
        &mut self,
        key: SlotKey,
        number: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> Next {
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        match &mut conn.phase {
            Phase::Dialling | Phase::Idle => Next::Lose, // Nothing was asked.
            Phase::Greeting => self.greeting(key, number, body, context),
            Phase::Login => self.login(key, number, body, context),
            Phase::Schema if body.first() == Some(&0) => {
                conn.schema = conn.job.as_ref().and_then(|job| job.payload.schema.clone());
                conn.advance(context.now);
                Next::Go
            }
            Phase::Schema => {
                self.end(key, Outcome::NotSent, Some(FinalResponse::Error(body.to_vec())), context)
            }
            Phase::Preparing(state) => match state {
                None if body.first() == Some(&0xff) => self.error(key, body, context),
                None => {
                    let (Some(id), Some(counts)) = (body.get(1..5), body.get(5..9)) else {
                        return Next::Lose;
                    };
                    let id = id.iter().rev().fold(0, |sum, b| sum << 8 | u32::from(*b));
                    let count = |b: &[u8]| u64::from(b[0]) | u64::from(b[1]) << 8;
                    let lines = |n: u64| n + u64::from(n > 0); // An end-of-file packet closes each list.
                    *state = Some((id, lines(count(&counts[..2])) + lines(count(&counts[2..]))));
                    conn.keep_prepared();
                    conn.advance_prepared(context.now);
                    Next::Go
                }
                Some((_, left)) => {
                    *left = left.saturating_sub(1);
                    conn.advance_prepared(context.now);
                    Next::Go
                }
            },
            Phase::Running(course) => {
                let step = course.step(body);
                mysql_packets::push(&mut conn.answer, 0, body);
                let size = conn.answer.len();
                match step {
                    Step::More if size <= RESULT_MOST => {
                        let all: usize = self.conns.iter().map(|(_, conn)| conn.answer.len()).sum();
                        if all > self.answers_most {
                            context.log.push(format!("result: dropped, answers={all}"));
                            return Next::Lose;
                        }
                        Next::Go
                    }
                    Step::More => {
                        context.log.push(format!("result: dropped, bytes={size}"));
                        let text = "the result is larger than beamgap keeps; it has run";
                        let body = mysql_packets::error(1105, "HY000", text);
                        // The rest of the result is still to come: the connection goes.
                        self.end(key, Outcome::NotSent, Some(FinalResponse::Error(body)), context);
                        Next::Lose
                    }
                    Step::Done => {
                        let answer = std::mem::take(&mut conn.answer);
                        self.end(key, Outcome::Served, Some(FinalResponse::Served(answer)), context)
                    }
                    Step::Error => self.error(key, body, context),
                    Step::Broken => Next::Lose,
                }
            }
            Phase::Killing => {
                conn.kill = None;
                conn.advance(context.now);
                Next::Go
            }
        }
    }

    pub(super) fn greeting(
        &mut self,
        key: SlotKey,
        number: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> Next {
        if body.first() == Some(&0xff) {
            return self.error(key, body, context);
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
            mysql_packets::capabilities(),
            None,
            PACKET_MOST as u32,
        );
        let (mut out, mut reply) = (Vec::new(), Vec::new());
        response.serialize(&mut reply);
        mysql_packets::push(&mut out, number.wrapping_add(1), &reply);
        conn.link.put(&out);
        conn.phase = Phase::Login;
        Next::Go
    }

    pub(super) fn login(
        &mut self,
        key: SlotKey,
        number: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> Next {
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        match body {
            [0, ..] => {
                context.timers.set(context.now + LOOK_MS, TimerEvent::MysqlBox(key));
                conn.phase = Phase::Idle;
                conn.advance(context.now);
                Next::Go
            }
            [1, 3] => Next::Go, // The box knows the password already; its OK follows.
            [0xfe, switch @ ..] => {
                let Some(end) = switch.iter().position(|b| *b == 0) else { return Next::Lose };
                let nonce = switch[end + 1..].strip_suffix(&[0]).unwrap_or(&switch[end + 1..]);
                conn.nonce = nonce.to_vec();
                let mut out = Vec::new();
                let scramble = scramble(&switch[..end], nonce, &self.settings.box_password);
                mysql_packets::push(&mut out, number.wrapping_add(1), &scramble);
                conn.link.put(&out);
                Next::Go
            }
            [0xff, ..] => self.error(key, body, context),
            _ => {
                context.log.push(format!(
                    "login: engine={} wants a way to log in that is not spoken",
                    conn.engine.0
                ));
                Next::Lose
            }
        }
    }

    /// An error of the box: what it proves, and whether it is the client's to know.
    pub(super) fn error(&mut self, key: SlotKey, body: &[u8], context: &mut BackendContext) -> Next {
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        let code = mysql_packets::error_code(body).unwrap_or(0);
        let logged_in = !matches!(conn.phase, Phase::Greeting | Phase::Login);
        if !logged_in {
            context.log.push(format!("login: engine={} error={code}", conn.engine.0));
            let outcome = if NO_PLACE.contains(&code) { Outcome::Overloaded } else { Outcome::ConnectFailed };
            self.end(key, outcome, None, context);
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
                conn.advance(context.now);
                return Next::Go;
            }
        }
        if NO_PLACE.contains(&code) {
            self.end(key, Outcome::Overloaded, None, context);
        } else if BOX_TROUBLE.contains(&code) {
            // What was only prepared has not run, whatever the trouble.
            self.end(key, if running { Outcome::Error } else { Outcome::Overloaded }, None, context);
        } else {
            // The statement's own error; the box is well, and running it elsewhere would say the same.
            return self.end(key, Outcome::NotSent, Some(FinalResponse::Error(body.to_vec())), context);
        }
        Next::Lose
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
