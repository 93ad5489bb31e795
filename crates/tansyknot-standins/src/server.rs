//! The HTTP server that the stand-ins share, with JSON responses and a page for faults.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use tansyknot_edge::http::{
    respond::{self, ConnectionAction, FullResponse},
    server::{self, DrainBehaviour, Handler, Lifecycle, Request, ServerOptions},
};

/// A server of a stand-in, which runs in threads of this process and stops when dropped.
pub struct RunningServer {
    /// The address that the server listens on.
    pub address: SocketAddr,
    lifecycle: Arc<Lifecycle>,
}

impl RunningServer {
    /// Stops accepting connections and requests.
    pub fn stop(&self) {
        self.lifecycle.drain();
        self.lifecycle.close();
        // The accept loop checks the lifecycle after each connection, so a connection wakes it.
        let _ = TcpStream::connect(self.address);
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a server on `address`. Port 0 selects a free port.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<RunningServer> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let lifecycle = Arc::new(Lifecycle::default());
    let options = ServerOptions {
        max_head_bytes: 64 << 10,
        max_body_bytes: 64 << 20,
        memory: Arc::default(),
        max_connections: 8192,
        head_timeout: Duration::from_secs(10),
        body_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(300),
        write_timeout: Duration::from_secs(10),
        on_drain: DrainBehaviour::CloseIdle,
    };
    let server_lifecycle = Arc::clone(&lifecycle);
    thread::spawn(move || server::serve(&listener, &options, &handler, &server_lifecycle));
    Ok(RunningServer { address, lifecycle })
}

/// Responds with a JSON document.
///
/// # Errors
///
/// Fails if the client has disconnected.
pub fn json<T: Serialize>(
    stream: &TcpStream,
    after: ConnectionAction,
    status: u16,
    doc: &T,
) -> io::Result<ConnectionAction> {
    let response = FullResponse {
        status,
        content_type: "application/json".to_owned(),
        headers: Vec::new(),
        body: serde_json::to_vec(doc)?,
    };
    respond::write_response(stream, &response, after)?;
    Ok(after)
}

/// Parses the JSON body of a request.
///
/// # Errors
///
/// Fails if the body is not a document of type `T`.
pub fn parse_body<T: DeserializeOwned>(req: &Request) -> io::Result<T> {
    serde_json::from_slice(&req.body.contiguous()).map_err(io::Error::from)
}

/// Returns the value of a query parameter with `%XX` and `+` decoded, or an empty string.
pub fn query_param(req: &Request, name: &str) -> String {
    let pairs = req.head.query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v);
    value.map(percent_decode).unwrap_or_default()
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'+' => out.push(b' '),
            b'%' => {
                let hex: String = bytes.by_ref().take(2).map(char::from).collect();
                out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'%'));
            }
            _ => out.push(b),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves the page of faults. Returns `None` if the request is for another page.
pub fn handle_faults<T: Serialize + DeserializeOwned + Clone>(
    req: &Request,
    stream: &TcpStream,
    after: ConnectionAction,
    faults: &Mutex<T>,
) -> Option<io::Result<ConnectionAction>> {
    if req.head.path != "/faults" {
        return None;
    }
    if req.head.method == "POST" {
        match parse_body(req) {
            Ok(new) => *faults.lock().expect("no holder of the lock panics") = new,
            Err(e) => return Some(json(stream, after, 400, &e.to_string())),
        }
    }
    let current = faults.lock().expect("no holder of the lock panics").clone();
    Some(json(stream, after, 200, &current))
}
