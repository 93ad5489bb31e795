//! A daemon's UDP socket for peers: membership probes, demand messages and datagram counters.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tansyknot_core::{
    clock::Clock,
    event,
    name::{DaemonName, ServiceName},
    peer::{self, PeerListener, Peers, ServiceDemand, ServiceUse},
};

use crate::{
    interest::Interest,
    members::{LocalMember, Members, MembersOptions, Outgoing},
    message::{self, Envelope, MAX_BYTES, MemberUpdate, Message, UseEntry},
};

/// Timeout of a socket read, which bounds the delay of probes.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Capacity of the cache of coordinators, which is cleared when full.
const MAX_CACHED_COORDINATORS: usize = 16 << 10;
/// Maximum number of uses in one datagram, since service names have up to 120 bytes.
const MAX_USES_PER_DATAGRAM: usize = 9;

/// Counters of datagrams sent, received and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received and decoded.
    pub received: u64,
    /// Datagrams dropped.
    pub dropped: u64,
}

/// A coordinator and its address; `None` stands for this daemon.
type Coordinator = Option<(DaemonName, SocketAddr)>;

/// The coordinators determined since the last change of the membership.
#[derive(Debug, Default)]
struct CoordinatorCache {
    epoch: u64,
    services: HashMap<ServiceName, Coordinator>,
}

impl CoordinatorCache {
    fn clear_if_outdated(&mut self, epoch: u64) {
        if self.epoch != epoch || self.services.len() >= MAX_CACHED_COORDINATORS {
            self.services.clear();
            self.epoch = epoch;
        }
    }
}

/// The peer socket of a daemon with its membership and the uses of services.
pub struct Node {
    socket: UdpSocket,
    clock: Arc<dyn Clock>,
    members: Mutex<Members>,
    interest: Mutex<Interest>,
    coordinators: Mutex<CoordinatorCache>,
    listener: OnceLock<Arc<dyn PeerListener>>,
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    dropped: AtomicU64,
}

impl Node {
    /// Binds the socket to the address of `me`; port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be bound.
    pub fn bind(
        mut me: LocalMember,
        options: MembersOptions,
        clock: Arc<dyn Clock>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(me.address)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        me.address = socket.local_addr()?;
        Ok(Self {
            socket,
            clock,
            members: Mutex::new(Members::new(me, options)),
            interest: Mutex::default(),
            coordinators: Mutex::default(),
            listener: OnceLock::new(),
            sent: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            received: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        })
    }

    /// Returns the socket's local address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sets the listener that receives peers' messages about services.
    pub fn set_listener(&self, listener: Arc<dyn PeerListener>) {
        // The daemon sets the listener once at its start; a second call has no effect.
        let _ = self.listener.set(listener);
    }

    /// Adds daemons that the table lists.
    pub fn join(&self, daemons: Vec<MemberUpdate>) {
        let now = self.clock.now();
        self.members.lock().expect("no holder of the lock panics").join(daemons, now);
    }

    /// Returns the live daemons, including this one.
    pub fn alive(&self) -> Vec<DaemonName> {
        self.members.lock().expect("no holder of the lock panics").alive().cloned().collect()
    }

    /// Returns a number that rises whenever the set of live daemons may have changed.
    pub fn epoch(&self) -> u64 {
        self.members.lock().expect("no holder of the lock panics").epoch()
    }

    /// Returns the datagram counters.
    pub fn counts(&self) -> Counts {
        Counts {
            sent: self.sent.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }

    /// Waits briefly for a datagram, handles it and advances the membership.
    pub fn poll(&self) {
        let mut buf = [0; MAX_BYTES + 1];
        if let Ok((length, from)) = self.socket.recv_from(&mut buf) {
            self.handle_datagram(&buf[..length], from);
        }
        let now = self.clock.now();
        let out = {
            let mut members = self.members.lock().expect("no holder of the lock panics");
            members.tick(now, &mut rand::rng())
        };
        self.send_all(out);
    }

    fn handle_datagram(&self, datagram: &[u8], from: SocketAddr) {
        let envelope = match message::decode(datagram) {
            Ok(envelope) => envelope,
            Err(dropped) => {
                let count = self.dropped.fetch_add(1, Ordering::Relaxed) + 1;
                // Only counts that are powers of two are logged, so that many invalid datagrams
                // cause few log lines.
                if count.is_power_of_two() {
                    event::DATAGRAM_DROPPED.emit(&[("why", &dropped), ("count", &count)]);
                }
                return;
            }
        };
        self.received.fetch_add(1, Ordering::Relaxed);
        match envelope.message {
            Message::Demand { service, waiting, in_flight } => {
                self.record_interest(&service, &envelope.from);
                let waiting = ServiceDemand { waiting, in_flight };
                self.notify_listener(|l| l.receive_demand(&service, &envelope.from, waiting));
            }
            Message::Use { uses } => {
                let uses = uses.into_iter().map(service_use).collect::<Vec<_>>();
                for used in &uses {
                    self.record_interest(&used.service, &envelope.from);
                }
                self.notify_listener(|l| l.receive_use(&envelope.from, &uses));
            }
            Message::RowChanged { service } => self.notify_listener(|l| l.receive_change(&service)),
            other => {
                let now = self.clock.now();
                let out = {
                    let mut members = self.members.lock().expect("no holder of the lock panics");
                    members.receive(from, other, now)
                };
                self.send_all(out);
            }
        }
    }

    fn record_interest(&self, service: &ServiceName, daemon: &DaemonName) {
        let now = self.clock.now();
        let mut interest = self.interest.lock().expect("no holder of the lock panics");
        interest.record_use(service, daemon, now);
    }

    fn notify_listener(&self, f: impl FnOnce(&dyn PeerListener)) {
        if let Some(listener) = self.listener.get() {
            f(listener.as_ref());
        }
    }

    fn send_all(&self, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            self.send(to, message);
        }
    }

