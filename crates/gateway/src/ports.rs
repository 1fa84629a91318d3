//! The ports for the balancer's checks and for metrics.

use std::convert;
use std::rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;

use crate::sockets;
use crate::world;

type PortAnswer = http::Response<Full<Bytes>>;

/// Answers each call with what `answer` says.
pub(crate) async fn serve(
    listener: tokio::net::TcpListener,
    world: rc::Rc<world::DaemonWorld>,
    answer: fn(&world::DaemonWorld) -> PortAnswer,
) {
    loop {
        let stream = sockets::accept(&listener, "a check or a scrape").await;
        let world = world.clone();
        let service = hyper::service::service_fn(move |_: http::Request<Incoming>| {
            let answer = answer(&world);
            async move { Ok::<_, convert::Infallible>(answer) }
        });
        tokio::task::spawn_local(async move {
            // A check that breaks off is made again.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Whether new requests are welcome.
pub(crate) fn readiness(world: &world::DaemonWorld) -> PortAnswer {
    let ready = world.is_ready();
    let mut answer = http::Response::new(Full::new(Bytes::from_static(match ready {
        true => b"ready\n",
        false => b"not ready\n",
    })));
    if !ready {
        *answer.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

/// All metrics as text.
pub(crate) fn metrics(world: &world::DaemonWorld) -> PortAnswer {
    world.observe();
    match world.metrics.render() {
        Ok(text) => http::Response::new(Full::new(Bytes::from(text))),
        Err(error) => {
            log::warn!(target: "sardinepaddle", error:% = error; "metrics not written");
            let mut answer = http::Response::new(Full::new(Bytes::new()));
            *answer.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            answer
        }
    }
}
