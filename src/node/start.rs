//! Construction of a node from its configuration.

use super::*;
use crate::fleet::admission::LocalSettings;

impl Node {
    /// Builds the node and opens its listeners. The node serves while [`Node::poll_once`] is called repeatedly.
    pub fn new(config: Config, clock: Clock) -> io::Result<Node> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        let mysql_listen = config.mysql.as_ref().map(|mysql| mysql.listen);
        for (front, address) in [(Front::JsonRpc, config.listen), (Front::Mysql, mysql_listen)] {
            if let Some(address) = address {
                let mut listener = TcpListener::bind(address)?;
                poll.registry().register(&mut listener, listener_token(front), Interest::READABLE)?;
                listeners.push((front, listener));
            }
        }
        let mut control_listeners = Vec::new();
        for (kind, address) in
            [(ControlProtocol::Http, config.control.http), (ControlProtocol::Agent, config.control.agent)]
        {
            if let Some(address) = address {
                let mut listener = TcpListener::bind(address)?;
                poll.registry().register(&mut listener, control_token(kind), Interest::READABLE)?;
                control_listeners.push((kind, listener));
            }
        }
        let classes = config.settings.classes.iter();
        let class_names = classes.map(|c| (c.name.clone(), c.repeat == Repeat::Unsafe)).collect();
        let client_sockets = config.client_sockets();
        let backend_sockets = config.max_descriptors.saturating_sub(client_sockets + 32).max(4);
        let line_protocol = LineProtocolBackend::new(
            class_names,
            config.dial_ms,
            config.idle_ms,
            config.max_attempts_per_connection,
            backend_sockets,
        );
        let kinds = config.settings.kinds.iter().map(|k| k.name.clone()).collect();
        let max_buffer_bytes = (config.memory_mb * 1048576.0 / 4.0) as usize;
        let jsonrpc = JsonRpc::new(&config.settings, max_buffer_bytes);
        let mysql = config.mysql.map(|mysql| {
            let mysql_backend = MysqlBackend::new(
                mysql.clone(),
                config.dial_ms,
                config.idle_ms,
                backend_sockets,
                max_buffer_bytes,
            );
            (MysqlFront::new(mysql, &config.settings, max_buffer_bytes), mysql_backend)
        });
        // Mixes in the front end's number, so that front ends draw different random delays even if the configuration
        // sets no seed.
        let jitter_seed = config.seed ^ u64::from(config.settings.own_number).rotate_left(32);
        let zones = config.zones.clone();
        let mut dispatcher =
            RequestDispatcher::new(config.settings, config.seed, config.max_open_requests, max_buffer_bytes)
                .map_err(io::Error::other)?;
        let discovery = config.bulletin.map(|address| {
            DiscoveryClient::new(address, config.zones, kinds, config.last_revision, jitter_seed)
        });
        let xds = config.xds.map(XdsPublisher::start).transpose()?;
        let mut waker = None;
        let admission = match &config.fleet {
            Some(fleet) => {
                let admission_waker =
                    Arc::new(Waker::new(poll.registry(), SocketOwner::Fixed(RELOAD).token())?);
                waker = Some(admission_waker.clone());
                // An error is ignored: if the wake-up fails, the event loop still reads the response when the next
                // poll of the leader is due.
                let wake = move || drop(admission_waker.wake());
                dispatcher.track_zones();
                let local = LocalSettings {
                    node: &config.name,
                    module: dispatcher.settings(),
                    zones: &zones,
                    seed: jitter_seed,
                };
                Some(AdmissionControl::start(fleet, local, wake)?)
            }
            None => None,
        };
        let mut node = Node {
            clock,
            poll,
            events: Events::with_capacity(256),
            listeners,
            accept_paused: false,
            accept_pause_logged_at: f64::NEG_INFINITY,
            client_sockets,
            timers: TimerQueue::default(),
            dispatcher,
            jsonrpc,
            mysql,
            closing: ClosingConnections::default(),
            line_protocol,
            discovery,
            address_owners: AddressOwners::default(),
            control: ControlServer::new(config.control.cluster),
            control_listeners,
            xds,
            admission,
            admission_due: None,
            waker,
            startup_only: config.startup_only,
            shutdown: None,
            log: config.fit,
        };
        for (front, listener) in &node.listeners {
            node.log.push(format!("listen: front={front:?} address={}", listener.local_addr()?));
        }
        for (kind, listener) in &node.control_listeners {
            node.log.push(format!("listen: control={kind:?} address={}", listener.local_addr()?));
        }
        if let Some(xds) = &node.xds {
            node.log.push(format!("listen: xds address={}", xds.address()));
            node.timers.set(node.clock.now(), TimerEvent::Xds);
        }
        if let Some(address) = node.admission.as_ref().and_then(AdmissionControl::listen_address) {
            node.log.push(format!("listen: fleet address={address}"));
        }
        let mut events = Vec::new();
        node.apply_list_events(config.initial_events, &mut events);
        if node.discovery.is_some() {
            node.timers.set(node.clock.now(), TimerEvent::Discovery);
        }
        node.run_dispatcher(events);
        node.update_admission();
        Ok(node)
    }
}
