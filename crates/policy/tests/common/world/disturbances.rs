//! Operator commands and failures in the recorded simulation.

use super::{World, MEMBERS};
use crate::common::encoding::Encoding;
use beamgap_fleet_types::MemberId;
use beamgap_policy::document::MAX_TEXT_LENGTH;
use beamgap_policy::rollout::{ChangeRequest, Command, PolicyMember, ValidationError};

impl World {
    /// Submits random operator commands, both valid and invalid, and random commands of an outdated leader.
    pub(super) fn submit_operator_commands(&mut self) {
        if self.steps == 3 || self.random.one_in(500) {
            let timings = self.timings();
            self.state.apply(&Command::Bootstrap(timings));
        }
        let interval = if self.few_failures { 8 } else { 45 };
        if self.random.one_in(interval) {
            let change = self.random_change();
            self.uncommitted.push(Command::Propose(change));
        }
        if self.random.one_in(600) {
            for _ in 0..40 {
                let change = self.random_change();
                self.uncommitted.push(Command::Propose(change));
            }
        }
        if self.few_failures && !self.random.one_in(10) {
            return;
        }
        let id = format!("c{}", self.proposed.saturating_sub(self.random.below(2)));
        if self.random.one_in(60) {
            self.uncommitted.push(Command::Withdraw { id });
        } else if self.random.one_in(300) {
            self.uncommitted.push(Command::Activate { id });
        } else if self.random.one_in(300) {
            self.uncommitted.push(Command::Commit { id });
        } else if self.random.one_in(300) {
            let error = |n: usize| ValidationError {
                member: format!("m{n}"),
                message: format!("fault {n}"),
            };
            self.uncommitted.push(Command::Reject {
                id,
                errors: (0..60).map(error).collect(),
            });
        }
    }

    /// Creates a change request, which may have a duplicate or invalid id, an oversized text or a wrong base version.
    fn random_change(&mut self) -> ChangeRequest {
        self.proposed += 1;
        if self.few_failures && !self.random.one_in(6) {
            let policy_text = Some(format!("form = 1 # {}\n", self.proposed));
            let id = format!("c{}", self.proposed);
            return ChangeRequest {
                id,
                requested_by: "operator".to_owned(),
                policy_text,
                base_version: None,
            };
        }
        let id = match self.random.below(12) {
            0 => format!("c{}", self.proposed.saturating_sub(3)),
            1 => "no good id".to_owned(),
            _ => format!("c{}", self.proposed),
        };
        let requested_by = if self.random.one_in(10) {
            "o".repeat(100)
        } else {
            "operator".to_owned()
        };
        let policy_text = match self.random.below(10) {
            0 | 1 => None,
            2 => Some("#".repeat(MAX_TEXT_LENGTH + 1)),
            _ => Some(format!("form = 1 # {}\n", self.proposed)),
        };
        let base_version = match self.random.below(6) {
            0 => None,
            1 => Some(self.state.version() + 1),
            _ => Some(self.state.version()),
        };
        ChangeRequest {
            id,
            requested_by,
            policy_text,
            base_version,
        }
    }

    /// Injects random failures: leader changes, and restarts, silences, removals and early polls of members.
    pub(super) fn inject_failures(&mut self) {
        if self.steps == 1
            || self
                .random
                .one_in(if self.few_failures { 1500 } else { 250 })
        {
            self.leader
                .set_leadership(self.now, !self.leader.is_leader());
            self.uncommitted.clear();
            self.counts.leaderships += usize::from(self.leader.is_leader());
        } else if !self.leader.is_leader() && self.random.one_in(15) {
            self.leader.set_leadership(self.now, true);
            self.counts.leaderships += 1;
        }
        if self.few_failures {
            return;
        }
        let m = self.random.below(MEMBERS);
        if self.random.one_in(300) {
            let member = &mut self.members[m];
            member.incarnation += 1;
            member.machine = PolicyMember::new(
                MemberId::new(format!("m{m}"), member.incarnation),
                1,
                self.injected_bug,
            );
            member.responses.clear();
            member.pending_actions.clear();
            self.counts.restarts += 1;
        }
        if self.random.one_in(200) {
            self.members[m].silent_until = self.now + self.random.below(6000) as f64;
        }
        if self.random.one_in(900) {
            self.members[m].silent_until = self.now + 20_000.0;
        }
        if self.random.one_in(700) {
            let member = MemberId::new(format!("m{m}"), self.members[m].incarnation);
            self.uncommitted.push(Command::Leave { member });
        }
        if self.random.one_in(60) {
            let local_now = self.now * self.members[m].clock_rate;
            self.members[m].machine.poll_no_later_than(local_now);
        }
    }

    /// At step 2450, applies more joins than a fleet accepts, and then removes the members that were accepted.
    pub(super) fn exceed_member_limit(&mut self, out: &mut Encoding) {
        if self.steps == 2450 {
            for n in 0..1010 {
                self.state.apply(&Command::Join {
                    member: MemberId::new(format!("s{n}"), n),
                    format_version: 1,
                });
            }
            out.put(0x41, &self.state);
            for n in 0..1005 {
                self.state.apply(&Command::Leave {
                    member: MemberId::new(format!("s{n}"), n),
                });
            }
        }
    }
}
