//! A path between a machine and the platform that can be cut for a while, as a network would.
//!
//! While it is cut, nothing passes. What the sender's TCP had taken over on an open connection is sent again at TCP's
//! retransmission times (200 ms after it was sent, then after twice as long each time), and so arrives with the first
//! of these that lies after the end of the cut, also if the sender has closed the connection by then. If the sender
//! resets the connection, the bytes are lost. A connection that is opened during the cut is never made: what is
//! written to it is dropped.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// First retransmission time of TCP.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, Default)]
struct Cut {
    from: Option<Instant>,
    until: Option<Instant>,
}

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<Mutex<Cut>>,
}

impl Link {
    pub fn spawn(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a link");
        let link = Self { address: listener.local_addr().expect("its address"), cut: Arc::default() };
        let served = link.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = served.clone();
                std::thread::spawn(move || link.connection(stream, target));
            }
        });
        link
    }

    /// Cuts the path for a time.
    pub fn cut(&self, time: Duration) {
        let now = Instant::now();
        *self.cut.lock().unwrap() = Cut { from: Some(now), until: Some(now + time) };
    }

    /// Returns when what is sent now arrives.
    fn arrival(&self, sent: Instant) -> Instant {
        let cut = *self.cut.lock().unwrap();
        match (cut.from, cut.until) {
            (Some(from), Some(until)) if sent >= from && sent < until => {
                let mut wait = FIRST_RETRANSMISSION;
                let mut at = sent + wait;
                while at < until {
                    wait *= 2;
                    at += wait;
                }
                at
            }
            _ => sent,
        }
    }

    fn connection(&self, mut from: TcpStream, target: SocketAddr) {
        if self.arrival(Instant::now()) > Instant::now() {
            let mut buf = [0; 4096];
            while from.read(&mut buf).is_ok_and(|len| len > 0) {}
            return;
        }
        let Ok(to) = TcpStream::connect(target) else { return };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let (Ok(back_from), Ok(back_to)) = (to.try_clone(), from.try_clone()) else { return };
        let link = self.clone();
        let back = std::thread::spawn(move || link.pass(back_from, back_to));
        self.pass(from, to);
        let _ = back.join();
    }

    /// Passes bytes on in one direction until the sender closes or resets the connection.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let (queue, held) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
        let is_reset = Arc::new(Mutex::new(false));
        let reset_seen = Arc::clone(&is_reset);
        let writer = std::thread::spawn(move || {
            let mut last = Instant::now();
            while let Ok((at, bytes)) = held.recv() {
                last = last.max(at);
                std::thread::sleep(last.saturating_duration_since(Instant::now()));
                if *reset_seen.lock().unwrap() {
                    break;
                }
                if bytes.is_empty() || to.write_all(&bytes).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Write);
        });
        let mut buf = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buf);
            let at = self.arrival(Instant::now());
            match read {
                Ok(0) => {
                    let _ = queue.send((at, Vec::new()));
                    break;
                }
                Ok(len) => {
                    if queue.send((at, buf[..len].to_vec())).is_err() {
                        break;
                    }
                }
                Err(_) => {
                    *is_reset.lock().unwrap() = true;
                    break;
                }
            }
        }
        drop(queue);
        let _ = writer.join();
    }
}
