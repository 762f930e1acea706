//! What is said to a box on a connection: the commands that lead to an execution.

use super::*;

impl Conn {
    pub(super) fn command(&mut self, command: Command, body: &[u8]) {
        let mut out = Vec::new();
        mysql_packets::push(&mut out, 0, &[&[command as u8], body].concat());
        self.link.put(&out);
    }

    /// Goes on to the next thing that there is to do: a kill first, then what the job needs.
    pub(super) fn advance(&mut self, now: f64) {
        self.used = now;
        self.phase = Phase::Idle;
        if let Some(number) = self.kill {
            self.command(Command::COM_QUERY, format!("KILL QUERY {number}").as_bytes());
            self.phase = Phase::Killing;
            return;
        }
        let Some(job) = &mut self.job else { return };
        let payload = job.payload.clone();
        if let Some(schema) = payload.schema.as_ref().filter(|schema| self.schema.as_ref() != Some(schema)) {
            self.phase = Phase::Schema;
            return self.command(Command::COM_INIT_DB, schema.as_bytes());
        }
        let Some(bound) = &payload.bound else {
            job.sent = true;
            self.phase = Phase::Running(Course::default());
            return self.command(Command::COM_QUERY, &payload.statement);
        };
        match self.prepared.get(&text_of(&payload)).copied() {
            Some(id) => self.execute(id, bound),
            None => {
                self.phase = Phase::Preparing(None);
                self.command(Command::COM_STMT_PREPARE, &payload.statement);
            }
        }
    }

    /// Notes what was just prepared, and lets the oldest go where there are too many.
    pub(super) fn keep_prepared(&mut self) {
        let Phase::Preparing(Some((id, _))) = self.phase else { return };
        let Some(job) = &self.job else { return };
        let text = text_of(&job.payload);
        self.prepared.insert(text.clone(), id);
        self.order.push(text);
        if self.order.len() > PREPARED_MOST {
            let oldest = self.order.remove(0);
            if let Some(id) = self.prepared.remove(&oldest) {
                self.command(Command::COM_STMT_CLOSE, &id.to_le_bytes());
            }
        }
    }

    /// Executes when the last definition has come.
    pub(super) fn advance_prepared(&mut self, now: f64) {
        if matches!(self.phase, Phase::Preparing(Some((_, 0)))) {
            self.advance(now);
        }
    }

    pub(super) fn execute(&mut self, id: u32, bound: &Bound) {
        if let Some(job) = &mut self.job {
            job.sent = true;
        }
        for (place, value) in &bound.long {
            let body = [&id.to_le_bytes()[..], &place.to_le_bytes(), value].concat();
            self.command(Command::COM_STMT_SEND_LONG_DATA, &body);
        }
        let mut body = id.to_le_bytes().to_vec();
        body.extend([0, 1, 0, 0, 0]);
        if bound.count > 0 {
            body.extend_from_slice(&bound.nulls);
            body.push(1); // The types always go along: this box may not have seen them.
            body.extend_from_slice(&bound.types);
            body.extend_from_slice(&bound.values);
        }
        self.phase = Phase::Running(Course::default());
        self.command(Command::COM_STMT_EXECUTE, &body);
    }
}
