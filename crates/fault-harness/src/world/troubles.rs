//! Injects faults into the processes, links and disks of a fleet.

use super::*;

impl World {
    /// Starts a member's process and points its relays and its client to the new addresses.
    pub fn begin(&mut self, me: usize) -> Result<(), String> {
        self.members[me].start(self.options.fleet && me < SEATS)?;
        let (front, fleet) = {
            let said = self.members[me].said();
            (said.front, said.fleet)
        };
        self.set_relay_targets(me, fleet);
        self.clients[me].asks(front);
        Ok(())
    }

    /// Sets the target of all relays that lead to a member; `None` makes these relays close their connections.
    fn set_relay_targets(&self, me: usize, fleet: Option<std::net::SocketAddr>) {
        let inbound = self.relays.iter().filter(|((_, seat), _)| *seat == me);
        inbound.for_each(|(_, relay)| relay.leads_to(fleet));
    }

    /// Kills a member with SIGKILL; relays to the member close their connections and its client disconnects.
    pub fn kill(&mut self, me: usize) {
        self.members[me].kill();
        self.set_relay_targets(me, None);
        self.clients[me].asks(None);
    }

    /// Sets the state of all links of a member: `out` for the bytes that the member sends, `inward` for those sent to it.
    pub fn cut(&self, me: usize, out: Way, inward: Way) {
        for ((from, seat), relay) in &self.relays {
            // On a link that another member opened, the bytes towards this member flow in the relay's forward direction.
            if *from == me {
                relay.set(out, inward);
            } else if *seat == me {
                relay.set(inward, out);
            }
        }
    }

    /// Simulates a network partition: sets the state of all links between the given group and the remaining members.
    pub fn part(&self, group: &[usize], way: Way) {
        for ((from, seat), relay) in &self.relays {
            if group.contains(from) != group.contains(seat) {
                relay.set(way, way);
            }
        }
    }

    /// Restores all links to normal operation.
    pub fn mend(&self) {
        self.relays.values().for_each(|relay| relay.set(Way::Open, Way::Open));
    }

    /// Number of bytes that the relays of all links have forwarded.
    pub fn bytes(&self) -> u64 {
        self.relays.values().map(Relay::bytes).sum()
    }

    /// Injects a fault and records it in the history.
    pub fn fault(&mut self, fault: &Fault) -> Result<(), String> {
        self.history.note(now(), What::Fault(format!("{fault:?}")));
        match fault {
            Fault::Kill(m) => self.kill(*m),
            // `Fault::Power` may have restarted the member before.
            Fault::Start(m) if self.members[*m].runs() => {}
            Fault::Start(m) => self.begin(*m)?,
            Fault::Stop(m) => self.members[*m].stop(),
            Fault::Wake(m) => self.members[*m].wake(),
            Fault::Fill(m) => self.members[*m].fill_disk(true),
            Fault::Room(m) => self.members[*m].fill_disk(false),
            Fault::Links(m, out, inward) => self.cut(*m, *out, *inward),
            Fault::Deciders(m, way) => {
                let is_between_voters =
                    |(from, seat): &(usize, usize)| *from < SEATS && (from == m || seat == m);
                let links = self.relays.iter().filter(|(link, _)| is_between_voters(link));
                links.for_each(|(_, relay)| relay.set(*way, *way));
            }
            Fault::Mend(m) => self.cut(*m, Way::Open, Way::Open),
            Fault::Unsynced(m) => self.fail_fsync(*m, true)?,
            Fault::Synced(m) => self.fail_fsync(*m, false)?,
            Fault::Outage => {
                // Signals all members before waiting for any, so that they die at nearly the same moment.
                self.members.iter().for_each(Process::end);
                (0..self.members.len()).for_each(|me| self.kill(me));
            }
            Fault::Power => {
                for me in 0..self.members.len() {
                    if !self.members[me].runs() {
                        self.begin(me)?;
                    }
                }
            }
            Fault::Propose(number) => {
                let file = self.policy(*number);
                let file = file.to_string_lossy();
                self.change_later(&["policy", "propose", &file, "--json", "--wait", "20"]);
            }
            Fault::LeaderDies => {
                if let Some(leader) = self.leader() {
                    self.kill(leader);
                }
            }
            Fault::Demand(m, every, whose) => {
                self.clients[*m].wants(Duration::from_millis(*every), *whose);
            }
            Fault::Rollback => self.change_later(&["policy", "rollback", "--json", "--wait", "20"]),
        }
        Ok(())
    }

    /// Makes every fsync of a voter fail, or ends the failures if `fails` is false.
    pub fn fail_fsync(&self, me: usize, fails: bool) -> Result<(), String> {
        let flag = self.disk(me).join(FSYNC_FAILS);
        if fails {
            return std::fs::write(flag, "").map_err(|e| e.to_string());
        }
        let _ = std::fs::remove_file(flag); // The flag file may not exist.
        Ok(())
    }

    /// Injects the faults of a plan at their times, counted in milliseconds from this call.
    pub fn play(&mut self, steps: &[Step]) -> Result<(), String> {
        let start = Instant::now();
        for step in steps {
            std::thread::sleep(Duration::from_millis(step.at).saturating_sub(start.elapsed()));
            self.fault(&step.fault)?;
        }
        Ok(())
    }
}