    fn send(&self, to: SocketAddr, message: Message) {
        let from = {
            let members = self.members.lock().expect("no holder of the lock panics");
            members.me().clone()
        };
        let Ok(datagram) = message::encode(&Envelope { from, message }) else { return };
        // A datagram that can't be sent is treated as lost, which every message tolerates.
        if self.socket.send_to(&datagram, to).is_ok() {
            self.sent.fetch_add(1, Ordering::Relaxed);
            self.sent_bytes.fetch_add(datagram.len() as u64, Ordering::Relaxed);
        }
    }

    /// Returns the coordinator of a service and its address, `None` if it is this daemon.
    fn coordinator(&self, service: &ServiceName) -> Coordinator {
        let members = self.members.lock().expect("no holder of the lock panics");
        let mut cache = self.coordinators.lock().expect("no holder of the lock panics");
        cache.clear_if_outdated(members.epoch());
        if let Some(found) = cache.services.get(service) {
            return found.clone();
        }
        let daemon = peer::coordinator(service, members.alive());
        let found = daemon.and_then(|d| Some((d.clone(), members.address(d)?)));
        cache.services.insert(service.clone(), found.clone());
        found
    }
}

impl Peers for Node {
    fn is_coordinator(&self, service: &ServiceName) -> bool {
        self.coordinator(service).is_none()
    }

    fn report_demand(&self, service: &ServiceName, waiting: ServiceDemand) {
        let Some((_, to)) = self.coordinator(service) else { return };
        let message = Message::Demand {
            service: service.clone(),
            waiting: waiting.waiting,
            in_flight: waiting.in_flight,
        };
        self.send(to, message);
    }

    fn report_use(&self, uses: &[ServiceUse]) {
        let mut by_daemon: HashMap<SocketAddr, Vec<UseEntry>> = HashMap::new();
        for used in uses {
            if let Some((_, to)) = self.coordinator(&used.service) {
                by_daemon.entry(to).or_default().push(use_entry(used));
            }
        }
        for (to, entries) in by_daemon {
            for chunk in entries.chunks(MAX_USES_PER_DATAGRAM) {
                self.send(to, Message::Use { uses: chunk.to_vec() });
            }
        }
    }

    fn report_change(&self, service: &ServiceName) {
        let now = self.clock.now();
        let daemons = {
            let mut interest = self.interest.lock().expect("no holder of the lock panics");
            interest.daemons(service, now)
        };
        let mut addresses: Vec<SocketAddr> = {
            let members = self.members.lock().expect("no holder of the lock panics");
            daemons.iter().filter_map(|daemon| members.address(daemon)).collect()
        };
        // The coordinator is included for changes that another daemon made in its place.
        addresses.extend(self.coordinator(service).map(|(_, to)| to));
        addresses.sort();
        addresses.dedup();
        for to in addresses {
            self.send(to, Message::RowChanged { service: service.clone() });
        }
    }
}

fn use_entry(used: &ServiceUse) -> UseEntry {
    UseEntry {
        service: used.service.clone(),
        ago_ms: u32::try_from(used.since_last_use.as_millis()).unwrap_or(u32::MAX),
        in_flight: used.in_flight,
    }
}

fn service_use(entry: UseEntry) -> ServiceUse {
    ServiceUse {
        service: entry.service,
        since_last_use: Duration::from_millis(u64::from(entry.ago_ms)),
        in_flight: entry.in_flight,
    }
}
