//! A runner process. It prints its address, and a line for each request that it runs or has finished.
//!
//! Modes:
//! - `slow-reader`: reads the bodies of requests slowly, then answers at once.
//! - `prompt`: reads at once, and answers at once.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    os::fd::AsRawFd,
    thread,
    time::Duration,
};

/// What a runner in mode `slow-reader` reads at once, and the pause before each read: 250 KB a second
/// of each request.
const SLOW_READ_BYTES: usize = 5_000;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(20);

pub fn run(id: &str, mode: &str) -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    limit_segments(&listener)?;
    println!("{}", listener.local_addr()?);
    io::stdout().flush()?;
    // The driver holds the other end of the standard input; without it, the runner ends.
    thread::spawn(|| {
        let _ = io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    for stream in listener.incoming() {
        let (id, mode) = (id.to_owned(), mode.to_owned());
        thread::spawn(move || serve(&stream?, &id, &mode));
    }
    Ok(())
}

/// The payload of a segment on an Ethernet link. Loopback has segments of 64 KB, and a sender's buffer
/// of megabytes with them.
const ETHERNET_SEGMENT: i32 = 1460;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the channels of a listener use segments as on an Ethernet link.
fn limit_segments(listener: &TcpListener) -> io::Result<()> {
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let fd = listener.as_raw_fd();
    // SAFETY: the descriptor is open, and the value is an `int` that outlives the call.
    let result = unsafe { setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &ETHERNET_SEGMENT, 4) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

struct Request {
    path: String,
    headers: Vec<(String, String)>,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

fn serve(stream: &TcpStream, id: &str, mode: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(1 << 10, stream);
    let Some(request) = read_head(&mut reader)? else { return Ok(()) };
    let length = request.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let is_platform_call = request.path.starts_with("/-/") || request.path == "/health";
    if mode == "slow-reader" && !is_platform_call {
        println!("reading {} {length}", request.header("attempt-id").unwrap_or(""));
        read_slowly(&mut reader, length)?;
    } else {
        io::copy(&mut (&mut reader).take(length as u64), &mut io::sink())?;
    }
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        return answer(stream, 421, &format!("Instance-Id: {id}\r\n"), "{}");
    }
    match request.path.as_str() {
        "/-/report" => answer(stream, 200, "", REPORT),
        "/health" => answer(stream, 200, &format!("Instance-Id: {id}\r\n"), "{}"),
        path if path.starts_with("/-/") => answer(stream, 404, "", "{}"),
        _ => serve_request(stream, &request, id),
    }
}

const REPORT: &str = "{\"stage\":\"combined\",\"models\":[{\"name\":\"m0\",\"version\":1,\
                      \"adapters\":[]}],\"busy\":false,\"seq-no\":0,\"queued\":0,\"active\":0,\
                      \"kv-used\":0,\"kv-total\":90000,\"handles\":0}";

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or("").to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(Request { path, headers }))
}

fn read_slowly(reader: &mut impl Read, length: usize) -> io::Result<()> {
    let mut left = length;
    let mut buf = vec![0; SLOW_READ_BYTES];
    while left > 0 {
        thread::sleep(SLOW_READ_PAUSE);
        let size = left.min(buf.len());
        let n = reader.read(&mut buf[..size])?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        left -= n;
    }
    Ok(())
}

fn answer(mut stream: &TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{headers}\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

fn serve_request(stream: &TcpStream, request: &Request, id: &str) -> io::Result<()> {
    let attempt = request.header("attempt-id").unwrap_or("");
    println!("runs {attempt}");
    let seal = format!("Attempt-Id: {attempt}\r\nServer-Seal: seal.{id}.{attempt}\r\n");
    answer(stream, 200, &seal, "{}")?;
    println!("answered {attempt}");
    Ok(())
}
