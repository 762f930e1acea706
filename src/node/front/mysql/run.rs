//! What a client asks for: commands, statements, and the request that comes of one.

use super::*;

impl MysqlFront {
    pub(super) fn command(
        &mut self,
        key: SlotKey,
        number: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(key) else { return false };
        let Some((command, rest)) = body.split_first() else {
            session.wrong(number, MALFORMED);
            return false;
        };
        let handle = rest.first_chunk::<4>().map(|id| u32::from_le_bytes(*id));
        match *command {
            QUIT => return false,
            PING => session.reply(number, &mysql_packets::ok()),
            INIT_DB => session.choose_schema(number, rest),
            RESET_CONNECTION => {
                session.statements.clear();
                session.schema = None;
                session.reply(number, &mysql_packets::ok());
            }
            QUERY => self.query(key, number, rest, context),
            STMT_PREPARE => session.prepare(number, rest),
            STMT_EXECUTE => self.execute(key, number, rest, context),
            STMT_SEND_LONG_DATA => session.long_data(rest), // Gets no answer.
            STMT_CLOSE => {
                handle.and_then(|handle| session.statements.remove(&handle)); // Gets no answer.
            }
            STMT_RESET => match handle.and_then(|id| session.statements.get_mut(&id)) {
                Some(statement) => {
                    statement.long.clear();
                    session.reply(number, &mysql_packets::ok());
                }
                None => session.wrong(number, UNKNOWN_STATEMENT),
            },
            STMT_FETCH | CHANGE_USER | SET_OPTION | PROCESS_KILL | FIELD_LIST => {
                session.unsupported(number, "this command")
            }
            _ => session.wrong(number, UNKNOWN_COMMAND),
        }
        true
    }

    pub(super) fn query(&mut self, key: SlotKey, number: u8, text: &[u8], context: &mut BackendContext) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let words = statement::words(text);
        if words.first().is_some_and(|w| w == "USE") {
            let name = String::from_utf8_lossy(&text[3.min(text.len())..]).into_owned();
            let name = name.trim().trim_end_matches(';').trim().trim_matches('`');
            return session.choose_schema(number, name.as_bytes());
        }
        if let Err(bound) = statement::movable(&words) {
            return session.unsupported(number, bound.0);
        }
        self.ask(key, number, text.to_vec(), &words, None, context);
    }

    pub(super) fn execute(&mut self, key: SlotKey, number: u8, rest: &[u8], context: &mut BackendContext) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let Some((handle, after)) = rest.split_first_chunk::<4>() else {
            return session.wrong(number, MALFORMED);
        };
        let Some(statement) = session.statements.get_mut(&u32::from_le_bytes(*handle)) else {
            return session.wrong(number, UNKNOWN_STATEMENT);
        };
        match statement.bind(after) {
            Ok(bound) => {
                let text = statement.text.clone();
                let words = statement::words(&text);
                self.ask(key, number, text, &words, Some(bound), context);
            }
            Err(wrong) if wrong == UNSUPPORTED.0 => session.unsupported(number, "a cursor"),
            Err(wrong) if wrong == WRONG_ARGUMENTS.0 => session.wrong(number, WRONG_ARGUMENTS),
            Err(_) => session.wrong(number, MALFORMED),
        }
    }

    /// Hands a request to the core, under the class that the operator's rules give it.
    pub(super) fn ask(
        &mut self,
        key: SlotKey,
        number: u8,
        text: Vec<u8>,
        words: &[String],
        bound: Option<Bound>,
        context: &mut BackendContext,
    ) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let verb = words.iter().find(|w| *w != "(").map_or("", String::as_str);
        let lower = String::from_utf8_lossy(&text).to_lowercase();
        let reads = statement::only_reads(words);
        let rule = self.settings.rules.iter().find(|rule| {
            let verb = rule.verb.as_deref().is_none_or(|v| v == verb);
            verb && rule.mentions.as_deref().is_none_or(|m| lower.contains(m))
        });
        // Guards against a rule that is too wide: what does more than read is never run twice.
        let rule = rule.filter(|rule| reads || self.classes[rule.class.0].0 == Repeat::Unsafe);
        let class = rule.map_or(self.settings.default_class, |rule| rule.class);
        session.requests += 1;
        session.phase = Phase::Busy(number);
        let id = session.requests;
        let tables = table_group::table_group(&text).unwrap_or(0);
        context.heard.push(DispatcherEvent::Asked(ClientRequest {
            asker: ClientHandle { front: Front::Mysql, conn: key, id },
            name: Arc::from(format!("m{}-{}-{id}", key.slot, key.generation)),
            class,
            sent: context.now,
            budget: rule.and_then(|rule| rule.budget_ms).unwrap_or(self.classes[class.0].1),
            waited_at_client: 0.0,
            tables,
            work_ms: rule.and_then(|rule| rule.work_ms),
            memory_mb: rule.and_then(|rule| rule.memory_mb),
            tenant: session.tenant.clone(),
            order: self.classes[class.0].2.then(|| {
                // Each kind has a letter of its own, so that an account named as a group is no such group.
                Arc::from(match rule.map(|rule| rule.order_by).unwrap_or_default() {
                    OrderBy::Account => format!("a{}", String::from_utf8_lossy(&session.user)),
                    OrderBy::Tables => format!("t{tables}"),
                    OrderBy::Session => format!("s{}-{}", key.slot, key.generation),
                })
            }),
            payload: Rc::new(Payload { statement: text, bound, schema: session.schema.clone() }),
            admitted: None,
        }));
    }
}
