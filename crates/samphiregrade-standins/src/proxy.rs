//! A fault proxy for TCP and UDP links: delays, network partitions, packet loss and half-open connections.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ntex::server::Server;
use samphiregrade_http::{HttpServer, IncomingRequest, OutgoingResponse, ServerSettings};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

use crate::lock;

/// Size of the read buffer in bytes.
const BUFFER: usize = 64 * 1024;

/// Time without replies after which the proxy stops forwarding replies to a UDP sender, until its next datagram.
const UDP_IDLE: Duration = Duration::from_mins(1);

/// Faults of one link.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
// The faults are independent and can be combined.
#[allow(clippy::struct_excessive_bools)]
pub struct LinkFaults {
    /// Delay of each read in milliseconds.
    pub delay_ms: u64,
    /// Close every connection and accept none; drop every datagram.
    pub cut: bool,
    /// Keep connections open, but deliver nothing; held back bytes are lost if their sender resets the connection,
    /// as on a path that drops packets.
    pub half_open: bool,
    /// Keep connections open, but deliver nothing that the target sends.
    pub one_way: bool,
    /// Reset every connection that is open when the fault is set.
    pub reset: bool,
    /// Share of datagrams dropped, from 0 to 1.
    pub drop: f64,
}

/// A link with its faults and its count of forwarded bytes; cloning gives another handle to the same link.
#[derive(Clone, Debug)]
pub struct FaultLink {
    faults: watch::Sender<LinkFaults>,
    bytes: Arc<AtomicU64>,
}

impl Default for FaultLink {
    fn default() -> Self {
        Self {
            faults: watch::Sender::new(LinkFaults::default()),
            bytes: Arc::default(),
        }
    }
}

impl FaultLink {
    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }

    /// Returns the number of bytes forwarded in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Forwards TCP connections from a listener to a target, until the task is dropped.
    ///
    /// # Errors
    ///
    /// Returns the listener's error.
    pub async fn run_tcp(self, listener: StdListener, target: SocketAddr) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        loop {
            let (near, _) = listener.accept().await?;
            if self.faults.borrow().cut {
                continue;
            }
            let link = self.clone();
            tokio::spawn(async move { link.forward_connection(near, target).await });
        }
    }

    async fn forward_connection(self, mut near: TcpStream, target: SocketAddr) {
        let Ok(mut far) = TcpStream::connect(target).await else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let mut faults = self.faults.subscribe();
        let both = async {
            tokio::try_join!(
                self.forward_bytes(near_read, far_write, false),
                self.forward_bytes(far_read, near_write, true),
            )
        };
        let broken = tokio::select! {
            ends = both => ends.is_err(),
            _ = faults.wait_for(|faults| faults.cut || faults.reset) => false,
        };
        if broken || faults.borrow().reset {
            // With a linger time of zero, dropping a connection resets it.
            let _ = near.set_zero_linger();
            let _ = far.set_zero_linger();
        }
    }

    /// Forwards bytes until their sender closes its side; an error says that one of the connections was reset.
    async fn forward_bytes(
        &self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
        back: bool,
    ) -> io::Result<()> {
        let mut faults = self.faults.subscribe();
        let mut buffer = vec![0; BUFFER];
        loop {
            let count = from.read(&mut buffer).await?;
            if count == 0 {
                return to.shutdown().await;
            }
            let delay = faults.borrow().delay_ms;
            if delay > 0 {
                tokio::time::sleep(Duration::from_millis(delay)).await;
            }
            let delivers = |faults: &LinkFaults| !(faults.half_open || back && faults.one_way);
            let held_back = !delivers(&faults.borrow());
            if faults.wait_for(delivers).await.is_err() {
                return Ok(());
            }
            if held_back && was_reset(&from) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            self.bytes.fetch_add(count as u64, Ordering::Relaxed);
            to.write_all(&buffer[..count]).await?;
        }
    }

    /// Forwards datagrams between a socket and a target, until the task is dropped.
    ///
    /// # Errors
    ///
    /// Returns the socket's error.
    pub async fn run_udp(self, socket: std::net::UdpSocket, target: SocketAddr) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        let near = Arc::new(UdpSocket::from_std(socket)?);
        let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; BUFFER];
        loop {
            let Ok((count, sender)) = near.recv_from(&mut buffer).await else {
                continue;
            };
            let far = match senders.get(&sender) {
                Some(far) if Arc::strong_count(far) > 1 => far.clone(),
                _ => {
                    let far = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
                    far.connect(target).await?;
                    senders.insert(sender, far.clone());
                    let back = self
                        .clone()
                        .forward_replies(far.clone(), near.clone(), sender);
                    tokio::spawn(back);
                    far
                }
            };
            self.deliver(&buffer[..count], far, None).await;
        }
    }

    async fn forward_replies(self, far: Arc<UdpSocket>, near: Arc<UdpSocket>, sender: SocketAddr) {
        let mut buffer = vec![0; BUFFER];
        loop {
            let received = tokio::time::timeout(UDP_IDLE, far.recv(&mut buffer)).await;
            let count = match received {
                Ok(Ok(count)) => count,
                Ok(Err(_)) => continue,
                Err(_) => return,
            };
            let near = near.clone();
            self.deliver(&buffer[..count], near, Some(sender)).await;
        }
    }

    /// Forwards a datagram to the address or to the socket's peer, unless a fault drops it.
    async fn deliver(&self, datagram: &[u8], socket: Arc<UdpSocket>, to: Option<SocketAddr>) {
        let faults = self.faults.borrow().clone();
        if faults.cut || faults.half_open || rand::random::<f64>() < faults.drop {
            return;
        }
        self.bytes
            .fetch_add(datagram.len() as u64, Ordering::Relaxed);
        if faults.delay_ms == 0 {
            send_datagram(datagram, &socket, to).await;
            return;
        }
        let datagram = datagram.to_vec();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            send_datagram(&datagram, &socket, to).await;
        });
    }
}

