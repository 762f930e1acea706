//! The gRPC services: aggregated discovery (ADS) in both variants, and load reporting (LRS).

use super::conn::ConnectionInfo;
use super::{Shared, StreamControl};
use crate::core::resources::Resource;
use crate::core::spans::duration;
use crate::core::stream::{Ask, Response as XdsResponse, StreamError, Variant};
use crate::envoy::service::discovery::v3 as ads;
use crate::envoy::service::load_stats::v3 as lrs;
use envoy_types::pb::google::protobuf::{Any, Duration};
use prost::Message;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::StreamExt;
use tonic::{Request, Response, Status, Streaming};

/// The type URL of the message that wraps a resource to add its TTL.
const WRAPPER: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";
/// The interval at which proxies are asked to send load reports.
const REPORTS_EVERY: Duration = Duration { seconds: 1, nanos: 0 };

/// The aggregated discovery service.
pub struct AdsService(pub Arc<Shared>);
/// The load reporting service.
pub struct LrsService(pub Arc<Shared>);

type Out<T> = ReceiverStream<Result<T, Status>>;

/// A request message of one protocol variant, convertible to the common form.
trait Asked: Send + 'static {
    /// Returns the proxy's node id (empty if absent) and the request in the common form.
    fn split(self) -> (String, Ask);
}

impl Asked for ads::DiscoveryRequest {
    fn split(self) -> (String, Ask) {
        let ask = Ask {
            url: self.type_url,
            nonce: self.response_nonce,
            error: self.error_detail.map(|e| e.message),
            names: self.resource_names,
            version: self.version_info,
            ..Ask::default()
        };
        (self.node.map(|n| n.id).unwrap_or_default(), ask)
    }
}

impl Asked for ads::DeltaDiscoveryRequest {
    fn split(self) -> (String, Ask) {
        let ask = Ask {
            url: self.type_url,
            nonce: self.response_nonce,
            error: self.error_detail.map(|e| e.message),
            names: self.resource_names_subscribe,
            leaves: self.resource_names_unsubscribe,
            held: self.initial_resource_versions.into_iter().collect(),
            ..Ask::default()
        };
        (self.node.map(|n| n.id).unwrap_or_default(), ask)
    }
}

fn wrapped(kind: &str, resource: &Resource, heartbeat: bool) -> ads::Resource {
    let body = || Any { type_url: kind.to_owned(), value: resource.body.clone() };
    ads::Resource {
        name: resource.name.to_string(),
        version: resource.version.clone(),
        resource: (!heartbeat).then(body),
        ttl: resource.ttl_ms.map(duration),
        ..Default::default()
    }
}

fn nonce(push: &XdsResponse) -> String {
    // Proxies usually do not answer heartbeats. The nonce is not a number, so that an answer cannot match another
    // response.
    if push.heartbeat {
        "heartbeat".to_owned()
    } else {
        push.nonce.to_string()
    }
}

/// Encodes a state of the world response. Resources with a TTL are wrapped in a `Resource` message (xDS protocol,
/// "TTL").
pub fn world(push: XdsResponse) -> ads::DiscoveryResponse {
    let url = push.kind.url();
    let resources = push.resources.iter().map(|r| match r.ttl_ms {
        None => Any { type_url: url.to_owned(), value: r.body.clone() },
        Some(_) => {
            Any { type_url: WRAPPER.to_owned(), value: wrapped(url, r, push.heartbeat).encode_to_vec() }
        }
    });
    ads::DiscoveryResponse {
        version_info: push.version.clone(),
        resources: resources.collect(),
        type_url: url.to_owned(),
        nonce: nonce(&push),
        ..Default::default()
    }
}

/// Encodes an incremental response.
pub fn delta(push: XdsResponse) -> ads::DeltaDiscoveryResponse {
    let url = push.kind.url();
    ads::DeltaDiscoveryResponse {
        system_version_info: push.version.clone(),
        resources: push.resources.iter().map(|r| wrapped(url, r, push.heartbeat)).collect(),
        type_url: url.to_owned(),
        nonce: nonce(&push),
        removed_resources: push.removed,
        ..Default::default()
    }
}

fn status(error: &StreamError) -> Status {
    match error {
        StreamError::Full => Status::unavailable(error.to_string()),
        StreamError::TooMany => Status::invalid_argument(error.to_string()),
        StreamError::Unanswered => Status::deadline_exceeded(error.to_string()),
    }
}

