//! What is done to a world: processes, links and disks.

use super::*;

impl World {
    /// Starts a member's process, and has links and its client lead there.
    pub fn begin(&mut self, me: usize) -> Result<(), String> {
        self.members[me].start(self.options.fleet && me < SEATS)?;
        let (front, fleet) = {
            let said = self.members[me].said();
            (said.front, said.fleet)
        };
        self.lead_to(me, fleet);
        self.clients[me].asks(front);
        Ok(())
    }

    fn lead_to(&self, me: usize, fleet: Option<std::net::SocketAddr>) {
        let to_it = self.relays.iter().filter(|((_, seat), _)| *seat == me);
        to_it.for_each(|(_, relay)| relay.leads_to(fleet));
    }

    /// Kills a member.
    pub fn kill(&mut self, me: usize) {
        self.members[me].kill();
        self.lead_to(me, None);
        self.clients[me].asks(None);
    }

    /// Cuts all links between a member and the others: what it sends out, and what comes to it.
    pub fn cut(&self, me: usize, out: Way, inward: Way) {
        for ((from, seat), relay) in &self.relays {
            // A link's answers go the other way.
            if *from == me {
                relay.set(out, inward);
            } else if *seat == me {
                relay.set(inward, out);
            }
        }
    }

    /// Cuts the links between two groups of members.
    pub fn part(&self, group: &[usize], way: Way) {
        for ((from, seat), relay) in &self.relays {
            if group.contains(from) != group.contains(seat) {
                relay.set(way, way);
            }
        }
    }

    /// All links as they should be.
    pub fn mend(&self) {
        self.relays.values().for_each(|relay| relay.set(Way::Open, Way::Open));
    }

    /// Bytes that went over all links.
    pub fn bytes(&self) -> u64 {
        self.relays.values().map(Relay::bytes).sum()
    }

    /// Does a fault, and notes it.
    pub fn fault(&mut self, fault: &Fault) -> Result<(), String> {
        self.history.note(now(), What::Fault(format!("{fault:?}")));
        match fault {
            Fault::Kill(m) => self.kill(*m),
            // Where the power came back before, it runs already.
            Fault::Start(m) if self.members[*m].runs() => {}
            Fault::Start(m) => self.begin(*m)?,
            Fault::Stop(m) => self.members[*m].stop(),
            Fault::Wake(m) => self.members[*m].wake(),
            Fault::Fill(m) => self.members[*m].fill_disk(true),
            Fault::Room(m) => self.members[*m].fill_disk(false),
            Fault::Links(m, out, inward) => self.cut(*m, *out, *inward),
            Fault::Deciders(m, way) => {
                let between = |(from, seat): &(usize, usize)| *from < SEATS && (from == m || seat == m);
                let links = self.relays.iter().filter(|(link, _)| between(link));
                links.for_each(|(_, relay)| relay.set(*way, *way));
            }
            Fault::Mend(m) => self.cut(*m, Way::Open, Way::Open),
            Fault::Unsynced(m) => self.fail_fsync(*m, true)?,
            Fault::Synced(m) => self.fail_fsync(*m, false)?,
            Fault::Outage => {
                // Killed first, all of them, and waited for only then.
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

    /// Has each fsync of a decider fail from now on, or work again.
    pub fn fail_fsync(&self, me: usize, fails: bool) -> Result<(), String> {
        let flag = self.disk(me).join(FSYNC_FAILS);
        if fails {
            return std::fs::write(flag, "").map_err(|e| e.to_string());
        }
        let _ = std::fs::remove_file(flag); // It may not be there.
        Ok(())
    }

    /// Plays a plan against the clock.
    pub fn play(&mut self, steps: &[Step]) -> Result<(), String> {
        let start = Instant::now();
        for step in steps {
            std::thread::sleep(Duration::from_millis(step.at).saturating_sub(start.elapsed()));
            self.fault(&step.fault)?;
        }
        Ok(())
    }
}
