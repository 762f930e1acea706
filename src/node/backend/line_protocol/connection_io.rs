//! Reads from and writes to line protocol connections, and handles the messages of engines.

use super::*;

impl LineProtocolBackend {
    /// Handles a readiness event of a connection: completes the dial, reads messages and writes queued commands.
    pub fn ready(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        if !conn.connected {
            match conn.socket.connect_result() {
                None => return,
                Some(Err(e)) => {
                    // A reset shows that the dial had succeeded, so unsent attempts may move to another connection.
                    conn.connected = e.kind() == ErrorKind::ConnectionReset;
                    return self.close(key, Outcome::ConnectFailed, context);
                }
                Some(Ok(())) => {
                    trace!(target: ACCOUNT, "up: engine={} ms={:.1}", conn.engine.0, context.now - conn.dialed_at);
                    (conn.connected, conn.silent_since) = (true, context.now);
                    conn.schedule_check(context.now + CHECK_INTERVAL_MS, key, context.timers);
                }
            }
        }
        if self.read(key, context).is_err() {
            self.record_idle_loss(key, context);
            if let Some(conn) = self.connections.get(key).filter(|conn| conn.load() > 0) {
                context.log.push(format!("lost: engine={} attempts={}", conn.engine.0, conn.load()));
            }
            return self.close(key, Outcome::Reset, context);
        }
        self.flush(key, context);
    }

    pub(super) fn read(&mut self, key: SlotKey, context: &mut BackendContext) -> Result<(), ConnectionLost> {
        loop {
            let Some(conn) = self.connections.get_mut(key) else { return Ok(()) };
            let before = conn.socket.input.len();
            let end = conn.socket.read(MAX_BODY_BYTES + 2 * MAX_LINE_BYTES);
            if conn.socket.input.len() > before {
                (conn.silent_since, conn.last_used, conn.idle_before_request, conn.probe_sent_at) =
                    (context.now, context.now, 0.0, None);
                let engine = self.engines.get_mut(&conn.engine);
                engine.into_iter().for_each(|engine| engine.last_received = context.now);
            }
            let input = std::mem::take(&mut conn.socket.input);
            let mut used = 0;
            let mut result = Ok(());
            while result.is_ok() {
                match parse_line(&input[used..]) {
                    Ok(None) => break,
                    Ok(Some((bytes, line))) => {
                        used += bytes;
                        result = self.handle_line(key, line, context);
                    }
                    Err(error) => result = Err(error),
                }
            }
            let Some(conn) = self.connections.get_mut(key) else { return Ok(()) };
            conn.socket.input = input;
            conn.socket.consume(used);
            result?;
            match end {
                Ok(ReadStatus::Open) if conn.socket.read_limit_reached() => {}
                Ok(ReadStatus::Open) => return Ok(()),
                Ok(ReadStatus::Closed) | Err(_) => return Err(ConnectionLost),
            }
        }
    }

