//! Samples the memory and descriptors of a process.

use std::{
    collections::HashSet,
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// The pause between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The most that a process has held at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProcessUse {
    /// Resident memory and bytes that callers or targets sent and the process has not read.
    pub(crate) bytes: u64,
    /// The part of `bytes` that the process has not read.
    pub(crate) unread_bytes: u64,
    pub(crate) descriptors: usize,
    /// Processor time since the process started, in clock ticks; shown and not checked, as it depends
    /// on the machine.
    pub(crate) processor_ticks: u64,
}

/// Samples a process until it is stopped.
pub(crate) struct ProcessWatch {
    ends: Arc<AtomicBool>,
    sampler: JoinHandle<ProcessUse>,
}

impl ProcessWatch {
    /// Watches the process `pid`, which accepts callers at `address`.
    pub(crate) fn start(pid: u32, address: SocketAddr) -> Self {
        Self::start_with_targets(pid, address, Vec::new())
    }

    /// Watches a process that also connects to `targets`.
    pub(crate) fn start_with_targets(
        pid: u32,
        address: SocketAddr,
        targets: Vec<SocketAddr>,
    ) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let is_ended = Arc::clone(&ends);
        let sampler = thread::spawn(move || {
            let mut most = ProcessUse::default();
            while !is_ended.load(Ordering::SeqCst) {
                sample(pid, address, &targets, &mut most);
                thread::sleep(SAMPLE_INTERVAL);
            }
            most
        });
        Self { ends, sampler }
    }

    /// Returns the most that the process has held.
    pub(crate) fn stop(self) -> ProcessUse {
        self.ends.store(true, Ordering::SeqCst);
        self.sampler.join().expect("the sampler does not panic")
    }
}

fn sample(pid: u32, address: SocketAddr, targets: &[SocketAddr], most: &mut ProcessUse) {
    let unread_bytes = unread_bytes(address, targets);
    let bytes = resident_bytes(pid) + unread_bytes;
    if bytes > most.bytes {
        *most = ProcessUse { bytes, unread_bytes, ..*most };
    }
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    most.descriptors = most.descriptors.max(descriptors);
    most.processor_ticks = processor_ticks(pid).max(most.processor_ticks);
}

fn resident_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) << 10
}

/// Returns the bytes in the kernel's receive buffers of connections that were accepted at `address`, or
/// lead to one of `targets`.
fn unread_bytes(address: SocketAddr, targets: &[SocketAddr]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port_suffix = |address: &SocketAddr| format!(":{:04X}", address.port());
    let callers_port = port_suffix(&address);
    let target_ports: HashSet<String> = targets.iter().map(port_suffix).collect();
    let queue = |line: &str| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let local = fields.next()?;
        let (_, remote_port) = fields.next()?.split_at_checked(8)?;
        let is_established = fields.next()? == "01";
        let (_, unread) = fields.next()?.split_once(':')?;
        let unread = u64::from_str_radix(unread, 16).ok()?;
        let is_watched = local.ends_with(&callers_port) || target_ports.contains(remote_port);
        (is_established && is_watched).then_some(unread)
    };
    table.lines().skip(1).filter_map(queue).sum()
}

fn processor_ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    // User and system time are the 14th and 15th field; the name is the second.
    let times = after_name.split_ascii_whitespace().skip(11).take(2);
    times.filter_map(|field| field.parse::<u64>().ok()).sum()
}
