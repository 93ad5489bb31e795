//! Opens connections to targets: by this daemon itself, or through another daemon that reaches them.

use std::{
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{clock::BootInstant, event, metric, telemetry::Recorder};

use crate::{
    connection::{self, CONNECT_TIMEOUT, PROBE_TIMEOUT, TargetStream},
    dissemination::{message, peers::PeerEntry},
    exchange::{Exchange, Failure, Requester},
    poison::Presence,
    reachability::{PROBE_INTERVAL, Path},
    residency::ZoneSet,
    state::State,
    target::Target,
    tunnel::{TunnelReply, TunnelRequest, client, frame::Decoder, peers::Unhelpful},
};

/// Maximum time for opening a tunnel, over all daemons that are asked.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest time for which [`Paths::probe`] takes.
pub const CRASH_PROBE_TIMEOUT: Duration = PROBE_TIMEOUT.saturating_add(TUNNEL_TIMEOUT);
/// Maximum number of daemons that are asked for one tunnel.
const MAX_PEERS_ASKED: usize = 4;
/// The status with which another run responds that has got the address of a target.
const MISDIRECTED: u16 = 421;
/// Number of daemons whose failure to connect to a target shows that the target is down.
const DOWN_VERDICTS: usize = 2;

/// The paths from a daemon to the targets.
#[derive(Clone)]
pub struct Paths {
    state: Arc<State>,
    recorder: Arc<dyn Recorder>,
}

/// A tunnel in use; it is no longer counted when this value is dropped.
pub struct Tunnel {
    state: Arc<State>,
    /// The daemon through which it leads.
    pub peer: SocketAddr,
    /// Removes the framing of what the target sends.
    pub decoder: Decoder,
}

impl Tunnel {
    /// Wraps a tunnel that the daemon at `peer` has opened.
    pub fn new(state: Arc<State>, peer: SocketAddr) -> Self {
        Self { state, peer, decoder: Decoder::default() }
    }

    /// Records that the daemon through which the tunnel leads has failed.
    pub fn record_lost(&self) {
        let now = self.state.now();
        self.state.tunnel_peers().record_unhelpful(self.peer, Unhelpful::Unreachable, now);
    }
}

impl Drop for Tunnel {
    fn drop(&mut self) {
        self.state.tunnel_peers().record_closed(self.peer);
    }
}

/// What a tunnel is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TunnelUse<'a> {
    /// A request, which may be served in these zones only; `None` stands for all.
    Request { zones: Option<&'a ZoneSet> },
    /// A test whether a target can be reached.
    Probe,
}

impl<'a> TunnelUse<'a> {
    fn zones(self) -> Option<&'a ZoneSet> {
        match self {
            TunnelUse::Request { zones } => zones,
            TunnelUse::Probe => None,
        }
    }
}

/// Why no tunnel to a target could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TunnelFailure {
    /// Other daemons, which reach other targets, can't connect to this one.
    TargetDown,
    /// No daemon that was asked reaches any target.
    Isolated,
    /// No daemon could be asked, or none had room.
    NoPeer,
}

impl Paths {
    /// Creates the paths of the daemon with this state.
    pub fn new(state: Arc<State>, recorder: Arc<dyn Recorder>) -> Self {
        Self { state, recorder }
    }

    /// Connects to a target until `deadline`, for a request that may be served in `zones` only; `None`
    /// stands for all.
    ///
    /// # Errors
    ///
    /// Fails if neither this daemon nor another one connects to it. Nothing was sent then.
    pub fn connect(
        &self,
        target: &Target,
        zones: Option<&ZoneSet>,
        deadline: BootInstant,
    ) -> Result<TargetStream, Failure> {
        let left = deadline.duration_since(BootInstant::now());
        if left.is_zero() {
            return Err(Failure::NotConnected);
        }
        let path = self.state.reachability().path(target);
        let direct_failure = match path {
            Path::Direct => match self.connect_directly(target, left) {
                Err(f @ (Failure::NotConnected | Failure::Refused)) => f,
                result => return result,
            },
            Path::Tunnel => Failure::NotConnected,
        };
        match self.open_tunnel(target, TunnelUse::Request { zones }, deadline) {
            Ok((stream, tunnel)) => {
                self.recorder.count(metric::TUNNELS_OPENED.name, &target.service, 1);
                Ok(TargetStream::tunnelled(stream, tunnel))
            }
            Err(TunnelFailure::NoPeer) if path == Path::Tunnel && !self.is_cut_off(target) => {
                self.connect_directly(target, deadline.duration_since(BootInstant::now()))
            }
            Err(_) => Err(direct_failure),
        }
    }

