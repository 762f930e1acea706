//! The services: aggregated discovery in both variants, and load reports.

use super::conn::Info;
use super::{Hub, Line};
use crate::core::resources::Resource;
use crate::core::spans::duration;
use crate::core::stream::{Ask, Response as Push, StreamError, Variant};
use crate::envoy::service::discovery::v3 as ads;
use crate::envoy::service::load_stats::v3 as lrs;
use envoy_types::pb::google::protobuf::{Any, Duration};
use prost::Message;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::StreamExt;
use tonic::{Request, Response, Status, Streaming};

const WRAPPER: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";
const REPORTS_EVERY: Duration = Duration { seconds: 1, nanos: 0 };

/// The aggregated discovery service.
pub struct Ads(pub Arc<Hub>);
/// The load reporting service.
pub struct Lrs(pub Arc<Hub>);

type Out<T> = ReceiverStream<Result<T, Status>>;

/// A message of one variant, as the plane takes it.
trait Asked: Send + 'static {
    /// The proxy's id, if told, and what is asked.
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

fn nonce(push: &Push) -> String {
    // A heartbeat is answered by nobody as a rule; an answer to it must be taken for no other response's.
    if push.heartbeat {
        "heartbeat".to_owned()
    } else {
        push.nonce.to_string()
    }
}

/// State of the world: what has a time to live is wrapped ("xDS protocol, TTL").
pub fn world(push: Push) -> ads::DiscoveryResponse {
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

/// Incremental.
pub fn delta(push: Push) -> ads::DeltaDiscoveryResponse {
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

/// Serves a stream: requests go to the plane, and whenever there is room for a response the newest is made. So a slow
/// proxy has one response on its way and none in line.
fn serve<I: Asked, O: Send + 'static>(
    hub: Arc<Hub>,
    variant: Variant,
    request: Request<Streaming<I>>,
    message: fn(Push) -> O,
) -> Result<Response<Out<O>>, Status> {
    let info = request.extensions().get::<Info>().cloned();
    let peer = info.as_ref().map_or_else(String::new, |info| info.0.peer.to_string());
    let mut incoming = request.into_inner();
    let holder = hub.with(|plane, now| plane.opened(now, variant, &peer)).map_err(|e| status(&e))?;
    let wake = Arc::new(Notify::new());
    let (end, ended) = oneshot::channel();
    super::lock(&hub.lines).insert(holder, Line { wake: wake.clone(), end: Some(end) });
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
                if let Err(e) = hub.with(|plane, now| plane.asked(now, holder, &node, &ask)) {
                    return Some(status(&e));
                }
            }
        };
        let write = async {
            loop {
                let Ok(room) = out.reserve().await else { return };
                let push = loop {
                    if let Some(push) = super::lock(&hub.plane).next(hub.now(), holder) {
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
        super::lock(&hub.lines).remove(&holder);
        hub.with(|plane, now| plane.closed(now, holder));
        if let Some(why) = why {
            // A stream that does not read takes no word: its connection goes.
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
impl ads::aggregated_discovery_service_server::AggregatedDiscoveryService for Ads {
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

/// Requests in progress by a report, over the clusters told here; what overflows stays at the most.
fn in_progress(hub: &Hub, request: &lrs::LoadStatsRequest) -> u64 {
    let told = |name: &str| hub.with(|plane, _| plane.knows(name));
    let known = request.cluster_stats.iter().filter(|stats| told(&stats.cluster_name));
    let localities = known.flat_map(|stats| &stats.upstream_locality_stats);
    localities.fold(0, |sum: u64, locality| sum.saturating_add(locality.total_requests_in_progress))
}

#[tonic::async_trait]
impl lrs::load_reporting_service_server::LoadReportingService for Lrs {
    type StreamLoadStatsStream = Out<lrs::LoadStatsResponse>;

    async fn stream_load_stats(
        &self,
        request: Request<Streaming<lrs::LoadStatsRequest>>,
    ) -> Result<Response<Self::StreamLoadStatsStream>, Status> {
        let info = request.extensions().get::<Info>().cloned();
        let mut incoming = request.into_inner();
        let hub = self.0.clone();
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
            // A stream that breaks ends here; what it told ages out.
            while let Some(Ok(request)) = incoming.next().await {
                if let Some(told) = request.node.as_ref().filter(|_| node.is_empty()) {
                    node = told.id.clone();
                }
                let out = in_progress(&hub, &request);
                hub.with(|plane, now| plane.reported(now, &node, out));
            }
        });
        Ok(Response::new(ReceiverStream::new(responses)))
    }
}
