//! Commands sent to a MySQL server: schema selection, prepare, execute and kill.

use super::*;

impl Connection {
    /// Whether a statement with this default schema can run here. A connection that has a schema can change it, but not
    /// unset it: `COM_RESET_CONNECTION` keeps it, and `COM_CHANGE_USER` is a second login.
    pub(super) fn can_take_schema(&self, schema: Option<&str>) -> bool {
        schema.is_some() || self.schema.is_none()
    }

    pub(super) fn command(&mut self, command: Command, body: &[u8]) {
        let mut out = Vec::new();
        mysql_packets::append_packet(&mut out, 0, &[&[command as u8], body].concat());
        self.socket.queue_write(&out);
    }

    /// Sends the next command: a pending kill first, else the next step of the job.
    pub(super) fn advance(&mut self, now: f64) {
        self.last_used = now;
        self.phase = Phase::Idle;
        if let Some(kill) = self.kill {
            return self.advance_kill(kill);
        }
        let Some(job) = &mut self.job else { return };
        let payload = job.payload.clone();
        if let Some(schema) = payload.schema.as_ref().filter(|schema| self.schema.as_ref() != Some(schema)) {
            self.phase = Phase::Schema;
            return self.command(Command::COM_INIT_DB, schema.as_bytes());
        }
        let Some(bound) = &payload.bound else {
            job.sent = true;
            self.phase = Phase::Running(ResponseState::default());
            return self.command(Command::COM_QUERY, &payload.statement);
        };
        match self.prepared.get(&statement_key(&payload)).copied() {
            Some(id) => self.execute(id, bound),
            None => {
                self.phase = Phase::Preparing(None);
                self.command(Command::COM_STMT_PREPARE, &payload.statement);
            }
        }
    }

    /// Records the statement just prepared, and closes the oldest one if the connection has too many.
    pub(super) fn record_prepared(&mut self) {
        let Phase::Preparing(Some((id, _))) = self.phase else { return };
        let Some(job) = &self.job else { return };
        let statement = statement_key(&job.payload);
        self.prepared.insert(statement.clone(), id);
        self.prepare_order.push(statement);
        if self.prepare_order.len() > MAX_PREPARED {
            let oldest = self.prepare_order.remove(0);
            if let Some(id) = self.prepared.remove(&oldest) {
                self.command(Command::COM_STMT_CLOSE, &id.to_le_bytes());
            }
        }
    }

    /// Executes the statement once all definition packets of the prepare reply have arrived.
    pub(super) fn execute_if_prepared(&mut self, now: f64) {
        if matches!(self.phase, Phase::Preparing(Some((_, 0)))) {
            self.advance(now);
        }
    }

    pub(super) fn execute(&mut self, id: u32, bound: &BoundParameters) {
        if let Some(job) = &mut self.job {
            job.sent = true;
        }
        for (index, value) in &bound.long {
            let body = [&id.to_le_bytes()[..], &index.to_le_bytes(), value].concat();
            self.command(Command::COM_STMT_SEND_LONG_DATA, &body);
        }
        let mut body = id.to_le_bytes().to_vec();
        body.extend([0, 1, 0, 0, 0]);
        if bound.count > 0 {
            body.extend_from_slice(&bound.nulls);
            body.push(1); // Always sends the parameter types: this server may not have received them before.
            body.extend_from_slice(&bound.types);
            body.extend_from_slice(&bound.values);
        }
        self.phase = Phase::Running(ResponseState::default());
        self.command(Command::COM_STMT_EXECUTE, &body);
    }
}
