//! Serves a router on an address.

use std::io;
use std::net;

use tokio::net::TcpListener;
use tokio::task;

/// A server that runs until it is dropped.
#[derive(Debug)]
pub struct ServerTask {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    task: task::JoinHandle<()>,
}

impl ServerTask {
    /// Waits for the server's end, which comes only by an error.
    pub async fn wait(mut self) {
        // Dropping the task ends it, which is what the caller then wants.
        let _ = (&mut self.task).await;
    }
}

impl Drop for ServerTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to serve `router`.
pub(crate) async fn start(
    address: net::SocketAddr,
    router: axum::Router,
) -> io::Result<ServerTask> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        // Fails only if the process is out of file descriptors for good.
        let _ = axum::serve(listener, router).await;
    });
    Ok(ServerTask { address, task })
}
