//! One iteration of the event loop: socket readiness, timers, engine list events and the commands of the request
//! dispatcher.

use super::slab::SlotKey;
use super::*;
use mio::event::Event;
use std::collections::VecDeque;

/// Disconnects the client of either front that is idle for longest, unless all must stay.
fn make_room(
    jsonrpc: &mut JsonRpc,
    mysql: Option<&mut MysqlFront>,
    sent_at: f64,
    context: &mut BackendContext,
) {
    let jsonrpc_since = jsonrpc.evictable_since(context.now).unwrap_or(f64::INFINITY);
    let Some(mysql) = mysql else {
        jsonrpc.make_room(sent_at, context);
        return;
    };
    let is_mysql_first = mysql.evictable_since(context.now).is_some_and(|since| since < jsonrpc_since);
    let has_room = is_mysql_first && mysql.make_room(context);
    if !has_room && !jsonrpc.make_room(sent_at, context) {
        mysql.make_room(context);
    }
}

/// Name of an engine's state in the log.
fn state_in_log(state: crate::EngineState) -> &'static str {
    match state {
        crate::EngineState::Serving => "Serving",
        crate::EngineState::Draining => "Draining",
        crate::EngineState::Removed => "Gone",
    }
}

impl Node {
    /// Runs one iteration: waits for a ready socket or the next timer, for at most `max_wait`, and then handles all
    /// ready sockets and expired timers. Under a manually set clock, time does not pass during the wait, so that
    /// timers in the future don't shorten the wait.
    pub fn poll_once(&mut self, max_wait: Duration) -> io::Result<()> {
        let poll_started = self.clock.now();
        let unread_clients = self.jsonrpc.take_unread();
        let unread_sessions = self.mysql.as_mut().map(|(front, _)| front.take_unread()).unwrap_or_default();
        let unread_control = self.control.take_unread();
        let unread_closing = self.closing.take_unread();
        let time_to_timer =
            self.timers.next_deadline().map_or(f64::INFINITY, |at| (at - poll_started).max(0.0));
        let has_unread = !unread_clients.is_empty()
            || !unread_sessions.is_empty()
            || !unread_control.is_empty()
            || !unread_closing.is_empty();
        let max_wait = if has_unread { Duration::ZERO } else { max_wait };
        let ignores_timers = self.clock.is_manual() && time_to_timer > 0.0;
        let wait = if ignores_timers { max_wait } else { max_wait.min(millis(time_to_timer)) };
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let now = self.clock.now();
        // Messages that a poll finds without a wait may have arrived during the previous iteration, and at the start
        // of the poll at the latest. Messages that end a wait have just arrived.
        let sent_at = if now - poll_started < 0.2 { poll_started } else { now } - TRANSIT_MS;
        let to_ready_socket =
            |event: &Event| Some((SocketOwner::from_token(event.token())?, event.is_read_closed()));
        let ready: Vec<(SocketOwner, bool)> = self.events.iter().filter_map(to_ready_socket).collect();
        // Sockets with input left from the previous iteration come after sockets with new events, so that a client
        // that floods its connection does not delay the others.
        let unread_sessions = unread_sessions.into_iter().map(SocketOwner::Mysql);
        let unread_closing = unread_closing.into_iter().map(SocketOwner::Closing);
        let unread_control = unread_control.into_iter().map(SocketOwner::Control);
        let unread = unread_sessions.chain(unread_control).chain(unread_closing);
        for (owner, read_closed) in ready.into_iter().chain(unread.map(|owner| (owner, false))) {
            let now = self.clock.now();
            self.handle_socket(owner, read_closed, now, sent_at);
        }
        self.read_unread_clients(unread_clients, sent_at);
        let now = self.clock.now();
        while let Some(timer_event) = self.timers.pop_expired(now) {
            self.handle_timer(timer_event, self.clock.now());
        }
        self.update_admission();
        self.publish_view();
        Ok(())
    }