    pub(super) fn handle_line(
        &mut self,
        key: SlotKey,
        line: Line<'_>,
        context: &mut BackendContext,
    ) -> Result<(), ConnectionLost> {
        let Some(conn) = self.connections.get_mut(key) else { return Ok(()) };
        if matches!(line.kind, "green" | "red") {
            // Both replies to a `there` probe show only that the connection works, not whether the engine is healthy.
            // The engine reads commands in order, so the reply confirms all cancels that were sent before the probe,
            // although replies to different commands may arrive in any order.
            if let Some(index) = conn.unconfirmed_cancels.iter().position(|(tag, ..)| tag == line.id) {
                let read = conn.unconfirmed_cancels.drain(..=index).map(|(_, at, _)| at);
                context
                    .events
                    .extend(read.map(|at| DispatcherEvent::AttemptEnded(FinishedAttempt::confirmed(at))));
            }
            return Ok(());
        }
        // A late message for a cancelled attempt is ignored.
        let Some(attempt) = conn.in_flight.get_mut(line.id) else { return Ok(()) };
        let at = attempt.attempt;
        let outcome = match line.kind {
            "update" => {
                line.progress()
                    .into_iter()
                    .for_each(|note| context.events.push(DispatcherEvent::AttemptProgress(at, note)));
                return Ok(());
            }
            "served" if attempt.pages.is_empty() => {
                let pages = line.count("pages", MAX_PAGES)?;
                attempt.pages = vec![None; pages];
                attempt.pages[0] = Some(parse_page(line.body)?);
                (attempt.cost, attempt.report) = (line.cost(), line.report());
                for page in 1..pages {
                    conn.socket.queue_write(format!("turn {} {page}\r\n", line.id).as_bytes());
                }
                Outcome::Served
            }
            "rows" => {
                // The `served` message contains page 0, and a duplicate page is ignored.
                let index = line.count("page", MAX_PAGES)?;
                let rows = parse_page(line.body)?;
                match attempt.pages.get_mut(index) {
                    Some(page) if page.is_none() => *page = Some(rows),
                    _ => return Ok(()),
                }
                Outcome::Served
            }
            "overload" => Outcome::Overloaded,
            "nobody" => Outcome::NotSent,
            "crashed" => Outcome::Error,
            _ => return Ok(()),
        };
        // An attempt whose `served` message arrived has run, so a later refusal of its pages counts as an error.
        let outcome = if outcome.never_ran() && !attempt.pages.is_empty() { Outcome::Error } else { outcome };
        if outcome == Outcome::Served {
            let size: usize = attempt.pages.iter().flatten().map(Vec::len).sum();
            if size > MAX_RESULT_BYTES {
                return Err(ConnectionLost);
            }
            if attempt.pages.iter().any(Option::is_none) {
                return Ok(());
            }
        }
        let Some(attempt) = conn.in_flight.remove(line.id) else { return Ok(()) };
        self.placements.remove(&at);
        let (response, report) = match outcome {
            Outcome::Served => {
                if attempt.pages.len() > 1 {
                    conn.socket.queue_write(format!("shut {}\r\n", line.id).as_bytes());
                }
                (
                    Some(FinalResponse::Served(attempt.pages.into_iter().flatten().flatten().collect())),
                    attempt.report,
                )
            }
            _ => (None, line.report()),
        };
        context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt {
            response,
            cost: attempt.cost,
            report,
            ..FinishedAttempt::bare(at, outcome)
        }));
        Ok(())
    }

    /// Ends the unsent attempts of a connection as overloaded, since the engine has not seen them.
    pub(super) fn fail_unsent(&mut self, key: SlotKey, context: &mut BackendContext) {
        let unsent = self.connections.get_mut(key).map(|conn| std::mem::take(&mut conn.unsent));
        for queued in unsent.into_iter().flatten() {
            self.placements.remove(&queued.attempt);
            let ended = FinishedAttempt::bare(queued.attempt, Outcome::Overloaded);
            context.events.push(DispatcherEvent::AttemptEnded(ended));
        }
    }

    /// Writes buffered output until the socket blocks. The next unsent attempt is buffered only once the output buffer
    /// is empty, so that an attempt can still be withdrawn as unsent when its engine starts draining.
    pub(super) fn flush(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.connections.get_mut(key).filter(|conn| conn.connected) else { return };
        loop {
            if conn.socket.flush().is_err() {
                return self.close(key, Outcome::Reset, context);
            }
            if conn.socket.unsent_bytes() > 0 {
                return;
            }
            let Some(queued) = conn.unsent.pop_front() else { return };
            if conn.in_flight.is_empty() {
                conn.silent_since = context.now; // The probe interval starts with the first request in flight.
            }
            (conn.idle_before_request, conn.last_used) = (context.now - conn.last_used, context.now);
            conn.socket.queue_write(&queued.bytes);
            conn.last_written = Some(queued.attempt);
            let attempt =
                SentAttempt { attempt: queued.attempt, pages: Vec::new(), cost: None, report: None };
            conn.in_flight.insert(queued.name, attempt);
        }
    }
}
