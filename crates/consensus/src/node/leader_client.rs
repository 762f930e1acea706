//! The client that members and operators' commands use to send requests to the leader.

use super::{RequestError, VoterRequestError};
use crate::connection::client::{Connection, TrafficCounters};
use crate::connection::{Handshake, PeerRequest, PeerResponse};
use crate::{Settings, VoterSlot};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time limit for the response of one voter, after which the client tries the next voter.
const VOTER_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before the client tries another voter, if the last voter named no leader.
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// Finds the leader and sends requests to it.
pub struct LeaderClient {
    connections: BTreeMap<VoterSlot, Connection>,
    /// The slot of the voter that was last known to be the leader.
    leader: Option<VoterSlot>,
    /// Selects, modulo the number of voters, the voter to try when the leader is unknown.
    round_robin_counter: usize,
}

impl LeaderClient {
    /// Creates a client for the voters at `addresses`. Opens no connection before the first request.
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
            // Members with different seeds start with different voters, which spreads the load.
            round_robin_counter: settings.seed as usize,
        }
    }

    /// Sends a request to the leader's state machine. Tries the voters in turn until one responds as leader.
    ///
    /// # Errors
    /// If no leader responds within `max_wait`. The error is that of the voter that was tried last.
    pub async fn request(
        &mut self,
        request: Vec<u8>,
        max_wait: Duration,
    ) -> Result<Vec<u8>, RequestError> {
        let request = PeerRequest::StateMachine(request);
        let deadline = Instant::now() + max_wait;
        let mut last_error = RequestError::NoResponse;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.connections.is_empty() {
                return Err(last_error);
            }
            let slot = match self.leader.take() {
                Some(slot) => slot,
                None => self.next_voter(),
            };
            let Some(connection) = self.connections.get_mut(&slot) else {
                continue;
            };
            last_error = match connection
                .request(&request, remaining.min(VOTER_TIMEOUT))
                .await
            {
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
                sleep(RETRY_DELAY.min(remaining)).await;
            }
        }
    }

    /// Returns the slot of the next voter in round-robin order.
    fn next_voter(&mut self) -> VoterSlot {
        self.round_robin_counter = self.round_robin_counter.wrapping_add(1);
        let index = self.round_robin_counter % self.connections.len();
        let slot = self.connections.keys().nth(index);
        slot.copied().unwrap_or_default()
    }

    /// Sends a request to the voter at a slot, whether it is the leader or not.
    ///
    /// # Errors
    /// If the client has no address for the slot, the connection fails, or there is no response within `max_wait`.
    pub async fn request_voter(
        &mut self,
        slot: VoterSlot,
        request: &PeerRequest,
        max_wait: Duration,
    ) -> Result<PeerResponse, VoterRequestError> {
        let connection = self.connections.get_mut(&slot);
        let connection = connection.ok_or(VoterRequestError::UnknownSlot(slot))?;
        Ok(connection.request(request, max_wait).await?)
    }
}