    /// Reads on from the JSON-RPC clients that have reached a limit and have input left.
    fn read_unread_clients(&mut self, unread: VecDeque<SlotKey>, sent_at: f64) {
        let mut events = Vec::new();
        let now = self.clock.now();
        let Node { poll, timers, log, jsonrpc, closing, .. } = self;
        let mut context =
            BackendContext { now, registry: poll.registry(), timers, closing, events: &mut events, log };
        jsonrpc.read_unread(unread, sent_at, &mut context);
        self.run_dispatcher(events);
    }

    /// Handles readiness of a socket. `read_closed` tells that the peer has closed its write side, possibly with
    /// input left to read. `sent_at` is the estimated time at which the peer sent that input.
    fn handle_socket(&mut self, owner: SocketOwner, read_closed: bool, now: f64, sent_at: f64) {
        let mut events = Vec::new();
        if let SocketOwner::Control(_) | SocketOwner::Fixed(HTTP_LISTENER | AGENT_LISTENER) = owner {
            return self.control_ready(owner, now);
        }
        let Node { poll, timers, log, jsonrpc, mysql, line_protocol, discovery, closing, .. } = self;
        let mut context =
            BackendContext { now, registry: poll.registry(), timers, closing, events: &mut events, log };
        match owner {
            SocketOwner::Fixed(SIGNAL) => self.begin_shutdown(),
            // The waker only interrupts the poll: reloads and responses of the fleet's leader are applied after it.
            SocketOwner::Fixed(RELOAD) => {}
            SocketOwner::Fixed(LISTENER) => self.accept(Front::JsonRpc, now, sent_at, &mut events),
            SocketOwner::Fixed(_) => self.accept(Front::Mysql, now, sent_at, &mut events),
            SocketOwner::JsonRpc(key) => jsonrpc.ready(key, read_closed, sent_at, &mut context),
            SocketOwner::Closing(key) => closing.ready(key, timers),
            SocketOwner::LineProtocol(key) => line_protocol.ready(key, &mut context),
            SocketOwner::Discovery(generation) => {
                let list_events =
                    discovery.as_mut().map(|client| client.ready(now, generation)).unwrap_or_default();
                self.apply_list_events(list_events, &mut events);
            }
            SocketOwner::Mysql(key) => {
                mysql.iter_mut().for_each(|(front, _)| front.ready(key, read_closed, &mut context));
            }
            SocketOwner::MysqlBackend(key) => {
                mysql.iter_mut().for_each(|(_, mysql_backend)| mysql_backend.ready(key, &mut context))
            }
            // Handled by `control_ready` above.
            SocketOwner::Control(_) => {}
        }
        self.run_dispatcher(events);
    }

    /// Handles a timer that has expired.
    pub(super) fn handle_timer(&mut self, timer_event: TimerEvent, now: f64) {
        let mut events = Vec::new();
        let Node { poll, timers, log, jsonrpc, mysql, line_protocol, discovery, dispatcher, control, .. } =
            self;
        let (registry, closing) = (poll.registry(), &mut self.closing);
        let mut context = BackendContext { now, registry, timers, closing, events: &mut events, log };
        match timer_event {
            TimerEvent::Module(timer) => dispatcher.module_timer_fired(now, timer, timers),
            TimerEvent::RequestDeadline(key) => dispatcher.request_timed_out(now, key, timers),
            TimerEvent::AttemptTimeout(request, attempt) => {
                dispatcher.attempt_timed_out(now, AttemptRef { request, attempt }, timers);
            }
            TimerEvent::LineProtocol(key) => line_protocol.check_connection(key, &mut context),
            TimerEvent::Discovery => {
                discovery.iter_mut().for_each(|client| client.on_timer(now, registry, timers))
            }
            TimerEvent::ResumeAccept => {
                self.accept_paused = false;
                self.accept(Front::JsonRpc, now, now - ACCEPT_PAUSE_MS, &mut events);
                self.accept(Front::Mysql, now, now, &mut events);
            }
            TimerEvent::JsonRpcClient(key) => jsonrpc.timed_out(key, &mut context),
            TimerEvent::ClosingConnection(key) => closing.expired(key),
            TimerEvent::Shutdown => self.advance_shutdown(now, &mut events),
            TimerEvent::MysqlBackend(key) => mysql
                .iter_mut()
                .for_each(|(_, mysql_backend)| mysql_backend.check_connection(key, &mut context)),
            TimerEvent::MysqlLogin(key) => {
                mysql.iter_mut().for_each(|(front, _)| front.login_timed_out(key, &mut context));
            }
            TimerEvent::Control(key) => control.on_timer(key, &mut context),
            // Health and warm-up of engines change without a socket event. The timer only ends the poll: `poll_once`
            // calls `publish_view` at the end of each iteration.
            TimerEvent::Xds => {
                timers.set(now + control::xds::PUBLISH_INTERVAL_MS, TimerEvent::Xds);
            }
            // The timer only ends the poll: `poll_once` calls `update_admission` in each iteration.
            TimerEvent::Fleet => self.admission_due = None,
        }
        self.run_dispatcher(events);
    }

