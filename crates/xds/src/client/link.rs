//! The client side of one ADS stream over gRPC.

use super::session::{Got, ReceivedResource};
use crate::core::spans::millis;
use crate::core::stream::{Ask, Variant};
use crate::envoy::config::core::v3::Node;
use crate::envoy::service::discovery::v3 as ads;
use ads::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::google::rpc;
use prost::Message;
use std::collections::HashMap;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status, Streaming};

/// The type URL of the message that wraps a resource to add its TTL.
const WRAPPER: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";
/// The maximum size of a response message, in bytes.
const MESSAGE_MOST: usize = 64 << 20;

/// An open ADS stream.
pub struct Link {
    node: Option<Node>,
    requests: Requests,
    responses: Responses,
}

enum Requests {
    World(mpsc::Sender<ads::DiscoveryRequest>),
    Delta(mpsc::Sender<ads::DeltaDiscoveryRequest>),
}

enum Responses {
    World(Streaming<ads::DiscoveryResponse>),
    Delta(Streaming<ads::DeltaDiscoveryResponse>),
}

/// Connects to a control plane at an address of the form `host:port`.
pub async fn connect(address: &str) -> Result<Channel, tonic::transport::Error> {
    let timeout = std::time::Duration::from_secs(5);
    Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(timeout)
        .http2_keep_alive_interval(std::time::Duration::from_secs(10))
        .keep_alive_while_idle(true)
        .connect()
        .await
}

impl Link {
    /// Opens a stream for the node id `node` and sends the first requests, as servers may not answer the call before
    /// they receive a request.
    pub async fn open(
        channel: Channel,
        node: &str,
        variant: Variant,
        first: Vec<Ask>,
    ) -> Result<Link, Status> {
        let mut client =
            AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(MESSAGE_MOST);
        let node = Node { id: node.to_owned(), cluster: "beamgap".to_owned(), ..Default::default() };
        match variant {
            Variant::World => {
                let (sender, requests) = mpsc::channel(64);
                let mut link_node = Some(node);
                for ask in first {
                    // Sending cannot fail: the new channel has capacity for more than the initial requests.
                    let _ = sender.try_send(world(ask, link_node.take()));
                }
                let responses = client.stream_aggregated_resources(ReceiverStream::new(requests)).await?;
                let responses = Responses::World(responses.into_inner());
                Ok(Link { node: link_node, requests: Requests::World(sender), responses })
            }
            Variant::Delta => {
                let (sender, requests) = mpsc::channel(64);
                let mut link_node = Some(node);
                for ask in first {
                    // Sending cannot fail: the new channel has capacity for more than the initial requests.
                    let _ = sender.try_send(delta(ask, link_node.take()));
                }
                let responses = client.delta_aggregated_resources(ReceiverStream::new(requests)).await?;
                let responses = Responses::Delta(responses.into_inner());
                Ok(Link { node: link_node, requests: Requests::Delta(sender), responses })
            }
        }
    }

    /// Sends a request. Returns false if the stream has ended.
    pub async fn send(&mut self, ask: Ask) -> bool {
        match &self.requests {
            Requests::World(sender) => sender.send(world(ask, self.node.take())).await.is_ok(),
            Requests::Delta(sender) => sender.send(delta(ask, self.node.take())).await.is_ok(),
        }
    }

    /// Waits for the next response. Returns `None` if the server ended the stream.
    pub async fn next(&mut self) -> Result<Option<Got>, Status> {
        match &mut self.responses {
            Responses::World(responses) => responses.message().await?.map(from_world).transpose(),
            Responses::Delta(responses) => Ok(responses.message().await?.map(from_delta)),
        }
    }
}

fn error(ask: &Ask) -> Option<rpc::Status> {
    let text = ask.error.clone()?;
    Some(rpc::Status { code: Code::InvalidArgument as i32, message: text, details: Vec::new() })
}

fn world(ask: Ask, node: Option<Node>) -> ads::DiscoveryRequest {
    ads::DiscoveryRequest {
        error_detail: error(&ask),
        version_info: ask.version,
        node,
        resource_names: ask.names,
        type_url: ask.url,
        response_nonce: ask.nonce,
        ..Default::default()
    }
}

fn delta(ask: Ask, node: Option<Node>) -> ads::DeltaDiscoveryRequest {
    ads::DeltaDiscoveryRequest {
        error_detail: error(&ask),
        node,
        type_url: ask.url,
        resource_names_subscribe: ask.names,
        resource_names_unsubscribe: ask.leaves,
        initial_resource_versions: ask.held.into_iter().collect::<HashMap<_, _>>(),
        response_nonce: ask.nonce,
        ..Default::default()
    }
}

fn from_resource(r: ads::Resource) -> ReceivedResource {
    ReceivedResource {
        name: Some(r.name),
        version: r.version,
        body: r.resource.map(|any| any.value),
        ttl_ms: r.ttl.as_ref().map(millis),
    }
}

fn from_world(got: ads::DiscoveryResponse) -> Result<Got, Status> {
    let bytes = got.encoded_len();
    let mut resources = Vec::new();
    for any in got.resources {
        if any.type_url == WRAPPER {
            let wrapped = ads::Resource::decode(&any.value[..]);
            resources.push(from_resource(wrapped.map_err(|e| Status::internal(e.to_string()))?));
        } else {
            resources.push(ReceivedResource {
                name: None,
                version: String::new(),
                body: Some(any.value),
                ttl_ms: None,
            });
        }
    }
    let (url, version, nonce) = (got.type_url, got.version_info, got.nonce);
    Ok(Got { url, version, nonce, resources, removed: Vec::new(), bytes })
}

fn from_delta(got: ads::DeltaDiscoveryResponse) -> Got {
    Got {
        bytes: got.encoded_len(),
        url: got.type_url,
        version: got.system_version_info,
        nonce: got.nonce,
        resources: got.resources.into_iter().map(from_resource).collect(),
        removed: got.removed_resources,
    }
}