    fn connect_directly(&self, target: &Target, left: Duration) -> Result<TargetStream, Failure> {
        if left.is_zero() {
            return Err(Failure::NotConnected);
        }
        match connection::connect(target.address, CONNECT_TIMEOUT.min(left)) {
            Ok(stream) => {
                self.state.record_connected(target);
                Ok(TargetStream::direct(stream))
            }
            Err(f) => {
                if f != Failure::NoSocket {
                    self.recorder.count(metric::UNREACHABLE.name, &target.service, 1);
                    self.state.record_connect_failure(target);
                }
                Err(f)
            }
        }
    }

    /// Probes whether a process listens at a target's address.
    pub fn probe(&self, target: &Target) -> Presence {
        let path = self.state.reachability().path(target);
        let presence = self.probe_along(path, target);
        let path = if path == Path::Direct { "direct" } else { "tunnel" };
        event::TARGET_CHECKED.emit(&[
            ("target", &target.name),
            ("address", &target.address),
            ("result", &presence.name()),
            ("path", &path),
        ]);
        presence
    }

    /// Returns whether a target responds to `call` within `within`. An open connection alone does not
    /// show that its process lives or reads: the kernel accepts connections on its behalf.
    pub fn responds(&self, target: &Target, call: &[u8], within: Duration) -> bool {
        let deadline = BootInstant::now() + within;
        let stream = match self.state.reachability().path(target) {
            Path::Direct => connection::connect(target.address, CONNECT_TIMEOUT.min(within))
                .ok()
                .map(TargetStream::direct),
            Path::Tunnel => None,
        };
        let stream = stream.or_else(|| {
            let tunnel_use = TunnelUse::Request { zones: None };
            let (stream, tunnel) = self.open_tunnel(target, tunnel_use, deadline).ok()?;
            Some(TargetStream::tunnelled(stream, tunnel))
        });
        let exchange = stream.ok_or(Failure::NotConnected).and_then(|stream| {
            Exchange::open(stream, &[call], Requester::default(), deadline, &|| true)
        });
        exchange.and_then(|mut e| e.head()).is_ok_and(|head| head.status != MISDIRECTED)
    }

    fn probe_along(&self, path: Path, target: &Target) -> Presence {
        let presence = match path {
            Path::Direct => connection::probe(target.address, PROBE_TIMEOUT),
            Path::Tunnel => Presence::Unknown,
        };
        match presence {
            Presence::Listening => return presence,
            Presence::Ended => self.state.record_connect_failure(target),
            Presence::Gone | Presence::Unknown => {}
        }
        // A link that refuses connections looks like a target that has ended.
        let deadline = BootInstant::now() + TUNNEL_TIMEOUT;
        match self.open_tunnel(target, TunnelUse::Probe, deadline) {
            Ok(_) => Presence::Listening,
            Err(TunnelFailure::TargetDown) => Presence::Ended,
            Err(TunnelFailure::NoPeer) if !self.is_cut_off(target) => presence,
            Err(TunnelFailure::Isolated | TunnelFailure::NoPeer) => Presence::Unknown,
        }
    }

    /// Asks other daemons for a tunnel to a target.
    fn open_tunnel(
        &self,
        target: &Target,
        tunnel_use: TunnelUse<'_>,
        deadline: BootInstant,
    ) -> Result<(TcpStream, Tunnel), TunnelFailure> {
        let until = deadline.min(BootInstant::now() + TUNNEL_TIMEOUT);
        let mut tried = Vec::new();
        let mut down_verdicts = 0;
        let mut is_any_cut_off = false;
        while tried.len() < MAX_PEERS_ASKED && BootInstant::now() < until {
            let Some(peer) = self.choose_peer(tunnel_use.zones(), &tried) else { break };
            tried.push(peer);
            let time_left_ms = message::millis(deadline.duration_since(BootInstant::now()));
            let is_probe = tunnel_use == TunnelUse::Probe;
            let request = TunnelRequest { target: target.name.clone(), is_probe, time_left_ms };
            let reply = client::open(peer, &request);
            let now = self.state.now();
            let mut peers = self.state.tunnel_peers();
            match reply {
                Ok((stream, TunnelReply::Connected)) => {
                    peers.record_opened(peer, now);
                    drop(peers);
                    self.state.reachability().record_tunnelled(target);
                    return Ok((stream, Tunnel::new(Arc::clone(&self.state), peer)));
                }
                Ok((_, TunnelReply::TargetUnreachable)) => down_verdicts += 1,
                Ok((_, TunnelReply::NoPath | TunnelReply::UnknownTarget)) => {}
                Ok((_, TunnelReply::Busy)) => {
                    peers.record_unhelpful(peer, Unhelpful::Busy, now);
                }
                Ok((_, TunnelReply::CutOff(hint))) => {
                    is_any_cut_off = true;
                    peers.record_unhelpful(peer, Unhelpful::Unreachable, now);
                    hint.into_iter().for_each(|hint| peers.record_hint(hint, now));
                }
                Err(e) => {
                    log::debug!("no tunnel through {peer}: {e}");
                    peers.record_unhelpful(peer, Unhelpful::Unreachable, now);
                }
            }
            if down_verdicts >= DOWN_VERDICTS {
                break;
            }
        }
        let failure = self.tunnel_failure(target, down_verdicts, is_any_cut_off);
        // Daemons in other zones may reach the service.
        if failure == TunnelFailure::Isolated && tunnel_use.zones().is_none() {
            self.state.reachability().record_isolated(target, self.state.now());
        }
        Err(failure)
    }