    /// Accepts connections of a front until the listen backlog is empty. `sent_at` is the latest time at which the
    /// clients can have sent the data that is ready to read.
    pub(super) fn accept(&mut self, front: Front, now: f64, sent_at: f64, events: &mut Vec<DispatcherEvent>) {
        while !self.accept_paused {
            let Node { poll, timers, log, jsonrpc, mysql, listeners, shutdown, closing, .. } = self;
            let Some((_, listener)) = listeners.iter().find(|(listener_front, _)| *listener_front == front)
            else {
                return;
            };
            let clients = jsonrpc.len() + mysql.as_ref().map_or(0, |(front, _)| front.len()) + closing.len();
            let mut context = BackendContext { now, registry: poll.registry(), timers, closing, events, log };
            // At the limit on client connections, an idle client or one that never sent a request makes room for the
            // new one. While all must stay, new connections wait in the listen backlog.
            let is_full = clients >= self.client_sockets;
            let mysql_front = mysql.as_mut().map(|(front, _)| front);
            let may_accept = !is_full
                || !context.closing.is_empty()
                || jsonrpc.evictable_since(now).is_some()
                || mysql_front.as_ref().is_some_and(|front| front.evictable_since(now).is_some());
            let accepted = if may_accept { listener.accept() } else { Err(ErrorKind::QuotaExceeded.into()) };
            if is_full && accepted.is_ok() && !context.closing.evict(context.timers) {
                make_room(jsonrpc, mysql_front, sent_at, &mut context);
            }
            match accepted {
                Ok((stream, _)) => {
                    shutdown.iter_mut().for_each(|shutdown| shutdown.accepted(now));
                    match (front, mysql) {
                        (Front::Mysql, Some((mysql, _))) => mysql.accept(stream, &mut context),
                        _ => jsonrpc.accept(stream, sent_at, &mut context),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted || e.kind() == ErrorKind::ConnectionAborted => {}
                Err(_) => {
                    // File descriptors or the limit on client connections are exhausted: new connections wait in the
                    // listen backlog until the pause is over.
                    self.accept_paused = true;
                    if now - self.accept_pause_logged_at >= ACCEPT_PAUSE_LOG_MS {
                        self.accept_pause_logged_at = now;
                        self.log.push(format!("accept: paused clients={clients}"));
                    }
                    self.timers.set(now + ACCEPT_PAUSE_MS, TimerEvent::ResumeAccept);
                }
            }
        }
    }

    /// Applies events of the engine list to the backends, and reports the engines to the request dispatcher.
    pub(super) fn apply_list_events(
        &mut self,
        list_events: Vec<ListEvent>,
        events: &mut Vec<DispatcherEvent>,
    ) {
        let now = self.clock.now();
        if !list_events.is_empty() {
            self.xds.iter_mut().for_each(XdsPublisher::publish_soon);
        }
        for event in list_events {
            let ListEvent { revision, kind, engines } = self.address_owners.apply(event);
            let Node { poll, timers, log, mysql, line_protocol, closing, .. } = self;
            let mut context = BackendContext { now, registry: poll.registry(), timers, closing, events, log };
            line_protocol.update_engines(kind, &engines, &mut context);
            mysql
                .iter_mut()
                .for_each(|(_, mysql_backend)| mysql_backend.update_engines(kind, &engines, &mut context));
            for listing in &engines {
                let entry = &listing.entry;
                let (engine, address, state) = (&entry.engine.0, listing.address, state_in_log(entry.state));
                self.log.push(format!("list: no={revision} engine={engine} address={address} state={state}"));
            }
            let entries: Vec<_> = engines.into_iter().map(|listing| listing.entry).collect();
            let entries = match &mut self.admission {
                Some(admission) => admission.update_engine_list(kind != crate::ListKind::Changes, entries),
                None => entries,
            };
            events.push(DispatcherEvent::EngineList(kind, revision, entries));
        }
    }

    /// Passes events to the request dispatcher and carries out its commands, which may cause further events, until
    /// there are no events left.
    pub(super) fn run_dispatcher(&mut self, mut events: Vec<DispatcherEvent>) {
        loop {
            let now = self.clock.now();
            for event in events.drain(..) {
                let admitted = if self.admission.is_some() { self.admit(event) } else { Some(event) };
                let admitted = admitted.into_iter();
                admitted.for_each(|event| self.dispatcher.handle(now, event, &mut self.timers));
            }
            self.log.append(&mut self.dispatcher.take_logs());
            let commands = self.dispatcher.take_commands();
            if commands.is_empty() {
                return;
            }
            let Node { poll, timers, log, jsonrpc, mysql, line_protocol, closing, .. } = self;
            let mut context =
                BackendContext { now, registry: poll.registry(), timers, closing, events: &mut events, log };
            for command in commands {
                match (command, mysql.as_mut()) {
                    (DispatcherCommand::Respond(client, response), Some((mysql_front, _)))
                        if client.front == Front::Mysql =>
                    {
                        mysql_front.respond(client, response, &mut context);
                    }
                    (DispatcherCommand::Respond(client, response), _) => {
                        jsonrpc.respond(client, &response, &mut context)
                    }
                    (DispatcherCommand::Start(start), Some((_, mysql_backend)))
                        if start.front == Front::Mysql =>
                    {
                        mysql_backend.start(start, &mut context);
                    }
                    (DispatcherCommand::Start(start), _) => line_protocol.start(start, &mut context),
                    // Each backend ignores commands for attempts and engines that it does not have.
                    (DispatcherCommand::Cancel(attempt, report_end), mysql) => {
                        let mysql = mysql.filter(|(_, mysql_backend)| mysql_backend.has_attempt(attempt));
                        match mysql {
                            Some((_, mysql_backend)) => {
                                mysql_backend.cancel(attempt, report_end, &mut context)
                            }
                            None => line_protocol.cancel(attempt, report_end, &mut context),
                        }
                    }
                    (DispatcherCommand::CancelIfUnsent(attempt), mysql) => {
                        line_protocol.cancel_if_unsent(attempt, &mut context);
                        mysql.into_iter().for_each(|(_, mysql_backend)| {
                            mysql_backend.cancel_if_unsent(attempt, &mut context)
                        });
                    }
                    (DispatcherCommand::SetPriority(attempt, priority), _) => {
                        line_protocol.set_priority(attempt, priority, &mut context)
                    }
                    (DispatcherCommand::CloseIdle(engine), mysql) => {
                        line_protocol.close_idle(&engine, &mut context);
                        mysql
                            .into_iter()
                            .for_each(|(_, mysql_backend)| mysql_backend.close_idle(&engine, &mut context));
                    }
                }
            }
        }
    }
}
