//! What a message asks for, and what is wrong with one.

use super::*;

pub(super) const PARSE: (i32, &str) = (-32700, "Parse error");
pub(super) const INVALID: (i32, &str) = (-32600, "Invalid Request");
pub(super) const UNKNOWN: (i32, &str) = (-32601, "Method not found");
pub(super) const PARAMS: (i32, &str) = (-32602, "Invalid params");
pub(super) const REFUSED: i32 = -32011;
pub(super) const FAILED: i32 = -32010;
pub(super) const TIMED_OUT: i32 = -32012;

/// What a message asks for.
pub(super) enum Asked {
    Alive(u64),
    Cancel(u64),
    Run(u64, Box<ClientRequest>),
    /// A request under the number of one that is open.
    Twice(u64),
    /// A notification that tells nothing: no answer is owed, not even an error.
    Nothing,
}

/// An error for the client: its request's number, if that could be read, and what is wrong.
pub(super) type Wrong = (Option<u64>, (i32, &'static str), &'static str);

impl JsonRpc {
    /// Tells a client what is wrong with what it said.
    pub(super) fn wrong(
        &mut self,
        key: SlotKey,
        (id, (code, name), why): Wrong,
        context: &mut BackendContext,
    ) {
        if context.now - self.told.1 >= 1000.0 {
            if self.told.0 > LOG_MOST {
                context.log.push(format!("bad message: {} more", self.told.0 - LOG_MOST));
            }
            self.told = (0, context.now);
        }
        self.told.0 += 1;
        if self.told.0 <= LOG_MOST {
            context.log.push(format!("bad message: code={code} {why}"));
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        let id = id.map_or("null".to_owned(), |id| id.to_string());
        let message = json::quoted(&format!("{name}: {why}"));
        let error = format!(r#"{{"code":{code},"message":{message}}}"#);
        put(&mut client.link, &format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{error}}}"#));
    }

    pub(super) fn message(
        &mut self,
        key: SlotKey,
        message: Vec<u8>,
        sent: f64,
        context: &mut BackendContext,
    ) {
        let asked = self.read(key, message, sent);
        let Some(client) = self.clients.get_mut(key) else { return };
        let on_new_connection = !client.asked;
        client.asked |= matches!(asked, Ok(Asked::Alive(_) | Asked::Cancel(_) | Asked::Run(..)));
        match asked {
            Ok(Asked::Nothing) => {}
            Ok(Asked::Alive(id)) => {
                put(&mut client.link, &format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"pass":true}}}}"#));
            }
            Ok(Asked::Cancel(id)) => {
                if client.open.remove(&id) {
                    withdraw(ClientHandle { front: Front::JsonRpc, conn: key, id }, context.heard);
                }
            }
            // Nobody waits for it: its client has closed its side.
            Ok(Asked::Run(..) | Asked::Twice(_)) if client.ended => {}
            Ok(Asked::Run(id, mut ask)) => {
                client.open.insert(id);
                if let Some(order) = &ask.order {
                    let pacing = &mut self.key_pacing;
                    ask.waited_at_client = pacing.longest_wait(sent, order, ask.budget, on_new_connection);
                }
                context.heard.push(DispatcherEvent::Asked(*ask));
            }
            Ok(Asked::Twice(id)) => {
                // Any answer under this number could be taken for that of the other request.
                self.wrong(key, (Some(id), INVALID, "id is in use"), context);
                self.leave(key, context);
            }
            Err(wrong) => self.wrong(key, wrong, context),
        }
    }

    pub(super) fn read(&self, key: SlotKey, message: Vec<u8>, sent: f64) -> Result<Asked, Wrong> {
        let value = json::read(message).map_err(|_| (None, PARSE, "not JSON"))?;
        let number = value.get("id").and_then(|id| id.as_u64()).filter(|id| *id > 0);
        let wrong = |what, why| Err((number, what, why));
        if value.get("jsonrpc").and_then(|v| v.as_str()) != Some("2.0") {
            return wrong(INVALID, "jsonrpc is not 2.0");
        }
        let Some(method) = value.get("method").and_then(|m| m.as_str()) else {
            return wrong(INVALID, "method is not a string");
        };
        let params = value.get("params");
        let param = |name: &str| params.and_then(|p| p.get(name));
        let notifies = value.get("id").is_none();
        if method == "cancelRequest" {
            let place = || params.and_then(|p| p.as_array()).and_then(|list| list.first());
            return match param("id").or_else(place).and_then(|id| id.as_u64()) {
                Some(id) => Ok(Asked::Cancel(id)),
                None if notifies => Ok(Asked::Nothing),
                None => wrong(PARAMS, "id is not a number"),
            };
        }
        if notifies && !self.classes.contains_key(method) {
            return Ok(Asked::Nothing);
        }
        let Some(id) = number else { return wrong(INVALID, "id is not a number from 1") };
        if method == "alive" {
            return Ok(Asked::Alive(id));
        }
        let Some(class) = self.classes.get(method) else { return wrong(UNKNOWN, "no such class") };
        let client = self.clients.get(key);
        if client.is_none_or(|client| client.open.contains(&id)) {
            return Ok(Asked::Twice(id));
        }
        if client.is_none_or(|client| client.open.len() >= OPEN_MOST) {
            return wrong(INVALID, "too many open requests");
        }
        let text = |name: &str| param(name).and_then(|v| v.as_str());
        let hex = |n: &&str| n.len() == NAME_LENGTH && n.bytes().all(|b| b.is_ascii_hexdigit());
        let Some(name) = text("rid").filter(hex) else { return wrong(PARAMS, "rid") };
        let longest = self.budgets.get(class.0).copied().unwrap_or_default();
        let Some(budget) = param("budget").and_then(json::number).filter(|ms| *ms > 0.0 && *ms <= longest)
        else {
            return wrong(PARAMS, "budget");
        };
        let estimate = |name: &str, most: f64| match param(name) {
            None | Some(OwnedValue::Static(StaticNode::Null)) => Ok(None),
            Some(v) => {
                let within = json::number(v).filter(|v| (0.0..=most).contains(v));
                within.map(Some).ok_or((number, PARAMS, "estimate"))
            }
        };
        let (work_ms, memory_mb) = (estimate("est", MOST_MS)?, estimate("memory", MOST_MB)?);
        let tenant = match param("acct") {
            None | Some(OwnedValue::Static(StaticNode::Null)) => None,
            Some(v) => match v.as_str().and_then(|name| self.tenants.get(name)) {
                Some(name) => Some(name.clone()),
                None => return wrong(PARAMS, "acct"),
            },
        };
        // Without its key nobody can tell what it has to wait for: better not run than out of its turn.
        let order = match self.ordered.get(class.0) {
            Some(true) => {
                let key = text("obj").filter(|key| (1..=KEY_MOST).contains(&key.len()));
                let Some(key) = key else { return wrong(PARAMS, "obj") };
                Some(Arc::from(key))
            }
            _ => None,
        };
        // A statement is text: an engine that can't read one closes, whatever else is open on that connection.
        let statement = text("doc").and_then(|doc| BASE64_STANDARD.decode(doc).ok());
        let Some(statement) = statement.filter(|s| !s.is_empty() && std::str::from_utf8(s).is_ok()) else {
            return wrong(PARAMS, "doc");
        };
        let ask = ClientRequest {
            asker: ClientHandle { front: Front::JsonRpc, conn: key, id },
            name: Arc::from(name),
            class: *class,
            sent,
            budget,
            waited_at_client: 0.0,
            tables: table_group::table_group(&statement).unwrap_or(0),
            work_ms,
            memory_mb,
            tenant,
            order,
            payload: Rc::new(Payload { statement, ..Payload::default() }),
            admitted: None,
        };
        Ok(Asked::Run(id, Box::new(ask)))
    }
}
