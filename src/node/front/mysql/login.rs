//! Who a client is: the login and its scramble.

use super::*;

impl MysqlFront {
    /// Takes a packet; `false` if the session is to end.
    pub(super) fn packet(
        &mut self,
        key: SlotKey,
        number: u8,
        body: &[u8],
        context: &mut BackendContext,
    ) -> bool {
        match self.sessions.get(key).map(|session| session.phase) {
            Some(Phase::Greeted) => self.login(key, number, body),
            Some(Phase::Switched) => self.check(key, number, body),
            Some(_) => self.command(key, number, body, context),
            None => false,
        }
    }

    pub(super) fn login(&mut self, key: SlotKey, number: u8, body: &[u8]) -> bool {
        let Some(session) = self.sessions.get_mut(key) else { return false };
        let Ok(response) = ParseBuf(body).parse::<HandshakeResponse>(()) else {
            session.wrong(number, MALFORMED);
            return false;
        };
        if !response.capabilities().contains(CapabilityFlags::CLIENT_PROTOCOL_41)
            || response.capabilities().contains(CapabilityFlags::CLIENT_SSL)
        {
            session.wrong(number, MALFORMED);
            return false;
        }
        session.user = response.user().to_vec();
        let schema = response.db_name().map(|name| String::from_utf8_lossy(name).into_owned());
        session.schema = schema.filter(|name| !name.is_empty());
        let other = response.auth_plugin().is_some_and(|plugin| plugin.as_bytes() != PLUGIN);
        if other {
            let body = [&[0xfe], PLUGIN, &[0], &session.nonce, &[0]].concat();
            session.reply(number, &body);
            session.phase = Phase::Switched;
            return true;
        }
        let scramble = response.scramble_buf().to_vec();
        self.check(key, number, &scramble)
    }

    pub(super) fn check(&mut self, key: SlotKey, number: u8, scramble: &[u8]) -> bool {
        let Some(session) = self.sessions.get_mut(key) else { return false };
        let account = self.settings.accounts.iter().find(|account| account.user.as_bytes() == session.user);
        let good = account.filter(|account| {
            let expected = scramble_native(&session.nonce, account.password.as_bytes());
            let expected = expected.map(|e| e.to_vec()).unwrap_or_default();
            // All bytes are compared, so that the time taken tells nothing.
            let differ = expected.iter().zip(scramble).fold(0, |sum, (a, b)| sum | (a ^ b));
            expected.len() == scramble.len() && differ == 0
        });
        match good {
            Some(account) => {
                (session.tenant, session.phase) = (account.tenant.clone(), Phase::Ready);
                session.reply(number, &mysql_packets::ok());
                true
            }
            None => {
                session.wrong(number, DENIED);
                false
            }
        }
    }
}
