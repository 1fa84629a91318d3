//! TCP listeners.

use std::io;
use std::net;

use tokio::net::TcpListener;

/// Error while binding an address.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}")]
pub struct ListenError {
    /// The address.
    pub address: net::SocketAddr,
    /// The cause.
    #[source]
    pub source: io::Error,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, ListenError>;

/// Binds an address. Must be called within a Tokio runtime.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use sardinepaddle_process::listen;
///
/// let first = listen::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
/// let taken = first.local_addr().unwrap();
/// let error = listen::bind(taken).await.unwrap_err();
/// assert_eq!(error.to_string(), format!("cannot listen on {taken}"));
/// # });
/// ```
pub async fn bind(address: net::SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| ListenError { address, source })
}
