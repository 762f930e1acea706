//! Handles packets from MySQL servers: greeting, login replies, results and errors.

use super::*;

impl MysqlBackend {
    pub(super) fn handle_packet(
        &mut self,
        key: SlotKey,
        sequence: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> AfterPacket {
        let Some(conn) = self.connections.get_mut(key) else { return AfterPacket::Close };
        match &mut conn.phase {
            Phase::Dialling | Phase::Idle => AfterPacket::Close, // Unexpected packet: no command was sent.
            Phase::Greeting => self.handle_greeting(key, sequence, body, context),
            Phase::Login => self.handle_login_reply(key, sequence, body, context),
            Phase::Schema if body.first() == Some(&0) => {
                conn.schema = conn.job.as_ref().and_then(|job| job.payload.schema.clone());
                conn.advance(context.now);
                AfterPacket::KeepOpen
            }
            Phase::Schema => {
                self.end_attempt(key, Outcome::NotSent, Some(FinalResponse::Error(body.to_vec())), context)
            }
            Phase::Preparing(state) => match state {
                None if body.first() == Some(&0xff) => self.handle_error(key, body, context),
                None => {
                    let (Some(id), Some(counts)) = (body.get(1..5), body.get(5..9)) else {
                        return AfterPacket::Close;
                    };
                    let id = id.iter().rev().fold(0, |sum, b| sum << 8 | u32::from(*b));
                    let count = |b: &[u8]| u64::from(b[0]) | u64::from(b[1]) << 8;
                    let lines = |n: u64| n + u64::from(n > 0); // An EOF packet follows each nonempty list.
                    *state = Some((id, lines(count(&counts[..2])) + lines(count(&counts[2..]))));
                    conn.record_prepared();
                    conn.execute_if_prepared(context.now);
                    AfterPacket::KeepOpen
                }
                Some((_, left)) => {
                    *left = left.saturating_sub(1);
                    conn.execute_if_prepared(context.now);
                    AfterPacket::KeepOpen
                }
            },
            Phase::Running(response) => {
                let effect = response.advance(body);
                mysql_packets::append_packet(&mut conn.answer, 0, body);
                let size = conn.answer.len();
                match effect {
                    PacketEffect::More if size <= MAX_RESULT_BYTES => {
                        let all: usize = self.connections.iter().map(|(_, conn)| conn.answer.len()).sum();
                        if all > self.max_result_bytes_total {
                            context.log.push(format!("result: dropped, answers={all}"));
                            return AfterPacket::Close;
                        }
                        AfterPacket::KeepOpen
                    }
                    PacketEffect::More => {
                        context.log.push(format!("result: dropped, bytes={size}"));
                        let text = "the result is larger than beamgap keeps; it has run";
                        let body = mysql_packets::error(1105, "HY000", text);
                        // The rest of the result would still arrive, so the connection is closed.
                        self.end_attempt(key, Outcome::NotSent, Some(FinalResponse::Error(body)), context);
                        AfterPacket::Close
                    }
                    PacketEffect::Done => {
                        conn.in_transaction = mysql_packets::leaves_transaction(body);
                        let answer = std::mem::take(&mut conn.answer);
                        self.end_attempt(key, Outcome::Served, Some(FinalResponse::Served(answer)), context)
                    }
                    PacketEffect::Error => self.handle_error(key, body, context),
                    PacketEffect::Broken => AfterPacket::Close,
                }
            }
            Phase::CheckingUptime(_) => self.handle_uptime(key, body, context),
            Phase::Killing => {
                conn.kill = None;
                conn.advance(context.now);
                AfterPacket::KeepOpen
            }
        }
    }

    pub(super) fn handle_greeting(
        &mut self,
        key: SlotKey,
        sequence: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> AfterPacket {
        if body.first() == Some(&0xff) {
            return self.handle_error(key, body, context);
        }
        let Some(conn) = self.connections.get_mut(key) else { return AfterPacket::Close };
        let Ok(greeting) = ParseBuf(body).parse::<HandshakePacket>(()) else { return AfterPacket::Close };
        conn.server_connection_id = greeting.connection_id();
        conn.nonce = greeting.nonce();
        conn.nonce.truncate(20);
        let plugin = greeting.auth_plugin_name_ref().unwrap_or(NATIVE_PLUGIN);
        let plugin = if plugin == SHA2_PLUGIN { SHA2_PLUGIN } else { NATIVE_PLUGIN };
        let scramble = scramble(plugin, &conn.nonce, &self.settings.engine_password);
        let name = if plugin == SHA2_PLUGIN {
            AuthPlugin::CachingSha2Password
        } else {
            AuthPlugin::MysqlNativePassword
        };
        let response = HandshakeResponse::new(
            Some(scramble),
            (8, 0, 36),
            Some(self.settings.engine_user.as_bytes()),
            None::<Vec<u8>>,
            Some(name),
            mysql_packets::capabilities(),
            None,
            MAX_PACKET_BYTES as u32,
        );
        let (mut out, mut reply) = (Vec::new(), Vec::new());
        response.serialize(&mut reply);
        mysql_packets::append_packet(&mut out, sequence.wrapping_add(1), &reply);
        conn.socket.queue_write(&out);
        conn.phase = Phase::Login;
        AfterPacket::KeepOpen
    }

    pub(super) fn handle_login_reply(
        &mut self,
        key: SlotKey,
        sequence: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> AfterPacket {
        let Some(conn) = self.connections.get_mut(key) else { return AfterPacket::Close };
        match body {
            [0, ..] => {
                context.timers.set(context.now + CHECK_INTERVAL_MS, TimerEvent::MysqlBackend(key));
                conn.phase = Phase::Idle;
                conn.advance(context.now);
                AfterPacket::KeepOpen
            }
            [1, 3] => AfterPacket::KeepOpen, // The server has the password cached; its OK packet follows.
            [0xfe, switch @ ..] => {
                let Some(end) = switch.iter().position(|b| *b == 0) else { return AfterPacket::Close };
                let nonce = switch[end + 1..].strip_suffix(&[0]).unwrap_or(&switch[end + 1..]);
                conn.nonce = nonce.to_vec();
                let mut out = Vec::new();
                let scramble = scramble(&switch[..end], nonce, &self.settings.engine_password);
                mysql_packets::append_packet(&mut out, sequence.wrapping_add(1), &scramble);
                conn.socket.queue_write(&out);
                AfterPacket::KeepOpen
            }
            [0xff, ..] => self.handle_error(key, body, context),
            _ => {
                context.log.push(format!(
                    "login: engine={} requested an unsupported authentication method",
                    conn.engine.0
                ));
                AfterPacket::Close
            }
        }
    }

    /// Handles an error packet. A server error determines the attempt outcome; a statement error goes to the client.
    pub(super) fn handle_error(
        &mut self,
        key: SlotKey,
        body: &[u8],
        context: &mut BackendContext,
    ) -> AfterPacket {
        let Some(conn) = self.connections.get_mut(key) else { return AfterPacket::Close };
        let code = mysql_packets::error_code(body).unwrap_or(0);
        let logged_in = !matches!(conn.phase, Phase::Greeting | Phase::Login);
        if !logged_in {
            context.log.push(format!("login: engine={} error={code}", conn.engine.0));
            let outcome = if CONNECTION_LIMIT_ERRORS.contains(&code) {
                Outcome::Overloaded
            } else {
                Outcome::ConnectFailed
            };
            self.end_attempt(key, outcome, None, context);
            return AfterPacket::Close;
        }
        let running = matches!(conn.phase, Phase::Running(_));
        if code == UNKNOWN_STATEMENT && running {
            if let Some(job) = conn.job.as_mut().filter(|job| !job.reprepared) {
                (job.sent, job.reprepared) = (false, true);
                let statement = statement_key(&job.payload);
                conn.prepared.remove(&statement);
                conn.prepare_order.retain(|s| *s != statement);
                conn.answer.clear();
                conn.advance(context.now);
                return AfterPacket::KeepOpen;
            }
        }
        if CONNECTION_LIMIT_ERRORS.contains(&code) {
            self.end_attempt(key, Outcome::Overloaded, None, context);
        } else if SERVER_ERRORS.contains(&code) {
            // An error in reply to the prepare command means that the statement has not run.
            self.end_attempt(key, if running { Outcome::Error } else { Outcome::Overloaded }, None, context);
        } else {
            // The error is that of the statement itself, so every server would return it: no retry.
            return self.end_attempt(
                key,
                Outcome::NotSent,
                Some(FinalResponse::Error(body.to_vec())),
                context,
            );
        }
        AfterPacket::Close
    }
}

/// Computes the reply to a server's challenge for an authentication plugin; empty for an empty password.
fn scramble(plugin: &[u8], nonce: &[u8], password: &str) -> Vec<u8> {
    let password = password.as_bytes();
    let of = |scramble: Option<&[u8]>| scramble.map(<[u8]>::to_vec).unwrap_or_default();
    if plugin == SHA2_PLUGIN {
        of(scramble_sha256(nonce, password).as_ref().map(|s| &s[..]))
    } else {
        of(scramble_native(nonce, password).as_ref().map(|s| &s[..]))
    }
}
