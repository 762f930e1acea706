//! Parsing and validation of the messages of a client, and error responses.

use super::*;

pub(super) const PARSE: (i32, &str) = (-32700, "Parse error");
pub(super) const INVALID: (i32, &str) = (-32600, "Invalid Request");
pub(super) const UNKNOWN: (i32, &str) = (-32601, "Method not found");
pub(super) const PARAMS: (i32, &str) = (-32602, "Invalid params");
pub(super) const REFUSED: i32 = -32011;
pub(super) const FAILED: i32 = -32010;
pub(super) const TIMED_OUT: i32 = -32012;

/// A message of a client, after validation.
pub(super) enum Message {
    /// An `alive` call with this id, by which a client checks that the node responds.
    Alive(u64),
    /// A cancel of the request with this id.
    Cancel(u64),
    /// A request to run a statement, with its id.
    Request(u64, Box<ClientRequest>),
    /// A request whose id is that of an open request.
    DuplicateId(u64),
    /// A notification without effect. Notifications get no response, not even an error.
    Ignored,
}

/// An error for the client: the id of the message, if it could be read, the error's code and name, and the reason.
pub(super) type MessageError = (Option<u64>, (i32, &'static str), &'static str);

impl JsonRpc {
    /// Sends a client the error of its message, and writes the error to the log up to the limit of lines per second.
    pub(super) fn send_error(
        &mut self,
        key: SlotKey,
        (id, (code, name), reason): MessageError,
        context: &mut BackendContext,
    ) {
        if context.now - self.bad_messages.1 >= 1000.0 {
            if self.bad_messages.0 > MAX_LOG_LINES {
                context.log.push(format!("bad message: {} more", self.bad_messages.0 - MAX_LOG_LINES));
            }
            self.bad_messages = (0, context.now);
        }
        self.bad_messages.0 += 1;
        if self.bad_messages.0 <= MAX_LOG_LINES {
            context.log.push(format!("bad message: code={code} {reason}"));
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        let id = id.map_or("null".to_owned(), |id| id.to_string());
        let message = json::quoted(&format!("{name}: {reason}"));
        let error = format!(r#"{{"code":{code},"message":{message}}}"#);
        put(&mut client.link, &format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{error}}}"#));
    }

    /// Handles a complete message of a client. `sent_at` is the latest time at which it can have been sent.
    pub(super) fn handle_message(
        &mut self,
        key: SlotKey,
        message: Vec<u8>,
        sent_at: f64,
        context: &mut BackendContext,
    ) {
        let parsed = self.parse_message(key, message, sent_at);
        let Some(client) = self.clients.get_mut(key) else { return };
        let on_new_connection = !client.is_active;
        client.is_active |=
            matches!(parsed, Ok(Message::Alive(_) | Message::Cancel(_) | Message::Request(..)));
        match parsed {
            Ok(Message::Ignored) => {}
            Ok(Message::Alive(id)) => {
                put(&mut client.link, &format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"pass":true}}}}"#));
            }
            Ok(Message::Cancel(id)) => {
                if client.open_ids.remove(&id) && !client.unconfirmed.remove(id) {
                    cancel_request(ClientHandle { front: Front::JsonRpc, conn: key, id }, context.events);
                }
            }
            // The client has closed its write side, which withdraws its requests.
            Ok(Message::Request(..) | Message::DuplicateId(_)) if client.read_closed => {}
            Ok(Message::Request(id, mut request)) => {
                client.open_ids.insert(id);
                if let Some(ordering_key) = &request.ordering_key {
                    let pacing = &mut self.key_pacing;
                    request.waited_at_client =
                        pacing.longest_wait(sent_at, ordering_key, request.budget_ms, on_new_connection);
                }
                client.unconfirmed.push(*request);
            }
            Ok(Message::DuplicateId(id)) => {
                // The client could take any further response with this id for that of the open request.
                self.send_error(key, (Some(id), INVALID, "id is in use"), context);
                self.close_gracefully(key, context);
            }
            Err(error) => self.send_error(key, error, context),
        }
    }

    /// Parses and validates a message of a client.
    pub(super) fn parse_message(
        &self,
        key: SlotKey,
        message: Vec<u8>,
        sent_at: f64,
    ) -> Result<Message, MessageError> {
        let value = json::read(message).map_err(|_| (None, PARSE, "not JSON"))?;
        let message_id = value.get("id").and_then(|id| id.as_u64()).filter(|id| *id > 0);
        let error = |kind, reason| Err((message_id, kind, reason));
        if value.get("jsonrpc").and_then(|v| v.as_str()) != Some("2.0") {
            return error(INVALID, "jsonrpc is not 2.0");
        }
        let Some(method) = value.get("method").and_then(|m| m.as_str()) else {
            return error(INVALID, "method is not a string");
        };
        let params = value.get("params");
        let param = |name: &str| params.and_then(|p| p.get(name));
        let is_notification = value.get("id").is_none();
        if method == "cancelRequest" {
            let positional = || params.and_then(|p| p.as_array()).and_then(|list| list.first());
            return match param("id").or_else(positional).and_then(|id| id.as_u64()) {
                Some(id) => Ok(Message::Cancel(id)),
                None if is_notification => Ok(Message::Ignored),
                None => error(PARAMS, "id is not a number"),
            };
        }
        if is_notification && !self.classes.contains_key(method) {
            return Ok(Message::Ignored);
        }
        let Some(id) = message_id else { return error(INVALID, "id is not a number from 1") };
        if method == "alive" {
            return Ok(Message::Alive(id));
        }
        let Some(class) = self.classes.get(method) else { return error(UNKNOWN, "no such class") };
        let client = self.clients.get(key);
        if client.is_none_or(|client| client.open_ids.contains(&id)) {
            return Ok(Message::DuplicateId(id));
        }
        if client.is_none_or(|client| client.open_ids.len() >= MAX_OPEN_REQUESTS) {
            return error(INVALID, "too many open requests");
        }
        let text = |name: &str| param(name).and_then(|v| v.as_str());
        let is_name = |n: &&str| n.len() == NAME_LENGTH && n.bytes().all(|b| b.is_ascii_hexdigit());
        let Some(name) = text("rid").filter(is_name) else { return error(PARAMS, "rid") };
        let max_budget = self.max_budgets.get(class.0).copied().unwrap_or_default();
        let Some(budget_ms) =
            param("budget").and_then(json::number).filter(|ms| *ms > 0.0 && *ms <= max_budget)
        else {
            return error(PARAMS, "budget");
        };
        let estimate = |name: &str, max: f64| match param(name) {
            None | Some(OwnedValue::Static(StaticNode::Null)) => Ok(None),
            Some(v) => {
                let in_range = json::number(v).filter(|v| (0.0..=max).contains(v));
                in_range.map(Some).ok_or((message_id, PARAMS, "estimate"))
            }
        };
        let (work_ms, memory_mb) = (estimate("est", MAX_WORK_MS)?, estimate("memory", MAX_MEMORY_MB)?);
        let tenant = match param("acct") {
            None | Some(OwnedValue::Static(StaticNode::Null)) => None,
            Some(v) => match v.as_str().and_then(|name| self.tenants.get(name)) {
                Some(name) => Some(name.clone()),
                None => return error(PARAMS, "acct"),
            },
        };
        // A request of an ordered class without its ordering key is invalid, since it could overtake earlier requests
        // with the same key.
        let ordering_key = match self.is_ordered.get(class.0) {
            Some(true) => {
                let key = text("obj").filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
                let Some(key) = key else { return error(PARAMS, "obj") };
                Some(Arc::from(key))
            }
            _ => None,
        };
        // A statement must be valid UTF-8: an engine that receives invalid text closes the connection, with all other
        // attempts on it.
        let statement = text("doc").and_then(|doc| BASE64_STANDARD.decode(doc).ok());
        let Some(statement) = statement.filter(|s| !s.is_empty() && std::str::from_utf8(s).is_ok()) else {
            return error(PARAMS, "doc");
        };
        let request = ClientRequest {
            client: ClientHandle { front: Front::JsonRpc, conn: key, id },
            name: Arc::from(name),
            class: *class,
            sent_at,
            budget_ms,
            waited_at_client: 0.0,
            table_group: table_group::table_group(&statement).unwrap_or(0),
            work_ms,
            memory_mb,
            tenant,
            ordering_key,
            payload: Rc::new(Payload { statement, ..Payload::default() }),
            admitted: None,
        };
        Ok(Message::Request(id, Box::new(request)))
    }
}
