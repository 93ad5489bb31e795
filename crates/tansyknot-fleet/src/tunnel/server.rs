//! Opens connections to targets for other daemons, and carries their bytes.

use std::{
    io::{self, Read, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rustix::{
    event::{PollFd, PollFlags},
    io::Errno,
};
use tansyknot_core::{clock::BootInstant, event, metric, telemetry::Recorder};
use tansyknot_http::server::Lifecycle;

use super::{
    MAX_REQUEST_BYTES, REPLY_TIMEOUT, REQUEST_FLAG, TARGET_CONNECT_TIMEOUT, TunnelReply,
    TunnelRequest,
    frame::{self, End, MAX_FRAME_BYTES},
};
use crate::{
    connection,
    exchange::{self, Failure},
    reachability::Path,
    state::State,
    target::Target,
};

/// Maximum number of tunnels at once, each with a thread and two connections.
const MAX_TUNNELS: u32 = 400;

/// Serves the tunnels of other daemons.
pub struct TunnelServer {
    state: Arc<State>,
    lifecycle: Arc<Lifecycle>,
    recorder: Arc<dyn Recorder>,
    open: AtomicU32,
}

impl TunnelServer {
    /// Creates a server that stops with `lifecycle`.
    pub fn new(state: Arc<State>, lifecycle: Arc<Lifecycle>, recorder: Arc<dyn Recorder>) -> Self {
        Self { state, lifecycle, recorder, open: AtomicU32::new(0) }
    }

    /// Returns whether `word`, the first one of a connection, begins a request for a tunnel.
    pub fn is_request(word: u32) -> bool {
        word & REQUEST_FLAG != 0
    }

    /// Serves one tunnel until it ends. `word` is the first word of the connection.
    ///
    /// # Errors
    ///
    /// Fails if the sender is no daemon of the fleet, its request is malformed, or its connection
    /// breaks.
    pub fn serve(&self, stream: &mut TcpStream, from: SocketAddr, word: u32) -> io::Result<()> {
        if !self.is_peer(from.ip()) {
            event::TUNNEL_REJECTED.emit(&[("from", &from)]);
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        stream.set_write_timeout(Some(REPLY_TIMEOUT))?;
        let request = frame::read_body(stream, word & !REQUEST_FLAG, MAX_REQUEST_BYTES)?;
        let request: TunnelRequest = postcard::from_bytes(&request).map_err(io::Error::other)?;
        let _open = OpenTunnel::count(&self.open);
        let _busy = Lifecycle::count_request(&self.lifecycle);
        let connected = self.connect(&request);
        let reply = connected.as_ref().map_or_else(|reply| *reply, |_| TunnelReply::Connected);
        let reply = postcard::to_allocvec(&reply).map_err(io::Error::other)?;
        frame::write_message(stream, 0, &reply)?;
        match connected {
            Ok((connection, target)) if !request.is_probe => {
                self.recorder.count(metric::TUNNELS_SERVED.name, &target.service, 1);
                forward(stream, &connection, Duration::from_millis(request.time_left_ms.into()))
            }
            _ => Ok(()),
        }
    }

    /// Returns whether a daemon of the fleet has this address.
    fn is_peer(&self, ip: IpAddr) -> bool {
        let now = self.state.now();
        self.state.peers().all(now).any(|peer| peer.address.ip() == ip)
    }

    /// Connects to the target of a request, unless there is a reason not to.
    fn connect(&self, request: &TunnelRequest) -> Result<(TcpStream, Arc<Target>), TunnelReply> {
        let now = self.state.now();
        let has_room = self.open.load(Ordering::SeqCst) <= MAX_TUNNELS;
        if !has_room || self.lifecycle.is_draining() {
            return Err(TunnelReply::Busy);
        }
        let target = self.target(request)?;
        let is_cut_off = self.state.reachability().is_cut_off(&target.service);
        if is_cut_off {
            return Err(TunnelReply::CutOff(self.state.tunnel_peers().proven(now)));
        }
        if self.state.reachability().path(&target) == Path::Tunnel {
            return Err(TunnelReply::NoPath);
        }
        match connection::connect(target.address, TARGET_CONNECT_TIMEOUT) {
            Ok(stream) => {
                self.state.record_connected(&target);
                Ok((stream, target))
            }
            Err(Failure::NoSocket) => Err(TunnelReply::Busy),
            Err(_) => {
                self.state.record_connect_failure(&target);
                let is_cut_off = self.state.reachability().is_cut_off(&target.service);
                Err(if is_cut_off && !self.reaches_another(&target) {
                    TunnelReply::CutOff(None)
                } else {
                    TunnelReply::TargetUnreachable
                })
            }
        }
    }

    /// Tries to connect to another target of the service of `target`, which has just failed. Several
    /// targets that end one after the other look like a cut otherwise.
    fn reaches_another(&self, target: &Target) -> bool {
        let names = self.state.fleet().target_names(&target.service);
        let untried = {
            let reachability = self.state.reachability();
            names.into_iter().find(|name| !reachability.has_failed(&target.service, name))
        };
        let other = untried.and_then(|name| self.state.fleet().target(&name).cloned());
        let Some(other) = other else { return false };
        let is_connected = connection::connect(other.address, TARGET_CONNECT_TIMEOUT).is_ok();
        if is_connected {
            self.state.record_connected(&other);
        }
        is_connected
    }

    fn target(&self, request: &TunnelRequest) -> Result<Arc<Target>, TunnelReply> {
        let now = self.state.now();
        let fleet = self.state.fleet();
        let target = fleet.target(&request.target).cloned().ok_or(TunnelReply::UnknownTarget)?;
        let is_allowed =
            fleet.accepts_work(&target.name, now) && !fleet.zone_drains().contains(&target.zone);
        is_allowed.then_some(target).ok_or(TunnelReply::UnknownTarget)
    }
}

/// Counts a tunnel while it is open.
struct OpenTunnel<'a>(&'a AtomicU32);

impl<'a> OpenTunnel<'a> {
    fn count(open: &'a AtomicU32) -> Self {
        open.fetch_add(1, Ordering::SeqCst);
        Self(open)
    }
}

impl Drop for OpenTunnel<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Carries bytes in both directions until either side ends, for `max_duration` at most.
fn forward(daemon: &TcpStream, target: &TcpStream, max_duration: Duration) -> io::Result<()> {
    let deadline = BootInstant::now() + max_duration;
    connection::configure(target, max_duration)?;
    connection::configure(daemon, max_duration.max(REPLY_TIMEOUT))?;
    let mut buf = vec![0; MAX_FRAME_BYTES];
    loop {
        let left = deadline.duration_since(BootInstant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let timeout = exchange::timespec(left.min(exchange::MAX_POLL_WAIT));
        let mut fds = [PollFd::new(daemon, PollFlags::IN), PollFd::new(target, PollFlags::IN)];
        match rustix::event::poll(&mut fds, Some(&timeout)) {
            Err(Errno::INTR) => continue,
            Err(e) => return Err(e.into()),
            Ok(_) => {}
        }
        let [from_daemon, from_target] = fds.map(|fd| !fd.revents().is_empty());
        if from_target {
            match { target }.read(&mut buf) {
                Ok(0) => return frame::write_end(&mut { daemon }, End::Closed),
                Ok(n) => frame::write_data(&mut { daemon }, &buf[..n])?,
                Err(_) => return frame::write_end(&mut { daemon }, End::Reset),
            }
        }
        if from_daemon {
            let n = { daemon }.read(&mut buf)?;
            if n == 0 {
                return Ok(());
            }
            if { target }.write_all(&buf[..n]).is_err() {
                return frame::write_end(&mut { daemon }, End::Reset);
            }
        }
    }
}
