//! What is read from and written to a connection.

use super::*;

impl LineProtocolBackend {
    /// A socket has something to say.
    pub fn ready(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if !conn.up {
            match conn.link.connected() {
                None => return,
                Some(Err(e)) => {
                    // It was up if it was reset: that proves no failure to connect.
                    conn.up = e.kind() == ErrorKind::ConnectionReset;
                    return self.lose(key, Outcome::ConnectFailed, context);
                }
                Some(Ok(())) => {
                    trace!(target: ACCOUNT, "up: engine={} ms={:.1}", conn.engine.0, context.now - conn.since);
                    (conn.up, conn.heard) = (true, context.now);
                    conn.look_at(context.now + LOOK_MS, key, context.timers);
                }
            }
        }
        if self.read(key, context).is_err() {
            self.learn_keeps(key, context);
            if let Some(conn) = self.conns.get(key).filter(|conn| conn.load() > 0) {
                context.log.push(format!("lost: engine={} attempts={}", conn.engine.0, conn.load()));
            }
            return self.lose(key, Outcome::Reset, context);
        }
        self.flush(key, context);
    }

    pub(super) fn read(&mut self, key: SlotKey, context: &mut BackendContext) -> Result<(), Lost> {
        loop {
            let Some(conn) = self.conns.get_mut(key) else { return Ok(()) };
            let before = conn.link.input.len();
            let end = conn.link.read(BODY_MOST + 2 * LINE_MOST);
            if conn.link.input.len() > before {
                (conn.heard, conn.used, conn.quiet, conn.asked) = (context.now, context.now, 0.0, None);
                let engine = self.roster.get_mut(&conn.engine);
                engine.into_iter().for_each(|engine| engine.heard = context.now);
            }
            let input = std::mem::take(&mut conn.link.input);
            let mut used = 0;
            let mut result = Ok(());
            while result.is_ok() {
                match line(&input[used..]) {
                    Ok(None) => break,
                    Ok(Some((bytes, line))) => {
                        used += bytes;
                        result = self.line(key, line, context);
                    }
                    Err(lost) => result = Err(lost),
                }
            }
            let Some(conn) = self.conns.get_mut(key) else { return Ok(()) };
            conn.link.input = input;
            conn.link.used(used);
            result?;
            match end {
                Ok(ReadEnd::Open) if conn.link.has_more() => {}
                Ok(ReadEnd::Open) => return Ok(()),
                Ok(ReadEnd::Closed) | Err(_) => return Err(Lost),
            }
        }
    }

    pub(super) fn line(
        &mut self,
        key: SlotKey,
        line: Line<'_>,
        context: &mut BackendContext,
    ) -> Result<(), Lost> {
        let Some(conn) = self.conns.get_mut(key) else { return Ok(()) };
        if matches!(line.word, "green" | "red") {
            // Either tells that the connection works; how the engine is, the list and the answers tell.
            // Answers come in any order, but a cancel written before `there` has been read before its answer.
            if let Some(place) = conn.called_off.iter().position(|(tag, ..)| tag == line.id) {
                let read = conn.called_off.drain(..=place).map(|(_, at, _)| at);
                context.heard.extend(read.map(|at| DispatcherEvent::Ended(FinishedAttempt::confirmed(at))));
            }
            return Ok(());
        }
        // A late line of an attempt that was given up tells nothing.
        let Some(attempt) = conn.open.get_mut(line.id) else { return Ok(()) };
        let at = attempt.at;
        let outcome = match line.word {
            "update" => {
                line.note().into_iter().for_each(|note| context.heard.push(DispatcherEvent::Noted(at, note)));
                return Ok(());
            }
            "served" if attempt.pages.is_empty() => {
                let pages = line.count("pages", PAGES_MOST)?;
                attempt.pages = vec![None; pages];
                attempt.pages[0] = Some(page(line.body)?);
                (attempt.cost, attempt.report) = (line.cost(), line.report());
                for page in 1..pages {
                    conn.link.put(format!("turn {} {page}\r\n", line.id).as_bytes());
                }
                Outcome::Served
            }
            "rows" => {
                // Page 0 comes with `served`; a second copy of any changes nothing.
                let place = line.count("page", PAGES_MOST)?;
                let rows = page(line.body)?;
                match attempt.pages.get_mut(place) {
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
        // Once served, it has run, whatever is said of its pages.
        let outcome = if outcome.never_ran() && !attempt.pages.is_empty() { Outcome::Error } else { outcome };
        if outcome == Outcome::Served {
            let size: usize = attempt.pages.iter().flatten().map(Vec::len).sum();
            if size > RESULT_MOST {
                return Err(Lost);
            }
            if attempt.pages.iter().any(Option::is_none) {
                return Ok(());
            }
        }
        let Some(attempt) = conn.open.remove(line.id) else { return Ok(()) };
        self.placed.remove(&at);
        let (answer, report) = match outcome {
            Outcome::Served => {
                if attempt.pages.len() > 1 {
                    conn.link.put(format!("shut {}\r\n", line.id).as_bytes());
                }
                (
                    Some(FinalResponse::Served(attempt.pages.into_iter().flatten().flatten().collect())),
                    attempt.report,
                )
            }
            _ => (None, line.report()),
        };
        context.heard.push(DispatcherEvent::Ended(FinishedAttempt {
            answer,
            cost: attempt.cost,
            report,
            ..FinishedAttempt::bare(at, outcome)
        }));
        Ok(())
    }

    /// Writes what the socket takes. The next `want` goes out only when all before it is written, so that a
    /// drain still finds it unsent.
    pub(super) fn flush(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get_mut(key).filter(|conn| conn.up) else { return };
        loop {
            if conn.link.flush().is_err() {
                return self.lose(key, Outcome::Reset, context);
            }
            if conn.link.waiting() > 0 {
                return;
            }
            let Some(want) = conn.wants.pop_front() else { return };
            if conn.open.is_empty() {
                conn.heard = context.now; // Silence counts from the first thing asked.
            }
            (conn.quiet, conn.used) = (context.now - conn.used, context.now);
            conn.link.put(&want.bytes);
            conn.writing = Some(want.at);
            let attempt = Attempt { at: want.at, pages: Vec::new(), cost: None, report: None };
            conn.open.insert(want.name, attempt);
        }
    }
}
