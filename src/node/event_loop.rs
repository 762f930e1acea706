//! One turn of the loop: sockets, deadlines, news, and the core's orders carried out.

use super::*;
use mio::event::Event;

/// An engine's state as the log names it.
fn state_in_log(state: crate::EngineState) -> &'static str {
    match state {
        crate::EngineState::Serving => "Serving",
        crate::EngineState::Draining => "Draining",
        crate::EngineState::Removed => "Gone",
    }
}

impl Node {
    /// One turn: waits for sockets or a deadline, handles all that there is. Under a set clock it waits for sockets
    /// no longer than `most`, and for deadlines not at all.
    pub fn poll_once(&mut self, most: Duration) -> io::Result<()> {
        let from = self.clock.now();
        let again = self.jsonrpc.take_again();
        let unread = self.closing.take_unread();
        let due = self.timers.first().map_or(f64::INFINITY, |at| (at - from).max(0.0));
        let most = if again.is_empty() && unread.is_empty() { most } else { Duration::ZERO };
        let wait = if self.clock.is_set() && due > 0.0 { most } else { most.min(millis(due)) };
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let now = self.clock.now();
        // What a poll finds at once may have come while the turn before was at work; what it waited for is fresh.
        let sent = if now - from < 0.2 { from } else { now } - TRANSIT_MS;
        let ready = |event: &Event| Some((SocketOwner::of(event.token())?, event.is_read_closed()));
        let owners: Vec<(SocketOwner, bool)> = self.events.iter().filter_map(ready).collect();
        // Those that flood come last: whoever has something new to say is heard first.
        let again =
            again.into_iter().map(SocketOwner::JsonRpc).chain(unread.into_iter().map(SocketOwner::Closing));
        for (owner, read_closed) in owners.into_iter().chain(again.map(|owner| (owner, false))) {
            let now = self.clock.now();
            self.ready(owner, read_closed, now, sent);
        }
        let now = self.clock.now();
        while let Some(wake) = self.timers.pop(now) {
            self.wake(wake, self.clock.now());
        }
        self.fleet();
        self.feed();
        Ok(())
    }

    /// A socket has something to say. `read_closed`: the other side has closed, whatever is left to read.
    fn ready(&mut self, owner: SocketOwner, read_closed: bool, now: f64, sent: f64) {
        let mut heard = Vec::new();
        if let SocketOwner::Control(_) | SocketOwner::Fixed(HTTP_LISTENER | AGENT_LISTENER) = owner {
            return self.control_ready(owner, now);
        }
        let Node { poll, timers, log, jsonrpc, mysql, warehouses, bulletin, closing, .. } = self;
        let mut context =
            BackendContext { now, registry: poll.registry(), timers, closing, heard: &mut heard, log };
        match owner {
            SocketOwner::Fixed(SIGNAL) => self.begin_shutdown(),
            SocketOwner::Fixed(RELOAD) => {} // Only ends the wait.
            SocketOwner::Fixed(LISTENER) => self.accept(Front::JsonRpc, now, sent, &mut heard),
            SocketOwner::Fixed(_) => self.accept(Front::Mysql, now, sent, &mut heard),
            SocketOwner::JsonRpc(key) => jsonrpc.ready(key, read_closed, sent, &mut context),
            SocketOwner::Closing(key) => closing.ready(key, timers),
            SocketOwner::Warehouse(key) => warehouses.ready(key, &mut context),
            SocketOwner::Bulletin(generation) => {
                let news = bulletin.as_mut().map(|b| b.ready(now, generation)).unwrap_or_default();
                self.news(news, &mut heard);
            }
            SocketOwner::Mysql(key) => {
                mysql.iter_mut().for_each(|(front, _)| front.ready(key, read_closed, &mut context));
            }
            SocketOwner::MysqlBox(key) => {
                mysql.iter_mut().for_each(|(_, boxes)| boxes.ready(key, &mut context))
            }
            SocketOwner::Control(_) => {} // Handled above.
        }
        self.settle(heard);
    }

    pub(super) fn wake(&mut self, wake: TimerEvent, now: f64) {
        let mut heard = Vec::new();
        let Node { poll, timers, log, jsonrpc, mysql, warehouses, bulletin, exchange, control, .. } = self;
        let (registry, closing) = (poll.registry(), &mut self.closing);
        let mut context = BackendContext { now, registry, timers, closing, heard: &mut heard, log };
        match wake {
            TimerEvent::Module(timer) => exchange.timer(now, timer, timers),
            TimerEvent::RequestOver(key) => exchange.request_over(now, key, timers),
            TimerEvent::AttemptOver(request, attempt) => {
                exchange.attempt_over(now, AttemptRef { request, attempt }, timers);
            }
            TimerEvent::Backend(key) => warehouses.look(key, &mut context),
            TimerEvent::Bulletin => bulletin.iter_mut().for_each(|b| b.look(now, registry, timers)),
            TimerEvent::AcceptAgain => {
                self.accept_paused = false;
                self.accept(Front::JsonRpc, now, now - ACCEPT_PAUSE_MS, &mut heard);
                self.accept(Front::Mysql, now, now, &mut heard);
            }
            TimerEvent::Client(key) => jsonrpc.due(key, &mut context),
            TimerEvent::ClosingConnection(key) => closing.expired(key),
            TimerEvent::Shutdown => self.advance_shutdown(now, &mut heard),
            TimerEvent::MysqlBox(key) => {
                mysql.iter_mut().for_each(|(_, boxes)| boxes.look(key, &mut context))
            }
            TimerEvent::MysqlLogin(key) => {
                mysql.iter_mut().for_each(|(front, _)| front.login_over(key, &mut context));
            }
            TimerEvent::Control(key) => control.look(key, &mut context),
            // Health and warmth change without any socket saying so; `feed` looks at them after each turn.
            TimerEvent::Xds => {
                timers.set(now + control::xds::FEED_MS, TimerEvent::Xds);
            }
            // `fleet` looks after each turn.
            TimerEvent::Fleet => self.admission_due = None,
        }
        self.settle(heard);
    }

