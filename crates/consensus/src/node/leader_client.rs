//! Requests to whichever voter leads: by a member, and by an operator's command.

use super::{RequestError, VoterRequestError};
use crate::connection::client::{Connection, TrafficCounters};
use crate::connection::{Handshake, PeerRequest, PeerResponse};
use crate::{Settings, VoterSlot};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time for one voter to respond.
const VOTER_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before the next voter is tried.
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// Finds the leader and sends requests to it.
pub struct LeaderClient {
    connections: BTreeMap<VoterSlot, Connection>,
    leader: Option<VoterSlot>,
    /// Index of the voter that was tried last.
    last_tried: usize,
}

impl LeaderClient {
    /// A client of the voters at these addresses.
    pub fn new(
        settings: &Settings,
        addresses: &BTreeMap<VoterSlot, SocketAddr>,
        traffic: Arc<TrafficCounters>,
    ) -> LeaderClient {
        let handshake = Handshake::new(&settings.fleet, &settings.member);
        let connections = addresses.iter().map(|(slot, address)| {
            let connection = Connection::new(*address, handshake.clone(), traffic.clone());
            (*slot, connection)
        });
        LeaderClient {
            connections: connections.collect(),
            leader: None,
            // Members begin with different voters.
            last_tried: settings.seed as usize,
        }
    }

    /// Sends a request to the leader's state machine. Tries the voters in turn until one responds as leader.
    ///
    /// # Errors
    /// If no leader responds within `deadline`: what the last voter said.
    pub async fn request(
        &mut self,
        request: Vec<u8>,
        deadline: Duration,
    ) -> Result<Vec<u8>, RequestError> {
        let request = PeerRequest::StateMachine(request);
        let until = Instant::now() + deadline;
        let mut last_error = RequestError::NoResponse;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.connections.is_empty() {
                return Err(last_error);
            }
            let slot = match self.leader.take() {
                Some(slot) => slot,
                None => self.next_voter(),
            };
            let Some(connection) = self.connections.get_mut(&slot) else {
                continue;
            };
            last_error = match connection.request(&request, left.min(VOTER_TIMEOUT)).await {
                Ok(PeerResponse::StateMachine(response)) => {
                    self.leader = Some(slot);
                    return Ok(response);
                }
                Ok(PeerResponse::NotLeader(other)) => {
                    self.leader = other.filter(|other| *other != slot);
                    RequestError::NoLeader
                }
                Ok(PeerResponse::Rejected(reason)) => RequestError::Rejected { slot, reason },
                Ok(_) => RequestError::UnexpectedResponse(slot),
                Err(source) => RequestError::Connection { slot, source },
            };
            if self.leader.is_none() {
                sleep(RETRY_DELAY.min(left)).await;
            }
        }
    }

    fn next_voter(&mut self) -> VoterSlot {
        self.last_tried = self.last_tried.wrapping_add(1);
        let index = self.last_tried % self.connections.len();
        let slot = self.connections.keys().nth(index);
        slot.copied().unwrap_or_default()
    }

    /// Sends a request to the voter at a slot.
    ///
    /// # Errors
    /// If the settings have no such voter, or it does not respond within `deadline`.
    pub async fn request_voter(
        &mut self,
        slot: VoterSlot,
        request: &PeerRequest,
        deadline: Duration,
    ) -> Result<PeerResponse, VoterRequestError> {
        let connection = self.connections.get_mut(&slot);
        let connection = connection.ok_or(VoterRequestError::UnknownSlot(slot))?;
        Ok(connection.request(request, deadline).await?)
    }
}