/// Returns whether the peer has reset the connection.
fn was_reset(half: &ReadHalf<'_>) -> bool {
    let stream: &TcpStream = half.as_ref();
    !matches!(stream.take_error(), Ok(None))
}

/// Sends a datagram; a failed send counts as a lost datagram, as on any network.
async fn send_datagram(datagram: &[u8], socket: &UdpSocket, to: Option<SocketAddr>) {
    let _ = match to {
        Some(address) => socket.send_to(datagram, address).await,
        None => socket.send(datagram).await,
    };
}

/// A set of links with one control address.
#[derive(Clone, Debug, Default)]
pub struct FaultProxy {
    links: Arc<Mutex<HashMap<SmolStr, FaultLink>>>,
}

impl FaultProxy {
    /// Returns the link with this name, and creates it if it doesn't exist.
    #[must_use]
    pub fn link(&self, name: &str) -> FaultLink {
        lock(&self.links).entry(name.into()).or_default().clone()
    }

    /// Replaces the faults of every link whose name `choice` selects.
    pub fn set_faults<Choice>(&self, faults: &LinkFaults, choice: Choice)
    where
        Choice: Fn(&str) -> bool,
    {
        for (name, link) in lock(&self.links).iter() {
            if choice(name) {
                link.set_faults(faults.clone());
            }
        }
    }

    /// Returns the number of bytes that the selected links forwarded.
    pub fn bytes<Choice>(&self, choice: Choice) -> u64
    where
        Choice: Fn(&str) -> bool,
    {
        let links = lock(&self.links);
        let chosen = links.iter().filter(|(name, _)| choice(name));
        chosen.map(|(_, link)| link.bytes()).sum()
    }

    /// Starts serving the control address: `POST /links/NAME` sets a link's faults.
    ///
    /// # Errors
    ///
    /// Returns the listener's error.
    pub fn start_control(&self, listener: StdListener) -> io::Result<Server> {
        let proxy = self.clone();
        HttpServer::start(listener, ServerSettings::default(), move |request| {
            let proxy = proxy.clone();
            async move { proxy.control(&request) }
        })
    }

    fn control(&self, request: &IncomingRequest) -> OutgoingResponse {
        let ["links", name] = request.segments()[..] else {
            return OutgoingResponse::json(404, &json!({"error": "no such call"}));
        };
        match request.json::<LinkFaults>() {
            Ok(faults) => {
                self.link(name).set_faults(faults);
                OutgoingResponse::json(200, &json!({}))
            }
            Err(error) => OutgoingResponse::json(400, &json!({"error": error.to_string()})),
        }
    }
}
