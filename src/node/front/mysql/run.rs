//! Handles client commands and turns statements into requests for the dispatcher.

use super::*;

impl MysqlFront {
    pub(super) fn handle_command(
        &mut self,
        key: SlotKey,
        sequence: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(key) else { return false };
        let Some((command, rest)) = body.split_first() else {
            session.send_error(sequence, MALFORMED);
            return false;
        };
        let handle = rest.first_chunk::<4>().map(|id| u32::from_le_bytes(*id));
        match *command {
            QUIT => return false,
            PING => session.reply(sequence, &mysql_packets::ok()),
            INIT_DB => session.choose_schema(sequence, rest),
            RESET_CONNECTION => {
                session.statements.clear(); // The default schema stays, as the protocol specifies.
                session.reply(sequence, &mysql_packets::ok());
            }
            QUERY => self.query(key, sequence, rest, context),
            STMT_PREPARE => session.prepare(sequence, rest),
            STMT_EXECUTE => self.execute(key, sequence, rest, context),
            STMT_SEND_LONG_DATA => session.append_long_data(rest), // The protocol defines no reply.
            STMT_CLOSE => {
                handle.and_then(|handle| session.statements.remove(&handle)); // The protocol defines no reply.
            }
            STMT_RESET => match handle.and_then(|id| session.statements.get_mut(&id)) {
                Some(statement) => {
                    statement.clear_long_data();
                    session.reply(sequence, &mysql_packets::ok());
                }
                None => session.send_error(sequence, UNKNOWN_STATEMENT),
            },
            STMT_FETCH | CHANGE_USER | SET_OPTION | PROCESS_KILL | FIELD_LIST => {
                session.send_unsupported(sequence, "this command")
            }
            _ => session.send_error(sequence, UNKNOWN_COMMAND),
        }
        true
    }

    pub(super) fn query(&mut self, key: SlotKey, sequence: u8, text: &[u8], context: &mut BackendContext) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let words = statement::words(text);
        if let Some(schema) = statement::schema_of_use(text) {
            return session.choose_schema(sequence, &schema);
        }
        if let Err(feature) = statement::check_session_independent(&words) {
            return session.send_unsupported(sequence, feature.0);
        }
        let (statement, schema) = (text.to_vec(), session.schema.clone());
        let may_change_session = statement::may_change_session(&words);
        let payload = Payload { statement, bound: None, schema, may_change_session };
        self.dispatch(key, sequence, payload, &words, context);
    }

    pub(super) fn execute(&mut self, key: SlotKey, sequence: u8, rest: &[u8], context: &mut BackendContext) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let Some((handle, after)) = rest.split_first_chunk::<4>() else {
            return session.send_error(sequence, MALFORMED);
        };
        let Some(statement) = session.statements.get_mut(&u32::from_le_bytes(*handle)) else {
            return session.send_error(sequence, UNKNOWN_STATEMENT);
        };
        match statement.bind(after) {
            Ok(bound) => {
                let (text, schema) = (statement.text.clone(), statement.schema.clone());
                let words = statement::words(&text);
                let may_change_session = statement::may_change_session(&words);
                let payload = Payload { statement: text, bound: Some(bound), schema, may_change_session };
                self.dispatch(key, sequence, payload, &words, context);
            }
            Err(code) if code == UNSUPPORTED.0 => session.send_unsupported(sequence, "a cursor"),
            Err(code) if code == WRONG_ARGUMENTS.0 => session.send_error(sequence, WRONG_ARGUMENTS),
            Err(_) => session.send_error(sequence, MALFORMED),
        }
    }

    /// Sends a request to the dispatcher with the class that the operator's rules assign to it.
    pub(super) fn dispatch(
        &mut self,
        key: SlotKey,
        sequence: u8,
        payload: Payload,
        words: &[String],
        context: &mut BackendContext,
    ) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let verb = words.iter().find(|w| *w != "(").map_or("", String::as_str);
        let lower = String::from_utf8_lossy(&payload.statement).to_lowercase();
        let reads = statement::is_read_only(words);
        let rule = self.settings.rules.iter().find(|rule| {
            let verb = rule.verb.as_deref().is_none_or(|v| v == verb);
            verb && rule.mentions.as_deref().is_none_or(|m| lower.contains(m))
        });
        // Ignores a rule that would assign a statement that is not read-only to a class with retries.
        let rule = rule.filter(|rule| reads || self.classes[rule.class.0].0 == Repeat::Unsafe);
        let class = rule.map_or(self.settings.default_class, |rule| rule.class);
        session.requests += 1;
        session.phase = Phase::Busy(sequence);
        let id = session.requests;
        let table_group =
            table_group::table_group_in(&payload.statement, payload.schema.as_deref()).unwrap_or(0);
        context.events.push(DispatcherEvent::RequestReceived(ClientRequest {
            client: ClientHandle { front: Front::Mysql, conn: key, id },
            name: Arc::from(format!("m{}-{}-{id}", key.slot, key.generation)),
            class,
            sent_at: context.now,
            budget_ms: rule.and_then(|rule| rule.budget_ms).unwrap_or(self.classes[class.0].1),
            waited_at_client: 0.0,
            table_group,
            work_ms: rule.and_then(|rule| rule.work_ms),
            memory_mb: rule.and_then(|rule| rule.memory_mb),
            tenant: session.tenant.clone(),
            ordering_key: self.classes[class.0].2.then(|| {
                // Each kind of key has its own prefix, so that an account name cannot collide with a table group.
                Arc::from(match rule.map(|rule| rule.order_by).unwrap_or_default() {
                    OrderBy::Account => format!("a{}", String::from_utf8_lossy(&session.user)),
                    OrderBy::Tables => format!("t{table_group}"),
                    OrderBy::Session => format!("s{}-{}", key.slot, key.generation),
                })
            }),
            payload: Rc::new(payload),
            admitted: None,
        }));
    }
}
