//! A runner that is removed at short notice while its answers are under way, some of which have
//! no length.

use std::{io, net::SocketAddr, thread, time::Duration};

use rustix::process::Signal;
use tansyknot_adapter_standins::{
    caller::Request,
    operator::{Configuration, MODELS, PLAIN},
};

use crate::{
    client::{self, Answer},
    runner::whole_body,
    world::{Daemon, Record, World, has_trouble},
};

/// How long before its end a runner says that it is removed.
const NOTICE: Duration = Duration::from_millis(2000);
const REQUESTS_PER_KIND: usize = 100;
/// The runners of each service. One of them is removed.
const RUNNERS: usize = 4;
const BUDGET: Duration = Duration::from_secs(15);

struct Sent {
    id: String,
    path: &'static str,
    is_stream: bool,
}

impl Sent {
    fn send(&self, daemon: SocketAddr, record: &Record) -> io::Result<Answer> {
        let model = self.is_stream.then_some("m0");
        let request = Request::new(self.path, &self.id, model, BUDGET.as_millis() as u64);
        record.line(&format!("caller: {} sent to {daemon}{}", self.id, self.path));
        client::exchange(daemon, request.text().as_bytes(), BUDGET)
    }

    /// Returns whether a success looks complete though it is not the runner's whole body.
    fn is_cut(&self, answer: &Answer) -> bool {
        let whole = whole_body(&self.id, self.is_stream);
        answer.status / 100 == 2 && answer.is_complete && answer.body != whole.as_bytes()
    }
}

/// Returns whether the rule was kept.
pub fn run(record: Record) -> io::Result<bool> {
    let world = World::start(record.clone())?;
    let config = Configuration { timeout_ms: 15_000, ..Configuration::single_model(1) };
    config.write(&world.store);
    let mut runners = Vec::new();
    for n in 0..RUNNERS {
        let mode = if n < RUNNERS / 2 { "unframed" } else { "framed" };
        runners.push(world.runner(&format!("i-plain{n}"), PLAIN, mode, &[])?);
        runners.push(world.runner(&format!("i-model{n}"), MODELS, mode, &["m0"])?);
    }
    let daemons: Vec<Daemon> = (0..3).map(|n| world.daemon(n)).collect::<io::Result<_>>()?;
    world.await_ready(&daemons)?;
    thread::sleep(Duration::from_secs(4));
    let kinds = [("/ledger/", false), ("/lookup/", false), ("/query/", true), ("/dossier/", true)];
    let mut callers = Vec::new();
    for n in 0..REQUESTS_PER_KIND {
        for (path, is_stream) in kinds {
            let id = format!("{}-{n}", path.trim_matches('/'));
            let (sent, record) = (Sent { id, path, is_stream }, record.clone());
            let daemon = daemons[n % daemons.len()].callers;
            callers.push(thread::spawn(move || {
                let answer = sent.send(daemon, &record);
                (sent, answer)
            }));
        }
    }
    if has_trouble() {
        thread::sleep(Duration::from_millis(1000));
        for runner in &runners[..2] {
            world.check_in(runner, "draining", Some(NOTICE.as_millis() as u64));
        }
        thread::sleep(NOTICE);
        for runner in &runners[..2] {
            record.line(&format!("platform: {} is gone (SIGKILL)", runner.id));
            runner.process.signal(Signal::KILL);
            world.silence(runner);
        }
    }
    let mut cut = 0;
    for caller in callers {
        let (sent, answer) = caller.join().expect("a caller does not panic");
        let answer = answer.unwrap_or_default();
        let is_cut = sent.is_cut(&answer);
        cut += usize::from(is_cut);
        record.line(&format!(
            "caller: {} got {} {}, {} of {} bytes, {} the end that its framing declares{}",
            sent.id,
            answer.status,
            answer.header("server-seal").unwrap_or("without a seal"),
            answer.body.len(),
            whole_body(&sent.id, sent.is_stream).len(),
            if answer.is_complete { "with" } else { "without" },
            if is_cut { ": MIXED" } else { "" },
        ));
    }
    for runner in &runners {
        for line in runner.process.lines.try_iter() {
            record.line(&format!("runner {}: {line}", runner.id));
        }
    }
    record.line(&format!("successes that look complete and are not: {cut}"));
    println!("successes that look complete and are not: {cut}");
    Ok(cut == 0)
}
