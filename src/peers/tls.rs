//! Mutual TLS between nodes.
//!
//! Every node presents a certificate signed by one certificate authority, which signs for jayhall
//! nodes only, and accepts only such certificates. Nodes connect by address and addresses change
//! with every VM, so certificates carry the fixed name [`PEER_NAME`] and one certificate may serve
//! all nodes.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;
use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

use crate::util::settings::TlsSettings;

/// Subject name in the certificate of every node.
pub const PEER_NAME: &str = "node.jayhall.internal";

/// Error of a certificate or key file that cannot be read.
#[derive(Debug, Error)]
#[error("cannot read {path}: {source}")]
pub struct TlsError {
    path: PathBuf,
    source: io::Error,
}

/// The module's result.
pub type Result<T> = std::result::Result<T, TlsError>;

/// Certificate and key of this node, and the certificate of the authority that signs for all nodes.
#[derive(Clone)]
pub struct PeerTls {
    identity: Identity,
    authority: Certificate,
}

impl std::fmt::Debug for PeerTls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerTls")
    }
}

impl PeerTls {
    /// Reads the files named in the settings.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read. The contents are only checked by the first connection.
    pub fn open(settings: &TlsSettings) -> Result<Self> {
        let certificate = read(&settings.certificate)?;
        let key = read(&settings.key)?;
        let authority = read(&settings.authority)?;
        Ok(Self::from_pem(&certificate, &key, &authority))
    }

    /// Creates the settings from PEM data.
    pub fn from_pem(certificate: &[u8], key: &[u8], authority: &[u8]) -> Self {
        Self {
            identity: Identity::from_pem(certificate, key),
            authority: Certificate::from_pem(authority),
        }
    }

    /// Returns the settings of the listener for peers, which rejects peers without a certificate
    /// signed by the authority.
    pub fn server(&self) -> ServerTlsConfig {
        ServerTlsConfig::new()
            .identity(self.identity.clone())
            .client_ca_root(self.authority.clone())
    }

    /// Returns the settings of connections to other nodes.
    pub(super) fn client(&self) -> ClientTlsConfig {
        ClientTlsConfig::new()
            .domain_name(PEER_NAME)
            .ca_certificate(self.authority.clone())
            .identity(self.identity.clone())
    }
}

fn read(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path).map_err(|source| TlsError {
        path: path.to_owned(),
        source,
    })
}
