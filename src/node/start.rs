//! How a node is put together.

use super::*;
use crate::fleet::admission::LocalSettings;

impl Node {
    /// Builds the node and listens; it serves as soon as it is turned.
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
        for (kind, address) in [(Kind::Http, config.control.http), (Kind::Agent, config.control.agent)] {
            if let Some(address) = address {
                let mut listener = TcpListener::bind(address)?;
                poll.registry().register(&mut listener, control_token(kind), Interest::READABLE)?;
                control_listeners.push((kind, listener));
            }
        }
        let classes = config.settings.classes.iter();
        let names = classes.map(|c| (c.name.clone(), c.repeat == Repeat::Unsafe)).collect();
        let client_sockets = config.client_sockets();
        let backend_sockets = config.sockets.saturating_sub(client_sockets + 32).max(4);
        let warehouses =
            LineProtocolBackend::new(names, config.dial_ms, config.idle_ms, config.streams, backend_sockets);
        let kinds = config.settings.kinds.iter().map(|k| k.name.clone()).collect();
        let out_most = (config.memory_mb * 1048576.0 / 4.0) as usize;
        let jsonrpc = JsonRpc::new(&config.settings, out_most);
        let mysql = config.mysql.map(|mysql| {
            let boxes =
                MysqlBackend::new(mysql.clone(), config.dial_ms, config.idle_ms, backend_sockets, out_most);
            (MysqlFront::new(mysql, &config.settings, out_most), boxes)
        });
        // Where no seed is given, front ends still differ by their number.
        let lots = config.seed ^ u64::from(config.settings.own_number).rotate_left(32);
        let zones = config.zones.clone();
        let mut exchange = RequestDispatcher::new(config.settings, config.seed, config.open_most, out_most)
            .map_err(io::Error::other)?;
        let bulletin = config
            .bulletin
            .map(|address| DiscoveryClient::new(address, config.zones, kinds, config.last, lots));
        let xds = config.xds.map(Feed::start).transpose()?;
        let mut waker = None;
        let admission = match &config.fleet {
            Some(fleet) => {
                let wakes = Arc::new(Waker::new(poll.registry(), SocketOwner::Fixed(RELOAD).token())?);
                waker = Some(wakes.clone());
                // Where the loop can't be woken, it looks by itself when the next question is due.
                let wake = move || drop(wakes.wake());
                exchange.keep_zones();
                let local = LocalSettings {
                    node: &config.name,
                    module: exchange.settings(),
                    zones: &zones,
                    seed: lots,
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
            client_sockets,
            timers: TimerQueue::default(),
            exchange,
            jsonrpc,
            mysql,
            closing: ClosingConnections::default(),
            warehouses,
            bulletin,
            control: Control::new(config.control.cluster),
            control_listeners,
            xds,
            admission,
            admission_due: None,
            waker,
            at_start: config.at_start,
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
        let mut heard = Vec::new();
        node.news(config.known, &mut heard);
        if node.bulletin.is_some() {
            node.timers.set(node.clock.now(), TimerEvent::Bulletin);
        }
        node.settle(heard);
        node.fleet();
        Ok(node)
    }
}
