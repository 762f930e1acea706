//! Client login and password verification.

use super::*;

impl MysqlFront {
    /// Handles a client packet. Returns `false` if the session must be closed.
    pub(super) fn handle_packet(
        &mut self,
        key: SlotKey,
        sequence: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> bool {
        match self.sessions.get(key).map(|session| session.phase) {
            Some(Phase::Greeted) => self.handle_login(key, sequence, body),
            Some(Phase::AuthSwitched) => self.verify_password(key, sequence, body),
            Some(_) => self.handle_command(key, sequence, body, context),
            None => false,
        }
    }

    pub(super) fn handle_login(&mut self, key: SlotKey, sequence: u8, body: &[u8]) -> bool {
        let Some(session) = self.sessions.get_mut(key) else { return false };
        let Ok(response) = ParseBuf(body).parse::<HandshakeResponse>(()) else {
            session.send_error(sequence, MALFORMED);
            return false;
        };
        if !response.capabilities().contains(CapabilityFlags::CLIENT_PROTOCOL_41)
            || response.capabilities().contains(CapabilityFlags::CLIENT_SSL)
        {
            session.send_error(sequence, MALFORMED);
            return false;
        }
        session.user = response.user().to_vec();
        let schema = response.db_name().map(|name| String::from_utf8_lossy(name).into_owned());
        session.schema = schema.filter(|name| !name.is_empty());
        if session.schema.as_deref().is_some_and(session::is_name_too_long) {
            session.send_error(sequence, NAME_TOO_LONG);
            return false;
        }
        let other = response.auth_plugin().is_some_and(|plugin| plugin.as_bytes() != PLUGIN);
        if other {
            let body = [&[0xfe], PLUGIN, &[0], &session.nonce, &[0]].concat();
            session.reply(sequence, &body);
            session.phase = Phase::AuthSwitched;
            return true;
        }
        let scramble = response.scramble_buf().to_vec();
        self.verify_password(key, sequence, &scramble)
    }

    pub(super) fn verify_password(&mut self, key: SlotKey, sequence: u8, scramble: &[u8]) -> bool {
        let Some(session) = self.sessions.get_mut(key) else { return false };
        let account = self.settings.accounts.iter().find(|account| account.user.as_bytes() == session.user);
        let good = account.filter(|account| {
            let expected = scramble_native(&session.nonce, account.password.as_bytes());
            let expected = expected.map(|e| e.to_vec()).unwrap_or_default();
            // Compares all bytes, so that the response time does not reveal a partial match.
            let differ = expected.iter().zip(scramble).fold(0, |sum, (a, b)| sum | (a ^ b));
            expected.len() == scramble.len() && differ == 0
        });
        match good {
            Some(account) => {
                (session.tenant, session.phase) = (account.tenant.clone(), Phase::Ready);
                session.reply(sequence, &mysql_packets::ok());
                true
            }
            None => {
                session.send_error(sequence, ACCESS_DENIED);
                false
            }
        }
    }
}
