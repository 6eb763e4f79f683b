//! The platform's interface for duties: takes every call and keeps it.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::http::{self, Conn};

/// A call of a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: String,
}

#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl Cloud {
    pub fn spawn(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the cloud");
        let cloud = Self {
            address: listener.local_addr().expect("the cloud's address"),
            calls: Arc::default(),
        };
        let served = cloud.clone();
        http::serve(listener, move |conn| served.connection(conn));
        cloud
    }

    fn connection(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read_request() {
            let call = DutyCall {
                at: Instant::now(),
                path: req.path().into(),
                holder: req.header("x-jayhall-duty-holder").unwrap_or_default().into(),
                fence: req.header("x-jayhall-fence-token").and_then(|n| n.parse().ok()).unwrap_or(0),
                body: String::from_utf8_lossy(&req.body).into_owned(),
            };
            self.calls.lock().unwrap().push(call);
            if conn.answer(200, "", b"").is_err() {
                return;
            }
        }
    }
}
