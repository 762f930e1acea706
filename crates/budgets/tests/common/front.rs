//! The front ends of the simulated fleet, their clocks and their messages.

use super::fleet::MAX_DRIFT;
use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_fakes::draw::Draw;
use beamgap_fleet_types::MemberId;

/// A drifting clock, whose time is `true time * rate + offset`, in milliseconds.
#[derive(Clone, Copy)]
pub struct Clock {
    pub rate: f64,
    pub offset: f64,
}

impl Clock {
    pub fn draw(draw: &mut Draw) -> Clock {
        let rate = 1.0 + MAX_DRIFT * (2.0 * draw.unit() - 1.0) * 0.99;
        let offset = 1e6 * draw.unit();
        Clock { rate, offset }
    }

    pub fn read(&self, true_time: f64) -> f64 {
        true_time * self.rate + self.offset
    }
}

pub struct OutstandingPoll {
    pub sequence: u64,
    pub sent_at: f64,
}

pub struct Front {
    pub member: BudgetMember,
    pub id: MemberId,
    pub clock: Clock,
    pub alive: bool,
    /// True time until which the process is suspended.
    pub suspended_until: f64,
    /// True time until which no request of this front end reaches the leader.
    pub cut_off_until: f64,
    /// Arriving requests per second, by budget.
    pub demand: Vec<f64>,
    pub sequence: u64,
    pub next_poll_at: f64,
    pub outstanding: Option<OutstandingPoll>,
    /// Number of requests that are queued for admission, by budget.
    pub waiting: Vec<f64>,
}

impl Front {
    pub fn is_running(&self, now: f64) -> bool {
        self.alive && self.suspended_until <= now
    }
}

/// A unit of a concurrency limit that is in use until a given true time, even if its member dies before.
pub struct UnitInUse {
    pub until: f64,
    pub member: MemberId,
}

pub enum Message {
    Request {
        front: usize,
        request: PollRequest,
    },
    Response {
        front: usize,
        incarnation: u64,
        response: PollResponse,
    },
}

pub struct Delivery {
    pub at: f64,
    pub message: Message,
}
