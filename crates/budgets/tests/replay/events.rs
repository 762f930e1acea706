//! Random events of the recorded simulations: changes of demand, faults, changes of leaders and changes of budgets.

use super::{Simulation, MAX_DRIFT, STREAMS};
use crate::specs::draw_specs;
use beamgap_budgets::leader::BudgetLeader;
use beamgap_budgets::BudgetTimings;
use beamgap_fleet_types::MemberId;

impl Simulation {
    /// Draws one event and applies it to the simulation.
    pub(super) fn apply_random_event(&mut self) {
        let m = self.draw.below(self.members.len() as u64) as usize;
        match self.draw.below(18) {
            0 => self.elect(),
            1 => self.interrupt_leadership(),
            2 => self.members[m].alive = false,
            3 | 4 => self.restart_all(),
            5 => self.members[m].suspended_until = self.now + self.draw.waits(700.0),
            6 => self.members[m].cut_off_until = self.now + self.draw.waits(1500.0),
            7 | 8 => self.change_budgets(),
            9 => self.drain(m),
            10 => {
                self.timings = BudgetTimings::for_lease(
                    [1800.0, 2400.0][self.draw.below(2) as usize],
                    MAX_DRIFT,
                );
                self.leader.set_timings(self.timings);
            }
            11 => {
                let members = &self.members;
                let current = |id: &MemberId| {
                    members
                        .iter()
                        .any(|member| member.alive && member.id == *id)
                };
                self.agreed_members.retain(|id, _| current(id));
            }
            12 => self.members[m].connections = self.draw.below(12),
            _ => {
                for stream in 0..STREAMS.len() {
                    self.members[m].demand[stream] =
                        [0.0, 15.0, 200.0][self.draw.below(3) as usize];
                }
            }
        }
    }

    fn elect(&mut self) {
        self.leaders += 1;
        self.counts.elections += 1;
        let rate = 1.0 + MAX_DRIFT * (2.0 * self.draw.unit() - 1.0) * 0.99;
        self.leader_clock = (rate, 1e6 * self.draw.unit());
        self.leader = BudgetLeader::new(self.draw.bits(), self.timings, self.injected_bug);
        self.leader.set_leadership(self.leader_now(), true);
    }

    /// Makes the leader's process lose the leadership. With probability 2/3 the process regains the leadership at once,
    /// otherwise no process leads until the next restart of members or the next election.
    fn interrupt_leadership(&mut self) {
        let regains = self.draw.below(3) > 0;
        let now = self.leader_now();
        self.leader.set_leadership(now, false);
        self.leader.set_leadership(now, regains);
    }

    fn restart_all(&mut self) {
        for m in 0..self.members.len() {
            if !self.members[m].alive || self.members[m].draining {
                let (incarnation, clock) =
                    (self.members[m].id.incarnation + 1, self.members[m].clock);
                self.members[m] = self.new_member(m, incarnation, clock);
                self.counts.restarts += 1;
            }
        }
        self.leader.set_leadership(self.leader_now(), true);
    }

    fn change_budgets(&mut self) {
        self.counts.changes += 1;
        let specs = draw_specs(&mut self.draw);
        self.versions.push(specs);
        for m in 0..self.members.len() {
            self.members[m].activates_at = self.now + self.draw.waits(150.0);
        }
    }

    fn drain(&mut self, m: usize) {
        self.counts.drained += 1;
        self.members[m].draining = true;
        self.members[m].budgets.start_draining();
    }
}