/// Serves a stream: passes requests to the control plane, and builds a response only when the output channel has
/// capacity. A slow proxy therefore has one response in transit and no queue of outdated responses.
fn serve<I: Asked, O: Send + 'static>(
    shared: Arc<Shared>,
    variant: Variant,
    request: Request<Streaming<I>>,
    message: fn(XdsResponse) -> O,
) -> Result<Response<Out<O>>, Status> {
    let info = request.extensions().get::<ConnectionInfo>().cloned();
    let peer = info.as_ref().map_or_else(String::new, |info| info.0.peer.to_string());
    let mut incoming = request.into_inner();
    let holder = shared.with(|plane, now| plane.opened(now, variant, &peer)).map_err(|e| status(&e))?;
    let wake = Arc::new(Notify::new());
    let (end, ended) = oneshot::channel();
    super::lock(&shared.controls).insert(holder, StreamControl { wake: wake.clone(), end: Some(end) });
    let (out, responses) = mpsc::channel(1);
    tokio::spawn(async move {
        let in_use = info.as_ref().map(|info| info.0.stream());
        let read = async {
            loop {
                let (node, ask) = match incoming.next().await {
                    None => return None,
                    Some(Err(status)) => return Some(status),
                    Some(Ok(asked)) => asked.split(),
                };
                if let Err(e) = shared.with(|plane, now| plane.asked(now, holder, &node, &ask)) {
                    return Some(status(&e));
                }
            }
        };
        let write = async {
            loop {
                let Ok(room) = out.reserve().await else { return };
                let push = loop {
                    if let Some(push) = super::lock(&shared.plane).next(shared.now(), holder) {
                        break push;
                    }
                    wake.notified().await;
                };
                room.send(Ok(message(push)));
            }
        };
        let (why, torn) = tokio::select! {
            why = read => (why, false),
            () = write => (None, false),
            why = ended => (why.ok().map(|e| status(&e)), true),
        };
        super::lock(&shared.controls).remove(&holder);
        shared.with(|plane, now| plane.closed(now, holder));
        if let Some(why) = why {
            // A peer that does not read cannot receive the error status, so its connection is closed.
            let told = out.try_send(Err(why)).is_ok();
            if let Some(info) = info.filter(|_| torn && !told) {
                info.0.end();
            }
        }
        drop(in_use);
    });
    Ok(Response::new(ReceiverStream::new(responses)))
}

#[tonic::async_trait]
impl ads::aggregated_discovery_service_server::AggregatedDiscoveryService for AdsService {
    type StreamAggregatedResourcesStream = Out<ads::DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = Out<ads::DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<ads::DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        serve(self.0.clone(), Variant::World, request, world)
    }

    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<ads::DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        serve(self.0.clone(), Variant::Delta, request, delta)
    }
}

/// The sum of the requests in progress in a load report over the clusters of this control plane, saturating at
/// `u64::MAX`.
fn in_progress(shared: &Shared, request: &lrs::LoadStatsRequest) -> u64 {
    let told = |name: &str| shared.with(|plane, _| plane.knows(name));
    let known = request.cluster_stats.iter().filter(|stats| told(&stats.cluster_name));
    let localities = known.flat_map(|stats| &stats.upstream_locality_stats);
    localities.fold(0, |sum: u64, locality| sum.saturating_add(locality.total_requests_in_progress))
}

#[tonic::async_trait]
impl lrs::load_reporting_service_server::LoadReportingService for LrsService {
    type StreamLoadStatsStream = Out<lrs::LoadStatsResponse>;

    async fn stream_load_stats(
        &self,
        request: Request<Streaming<lrs::LoadStatsRequest>>,
    ) -> Result<Response<Self::StreamLoadStatsStream>, Status> {
        let info = request.extensions().get::<ConnectionInfo>().cloned();
        let mut incoming = request.into_inner();
        let shared = self.0.clone();
        let (out, responses) = mpsc::channel(1);
        let wish = lrs::LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Some(REPORTS_EVERY),
            ..Default::default()
        };
        tokio::spawn(async move {
            let _in_use = info.as_ref().map(|info| info.0.stream());
            if out.send(Ok(wish)).await.is_err() {
                return;
            }
            let mut node = String::new();
            // A failed stream ends the loop; its last report expires.
            while let Some(Ok(request)) = incoming.next().await {
                if let Some(told) = request.node.as_ref().filter(|_| node.is_empty()) {
                    node = told.id.clone();
                }
                let out = in_progress(&shared, &request);
                shared.with(|plane, now| plane.reported(now, &node, out));
            }
        });
        Ok(Response::new(ReceiverStream::new(responses)))
    }
}
