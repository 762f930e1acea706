//! Tests of the server over loopback sockets: its limits, and its handling of clients that send oversized requests, do
//! not read, or do not answer.

mod common;

use beamgap_xds::client::link::{connect, Link};
use beamgap_xds::core::picture::{Picture, Terms};
use beamgap_xds::core::resources::Kind;
use beamgap_xds::core::stream::Variant;
use beamgap_xds::transport::{start, Handle, Service};
use common::*;
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;
use tonic::Code;

fn service(change: impl FnOnce(&mut Service)) -> Handle {
    let terms = Terms { ack_ms: 400.0, streams_most: 3, ..terms() };
    let mut service = Service::new("127.0.0.1:0".parse().unwrap(), terms);
    change(&mut service);
    let handle = start(service, Arc::new(|_| {})).unwrap();
    handle.publish(picture(&[engine("s-1", 1, 1.0)]));
    handle
}

fn on_runtime(work: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(work);
}

/// Waits until the status report, which is updated every second, contains `what`.
async fn until(handle: &Handle, what: &str) {
    for _ in 0..400 {
        if handle.status().contains(what) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("the status report never contains {what}: {}", handle.status());
}

fn asks() -> Vec<beamgap_xds::core::stream::Ask> {
    vec![first(Kind::Cds, &[]), first(Kind::Eds, &["boxes"])]
}

#[test]
fn one_stream_more_than_may_be_is_unavailable_and_room_comes_back() {
    on_runtime(async {
        let handle = service(|s| s.terms.ack_ms = 60_000.0);
        let channel = connect(&handle.address.to_string()).await.unwrap();
        let mut open = Vec::new();
        for i in 0..3 {
            open.push(Link::open(channel.clone(), &format!("p{i}"), Variant::World, asks()).await.unwrap());
        }
        let error = Link::open(channel.clone(), "p3", Variant::Delta, asks()).await.err().unwrap();
        assert_eq!(error.code(), Code::Unavailable);
        open.pop();
        until(&handle, r#""streams":2"#).await;
        let mut link = Link::open(channel, "p3", Variant::Delta, asks()).await.unwrap();
        assert!(link.next().await.unwrap().is_some());
    });
}

#[test]
fn a_stream_that_reads_nothing_is_ended_and_holds_nothing_back() {
    on_runtime(async {
        // The timeout exceeds the one-second interval of the status report, so the report shows the stream before its
        // end.
        let handle = service(|s| s.terms.ack_ms = 2_500.0);
        // Large endpoint lists fill the flow control windows, so that no further response can be sent to the client.
        let engines: Vec<_> = (0..3_000).map(|i| engine(&format!("s-{i:05}"), 1 + i, 1.0)).collect();
        handle.publish(picture(&engines));
        let still = connect(&handle.address.to_string()).await.unwrap();
        let _link = Link::open(still, "still", Variant::World, asks()).await.unwrap();
        until(&handle, r#""node":"still""#).await;
        let well = connect(&handle.address.to_string()).await.unwrap();
        let mut link = Link::open(well, "well", Variant::World, asks()).await.unwrap();
        assert_eq!(link.next().await.unwrap().unwrap().url, Kind::Cds.url());
        assert_eq!(link.next().await.unwrap().unwrap().url, Kind::Eds.url());
        drop(link);
        until(&handle, r#""streams":0"#).await;
    });
}

#[test]
fn a_stream_that_answers_nothing_is_told_why_it_ends() {
    on_runtime(async {
        let handle = service(|_| {});
        let channel = connect(&handle.address.to_string()).await.unwrap();
        let mut link = Link::open(channel, "p", Variant::Delta, asks()).await.unwrap();
        let why = loop {
            match link.next().await {
                Ok(Some(_)) => {}
                Ok(None) => panic!("the stream ended without an error status"),
                Err(why) => break why,
            }
        };
        assert_eq!(why.code(), Code::DeadlineExceeded, "{why}");
    });
}

#[test]
fn a_message_over_the_bound_ends_its_stream_alone() {
    on_runtime(async {
        let handle = service(|s| s.message_most = 64 * 1024);
        let channel = connect(&handle.address.to_string()).await.unwrap();
        let mut well = Link::open(channel.clone(), "well", Variant::World, asks()).await.unwrap();
        let many: Vec<String> = (0..9_000).map(|i| format!("name-{i}")).collect();
        let many: Vec<&str> = many.iter().map(String::as_str).collect();
        let mut rude =
            Link::open(channel, "rude", Variant::World, vec![first(Kind::Eds, &many)]).await.unwrap();
        let error = rude.next().await.expect_err("it is refused");
        assert_eq!(error.code(), Code::OutOfRange, "{error}");
        assert!(well.next().await.unwrap().is_some());
    });
}

#[test]
fn a_connection_without_a_stream_is_closed_when_its_time_is_up() {
    let handle = service(|s| s.idle_ms = 200.0);
    let mut silent = std::net::TcpStream::connect(handle.address).unwrap();
    silent.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    // The server may send its HTTP/2 SETTINGS frame first; then the connection must end before the read times out.
    while silent.read(&mut [0; 256]).expect("the other side closes") > 0 {}
}

#[test]
fn only_the_newest_of_many_pictures_counts_and_dropping_the_handle_ends_the_thread() {
    on_runtime(async {
        let handle = service(|_| {});
        for port in 1..2_000 {
            handle.publish(picture(&[engine("s-1", port, 1.0)]));
        }
        handle.publish(Picture { admitted: 0.5, ..picture(&[engine("s-2", 9, 1.0)]) });
        until(&handle, r#""engines":1"#).await;
        let channel = connect(&handle.address.to_string()).await.unwrap();
        let mut link =
            Link::open(channel, "p", Variant::World, vec![first(Kind::Eds, &["boxes"])]).await.unwrap();
        assert!(link.next().await.unwrap().is_some());
        drop(handle);
        assert!(!matches!(link.next().await, Ok(Some(_))), "the stream has ended");
    });
}

/// Opens a stream on a connection of its own, and sends the first `sent` bytes of a message of `length` bytes.
async fn partial_message(
    address: std::net::SocketAddr,
    length: u32,
    sent: usize,
) -> h2::SendStream<bytes::Bytes> {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (mut client, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let path = "envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
    let request = http::Request::post(format!("http://{address}/{path}"));
    let request = request.header("content-type", "application/grpc").header("te", "trailers").body(());
    let (response, mut body) = client.send_request(request.unwrap(), false).unwrap();
    tokio::spawn(async move { (client, response.await).1.is_ok() });
    let prefix = [&[0], &length.to_be_bytes()[..]].concat();
    body.send_data([prefix, vec![b'x'; sent]].concat().into(), false).unwrap();
    body
}

// Guards against a process that is killed for its memory: each stream could hold a largest message of which only a part
// had arrived.
#[test]
fn streams_that_stop_inside_large_messages_share_a_limit_and_leave_the_others_alone() {
    on_runtime(async {
        let handle = service(|s| {
            (s.terms.streams_most, s.terms.ack_ms, s.partial_most) = (100, 60_000.0, 1 << 20);
        });
        let channel = connect(&handle.address.to_string()).await.unwrap();
        let mut well = Link::open(channel.clone(), "well", Variant::World, asks()).await.unwrap();
        assert!(well.next().await.unwrap().is_some());
        let mut partial = Vec::new();
        for _ in 0..10 {
            partial.push(partial_message(handle.address, 600_000, 300_000).await);
        }
        // Three partial messages fit, beside the sound stream.
        until(&handle, r#""streams":4"#).await;
        let mut later = Link::open(channel, "later", Variant::Delta, asks()).await.unwrap();
        assert!(later.next().await.unwrap().is_some());
        // A stream that ends gives its memory back.
        partial.clear();
        until(&handle, r#""streams":2"#).await;
        let next = partial_message(handle.address, 600_000, 300_000).await;
        until(&handle, r#""streams":3"#).await;
        drop(next);
    });
}