    fn tunnel_failure(
        &self,
        target: &Target,
        down_verdicts: usize,
        is_any_cut_off: bool,
    ) -> TunnelFailure {
        if down_verdicts >= DOWN_VERDICTS || (down_verdicts > 0 && !is_any_cut_off) {
            self.state.reachability().record_target_down(target);
            return TunnelFailure::TargetDown;
        }
        if is_any_cut_off || self.is_cut_off(target) {
            return TunnelFailure::Isolated;
        }
        TunnelFailure::NoPeer
    }

    /// Chooses another daemon that is in one of `zones` and in no drained one.
    fn choose_peer(&self, zones: Option<&ZoneSet>, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let now = self.state.now();
        let (zone, drained) = {
            let fleet = self.state.fleet();
            (fleet.zone().cloned(), fleet.zone_drains().clone())
        };
        let known = self.state.peers();
        let me = known.local_address();
        let is_allowed = |peer: &&PeerEntry| {
            Some(peer.address) != me
                && zones.is_none_or(|zones| zones.contains(&peer.zone))
                && !drained.contains(&peer.zone)
        };
        let candidates = known.all(now).filter(is_allowed);
        let chosen = self.state.tunnel_peers();
        chosen.choose(candidates, zone.as_ref(), tried, now, &mut rand::rng())
    }

    fn is_cut_off(&self, target: &Target) -> bool {
        self.state.reachability().is_cut_off(&target.service)
    }

    /// Probes the targets that could not be reached, until the process ends.
    pub fn run_probes(&self) {
        let mut seen = 0;
        loop {
            if !self.state.reachability().has_failed_paths() {
                seen = self.state.paths_failed.wait(seen, Duration::MAX);
            }
            // The next targets are probed at once while probes succeed.
            while self.probe_due_targets() {}
            self.state.clock.sleep(PROBE_INTERVAL);
        }
    }

    /// Probes the targets that are due; returns whether all of them were reached.
    fn probe_due_targets(&self) -> bool {
        let now = self.state.now();
        let known = |service: &_| self.state.fleet().target_names(service);
        let due = self.state.reachability().due_probes(known, now);
        let mut reached = 0;
        for name in &due {
            let target = self.state.fleet().target(name).cloned();
            let Some(target) = target else { continue };
            match connection::connect(target.address, PROBE_TIMEOUT) {
                Ok(_) => {
                    self.state.record_connected(&target);
                    reached += 1;
                }
                Err(_) => {
                    self.state.reachability().record_probe_failed(&target);
                    self.probe_tunnel(&target);
                }
            }
        }
        !due.is_empty() && reached == due.len()
    }

    /// Looks for another daemon that reaches a target of a service from which this one is cut off,
    /// unless one is known.
    fn probe_tunnel(&self, target: &Target) {
        let is_proven = self.state.tunnel_peers().proven(self.state.now()).is_some();
        // Another daemon may reach one service and not the other.
        let is_needed = !is_proven || self.state.reachability().is_isolated(&target.service);
        if self.is_cut_off(target) && is_needed {
            // The reachability has the result.
            let deadline = BootInstant::now() + TUNNEL_TIMEOUT;
            let _ = self.open_tunnel(target, TunnelUse::Probe, deadline);
        }
    }
}