    pub(super) fn accept(&mut self, front: Front, now: f64, sent: f64, heard: &mut Vec<DispatcherEvent>) {
        while !self.accept_paused {
            let Node { poll, timers, log, jsonrpc, mysql, listeners, shutdown, closing, .. } = self;
            let Some((_, listener)) = listeners.iter().find(|(of, _)| *of == front) else { return };
            let clients = jsonrpc.len() + mysql.as_ref().map_or(0, |(front, _)| front.len()) + closing.len();
            let mut context = BackendContext { now, registry: poll.registry(), timers, closing, heard, log };
            // Guards against clients that ask once and stay, or never ask: they make room for those that come.
            let full = clients >= self.client_sockets
                && !context.closing.evict(context.timers)
                && !jsonrpc.make_room(sent, &mut context);
            let accepted = if full { Err(ErrorKind::QuotaExceeded.into()) } else { listener.accept() };
            match accepted {
                Ok((stream, _)) => {
                    shutdown.iter_mut().for_each(|shutdown| shutdown.accepted(now));
                    match (front, mysql) {
                        (Front::Mysql, Some((mysql, _))) => mysql.accept(stream, &mut context),
                        _ => jsonrpc.accept(stream, sent, &mut context),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted || e.kind() == ErrorKind::ConnectionAborted => {}
                Err(_) => {
                    // Out of descriptors, or at the clients' part: those that wait stay in the system's line.
                    self.accept_paused = true;
                    self.timers.set(now + ACCEPT_PAUSE_MS, TimerEvent::AcceptAgain);
                }
            }
        }
    }

    pub(super) fn news(&mut self, news: Vec<ListEvent>, heard: &mut Vec<DispatcherEvent>) {
        let now = self.clock.now();
        if !news.is_empty() {
            self.xds.iter_mut().for_each(Feed::hurry);
        }
        for ListEvent { number, kind, listings } in news {
            let Node { poll, timers, log, mysql, warehouses, closing, .. } = self;
            let mut context = BackendContext { now, registry: poll.registry(), timers, closing, heard, log };
            warehouses.members(kind, &listings, &mut context);
            mysql.iter_mut().for_each(|(_, boxes)| boxes.members(kind, &listings, &mut context));
            for listing in &listings {
                let m = &listing.member;
                let (engine, address, state) = (&m.engine.0, listing.address, state_in_log(m.state));
                self.log.push(format!("list: no={number} engine={engine} address={address} state={state}"));
            }
            let members: Vec<_> = listings.into_iter().map(|listing| listing.member).collect();
            let members = match &mut self.admission {
                Some(admission) => admission.engines_listed(kind != crate::ListKind::Changes, members),
                None => members,
            };
            heard.push(DispatcherEvent::Members(kind, number, members));
        }
    }

    /// Lets the core hear what came, and carries its orders out, until nothing is left.
    pub(super) fn settle(&mut self, mut heard: Vec<DispatcherEvent>) {
        loop {
            let now = self.clock.now();
            for heard in heard.drain(..) {
                let heard = if self.admission.is_some() { self.admit(heard) } else { Some(heard) };
                let heard = heard.into_iter();
                heard.for_each(|heard| self.exchange.hear(now, heard, &mut self.timers));
            }
            self.log.append(&mut self.exchange.take_logs());
            let orders = self.exchange.take_orders();
            if orders.is_empty() {
                return;
            }
            let Node { poll, timers, log, jsonrpc, mysql, warehouses, closing, .. } = self;
            let mut context =
                BackendContext { now, registry: poll.registry(), timers, closing, heard: &mut heard, log };
            for order in orders {
                match (order, mysql.as_mut()) {
                    (DispatcherCommand::Answer(asker, answer), Some((front, _)))
                        if asker.front == Front::Mysql =>
                    {
                        front.answer(asker, answer, &mut context);
                    }
                    (DispatcherCommand::Answer(asker, answer), _) => {
                        jsonrpc.answer(asker, &answer, &mut context)
                    }
                    (DispatcherCommand::Start(start), Some((_, boxes))) if start.front == Front::Mysql => {
                        boxes.start(start, &mut context);
                    }
                    (DispatcherCommand::Start(start), _) => warehouses.start(start, &mut context),
                    // A pool passes over attempts and engines that are not its own.
                    (DispatcherCommand::GiveUp(attempt, again), boxes) => {
                        let boxes = boxes.filter(|(_, boxes)| boxes.carries(attempt));
                        match boxes {
                            Some((_, boxes)) => boxes.give_up(attempt, again, &mut context),
                            None => warehouses.give_up(attempt, again, &mut context),
                        }
                    }
                    (DispatcherCommand::Withdraw(attempt), boxes) => {
                        warehouses.withdraw(attempt, &mut context);
                        boxes.into_iter().for_each(|(_, boxes)| boxes.withdraw(attempt, &mut context));
                    }
                    (DispatcherCommand::Hurry(attempt, priority), _) => {
                        warehouses.hurry(attempt, priority, &mut context)
                    }
                    (DispatcherCommand::CloseIdle(engine), boxes) => {
                        warehouses.close_idle(&engine, &mut context);
                        boxes.into_iter().for_each(|(_, boxes)| boxes.close_idle(&engine, &mut context));
                    }
                }
            }
        }
    }
}
