//! A runner: it serves requests on connections of their own and logs what it runs.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// How a runner works.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its id.
    pub id: String,
    /// The number of events of a stream.
    pub events: u64,
    /// The time between two events, and the time that a plain request takes.
    pub pause: Duration,
    /// Whether streams have no length and end with their connection.
    pub is_unframed: bool,
    /// One in this many plain requests fails after it has run, with `fail_status`; 0 for none.
    pub fail_one_in: u64,
    /// The status of these failures.
    pub fail_status: u16,
    /// From when on it fails requests, counted from its start, and for how long.
    pub fail_after: Duration,
    pub fail_for: Duration,
}

/// The head of a request.
struct Head {
    path: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Serves until the process is killed.
pub fn serve(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    say(&format!("listening {}", listener.local_addr()?));
    let options = Arc::new(options);
    let started = Instant::now();
    for stream in listener.incoming().flatten() {
        let options = Arc::clone(&options);
        thread::spawn(move || serve_connection(stream, &options, started));
    }
    Ok(())
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Serves one request and closes the connection.
fn serve_connection(mut stream: TcpStream, options: &Options, started: Instant) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(head) = read_head(&mut reader)? else { return Ok(()) };
    let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    if head.header("expect-instance").is_some_and(|expected| expected != options.id) {
        let extra = format!("Instance-Id: {}\r\n", options.id);
        return answer(&mut stream, 421, &extra, "");
    }
    let id = head.header("attempt-id").unwrap_or("").to_owned();
    let seal = format!("Attempt-Id: {id}\r\nServer-Seal: {}.{id}\r\n", options.id);
    match head.path.as_str() {
        "/-/report" => {
            let report = "{\"stage\":\"combined\",\"models\":[{\"name\":\"m0\",\"version\":1,\
                          \"adapters\":[]}],\"busy\":false,\"seq-no\":0,\"queued\":0,\"active\":0,\
                          \"kv-used\":0,\"kv-total\":135497,\"handles\":0}";
            answer(&mut stream, 200, "", report)
        }
        path if path.starts_with("/-/") => answer(&mut stream, 400, "", ""),
        "/health" => answer(&mut stream, 200, &format!("Instance-Id: {}\r\n", options.id), ""),
        _ if head.header("model").is_some() => {
            let from = head.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
            say(&format!("runs {id} from event {from}"));
            send_events(&mut stream, options, &seal, from)?;
            say(&format!("has finished {id}"));
            Ok(())
        }
        _ => {
            say(&format!("runs {id}"));
            thread::sleep(options.pause);
            let hash = id.bytes().fold(7_u64, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
            let window = options.fail_after..options.fail_after + options.fail_for;
            let may_fail = options.fail_one_in > 0 && window.contains(&started.elapsed());
            let fails = may_fail && hash % options.fail_one_in == 0;
            let status = if fails { options.fail_status } else { 200 };
            answer(&mut stream, status, &seal, &format!("done {id}"))?;
            say(&format!("has run {id}, answered {status}"));
            Ok(())
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line.split(' ').nth(1).unwrap_or("/");
    let path = target.split('?').next().unwrap_or("/").to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(Head { path, headers }))
}

fn answer(stream: &mut TcpStream, status: u16, extra: &str, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{extra}Connection: \
         close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Sends the events after `from`, each with one call.
fn send_events(stream: &mut TcpStream, options: &Options, seal: &str, from: u64) -> io::Result<()> {
    let framing = if options.is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{seal}{framing}Connection: \
         close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for n in from + 1..=options.events {
        thread::sleep(options.pause);
        let event = format!("id: {n}\ndata: piece {n} of {}\n\n", options.events);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(if options.is_unframed { event.as_bytes() } else { chunk.as_bytes() })?;
    }
    if !options.is_unframed {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
