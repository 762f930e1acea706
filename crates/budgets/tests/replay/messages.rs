//! Simulated network between the members and the leader, which delays, loses and duplicates messages.

use super::{Message, Simulation};
use crate::recorder::TAG_RESPONSE;
use beamgap_budgets::leader::AgreedState;
use beamgap_budgets::message::{PollRequest, PollResponse};

impl Simulation {
    /// Delivers all messages whose delay is over. Responses to a suspended member are postponed until it resumes.
    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        for (_, message) in due {
            match message {
                Message::Request(m, request) => self.deliver_request(m, &request),
                Message::Response(m, incarnation, response) => {
                    self.deliver_response(m, incarnation, response);
                }
            }
        }
    }

    fn deliver_request(&mut self, m: usize, request: &PollRequest) {
        let leader_now = self.leader_now();
        let agreed = AgreedState {
            version: self.versions.len() as u64,
            specs: &self.versions[self.versions.len() - 1],
            members: &self.agreed_members,
        };
        let response = self.leader.handle_poll(leader_now, &agreed, request);
        self.counts.polls += 1;
        if response.renewed {
            self.counts.renewed += 1;
        } else {
            self.counts.not_renewed += 1;
        }
        self.recorder.tag(TAG_RESPONSE);
        self.recorder.encoded(&response);
        self.send(Message::Response(
            m,
            request.member.incarnation,
            response.clone(),
        ));
        if self.draw.unit() < 0.03 {
            self.send(Message::Response(m, request.member.incarnation, response));
        }
    }

    fn deliver_response(&mut self, m: usize, incarnation: u64, response: PollResponse) {
        let local = self.local_time(m);
        let member = &mut self.members[m];
        if !member.alive || member.id.incarnation != incarnation {
            return;
        }
        if member.suspended_until > self.now {
            self.in_flight.push((
                member.suspended_until,
                Message::Response(m, incarnation, response),
            ));
            return;
        }
        if member
            .outstanding
            .is_some_and(|(sequence, _)| sequence == response.sequence)
        {
            member.outstanding = None;
            member.next_poll = self.now + self.timings.floor_ms / 6.0;
        }
        member.budgets.handle_response(local, response);
    }

    pub(super) fn send(&mut self, message: Message) {
        if self.draw.unit() < self.loss {
            self.counts.lost += 1;
            return;
        }
        let at = self.now + self.draw.unit() * 30.0;
        self.in_flight.push((at, message));
    }
}
